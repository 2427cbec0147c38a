package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fleet sends tasks to simulated upstreams as a host does: none to ejected upstreams.
type fleet struct {
	d      *Detector
	now    time.Time
	random *rand.Rand
	size   int
	// failureRate returns the probability that a task of the kind fails on the upstream.
	failureRate func(upstream, kind int) float64
	sent        map[string]int // number of tasks by upstream
}

// kinds is the number of kinds, k0 to k2.
const kinds = 3

// newFleet returns upstreams u0, u1 and so on, on which no task fails.
func newFleet(size int, cfg Config) *fleet {
	f := &fleet{
		d:           New(cfg),
		now:         start,
		random:      rand.New(rand.NewPCG(1, 0)),
		size:        size,
		failureRate: func(int, int) float64 { return 0 },
		sent:        map[string]int{},
	}
	for i := range size {
		f.d.Add(name(i), "s")
	}
	return f
}

func name(i int) string { return fmt.Sprint("u", i) }

// run sends n tasks of random kinds, one per 10 ms, to the upstreams in turn.
func (f *fleet) run(n int) {
	for i := range n {
		f.now = f.now.Add(10 * time.Millisecond)
		f.send(i%f.size, f.random.IntN(kinds))
	}
}

// send reports the result of one task, unless the upstream is ejected.
func (f *fleet) send(upstream, kind int) {
	id := name(upstream)
	if f.d.State(f.now, id) == Ejected {
		return
	}
	f.sent[id]++
	f.d.ReportResult(f.now, id, "s", fmt.Sprint("k", kind), f.random.Float64() >= f.failureRate(upstream, kind))
}

// unhealthy returns the upstreams that are ejected or probing.
func (f *fleet) unhealthy() (ids []string) {
	for i := range f.size {
		if f.d.State(f.now, name(i)) != Healthy {
			ids = append(ids, name(i))
		}
	}
	return ids
}

// Guards against an upstream on which all tasks fail immediately, so that it is idle and gets more
// and more of them.
func TestUpstreamThatFailsEverythingIsEjected(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, Config{})
	f.run(120)
	// Only u11 fails, by integer division.
	f.failureRate = func(upstream, _ int) float64 { return float64(upstream / 11) }
	failures := 0
	for ; f.d.State(f.now, "u11") == Healthy && failures < 100; failures++ {
		f.send(11, failures%kinds)
	}
	g.Expect(failures).To(BeNumerically(">=", 3))
	g.Expect(failures).To(BeNumerically("<=", 5))
	f.run(1000)
	g.Expect(f.unhealthy()).To(Equal([]string{"u11"}))
	for k := range kinds {
		g.Expect(f.d.KindFails("s", fmt.Sprint("k", k))).To(BeFalse())
	}
}

// Guards against probes at a constant rate, against an ejected upstream that recovers but stays
// ejected, and against results of tasks from before the ejection that are counted as probes.
func TestRecoveryByProbes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, Config{})
	f.run(40)
	// Only u3 fails.
	f.failureRate = func(upstream, _ int) float64 { return float64(upstream / 3) }
	f.run(40)
	g.Expect(f.unhealthy()).To(Equal([]string{"u3"}))
	for range requiredProbes {
		f.d.ReportResult(f.now, "u3", "s", "k0", true)
	}
	g.Expect(f.unhealthy()).To(Equal([]string{"u3"}))
	before := f.sent["u3"]
	f.run(30_000)
	// In 300 s there are probes at intervals of 1, 2, 4, 8, 16, 32 and then 60 s.
	g.Expect(f.sent["u3"] - before).To(BeNumerically("~", 9, 2))
	f.failureRate = func(int, int) float64 { return 0 }
	f.run(6200)
	g.Expect(f.unhealthy()).To(BeEmpty())
}

// Guards against a kind that fails on every upstream and gets upstreams ejected, against jobs of
// such a kind that are not refused, and against a kind that recovers but still counts as failing.
func TestFailingKind(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, Config{EjectShare: 1})
	f.run(80)
	// Only k2 fails.
	f.failureRate = func(_, kind int) float64 { return float64(kind / 2) }
	f.run(600)
	g.Expect(f.unhealthy()).To(BeEmpty())
	g.Expect(f.d.KindFails("s", "k2")).To(BeTrue())
	g.Expect(f.d.KindFails("s", "k1")).To(BeFalse())
	g.Expect(f.d.KindFails("s", "k9")).To(BeFalse())
	probes := 0
	for range 300 {
		f.now = f.now.Add(time.Second)
		if f.d.AllowProbe(f.now, "s", "k2") {
			probes++
			f.send(probes%8, 2)
		}
	}
	g.Expect(probes).To(BeNumerically("~", 9, 2))
	f.failureRate = func(int, int) float64 { return 0 }
	f.send(0, 2)
	g.Expect(f.d.KindFails("s", "k2")).To(BeFalse())
	// A failing kind without earlier results is detected after 5 failures.
	f.failureRate = func(int, int) float64 { return 1 }
	for i := range 5 {
		g.Expect(f.d.KindFails("s", "k7")).To(BeFalse())
		f.send(i, 7)
	}
	g.Expect(f.d.KindFails("s", "k7")).To(BeTrue())
}

// Guards against a kind that counts as failing although it succeeds on most upstreams, or although
// no other kind has succeeded on the upstreams.
func TestKindsThatDoNotFailEverywhere(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16, Config{EjectShare: 0.01})
	f.run(320)
	// Only u13, u14 and u15 fail.
	f.failureRate = func(upstream, _ int) float64 { return float64(upstream / 13) }
	for i := range 24 {
		f.send(13+i%3, 0)
	}
	g.Expect(f.d.KindFails("s", "k0")).To(BeFalse())
	f = newFleet(8, Config{})
	f.failureRate = func(int, int) float64 { return 1 }
	for i := range 80 {
		f.send(i%8, 0)
	}
	g.Expect(f.d.KindFails("s", "k0")).To(BeFalse())
	g.Expect(f.unhealthy()).To(BeEmpty())
}

// Guards against ejections although the share of ejected upstreams is set to 0.
func TestNoEjections(t *testing.T) {
	f := newFleet(8, Config{})
	f.d.SetEjectShare(0)
	f.run(320)
	f.failureRate = func(upstream, _ int) float64 { return float64(upstream / 7) }
	f.run(320)
	NewWithT(t).Expect(f.unhealthy()).To(BeEmpty())
}

// Guards against kinds that count as failing because half of the upstreams fail, and against more
// ejections than allowed.
func TestHalfOfTheFleetFails(t *testing.T) {
	for share, want := range map[float64]int{0.3: 14, 0.9: 24} {
		g := NewWithT(t)
		f := newFleet(48, Config{EjectShare: share})
		f.run(480)
		// All upstreams with an odd number fail.
		f.failureRate = func(upstream, _ int) float64 { return float64(upstream % 2) }
		for range 3000 {
			f.now = f.now.Add(10 * time.Millisecond)
			f.send(f.random.IntN(48), f.random.IntN(kinds))
			g.Expect(f.d.services["s"].unhealthy).To(BeNumerically("<=", int(share*48)))
		}
		g.Expect(f.unhealthy()).To(HaveLen(want))
		for i := range f.size {
			healthy := f.d.State(f.now, name(i)) == Healthy
			g.Expect(healthy || i%2 == 1).To(BeTrue(), name(i))
			if healthy && i%2 == 1 {
				g.Expect(f.d.Weight(name(i))).To(Equal(0.05), name(i))
			}
		}
		for k := range kinds {
			g.Expect(f.d.KindFails("s", fmt.Sprint("k", k))).To(BeFalse())
		}
	}
}

// Guards against healthy upstreams that are ejected because of occasional failures, or because of a
// kind that fails more often than others on all upstreams.
func TestOccasionalFailures(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, Config{EjectShare: 1})
	f.failureRate = func(_, kind int) float64 { return []float64{0.001, 0.01, 0.05}[kind] }
	const tasks = 100_000
	f.run(tasks)
	unsent := tasks
	for _, n := range f.sent {
		unsent -= n
	}
	t.Logf("%d of %d tasks were not sent because their upstream was ejected", unsent, tasks)
	// At most one task in a thousand may not be sent.
	g.Expect(unsent).To(BeNumerically("<=", tasks/1000))
}

// Guards against slow upstreams that get as much work as the others, and against upstreams that
// count as slow because they run long kinds.
func TestStragglers(t *testing.T) {
	g := NewWithT(t)
	d := New(Config{})
	random := rand.New(rand.NewPCG(1, 0))
	for i := range 2000 {
		u := i % 10
		runTime := time.Duration(80+random.IntN(40)) * time.Millisecond
		kind := "preview"
		if u == 1 || i%100 < 10 {
			kind = "render"
			runTime *= 50
		}
		if u == 0 {
			runTime *= 8
		}
		d.Observe(start, name(u), "s", kind, runTime)
	}
	g.Expect(d.Weight("u0")).To(BeNumerically("~", 0.2, 0.1))
	for i := 1; i < 10; i++ {
		g.Expect(d.Weight(name(i))).To(Equal(1.0), name(i))
	}
	for range 60 {
		d.Observe(start, "u0", "s", "preview", 100*time.Millisecond)
	}
	g.Expect(d.Weight("u0")).To(Equal(1.0))
}

// Guards against memory that is kept for upstreams after Remove.
func TestRemoveReleasesMemory(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, Config{EjectShare: 1})
	f.run(60)
	// Only u5 fails.
	f.failureRate = func(upstream, _ int) float64 { return float64(upstream / 5) }
	f.run(120)
	g.Expect(f.unhealthy()).To(Equal([]string{"u5"}))
	for i := range f.size {
		f.d.Remove(name(i))
	}
	g.Expect(f.d.upstreams).To(BeEmpty())
	s := f.d.services["s"]
	g.Expect(s.upstreams + s.unhealthy).To(BeZero())
	for _, k := range s.kinds {
		g.Expect(k.cells).To(BeEmpty())
		g.Expect(k.rateHistogram).To(Equal([bins]int{}))
	}
}

func ExampleDetector() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	d := New(Config{EjectShare: 0.5})
	for range 5 {
		d.ReportResult(now, "u1", "proofing", "preview", true)
		d.ReportResult(now, "u2", "proofing", "preview", false)
	}
	fmt.Println(d.State(now, "u1"), d.State(now, "u2"), d.KindFails("proofing", "preview"))
	fmt.Println(d.State(now.Add(time.Second), "u2"))
	// Output:
	// healthy ejected false
	// probing
}
