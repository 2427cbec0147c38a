package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/leaseholder"
)

// Guards against an upstream that fails all its runs and, being idle early, gets more and more of
// them.
func TestFailingUpstreamIsEjected(t *testing.T) {
	h := newHarness(t, 10000, 10000)
	failing := ""
	failures := 0
	for i := range 40 {
		id := fmt.Sprint("j", i)
		h.enqueue(h.job(id, "q", 1, 10000, 50*time.Millisecond))
		upstream, placed := h.placedOn[runOf(id, 0).String()]
		h.g.Expect(placed).To(BeTrue())
		if failing == "" {
			failing = upstream
		}
		h.advance(50 * time.Millisecond)
		result := leaseholder.Done
		if upstream == failing {
			result = leaseholder.Failed
			failures++
		}
		h.endRun(id, 0, result, 50*time.Millisecond)
	}
	// In 2 s there is one task before the first cooldown, and one after each of the cooldowns of
	// 0.3 s, 0.6 s and 1.2 s.
	h.g.Expect(failures).To(BeNumerically("<=", 4))
	h.g.Expect(h.ejected).To(HaveLen(failures))
}

// Guards against a job that fails wherever it runs and gets all upstreams ejected.
func TestFailingJobEjectsAtMostOneUpstream(t *testing.T) {
	h := newHarness(t, 10000, 10000, 10000, 10000)
	for i := range 4 {
		j := h.job("hopeless", "q", 1, 10000, 50*time.Millisecond)
		j.Tasks[0].Run.Number = i + 1
		h.enqueue(j)
		run := j.Tasks[0].Run
		upstream, placed := h.placedOn[run.String()]
		h.g.Expect(placed).To(BeTrue())
		h.p.RunEnded(h.now, upstream, run, leaseholder.Failed, "", time.Millisecond)
		h.collect()
	}
	h.g.Expect(len(h.ejected)).To(BeNumerically("<", jobFaultThreshold))
}

// Guards against runs that stall until the deadline of their job, and against a task that makes no
// progress anywhere and is rescheduled again and again.
func TestStalledRunIsRescheduledOnce(t *testing.T) {
	h := newHarness(t, 10000, 10000)
	h.enqueue(h.job("j", "q", 1, 10000, 100*time.Millisecond))
	run := runOf("j", 0)
	upstream := h.placedOn[run.String()]
	for runTime := 100 * time.Millisecond; runTime <= 500*time.Millisecond; runTime += 100 * time.Millisecond {
		h.p.RecordProgress(upstream, run, 10, runTime)
		h.advance(100 * time.Millisecond)
	}
	h.g.Expect(h.stopped).To(Equal([]string{run.String()}))
	h.g.Expect(h.ejected).To(Equal([]string{upstream}))
	h.endRun("j", 0, leaseholder.Stopped, 500*time.Millisecond)
	j := h.job("j", "q", 1, 10000, 100*time.Millisecond)
	j.Tasks[0].Run.Number = 2
	j.Tasks[0].Avoid = upstream
	h.enqueue(j)
	retry := j.Tasks[0].Run
	other := h.placedOn[retry.String()]
	h.g.Expect(other).NotTo(Equal(upstream))
	for runTime := 100 * time.Millisecond; runTime <= 500*time.Millisecond; runTime += 100 * time.Millisecond {
		h.p.RecordProgress(other, retry, 10, runTime)
		h.advance(100 * time.Millisecond)
	}
	h.g.Expect(h.stopped).To(HaveLen(1))
	h.g.Expect(h.ejected).To(HaveLen(1))
}

// Guards against an upstream that gets no tasks any more because the end of its probe is never reported.
func TestProbeEndsWithItsRun(t *testing.T) {
	for name, lose := range map[string]func(*harness){
		"released":   func(h *harness) { h.p.Release(h.now, "u0", runOf("probe", 0)) },
		"entry lost": func(h *harness) { h.p.RemoveEntry(h.now, "e") },
		"not listed": func(h *harness) {
			h.now = h.now.Add(2 * unreportedTimeout)
			h.p.Reconcile(h.now, "u0", nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 16000)
			h.enqueue(h.job("fails", "q", 1, 1000, 50*time.Millisecond))
			h.endRun("fails", 0, leaseholder.Failed, 50*time.Millisecond)
			h.advance(minCooldown)
			h.enqueue(h.job("probe", "q", 1, 1000, 50*time.Millisecond))
			lose(h)
			h.enqueue(h.job("next", "q", 1, 1000, 50*time.Millisecond))
			h.g.Expect(h.placedOn).To(HaveKey(runOf("next", 0).String()))
		})
	}
}

// Guards against estimated speeds that drift although all upstreams are equal. They would if
// upstreams were compared while a job has open runs, because its shorter tasks end first.
func TestSpeedsDoNotDrift(t *testing.T) {
	h := newHarness(t, 10000, 10000, 10000, 10000)
	for i := range 200 {
		id := fmt.Sprint("j", i)
		h.enqueue(h.job(id, "q", 4, 10000, 100*time.Millisecond))
		for k := range 4 {
			h.advance(10 * time.Millisecond)
			h.endRun(id, (k+i)%4, leaseholder.Done, time.Duration(90+10*k)*time.Millisecond)
		}
	}
	for _, u := range h.p.sorted {
		h.g.Expect(u.health.slowness).To(BeNumerically("~", 0, 0.1))
	}
}

// Guards against an upstream that is ejected, and its runs stopped, because it is slow by its kind, and
// against one that is not ejected although it has become slower than it was.
func TestSlowKindIsNotEjectedAndTurnedSlowIs(t *testing.T) {
	for _, test := range []struct {
		slow    float64 // learned run time factor
		runTime time.Duration
		ejected bool
	}{
		{slow: 1, runTime: 190 * time.Millisecond},
		{slow: 1, runTime: 300 * time.Millisecond, ejected: true},
		{slow: 1.82, runTime: 300 * time.Millisecond},
		{slow: 1.82, runTime: 500 * time.Millisecond, ejected: true},
		{slow: 0.83, runTime: 240 * time.Millisecond},
		{slow: 0.83, runTime: 300 * time.Millisecond, ejected: true},
	} {
		t.Run(fmt.Sprint(test.slow, test.runTime), func(t *testing.T) {
			h := newHarness(t, 10000, 10000)
			h.p.upstreams["u1"].health.slowness = math.Log(test.slow)
			j := h.job("j", "q", 2, 10000, 100*time.Millisecond)
			j.SlackFactor = 3
			h.enqueue(j)
			onSlow := 0
			if h.placedOn[runOf("j", 1).String()] == "u1" {
				onSlow = 1
			}
			h.advance(100 * time.Millisecond)
			h.endRun("j", 1-onSlow, leaseholder.Done, 100*time.Millisecond)
			h.p.RecordProgress("u1", runOf("j", onSlow), int(100*100*time.Millisecond/test.runTime), 100*time.Millisecond)
			h.advance(10 * time.Millisecond)
			if test.ejected {
				h.g.Expect(h.ejected).To(Equal([]string{"u1"}))
			} else {
				h.g.Expect(h.ejected).To(BeEmpty())
			}
		})
	}
}

// Guards against upstreams of half the usual speed that a new placer takes for average ones for a long
// time.
func TestSpeedsAreLearnedWithinAFewComparisons(t *testing.T) {
	var h health
	for range 4 {
		h.recordComparison(math.Log(1.8) - h.slowness)
	}
	NewWithT(t).Expect(h.slowness).To(BeNumerically("~", math.Log(1.8), 0.15))
}
