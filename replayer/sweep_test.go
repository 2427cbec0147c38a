package replayer

import (
	"sync"
	"testing"

	"sesamedrift.example/sesamedrift/placer"
)

// TestSweep prints the mean figures over all scripts and three seeds.
func TestSweep(t *testing.T) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	type sum struct {
		worth, worst, n, wasted float64
		byQ                     map[string]float64
	}
	total := sum{byQ: map[string]float64{}}
	slots := make(chan struct{}, 6)
	for _, name := range names(t) {
		for seed := range 2 {
			s := read(t, name)
			s.Seed = uint64(seed + 1)
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				r := s.Play(Options{Way: PerDomain, Policy: placer.Objective})
				mu.Lock()
				defer mu.Unlock()
				total.worth += r.Total.Share()
				total.worst += r.Worst()
				total.wasted += r.Wasted
				for q, c := range r.Queues {
					total.byQ[q] += c.Share()
				}
				total.n++
			})
		}
	}
	wg.Wait()
	t.Logf("MEAN worth %.4f worst %.4f wasted %.0f scan %.3f booking %.3f quote %.3f", total.worth/total.n, total.worst/total.n, total.wasted/total.n,
		total.byQ["scan"]/total.n, total.byQ["booking"]/total.n, total.byQ["quote"]/total.n)
}
