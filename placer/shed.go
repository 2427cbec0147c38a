package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overrunShare is the estimated remaining time of a run that has exceeded its expected run
	// time, as a share of the expected run time.
	overrunShare = 0.3
	// foundRunTime is the expected run time, from when it was found, of a run that an earlier placer has
	// placed, until its progress is known. It is the default estimate of package estimator.
	foundRunTime = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may be sent again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// capacityRelease is CPU capacity that is expected to become free.
type capacityRelease struct {
	after time.Duration // from now
	cpu   int64
}

// shed forwards or refuses jobs until all that still wait are predicted to end in time.
func (p *Placer) shed(now time.Time) {
	if p.closed != "" {
		p.clearWaiting(now)
		return
	}
	if !p.enabled(RuleShed) {
		p.refuseExpired(now)
		return
	}
	if now.Before(p.cfg.GraceUntil) {
		return
	}
	p.forwardWaiting(now)
	switch {
	case len(p.order) == 0:
	case p.enabled(RulePlan):
		p.shedByPlan(now)
	default:
		p.shedBySum(now)
	}
}

// shedBySum predicts the starts of jobs from the sum of the free CPU capacity.
func (p *Placer) shedBySum(now time.Time) {
	// Jobs that are forwarded or refused here have no runs, so the releases stay valid.
	free, releases := p.predictReleases(now)
	for len(p.order) > 0 {
		late, index, lateness := p.firstLate(now, free, slices.Clone(releases))
		if late == nil {
			return
		}
		victim := p.selectVictim(now, index)
		if victim == nil {
			return
		}
		if !p.forward(now, victim) {
			p.refuse(victim, refusalReason(now, victim), lateness, retryAfter(releases))
		}
	}
}

// refusalReason returns the reason for which a job is refused because of load.
func refusalReason(now time.Time, w *waitingJob) Reason {
	if now.After(w.Deadline.Add(-w.estimate)) {
		return ReasonDeadline
	}
	return ReasonOverload
}

// refuseExpired refuses the jobs that cannot end before their deadline.
func (p *Placer) refuseExpired(now time.Time) {
	for _, w := range slices.Clone(p.order) {
		if now.Add(w.estimate).After(w.Deadline) {
			_, releases := p.predictReleases(now)
			p.refuse(w, ReasonDeadline, 0, retryAfter(releases))
		}
	}
}

// unboundedLateness is the predicted lateness of a job for which the capacity does not suffice even
// after all runs have ended.
const unboundedLateness = time.Hour

// firstLate predicts when each waiting job starts, from the free CPU capacity and its releases. It
// returns the first job that has not begun and will start too late, its index in the order and its
// lateness, or nil if there is none. It modifies the slice of releases.
func (p *Placer) firstLate(now time.Time, free int64, releases []capacityRelease) (*waitingJob, int, time.Duration) {
	for i, w := range p.order {
		demand := int64(0)
		for _, t := range w.Tasks {
			demand += t.Demand.CPU
		}
		startAfter := time.Duration(0)
		for free < demand && len(releases) > 0 {
			free += releases[0].cpu
			startAfter = releases[0].after
			releases = releases[1:]
		}
		if !w.Started && free < demand {
			return w, i, unboundedLateness
		}
		if slack := w.latestStart.Sub(now); !w.Started && startAfter > slack {
			return w, i, startAfter - slack
		}
		free -= demand
		end := capacityRelease{
			after: startAfter + w.estimate,
			cpu:   demand,
		}
		index, _ := slices.BinarySearchFunc(releases, end, compareReleases)
		releases = slices.Insert(releases, index, end)
	}
	return nil, 0, 0
}

func compareReleases(a, b capacityRelease) int {
	return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.cpu, b.cpu))
}

// remaining returns the expected time until the end of the run is reported. The overhead is that of
// Placer.overhead. A run that an earlier placer has placed has no expected run time; its progress is used
// if it is known.
func (r *placedRun) remaining(now time.Time, overhead time.Duration) time.Duration {
	expected, elapsed := r.expected, now.Sub(r.placedAt)
	switch {
	case expected == 0 && r.progress.percent > 0:
		expected, elapsed = r.progress.projectedRunTime(), r.progress.runTime
	case expected == 0:
		expected = foundRunTime
	}
	if after := expected + overhead - elapsed; after >= 0 {
		return after
	}
	return time.Duration(overrunShare * float64(expected))
}

// predictReleases returns the CPU capacity that is free now on the usable upstreams that accept
// tasks, and the expected releases by the runs there, the earliest first. A cold upstream counts with the
// part of its capacity that one task of mean demand uses, less by coldFactor, until it is warm.
func (p *Placer) predictReleases(now time.Time) (free int64, releases []capacityRelease) {
	runs := 0
	for _, u := range p.sorted {
		runs += len(u.runs)
	}
	releases = make([]capacityRelease, 0, runs+len(p.sorted))
	for _, u := range p.sorted {
		if !u.usable || !u.health.acceptsTasks(now) {
			continue
		}
		free += u.free.CPU
		if u.isCold {
			unused := max(u.free.CPU, 0)
			if len(u.runs) == 0 {
				unused -= int64(min(p.meanCPU, float64(unused)) / coldFactor)
			}
			free -= unused
			releases = append(releases, capacityRelease{
				after: max(0, u.ColdUntil.Sub(now)),
				cpu:   unused,
			})
		}
		for _, r := range u.runs {
			releases = append(releases, capacityRelease{
				after: r.remaining(now, p.overhead),
				cpu:   r.demand.CPU,
			})
		}
	}
	slices.SortFunc(releases, compareReleases)
	return free, releases
}

// retryAfter returns the time after which a refused job may be sent again: the time in which half
// of the runs are expected to end, within bounds.
func retryAfter(releases []capacityRelease) time.Duration {
	wait := minRetryAfter
	if n := len(releases); n > 0 {
		wait = releases[n/2].after
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
