package leaser

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawFaults(t *rapid.T) faults {
	return faults{
		Hosts:    rapid.IntRange(1, 5).Draw(t, "hosts"),
		Loss:     rapid.SampledFrom([]int{0, 20, 200, 500}).Draw(t, "loss"),
		MaxDelay: rapid.SampledFrom([]int{0, 300, 900, 3000}).Draw(t, "delay"),
		Cut:      rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "cut"),
		Crash:    rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "crash"),
		Leave:    rapid.SampledFrom([]int{0, 1}).Draw(t, "leave"),
		Drift:    rapid.SampledFrom([]float64{0, 0.07}).Draw(t, "drift"),
		Fence:    rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(t, "fence"),
	}
}

// Guards against two hosts that start work on one upstream at the same time, and against
// a domain that does not recover once the faults end.
func TestNoUpstreamHasTwoOwners(t *testing.T) {
	views, owned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(drawFaults(t), rapid.Uint64().Draw(t, "seed"))
		if err := s.run(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		s.heal()
		if err := s.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		before := s.owned
		if err := s.run(simStep); err != nil {
			t.Fatal(err)
		}
		if s.owned-before != upstreams {
			t.Fatalf("%d of %d upstreams have an owner 10 s after the faults ended", s.owned-before, upstreams)
		}
		views += s.views
		owned += s.owned
	})
	t.Logf("%d views, %d owned upstream steps", views, owned)
}

// Guards against a checker that finds nothing: each variant breaks one rule.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	broken := map[string]func(f *faults){
		"lease counted from receipt": func(f *faults) { f.fromReceipt = true },
		"no takeover wait":           func(f *faults) { f.noWait = true },
	}
	for name, breakRule := range broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			found := 0
			for seed := range uint64(60) {
				f := faults{
					Hosts:    2 + int(seed%4),
					Loss:     20,
					MaxDelay: 3000,
					Cut:      3,
					Crash:    1,
					Drift:    0.07,
				}
				breakRule(&f)
				if newSim(f, seed).run(12*time.Second) != nil {
					found++
				}
			}
			t.Logf("found in %d of 60 runs", found)
			g.Expect(found).To(BeNumerically(">", 0))
		})
	}
}
