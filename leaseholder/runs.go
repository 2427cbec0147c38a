package leaseholder

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
)

// Start sends the start order of a run. A run that the session tracks already is claimed for the
// entry host of t; a run that cannot be started now is rejected with an Ended event.
func (s *Session) Start(now time.Time, t Task) {
	switch {
	case s.tasks[t.Run] != nil:
		s.tasks[t.Run].claim(t)
		return
	case !s.Ready():
		s.reportRejected(t, Unreachable)
		return
	case s.upstream.State != discoverer.Serving:
		s.reportRejected(t, LeavingUpstream)
		return
	}
	s.tasks[t.Run] = &task{
		Task:       t,
		phase:      startPending,
		phaseSince: now,
		orderedAt:  now,
	}
	o := s.newOrder(now, StartOrder, s.cfg.ResponseTimeout)
	o.Run = t.Run
	o.Content = t.Content
	o.LeaseUntil = s.newLeaseEnd(now)
	s.send(o)
	s.nextRenewalAt = now
}

// claim assigns a run to the entry host that requests it.
func (t *task) claim(wanted Task) {
	t.unclaimed = false
	t.Entry = wanted.Entry
	t.Demand = wanted.Demand
	t.Content = wanted.Content
}

// answered reports whether the upstream has accepted the start order or listed the run.
func (t *task) answered() bool { return t.phase == confirmed }

func (s *Session) reportRejected(t Task, reason Reason) {
	s.events = append(s.events, Event{
		Kind:   Ended,
		Task:   t,
		Result: Rejected,
		Reason: reason,
	})
}

// Watch requests an Ended event for a run that a previous leaseholder has started. It has no effect
// on a session that has lost the lease, since the state of the run is then unknown.
func (s *Session) Watch(now time.Time, t Task) {
	watched := slices.ContainsFunc(s.watches, func(w watch) bool { return w.Run == t.Run })
	switch {
	case s.tasks[t.Run] != nil:
		s.tasks[t.Run].claim(t)
	case s.replaced:
		s.reportWatched(t, Lost)
	case !s.closed && !watched:
		s.watches = append(s.watches, watch{
			Task:        t,
			requestedAt: now,
		})
		s.scheduleRenewal(now)
	}
}

func (s *Session) reportWatched(t Task, result RunResult) {
	s.events = append(s.events, Event{
		Kind:   Ended,
		Task:   t,
		Result: result,
	})
}

// Stop sends the stop order of a run, once it is found if it is only watched. An Ended event reports the end of the run.
func (s *Session) Stop(now time.Time, run sesamedrift.Run) {
	if t := s.tasks[run]; t != nil {
		if !t.stopRequested {
			t.stopRequested = true
			s.sendStop(now, t)
		}
		return
	}
	for i := range s.watches {
		if s.watches[i].Run == run {
			s.watches[i].stopRequested = true
		}
	}
}

// PendingStops returns the runs to be stopped of which the upstream has accepted no stop order, sorted by run.
func (s *Session) PendingStops() []sesamedrift.Run {
	var runs []sesamedrift.Run
	for _, t := range s.tasksWhere(func(t *task) bool { return t.stopRequested && t.stopAckedAt.IsZero() }) {
		runs = append(runs, t.Run)
	}
	for _, w := range s.watches {
		if w.stopRequested {
			runs = append(runs, w.Run)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// Unclaimed returns the runs that were found at least the given time ago and that no entry host has claimed, without
// those that are being stopped, sorted by run.
func (s *Session) Unclaimed(now time.Time, age time.Duration) []sesamedrift.Run {
	found := s.tasksWhere(func(t *task) bool { return t.unclaimed && !t.stopRequested && now.Sub(t.phaseSince) >= age })
	runs := make([]sesamedrift.Run, 0, len(found))
	for _, t := range found {
		runs = append(runs, t.Run)
	}
	return runs
}

// StopUnclaimed sends the stop order of a run unless an entry host has claimed it, and reports whether it did.
func (s *Session) StopUnclaimed(now time.Time, run sesamedrift.Run) bool {
	t := s.tasks[run]
	if t == nil || !t.unclaimed || t.stopRequested {
		return false
	}
	s.Stop(now, run)
	return true
}

// StopAll stops the runs of an entry host and drops its watches.
func (s *Session) StopAll(now time.Time, entry string) {
	for _, t := range s.sortedTasks() {
		if t.Entry == entry {
			s.Stop(now, t.Run)
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool { return w.Entry == entry })
}

// DisownAll lets the runs of an entry host count as found now: they are stopped unless it claims them again. It
// drops the watches of the entry host.
func (s *Session) DisownAll(now time.Time, entry string) {
	for _, t := range s.tasks {
		if t.Entry == entry && !t.unclaimed {
			t.unclaimed = true
			t.phaseSince = now
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool { return w.Entry == entry })
}

func (s *Session) sortedTasks() []*task {
	return s.tasksWhere(func(*task) bool { return true })
}

// tasksWhere returns the tasks that a function accepts, sorted by run.
func (s *Session) tasksWhere(accept func(t *task) bool) []*task {
	var all []*task
	for _, t := range s.tasks {
		if accept(t) {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *task) int { return compareRuns(a.Run, b.Run) })
	return all
}

func (s *Session) sendStop(now time.Time, t *task) {
	t.stopSentAt = now
	o := s.newOrder(now, StopOrder, s.cfg.ResponseTimeout)
	o.Run = t.Run
	s.send(o)
}

func (s *Session) newOrder(now time.Time, kind OrderKind, timeout time.Duration) Order {
	s.lastOrderID++
	return Order{
		Kind:        kind,
		ID:          s.lastOrderID,
		Incarnation: s.incarnation,
		Token:       s.token,
		SentAt:      now,
		Timeout:     timeout,
	}
}

func (s *Session) send(o Order) {
	s.leaseUntil = max(s.leaseUntil, o.LeaseUntil)
	if o.LeaseUntil > 0 {
		s.leaseOrderedAt = o.SentAt
	}
	s.orders = append(s.orders, o)
}

// newLeaseEnd returns the end of a lease that starts now, or 0 if the clock of the upstream is
// unknown. The upstream's clock is at most its last reading plus the time since that reading was
// requested.
func (s *Session) newLeaseEnd(now time.Time) int64 {
	if !s.clockKnown {
		return 0
	}
	return s.clock + (now.Sub(s.clockRequestedAt) + s.cfg.LeaseTime).Milliseconds()
}
