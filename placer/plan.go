package placer

import (
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/forecaster"
)

// planReusePerJob is how long a plan is extended by newly arrived jobs instead of made again, for each
// waiting job. The cost of a plan grows with the waiting jobs: one of 500 jobs takes 2 ms, which is 4 %
// of a core every 50 ms.
const planReusePerJob = 100 * time.Microsecond

// waitingPlan is the plan of the starts of the waiting jobs.
type waitingPlan struct {
	forecaster.Planner
	madeAt time.Time
	// outdated is set if upstreams have joined, left or changed since. Ejections are left to the next plan.
	outdated bool
	// number is the number of plans made. The plan contains the jobs whose planNumber equals it.
	number uint64
	// upstreams and job are memory that is used again.
	upstreams []forecaster.Upstream
	job       forecaster.Job
}

// beginPlan begins a plan from the runs on the usable upstreams that accept tasks, without waiting jobs.
func (p *Placer) beginPlan(now time.Time, l *waitingPlan) {
	l.madeAt = now
	l.outdated = false
	l.number++
	n := 0
	for _, u := range p.sorted {
		if !u.usable || !u.health.acceptsTasks(now) {
			continue
		}
		if n == len(l.upstreams) {
			l.upstreams = append(l.upstreams, forecaster.Upstream{})
		}
		planned := &l.upstreams[n]
		u.planIndex = n
		n++
		*planned = forecaster.Upstream{
			Service:    u.Service,
			ID:         u.ID,
			WorkerType: u.WorkerType,
			Rack:       u.Rack,
			Free:       u.free,
			Slowness:   math.Exp(u.health.slowness),
			Releases:   planned.Releases[:0],
		}
		if u.isCold {
			planned.ColdFor, planned.ColdFactor = max(0, u.ColdUntil.Sub(now)), coldFactor
		}
		for _, r := range u.runs {
			planned.Releases = append(planned.Releases, forecaster.Release{
				After:  r.remaining(now, p.overhead),
				Demand: r.demand,
			})
		}
	}
	l.upstreams = l.upstreams[:n]
	l.Reset(l.upstreams)
}

// addToPlan plans the waiting tasks of a job behind the jobs in the plan.
func (p *Placer) addToPlan(now time.Time, l *waitingPlan, w *waitingJob) forecaster.Forecast {
	j := &l.job
	j.Service = w.Service
	j.NotBefore = now.Sub(l.madeAt)
	j.Overhead = p.overhead
	j.Tasks = j.Tasks[:0]
	for i, t := range w.Tasks {
		planned := forecaster.Task{
			Demand:         t.Demand,
			Requires:       t.Requires,
			Avoid:          t.Avoid,
			Step:           t.Run.Task.Step,
			MaxPerUpstream: t.MaxPerUpstream,
		}
		if i > 0 && t.Estimate == w.Tasks[i-1].Estimate {
			planned.RunTime = j.Tasks[i-1].RunTime
		} else {
			planned.RunTime = p.estimate(now, &w.Job, t)
		}
		j.Tasks = append(j.Tasks, planned)
	}
	return l.Add(j)
}

// withdraw gives the room of a job back if the plan contains it. Forecasts of earlier plans are invalid.
func (l *waitingPlan) withdraw(w *waitingJob) {
	if l.number > 0 && w.planNumber == l.number {
		l.Remove(w.forecast)
		w.planNumber = 0
	}
}

// shedByPlan plans the waiting jobs in their order. For each job that would end after its objective, it
// forwards or refuses a job, until the plan has room for the others. The room of a job that is removed is
// used by the late job and those behind it; the jobs between the two keep their planned starts.
//
// A recent plan of the same upstreams is extended by the jobs that are not in it, behind those that are. A job that is late there
// but precedes others is decided on with the next plan.
func (p *Placer) shedByPlan(now time.Time) {
	extended := p.plan.number > 0 && !p.plan.outdated && now.Sub(p.plan.madeAt) < time.Duration(len(p.order))*planReusePerJob
	if !extended {
		p.beginPlan(now, &p.plan)
	}
	for i := 0; i < len(p.order); i++ {
		w := p.order[i]
		if w.planNumber == p.plan.number {
			continue
		}
		w.forecast = p.addToPlan(now, &p.plan, w)
		w.planNumber = p.plan.number
		lateness := p.plan.lateness(w, p.overhead)
		if w.Started || lateness <= 0 {
			if w.plannedStart.IsZero() {
				w.plannedStart = p.plan.madeAt.Add(w.forecast.Begin)
			}
			continue
		}
		if extended && i+1 < len(p.order) {
			p.plan.withdraw(w)
			continue
		}
		if !w.forecast.Fits && (p.waitsForCooldown(now, w) || p.runsLocally(w)) {
			continue
		}
		// For a task that fits no upstream, no other job can make room.
		victim := w
		if w.forecast.Fits {
			victim = p.selectVictim(now, i)
		}
		if victim == nil {
			continue
		}
		// The late job is planned again with the room of the victim, unless it is the victim.
		p.plan.withdraw(w)
		p.plan.withdraw(victim)
		i = slices.Index(p.order, victim) - 1
		if p.forward(now, victim) || p.forwardBusy(now, victim) {
			continue
		}
		similar := w.forecast
		if victim != w {
			similar = p.addToPlan(now, &p.plan, victim)
			p.plan.Remove(similar)
		}
		p.refuse(victim, refusalReason(now, victim), lateness, p.plan.retryAfter(now, similar))
	}
}

// waitsForCooldown reports whether each waiting task of a job may still begin in time on some upstream once that
// accepts tasks again. Upstreams that do not are not in the plan.
func (p *Placer) waitsForCooldown(now time.Time, w *waitingJob) bool {
	if !now.Before(w.latestStart) {
		return false
	}
	for _, t := range w.Tasks {
		if !slices.ContainsFunc(p.sorted, func(u *upstream) bool {
			return u.usable && u.Service == w.Service && u.suits(t) && !u.health.cooldownUntil.After(w.latestStart)
		}) {
			return false
		}
	}
	return true
}

// lateness returns by how much a planned job would end after its objective, or unboundedLateness if
// there is no room for one of its tasks. Planned ends include the overhead, the latest start excludes it.
func (l *waitingPlan) lateness(w *waitingJob, overhead time.Duration) time.Duration {
	if !w.forecast.Fits {
		return unboundedLateness
	}
	return l.madeAt.Add(w.forecast.End).Sub(w.latestStart.Add(w.estimate + overhead))
}

// retryAfter returns the time after which all tasks of a job with the forecast can have begun.
func (l *waitingPlan) retryAfter(now time.Time, f forecaster.Forecast) time.Duration {
	return min(max(f.AllBegun-now.Sub(l.madeAt), minRetryAfter), maxRetryAfter)
}
