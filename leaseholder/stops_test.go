package leaseholder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run of a task beside the first: the upstream refuses the order that withdraws an unanswered
// start, or answers it with an error, and then executes the start.
func TestUnansweredStartIsNotRejectedWithoutStop(t *testing.T) {
	for _, failure := range []Response{
		{
			Status: Refused,
			Reason: Unhealthy,
		},
		{
			Status: Refused,
			Reason: Malformed,
		},
		{
			Status: Refused,
			Reason: StaleRun,
		},
		{
			Status: Refused,
		},
		{
			Status: NoResponse,
		},
	} {
		t.Run(string(failure.Status+"/")+string(failure.Reason), func(t *testing.T) {
			h := newHarness(t)
			h.respondToRenewal(nil, nil)
			h.takeEvents()
			h.session.Start(h.now, testTask(0, 1))
			h.advance(testConfig.ResponseTimeout)
			h.dropOrder(h.takeOrder(StartOrder))
			h.advance(time.Millisecond)
			for range 2 {
				h.respondToRenewal(nil, nil)
				h.advance(time.Millisecond)
			}
			stops := 0
			for range 100 {
				orders := h.orders
				h.orders = nil
				for _, o := range orders {
					switch o.Kind {
					case RenewOrder:
						h.respond(Response{
							Order:  o,
							Status: Accepted,
						})
					case StopOrder:
						stops++
						h.respond(Response{
							Order:  o,
							Status: failure.Status,
							Reason: failure.Reason,
						})
					case StartOrder:
					}
				}
				h.advance(20 * time.Millisecond)
			}
			h.g.Expect(h.takeEvents()).NotTo(ContainElement(HaveField("Kind", Ended)))
			h.g.Expect(stops).To(BeNumerically(">", 1))
			h.advance(testConfig.MaxBackoff)
			h.respond(Response{
				Order:  h.takeOrder(StopOrder),
				Status: Accepted,
			})
			h.advance(testConfig.StopTime + 2*testConfig.TimerMargin)
			for len(h.orders) > 0 {
				h.respondToRenewal(nil, nil)
				h.advance(20 * time.Millisecond)
			}
			h.g.Expect(h.takeEvents()).To(ContainElement(And(HaveField("Result", Rejected), HaveField("Reason", Unconfirmed))))
		})
	}
}

// Guards against stop orders that follow each other without a pause while an upstream refuses them.
func TestRefusedStopIsResentWithBackoff(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.Stop(h.now, testRun(0, 1))
	refused := 0
	for end := h.now.Add(2 * time.Second); h.now.Before(end); h.advance(time.Millisecond) {
		orders := h.orders
		h.orders = nil
		for _, o := range orders {
			resp := Response{
				Order:   o,
				Status:  Accepted,
				Running: listedRuns(testRun(0, 1)),
			}
			if o.Kind == StopOrder {
				refused++
				resp.Status = Refused
				resp.Reason = Unhealthy
			}
			h.respond(resp)
		}
	}
	// The delays are 50, 100, 200, 400, 500, 500 ms.
	h.g.Expect(refused).To(BeNumerically("~", 7, 1))
}

// Guards against a host that sends stop orders without a pause to an upstream that answers them with an error at once.
func TestFailedStopIsResentAfterPause(t *testing.T) {
	h := newHarness(t)
	h.startRun()
	h.session.Stop(h.now, testRun(0, 1))
	first := h.takeOrder(StopOrder)
	h.advance(time.Millisecond)
	h.dropOrder(first)
	h.advance(testConfig.MinBackoff - 2*time.Millisecond)
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", StopOrder)))
	h.advance(2 * time.Millisecond)
	h.g.Expect(h.takeOrder(StopOrder).Run).To(Equal(testRun(0, 1)))
}
