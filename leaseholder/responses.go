package leaseholder

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/aligner"
)

// HandleResponse handles the response to an order, or the fact that none arrived. It must be called
// once for each order.
func (s *Session) HandleResponse(now time.Time, resp Response) {
	if resp.Order.Kind == RenewOrder {
		s.pendingRenewals--
	}
	if s.closed {
		return
	}
	if resp.Incarnation != 0 && resp.Incarnation < s.incarnation {
		// The response of an earlier incarnation was overtaken by one of the present incarnation.
		resp = Response{
			Order:  resp.Order,
			Status: NoResponse,
		}
	}
	if resp.Status != NoResponse && s.checkIncarnation(now, resp) {
		return
	}
	if resp.HasClock {
		s.recordClock(now, resp)
	}
	if resp.Status == Accepted && resp.Order.SentAt.After(s.acceptedAt) {
		s.acceptedAt = resp.Order.SentAt
	}
	if resp.Status == Refused && resp.Reason == Fenced && resp.Order.Token >= s.token {
		s.closed = true
		s.events = append(s.events, Event{Kind: LeaseLost})
		return
	}
	switch resp.Order.Kind {
	case StartOrder:
		s.handleStartResponse(now, resp)
	case StopOrder:
		s.handleStopResponse(now, resp)
	case RenewOrder:
		s.handleRenewResponse(now, resp)
	}
}

func (s *Session) recordClock(now time.Time, resp Response) {
	if s.clockKnown && resp.Order.SentAt.Before(s.clockRequestedAt) {
		return
	}
	s.clock = resp.Clock
	s.clockKnown = true
	s.clockRequestedAt = resp.Order.SentAt
	s.clockReceivedAt = now
}

func (s *Session) handleStartResponse(now time.Time, resp Response) {
	t := s.tasks[resp.Order.Run]
	if t == nil || t.phase != startPending {
		return
	}
	switch resp.Status {
	case Accepted:
		t.phase = confirmed
		t.phaseSince = now
	case Refused:
		s.end(now, t, Rejected, resp.Reason)
	case NoResponse:
		t.phase = unconfirmed
		t.phaseSince = now
		s.scheduleRenewal(now)
	case OtherIncarnation:
	}
}

func (s *Session) handleStopResponse(now time.Time, resp Response) {
	t := s.tasks[resp.Order.Run]
	if t == nil {
		return
	}
	t.stopSentAt = time.Time{}
	switch resp.Status {
	case Accepted:
		t.stopAckedAt = now
		t.stopRefusals = 0
		s.scheduleRenewal(now.Add(s.cfg.StopTime + s.cfg.TimerMargin))
	case Refused:
		t.stopRetryAt = now.Add(s.backoff(t.stopRefusals))
		t.stopRefusals++
		s.events = append(s.events, Event{
			Kind:   StopRefused,
			Task:   t.Task,
			Reason: resp.Reason,
		})
	case NoResponse:
		// An error is answered at once, and also counts as no response.
		t.stopRetryAt = resp.Order.SentAt.Add(s.cfg.MinBackoff)
	case OtherIncarnation:
	}
}

func (s *Session) handleRenewResponse(now time.Time, resp Response) {
	if resp.Status != Accepted {
		s.handleRenewFailure(now)
		return
	}
	s.failures = 0
	for _, e := range resp.Ended {
		if e.Seq <= s.handledSeq {
			continue
		}
		s.handledSeq = e.Seq
		if t := s.tasks[e.Run]; t != nil {
			s.end(now, t, e.Result, "")
		}
	}
	s.reconcile(now, resp)
	if !s.ready {
		s.ready, s.acquired = true, true
		s.events = append(s.events, Event{Kind: Ready})
	}
	s.resolveWatches(now, resp)
	s.nextRenewalAt = now
	if len(s.tasks) == 0 {
		// The polls of all idle upstreams are sent at the same time.
		s.nextRenewalAt = now.Add(aligner.Until(now, s.cfg.IdlePollInterval))
	}
}

func (s *Session) handleRenewFailure(now time.Time) {
	if s.pendingRenewals > 0 {
		return
	}
	s.nextRenewalAt = now.Add(s.backoff(s.failures))
	if s.failures == 0 {
		s.nextRenewalAt = now
	}
	s.failures++
	if s.ready {
		s.ready = false
		s.events = append(s.events, Event{Kind: Unresponsive})
	}
}

// backoff returns the delay before an order is sent again after a number of earlier failures.
func (s *Session) backoff(failures int) time.Duration {
	return min(s.cfg.MinBackoff<<min(failures, 10), s.cfg.MaxBackoff)
}

// reconcile compares the active runs that the upstream lists with those that the session tracks.
func (s *Session) reconcile(now time.Time, resp Response) {
	listed := make(map[sesamedrift.Run]bool, len(resp.Running))
	for _, r := range resp.Running {
		listed[r.Run] = true
		t := s.tasks[r.Run]
		if t == nil {
			t = &task{
				Task:       Task{Run: r.Run},
				phase:      confirmed,
				phaseSince: now,
				orderedAt:  now,
				found:      true,
				unclaimed:  true,
			}
			s.tasks[r.Run] = t
			s.leaseUntil = max(s.leaseUntil, resp.Clock+s.cfg.MaxLease.Milliseconds())
		}
		if t.phase != confirmed {
			t.phase = confirmed
			t.phaseSince = now
		}
		t.listed = true
		t.percent = r.Percent
		t.percentAt = now
		if !t.stopAckedAt.IsZero() && resp.Order.SentAt.After(t.stopAckedAt.Add(stopResendFactor*s.cfg.StopTime)) {
			t.stopAckedAt = time.Time{}
		}
	}
	if !s.listsAllEnds(resp) {
		return
	}
	for _, t := range s.tasksWhere(func(t *task) bool { return !listed[t.Run] }) {
		s.handleUnlisted(now, t, resp.Order.SentAt)
	}
}

// listsAllEnds reports whether a run that the response does not list has no end that a later one lists.
func (s *Session) listsAllEnds(resp Response) bool {
	return s.cfg.MaxEnds == 0 || len(resp.Ended) < s.cfg.MaxEnds
}

// handleUnlisted handles a run that is missing in the response to a renewal that was sent at the
// given time.
func (s *Session) handleUnlisted(now time.Time, t *task, sent time.Time) {
	stopEffective := !t.stopAckedAt.IsZero() && sent.After(t.stopAckedAt.Add(s.cfg.StopTime))
	switch {
	case t.phase == confirmed && !sent.Before(t.phaseSince):
		s.end(now, t, Lost, "")
	case t.phase == unconfirmed && stopEffective:
		s.end(now, t, Rejected, Unconfirmed)
	case t.phase == unconfirmed && !t.stopRequested && !sent.Before(t.phaseSince):
		t.stopRequested = true
		s.sendStop(now, t)
	}
}

func (s *Session) end(now time.Time, t *task, result RunResult, reason Reason) {
	if reason == Unconfirmed && t.stopAckedAt.IsZero() {
		panic("leaseholder: an unanswered start counts as withdrawn without an accepted stop")
	}
	delete(s.tasks, t.Run)
	if t.unclaimed {
		return
	}
	e := Event{
		Kind:   Ended,
		Task:   t.Task,
		Result: result,
		Reason: reason,
	}
	if !t.found {
		e.Duration = now.Sub(t.orderedAt)
	}
	s.events = append(s.events, e)
}

// resolveWatches resolves the watches of runs that a response lists, and those that were requested before its renewal
// was sent. If it lists no end of a run, the response to an earlier renewal proves nothing: another leaseholder may have
// started the run since.
func (s *Session) resolveWatches(now time.Time, resp Response) {
	if len(s.watches) == 0 {
		return
	}
	ended := make(map[sesamedrift.Run]RunResult, len(resp.Ended))
	for _, e := range resp.Ended {
		ended[e.Run] = e.Result
	}
	sent := resp.Order.SentAt
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool {
		t := s.tasks[w.Run]
		result, hasEnded := ended[w.Run]
		switch {
		case t != nil:
			t.claim(w.Task)
			if w.stopRequested {
				s.Stop(now, w.Run)
			}
		case hasEnded:
			s.reportWatched(w.Task, result)
		case s.listsAllEnds(resp) && !sent.Before(w.requestedAt):
			s.reportWatched(w.Task, Lost)
		default:
			return false
		}
		return true
	})
	if len(s.watches) > 0 {
		s.scheduleRenewal(sent)
	}
}
