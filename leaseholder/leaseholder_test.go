package leaseholder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
)

var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

var testConfig = Config{
	LeaseTime:        600 * time.Millisecond,
	MaxLease:         time.Second,
	RenewWait:        150 * time.Millisecond,
	ResponseTimeout:  100 * time.Millisecond,
	IdlePollInterval: time.Second,
	MinBackoff:       50 * time.Millisecond,
	MaxBackoff:       500 * time.Millisecond,
	StopTime:         50 * time.Millisecond,
	MaxClockDrift:    0.02,
	MaxOrderDelay:    3 * time.Second,
	TimerMargin:      10 * time.Millisecond,
	OrphanTimeout:    time.Second,
	MaxEnds:          3,
}

func testRun(index, number int) sesamedrift.Run {
	return sesamedrift.Run{
		Task: sesamedrift.TaskID{
			Job:   "j",
			Index: index,
		},
		Number: number,
	}
}

func testTask(index, number int) Task {
	return Task{
		Run:    testRun(index, number),
		Entry:  "entry",
		Demand: sesamedrift.Resources{CPU: 1000},
	}
}

// harness drives one session on a simulated clock; the test responds to its orders.
type harness struct {
	g       *WithT
	session *Session
	now     time.Time
	// events and orders hold what the session has emitted and the test has not taken yet.
	events []Event
	orders []Order
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		g:   NewWithT(t),
		now: startTime,
	}
	h.session = New(testConfig, startTime, discoverer.Upstream{
		ID:          "u",
		Incarnation: 1,
		State:       discoverer.Serving,
	}, 7)
	return h
}

// advance moves the clock, calls Tick and collects pending orders and events.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.session.Tick(h.now, Tenure{
		Since: startTime,
		Until: h.now,
	})
	orders, events := h.session.TakePending()
	h.orders = append(h.orders, orders...)
	h.events = append(h.events, events...)
}

// takeOrder removes and returns the oldest unanswered order of a kind, which must exist.
func (h *harness) takeOrder(kind OrderKind) Order {
	h.advance(0)
	for i, o := range h.orders {
		if o.Kind == kind {
			h.orders = append(h.orders[:i:i], h.orders[i+1:]...)
			return o
		}
	}
	h.g.Expect(h.orders).To(ContainElement(HaveField("Kind", kind)))
	return Order{}
}

// respond delivers a response with the incarnation and the clock of the upstream filled in.
func (h *harness) respond(resp Response) {
	resp.Incarnation = 1
	resp.HasClock = true
	resp.Clock = h.now.Sub(startTime).Milliseconds()
	h.session.HandleResponse(h.now, resp)
	h.advance(0)
}

// respondToRenewal accepts the oldest unanswered renewal with lists of active and ended runs.
func (h *harness) respondToRenewal(running []ListedRun, ended []EndedRun) {
	h.respond(Response{
		Order:   h.takeOrder(RenewOrder),
		Status:  Accepted,
		Running: running,
		Ended:   ended,
	})
}

// dropOrder reports that an order was not answered.
func (h *harness) dropOrder(o Order) {
	h.session.HandleResponse(h.now, Response{
		Order:  o,
		Status: NoResponse,
	})
	h.advance(0)
}

// dropOrdersFor reports for a time that no order is answered. It returns after which time each run was taken to have ended
// with its lease.
func (h *harness) dropOrdersFor(d time.Duration) map[sesamedrift.Run]time.Duration {
	ended := map[sesamedrift.Run]time.Duration{}
	for since := h.now; h.now.Sub(since) < d; {
		h.advance(time.Millisecond)
		for _, o := range h.orders {
			h.dropOrder(o)
		}
		h.orders = nil
		for _, e := range h.takeEvents() {
			if e.Kind == Ended {
				h.g.Expect(e.Result).To(Equal(LeaseExpired))
				ended[e.Task.Run] = h.now.Sub(since)
			}
		}
	}
	return ended
}

// takeEvents returns the events since its last call.
func (h *harness) takeEvents() []Event {
	events := h.events
	h.events = nil
	return events
}

func listedRuns(r sesamedrift.Run) []ListedRun {
	return []ListedRun{{Run: r}}
}

// Guards against two concurrent runs of one task: a host that has lost the lease cannot determine
// whether a run is active, so it must not report its end.
func TestNoRunEventsAfterLeaseLost(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	h.advance(time.Second)
	h.respond(Response{
		Order:  h.takeOrder(RenewOrder),
		Status: Refused,
		Reason: Fenced,
	})
	h.g.Expect(h.takeEvents()).To(ConsistOf(HaveField("Kind", LeaseLost)))
	h.session.Watch(h.now, testTask(0, 1))
	h.advance(time.Second)
	h.g.Expect(h.takeEvents()).To(BeEmpty())
}

func endedRuns(seq uint64, r sesamedrift.Run, result RunResult) []EndedRun {
	return []EndedRun{{
		Seq:    seq,
		Run:    r,
		Result: result,
	}}
}

// startRun starts one run, which the upstream accepts and lists.
func (h *harness) startRun() {
	h.respondToRenewal(nil, nil)
	h.session.Start(h.now, testTask(0, 1))
	h.advance(time.Millisecond)
	h.respond(Response{
		Order:  h.takeOrder(StartOrder),
		Status: Accepted,
	})
	h.advance(time.Millisecond)
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.takeEvents()
}

// Guards against an end that is reported twice or never acknowledged.
func TestEndIsReportedOnceAndAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.advance(50 * time.Millisecond)
	h.respondToRenewal(nil, endedRuns(1, testRun(0, 1), Done))
	events := h.takeEvents()
	h.g.Expect(events).To(HaveLen(1))
	h.g.Expect(events[0].Result).To(Equal(Done))
	h.g.Expect(events[0].Duration).To(Equal(52 * time.Millisecond))
	h.advance(time.Second)
	renewal := h.takeOrder(RenewOrder)
	h.g.Expect(renewal.AckedSeq).To(Equal(uint64(1)))
	h.respond(Response{
		Order:  renewal,
		Status: Accepted,
		Ended:  endedRuns(1, testRun(0, 1), Done),
	})
	h.g.Expect(h.takeEvents()).To(BeEmpty())
}

// Guards against a task that is placed on another upstream while this one may still execute its
// unanswered start order.
func TestUnansweredStartIsStoppedBeforeItIsRejected(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	h.session.Start(h.now, testTask(0, 1))
	h.advance(100 * time.Millisecond)
	h.dropOrder(h.takeOrder(StartOrder))
	h.g.Expect(h.takeEvents()).To(BeEmpty())
	h.advance(time.Millisecond)
	// One of the two renewals was sent before the start order timed out.
	h.respondToRenewal(nil, nil)
	if len(h.orders) > 0 && h.orders[0].Kind == RenewOrder {
		h.respondToRenewal(nil, nil)
	}
	stop := h.takeOrder(StopOrder)
	h.g.Expect(stop.Run).To(Equal(testRun(0, 1)))
	h.g.Expect(h.takeEvents()).To(BeEmpty())
	h.respond(Response{
		Order:  stop,
		Status: Accepted,
	})
	// A renewal that was sent less than StopTime after the stop proves nothing.
	h.respondToRenewal(nil, nil)
	h.g.Expect(h.takeEvents()).To(BeEmpty())
	h.advance(testConfig.StopTime + 2*testConfig.TimerMargin)
	for h.now.Before(startTime.Add(time.Second)) && len(h.events) == 0 {
		h.respondToRenewal(nil, nil)
		h.advance(20 * time.Millisecond)
	}
	h.g.Expect(h.takeEvents()).To(ConsistOf(And(HaveField("Result", Rejected), HaveField("Reason", Unconfirmed))))
}

// Guards against a run that is stopped because its start order was not answered, although the
// upstream lists it.
func TestUnansweredStartOfListedRunIsKept(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	h.session.Start(h.now, testTask(0, 1))
	h.advance(100 * time.Millisecond)
	h.dropOrder(h.takeOrder(StartOrder))
	h.advance(time.Millisecond)
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.advance(time.Second)
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StopOrder)))
	h.g.Expect(h.takeEvents()).To(BeEmpty())
}

// Guards against runs that count as ended while the slow clock of the upstream lets them continue,
// and against polls of an unresponsive upstream that extend the lease.
func TestLeaseOfUnresponsiveUpstreamExpires(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	unresponsiveSince := h.now
	for len(h.events) < 2 && h.now.Before(unresponsiveSince.Add(5*time.Second)) {
		for _, o := range h.orders {
			if o.Kind == RenewOrder && h.now.Sub(o.SentAt) >= o.Timeout {
				h.dropOrder(o)
			}
		}
		h.orders = nil
		h.advance(10 * time.Millisecond)
		if len(h.orders) > 0 {
			h.g.Expect(h.orders[0].LeaseUntil == 0 || h.now.Sub(unresponsiveSince) < testConfig.RenewWait+testConfig.ResponseTimeout+20*time.Millisecond).To(BeTrue())
		}
		if h.session.pendingRenewals > 0 && len(h.orders) == 0 {
			// The renewal in flight is not answered either.
			h.session.HandleResponse(h.now, Response{
				Order:  Order{Kind: RenewOrder},
				Status: NoResponse,
			})
		}
	}
	events := h.takeEvents()
	h.g.Expect(events).To(HaveLen(2))
	h.g.Expect(events[0].Kind).To(Equal(Unresponsive))
	h.g.Expect(events[1].Result).To(Equal(LeaseExpired))
	// By now even a clock that runs 2 % slow has reached the end of the latest lease.
	slowClock := 0.98 * float64(h.now.Sub(startTime).Milliseconds())
	h.g.Expect(slowClock).To(BeNumerically(">=", float64(h.session.leaseUntil)))
}

// Guards against a host that regards a lease as expired which another leaseholder may have renewed: it knows of
// no tenure, of one that has ended before the lease, or of one that began after the last accepted order.
func TestLeaseExpiresOnlyWithinTenure(t *testing.T) {
	const expiry = 10 * time.Second
	for _, test := range []struct {
		name         string
		since, until time.Duration
		expired      bool
	}{
		{"unknown", 0, 0, false},
		{"ends before the lease", time.Millisecond, 500 * time.Millisecond, false},
		{"lasts", time.Millisecond, expiry, true},
		{"begins less than the longest lease ago", expiry - time.Second, expiry, false},
		{"begins longer than the longest lease ago", expiry - 1100*time.Millisecond, expiry, true},
		{"ends before the longest lease", expiry - 1100*time.Millisecond, expiry - 200*time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(10 * time.Millisecond)
			h.startRun()
			h.session.HandleResponse(h.now, Response{
				Order:  h.takeOrder(RenewOrder),
				Status: NoResponse,
			})
			h.now = startTime.Add(expiry)
			tenure := Tenure{}
			if test.until > 0 {
				tenure.Since, tenure.Until = startTime.Add(test.since), startTime.Add(test.until)
			}
			h.session.Tick(h.now, tenure)
			_, events := h.session.TakePending()
			if test.expired {
				h.g.Expect(events).To(ContainElement(HaveField("Result", LeaseExpired)))
			} else {
				h.g.Expect(events).NotTo(ContainElement(HaveField("Result", LeaseExpired)))
			}
		})
	}
}

// Guards against a new leaseholder that regards a run as ended while the lease that the previous
// one requested, of up to MaxLease, may still be valid.
func TestLeaseOfPreviousLeaseholder(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.session.Watch(h.now, testTask(0, 1))
	h.session.HandleResponse(h.now, Response{
		Order:  h.takeOrder(RenewOrder),
		Status: NoResponse,
	})
	h.advance(900 * time.Millisecond)
	h.g.Expect(h.takeEvents()).NotTo(ContainElement(HaveField("Kind", Ended)))
	h.advance(200 * time.Millisecond)
	h.g.Expect(h.takeEvents()).To(ContainElement(HaveField("Result", LeaseExpired)))
}

// Guards against a run that is reported as lost by a renewal sent before the watch: another
// leaseholder may have started the run since.
func TestWatchIsResolvedByLaterRenewal(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	h.advance(time.Second)
	earlier := h.takeOrder(RenewOrder)
	h.advance(time.Millisecond)
	h.session.Watch(h.now, testTask(0, 1))
	h.respond(Response{
		Order:  earlier,
		Status: Accepted,
	})
	h.g.Expect(h.takeEvents()).To(BeEmpty())
	h.advance(time.Millisecond)
	h.respondToRenewal(nil, nil)
	h.g.Expect(h.takeEvents()).To(ConsistOf(HaveField("Result", Lost)))
}

// Guards against a run that goes on although its job has ended: the stop comes before the run is found.
func TestStopOfWatchedRun(t *testing.T) {
	h := newHarness(t)
	h.session.Watch(h.now, testTask(0, 1))
	h.session.Stop(h.now, testRun(0, 1))
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.g.Expect(h.takeOrder(StopOrder).Run).To(Equal(testRun(0, 1)))
}

// Guards against runs of a previous leaseholder that continue although no entry host claims them,
// and against stopping them before the orphan timeout has given the entry hosts time to do so.
func TestUnclaimedRunsAreStopped(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(append(listedRuns(testRun(0, 1)), listedRuns(testRun(1, 1))...), nil)
	h.takeEvents()
	h.session.Watch(h.now, testTask(0, 1))
	h.advance(testConfig.OrphanTimeout / 2)
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StopOrder)))
	h.advance(testConfig.OrphanTimeout)
	h.g.Expect(h.takeOrder(StopOrder).Run).To(Equal(testRun(1, 1)))
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StopOrder)))
}

// Guards against runs that a placer moves as slow because it has learned too short a run time: a run that a
// previous leaseholder has started ends with the time since it was found.
func TestDurationOfFoundRunIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.session.Watch(h.now, testTask(0, 1))
	h.advance(time.Millisecond)
	h.takeEvents()
	h.respondToRenewal(nil, endedRuns(1, testRun(0, 1), Done))
	events := h.takeEvents()
	h.g.Expect(events).To(HaveLen(1))
	h.g.Expect(events[0].Result).To(Equal(Done))
	h.g.Expect(events[0].Duration).To(BeZero())
}

// Guards against an unclaimed run that continues because its stop order was lost.
func TestStopOfUnclaimedRunIsResent(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(listedRuns(testRun(0, 1)), nil)
	h.takeEvents()
	h.advance(2 * testConfig.OrphanTimeout)
	for range 3 {
		stop := h.takeOrder(StopOrder)
		h.advance(testConfig.ResponseTimeout)
		h.dropOrder(stop)
	}
	h.g.Expect(h.takeOrder(StopOrder).Run).To(Equal(testRun(0, 1)))
}

// Guards against a run that counts as lost and is started again although its end follows in the next response: a response
// lists a limited number of ends.
func TestEndsBeyondTheFirstResponse(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	ends := make([]EndedRun, 0, testConfig.MaxEnds+1)
	for i := range testConfig.MaxEnds + 1 {
		h.session.Start(h.now, testTask(i, 1))
		h.advance(0)
		h.respond(Response{
			Order:  h.takeOrder(StartOrder),
			Status: Accepted,
		})
		ends = append(ends, EndedRun{
			Seq:    uint64(i + 1),
			Run:    testRun(i, 1),
			Result: Done,
		})
	}
	h.session.Watch(h.now, testTask(testConfig.MaxEnds+1, 1))
	h.advance(time.Millisecond)
	h.dropOrder(h.takeOrder(RenewOrder))
	h.advance(testConfig.MinBackoff)
	h.respondToRenewal(nil, ends[:testConfig.MaxEnds])
	events := h.takeEvents()
	h.g.Expect(events).NotTo(ContainElement(HaveField("Result", Lost)))
	h.advance(time.Millisecond)
	h.respondToRenewal(nil, ends[testConfig.MaxEnds:])
	events = append(events, h.takeEvents()...)
	done := 0
	for _, e := range events {
		if e.Result == Done {
			done++
		}
	}
	h.g.Expect(done).To(Equal(testConfig.MaxEnds + 1))
	h.g.Expect(events).To(ContainElement(And(HaveField("Result", Lost), HaveField("Task.Run", testRun(testConfig.MaxEnds+1, 1)))))
}

// Guards against start orders to an upstream that is unresponsive or leaving.
func TestStartIsRejectedWithoutOrder(t *testing.T) {
	h := newHarness(t)
	h.session.Start(h.now, testTask(0, 1))
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(ConsistOf(HaveField("Reason", Unreachable)))
	h.respondToRenewal(nil, nil)
	h.takeEvents()
	h.session.Update(h.now, discoverer.Upstream{
		ID:          "u",
		Incarnation: 1,
		State:       discoverer.Leaving,
	})
	h.session.Start(h.now, testTask(0, 1))
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(ConsistOf(HaveField("Reason", LeavingUpstream)))
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StartOrder)))
}
