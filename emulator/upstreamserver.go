package emulator

import (
	"fmt"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// UpstreamServer runs the successive incarnations of one upstream at a fixed address.
type UpstreamServer struct {
	w           *Simulation
	Name        string
	Domain      string
	current     *Upstream // nil while it is down
	incarnation uint64
	reportSeq   uint64
	draining    bool
	// delayedOrderShare is the share of orders that get no response and are executed seconds later.
	delayedOrderShare float64
	// refusedOrderShare is the share of orders that are refused without effect, stalledStartShare that of start orders
	// that are executed up to maxStall late.
	refusedOrderShare, stalledStartShare float64
	maxStall                             time.Duration
	timerSeq                             int // of the latest scheduled check for ended runs; older checks do nothing
	// pendingPolls holds the long polls that are answered when a run ends.
	pendingPolls []*pendingPoll
}

// pendingPoll is a lease renewal that the upstream answers when a run ends or its maximum wait is
// over.
type pendingPoll struct {
	answer   func()
	answered bool
}

// Start starts a new incarnation of the upstream; it does nothing if one is running.
func (s *UpstreamServer) Start() {
	if s.current != nil {
		return
	}
	w := s.w
	s.incarnation++
	s.reportSeq = 1
	s.draining = false
	s.current = &Upstream{
		Report: discoverer.Upstream{
			ID:          s.id(),
			Service:     "service",
			Address:     s.Name,
			Domain:      s.Domain,
			Incarnation: s.incarnation,
			ReportSeq:   s.reportSeq,
			State:       discoverer.Serving,
			Capacity:    sesamedrift.Resources{CPU: 16000, Memory: 32768},
		},
		ClockRate: 1 - LeaseConfig.MaxClockDrift*w.rng.Float64(),
		MaxLease:  LeaseConfig.MaxLease,
		StopTime:  LeaseConfig.StopTime,
		RunTime:   w.runTime,
		OnStart:   w.invariants.runStarted,
		OnEnd:     w.invariants.runEnded,
	}
	s.current.Start(w.wallTime())
	report := s.current.Report
	w.After(s.reportDelay(), func() { w.upstreams.Put(w.wallTime(), report) })
}

// id returns the identifier of the current incarnation.
func (s *UpstreamServer) id() string {
	if s.w.cfg.KeepUpstreamIDs {
		return s.Name
	}
	return fmt.Sprintf("%s-life-%d", s.Name, s.incarnation)
}

// reportDelay returns the time until control hosts receive the first report of the current incarnation.
func (s *UpstreamServer) reportDelay() time.Duration {
	if s.w.cfg.MaxReportDelay <= 0 || s.incarnation == 1 {
		return 0
	}
	return time.Duration(s.w.rng.Int64N(int64(s.w.cfg.MaxReportDelay)))
}

// Crash ends the upstream's process and its runs without notifying any host; it does nothing if the
// upstream is down.
func (s *UpstreamServer) Crash() {
	if s.current == nil {
		return
	}
	s.current.Crash(s.w.wallTime())
	s.current = nil
	if s.w.cfg.KeepUpstreamIDs {
		// The next incarnation does not answer the polls of this one.
		s.pendingPolls = nil
	}
}

// Drain makes the upstream report that it is draining, unless it is down or draining already. After
// the delay its process ends, its runs are lost, and control hosts list it as gone.
func (s *UpstreamServer) Drain(delay time.Duration) {
	if s.current == nil || s.draining {
		return
	}
	w, u := s.w, s.current
	s.draining = true
	s.reportSeq++
	u.Report.ReportSeq = s.reportSeq
	u.Report.State = discoverer.Leaving
	w.upstreams.Put(w.wallTime(), u.Report)
	w.After(delay, func() {
		if s.current != u {
			return
		}
		gone := u.Report
		gone.State = discoverer.Gone
		s.Crash()
		w.upstreams.Put(w.wallTime(), gone)
	})
}

// SetCondition changes the condition of the running incarnation; the next one starts healthy.
func (s *UpstreamServer) SetCondition(c Condition) {
	if s.current != nil {
		s.current.SetCondition(s.w.wallTime(), c)
		s.scheduleNextEnd()
	}
}

// DelayOrders makes a share of the orders, from 0 to 1, get no response and be executed 2 s to 11 s
// later.
func (s *UpstreamServer) DelayOrders(share float64) { s.delayedOrderShare = share }

// RefuseOrders makes the upstream refuse a share of its orders, from 0 to 1, of any kind.
func (s *UpstreamServer) RefuseOrders(share float64) { s.refusedOrderShare = share }

// StallStarts makes the upstream execute a share of the start orders, from 0 to 1, late by up to a time.
func (s *UpstreamServer) StallStarts(share float64, longest time.Duration) {
	s.stalledStartShare = share
	s.maxStall = longest
}

// refuses draws whether the upstream refuses an order.
func (s *UpstreamServer) refuses() bool {
	return s.refusedOrderShare > 0 && s.w.disturbanceRng.Float64() < s.refusedOrderShare
}

// stall draws how late the upstream executes an order.
func (s *UpstreamServer) stall(o leaseholder.Order) time.Duration {
	if o.Kind != leaseholder.StartOrder || s.stalledStartShare == 0 || s.w.disturbanceRng.Float64() >= s.stalledStartShare {
		return 0
	}
	return s.w.drawDuration(s.maxStall)
}

// scheduleNextEnd answers the pending polls if runs have ended and schedules a check for when the
// next run ends.
func (s *UpstreamServer) scheduleNextEnd() {
	if s.current == nil {
		return
	}
	s.timerSeq++
	seq, u := s.timerSeq, s.current
	if len(u.ends) > 0 {
		s.answerPolls()
	}
	at, found := u.NextEnd(s.w.wallTime())
	if !found {
		return
	}
	s.w.After(max(0, at.Sub(s.w.wallTime())), func() {
		if s.current == u && s.timerSeq == seq {
			u.Advance(s.w.wallTime())
			s.scheduleNextEnd()
		}
	})
}

// answerPolls answers all pending long polls.
func (s *UpstreamServer) answerPolls() {
	polls := s.pendingPolls
	s.pendingPolls = nil
	for _, p := range polls {
		s.w.After(0, p.answer)
	}
}

// noResponse stands for the response to an order that was not answered in time.
func noResponse(o leaseholder.Order) leaseholder.Response {
	return leaseholder.Response{
		Order:  o,
		Status: leaseholder.NoResponse,
	}
}

// sendOrder sends an order from a host to an upstream and calls done once, with the response or,
// after the timeout of the order, with NoResponse.
func (w *Simulation) sendOrder(n *Host, to discoverer.Upstream, o leaseholder.Order, done func(leaseholder.Response)) {
	answered := false
	answer := func(a leaseholder.Response) {
		if !answered {
			answered = true
			done(a)
		}
	}
	w.After(o.Timeout, func() { answer(noResponse(o)) })
	i := slices.IndexFunc(w.Upstreams, func(s *UpstreamServer) bool { return s.Name == to.Address })
	if i < 0 || !w.linkUp(n.Name, w.Upstreams[i].Name) {
		return
	}
	s := w.Upstreams[i]
	w.logger(n.Name).Debug("order", "kind", o.Kind, "upstream", to.ID, "run", o.Run, "id", o.ID, "token", o.Token, "wait", o.MaxWait)
	if s.delayedOrderShare > 0 && w.rng.Float64() < s.delayedOrderShare {
		w.After(time.Duration(2+10*w.rng.Float64())*time.Second, func() {
			if s.current != nil && s.current.Report.ID == to.ID {
				s.current.HandleOrder(w.wallTime(), o, w.demand(o.Run.Task.Job))
				s.scheduleNextEnd()
			}
		})
		return
	}
	w.After(w.latency(n.Domain, s.Domain)+w.extraDelay()+s.stall(o), func() { s.handleOrder(n, to, o, w.Now()+o.MaxWait, answer) })
}

// handleOrder executes an order and answers it. An accepted lease renewal without ended runs is
// answered when a run ends, or at the time until.
func (s *UpstreamServer) handleOrder(n *Host, to discoverer.Upstream, o leaseholder.Order, until time.Duration, answer func(leaseholder.Response)) {
	w := s.w
	if s.current == nil {
		return
	}
	a := leaseholder.Response{
		Order:       o,
		Status:      leaseholder.OtherIncarnation,
		Incarnation: s.current.Report.Incarnation,
	}
	switch {
	case s.current.Report.ID != to.ID:
	case s.refuses():
		a = refuse(a, leaseholder.Unhealthy)
	default:
		a = s.current.HandleOrder(w.wallTime(), o, w.demand(o.Run.Task.Job))
		s.scheduleNextEnd()
		if o.Kind == leaseholder.RenewOrder && a.Status == leaseholder.Accepted && len(a.Ended) == 0 && w.Now() < until {
			p := &pendingPoll{}
			p.answer = func() {
				if !p.answered {
					p.answered = true
					s.handleOrder(n, to, o, until, answer)
				}
			}
			s.pendingPolls = append(s.pendingPolls, p)
			w.After(until-w.Now(), p.answer)
			return
		}
	}
	w.logger(s.Name).Debug("answer", "host", n.Name, "id", o.ID, "status", a.Status, "reason", a.Reason, "running", len(a.Running), "ended", len(a.Ended))
	if w.linkUp(s.Name, n.Name) {
		w.After(w.latency(n.Domain, s.Domain)+w.extraDelay(), func() { answer(a) })
	}
}
