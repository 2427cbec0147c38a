package dispatcher

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/tracker"
)

// Guards against the ejection of an upstream that has rejected a run only because an earlier try of the job has had a
// run with the same number there.
func TestStaleRunDoesNotEject(t *testing.T) {
	for reason, ejections := range map[leaseholder.Reason]int64{
		leaseholder.StaleRun:  0,
		leaseholder.Unhealthy: 1,
	} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t)
			h.core.SetControlReachable(controlAddress, true)
			u := domainUpstream("u")
			u.Capacity = sesamedrift.Resources{CPU: 1000}
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{u}})
			h.advance(maxDiscoveryTime + placerGracePeriod)
			h.core.Flush(h.now)
			h.acceptFirstOrder()
			h.core.Flush(h.now)
			h.submitTask("j")
			h.core.Flush(h.now)
			i := slices.IndexFunc(h.orders, func(o pendingOrder) bool { return o.Kind == leaseholder.StartOrder })
			h.g.Expect(i).To(BeNumerically(">=", 0), "a start order")
			start := h.orders[i]
			start.done(h.now, leaseholder.Response{
				Order:       start.Order,
				Status:      leaseholder.Refused,
				Reason:      reason,
				Incarnation: 1,
			})
			h.core.Flush(h.now)
			h.g.Expect(h.core.Stats().Ejections).To(Equal(ejections))
			h.orders = nil
			h.submitTask("k")
			h.core.Flush(h.now)
			h.g.Expect(h.orders).To(HaveLen(1 - int(ejections)))
		})
	}
}

// submitTask submits a job with one task.
func (h *harness) submitTask(id string) {
	h.core.Submit(h.now, tracker.Job{
		ID:            id,
		MaxAttempts:   1,
		TargetLatency: time.Second,
		Steps:         []tracker.Step{{TaskCount: 1, Demand: sesamedrift.Resources{CPU: 10}}},
		Arrived:       h.now,
		Deadline:      h.now.Add(time.Minute),
	}, NewCaller(func(Result) {}))
}
