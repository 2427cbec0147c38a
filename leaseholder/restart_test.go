package leaseholder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
)

// Guards against runs that are never reported as ended although their incarnation of the upstream
// has ended.
func TestOtherIncarnationEndsRuns(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.HandleResponse(h.now, Response{
		Order:  h.takeOrder(RenewOrder),
		Status: OtherIncarnation,
	})
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(Equal([]Event{
		{
			Kind:     Ended,
			Task:     testTask(0, 1),
			Result:   Lost,
			Duration: h.now.Sub(startTime.Add(0)),
		},
		{Kind: Replaced},
	}))
}

// Guards against two concurrent runs of one task: the report about an incarnation comes after its responses and ends the
// runs that it has started.
func TestLateReportEndsNoRuns(t *testing.T) {
	h := newHarness(t)
	h.session.upstream.Incarnation = 0
	h.startRun()
	h.session.Update(h.now, discoverer.Upstream{
		ID:          "u",
		Incarnation: 1,
		State:       discoverer.Serving,
	})
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(BeEmpty())
	h.g.Expect(h.session.Ready()).To(BeTrue())
}

// respondAfterRestart accepts the oldest unanswered renewal in the name of the next incarnation.
func (h *harness) respondAfterRestart(running []ListedRun) {
	h.session.HandleResponse(h.now, Response{
		Order:       h.takeOrder(RenewOrder),
		Status:      Accepted,
		Incarnation: 2,
		HasClock:    true,
		Running:     running,
	})
	h.advance(0)
}

// Guards against two concurrent runs of one task: the upstream has restarted while a start order was under way, and the
// next incarnation has executed it.
func TestStartBesideRestart(t *testing.T) {
	for _, test := range []struct {
		name     string
		accepted bool
		running  []ListedRun
		want     []Event
	}{
		{
			name:     "the next incarnation runs it",
			accepted: true,
			running:  listedRuns(testRun(0, 1)),
			want:     []Event{{Kind: Ready}},
		},
		{
			name:    "the next incarnation runs it, not answered yet",
			running: listedRuns(testRun(0, 1)),
			want:    []Event{{Kind: Ready}},
		},
		{
			name:     "the previous incarnation has run it",
			accepted: true,
			want: []Event{
				{Kind: Ready},
				{
					Kind:   Ended,
					Task:   testTask(0, 1),
					Result: Lost,
				},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.respondToRenewal(nil, nil)
			h.takeEvents()
			h.session.Start(h.now, testTask(0, 1))
			start := h.takeOrder(StartOrder)
			if test.accepted {
				h.session.HandleResponse(h.now, Response{
					Order:    start,
					Status:   Accepted,
					HasClock: true,
				})
			}
			h.advance(time.Millisecond)
			h.respondAfterRestart(test.running)
			h.g.Expect(h.takeEvents()).To(Equal([]Event{{Kind: Restarted}}))
			h.g.Expect(h.session.Ready()).To(BeFalse())
			h.g.Expect(h.session.Undetermined()).To(Equal(1))

			h.session = h.session.Successor(h.now, h.session.Upstream(), 8)
			h.orders = nil
			h.respondAfterRestart(test.running)
			h.g.Expect(h.takeEvents()).To(Equal(test.want))
			h.advance(testConfig.OrphanTimeout)
			h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StopOrder)))
		})
	}
}

// Guards against two concurrent runs of one task: the upstream has restarted, started the run under a lease on its new
// clock and become unreachable, and the lease is taken for expired by the clock of the previous incarnation.
func TestLeaseOfUnlistedRunIsTheLongest(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.Start(h.now, testTask(1, 1))
	h.advance(time.Millisecond)
	h.session.HandleResponse(h.now, Response{
		Order:    h.takeOrder(StartOrder),
		Status:   Accepted,
		HasClock: true,
		Clock:    h.now.Sub(startTime).Milliseconds(),
	})
	ended := h.dropOrdersFor(2 * testConfig.MaxLease)
	h.g.Expect(ended).To(HaveLen(2))
	h.g.Expect(ended[testRun(0, 1)]).To(BeNumerically("<", testConfig.MaxLease))
	h.g.Expect(ended[testRun(1, 1)]).To(BeNumerically(">=", testConfig.MaxLease+testConfig.MaxLease/50))
}

// Guards against two concurrent runs of one task: an order that came later than the start of a run has extended its lease on
// the clock of the next incarnation.
func TestLaterOrdersExtendLeaseOfUnlistedRun(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.Start(h.now, testTask(1, 1))
	h.advance(time.Millisecond)
	h.session.HandleResponse(h.now, Response{
		Order:    h.takeOrder(StartOrder),
		Status:   Accepted,
		HasClock: true,
		Clock:    h.now.Sub(startTime).Milliseconds(),
	})
	// The next incarnation executes this order, too, and then cannot be reached.
	h.advance(80 * time.Millisecond)
	h.session.Start(h.now, testTask(2, 1))
	h.advance(0)
	later := h.takeOrder(StartOrder)
	h.g.Expect(later.LeaseUntil).NotTo(BeZero())
	pending := []Order{later}
	ended := map[sesamedrift.Run]time.Duration{}
	for h.now.Sub(later.SentAt) < testConfig.MaxOrderDelay+2*testConfig.MaxLease {
		h.advance(time.Millisecond)
		pending = append(pending, h.orders...)
		h.orders = nil
		var open []Order
		for _, o := range pending {
			if h.now.Sub(o.SentAt) >= o.Timeout {
				h.session.HandleResponse(h.now, Response{
					Order:  o,
					Status: NoResponse,
				})
			} else {
				open = append(open, o)
			}
		}
		pending = open
		for _, e := range h.takeEvents() {
			if e.Kind == Ended {
				ended[e.Task.Run] = h.now.Sub(later.SentAt)
			}
		}
	}
	h.g.Expect(ended).To(HaveLen(3))
	h.g.Expect(ended[testRun(0, 1)]).To(BeNumerically("<", testConfig.MaxLease))
	h.g.Expect(ended[testRun(1, 1)]).To(BeNumerically(">=", testConfig.MaxLease+testConfig.MaxLease/50))
}

// Guards against a job that waits until its deadline: the upstream has restarted and never responds again.
func TestRunOfUpstreamThatNeverRespondsAfterRestart(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.session.Start(h.now, testTask(0, 1))
	h.takeOrder(StartOrder)
	h.takeEvents()
	h.session.Update(h.now, discoverer.Upstream{
		ID:          "u",
		Incarnation: 2,
		State:       discoverer.Serving,
	})
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(Equal([]Event{{Kind: Restarted}}))
	restarted := h.now
	h.session = h.session.Successor(h.now, discoverer.Upstream{
		ID:          "u",
		Incarnation: 2,
		State:       discoverer.Serving,
	}, 8)
	h.orders = nil
	for h.now.Sub(restarted) < 5*time.Second && len(h.events) == 0 {
		h.advance(10 * time.Millisecond)
		for _, o := range h.orders {
			h.dropOrder(o)
		}
		h.orders = nil
	}
	h.g.Expect(h.takeEvents()).To(ContainElement(HaveField("Result", LeaseExpired)))
	h.g.Expect(h.now.Sub(restarted)).To(BeNumerically(">=", testConfig.MaxLease+testConfig.MaxLease/50))
}

// Guards against an end that is forgotten unseen: the next incarnation numbers its ends anew and is told the last
// number of the previous one.
func TestUnresponsiveUpstreamForgetsNoEnds(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.advance(50 * time.Millisecond)
	h.respondToRenewal(nil, endedRuns(5, testRun(0, 1), Done))
	h.session.Start(h.now, testTask(1, 1))
	h.takeOrder(StartOrder)
	h.advance(time.Millisecond)
	h.dropOrder(h.takeOrder(RenewOrder))
	h.advance(time.Second)
	h.g.Expect(h.takeOrder(RenewOrder).AckedSeq).To(BeZero())
}

// Guards against work that is done twice: the next incarnation has completed the run before its leaseholder asks.
func TestNextIncarnationHasCompletedTheRun(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.advance(50 * time.Millisecond)
	h.respondToRenewal(nil, endedRuns(5, testRun(0, 1), Done))
	h.session.Start(h.now, testTask(1, 1))
	start := h.takeOrder(StartOrder)
	h.session.HandleResponse(h.now, Response{
		Order:    start,
		Status:   Accepted,
		HasClock: true,
	})
	h.advance(time.Millisecond)
	h.session.Update(h.now, discoverer.Upstream{
		ID:          "u",
		Incarnation: 2,
		State:       discoverer.Serving,
	})
	h.advance(0)
	h.takeEvents()
	h.session = h.session.Successor(h.now, h.session.Upstream(), 8)
	h.orders = nil
	renewal := h.takeOrder(RenewOrder)
	h.g.Expect(renewal.AckedSeq).To(BeZero())
	h.session.HandleResponse(h.now, Response{
		Order:       renewal,
		Status:      Accepted,
		Incarnation: 2,
		HasClock:    true,
		Ended:       endedRuns(1, testRun(1, 1), Done),
	})
	h.advance(0)
	h.g.Expect(h.takeEvents()).To(ContainElement(And(HaveField("Kind", Ended), HaveField("Result", Done))))
}

// Guards against two concurrent runs of one task: a start order waits unanswered while the upstream is down, the run is taken for
// expired, and the next incarnation starts it.
func TestUnansweredStartMayBeExecutedLater(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.Start(h.now, testTask(1, 1))
	ended := h.dropOrdersFor(2 * testConfig.MaxOrderDelay)
	h.g.Expect(ended).To(HaveLen(2))
	h.g.Expect(ended[testRun(0, 1)]).To(BeNumerically("<", testConfig.MaxLease))
	h.g.Expect(ended[testRun(1, 1)]).To(BeNumerically(">=", testConfig.MaxOrderDelay+testConfig.MaxLease))
}

// Guards against a run that is stopped while its upstream restarts, and that runs on under the next incarnation.
func TestStopBesideRestart(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.session.Start(h.now, testTask(0, 1))
	h.takeOrder(StartOrder)
	h.session.Stop(h.now, testRun(0, 1))
	h.takeOrder(StopOrder)
	h.advance(time.Millisecond)
	h.respondAfterRestart(nil)
	h.session = h.session.Successor(h.now, h.session.Upstream(), 8)
	h.orders = nil
	h.respondAfterRestart(listedRuns(testRun(0, 1)))
	h.g.Expect(h.takeOrder(StopOrder).Run).To(Equal(testRun(0, 1)))
}

// Guards against a run that goes on for a lost entry host, because that was lost between a restart of the upstream and the
// session with its next incarnation.
func TestEntryIsLostBesideRestart(t *testing.T) {
	h := newHarness(t)
	h.respondToRenewal(nil, nil)
	h.session.Start(h.now, testTask(0, 1))
	h.takeOrder(StartOrder)
	h.advance(time.Millisecond)
	h.respondAfterRestart(nil)
	h.session.StopAll(h.now, "entry")
	h.session = h.session.Successor(h.now, h.session.Upstream(), 8)
	h.orders = nil
	h.respondAfterRestart(listedRuns(testRun(0, 1)))
	h.g.Expect(h.session.Unclaimed(h.now, 0)).To(Equal([]sesamedrift.Run{testRun(0, 1)}))
}

// Guards against live runs that are given up because a response of the previous incarnation has been overtaken.
func TestOvertakenResponseOfPreviousIncarnation(t *testing.T) {
	h := newHarness(t)
	h.respondAfterRestart(nil)
	h.session.Start(h.now, testTask(0, 1))
	h.session.HandleResponse(h.now, Response{
		Order:    h.takeOrder(StartOrder),
		Status:   Accepted,
		HasClock: true,
	})
	h.advance(time.Millisecond)
	h.takeEvents()
	h.respondToRenewal(nil, nil)
	h.g.Expect(h.takeEvents()).NotTo(ContainElement(HaveField("Kind", BeElementOf(Ended, Restarted, Replaced))))
}
