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

// largestCapacities holds the largest CPU capacity of an upstream by service. It is filled on first use
// during a call of place.
type largestCapacities map[string]int64

// of returns the largest CPU capacity of an upstream of a service.
func (l *largestCapacities) of(p *Placer, service string) int64 {
	if *l == nil {
		*l = largestCapacities{}
		for _, u := range p.sorted {
			(*l)[u.Service] = max((*l)[u.Service], u.Capacity.CPU)
		}
	}
	return (*l)[service]
}

// needsReservation reports whether a task of the job needs so much of any upstream that smaller tasks can
// take its room for long. The argument is the largest CPU capacity of an upstream of its service.
func needsReservation(w *waitingJob, largest int64) bool {
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

// leavesReservations reports whether the end of a task that is placed on an upstream now is expected to be reported before
// the starts that are reserved there, or leaves enough capacity for them. The estimate is that of the task on
// an upstream of average speed.
func (p *Placer) leavesReservations(u *upstream, t Task, estimate time.Duration) bool {
	if !p.reserving {
		return true
	}
	d := u.expected(estimate)
	return p.reservations.HasRoom(u.planIndex, t.Demand, time.Duration(backfillMargin*float64(d))+p.overhead)
}
