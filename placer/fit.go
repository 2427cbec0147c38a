package placer

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

// fastestFirstFreeShare is the free share of the capacity of a service above which its tasks go to
// the fastest upstreams instead of the fullest ones.
const fastestFirstFreeShare = 0.4

// selectUpstream returns the upstream for a task. It returns nil if no upstream has the free
// capacity, or if another run of the task has not ended.
func (p *Placer) selectUpstream(now time.Time, w *waitingJob, t Task) *upstream {
	if p.runCounts[t.Run.Task] > 0 {
		return nil
	}
	p.searches++
	var fullest, fastest, emptiest *upstream
	var freeCPU, totalCPU int64
	for _, u := range p.sorted {
		if !u.usable || u.Service != w.Service {
			continue
		}
		freeCPU += u.free.CPU
		totalCPU += u.Capacity.CPU
		if !p.canRun(now, u, w, t) {
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
	}
	switch {
	case !p.enabled(RuleBinPack):
		return emptiest
	case totalCPU > 0 && float64(freeCPU)/float64(totalCPU) > fastestFirstFreeShare:
		return fastest
	default:
		return fullest
	}
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
	return u.usable && (p.cfg.Policy == FIFO || u.health.acceptsTasks(now))
}

// sameConstraints reports whether two tasks of one job can run on the same upstreams, so that
// there is no upstream for one if there is none for the other.
func (t *Task) sameConstraints(other *Task) bool {
	return t.Demand == other.Demand && t.Requires == other.Requires && t.Avoid == other.Avoid && t.MaxPerUpstream == other.MaxPerUpstream &&
		t.Run.Task.Step == other.Run.Task.Step
}

// canRun reports whether a task may be placed on an upstream now.
func (p *Placer) canRun(now time.Time, u *upstream, w *waitingJob, t Task) bool {
	if u.Service != w.Service || u.ID == t.Avoid || !t.Demand.Fits(u.free) {
		return false
	}
	if t.Requires != "" && t.Requires != u.WorkerType && t.Requires != u.Rack {
		return false
	}
	if t.MaxPerUpstream > 0 && u.runsOfStep(t.Run.Task) >= t.MaxPerUpstream {
		return false
	}
	return p.available(now, u) && p.leavesReservations(now, u, w, t)
}

// runsOfStep returns the number of runs on the upstream that belong to the step of a task.
func (u *upstream) runsOfStep(id sesamedrift.TaskID) int {
	n := 0
	for run := range u.runs {
		if run.Task.Job == id.Job && run.Task.Step == id.Step {
			n++
		}
	}
	return n
}

// lessFree reports whether a has less free CPU than b, or as much and is faster.
func lessFree(a, b *upstream) bool {
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	return faster(a, b)
}

// faster reports whether a is faster than b. Among equally fast upstreams the one with less free
// CPU comes first, then the one with the lower identifier.
func faster(a, b *upstream) bool {
	switch {
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
