package controller

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/registrar"
)

// pollEvacuations returns the reply of a control host to the first poll of an entry host.
func (c *cluster) pollEvacuations(i int) poller.Updates {
	return c.hosts[i].handlePoll(c.t.Context(), poller.Request{
		Self: discoverer.Host{
			ID:      "entry",
			Domain:  "d",
			Role:    discoverer.Entry,
			Address: "127.0.0.1:9",
		},
		TakesEvacuations: true,
	})
}

// Guards against acknowledged evacuations that are lost with a minority of the disks and a restart of all
// control hosts, against an acknowledgement without a majority, and against a control host that claims to
// know the evacuations before it does, or that never does while a majority is lost.
func TestEvacuationsSurvive(t *testing.T) {
	c := newCluster(t, 3)
	defer c.close()
	for i := range 3 {
		c.start(i, true)
	}
	order := func(i int, order func(h *Host, ctx context.Context, who, domain string) error, domain string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return order(c.hosts[i], ctx, "ana", domain)
	}
	eventuallyKnown := func(i int, domains ...string) {
		t.Helper()
		c.g.Eventually(func() poller.Updates { return c.pollEvacuations(i) }).WithTimeout(waitLimit).Should(And(
			HaveField("EvacuationsKnown", true), HaveField("Evacuations", HaveField("Domains", domains))))
	}
	c.g.Eventually(func() poller.Updates { return c.pollEvacuations(0) }).WithTimeout(waitLimit).Should(And(
		HaveField("EvacuationsKnown", true), HaveField("Evacuations", BeNil())), "the empty state is known at the first start")
	for range 2 {
		c.g.Eventually(func() error { return order(0, (*Host).BeginEvacuation, "d") }).WithTimeout(waitLimit).Should(Succeed())
	}
	c.g.Eventually(func() error { return order(1, (*Host).BeginEvacuation, "e") }).WithTimeout(waitLimit).Should(Succeed())
	for i := range 3 {
		eventuallyKnown(i, "d", "e")
	}

	// A host may know an order from the polls of the others before its own replica has it, and is alone below.
	c.g.Eventually(func() []registrar.Entry { return c.hosts[0].replica.Registers().Entries(nil) }).WithTimeout(waitLimit).Should(ContainElement(And(
		HaveField("Register", evacuator.Register),
		WithTransform(evacuator.Decode, HaveField("Domains", ConsistOf("d", "e"))))))
	for i := range 3 {
		c.stop(i)
	}
	c.start(0, false)
	c.g.Expect(order(0, (*Host).FinishEvacuation, "d")).NotTo(Succeed())
	c.g.Expect(c.pollEvacuations(0).EvacuationsKnown).To(BeFalse())
	// What the host has stored counts after evacuationReadLimit. The order that failed may be in force.
	c.g.Eventually(func() poller.Updates { return c.pollEvacuations(0) }).WithTimeout(waitLimit).Should(And(
		HaveField("EvacuationsKnown", true), HaveField("Evacuations", HaveField("Domains", ContainElement("e")))))
	c.start(1, false)
	c.g.Eventually(func() error { return order(1, (*Host).FinishEvacuation, "d") }).WithTimeout(waitLimit).Should(Succeed())
	eventuallyKnown(0, "e")
	eventuallyKnown(1, "e")
}

// Guards against an unreadable state that counts as empty on a control host, on one that has restarted and after an
// order, with a majority of the replicas or without, and against an order that overwrites it.
func TestUnreadableEvacuations(t *testing.T) {
	t.Run("majority", func(t *testing.T) { testUnreadableEvacuations(t, 1) })
	t.Run("no majority", func(t *testing.T) { testUnreadableEvacuations(t, 3) })
}

func testUnreadableEvacuations(t *testing.T, replicas int) {
	c := newCluster(t, replicas)
	defer c.close()
	for i := range replicas {
		c.start(i, true)
	}
	c.g.Eventually(func() error { return c.hosts[0].BeginEvacuation(t.Context(), "ana", "d") }).WithTimeout(waitLimit).Should(Succeed())
	c.g.Eventually(func() poller.Updates { return c.pollEvacuations(0) }).WithTimeout(waitLimit).Should(HaveField("EvacuationsKnown", true))
	result, err := c.hosts[0].evacuator.Change(t.Context(), time.Now(), registrar.Change{
		Register: evacuator.Register,
		ID:       "damage",
		Who:      "ana",
		Expected: 1,
		Value:    []byte("unreadable"),
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(result.Status).To(Equal(registrar.Accepted))
	c.g.Expect(c.pollEvacuations(0)).To(And(HaveField("EvacuationsKnown", true), HaveField("Evacuations", HaveField("Domains", ConsistOf("d")))))
	refused := func() {
		for _, order := range []func(ctx context.Context, who, domain string) error{c.hosts[0].BeginEvacuation, c.hosts[0].FinishEvacuation} {
			c.g.Expect(order(t.Context(), "ana", "d")).To(MatchError(ContainSubstring(evacuator.Register)))
		}
		c.g.Expect(c.hosts[0].replica.Registers().ReadLocal(evacuator.Register).Version).To(Equal(uint64(2)))
	}
	refused()
	for i := range replicas {
		c.stop(i)
	}
	c.start(0, false)
	c.g.Eventually(func() bool { return c.hosts[0].replica.Votes() }).WithTimeout(waitLimit).Should(BeTrue())
	if replicas == 1 {
		refused()
	}
	c.g.Consistently(func() poller.Updates { return c.pollEvacuations(0) }).WithTimeout(evacuationReadLimit + evacuationReadTimeout).
		Should(And(HaveField("EvacuationsKnown", false), HaveField("Evacuations", BeNil())))
}

// Guards against a control host that claims to know the evacuations while its replica does not vote, and may lack orders
// that others have stored, and against one that never knows them again.
func TestEvacuationsUnknownWithoutVote(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	c.g.Eventually(func() error { return c.hosts[0].BeginEvacuation(t.Context(), "ana", "d") }).WithTimeout(waitLimit).Should(Succeed())
	known := func() bool { return c.pollEvacuations(0).EvacuationsKnown }
	c.g.Eventually(known).WithTimeout(waitLimit).Should(BeTrue())
	c.diskFails.Store(true)
	c.g.Expect(c.hosts[0].FinishEvacuation(t.Context(), "ana", "d")).NotTo(Succeed())
	c.g.Eventually(known).WithTimeout(waitLimit).Should(BeFalse())
	c.diskFails.Store(false)
	c.g.Eventually(known).WithTimeout(waitLimit).Should(BeTrue())
}

// Guards against polls that are answered at once again and again: hosts of earlier releases do not say
// which evacuations they have.
func TestEvacuationsAreSentOnce(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	h := c.hosts[0]
	c.g.Eventually(func() error { return h.BeginEvacuation(t.Context(), "ana", "d") }).WithTimeout(waitLimit).Should(Succeed())
	c.g.Eventually(func() poller.Updates { return c.pollEvacuations(0) }).WithTimeout(waitLimit).Should(And(
		HaveField("EvacuationsKnown", true), HaveField("Evacuations", Equal(&evacuator.State{
			Version: 1,
			Domains: []string{"d"},
		}))))
	for _, req := range []poller.Request{{}, {
		TakesEvacuations:   true,
		EvacuationsVersion: 1,
		EvacuationsKnown:   true,
	}} {
		req.Incarnation = c.lastIncarnation
		updates, _ := h.updatesSince(req)
		updates.Hosts = nil
		c.g.Expect(updates.Empty(req)).To(BeTrue())
	}
}
