package placer

import (
	"fmt"
	"testing"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// newIdlePlacer returns a placer with a number of idle upstreams.
func newIdlePlacer(upstreams int) *Placer {
	p := New(Config{})
	for i := range upstreams {
		id := fmt.Sprint("u", i)
		p.SetUpstream(Upstream{
			ID:       id,
			Service:  "s",
			Capacity: cpu(16000),
		})
		p.SetUsable(start, id, true)
	}
	return p
}

// BenchmarkEnqueue measures the placement of a job of 8 tasks on idle upstreams, and the ends of
// its runs, by the number of upstreams.
func BenchmarkEnqueue(b *testing.B) {
	for _, n := range []int{16, 117, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newIdlePlacer(n)
			h := &harness{now: start}
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("j", i)
				p.Enqueue(start, h.job(id, "q", 8, 7000, 50*time.Millisecond))
				for _, d := range p.TakeDecisions() {
					for _, g := range d.Placements {
						p.RunEnded(start, g.Upstream, g.Run, leaseholder.Done, "", 50*time.Millisecond)
					}
				}
				p.TakeDecisions()
			}
		})
	}
}

// BenchmarkOverload measures a job among 117 upstreams, from Enqueue to the end of its runs, at
// loads below and above their capacity.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.6, 1, 1.5, 3} {
		b.Run(fmt.Sprint(load), func(b *testing.B) {
			p := newIdlePlacer(117)
			// Two tasks fit on an upstream at the same time.
			const tasks, runTime = 4, 200 * time.Millisecond
			interval := time.Duration(float64(runTime) * tasks / (2 * 117) / load)
			h := &harness{now: start}
			type end struct {
				at time.Time
				Placement
			}
			var ends []end
			refused := 0
			collect := func() {
				for _, d := range p.TakeDecisions() {
					if d.Refused {
						refused++
					}
					for _, g := range d.Placements {
						ends = append(ends, end{
							at:        h.now.Add(runTime),
							Placement: g,
						})
					}
				}
			}
			lastTick := start
			for i := 0; b.Loop(); i++ {
				h.now = h.now.Add(interval)
				for len(ends) > 0 && !ends[0].at.After(h.now) {
					p.RunEnded(h.now, ends[0].Upstream, ends[0].Run, leaseholder.Done, "", runTime)
					ends = ends[1:]
					collect()
				}
				if h.now.Sub(lastTick) >= 10*time.Millisecond {
					lastTick = h.now
					p.Tick(h.now)
					collect()
				}
				p.Enqueue(h.now, h.job(fmt.Sprint("j", i), "q", tasks, 7000, runTime))
				collect()
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// BenchmarkLargestJob measures the placement of a job with the largest number of tasks beside others like it whose runs
// fill a shard, and the request of another entry host for it, as of a caller that has sent it again. Tasks without a
// demand of CPU fit any upstream.
func BenchmarkLargestJob(b *testing.B) {
	const upstreams, others = 117, 20
	for _, perUpstream := range []int{0, 100} {
		b.Run(fmt.Sprint("per-upstream-", perUpstream), func(b *testing.B) {
			p := newIdlePlacer(upstreams)
			h := &harness{now: start}
			largest := func(id string) Job {
				j := h.job(id, "q", sesamedrift.MaxTasks, 0, 50*time.Millisecond)
				for i := range j.Tasks {
					j.Tasks[i].MaxPerUpstream = perUpstream
				}
				return j
			}
			for i := range others {
				p.Enqueue(start, largest(fmt.Sprint("other", i)))
			}
			p.TakeDecisions()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("j", i)
				p.Enqueue(start, largest(id))
				placed := p.TakeDecisions()
				resent := largest(id)
				resent.Entry = "another"
				p.Enqueue(start, resent)
				p.Withdraw(resent.Entry, id)
				for _, d := range placed {
					for _, g := range d.Placements {
						p.RunEnded(start, g.Upstream, g.Run, leaseholder.Done, "", 50*time.Millisecond)
					}
				}
				p.TakeDecisions()
			}
		})
	}
}
