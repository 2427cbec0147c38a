package placer

import "time"

const (
	// maxReservations is the number of waiting jobs for which capacity is reserved. In load scripts with
	// large tasks, reservations for 1, 2 or 8 jobs or for all of them earn less.
	maxReservations = 4
	// backfillMargin is the factor on the expected run time of a task that is placed before a reserved
	// start, for the error of estimates.
	backfillMargin = 1.25
)

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
