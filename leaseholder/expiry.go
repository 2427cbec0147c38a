package leaseholder

import (
	"slices"
	"time"
)

// The lease of a run has expired with certainty only if no host can have extended it since, on the slowest clock that the
// upstream may have, and on the clock of each incarnation that may have started the run.

// leaseExpiredAt returns the time at which the latest lease of a run has certainly expired. The clock of the
// upstream was read before the response arrived, and may run slow. A run that has not been listed may have been started by
// the next incarnation, whose clock begins anew, so that each order with a lease end may have extended its lease to the
// longest one. An unanswered start order may not have been executed yet.
func (s *Session) leaseExpiredAt(t *task) time.Time {
	at := s.clockReceivedAt.Add(s.longestWait(s.leaseUntil - s.clock))
	if t.listed {
		return at
	}
	return later(at, s.unlistedExpiresAt(s.leaseOrderedAt, t.answered()))
}

// unlistedExpiresAt returns the time at which the lease of a run that no incarnation has listed has certainly expired, if the
// last order that may have extended it was sent at the given time. answered says whether the start order was accepted.
func (s *Session) unlistedExpiresAt(ordered time.Time, answered bool) time.Time {
	delay := s.cfg.ResponseTimeout
	if !answered {
		delay = s.cfg.MaxOrderDelay
	}
	return ordered.Add(delay + s.longestWait(s.cfg.MaxLease.Milliseconds()))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// longestWait returns the time after which the clock of the upstream, which may run slow, has certainly advanced
// by a number of milliseconds.
func (s *Session) longestWait(ms int64) time.Duration {
	slowest := float64(ms) / (1 - s.cfg.MaxClockDrift)
	return time.Duration(slowest*float64(time.Millisecond)) + s.cfg.TimerMargin
}

// Tenure is the time in which certainly no host but the caller has been the leaseholder of the
// upstreams that it holds. It proves nothing about the time after Until, which may be long past. The
// zero value proves nothing.
//
// Invariant: if Until is set, Since is set and not after it.
type Tenure struct {
	Since, Until time.Time
}

// expiresAt returns the time from which on the lease of a run has certainly expired, if the tenure lasts until
// then. Before the tenure another host may have requested the longest lease.
func (s *Session) expiresAt(t *task, tenure Tenure) time.Time {
	at := s.leaseExpiredAt(t)
	if tenure.Since.After(s.acceptedAt) {
		return later(at, tenure.Since.Add(s.longestWait(s.cfg.MaxLease.Milliseconds())))
	}
	return at
}

// watchExpiresAt returns the time from which on the lease of an inherited watched run has certainly expired, if the tenure
// lasts until then. Before the tenure another host, and before the request the previous session, may have requested the
// longest lease.
func (s *Session) watchExpiresAt(w watch, tenure Tenure) time.Time {
	at := later(later(w.requestedAt, tenure.Since), s.leaseOrderedAt)
	return s.unlistedExpiresAt(at, w.answered)
}

// AwaitsExpiry reports whether the upstream is unresponsive and runs count as ended once the tenure
// is known to have lasted until now.
func (s *Session) AwaitsExpiry(now time.Time, tenure Tenure) bool {
	return len(s.expiring(now, tenure)) > 0 || slices.ContainsFunc(s.watches, func(w watch) bool { return s.watchExpires(now, w, tenure) })
}

// watchExpires reports whether the lease of an inherited watched run of an unresponsive upstream has expired by now if the
// tenure lasts until then.
func (s *Session) watchExpires(now time.Time, w watch, tenure Tenure) bool {
	return w.inherited && !s.closed && !s.ready && now.After(s.watchExpiresAt(w, tenure))
}

// expireWatches resolves the watches of an unresponsive upstream whose runs have ended with their lease.
func (s *Session) expireWatches(now time.Time, tenure Tenure) {
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool {
		if !s.watchExpires(now, w, tenure) || !tenure.Until.After(s.watchExpiresAt(w, tenure)) {
			return false
		}
		s.reportWatched(w.Task, LeaseExpired)
		return true
	})
}

// expiring returns the runs of an unresponsive upstream whose lease has expired by now if the tenure lasts until
// then, sorted by run.
func (s *Session) expiring(now time.Time, tenure Tenure) []*task {
	if s.closed || s.ready || !s.clockKnown || len(s.tasks) == 0 {
		return nil
	}
	return s.tasksWhere(func(t *task) bool { return now.After(s.expiresAt(t, tenure)) })
}

// assertExpired panics if the lease may be in force: another host may have renewed it, or it has not
// expired on the slowest clock.
func (s *Session) assertExpired(now time.Time, t *task, tenure Tenure) {
	switch {
	case tenure.Since.IsZero() || tenure.Until.Before(tenure.Since) || tenure.Until.After(now):
		panic("leaseholder: a lease is taken for expired without a tenure")
	case tenure.Until.Before(s.leaseExpiredAt(t)):
		panic("leaseholder: a lease is taken for expired before its end")
	}
}
