package registrar_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/registrar"
)

// Guards against a change that is run a second time because its answer was lost.
func TestResentChangeGetsItsFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	// The operator's host dies after the decision: nobody learns it, only votes remain.
	c.setLoss(func(_, _ string, r registrar.Request, _ bool) bool { return r.Kind == registrar.KindLearn })
	first, err := c.node("a").Change(t.Context(), start, change("env-trial", "x", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Status).To(Equal(registrar.Accepted))
	c.stop("a")
	c.setLoss(nil)

	again, err := c.node("b").Change(t.Context(), start.Add(1), change("env-trial", "x", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	lost, err := c.node("c").Change(t.Context(), start, change("env-trial", "y", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lost.Status).To(Equal(registrar.Conflict))
	g.Expect(lost.Winner).To(Equal(first.Winner))

	c.mustChange(t, "b", "env-trial", 1, 3)
	g.Expect(c.restart("b")).To(Succeed())
	g.Expect(c.restart("a")).To(Succeed())
	for _, name := range c.names {
		res, err := c.node(name).Change(t.Context(), start, change("env-trial", "x", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res).To(Equal(first))
		res, err = c.node(name).Change(t.Context(), start, change("env-trial", "y", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res).To(Equal(lost))
	}
}

// Guards against two winners, or none, among changes with an equal version.
func TestEqualVersionsHaveOneWinner(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	for v := range uint64(20) {
		results := make([]registrar.Result, len(c.names))
		var wait sync.WaitGroup
		for i, name := range c.names {
			wait.Go(func() {
				res, err := c.node(name).Change(t.Context(), start, change("env-trial", name+string(rune('A'+v)), v))
				if err == nil {
					results[i] = res
				}
			})
		}
		wait.Wait()
		accepted := 0
		for _, res := range results {
			g.Expect(res.Winner).To(Equal(results[0].Winner))
			g.Expect(res.Version).To(Equal(v + 1))
			if res.Status == registrar.Accepted {
				accepted++
			} else {
				g.Expect(res.Status).To(Equal(registrar.Conflict))
			}
		}
		g.Expect(accepted).To(Equal(1))
	}
}

// Guards against a second loss that takes the only copy of what was decided.
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	// Only a and b vote for and learn the changes.
	c.setLoss(func(_, to string, _ registrar.Request, _ bool) bool { return to == "c" })
	c.mustChange(t, "a", "env-trial", 0, 5)
	c.setLoss(nil)

	g.Expect(c.wipe("a")).To(Succeed())
	g.Expect(c.node("a").Ready()).To(BeFalse())
	res, err := c.node("a").Change(t.Context(), start, change("env-trial", "z", 5))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Status).To(Equal(registrar.Unavailable))
	g.Expect(c.node("a").Repair(t.Context(), start)).To(Succeed())
	g.Expect(c.wipe("b")).To(Succeed())
	g.Expect(c.node("b").Repair(t.Context(), start)).To(Succeed())
	c.stop("a")
	for _, name := range []string{"b", "c"} {
		e, err := c.node(name).Read(t.Context(), start, "env-trial")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(e.Version).To(Equal(uint64(5)))
		g.Expect(e.Value).To(Equal([]byte("value of c4")))
		g.Expect(c.node(name).History("env-trial", 0, 10)).To(HaveLen(5))
	}
	c.mustChange(t, "c", "env-trial", 5, 1)
}
