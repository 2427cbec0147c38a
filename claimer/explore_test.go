package claimer

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func appendRecord(b []byte, r Record) []byte {
	b = strconv.AppendUint(append(b, '('), r.Promised, 16)
	for _, c := range r.Claims {
		b = append(b, '/', byte('0'+index(c.Coordinator)), c.Phase[0])
		b = strconv.AppendUint(b, c.Ballot, 16)
	}
	return append(b, ')')
}

func appendInts(b []byte, values ...int) []byte {
	for _, v := range values {
		b = strconv.AppendInt(append(b, ' '), int64(v), 10)
	}
	return b
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// key appends a text that is equal for equal states.
func (w *world) key(b []byte) []byte {
	b = appendInts(b, w.losses, w.starts)
	for _, h := range w.hosts {
		t := h.c.cfg.Table
		b = appendInts(append(b, '|'), toInt(h.alive), h.view, int(t.synced), int(t.fenced), toInt(t.horizon.IsZero()),
			len(h.c.active), len(h.c.ran), int(h.c.round))
		if rec, ok := t.find(theKey); ok {
			b = appendRecord(b, rec)
		}
		for j := range w.s.members {
			if r, ok := h.reads[j]; ok {
				b = appendInts(append(b, ';'), j, int(r.state.synced), int(r.state.from.Incarnation), toInt(r.state.read), len(r.pending))
			}
		}
	}
	for _, c := range w.copies {
		b = appendInts(append(b, '|'), c.gen, toInt(c.claimed), toInt(c.ended))
		if c.op == nil {
			continue
		}
		b = append(append(b, c.op.kind...), c.op.claim.Phase...)
		b = appendInts(b, c.op.step, c.op.tries, int(c.op.view.Number), int(c.op.ballot))
		for i, r := range c.op.replies {
			b = append(append(b, byte('0'+c.op.states[i])), r.Status...)
			b = appendRecord(b, r.Record)
		}
	}
	texts := make([]string, 0, len(w.messages))
	for _, m := range w.messages {
		texts = append(texts, m.text)
	}
	slices.Sort(texts)
	for _, t := range texts {
		b = append(b, t...)
	}
	return b
}

// explore visits all states of a scenario and returns their number, the events with which
// the submission starts twice, if it can, and whether it can start at all.
func explore(s scenario) (states int, twice string, once bool) {
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{}
	stack := []*world{newWorld(&s)}
	var buffer []byte
	for len(stack) > 0 && len(seen) < stateLimit {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if w.starts > 1 {
			return len(seen), w.trace(), true
		}
		once = once || w.starts == 1
		w.events(func(event string, do func(n *world)) {
			n := w.clone()
			n.parent, n.event = w, event
			do(n)
			n.prune()
			buffer = n.key(buffer[:0])
			h := maphash.Bytes(seed, buffer)
			if _, ok := seen[h]; !ok {
				seen[h] = struct{}{}
				stack = append(stack, n)
			}
		})
	}
	return len(seen), "", once
}

var scenarios = map[string]scenario{
	"2 members, queued":        {members: 2, copies: []int{0, 1}, phase: Queued, losses: 2, crash: true},
	"2 members, started":       {members: 2, copies: []int{0, 1}, phase: Started, losses: 2, crash: true},
	"3 members, queued":        {members: 3, copies: []int{0, 1}, phase: Queued, losses: 2, crash: true},
	"3 members, started":       {members: 3, copies: []int{0, 1}, phase: Started, losses: 2, crash: true},
	"2 to 1, queued":           {members: 2, next: []int{1}, copies: []int{0, 1}, phase: Queued, losses: 2, crash: true},
	"2 to 1, started":          {members: 2, next: []int{1}, copies: []int{0, 1}, phase: Started, losses: 2, crash: true},
	"2 to 1, other order":      {members: 2, next: []int{1}, copies: []int{1, 0}, phase: Queued, losses: 2, crash: true},
	"3 to 2, queued":           {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Queued},
	"3 to 2, started":          {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Started},
	"3 to 2, coordinator dies": {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Started, crash: true},
	"3 to 2, other order":      {members: 3, next: []int{1, 2}, copies: []int{1, 0}, phase: Started},
	"2 to 2, queued":           {members: 2, next: []int{0, 1}, copies: []int{0, 1}, phase: Queued, losses: 1},
	"2 to 2, started":          {members: 2, next: []int{0, 1}, copies: []int{0, 1}, phase: Started, losses: 2, crash: true},
	"3 members, three copies":  {members: 3, copies: []int{0, 1, 2}, phase: Started},
}

// Guards against a submission that starts twice in any order of the events of a small
// case.
func TestSmallCasesStartAtMostOnce(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			states, twice, once := explore(s)
			t.Logf("%d states", states)
			g.Expect(twice).To(BeEmpty())
			g.Expect(states).To(BeNumerically("<", stateLimit), "the case is explored completely")
			g.Expect(once).To(BeTrue(), "the case can start the submission at all")
		})
	}
}

// Guards against an exploration that finds nothing: each variant breaks one rule.
func TestExplorationFindsBrokenVariants(t *testing.T) {
	for name, s := range map[variant]scenario{
		minority:        {members: 3, copies: []int{0, 1}, phase: Started},
		noPrepare:       {members: 3, next: []int{1, 2}, copies: []int{0, 1, 2}, phase: Queued},
		acceptsOldViews: {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Queued},
		skipsSync:       {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Started},
		comparesEarly:   {members: 3, next: []int{1, 2}, copies: []int{0, 1}, phase: Started},
	} {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s.broken = name
			states, twice, _ := explore(s)
			t.Logf("found after %d states:\n%s", states, twice)
			g.Expect(twice).NotTo(BeEmpty())
		})
	}
}

// walks is the number of random orders of events for each drawn case.
const walks = 100

// randomWalk applies random events until nothing can happen any more or the submission
// has started twice.
func randomWalk(s *scenario, seed uint64) (w *world, trace []string) {
	w = newWorld(s)
	r := rand.New(rand.NewPCG(seed, 1))
	for len(trace) < 400 && w.starts < 2 {
		if !slices.ContainsFunc(w.copies, func(c simCopy) bool { return !c.ended }) {
			break // nothing can start any more
		}
		var labels []string
		var choices []func(n *world)
		w.events(func(event string, do func(n *world)) {
			labels = append(labels, event)
			choices = append(choices, do)
		})
		if len(choices) == 0 {
			break
		}
		i := r.IntN(len(choices))
		for rare(labels[i]) && r.IntN(8) > 0 {
			i = r.IntN(len(choices))
			if len(choices) == 1 {
				break
			}
		}
		trace = append(trace, labels[i])
		choices[i](w)
		w.prune()
	}
	return w, trace
}

// rare reports whether an event should be less likely than the delivery of a message.
func rare(event string) bool {
	return strings.HasSuffix(event, "dies") || strings.HasSuffix(event, "restarts") ||
		strings.HasSuffix(event, "majority") || strings.HasSuffix(event, "again") || strings.HasPrefix(event, "the register")
}

// Guards against a submission that starts twice in larger cases: more members, copies,
// lost messages and views than can be explored completely.
func TestRandomCasesStartAtMostOnce(t *testing.T) {
	started, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := scenario{
			retry:   true,
			members: rapid.IntRange(2, 5).Draw(t, "members"),
			losses:  rapid.IntRange(0, 8).Draw(t, "losses"),
			phase:   rapid.SampledFrom([]Phase{Queued, Started}).Draw(t, "phase"),
			crash:   rapid.Bool().Draw(t, "crash"),
			churn:   rapid.Bool().Draw(t, "churn"),
		}
		s.copies = rapid.SliceOfN(rapid.IntRange(0, s.members-1), 2, 5).Draw(t, "copies")
		if rapid.Bool().Draw(t, "view change") {
			first := rapid.IntRange(0, s.members-1).Draw(t, "first")
			for i := first; i < s.members; i++ {
				s.next = append(s.next, i)
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		for walk := range uint64(walks) {
			w, trace := randomWalk(&s, seed+walk)
			if w.starts > 1 {
				t.Fatalf("started twice in walk %d after\n%s", walk, strings.Join(trace, "\n"))
			}
			started += w.starts
			steps += len(trace)
		}
	})
	t.Logf("%d events, %d submissions started", steps, started)
	NewWithT(t).Expect(started).To(BeNumerically(">", 0))
}
