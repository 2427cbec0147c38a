package leaseholder

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
)

// An upstream may restart under its identifier. Orders name the identifier alone, and only reports and lists of runs name the
// incarnation, so a start order may be executed by a later incarnation than the session knows.

// Update records a newer report about the upstream. A report about another incarnation or another address than that
// of the session restarts it: the session closes with an event Restarted. A report that is older than the responses of
// the upstream is ignored.
func (s *Session) Update(now time.Time, u discoverer.Upstream) {
	switch {
	case u.Address != s.upstream.Address || s.incarnation != 0 && u.Incarnation > s.incarnation:
		s.restart(now, u.Incarnation, u.Address)
	case u.Incarnation != 0 && u.Incarnation < s.incarnation:
	default:
		if (u.Incarnation != s.upstream.Incarnation || s.upstream.Stored && !u.Stored) && !s.ready {
			s.failures = 0
			s.nextRenewalAt = now
		}
		s.upstream = u
	}
}

// checkIncarnation closes the session and returns true if a later incarnation or another upstream responded.
func (s *Session) checkIncarnation(now time.Time, resp Response) bool {
	switch {
	case resp.Status == OtherIncarnation:
		s.replace(now)
		return true
	case s.incarnation == 0:
		s.incarnation = resp.Incarnation
	case resp.Incarnation > s.incarnation:
		s.restart(now, resp.Incarnation, s.upstream.Address)
		return true
	}
	return false
}

// replace closes the session because another upstream has the address. All runs have ended.
func (s *Session) replace(now time.Time) {
	s.closed = true
	s.replaced = true
	for _, t := range s.sortedTasks() {
		s.end(now, t, Lost, "")
	}
	for _, w := range s.watches {
		s.reportWatched(w.Task, Lost)
	}
	s.watches = nil
	s.events = append(s.events, Event{Kind: Replaced})
}

// restart closes the session because the upstream has another incarnation or address. The runs that the present
// incarnation has listed end with it; where the others are, only the next one can tell.
func (s *Session) restart(now time.Time, incarnation uint64, address string) {
	if s.closed {
		return
	}
	s.closed = true
	s.orders = nil
	next := s.incarnation != 0 && incarnation > s.incarnation
	var inherited []watch
	for _, t := range s.sortedTasks() {
		if next && (t.listed || address != s.upstream.Address) {
			s.end(now, t, Lost, "")
			continue
		}
		delete(s.tasks, t.Run)
		if !t.unclaimed {
			inherited = append(inherited, watch{
				Task:          t.Task,
				stopRequested: t.stopRequested,
				inherited:     true,
				answered:      t.answered(),
			})
		}
	}
	s.watches = append(inherited, s.watches...)
	s.events = append(s.events, Event{Kind: Restarted})
}

// Successor returns a session with the next incarnation of the upstream. It watches the runs of this session that
// this incarnation may have started; since its fencing token is higher, none of them starts later.
func (s *Session) Successor(now time.Time, u discoverer.Upstream, token uint64) *Session {
	next := New(s.cfg, now, u, token)
	next.watches = slices.Clone(s.watches)
	for i := range next.watches {
		next.watches[i].requestedAt = now
	}
	return next
}

// Undetermined returns the number of watched runs. After a restart the next incarnation may have started them.
func (s *Session) Undetermined() int { return len(s.watches) }
