package emulator

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// firstDisturbedSeed is the lowest seed of simulations with disturbances.
const firstDisturbedSeed = 4_000_000

// grownVariable names the environment variable that makes disturbed simulations as large as a grown site.
const grownVariable = "EMULATOR_GROWN"

// disturbanceProfiles are the combinations of disturbances. A seed names the one at its index modulo their number.
var disturbanceProfiles = []struct {
	name string
	// faults is whether faults are scheduled beside the disturbances.
	faults bool
	Disturbances
}{
	{"busy loops and delays", false, Disturbances{
		BusyEvery:    time.Second,
		BusyTime:     300 * time.Millisecond,
		DelayedShare: 0.03,
		MaxDelay:     300 * time.Millisecond,
	}},
	{"broken connections", false, Disturbances{
		BusyEvery:        2 * time.Second,
		BusyTime:         300 * time.Millisecond,
		DelayedShare:     0.01,
		MaxDelay:         300 * time.Millisecond,
		BrokenShare:      0.3,
		NoticeTime:       300 * time.Millisecond,
		ResubmitAnywhere: true,
	}},
	{"connections that break unnoticed", false, Disturbances{
		BusyEvery:      2 * time.Second,
		BusyTime:       300 * time.Millisecond,
		BrokenShare:    0.3,
		NoticeTime:     300 * time.Millisecond,
		UnnoticedShare: 0.5,
	}},
	{"planned stops and unhealthy hosts", false, Disturbances{
		BusyEvery:        2 * time.Second,
		BusyTime:         200 * time.Millisecond,
		BrokenShare:      0.3,
		NoticeTime:       100 * time.Millisecond,
		ResubmitAnywhere: true,
		UnhealthyEvery:   4 * time.Second,
		UnhealthyTime:    2 * time.Second,
		StopEvery:        900 * time.Millisecond,
	}},
	{"clocks that differ", true, Disturbances{
		BrokenShare:      0.1,
		NoticeTime:       100 * time.Millisecond,
		ResubmitAnywhere: true,
		UnhealthyEvery:   6 * time.Second,
		UnhealthyTime:    time.Second,
		MaxClockOffset:   5 * time.Second,
	}},
	{"all beside faults", true, Disturbances{
		BusyEvery:        2 * time.Second,
		BusyTime:         300 * time.Millisecond,
		DelayedShare:     0.01,
		MaxDelay:         300 * time.Millisecond,
		BrokenShare:      0.1,
		NoticeTime:       100 * time.Millisecond,
		ResubmitAnywhere: true,
		UnhealthyEvery:   6 * time.Second,
		UnhealthyTime:    time.Second,
		StopEvery:        2500 * time.Millisecond,
	}},
}

// newDisturbedSimulation returns a simulation whose disturbances depend on the seed.
func newDisturbedSimulation(seed uint64) *Simulation {
	profile := disturbanceProfiles[seed%uint64(len(disturbanceProfiles))]
	cfg := Config{
		Seed:              seed,
		Domains:           3,
		Hosts:             7,
		Upstreams:         12,
		UpstreamsPerShard: 6,
		JobsPerSecond:     14,
		LongJobShare:      0.03,
		Duration:          14 * time.Second,
		Disturbances:      profile.Disturbances,
	}
	cfg.Disturbances.WideRunTimes = true
	if os.Getenv(grownVariable) != "" {
		cfg.Hosts = 14
		cfg.Upstreams = 117
		cfg.UpstreamsPerShard = 36
		cfg.JobsPerSecond = 140
	}
	w := New(cfg)
	if profile.faults {
		w.ScheduleFaults(600*time.Millisecond, 12*time.Second)
	}
	return w
}

// Guards against two concurrent runs of one task when processors are busy, messages are late, connections of callers
// break, placers and leaseholders change often, or clocks differ.
func TestDisturbances(t *testing.T) {
	first := uintFromEnv(firstSeedVariable, firstDisturbedSeed)
	checkSeeds(t, seedRange(first, uintFromEnv(seedCountVariable, uint64(len(disturbanceProfiles)))), newDisturbedSimulation)
}

// Guards against two concurrent runs of one task when the host never notices that the connection of a caller has broken,
// and the caller sends the job again to another host:
//   - The placer changes within the time that it takes to stop the runs of the first submission. The next placer
//     places the second one before it has received these runs.
//   - The same, while leaseholders change as well.
//   - The first submission was redirected to another shard. The next placer of the home shard does not know that.
//   - The second submission is forwarded to the domain of the first. The placer that it arrives at does not
//     know that another placer of the domain places the job.
//   - The first submission was forwarded by a placer that is none any more. The next placer does not know of it.
func TestConnectionsBreakUnnoticed(t *testing.T) {
	for _, test := range []struct {
		name string
		seed uint64
		Disturbances
		// sameDomain restricts the check to pairs of runs in one domain: two domains know nothing of the jobs of each
		// other.
		sameDomain bool
	}{
		{"placer changes", 7, Disturbances{StopEvery: 700 * time.Millisecond}, false},
		{"placer of the home shard changes", 101, Disturbances{StopEvery: 700 * time.Millisecond}, false},
		{"forwarded", 7, Disturbances{ResubmitAnywhere: true}, true},
		{"placer and leaseholders change", 31, Disturbances{
			ResubmitAnywhere: true,
			StopEvery:        900 * time.Millisecond,
			UnhealthyEvery:   2 * time.Second,
			UnhealthyTime:    time.Second,
			DelayedShare:     0.02,
			MaxDelay:         300 * time.Millisecond,
		}, true},
		{"former placer has forwarded", 1, Disturbances{
			UnhealthyEvery: 3 * time.Second,
			UnhealthyTime:  time.Second,
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := newUnnoticedSimulation(test.seed, test.Disturbances)
			w.Run(26 * time.Second)
			violations := w.Violations()
			if test.sameDomain {
				violations = slices.DeleteFunc(violations, func(v string) bool { return !sameDomainPair.MatchString(v) })
			}
			g.Expect(violations).To(BeEmpty())
		})
	}
}

// Guards against two concurrent runs of one task if the second submission is forwarded to the domain that runs the first
// one: to the placer of another shard, which places the job before the placer of the first shard knows of it, or to the
// placer of the home shard, which has redirected the first submission.
func TestForwardToAnotherShard(t *testing.T) {
	for _, seed := range []uint64{3, 11, 28, 30} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			w := newUnnoticedSimulation(seed, Disturbances{ResubmitAnywhere: true})
			w.Run(26 * time.Second)
			for _, v := range w.Violations() {
				NewWithT(t).Expect(v).NotTo(MatchRegexp(sameDomainPair.String()))
			}
		})
	}
}

// newUnnoticedSimulation returns a simulation with connections of callers that break without the host noticing.
func newUnnoticedSimulation(seed uint64, d Disturbances) *Simulation {
	d.BrokenShare = 0.3
	d.UnnoticedShare = 1
	d.WideRunTimes = true
	return New(Config{
		Seed:              seed,
		Domains:           3,
		Hosts:             7,
		Upstreams:         12,
		UpstreamsPerShard: 6,
		JobsPerSecond:     14,
		LongJobShare:      0.1,
		Duration:          14 * time.Second,
		Disturbances:      d,
	})
}

// sameDomainPair matches a violation by two runs in one domain. Names of upstreams begin with the number of their domain.
var sameDomainPair = regexp.MustCompile(`on upstream-0-.* on upstream-0-|on upstream-1-.* on upstream-1-|on upstream-2-.* on upstream-2-`)
