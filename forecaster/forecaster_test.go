package forecaster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
)

const ms = time.Millisecond

// idle returns an upstream without runs.
func idle(id string, cpu int64, slowness float64) Upstream {
	return Upstream{
		ID:       id,
		Free:     sesamedrift.Resources{CPU: cpu},
		Slowness: slowness,
	}
}

// tasks returns a job of equal tasks.
func tasks(n int, cpu int64, runTime time.Duration) Job {
	var j Job
	for range n {
		j.Tasks = append(j.Tasks, Task{
			Demand:  sesamedrift.Resources{CPU: cpu},
			RunTime: runTime,
		})
	}
	return j
}

// planJobs plans the jobs in the order given.
func planJobs(upstreams []Upstream, jobs []Job) []Forecast {
	var p Planner
	p.Reset(upstreams)
	forecasts := make([]Forecast, 0, len(jobs))
	for i := range jobs {
		forecasts = append(forecasts, p.Add(&jobs[i]))
	}
	return forecasts
}

// Guards against a plan that adds up free capacity of several upstreams, which no single task can use,
// and against one that ignores the gaps before planned tasks.
func TestLargeTaskWaitsAndSmallOneUsesTheGap(t *testing.T) {
	g := NewWithT(t)
	a, b := idle("a", 8, 1), idle("b", 8, 1)
	a.Releases = []Release{{After: 300 * ms, Demand: sesamedrift.Resources{CPU: 8}}, {After: 100 * ms}}
	b.Releases = []Release{{After: 200 * ms, Demand: sesamedrift.Resources{CPU: 8}}}
	f := planJobs([]Upstream{a, b}, []Job{tasks(1, 12, 100*ms), tasks(1, 8, 200*ms), tasks(2, 8, 150*ms), tasks(1, 17, ms)})
	g.Expect(f[0].Starts[0]).To(HaveField("Upstream", 1))
	g.Expect(f[0].Begin).To(Equal(200 * ms))
	g.Expect(f[1].End).To(Equal(200*ms), "ends as the reserved room begins")
	// One task fits into the gap before the large one on b, the other behind the second job on a.
	g.Expect(f[2]).To(And(HaveField("Begin", time.Duration(0)), HaveField("AllBegun", 200*ms), HaveField("End", 350*ms)))
	g.Expect(f[3].Fits).To(BeFalse())
}

// Guards against a plan that places tasks where the placer may not, or takes no account of the speeds.
func TestConstraintsAndSpeeds(t *testing.T) {
	g := NewWithT(t)
	slow, fast, other := idle("slow", 16, 2), idle("fast", 16, 0.5), idle("other", 16, 0.1)
	slow.Rack, other.Service = "r", "other"
	upstreams := []Upstream{slow, fast, other}
	avoid, requires, spread, memory := tasks(1, 1, 100*ms), tasks(1, 1, 100*ms), tasks(3, 1, 100*ms), tasks(1, 1, 100*ms)
	avoid.Tasks[0].Avoid = "fast"
	requires.Tasks[0].Requires = "r"
	for i := range spread.Tasks {
		spread.Tasks[i].MaxPerUpstream = 1
	}
	memory.Tasks[0].Demand.Memory = 1
	f := planJobs(upstreams, []Job{tasks(1, 1, 100*ms), avoid, requires, spread, memory})
	g.Expect(f[0].Starts[0]).To(And(HaveField("Upstream", 1), HaveField("End", 50*ms)))
	g.Expect(f[1].Starts[0].Upstream).To(Equal(0))
	g.Expect(f[2].Starts[0].Upstream).To(Equal(0))
	g.Expect(f[3].Starts).To(HaveEach(HaveField("Upstream", 1)), "one after the other is faster than on the slow upstream")
	g.Expect(f[3].End).To(Equal(150 * ms))
	g.Expect(f[4].Fits).To(BeFalse())
}

// Guards against room that is lost or gained when jobs are removed, and against starts in the past.
func TestRemoveAndNotBefore(t *testing.T) {
	g := NewWithT(t)
	var p Planner
	p.Reset([]Upstream{idle("a", 10, 1)})
	first, second := tasks(1, 10, 100*ms), tasks(1, 10, 50*ms)
	f := p.Add(&first)
	g.Expect(p.Add(&second).Begin).To(Equal(100 * ms))
	p.Remove(f)
	g.Expect(p.HasRoom(0, sesamedrift.Resources{CPU: 10}, 100*ms)).To(BeTrue())
	g.Expect(p.HasRoom(0, sesamedrift.Resources{CPU: 1}, 101*ms)).To(BeFalse())
	second.NotBefore = 30 * ms
	g.Expect(p.Add(&second).Begin).To(Equal(30 * ms))
}

// Guards against a plan that counts on the whole capacity and the usual speed of an upstream that is cold.
func TestColdUpstream(t *testing.T) {
	g := NewWithT(t)
	cold := idle("a", 10, 1)
	cold.ColdFor, cold.ColdFactor = 250*ms, 1.5
	f := planJobs([]Upstream{cold}, []Job{tasks(4, 2, 100*ms)})
	starts := []time.Duration{f[0].Starts[0].After, f[0].Starts[1].After, f[0].Starts[2].After, f[0].Starts[3].After}
	g.Expect(starts).To(Equal([]time.Duration{0, 150 * ms, 250 * ms, 250 * ms}))
	g.Expect(f[0].Starts[0].End).To(Equal(150 * ms))
	cold.Releases = []Release{{After: 200 * ms, Demand: sesamedrift.Resources{CPU: 2}}}
	g.Expect(planJobs([]Upstream{cold}, []Job{tasks(1, 2, 10*ms)})[0].Begin).To(Equal(200 * ms))

	// The room is the same again after the jobs are removed.
	var p Planner
	cold.Releases = nil
	p.Reset([]Upstream{cold})
	j := tasks(3, 2, 100*ms)
	p.Remove(p.Add(&j))
	p.Take(0, cold.Free, 90*ms)
	g.Expect(p.HasRoom(0, sesamedrift.Resources{}, ms)).To(BeFalse())
	p.GiveBack(0, cold.Free, 90*ms)
	g.Expect(p.HasRoom(0, cold.Free, time.Hour)).To(BeTrue())
}

// Guards against ends that overflow and are taken for the earliest ones, in a plan of very long tasks.
func TestRunTimesBeyondTheRange(t *testing.T) {
	g := NewWithT(t)
	j := tasks(100, 10, never)
	j.Overhead = ms
	f := planJobs([]Upstream{idle("a", 10, 2)}, []Job{tasks(1, 10, ms), j})[1]
	g.Expect(f.Fits).To(BeFalse())
	g.Expect(f.Begin).To(Equal(2 * ms))
	for i := range f.Starts[1:] {
		g.Expect(f.Starts[i+1].Upstream < 0 || f.Starts[i+1].After > f.Starts[i].After).To(BeTrue())
	}
}

// BenchmarkPlan measures a plan of 500 waiting jobs of 4 tasks for the upstreams of one shard.
func BenchmarkPlan(b *testing.B) {
	upstreams := make([]Upstream, 36)
	for i := range upstreams {
		upstreams[i] = idle("", int64(i%3)*1000, 0.8+float64(i%5)/10)
		for k := range 3 {
			upstreams[i].Releases = append(upstreams[i].Releases, Release{
				After:  time.Duration(17*i%90+50*k) * ms,
				Demand: sesamedrift.Resources{CPU: 10000},
			})
		}
	}
	jobs := make([]Job, 0, 500)
	for i := range 500 {
		jobs = append(jobs, tasks(4, int64(4000+i*37%8000), time.Duration(50+i*13%400)*ms))
	}
	var p Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Reset(upstreams)
		for i := range jobs {
			p.Add(&jobs[i])
		}
	}
}
