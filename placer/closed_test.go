package placer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/leaseholder"
)

// report records a report of a placer of another failure domain.
func (h *harness) report(address string, capacity FreeCapacity) {
	h.p.SetOtherCapacity(h.now, address, false, capacity)
	h.collect()
}

// Guards against placements in an evacuated domain, against jobs that wait there until their deadline, against
// jobs that bounce between domains or all go to one, and against a domain that does not serve again.
func TestEvacuatedShard(t *testing.T) {
	h := newHarness(t, 16000, 16000)
	h.enqueue(h.job("running", "q", 2, 16000, 50*time.Millisecond))
	h.g.Expect(h.placedOn).To(HaveLen(2))
	forwarded := h.job("from-elsewhere", "q", 1, 7000, 50*time.Millisecond)
	forwarded.Forwarded = true
	started := h.job("started", "q", 1, 7000, 50*time.Millisecond)
	started.Started = true
	for _, j := range []Job{h.job("waiting", "q", 1, 7000, 50*time.Millisecond), forwarded, started} {
		h.enqueue(j)
	}
	h.report("e", FreeCapacity{WaitingJobs: 9})
	h.report("f", FreeCapacity{Closed: true})
	h.p.SetOtherCapacity(h.now, "nearby", true, FreeCapacity{Tasks: 99})
	h.collect()

	h.p.SetClosed(h.now, ReasonEvacuated)
	h.collect()
	h.g.Expect(h.p.FreeCapacity(h.now).Closed).To(BeTrue())
	h.g.Expect(h.refused).To(Equal(map[string]Reason{"from-elsewhere": ReasonEvacuated}))
	h.g.Expect(h.forwarded).To(Equal(map[string]string{"waiting": "e"}))
	h.report("g", FreeCapacity{WaitingJobs: 9})
	for _, id := range []string{"a", "b", "c"} {
		h.enqueue(h.job(id, "q", 2, 99000, 50*time.Millisecond))
	}
	h.g.Expect(h.forwarded).To(HaveKeyWithValue("a", "g"), "a job that is too large here may fit elsewhere")
	h.g.Expect(h.forwarded).To(HaveKeyWithValue("b", "e"))
	h.g.Expect(h.forwarded).To(HaveKeyWithValue("c", "g"))
	h.advance(startedRefusalDelay)
	h.g.Expect(h.refused).To(HaveKeyWithValue("started", ReasonEvacuated))
	h.g.Expect(h.stopped).To(BeEmpty(), "runs continue")

	// Reports that do not count any more come again, unless the placers are lost.
	h.advance(capacityTTL)
	patient := h.job("patient", "q", 1, 7000, 50*time.Millisecond)
	patient.TargetLatency = time.Second
	h.enqueue(patient)
	h.g.Expect(h.refused).NotTo(HaveKey("patient"))
	h.advance(capacityTTL)
	h.g.Expect(h.refused).To(HaveKey("patient"))
	for _, address := range []string{"e", "g"} {
		h.p.RemoveOther(address)
	}
	h.enqueue(h.job("late", "q", 1, 7000, 50*time.Millisecond))
	h.g.Expect(h.refused).To(HaveKey("late"))
	h.g.Expect(h.placedOn).To(HaveLen(2))

	for i := range 2 {
		h.endRun("running", i, leaseholder.Done, 50*time.Millisecond)
	}
	h.p.SetClosed(h.now, "")
	h.enqueue(h.job("again", "q", 1, 7000, 50*time.Millisecond))
	h.g.Expect(h.placedOn).To(HaveLen(3))
}

// Guards against a domain that is taken back and whose cold upstreams get as many tasks as warm ones.
func TestColdUpstreamGetsOneTask(t *testing.T) {
	h := newHarness(t, 16000, 16000)
	cold := Upstream{
		ID:        "u0",
		Service:   "s",
		Capacity:  cpu(16000),
		ColdUntil: h.now.Add(time.Second),
	}
	h.p.SetUpstream(cold)
	h.enqueue(h.job("a", "q", 1, 7000, 50*time.Millisecond))
	h.g.Expect(h.placedOn).To(HaveKeyWithValue(runOf("a", 0).String(), "u1"), "warm upstreams come first")
	h.enqueue(h.job("b", "q", 3, 7000, 50*time.Millisecond))
	h.g.Expect(h.placedOn).To(HaveLen(3), "the cold upstream gets one task")
	h.advance(time.Second)
	h.g.Expect(h.placedOn).To(HaveLen(4))
}

// Guards against jobs that are kept until they are late because the prediction counts on the whole capacity of
// cold upstreams, and against a warm one that stays counted as cold.
func TestPredictionsCountColdUpstreamsAsSlow(t *testing.T) {
	for _, rule := range []Rule{"", RulePlan} { // without RulePlan, the sum of the free CPU predicts
		t.Run(string(rule), func(t *testing.T) {
			h := newHarness(t)
			h.p.cfg.DisabledRule = rule
			h.p.SetUpstream(Upstream{
				ID:        "u0",
				Service:   "s",
				Capacity:  cpu(40000),
				ColdUntil: h.now.Add(time.Second),
			})
			h.p.SetUsable(h.now, "u0", true)
			for i := range 4 {
				h.enqueue(h.job(fmt.Sprint("j", i), "q", 1, 10000, 200*time.Millisecond))
			}
			h.g.Expect(h.placedOn).To(HaveLen(1))
			h.g.Expect(h.refused).To(HaveLen(3))
			h.advance(time.Second)
			h.endRun("j0", 0, leaseholder.Done, 300*time.Millisecond)
			for i := range 4 {
				h.enqueue(h.job(fmt.Sprint("warm", i), "q", 1, 10000, 200*time.Millisecond))
			}
			h.g.Expect(h.placedOn).To(HaveLen(5))
		})
	}
}
