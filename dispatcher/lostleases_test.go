package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/poller"
)

// newHolder returns the harness of a host that holds upstream a, on which a run is active.
func newHolder(t *testing.T, run sesamedrift.Run) *harness {
	h := newFollower(t)
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Upstreams: []discoverer.Upstream{domainUpstream("a")},
	})
	h.assign(1)
	h.core.Flush(h.now)
	h.acceptFirstOrder(leaseholder.ListedRun{Run: run})
	h.orders = nil
	h.core.Flush(h.now)
	return h
}

// refuseAsFenced refuses the oldest order of a kind in the name of an upstream that another host has acquired.
func (h *harness) refuseAsFenced(kind leaseholder.OrderKind) {
	for _, o := range h.orders {
		if o.Kind == kind {
			o.done(h.now, leaseholder.Response{
				Order:  o.Order,
				Status: leaseholder.Refused,
				Reason: leaseholder.Fenced,
			})
			break
		}
	}
	h.core.Flush(h.now)
}

// Guards against a run that goes on although its job has ended: its host orders the stop from a leaseholder that has lost
// the lease, so that the upstream refuses the order, and the next leaseholder never learns of it.
func TestStopIsRelayedAfterLostLease(t *testing.T) {
	run := sesamedrift.Run{
		Task:   sesamedrift.TaskID{Job: "j"},
		Number: 1,
	}
	stop := stopRun{
		Upstream: "a",
		Run:      run,
	}
	relayed := sentMessage{
		to:   leaderAddress,
		kind: kindStopRun,
	}
	t.Run("lease lost before the stop", func(t *testing.T) {
		h := newHolder(t, run)
		h.refuseAsFenced(leaseholder.RenewOrder)
		h.sent = nil
		h.deliver(kindStopRun, stop)
		h.core.Flush(h.now)
		h.g.Expect(h.sent).To(ContainElement(relayed))
	})
	t.Run("stop refused", func(t *testing.T) {
		h := newHolder(t, run)
		h.deliver(kindStopRun, stop)
		h.core.Flush(h.now)
		h.g.Expect(h.sent).NotTo(ContainElement(relayed))
		h.refuseAsFenced(leaseholder.StopOrder)
		h.g.Expect(h.sent).To(ContainElement(relayed))
	})
	t.Run("assigned to another host before the answer", func(t *testing.T) {
		h := newHolder(t, run)
		h.deliver(kindStopRun, stop)
		h.core.Flush(h.now)
		h.deliverFrom(leaderAddress, kindAssignment, assignment{
			Number:       2,
			Placers:      []string{leaderAddress},
			Shards:       map[string]int{"a": 0},
			Leaseholders: map[string]string{"a": leaderAddress},
		})
		h.g.Expect(h.sent).To(ContainElement(relayed))
	})
	t.Run("relayed once", func(t *testing.T) {
		h := newHolder(t, run)
		h.refuseAsFenced(leaseholder.RenewOrder)
		h.sent = nil
		stop.Relayed = true
		h.deliver(kindStopRun, stop)
		h.core.Flush(h.now)
		h.g.Expect(h.sent).NotTo(ContainElement(relayed))
	})
}
