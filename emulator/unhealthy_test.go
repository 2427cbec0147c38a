package emulator

import (
	"testing"
	"time"
)

// newUnhealthySimulation returns a simulation in which upstreams execute start orders late and refuse a share of all orders,
// which depends on the seed, for 5 s in turn.
func newUnhealthySimulation(seed uint64) *Simulation {
	w := New(Config{
		Seed:          seed,
		Domains:       2,
		Hosts:         3,
		Upstreams:     7,
		JobsPerSecond: 8,
		LongJobShare:  0.03,
		Duration:      20 * time.Second,
		Disturbances: Disturbances{
			BrokenShare: 0.05,
			NoticeTime:  100 * time.Millisecond,
		},
	})
	refused := []float64{0.2, 0.4, 0.9}[seed%3]
	for at := 2 * time.Second; at < 16*time.Second; at += 2 * time.Second {
		w.At(at, func() {
			s := w.Upstreams[w.disturbanceRng.IntN(len(w.Upstreams))]
			s.RefuseOrders(refused)
			s.StallStarts(0.5, 900*time.Millisecond)
			w.After(5*time.Second, func() {
				s.RefuseOrders(0)
				s.StallStarts(0, 0)
			})
		})
	}
	return w
}

// Guards against two concurrent runs of one task, and a wrong "not run", when an upstream executes start orders late and
// refuses other orders: a refused stop order counts as carried out, so that the task is placed again before it starts.
func TestUnhealthyUpstreams(t *testing.T) {
	checkSeeds(t, seedRange(0, uintFromEnv(seedCountVariable, defaultSeedCount)), newUnhealthySimulation)
}
