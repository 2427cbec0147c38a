package leaseholder

import "time"

// Tick sends the orders that are due and ends the runs whose lease has expired within the tenure.
func (s *Session) Tick(now time.Time, tenure Tenure) {
	if s.closed {
		return
	}
	if s.pendingRenewals == 0 && !now.Before(s.nextRenewalAt) {
		s.renew(now, s.renewWait())
	} else if !s.extraRenewalAt.IsZero() && !now.Before(s.extraRenewalAt) {
		s.extraRenewalAt = time.Time{}
		s.renew(now, 0)
	}
	for _, t := range s.expiring(now, tenure) {
		if tenure.Until.After(s.expiresAt(t, tenure)) {
			s.assertExpired(now, t, tenure)
			s.end(now, t, LeaseExpired, "")
		}
	}
	s.expireWatches(now, tenure)
	for _, t := range s.tasksWhere(func(t *task) bool { return s.needsStop(now, t) }) {
		t.stopRequested = true
		s.sendStop(now, t)
	}
}

// needsStop reports whether a stop order is due for a run: nobody has claimed it in time, or an earlier
// stop order was not answered or was refused.
func (s *Session) needsStop(now time.Time, t *task) bool {
	if !t.stopRequested {
		return t.unclaimed && now.Sub(t.phaseSince) >= s.cfg.OrphanTimeout
	}
	return t.stopAckedAt.IsZero() && t.stopSentAt.IsZero() && s.ready && !now.Before(t.stopRetryAt)
}

// renewWait returns how long the upstream may delay the response to the next renewal: not at all if
// its state is unknown or it has no runs.
func (s *Session) renewWait() time.Duration {
	if !s.ready || len(s.tasks) == 0 {
		return 0
	}
	return s.cfg.RenewWait
}

func (s *Session) renew(now time.Time, wait time.Duration) {
	o := s.newOrder(now, RenewOrder, wait+s.cfg.ResponseTimeout)
	// An unresponsive upstream may have restarted and number its ends anew, so that it would forget ends that this host
	// has not seen.
	if s.ready {
		o.AckedSeq = s.handledSeq
	}
	o.MaxWait = wait
	// A renewal of an unresponsive upstream does not extend the lease: the upstream may apply it
	// although the response is lost, and the time at which the lease has expired would never be
	// known.
	if len(s.tasks) > 0 && s.ready {
		o.LeaseUntil = s.newLeaseEnd(now)
	}
	s.pendingRenewals++
	s.send(o)
}

// scheduleRenewal schedules an additional renewal, even while another one is in flight.
func (s *Session) scheduleRenewal(at time.Time) {
	if s.extraRenewalAt.IsZero() || at.Before(s.extraRenewalAt) {
		s.extraRenewalAt = at
	}
}
