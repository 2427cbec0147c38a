package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/tracker"
)

// Stats holds the counters of a host since its start and its current state.
type Stats struct {
	// Jobs counts the jobs of this host that have ended, Runs their runs that have ended.
	Jobs map[tracker.Outcome]int64
	Runs map[leaseholder.RunResult]int64
	// Refused counts the refusals of this placer by reason.
	Refused map[string]int64
	// Forwarded, Redirected, Rescheduled, Ejections and Superseded count the other decisions of this
	// placer: jobs forwarded to other domains, jobs redirected to other shards, runs rescheduled,
	// upstreams ejected and jobs superseded.
	Forwarded, Redirected, Rescheduled, Ejections, Superseded int64
	// LeaseExpiries counts the times at which the runs of an unresponsive upstream were taken to have ended
	// with their lease, TenureChecks the checks whether this host has remained their leaseholder.
	LeaseExpiries, TenureChecks int64
	// UpstreamRestarts counts the held upstreams that have restarted, UndeterminedRuns the runs of which the next
	// incarnation had to be asked.
	UpstreamRestarts, UndeterminedRuns int64
	// StopsRefused counts the stop orders that held upstreams have refused.
	StopsRefused int64
	// Pauses counts the times at which the process of this host was suspended.
	Pauses int64
	// Orphans counts the runs that this host has found and stopped because they are of no host of the domain.
	Orphans int64
	// EvacuationRejections counts the starts that this host has rejected because its domain was evacuated, or
	// because it did not know the evacuations yet.
	EvacuationRejections int64
	// EvacuatedDomains is the number of evacuated domains. EvacuationsKnown is 1 if this host knows them, else 0.
	EvacuatedDomains, EvacuationsKnown int
	// JobTimes holds the times from arrival to end of the jobs that have ended since the last call
	// of Core.Stats, PlacementWaits the times from the arrival of a job to a placement of its tasks.
	JobTimes       []time.Duration
	PlacementWaits []time.Duration
	// PlanErrors holds the times from the actual starts of planned jobs to the planned ones, since the
	// last call of Core.Stats.
	PlanErrors []time.Duration
	// OpenJobs is the number of jobs that this host tracks, WaitingJobs that of jobs that wait at
	// this placer.
	OpenJobs, WaitingJobs int
	// HeldUpstreams is the number of upstreams that this host holds, ReadyUpstreams that of held
	// upstreams that respond.
	HeldUpstreams, ReadyUpstreams int
	// IsPlacer is 1 if this host is a placer of its domain, IsLeader if it is the leader, else 0. Shards is
	// the number of shards of the domain.
	IsPlacer, IsLeader, Shards int
	// Sessions is the number of other entry hosts of the domain with which there is a session.
	Sessions int
	// DocumentVersion is the version of the active document; 0 for none.
	DocumentVersion uint64
}

// maxSamples bounds the length of JobTimes, PlacementWaits and PlanErrors.
const maxSamples = 4096

func newStats() Stats {
	return Stats{
		Jobs:    map[tracker.Outcome]int64{},
		Runs:    map[leaseholder.RunResult]int64{},
		Refused: map[string]int64{},
	}
}

func addSample(samples []time.Duration, d time.Duration) []time.Duration {
	if len(samples) >= maxSamples {
		return samples
	}
	return append(samples, d)
}

// Stats returns the statistics of the host and clears the time samples.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Jobs = maps.Clone(s.Jobs)
	s.Runs = maps.Clone(s.Runs)
	s.Refused = maps.Clone(s.Refused)
	c.stats.JobTimes, c.stats.PlacementWaits, c.stats.PlanErrors = nil, nil, nil
	s.OpenJobs = len(c.jobs)
	s.HeldUpstreams = len(c.held)
	for _, h := range c.held {
		if h.session.Ready() {
			s.ReadyUpstreams++
		}
	}
	if c.placer != nil {
		s.IsPlacer = 1
		s.WaitingJobs = c.placer.WaitingJobs()
	}
	if c.leads() {
		s.IsLeader = 1
	}
	s.Shards = len(c.assigned.Placers)
	s.Sessions = len(c.peers)
	s.DocumentVersion = c.published.Version
	s.EvacuatedDomains = len(c.evacuations.State.Domains)
	if c.evacuations.Known {
		s.EvacuationsKnown = 1
	}
	return s
}

// metricsPublisher publishes statistics as metrics.
type metricsPublisher struct {
	metrics   *reporter.Metrics
	last      Stats
	jobTime   tally.Histogram
	jobWait   tally.Histogram
	planError tally.Histogram
}

// latencyBuckets reach from 5 ms, below the time of the shortest jobs, up to the longest deadlines.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 16)

// planErrorBuckets are negative for jobs that begin later than planned.
var planErrorBuckets = tally.DurationBuckets{
	-500 * time.Millisecond, -200 * time.Millisecond, -100 * time.Millisecond, -50 * time.Millisecond, -20 * time.Millisecond, -10 * time.Millisecond, 0,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
}

func newMetricsPublisher(m *reporter.Metrics) *metricsPublisher {
	return &metricsPublisher{
		metrics:   m,
		last:      newStats(),
		jobTime:   m.Scope.Histogram("job_time", latencyBuckets),
		jobWait:   m.Scope.Histogram("job_wait", latencyBuckets),
		planError: m.Scope.Histogram("plan_error", planErrorBuckets),
	}
}

// outcomes and runResults are the label values whose counters are published even while they are 0.
var (
	outcomes   = []tracker.Outcome{tracker.Complete, tracker.Failed, tracker.NotRun, tracker.Lost, tracker.Expired, tracker.Abandoned}
	runResults = []leaseholder.RunResult{
		leaseholder.Done, leaseholder.Failed, leaseholder.Stopped, leaseholder.LeaseExpired, leaseholder.Broken, leaseholder.Alone, leaseholder.Lost, leaseholder.Rejected,
	}
)

func (p *metricsPublisher) publish(s Stats) {
	scope := p.metrics.Scope
	for _, o := range outcomes {
		scope.Tagged(map[string]string{"outcome": string(o)}).Counter("jobs").Inc(s.Jobs[o] - p.last.Jobs[o])
	}
	for _, r := range runResults {
		scope.Tagged(map[string]string{"how": string(r)}).Counter("runs").Inc(s.Runs[r] - p.last.Runs[r])
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Refused)) {
		scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(s.Refused[reason] - p.last.Refused[reason])
	}
	scope.Counter("jobs_passed_on").Inc(s.Forwarded - p.last.Forwarded)
	scope.Counter("jobs_redirected").Inc(s.Redirected - p.last.Redirected)
	scope.Counter("jobs_superseded").Inc(s.Superseded - p.last.Superseded)
	scope.Counter("runs_moved").Inc(s.Rescheduled - p.last.Rescheduled)
	scope.Counter("upstream_rests").Inc(s.Ejections - p.last.Ejections)
	scope.Counter("lease_expiries").Inc(s.LeaseExpiries - p.last.LeaseExpiries)
	scope.Counter("pauses").Inc(s.Pauses - p.last.Pauses)
	scope.Counter("orphans_stopped").Inc(s.Orphans - p.last.Orphans)
	scope.Counter("tenure_checks").Inc(s.TenureChecks - p.last.TenureChecks)
	scope.Counter("upstream_restarts").Inc(s.UpstreamRestarts - p.last.UpstreamRestarts)
	scope.Counter("undetermined_runs").Inc(s.UndeterminedRuns - p.last.UndeterminedRuns)
	scope.Counter("stops_refused").Inc(s.StopsRefused - p.last.StopsRefused)
	scope.Counter("evacuation_rejections").Inc(s.EvacuationRejections - p.last.EvacuationRejections)
	for _, d := range s.JobTimes {
		p.jobTime.RecordDuration(d)
	}
	for _, d := range s.PlacementWaits {
		p.jobWait.RecordDuration(d)
	}
	for _, d := range s.PlanErrors {
		p.planError.RecordDuration(d)
	}
	scope.Gauge("jobs_open").Update(float64(s.OpenJobs))
	scope.Gauge("jobs_waiting").Update(float64(s.WaitingJobs))
	scope.Gauge("upstreams_kept").Update(float64(s.HeldUpstreams))
	scope.Gauge("upstreams_ready").Update(float64(s.ReadyUpstreams))
	scope.Gauge("places").Update(float64(s.IsPlacer))
	scope.Gauge("leads").Update(float64(s.IsLeader))
	scope.Gauge("shards").Update(float64(s.Shards))
	scope.Gauge("sessions").Update(float64(s.Sessions))
	scope.Gauge("document_version").Update(float64(s.DocumentVersion))
	scope.Gauge("evacuated_domains").Update(float64(s.EvacuatedDomains))
	scope.Gauge("evacuations_known").Update(float64(s.EvacuationsKnown))
	p.last = s
}
