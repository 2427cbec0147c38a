package placer

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// placedRun is a run that was placed on an upstream and has not ended.
type placedRun struct {
	demand   sesamedrift.Resources
	key      jobKey
	queue    string
	placedAt time.Time
	expected time.Duration
	// cold is set if the upstream was cold when the run was placed; the run time then does not show its speed.
	cold bool
	// probe is set if the run was placed while the upstream was probing, and counts in health.probeRuns.
	probe bool
	// reported is set once the leaseholder has listed the run.
	reported     bool
	progress     progress
	rescheduling bool
}

// Reconcile replaces the runs of an upstream by those that its leaseholder lists. Placements that
// the leaseholder may not have received yet are kept.
func (p *Placer) Reconcile(now time.Time, id string, running []leaseholder.Task) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	known := make(map[sesamedrift.Run]bool, len(running))
	for _, t := range running {
		known[t.Run] = true
		r := u.runs[t.Run]
		if r == nil {
			r = &placedRun{
				key: jobKey{
					entry: t.Entry,
					id:    t.Run.Task.Job,
				},
				placedAt: now,
				cold:     u.isCold,
			}
			p.addRun(u, t.Run, r)
		}
		r.demand = t.Demand
		r.reported = true
	}
	for run, r := range u.runs {
		if !known[run] && (r.reported || now.Sub(r.placedAt) > unreportedTimeout) {
			p.removeRun(u, run)
		}
	}
	u.recomputeFree()
	p.place(now)
}

// addRun adds an open run to an upstream. The caller updates the free capacity.
func (p *Placer) addRun(u *upstream, run sesamedrift.Run, r *placedRun) {
	u.runs[run] = r
	u.stepRuns[stepOf(run.Task)]++
	p.runCounts[run.Task]++
}

// removeRun removes an open run from an upstream. The caller updates the free capacity.
func (p *Placer) removeRun(u *upstream, run sesamedrift.Run) {
	if u.runs[run].probe {
		u.health.probeRuns = max(0, u.health.probeRuns-1)
	}
	delete(u.runs, run)
	step := stepOf(run.Task)
	if u.stepRuns[step]--; u.stepRuns[step] <= 0 {
		delete(u.stepRuns, step)
	}
	if p.runCounts[run.Task]--; p.runCounts[run.Task] <= 0 {
		delete(p.runCounts, run.Task)
	}
}

// unreportedTimeout is how long a placement is kept if the leaseholder does not list the run. It
// covers the messages from the placer to the entry host and on to the leaseholder, with one resend
// of a batch.
const unreportedTimeout = time.Second

// isPlaced reports whether a run is placed for an entry host and has not ended.
func (p *Placer) isPlaced(entry string, run sesamedrift.Run) bool {
	if p.runCounts[run.Task] == 0 {
		return false
	}
	return slices.ContainsFunc(p.sorted, func(u *upstream) bool {
		r := u.runs[run]
		return r != nil && r.key.entry == entry
	})
}

// Release removes a placement that will not be used.
func (p *Placer) Release(now time.Time, id string, run sesamedrift.Run) {
	p.freeRun(id, run)
	p.place(now)
}

// freeRun removes a run and adds its demand to the free capacity. It returns nil if the upstream or
// the run is not known.
func (p *Placer) freeRun(id string, run sesamedrift.Run) *placedRun {
	u := p.upstreams[id]
	if u == nil {
		return nil
	}
	r := u.runs[run]
	if r != nil {
		p.removeRun(u, run)
		u.free = u.free.Plus(r.demand)
	}
	return r
}

// RunEnded records the end of a run, with its result and its run time, and places waiting tasks on
// the capacity that has become free. The reason is that of a rejected run.
func (p *Placer) RunEnded(now time.Time, id string, run sesamedrift.Run, result leaseholder.RunResult, reason leaseholder.Reason, runTime time.Duration) {
	r := p.freeRun(id, run)
	if r != nil {
		p.recordResult(now, id, r, result, reason, runTime)
	}
	p.place(now)
}

// reserve adds a run of a task to an upstream.
func (p *Placer) reserve(now time.Time, w *waitingJob, t Task, u *upstream) {
	expected := u.expected(p.estimate(now, &w.Job, t))
	p.addRun(u, t.Run, &placedRun{
		demand:   t.Demand,
		key:      w.key,
		queue:    w.Queue,
		placedAt: now,
		expected: expected,
		cold:     u.isCold,
	})
	u.free = u.free.Minus(t.Demand)
	if p.reserving {
		p.reservations.Take(u.planIndex, t.Demand, expected+p.overhead)
	}
}

// unreserve removes the runs that reserve has added for the tasks of a job.
func (p *Placer) unreserve(w *waitingJob, selected []*upstream) {
	for i, u := range selected {
		if u == nil {
			continue
		}
		r := p.freeRun(u.ID, w.Tasks[i].Run)
		if p.reserving {
			p.reservations.GiveBack(u.planIndex, r.demand, r.expected+p.overhead)
		}
	}
}
