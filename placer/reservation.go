package placer

import (
	"slices"
	"time"
)

const (
	// maxReservations is the number of waiting jobs for which capacity is reserved. Each one keeps later tasks
	// from upstreams that are free now.
	maxReservations = 4
	// reservedDemandShare is the share of the CPU capacity of the largest upstream above which capacity is
	// reserved for a task. Smaller tasks find room without it.
	reservedDemandShare = 0.5
	// backfillMargin is the factor on the expected run time of a task that is placed before a reserved
	// start, for the error of estimates.
	backfillMargin = 1.25
)

// needsReservation reports whether a task of the job needs so much of any upstream that smaller tasks can
// take its room for long.
func (p *Placer) needsReservation(w *waitingJob) bool {
	largest := int64(0)
	for _, u := range p.sorted {
		if u.Service == w.Service {
			largest = max(largest, u.Capacity.CPU)
		}
	}
	return slices.ContainsFunc(w.Tasks, func(t Task) bool { return float64(t.Demand.CPU) > reservedDemandShare*float64(largest) })
}

// reserveLater takes the room for the tasks of a job at their planned starts, so that jobs behind it in
// the order use only what is left. The first call during a call of place plans the runs.
func (p *Placer) reserveLater(now time.Time, w *waitingJob) {
	if !p.reserving {
		p.reserving = true
		p.beginPlan(now, &p.reservations)
	}
	p.addToPlan(now, &p.reservations, w)
}

// leavesReservations reports whether a task that is placed on an upstream now is expected to end before
// the starts that are reserved there, or leaves enough capacity for them.
func (p *Placer) leavesReservations(now time.Time, u *upstream, w *waitingJob, t Task) bool {
	if !p.reserving {
		return true
	}
	d := u.health.expected(p.estimate(now, &w.Job, t))
	return p.reservations.HasRoom(u.planIndex, t.Demand, time.Duration(backfillMargin*float64(d)))
}
