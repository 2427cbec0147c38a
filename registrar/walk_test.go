package registrar

import (
	"flag"
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// fixSeed makes the runs of rapid the same each time.
func fixSeed(t *testing.T, seed, checks string) {
	g := NewWithT(t)
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     checks,
		"rapid.steps":      "1000",
		"rapid.nofailfile": "true",
	} {
		f := flag.Lookup(name)
		before := f.Value.String()
		g.Expect(flag.Set(name, value)).To(Succeed())
		t.Cleanup(func() { _ = flag.Set(name, before) })
	}
}

// walk makes random actions until the run ends or fails a check.
func walk(t *rapid.T, v variant, names ...string) {
	rounds := map[string]int{}
	for _, name := range names {
		rounds[name] = math.MaxInt
	}
	w := newWorld(v, rounds, math.MaxInt, 20, names...)
	w.lossy = names
	pick := rapid.SampledFrom(names)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if w.problem != "" {
				t.Fatal(w.problem)
			}
		},
		"propose": func(t *rapid.T) {
			if name := pick.Draw(t, "proposer"); w.hosts[name].replica.Ready {
				w.propose(name)
			}
		},
		"crash": func(t *rapid.T) {
			if name := pick.Draw(t, "crashed"); w.hosts[name].replica.Ready && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				w.crash(name)
			}
		},
		"wipe": func(t *rapid.T) {
			if name := pick.Draw(t, "wiped"); w.mayWipe(name) && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				w.wipe(name)
			}
		},
		"deliver": func(t *rapid.T) { deliverSome(t, w) },
		// The second name makes deliveries as frequent as all other actions together.
		"deliver more": func(t *rapid.T) { deliverSome(t, w) },
	})
}

// deliverSome delivers several messages, of which a few are delivered twice or lost.
func deliverSome(t *rapid.T, w *world) {
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		if len(w.net) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0:
			w.net = append(w.net[:i:i], w.net[i+1:]...)
		case 1:
			w.deliver(i, true)
		default:
			w.deliver(i, false)
		}
	}
}

// Guards against violations that need more replicas, versions, losses or duplicates than
// the exhaustive exploration covers.
func TestWalkLongRuns(t *testing.T) {
	fixSeed(t, "20260302", "150")
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(names[len(names)-1], func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { walk(t, correct, names...) })
		})
	}
}

// Guards against counting a promise that a replica of five gave before it was lost: the
// proposer e holds such a promise while a decides without e.
func TestPromiseBeforeLossIsNotCounted(t *testing.T) {
	for name, v := range map[string]variant{
		"correct":         correct,
		"ignoring epochs": ignoreEpochs,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(v, nil, 0, 1, "a", "b", "c", "d", "e")
			w.lossy = []string{"a"}
			// Only the second prepare of e is delivered, so that its ballot is above that of b.
			w.propose("e")
			w.propose("e")
			w.drop(func(m message) bool { return m.request.Ballot.Round == 1 })
			w.pass("a", KindPrepare)
			w.wipe("a")
			for _, source := range []string{"b", "c", "d"} {
				w.pass(source, KindRepair)
			}
			g.Expect(w.hosts["a"].replica.Ready).To(BeTrue())
			w.propose("b")
			for _, kind := range []RequestKind{KindPrepare, KindAccept} {
				w.passFrom("b", "a", kind)
				w.passFrom("b", "c", kind)
			}
			g.Expect(w.decided).To(HaveKeyWithValue(uint64(1), "b0"))
			w.passFrom("e", "d", KindPrepare)
			w.passFrom("e", "d", KindAccept)
			w.passFrom("e", "c", KindAccept)
			w.passFrom("e", "a", KindAccept)
			if v == ignoreEpochs {
				g.Expect(w.problem).NotTo(BeEmpty())
			} else {
				g.Expect(w.problem).To(BeEmpty())
			}
		})
	}
}

func (w *world) drop(lost func(message) bool) {
	kept := w.net[:0:0]
	for _, m := range w.net {
		if m.request == nil || !lost(m) {
			kept = append(kept, m)
		}
	}
	w.net = kept
}

// pass delivers the first request of a kind to a host and its reply.
func (w *world) pass(to string, kind RequestKind) { w.passFrom("", to, kind) }

func (w *world) passFrom(from, to string, kind RequestKind) {
	for i, m := range w.net {
		if q := m.request; q == nil || m.to != to || q.Kind != kind || from != "" && q.From != from {
			continue
		}
		w.deliver(i, false)
		if last := len(w.net) - 1; last >= 0 && w.net[last].reply != nil && w.net[last].reply.From == to {
			w.deliver(last, false)
		}
		return
	}
}
