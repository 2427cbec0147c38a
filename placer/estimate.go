package placer

import (
	"math"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

const (
	// runTimeHalfLife is the age at which an observed run time has half its initial weight. The
	// run times of a queue change within minutes, with what callers submit.
	runTimeHalfLife = 30 * time.Second
	// maxEstimateRatio is the largest factor between a caller's estimate and the median run time of
	// the queue, in either direction, for which the two are averaged. A larger difference means
	// that the task is unusual for its queue, so that the caller's estimate is used as it is.
	maxEstimateRatio = 3.0
	// maxEstimate bounds the run times that callers declare, so that sums of them and times of plans do not
	// overflow. No caller waits that long.
	maxEstimate = 24 * time.Hour
)

// estimate returns the expected run time of a task on an upstream of average speed. It is the
// geometric mean of the caller's estimate and the median run time of the queue: the two are about
// equally inaccurate, in opposite directions.
func (p *Placer) estimate(now time.Time, j *Job, t Task) time.Duration {
	declared := min(t.Estimate, maxEstimate)
	e := p.runTimes.EstimateDeclared(now, j.Service, j.Queue, declared)
	median := e.P50
	if declared <= 0 {
		return median
	}
	if p.cfg.DisabledRule == RuleCorrectEstimates {
		return declared
	}
	ratio := float64(declared) / float64(median)
	if e.Samples == 0 || ratio > maxEstimateRatio || ratio < 1/maxEstimateRatio {
		return declared
	}
	return time.Duration(math.Sqrt(float64(declared) * float64(median)))
}

// jobHistory holds the results of the runs of one job, whose tasks have about the same size.
type jobHistory struct {
	// openRuns is the number of runs that were placed and have not ended.
	openRuns int
	samples  []sample
	// rescheduled holds the tasks of which a run was stopped as stalled or slow. A task is
	// rescheduled once.
	rescheduled map[sesamedrift.TaskID]bool
	// failedOn holds the upstreams on which tasks of the job have failed.
	failedOn  map[string]bool
	expiresAt time.Time
}

// sample is the run time of a task that succeeded.
type sample struct {
	upstream string
	// logRunTime is the natural logarithm of the run time in seconds, normalized to an upstream of
	// average speed.
	logRunTime float64
}

// meanLog returns the mean of the logarithms of the run times. It needs at least one sample.
func (h *jobHistory) meanLog() float64 {
	sum := 0.0
	for _, s := range h.samples {
		sum += s.logRunTime
	}
	return sum / float64(len(h.samples))
}

// meanRunTime returns the geometric mean of the run times of the tasks that succeeded.
func (h *jobHistory) meanRunTime() time.Duration {
	return time.Duration(math.Exp(h.meanLog()) * float64(time.Second))
}

const (
	// historyRetention is how long the history of a job is kept after its last use.
	historyRetention = 5 * time.Second
	// historySweepInterval is the time between two searches for expired histories.
	historySweepInterval = time.Second
)

// historyOf returns the history of a job, creates it if there is none, and extends its retention.
func (p *Placer) historyOf(now time.Time, key jobKey) *jobHistory {
	h := p.histories[key]
	if h == nil {
		h = &jobHistory{
			rescheduled: map[sesamedrift.TaskID]bool{},
			failedOn:    map[string]bool{},
		}
		p.histories[key] = h
	}
	h.expiresAt = now.Add(historyRetention)
	return h
}

// expireHistories removes the histories whose retention has passed.
func (p *Placer) expireHistories(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(historySweepInterval)
	for key, h := range p.histories {
		if now.After(h.expiresAt) {
			delete(p.histories, key)
		}
	}
}

// recordResult records the result of a run in the history of its job, the health of its upstream
// and the run time estimates, and ejects the upstream if the run failed.
func (p *Placer) recordResult(now time.Time, id string, r *placedRun, result leaseholder.RunResult, reason leaseholder.Reason, runTime time.Duration) {
	u := p.upstreams[id]
	h := p.historyOf(now, r.key)
	h.openRuns--
	switch {
	case result == leaseholder.Done && r.cold:
		u.health.recordSuccess(now)
	case result == leaseholder.Done && runTime > 0:
		if r.expected > 0 { // otherwise placedAt is when the run was found
			p.recordOverhead(now, r, runTime)
		}
		normalized := u.health.normalized(runTime)
		h.samples = append(h.samples, sample{
			upstream:   id,
			logRunTime: math.Log(normalized.Seconds()),
		})
		u.health.recordSuccess(now)
		p.runTimes.Observe(now, u.Service, r.queue, normalized)
	case result == leaseholder.Failed:
		h.failedOn[id] = true
		// Failures of a job on several upstreams are attributed to the job.
		if len(h.failedOn) < jobFaultThreshold {
			p.eject(now, u, "run failed")
		}
	case result == leaseholder.Rejected && reason != leaseholder.StaleRun && reason != leaseholder.LeavingUpstream &&
		reason != leaseholder.EvacuatedDomain:
		p.recordRejection(now, u, reason)
	}
	if h.openRuns <= 0 {
		p.compareSpeeds(h)
	}
}

// compareSpeeds compares the speeds of the upstreams on which tasks of a job succeeded. It is
// called once no run of the job is open: the shorter tasks end first, and a comparison with these
// alone would make the other upstreams look slow.
func (p *Placer) compareSpeeds(h *jobHistory) {
	if len(h.samples) < 2 {
		return
	}
	mean := h.meanLog()
	for _, s := range h.samples {
		if u := p.upstreams[s.upstream]; u != nil {
			u.health.recordComparison(s.logRunTime - mean)
		}
	}
	h.samples = nil
}

// jobFaultThreshold is the number of upstreams with failed tasks of one job from which on these
// failures are attributed to the job instead of the upstreams.
const jobFaultThreshold = 2
