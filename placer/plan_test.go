package placer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/forecaster"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// Guards against a large task that is kept until it is late: the free capacity of all upstreams together
// would suffice for it, but that of no upstream does.
func TestLargeTaskIsRefusedDespiteFreeGaps(t *testing.T) {
	h := newHarness(t, 16000, 16000, 16000)
	for i := range 3 {
		h.enqueue(h.job(fmt.Sprint("running-", i), "q", 1, 10000, time.Second))
	}
	h.enqueue(h.job("large", "large", 1, 12000, 100*time.Millisecond))
	h.g.Expect(h.refused).To(HaveKey("large"))
}

// Guards against a Retry-After that has nothing to do with when a job could begin.
func TestRetryAfterIsThePlannedStart(t *testing.T) {
	h := newHarness(t, 10000, 1000)
	h.enqueue(h.job("running", "q", 1, 10000, 700*time.Millisecond))
	h.enqueue(h.job("waits", "q", 1, 10000, 400*time.Millisecond))
	h.p.Enqueue(h.now, h.job("late", "q", 1, 10000, 100*time.Millisecond))
	h.g.Expect(h.p.TakeDecisions()).To(ConsistOf(HaveField("RetryAfter", 700*time.Millisecond)))
}

// Guards against a job that is refused because a plan made earlier has no room for it ahead of the jobs
// that it precedes, and against a plan that is made anew for each arrival while many jobs wait.
func TestRecentPlanIsExtended(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	for i := range 50 {
		j := h.job(fmt.Sprint("waits-", i), "q", 1, 5000, 100*time.Millisecond)
		j.TargetLatency = time.Hour
		h.enqueue(j)
	}
	h.advance(5 * time.Millisecond)
	plans := h.p.plan.number
	h.now = h.now.Add(time.Millisecond)
	h.enqueue(h.job("urgent", "q", 1, 10000, 100*time.Millisecond))
	h.g.Expect(h.p.plan.number).To(Equal(plans))
	h.g.Expect(h.refused).To(BeEmpty())
	h.advance(90 * time.Millisecond)
	h.endRun("running", 0, leaseholder.Done, 96*time.Millisecond)
	h.g.Expect(h.placedOn).To(HaveKey(runOf("urgent", 0).String()))
}

// Guards against a plan whose error nobody sees: a job that waits reports how far off its planned start was.
func TestPlanErrorIsReported(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	h.enqueue(h.job("waits", "q", 1, 10000, 400*time.Millisecond))
	h.now = h.now.Add(80 * time.Millisecond)
	h.p.RunEnded(h.now, "u0", runOf("running", 0), leaseholder.Done, "", 80*time.Millisecond)
	h.g.Expect(h.p.TakeDecisions()).To(ConsistOf(And(HaveField("Planned", true), HaveField("PlanError", 20*time.Millisecond))))
}

// Guards against a large task that never begins because small ones that came later take each gap, and
// against capacity that stays unused although a small task would end before the large one can begin.
func TestSmallTasksLeaveTheReservation(t *testing.T) {
	h := newHarness(t, 16000)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	h.enqueue(h.job("large", "large", 1, 16000, 100*time.Millisecond))
	for name, runTime := range map[string]time.Duration{
		"ends-later": 300 * time.Millisecond,
		"ends-first": 50 * time.Millisecond,
	} {
		j := h.job(name, "small", 1, 6000, runTime)
		j.TargetLatency = 500 * time.Millisecond
		h.enqueue(j)
	}
	h.g.Expect(h.placedOn).To(HaveKey(runOf("ends-first", 0).String()))
	h.g.Expect(h.placedOn).NotTo(HaveKey(runOf("ends-later", 0).String()))
	h.advance(100 * time.Millisecond)
	h.endRun("ends-first", 0, leaseholder.Done, 50*time.Millisecond)
	h.endRun("running", 0, leaseholder.Done, 100*time.Millisecond)
	h.g.Expect(h.placedOn).To(HaveKey(runOf("large", 0).String()))
}

// Guards against a report that promises a gap that is only as long as the run time: until the end of a run is
// reported, the overhead passes as well.
func TestReportedStartIncludesTheOverhead(t *testing.T) {
	h := newHarness(t, 10000)
	h.p.overhead = 20 * time.Millisecond
	h.enqueue(h.job("running", "q", 1, 4000, 100*time.Millisecond))
	for _, id := range []string{"large", "long"} {
		j := h.job(id, "q", 1, 8000, 110*time.Millisecond)
		j.TargetLatency = time.Second
		h.enqueue(j)
	}
	h.g.Expect(h.p.WaitingJobs()).To(Equal(2))
	// Tasks of mean demand and 110 ms fit beside the running one for 120 ms, and beside the large ones not at all.
	h.g.Expect(h.p.FreeCapacity(h.now).StartsAfter).To(BeNumerically(">=", 370*time.Millisecond))
}

// Guards against a task that is placed ahead of a reserved start although the report of its end comes later.
func TestOverheadDoesNotDelayReservations(t *testing.T) {
	h := newHarness(t, 16000)
	h.p.overhead = 50 * time.Millisecond
	h.enqueue(h.job("running", "q", 1, 10000, 50*time.Millisecond))
	for _, j := range []Job{h.job("a-large", "q", 1, 16000, 60*time.Millisecond), h.job("small", "q", 1, 6000, 60*time.Millisecond)} {
		j.TargetLatency = 500 * time.Millisecond
		h.enqueue(j)
	}
	h.g.Expect(h.placedOn).NotTo(HaveKey(runOf("small", 0).String()))
}

// Guards against jobs that are refused in favour of one that they do not hinder: it fits no usable upstream, or it
// is of another service.
func TestOnlyJobsInTheWayAreRefused(t *testing.T) {
	for _, name := range []string{"fits nowhere", "other service"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10000)
			h.p.SetUpstream(Upstream{
				ID:       "v0",
				Service:  "other",
				Capacity: cpu(10000),
			})
			h.p.SetUsable(h.now, "v0", true)
			h.enqueue(h.job("running", "busy", 1, 10000, time.Second))
			for i := range 3 {
				j := h.job(fmt.Sprint("waits-", i), "busy", 1, 3000, 100*time.Millisecond)
				j.TargetLatency = 1500 * time.Millisecond
				h.enqueue(j)
			}
			late := h.job("late", "idle", 1, 3000, 3*time.Second)
			if name == "fits nowhere" {
				late.Tasks[0].Requires = "unknown"
			} else {
				late.Service = "other"
				first := late
				first.ID, first.Queue, first.Tasks = "first", "first", []Task{{Run: runOf("first", 0), Demand: cpu(10000), Estimate: 3 * time.Second}}
				h.enqueue(first)
			}
			h.enqueue(late)
			h.advance(time.Millisecond)
			h.g.Expect(h.refused).To(And(HaveLen(1), HaveKey("late")))
		})
	}
}

// Guards against a job that is refused at once because the only upstream that fits it cools down for some
// milliseconds, and against one that waits although that will be too late.
func TestJobWaitsForShortCooldown(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("rejected", "q", 1, 10000, 50*time.Millisecond))
	h.p.RunEnded(h.now, "u0", runOf("rejected", 0), leaseholder.Rejected, leaseholder.NoCapacity, 0)
	h.enqueue(h.job("waits", "q", 1, 10000, 100*time.Millisecond))
	h.g.Expect(h.refused).To(BeEmpty())
	h.advance(noCapacityCooldown)
	h.g.Expect(h.placedOn).To(HaveKey(runOf("waits", 0).String()))
	h.p.upstreams["u0"].health.cooldownUntil = h.now.Add(100 * time.Millisecond)
	h.enqueue(h.job("hopeless", "q", 1, 10000, 10*time.Millisecond))
	h.g.Expect(h.refused).To(HaveKey("hopeless"))
}

// Guards against jobs that are refused, or kept, by a plan of upstreams that have joined or left since.
func TestPlanIsMadeAgainAfterUpstreamsChange(t *testing.T) {
	h := newHarness(t, 10000, 10000)
	h.p.SetUsable(h.now, "u1", false)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	for i := range 50 { // planned until 2.6 s
		j := h.job(fmt.Sprint("waits-", i), "q", 1, 5000, 100*time.Millisecond)
		j.TargetLatency = 2500 * time.Millisecond
		h.enqueue(j)
	}
	h.advance(5 * time.Millisecond)
	last := h.job("last", "q", 1, 10000, 100*time.Millisecond)
	last.TargetLatency = 2510 * time.Millisecond
	h.p.SetUsable(h.now, "u1", true)
	h.enqueue(last)
	h.g.Expect(h.refused).To(BeEmpty())
	h.p.RemoveUpstream("u0")
	h.p.RemoveUpstream("u1")
	h.enqueue(h.job("kept", "q", 1, 10000, 100*time.Millisecond))
	h.g.Expect(h.refused).To(HaveKey("kept"))
}

// Guards against room that is given back twice: the job to refuse has been left out of the extended plan already.
func TestPostponedJobLeavesThePlanOnce(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	for i := range 50 { // planned until 2.6 s
		j := h.job(fmt.Sprint("waits-", i), "q", 1, 5000, 100*time.Millisecond)
		j.TargetLatency = 2500 * time.Millisecond
		h.enqueue(j)
	}
	h.advance(5 * time.Millisecond)
	h.enqueue(h.job("postponed", "q", 1, 10000, 100*time.Millisecond))
	h.g.Expect(h.refused).To(BeEmpty())
	last := h.job("last", "q", 1, 10000, 100*time.Millisecond)
	last.TargetLatency = 2510 * time.Millisecond
	h.enqueue(last)
	h.g.Expect(h.refused).To(HaveKey("postponed"))
	tooLarge := forecaster.Job{
		Service: "s",
		Tasks:   []forecaster.Task{{Demand: cpu(10001)}},
	}
	h.g.Expect(h.p.plan.Add(&tooLarge).Fits).To(BeFalse())
}

// Guards against a job that is refused because it is planned behind its own earlier request.
func TestRepeatedRequestReplacesThePlannedJob(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("running", "q", 1, 10000, 100*time.Millisecond))
	for i := range 50 {
		j := h.job(fmt.Sprint("waits-", i), "q", 1, 5000, 100*time.Millisecond)
		j.TargetLatency = 2500 * time.Millisecond
		h.enqueue(j)
	}
	repeated := h.job("repeated", "q", 1, 10000, 100*time.Millisecond)
	repeated.TargetLatency = 2600 * time.Millisecond // 60 ms more than needed
	h.enqueue(repeated)
	h.advance(5 * time.Millisecond)
	h.enqueue(repeated)
	h.g.Expect(h.refused).To(BeEmpty())
}

// newBusyShard returns a harness with 500 waiting jobs of 4 tasks on the 36 busy upstreams of a shard.
func newBusyShard(demand int64) *harness {
	h := &harness{
		p:   newIdlePlacer(36),
		now: start,
	}
	for i := 0; h.p.WaitingJobs() < 500; i++ {
		j := h.job(fmt.Sprint("j", i), "q", 4, demand, time.Duration(50+i%400)*time.Millisecond)
		j.TargetLatency = time.Hour
		h.p.Enqueue(start, j)
	}
	return h
}

// BenchmarkTick measures Tick with 500 waiting jobs.
func BenchmarkTick(b *testing.B) {
	h := newBusyShard(7000)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		h.now = h.now.Add(50 * time.Millisecond)
		h.p.Tick(h.now)
	}
}

// BenchmarkPlace measures the part of each event that looks for jobs to place, with 500 waiting jobs of
// which none fits, by the demand of their tasks. Those of 9000 are large enough for reservations.
func BenchmarkPlace(b *testing.B) {
	for _, demand := range []int64{7000, 9000} {
		b.Run(fmt.Sprint(demand), func(b *testing.B) {
			h := newBusyShard(demand)
			b.ReportAllocs()
			for b.Loop() {
				h.p.place(h.now)
			}
		})
	}
}
