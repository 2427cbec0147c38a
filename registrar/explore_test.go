package registrar

import (
	"crypto/sha256"
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// maxStates bounds one exploration to a few seconds without the race detector.
const maxStates = 400_000

const workers = 8

// next calls visit with every world that follows by one action.
func (w *world) next(visit func(*world)) {
	act := func(action func(*world)) {
		c := w.clone()
		action(c)
		visit(c)
	}
	for i := range w.net {
		act(func(c *world) { c.deliver(i, false) })
	}
	for _, name := range w.names {
		h := w.hosts[name]
		if h.rounds > 0 && h.replica.Ready && h.replica.State.get(modelRegister).Version == 0 {
			act(func(c *world) { c.propose(name) })
		}
		if w.crashes > 0 && h.replica.Ready {
			act(func(c *world) { c.crash(name) })
		}
		if w.mayWipe(name) {
			act(func(c *world) { c.wipe(name) })
		}
	}
}

type successor struct {
	world *world
	id    [sha256.Size]byte
}

// explore visits all worlds that can be reached, breadth first. It returns the number of
// different worlds, the first violation found, and whether the bound ended the search.
func explore(first *world) (states int, problem string, bounded bool) {
	seen := map[[sha256.Size]byte]bool{}
	level := []*world{first}
	for len(level) > 0 {
		// The level is divided among workers; their results are joined in a fixed order.
		found := make([][]successor, workers)
		var wait sync.WaitGroup
		for i := range workers {
			wait.Go(func() {
				for j := i; j < len(level); j += workers {
					level[j].next(func(c *world) {
						c.settle()
						found[i] = append(found[i], successor{
							world: c,
							id:    sha256.Sum256(c.key()),
						})
					})
				}
			})
		}
		wait.Wait()
		level = nil
		for _, s := range slices.Concat(found...) {
			switch {
			case s.world.problem != "":
				return len(seen), s.world.problem, false
			case seen[s.id]:
			case len(seen) == maxStates:
				bounded = true
			default:
				seen[s.id] = true
				level = append(level, s.world)
			}
		}
	}
	return len(seen), "", bounded
}

type exploration struct {
	name    string
	variant variant
	rounds  map[string]int
	crashes int
	wipes   int
	lossy   []string
	quiet   bool
}

func (e exploration) run(t *testing.T) (problem string, bounded bool) {
	first := newWorld(e.variant, e.rounds, e.crashes, e.wipes, "a", "b", "c")
	first.quiet = e.quiet
	first.lossy = e.lossy
	states, problem, bounded := explore(first)
	t.Logf("%d states, violation: %q", states, problem)
	return problem, bounded
}

// Guards against any order of losses, delays, crashes and repairs that lets two changes
// win the same version, in all small cases.
func TestExploreSmallCases(t *testing.T) {
	for _, e := range []exploration{
		{
			name:   "two proposers, second round of one",
			rounds: map[string]int{"a": 2, "b": 1},
		},
		{
			name:    "two proposers, one crash",
			rounds:  map[string]int{"a": 2, "b": 1},
			crashes: 1,
		},
		{
			name:   "two proposers, one of them lost",
			rounds: map[string]int{"a": 1, "b": 1},
			wipes:  1,
			lossy:  []string{"a"},
			quiet:  true,
		},
		{
			name:   "two proposers, the third replica lost",
			rounds: map[string]int{"a": 1, "b": 1},
			wipes:  1,
			lossy:  []string{"c"},
			quiet:  true,
		},
		{
			name:   "one proposer, two losses",
			rounds: map[string]int{"a": 1},
			wipes:  2,
			lossy:  []string{"a", "b", "c"},
		},
	} {
		t.Run(e.name, func(t *testing.T) {
			g := NewWithT(t)
			problem, bounded := e.run(t)
			g.Expect(problem).To(BeEmpty())
			g.Expect(bounded).To(BeFalse(), "the exploration must be complete")
		})
	}
}

// Guards against an exploration that finds nothing because it checks nothing.
func TestExploreFindsFaults(t *testing.T) {
	for _, e := range []exploration{
		{
			name:    "voting while empty",
			variant: voteWhileEmpty,
			rounds:  map[string]int{"a": 1, "b": 1},
			wipes:   1,
			lossy:   []string{"c"},
		},
		{
			name:    "skipping the sync",
			variant: skipSync,
			rounds:  map[string]int{"a": 1, "b": 1},
			crashes: 1,
		},
		{
			name:    "reusing a ballot",
			variant: reuseBallot,
			rounds:  map[string]int{"a": 1, "b": 1},
			crashes: 1,
		},
	} {
		t.Run(e.name, func(t *testing.T) {
			g := NewWithT(t)
			problem, _ := e.run(t)
			g.Expect(problem).NotTo(BeEmpty())
		})
	}
}
