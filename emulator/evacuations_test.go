package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against starts in an evacuated domain, against jobs of its callers that no other domain serves, and
// against a domain that does not serve again.
func TestEvacuation(t *testing.T) {
	checkEvacuation(t, func(*Simulation) {})
}

// Guards against the same faults when hosts of the domain are lost, and against a host that has restarted and starts
// tasks because it does not know of the evacuation.
func TestHostsLostDuringEvacuation(t *testing.T) {
	checkEvacuation(t, func(w *Simulation) {
		for _, n := range w.Hosts[:2] {
			n.Kill()
			w.After(500*time.Millisecond, n.Start)
		}
	})
}

// checkEvacuation evacuates a domain from 5 s to 12 s, with a fault at 8 s.
func checkEvacuation(t *testing.T, fault func(w *Simulation)) {
	g := NewWithT(t)
	w := newLightlyLoadedSimulation(3, 3)
	w.cfg.EvacuateWithin = evacuationGrace
	w.At(5*time.Second, func() { w.SetEvacuated("domain-0", true) })
	w.At(8*time.Second, func() { fault(w) })
	w.Run(12 * time.Second)
	g.Expect(w.invariants.lastStart["domain-0"]).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))
	w.SetEvacuated("domain-0", false)
	w.Run(26 * time.Second)
	g.Expect(w.Violations()).To(BeEmpty())
	t.Logf("%+v, last start %v", w.Counts, w.invariants.lastStart)
	g.Expect(w.invariants.lastStart["domain-0"]).To(BeNumerically(">", 15*time.Second))
	g.Expect(w.Counts.Failed + w.Counts.Unanswered).To(BeZero())
	g.Expect(w.Counts.Complete).To(BeNumerically(">=", w.Counts.Sent*95/100))
}

// Guards against a job that runs twice, or that was answered as not run and runs, while domains are evacuated
// beside other disturbances and faults, and against starts after the bound.
func TestEvacuationsWithDisturbances(t *testing.T) {
	for i := range uint64(2 * len(disturbanceProfiles)) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			profile := disturbanceProfiles[i%uint64(len(disturbanceProfiles))]
			cfg := Config{
				Seed:           firstDisturbedSeed + i,
				Domains:        3,
				Hosts:          4,
				Upstreams:      8,
				JobsPerSecond:  10,
				LongJobShare:   0.03,
				Duration:       20 * time.Second,
				EvacuateWithin: evacuationGrace,
				Disturbances:   profile.Disturbances,
			}
			cfg.Disturbances.EvacuateEvery = 4 * time.Second
			cfg.Disturbances.EvacuateTime = 8 * time.Second
			w := New(cfg)
			if profile.faults {
				w.ScheduleFaults(600*time.Millisecond, 16*time.Second)
			}
			w.Run(30 * time.Second)
			t.Logf("%s: %+v, version %d", profile.name, w.Counts, w.evacuations.Version)
			NewWithT(t).Expect(w.Violations()).To(BeEmpty())
		})
	}
}
