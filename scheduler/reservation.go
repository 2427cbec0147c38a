package scheduler

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

// reservation reserves an upstream for a task for which no upstream has enough free capacity. It is
// valid while the task is the next one of its class. A service has one reservation at a time: two on
// the same upstream would block each other.
type reservation struct {
	entry    *entry
	upstream *upstream
}

func (r reservation) valid(short, long *entry) bool {
	return r.entry != nil && (r.entry == short || r.entry == long)
}

func (u *upstream) bounded() bool { return u.Capacity != sesamedrift.Resources{} }

// freeCapacity returns the capacity that the running tasks do not use.
func (u *upstream) freeCapacity() sesamedrift.Resources { return u.Capacity.Minus(u.used) }

// canRun reports whether the upstream has enough free capacity for the task and is not reserved
// for another one; short and long are the next tasks of the classes.
func (s *service) canRun(u *upstream, e, short, long *entry) bool {
	if s.reservation.upstream == u && s.reservation.entry != e && s.reservation.valid(short, long) {
		return false
	}
	return u.Capacity.Allows(u.used.Plus(e.task.Demand))
}

// chooseByCapacity returns a task to start and its upstream if the preferred upstream of task e
// cannot run it. It chooses e with another upstream if possible. Otherwise it reserves an upstream
// for e and chooses the next task of the other class.
func (s *service) chooseByCapacity(now time.Time, e, short, long *entry) (*entry, *upstream) {
	canLend := short == nil && s.canLend(now)
	if u := s.bestWithCapacity(e, canLend, short, long); u != nil {
		return e, u
	}
	s.reserveUpstream(e, short, long)
	other := short
	if e == short {
		other = long
	}
	if other == nil || other == long && s.longRunning >= s.longLimit() {
		return nil, nil
	}
	return other, s.bestWithCapacity(other, false, short, long)
}

// bestWithCapacity returns the best serving upstream that can run the task, or nil. A long task stays
// within the share of long tasks of the upstream unless canLend is true.
func (s *service) bestWithCapacity(e *entry, canLend bool, short, long *entry) *upstream {
	var best *upstream
	for _, u := range s.byScore.items {
		if u.freeSlots == 0 || !s.fifo && e.task.Class == Long && !canLend && !u.acceptsLong() {
			continue
		}
		if s.canRun(u, e, short, long) && (best == nil || betterUpstream(u, best)) {
			best = u
		}
	}
	return best
}

// reserveUpstream reserves for the task the serving upstream with the smallest missing share of
// capacity, unless the service has a valid reservation already. It reserves none for a task that is
// larger than every upstream.
func (s *service) reserveUpstream(e, short, long *entry) {
	if r := s.reservation; r.valid(short, long) && s.byScore.contains(r.upstream) && r.entry.task.Demand.Fits(r.upstream.Capacity) {
		return
	}
	demand := e.task.Demand
	s.reservation = reservation{}
	var best *upstream
	var smallest float64
	for _, u := range s.byScore.items {
		if !u.bounded() || !demand.Fits(u.Capacity) {
			continue
		}
		if m := missingShare(demand, u); best == nil || m < smallest || m == smallest && betterUpstream(u, best) {
			best, smallest = u, m
		}
	}
	if best != nil {
		s.reservation = reservation{
			entry:    e,
			upstream: best,
		}
	}
}

// missingShare returns the share of the capacity that must become free to meet the demand, for the
// resource with the largest such share.
func missingShare(demand sesamedrift.Resources, u *upstream) float64 {
	missing := demand.Minus(u.freeCapacity())
	share := 0.0
	for _, d := range [...]struct{ missing, capacity int64 }{
		{missing.CPU, u.Capacity.CPU},
		{missing.Memory, u.Capacity.Memory},
		{missing.Accelerators, u.Capacity.Accelerators},
	} {
		if d.missing > 0 && d.capacity > 0 {
			share = max(share, float64(d.missing)/float64(d.capacity))
		}
	}
	return share
}

// FitsAnyUpstream reports whether some upstream of the service, in any state, has the capacity for
// a task of this demand when it is idle. It also reports true for a service without upstreams.
func (q *Queue) FitsAnyUpstream(service string, demand sesamedrift.Resources) bool {
	known := false
	for _, u := range q.upstreams {
		if u.Service != service {
			continue
		}
		if u.Capacity.Allows(demand) {
			return true
		}
		known = true
	}
	return !known
}
