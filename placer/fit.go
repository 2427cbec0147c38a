package placer

import (
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
)

const (
	// fastestFirstFreeShare is the free share of the capacity of a service above which its tasks go to
	// the fastest upstreams instead of the fullest ones.
	fastestFirstFreeShare = 0.4
	// inTimeMargin is the factor by which a run may exceed its expected run time and still end in
	// time, because estimates are inaccurate.
	inTimeMargin = 1.1
	// minSlowFactor is the run time factor of the slowest upstream from which on RuleSpeed has effect
	// for jobs with a smaller slack factor. Smaller factors are within the error of learned speeds.
	minSlowFactor = 1.35
	// overheadWeight is the weight of one run in the moving mean of the overhead.
	overheadWeight = 0.05
	// maxOverhead bounds the overhead of one run, so that a report that was sent again after a lost
	// connection does not distort the mean.
	maxOverhead = 200 * time.Millisecond
)

// selectUpstream returns the upstream for a task. It returns nil if no upstream has the free
// capacity, if another run of the task has not ended, or if the task waits for a faster upstream.
func (p *Placer) selectUpstream(now time.Time, w *waitingJob, t Task) *upstream {
	if p.runCounts[t.Run.Task] > 0 {
		return nil
	}
	p.searches++
	// The estimate needs the quantiles of a histogram, so it is computed once and only where it is used.
	choosesSpeed := p.choosesSpeed(w)
	estimate, limit := time.Duration(0), math.Inf(-1)
	if choosesSpeed || p.reserving {
		estimate = p.estimate(now, &w.Job, t)
	}
	if choosesSpeed {
		limit = maxSlownessInTime(now, w, estimate)
	}
	var fullest, fastest, emptiest, inTime *upstream
	var freeCPU, totalCPU int64
	inTimeLater := false // on an upstream that has too little free capacity now
	for _, u := range p.sorted {
		if !u.usable || u.Service != w.Service {
			continue
		}
		freeCPU += u.free.CPU
		totalCPU += u.Capacity.CPU
		inTimeLater = inTimeLater || choosesSpeed && u.health.slowness <= limit && u.suits(t) && p.available(now, u)
		if !p.canRun(now, u, t, estimate) {
			continue
		}
		if fullest == nil || lessFree(u, fullest) {
			fullest = u
		}
		if fastest == nil || faster(u, fastest) {
			fastest = u
		}
		if emptiest == nil || moreFree(u, emptiest) {
			emptiest = u
		}
		if choosesSpeed && u.health.slowness <= limit && (inTime == nil || lessFree(u, inTime)) {
			inTime = u
		}
	}
	switch {
	case !p.enabled(RuleBinPack):
		return emptiest
	case choosesSpeed && inTime == nil && inTimeLater && now.Before(w.latestStart):
		return nil
	case choosesSpeed && inTime == nil:
		return fastest
	case totalCPU > 0 && float64(freeCPU)/float64(totalCPU) > fastestFirstFreeShare:
		return fastest
	case choosesSpeed:
		return inTime
	default:
		return fullest
	}
}

// choosesSpeed reports whether RuleSpeed has effect for a job: some usable upstream of its service is so slow
// that the job is late there even if it begins at once.
func (p *Placer) choosesSpeed(w *waitingJob) bool {
	if !p.enabled(RuleSpeed) || !p.enabled(RuleBinPack) {
		return false
	}
	limit := math.Log(max(w.SlackFactor, minSlowFactor))
	return slices.ContainsFunc(p.sorted, func(u *upstream) bool {
		return u.health.slowness > limit && u.usable && u.Service == w.Service
	})
}

// maxSlownessInTime returns the slowness up to which an upstream is expected to end a task with the estimate
// within the objective of its job if the task is placed there now.
func maxSlownessInTime(now time.Time, w *waitingJob, expected time.Duration) float64 {
	remaining := w.latestStart.Add(w.estimate).Sub(now)
	if remaining <= 0 || expected <= 0 {
		return math.Inf(-1)
	}
	return math.Log(float64(remaining) / (inTimeMargin * float64(expected)))
}

// recordOverhead adds the time between the placement of a run and the report of its end that was not
// run time to the moving mean of the overhead.
func (p *Placer) recordOverhead(now time.Time, r *placedRun, runTime time.Duration) {
	overhead := max(0, min(now.Sub(r.placedAt)-runTime, maxOverhead))
	p.overhead += time.Duration(overheadWeight * float64(overhead-p.overhead))
}

// maxFreeCPU returns the largest free CPU capacity of an available upstream, or -1 if no upstream
// is available.
func (p *Placer) maxFreeCPU(now time.Time) int64 {
	maxFree := int64(-1)
	for _, u := range p.sorted {
		if u.free.CPU > maxFree && p.available(now, u) {
			maxFree = u.free.CPU
		}
	}
	return maxFree
}

// available reports whether an upstream accepts tasks now if it has the free capacity.
func (p *Placer) available(now time.Time, u *upstream) bool {
	return u.usable && (!u.isCold || len(u.runs) == 0) && (p.cfg.Policy == FIFO || u.health.acceptsTasks(now))
}

// sameConstraints reports whether two tasks of one job can run on the same upstreams, so that
// there is no upstream for one if there is none for the other.
func (t *Task) sameConstraints(other *Task) bool {
	return t.Demand == other.Demand && t.Requires == other.Requires && t.Avoid == other.Avoid && t.MaxPerUpstream == other.MaxPerUpstream &&
		t.Run.Task.Step == other.Run.Task.Step
}

// canRun reports whether a task may be placed on an upstream of its service now. The estimate is used while
// capacity is reserved.
func (p *Placer) canRun(now time.Time, u *upstream, t Task, estimate time.Duration) bool {
	if !t.Demand.Fits(u.free) || !u.suits(t) {
		return false
	}
	if t.MaxPerUpstream > 0 && u.runsOfStep(t.Run.Task) >= t.MaxPerUpstream {
		return false
	}
	return p.available(now, u) && p.leavesReservations(u, t, estimate)
}

// suits reports whether a task may run on the upstream when no other run uses its capacity.
func (u *upstream) suits(t Task) bool {
	if u.ID == t.Avoid || !t.Demand.Fits(u.Capacity) {
		return false
	}
	return t.Requires == "" || t.Requires == u.WorkerType || t.Requires == u.Rack
}

// runsOfStep returns the number of runs on the upstream that belong to the step of a task.
func (u *upstream) runsOfStep(id sesamedrift.TaskID) int {
	return u.stepRuns[stepOf(id)]
}

// lessFree reports whether a has less free CPU than b, or as much and is faster. Cold upstreams come last.
func lessFree(a, b *upstream) bool {
	if a.isCold != b.isCold {
		return b.isCold
	}
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	return faster(a, b)
}

// faster reports whether a is faster than b. Cold upstreams come last. Among equally fast upstreams the one with less free
// CPU comes first, then the one with the lower identifier.
func faster(a, b *upstream) bool {
	switch {
	case a.isCold != b.isCold:
		return b.isCold
	case a.health.slowness != b.health.slowness:
		return a.health.slowness < b.health.slowness
	case a.free.CPU != b.free.CPU:
		return a.free.CPU < b.free.CPU
	default:
		return a.ID < b.ID
	}
}

// moreFree reports whether a has more free CPU than b, or as much and the lower identifier.
func moreFree(a, b *upstream) bool {
	if a.free.CPU != b.free.CPU {
		return a.free.CPU > b.free.CPU
	}
	return a.ID < b.ID
}
