package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/tracker"
)

// Guards against jobs that a host which has just started holds until their deadline: while no upstream is known, and
// while there is no placer.
func TestJobsBeforeFirstAssignment(t *testing.T) {
	for name, test := range map[string]struct {
		upstreamKnown bool
		places        bool
		wait          time.Duration
		refused       bool
	}{
		"no upstream":            {refused: true},
		"placer and no upstream": {places: true, refused: true},
		"no placer yet":          {upstreamKnown: true, wait: assignmentWait - TickEvery},
		"no placer for too long": {upstreamKnown: true, wait: assignmentWait + TickEvery, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			if test.upstreamKnown {
				h.core.upstreams.Put(h.now, discoverer.Upstream{
					ID:     "u",
					Domain: "d",
					State:  discoverer.Serving,
				})
			}
			if test.places {
				h.core.applyAssignment(h.now, assignment{Placers: []string{selfAddress}})
			}
			var results []Result
			h.core.Submit(h.now, tracker.Job{
				ID:       "j",
				Arrived:  h.now,
				Deadline: h.now.Add(10 * time.Second),
				Steps:    []tracker.Step{{TaskCount: 1}},
			}, NewCaller(func(r Result) { results = append(results, r) }))
			h.core.Flush(h.now)
			h.advance(test.wait)
			if !test.refused {
				g.Expect(results).To(BeEmpty())
				return
			}
			g.Expect(results).To(HaveLen(1))
			g.Expect(results[0].Outcome).To(Equal(tracker.NotRun))
			g.Expect(results[0].RetryAfter).To(Equal(unplacedRetryAfter))
			_, found := h.core.State("j")
			g.Expect(found).To(BeFalse())
		})
	}
}
