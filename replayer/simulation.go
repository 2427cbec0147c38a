package replayer

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/sequencer"
)

// Topology is the distribution of placing and of upstreams over placers.
type Topology string

// The topologies.
const (
	// PerDomain has one placer for each failure domain, which forwards jobs to the others.
	PerDomain Topology = "per-domain"
	// PerDomainIsolated has one placer for each failure domain, which forwards no jobs.
	PerDomainIsolated Topology = "alone"
	// Centralized has one placer for all failure domains.
	Centralized Topology = "together"
	// Sharded has shardsPerDomain placers for each failure domain, which each have a part of its
	// upstreams. All placers forward jobs to each other.
	Sharded Topology = "owners"
)

// shardsPerDomain is the number of placers of each domain in the topology Sharded.
const shardsPerDomain = 3

// Options select the topology and the policy of a replay.
type Options struct {
	Topology Topology
	Policy   placer.Policy
	// DisabledRule is a rule of the policy that is not applied; empty applies all.
	DisabledRule placer.Rule
}

// Intervals and timeouts of the simulated hosts.
const (
	// tick is the interval at which placers run their periodic work.
	tick = 20 * time.Millisecond
	// progressInterval is the interval at which placers receive the progress of runs.
	progressInterval = 150 * time.Millisecond
	// freeCapacityInterval is the interval at which placers send each other their free capacity.
	freeCapacityInterval = 20 * time.Millisecond
	// leaseTime is how long an upstream must have been unresponsive for its runs to be known to have
	// ended, because its lease has expired.
	leaseTime = 600 * time.Millisecond
	// stopTime is the time from the order to stop a run until the run has ended.
	stopTime = 50 * time.Millisecond
	// orderTimeout is the time after which an unanswered order is withdrawn.
	orderTimeout = 250 * time.Millisecond
)

// epoch is the wall-clock time at which every replay starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// simulation is the state of one replay.
type simulation struct {
	sequencer.Sequencer
	script   *Script
	options  Options
	rng      *rand.Rand
	hosts    []*placerHost
	jobs     []*jobState
	jobsByID map[string]*jobState
	result   *Result
}

// placerHost is a host that runs a placer, with the upstreams on which the placer places.
type placerHost struct {
	name      string
	domain    int
	placer    *placer.Placer
	upstreams map[string]*upstream
}

type upstream struct {
	id    string
	cpu   int64
	free  int64
	speed float64
	// fault is the current fault, or empty; slowFactor belongs to the fault Slow.
	fault      FaultKind
	slowFactor float64
	runs       map[sesamedrift.Run]*activeRun
}

// sortedRuns returns the runs in a fixed order, which keeps replays deterministic.
func (u *upstream) sortedRuns() []sesamedrift.Run {
	return slices.SortedFunc(maps.Keys(u.runs), func(a, b sesamedrift.Run) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Number, b.Number))
	})
}

// sortedUpstreams returns the upstreams of a placer in a fixed order, which keeps replays
// deterministic.
func (s *placerHost) sortedUpstreams() []*upstream {
	all := make([]*upstream, 0, len(s.upstreams))
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		all = append(all, s.upstreams[id])
	}
	return all
}

// activeRun is the state of a run on an upstream.
type activeRun struct {
	job       *jobState
	startedAt time.Duration
	runTime   time.Duration
	progress  float64 // share of the work done by updatedAt
	updatedAt time.Duration
	cpu       int64
	ended     bool
}

// jobState is a job that has arrived, with the state of its tasks.
type jobState struct {
	*job
	host       *placerHost // whose placer the job was sent to
	remaining  int
	failures   []int
	runNumbers []int // number of the latest run of each task
	avoid      []string
	pending    []bool
	ended      bool
	forwarded  bool
	started    bool
}

// Replay runs the script in simulated time and returns the result. Calls with equal options have
// equal results. It does not modify the script, so that several calls may run at the same time.
func (s *Script) Replay(o Options) *Result {
	w := &simulation{
		script:   s,
		options:  o,
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		jobsByID: map[string]*jobState{},
		result:   newResult(s),
	}
	w.setUp()
	for _, j := range s.generateJobs() {
		t := &jobState{
			job:        j,
			remaining:  len(j.runTimes),
			failures:   make([]int, len(j.runTimes)),
			runNumbers: make([]int, len(j.runTimes)),
			avoid:      make([]string, len(j.runTimes)),
			pending:    make([]bool, len(j.runTimes)),
		}
		w.jobs = append(w.jobs, t)
		w.jobsByID[j.id] = t
		w.At(j.arrival+w.callerLatency(), func() { w.arrive(t) })
	}
	for _, f := range s.Faults {
		w.At(seconds(f.At), func() { w.injectFault(f) })
	}
	w.Every(tick, func() {
		for _, p := range w.hosts {
			p.placer.Tick(w.wallTime())
			w.applyDecisions(p)
		}
	})
	w.Every(progressInterval, w.reportProgress)
	if len(w.hosts) > 1 && o.Topology != PerDomainIsolated {
		w.Every(freeCapacityInterval, w.broadcastFreeCapacity)
	}
	// Jobs may end up to 10 s after the last arrivals; those that have not are unserved.
	end := seconds(s.DurationSeconds + 10)
	w.Run(end)
	for _, t := range w.jobs {
		if !t.ended {
			w.result.count(t.job, unserved, w.Now()-t.arrival)
		}
	}
	return w.result
}

func (w *simulation) wallTime() time.Time { return epoch.Add(w.Now()) }

func (w *simulation) callerLatency() time.Duration { return millis(w.script.CallerLatencyMS) }

// setUp creates the placers and distributes the upstreams over them.
func (w *simulation) setUp() {
	hostCount := 1
	switch w.options.Topology {
	case PerDomain, PerDomainIsolated:
		hostCount = len(w.script.Domains)
	case Sharded:
		hostCount = shardsPerDomain * len(w.script.Domains)
	case Centralized:
	}
	for i := range hostCount {
		w.hosts = append(w.hosts, &placerHost{
			name:   fmt.Sprint("site-", i),
			domain: i % len(w.script.Domains),
			placer: placer.New(placer.Config{
				Policy:       w.options.Policy,
				DisabledRule: w.options.DisabledRule,
			}),
			upstreams: map[string]*upstream{},
		})
	}
	for d := range w.script.Domains {
		n := 0
		for _, g := range w.script.Domains[d].Upstreams {
			for range g.Count {
				host := w.hosts[(d+n*len(w.script.Domains))%hostCount]
				if w.options.Topology == PerDomain || w.options.Topology == PerDomainIsolated {
					host = w.hosts[d]
				}
				u := &upstream{
					id:    fmt.Sprintf("%s-%02d", w.script.Domains[d].Name, n),
					cpu:   g.CPU,
					free:  g.CPU,
					speed: g.Speed,
					runs:  map[sesamedrift.Run]*activeRun{},
				}
				n++
				host.upstreams[u.id] = u
				host.placer.SetUpstream(placer.Upstream{
					ID:         u.id,
					Service:    "service",
					WorkerType: g.Kind,
					Capacity: sesamedrift.Resources{
						CPU:    g.CPU,
						Memory: 1 << 20,
					},
				})
				host.placer.SetUsable(epoch, u.id, true)
			}
		}
	}
}

// homeHost returns the host to which the caller's domain sends a job first. With Sharded it is a
// random placer of the domain.
func (w *simulation) homeHost(t *jobState) *placerHost {
	switch w.options.Topology {
	case Centralized:
		return w.hosts[0]
	case Sharded:
		return w.hosts[t.domain+len(w.script.Domains)*w.rng.IntN(shardsPerDomain)]
	case PerDomain, PerDomainIsolated:
	}
	return w.hosts[t.domain]
}

// latency returns the one-way latency between the entry host of a job and a placer.
func (w *simulation) latency(t *jobState, s *placerHost) time.Duration {
	if w.options.Topology != Centralized && s.domain == t.domain {
		return millis(w.script.IntraDomainLatencyMS)
	}
	return millis(w.script.InterDomainLatencyMS)
}

func (w *simulation) arrive(t *jobState) {
	t.host = w.homeHost(t)
	for i := range t.runTimes {
		t.runNumbers[i] = 1
		t.pending[i] = true
	}
	w.requestPlacement(t)
	w.At(t.arrival+t.timeout, func() {
		if !t.ended {
			w.finishJob(t, unserved)
		}
	})
}

// requestPlacement sends the pending tasks of a job to its placer.
func (w *simulation) requestPlacement(t *jobState) {
	s := t.host
	w.After(w.latency(t, s), func() {
		if t.ended || t.host != s {
			return
		}
		j := placer.Job{
			ID:            t.id,
			Entry:         "entry",
			Queue:         t.queue.Name,
			Service:       "service",
			Priority:      t.queue.Priority,
			SlackFactor:   t.queue.Slack,
			TargetLatency: millis(t.queue.TargetMS),
			Arrived:       epoch.Add(t.arrival + w.callerLatency()),
			Deadline:      epoch.Add(t.arrival + w.callerLatency() + t.timeout),
			Started:       t.started,
			Forwarded:     t.forwarded,
		}
		for i := range t.runTimes {
			if t.pending[i] {
				j.Tasks = append(j.Tasks, placer.Task{
					Run:      t.run(i),
					Demand:   sesamedrift.Resources{CPU: t.cpu},
					Estimate: t.estimate,
					Avoid:    t.avoid[i],
				})
			}
		}
		s.placer.Enqueue(w.wallTime(), j)
		w.applyDecisions(s)
	})
}

func (j *jobState) run(i int) sesamedrift.Run {
	return sesamedrift.Run{
		Task: sesamedrift.TaskID{
			Job:   j.id,
			Index: i,
		},
		Number: j.runNumbers[i],
	}
}

// applyDecisions carries out the new decisions of a placer. An ejection only takes effect in the
// placer.
func (w *simulation) applyDecisions(s *placerHost) {
	for _, d := range s.placer.TakeDecisions() {
		t := w.jobsByID[d.Job]
		switch {
		case d.Ejection != nil:
		case d.Stop != nil:
			w.After(millis(w.script.IntraDomainLatencyMS), func() { w.stopRun(s, *d.Stop) })
		case d.ForwardTo != "":
			w.forward(t, s, d.ForwardTo)
		case d.Refused:
			w.After(w.latency(t, s), func() {
				if !t.ended && t.host == s {
					w.finishJob(t, refusedJob)
				}
			})
		default:
			// From the placer to the entry host, from there to the leaseholder and on to the upstream.
			w.After(w.latency(t, s)+w.latency(t, s)+millis(w.script.IntraDomainLatencyMS), func() { w.startRuns(s, t, d.Placements) })
		}
	}
}

func (w *simulation) forward(t *jobState, from *placerHost, to string) {
	for _, s := range w.hosts {
		if s.name != to {
			continue
		}
		w.After(w.latency(t, from), func() {
			if !t.ended && t.host == from {
				w.result.Forwarded++
				t.forwarded = true
				t.host = s
				w.requestPlacement(t)
			}
		})
	}
}

// startRuns starts runs on the upstreams on which they were placed. Placements that are no longer
// needed are released.
func (w *simulation) startRuns(s *placerHost, t *jobState, placements []placer.Placement) {
	for _, p := range placements {
		i := p.Run.Task.Index
		u := s.upstreams[p.Upstream]
		if t.ended || !t.pending[i] || t.runNumbers[i] != p.Run.Number {
			s.placer.Release(w.wallTime(), p.Upstream, p.Run)
			continue
		}
		t.pending[i] = false
		t.started = true
		r := &activeRun{
			job:       t,
			startedAt: w.Now(),
			runTime:   t.runTimes[i],
			updatedAt: w.Now(),
			cpu:       t.cpu,
		}
		switch {
		case u.fault == Unresponsive:
			// The leaseholder gets no response and withdraws the order after orderTimeout.
			w.After(orderTimeout, func() { w.notifyEnd(s, u, p.Run, r, leaseholder.Rejected, leaseholder.Unconfirmed) })
			continue
		case u.free < t.cpu:
			w.result.Rejected++
			w.After(millis(w.script.IntraDomainLatencyMS), func() { w.notifyEnd(s, u, p.Run, r, leaseholder.Rejected, leaseholder.NoCapacity) })
			continue
		}
		w.result.Starts++
		u.free -= t.cpu
		u.runs[p.Run] = r
		w.scheduleEnd(s, u, p.Run, r)
	}
}

// effectiveSpeed returns the speed of an upstream under its current fault; 0 means that runs stall.
func (u *upstream) effectiveSpeed() float64 {
	switch u.fault {
	case Hanging:
		return 0
	case Slow:
		return u.speed / u.slowFactor
	case Failing, Unresponsive:
	}
	return u.speed
}

// scheduleEnd schedules the end of a run at the current speed of its upstream.
func (w *simulation) scheduleEnd(s *placerHost, u *upstream, run sesamedrift.Run, r *activeRun) {
	if u.fault == Failing || r.job.alwaysFails || w.rng.Float64() < r.job.queue.FailureShare && r.progress == 0 {
		// A failing run ends after a quarter of its run time.
		w.After(r.runTime/4, func() { w.endRun(s, u, run, r, leaseholder.Failed) })
		return
	}
	speed := u.effectiveSpeed()
	if speed == 0 {
		return
	}
	remaining := time.Duration(float64(r.runTime) * (1 - r.progress) / speed)
	updatedAt := r.updatedAt
	w.After(remaining, func() {
		if r.updatedAt == updatedAt {
			w.endRun(s, u, run, r, leaseholder.Done)
		}
	})
}

// endRun ends a run on its upstream and notifies the placer, unless the upstream is unresponsive.
// It does nothing if the run has ended already.
func (w *simulation) endRun(s *placerHost, u *upstream, run sesamedrift.Run, r *activeRun, result leaseholder.RunResult) {
	if r.ended || u.runs[run] != r {
		return
	}
	r.ended = true
	delete(u.runs, run)
	u.free += r.cpu
	if result != leaseholder.Done {
		w.result.WastedCoreSeconds += float64(r.cpu) / 1000 * (w.Now() - r.startedAt).Seconds()
	}
	if u.fault == Unresponsive {
		return
	}
	// From the upstream to the leaseholder, and from there to the placer.
	w.After(2*millis(w.script.IntraDomainLatencyMS), func() { w.notifyEnd(s, u, run, r, result, "") })
}

// notifyEnd reports the end of a run to the placer at once and to the entry host after the latency.
func (w *simulation) notifyEnd(s *placerHost, u *upstream, run sesamedrift.Run, r *activeRun, result leaseholder.RunResult, reason leaseholder.Reason) {
	s.placer.RunEnded(w.wallTime(), u.id, run, result, reason, w.Now()-r.startedAt)
	w.applyDecisions(s)
	t := r.job
	w.After(w.latency(t, s), func() { w.handleRunEnd(t, u, run, result) })
}

func (w *simulation) handleRunEnd(t *jobState, u *upstream, run sesamedrift.Run, result leaseholder.RunResult) {
	i := run.Task.Index
	if t.ended || t.runNumbers[i] != run.Number {
		return
	}
	if result == leaseholder.Done {
		t.remaining--
		if t.remaining == 0 {
			w.finishJob(t, served)
		}
		return
	}
	if result == leaseholder.Failed {
		t.failures[i]++
		if t.failures[i] >= t.queue.Attempts {
			w.finishJob(t, failedJob)
			return
		}
	}
	t.avoid[i] = u.id
	t.runNumbers[i]++
	t.pending[i] = true
	w.requestPlacement(t)
}

// stopRun stops a run that the placer wants to place on another upstream.
func (w *simulation) stopRun(s *placerHost, p placer.Placement) {
	u := s.upstreams[p.Upstream]
	r := u.runs[p.Run]
	if r == nil || u.fault == Unresponsive {
		return
	}
	w.result.Rescheduled++
	w.After(stopTime, func() { w.endRun(s, u, p.Run, r, leaseholder.Stopped) })
}

// finishJob ends a job with an outcome, withdraws its pending tasks and stops its active runs.
func (w *simulation) finishJob(t *jobState, outcome jobOutcome) {
	t.ended = true
	w.result.count(t.job, outcome, w.Now()+w.callerLatency()-t.arrival)
	s := t.host
	s.placer.Withdraw("entry", t.id)
	for _, u := range s.sortedUpstreams() {
		for _, run := range u.sortedRuns() {
			if r := u.runs[run]; r.job == t {
				w.After(millis(w.script.IntraDomainLatencyMS)+stopTime, func() { w.endRun(s, u, run, r, leaseholder.Stopped) })
			}
		}
	}
}

// reportProgress reports the progress of all runs to the placers; unresponsive upstreams report
// none.
func (w *simulation) reportProgress() {
	for _, s := range w.hosts {
		for _, u := range s.sortedUpstreams() {
			if u.fault == Unresponsive {
				continue
			}
			for _, run := range u.sortedRuns() {
				r := u.runs[run]
				done := r.progress + float64(w.Now()-r.updatedAt)*u.effectiveSpeed()/float64(r.runTime)
				s.placer.RecordProgress(u.id, run, int(100*min(done, 1)), w.Now()-r.startedAt)
			}
		}
		w.applyDecisions(s)
	}
}

// broadcastFreeCapacity sends the free capacity of each placer to all others.
func (w *simulation) broadcastFreeCapacity() {
	for _, from := range w.hosts {
		free := from.placer.FreeCapacity(w.wallTime())
		for _, to := range w.hosts {
			if to != from {
				w.After(millis(w.script.InterDomainLatencyMS), func() {
					to.placer.SetOtherCapacity(w.wallTime(), from.name, from.domain == to.domain, free)
					w.applyDecisions(to)
				})
			}
		}
	}
}

// injectFault starts a fault on the first Count upstreams, by identifier, of the domains it
// concerns.
func (w *simulation) injectFault(f Fault) {
	for d := range w.script.Domains {
		if f.Domain != "" && w.script.Domains[d].Name != f.Domain {
			continue
		}
		for n := range f.Count {
			id := fmt.Sprintf("%s-%02d", w.script.Domains[d].Name, n)
			for _, s := range w.hosts {
				if u := s.upstreams[id]; u != nil {
					w.applyFault(s, u, f)
				}
			}
		}
	}
}

func (w *simulation) applyFault(s *placerHost, u *upstream, f Fault) {
	w.setFault(s, u, f.Kind, f.Factor)
	w.After(seconds(f.DurationSeconds), func() { w.setFault(s, u, "", 0) })
}

// setFault sets the fault of an upstream, or ends it if kind is empty; runs continue at the new
// speed. An unresponsive upstream becomes unusable after orderTimeout, its runs end with the lease
// after leaseTime, and it becomes usable again when the fault ends.
func (w *simulation) setFault(s *placerHost, u *upstream, kind FaultKind, factor float64) {
	for _, r := range u.runs {
		r.progress += float64(w.Now()-r.updatedAt) * u.effectiveSpeed() / float64(r.runTime)
		r.updatedAt = w.Now()
	}
	previous := u.fault
	u.fault, u.slowFactor = kind, factor
	switch {
	case kind == Unresponsive:
		w.After(orderTimeout, func() { s.placer.SetUsable(w.wallTime(), u.id, false) })
		for _, run := range u.sortedRuns() {
			r := u.runs[run]
			w.After(leaseTime, func() {
				if u.runs[run] == r {
					delete(u.runs, run)
					u.free += r.cpu
				}
				w.notifyEnd(s, u, run, r, leaseholder.LeaseExpired, "")
			})
		}
	case previous == Unresponsive:
		s.placer.SetUsable(w.wallTime(), u.id, true)
		w.applyDecisions(s)
	}
	for _, run := range u.sortedRuns() {
		w.scheduleEnd(s, u, run, u.runs[run])
	}
}
