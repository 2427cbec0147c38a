package evacuator

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"sesamedrift.example/sesamedrift/registrar"
)

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fakeRegister is an in-memory register with the guarantees of package registrar.
type fakeRegister struct {
	mu    sync.Mutex
	entry registrar.Entry
	// loseReply makes the next change succeed but report that it is unavailable. loseVote makes the
	// next change unavailable; it is decided as soon as another change is proposed.
	loseReply, loseVote bool
	pending             *registrar.Change
	readErr             error
}

func (r *fakeRegister) read(context.Context, time.Time, string) (registrar.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry, r.readErr
}

func (r *fakeRegister) change(_ context.Context, _ time.Time, c registrar.Change) (registrar.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending != nil && r.pending.Expected == r.entry.Version {
		r.store(*r.pending)
	}
	if c.Expected != r.entry.Version {
		return registrar.Result{Status: registrar.Conflict}, nil
	}
	if r.loseVote {
		r.loseVote, r.pending = false, &c
		return registrar.Result{Status: registrar.Unavailable}, nil
	}
	r.store(c)
	if r.loseReply {
		r.loseReply = false
		return registrar.Result{Status: registrar.Unavailable}, nil
	}
	return registrar.Result{
		Status:  registrar.Accepted,
		Version: r.entry.Version,
	}, nil
}

func (r *fakeRegister) store(c registrar.Change) {
	r.entry = registrar.Entry{
		Version: c.Expected + 1,
		Value:   c.Value,
	}
}

func (r *fakeRegister) evacuator() *Evacuator {
	return &Evacuator{Store: registrar.Store{
		Register: Register,
		Read:     r.read,
		Change:   r.change,
	}}
}

// TestOrders guards against a repeated order that is rejected or takes a new version, and against a
// version that does not grow, with which hosts would keep the older state.
func TestOrders(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRegister{}
	e := r.evacuator()
	for _, c := range []struct {
		order   func(ctx context.Context, now time.Time, who, domain string) (State, error)
		domain  string
		domains []string
		changes bool
	}{
		{e.Finish, "b", nil, false},
		{e.Begin, "b", []string{"b"}, true},
		{e.Begin, "b", []string{"b"}, false},
		{e.Begin, "a", []string{"a", "b"}, true},
		{e.Finish, "b", []string{"a"}, true},
		{e.Finish, "b", []string{"a"}, false},
	} {
		before, err := e.Newest(t.Context(), now)
		g.Expect(err).NotTo(HaveOccurred())
		s, err := c.order(t.Context(), now, "ana", c.domain)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Domains).To(ConsistOf(c.domains))
		g.Expect(s.Version > before.Version).To(Equal(c.changes))
		g.Expect(e.Newest(t.Context(), now)).To(Equal(s))
	}
}

// TestLostReplies guards against an acknowledged order that an earlier, opposite order without a
// clear answer replaces, and against an order that cannot be sent again.
func TestLostReplies(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		for _, r := range []*fakeRegister{{loseReply: true}, {loseVote: true}} {
			g := NewWithT(t)
			_, err := r.evacuator().Begin(t.Context(), now, "ana", "a")
			var unavailable *registrar.UncertainError
			g.Expect(errors.As(err, &unavailable)).To(BeTrue())
			if repeated {
				s, err := r.evacuator().Begin(t.Context(), now, "ana", "a")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.Evacuated("a")).To(BeTrue())
			}
			_, err = r.evacuator().Finish(t.Context(), now, "ben", "a")
			g.Expect(err).NotTo(HaveOccurred())
			s, err := r.evacuator().Begin(t.Context(), now, "ana", "b")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Domains).To(Equal([]string{"b"}))
			r.readErr = errors.New("cut off")
			_, err = r.evacuator().Newest(t.Context(), now)
			g.Expect(errors.As(err, &unavailable)).To(BeTrue())
		}
	}
}

// TestConcurrentOrders guards against an order that undoes another one that is sent at the same time.
func TestConcurrentOrders(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRegister{}
	var wg sync.WaitGroup
	for _, i := range rand.New(rand.NewPCG(1, 0)).Perm(8) {
		wg.Go(func() {
			s, err := r.evacuator().Begin(t.Context(), now, "ana", strconv.Itoa(i))
			if err != nil || !s.Evacuated(strconv.Itoa(i)) {
				t.Errorf("domain %d: %v, %v", i, s, err)
			}
		})
	}
	wg.Wait()
	s, err := r.evacuator().Newest(t.Context(), now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Domains).To(HaveLen(8))
}

// Guards against a register value that cannot be read and counts as the empty state, and against an order
// that overwrites it.
func TestUnreadableState(t *testing.T) {
	g := NewWithT(t)
	stored := Encode(State{Version: 3, Domains: []string{"a"}})
	g.Expect(Decode(registrar.Entry{Version: 3, Value: stored})).To(HaveField("Domains", ConsistOf("a")))
	g.Expect(Decode(registrar.Entry{})).To(Equal(State{}))
	nothing, err := msgpack.Marshal(nil)
	g.Expect(err).NotTo(HaveOccurred())
	other, err := msgpack.Marshal(map[string]int{"other": 1})
	g.Expect(err).NotTo(HaveOccurred())
	for _, value := range [][]byte{nil, []byte("unreadable"), nothing, other, stored[:len(stored)-1], append(stored, 0), Encode(State{Version: 4})} {
		r := &fakeRegister{entry: registrar.Entry{Register: Register, Version: 3, Value: value}}
		e := r.evacuator()
		_, beginErr := e.Begin(t.Context(), now, "ana", "b")
		_, finishErr := e.Finish(t.Context(), now, "ana", "a")
		_, readErr := e.Newest(t.Context(), now)
		for _, err := range []error{beginErr, finishErr, readErr} {
			var unreadable *UnreadableError
			g.Expect(errors.As(err, &unreadable)).To(BeTrue(), "%q: %v", value, err)
			g.Expect(err).To(MatchError(ContainSubstring(Register)))
		}
		g.Expect(r.entry.Value).To(Equal(value))
		g.Expect(r.entry.Version).To(Equal(uint64(3)))
	}
}
