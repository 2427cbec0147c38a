package placer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/leaseholder"
)

// Guards against refusals that fall on a queue with the first priority, or on one that is starved already,
// instead of on the queue that causes the load.
func TestOrderInWhichQueuesAreRefused(t *testing.T) {
	for _, test := range []struct {
		name      string
		standings []standing
		first     string
	}{
		{"burst", []standing{{queue: "last", priority: 2}, {queue: "burst", priority: 0, burst: true}}, "burst"},
		{"last priority", []standing{{queue: "first", usage: 9}, {queue: "last", priority: 2}, {queue: "middle", priority: 1}}, "last"},
		{"floor", []standing{{queue: "first"}, {queue: "last", priority: 2, belowFloor: true}, {queue: "middle", priority: 1}}, "middle"},
		{"burst below floor", []standing{{queue: "other", priority: 1}, {queue: "burst", priority: 2, burst: true, belowFloor: true}}, "burst"},
		{"usage", []standing{{queue: "a", usage: 1}, {queue: "b", usage: 2}}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(slices.MinFunc(test.standings, compareStandings).queue).To(Equal(test.first))
		})
	}
}

// Guards against a job that is refused, and sent elsewhere by its caller, while tasks of an earlier try run.
func TestJobWithOpenRunsIsNotRefused(t *testing.T) {
	h := newHarness(t, 10000)
	h.enqueue(h.job("a", "q", 1, 10000, 500*time.Millisecond))
	resent := h.job("a", "q", 1, 10000, 50*time.Millisecond)
	resent.Entry = "other"
	h.enqueue(resent)
	h.g.Expect(h.superseded).To(Equal([]string{"a@e"}))
	h.advance(100 * time.Millisecond)
	h.g.Expect(h.refused).To(BeEmpty())
	h.endRun("a", 0, leaseholder.Stopped, 100*time.Millisecond)
	h.g.Expect(h.p.WaitingJobs()).To(BeZero())
}

// Guards against a burst that is not recognized, and against queues that pay for a burst of another or for
// a rise of demand in which all take part.
func TestBurstIsRecognized(t *testing.T) {
	for _, test := range []struct {
		name    string
		rises   map[string]int // factor of the arrivals of each queue in the last 3 s
		bursts  []string
		younger time.Duration // how much less than 40 s the placer has run before
	}{
		{name: "steady", rises: map[string]int{"short": 1, "long": 1}},
		{name: "long", rises: map[string]int{"short": 1, "long": 3}, bursts: []string{"long"}},
		{name: "short", rises: map[string]int{"short": 3, "long": 1}, bursts: []string{"short"}},
		{name: "all", rises: map[string]int{"short": 3, "long": 3}},
		{name: "new placer", rises: map[string]int{"short": 1, "long": 1}, younger: 39 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 10000)
			before := 40*time.Second - test.younger
			for at := time.Duration(0); at < before+3*time.Second; at += 100 * time.Millisecond {
				h.p.decayUsage(h.now)
				for name, arrivals := range map[string]int{"short": 2, "long": 1} {
					if at >= before {
						arrivals *= test.rises[name]
					}
					for range arrivals {
						w := h.p.newWaitingJob(h.job("j", name, 1, 1000, 100*time.Millisecond))
						h.p.recordArrival(w)
						h.p.recordUsage(name, w.Tasks[0], w.estimate)
					}
				}
				h.now = h.now.Add(100 * time.Millisecond)
			}
			var bursts []string
			for _, name := range []string{"short", "long"} {
				if h.p.bursts(h.now, name) {
					bursts = append(bursts, name)
				}
			}
			h.g.Expect(bursts).To(Equal(test.bursts))
		})
	}
}

// Guards against a queue whose wide or long jobs are always the ones that are refused: of the largest tenth,
// and of the fifth below it, at least half as large a share must be served as of the whole queue.
func TestLargeJobsAreNotAlwaysRefused(t *testing.T) {
	for _, refused := range []int{1, 5, 8} { // of ten jobs
		t.Run(fmt.Sprint(refused), func(t *testing.T) {
			h := newHarness(t, 10000)
			rng := rand.New(rand.NewPCG(1, 1))
			type outcome struct {
				work   float64
				served bool
			}
			var outcomes []outcome
			for i := range 400 {
				h.p.decayUsage(h.now)
				var jobs []*waitingJob
				for k := range 10 {
					runTime := time.Duration(100 * math.Exp(0.6*rng.NormFloat64()) * float64(time.Millisecond))
					w := h.p.newWaitingJob(h.job(fmt.Sprint(k), "q", 1+rng.IntN(8), 1000, runTime))
					h.p.recordArrival(w)
					jobs = append(jobs, w)
				}
				all := slices.Clone(jobs)
				for range refused {
					victim := h.p.queueOf("q").selectJob(h.now, jobs)
					h.p.recordRefusal(victim)
					jobs = slices.DeleteFunc(jobs, func(w *waitingJob) bool { return w == victim })
				}
				for _, w := range all {
					if i >= 100 {
						outcomes = append(outcomes, outcome{
							work:   w.work(),
							served: slices.Contains(jobs, w),
						})
					}
				}
				h.now = h.now.Add(200 * time.Millisecond)
			}
			slices.SortFunc(outcomes, func(a, b outcome) int { return cmp.Compare(a.work, b.work) })
			servedShare := func(of []outcome) float64 {
				n := 0
				for _, o := range of {
					if o.served {
						n++
					}
				}
				return float64(n) / float64(len(of))
			}
			n := len(outcomes)
			required := servedShare(outcomes) / 2
			h.g.Expect(servedShare(outcomes[n*9/10:])).To(BeNumerically(">=", required))
			h.g.Expect(servedShare(outcomes[n*7/10 : n*9/10])).To(BeNumerically(">=", required))
		})
	}
}
