package publisher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/registrar"
)

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fakeRegister is an in-memory register with the guarantees of package registrar.
type fakeRegister struct {
	mu      sync.Mutex
	entry   registrar.Entry
	changes int
	// loseReply makes the next change succeed but report that it is unavailable.
	loseReply bool
	readErr   error
}

func (r *fakeRegister) read(context.Context, time.Time, string) (registrar.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry, r.readErr
}

func (r *fakeRegister) change(_ context.Context, _ time.Time, c registrar.Change) (registrar.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Expected != r.entry.Version {
		return registrar.Result{Status: registrar.Conflict}, nil
	}
	r.changes++
	r.entry = registrar.Entry{
		Version: c.Expected + 1,
		Value:   c.Value,
	}
	if r.loseReply {
		r.loseReply = false
		return registrar.Result{Status: registrar.Unavailable}, nil
	}
	return registrar.Result{
		Status:  registrar.Accepted,
		Version: r.entry.Version,
	}, nil
}

func (r *fakeRegister) publisher() *Publisher {
	return &Publisher{Store: registrar.Store{
		Register: "document",
		Read:     r.read,
		Change:   r.change,
	}}
}

func doc(version uint64, content string) Document {
	return Document{
		Version: version,
		Content: []byte(content),
	}
}

// TestHighestVersionTakesEffect checks that a lower version, or the same version with other
// content, does not replace the stored document, and that a resent version is accepted.
func TestHighestVersionTakesEffect(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRegister{}
	p := r.publisher()
	for _, c := range []struct {
		send    Document
		stored  uint64
		content string
	}{
		{doc(5, "five"), 5, "five"},
		{doc(5, "five"), 5, "five"},
		{doc(5, "other"), 5, "five"},
		{doc(3, "three"), 5, "five"},
		{doc(9, "nine"), 9, "nine"},
	} {
		stored, err := p.Publish(t.Context(), now, "ana", c.send)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stored).To(Equal(c.stored))
		newest, err := p.Newest(t.Context(), now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(newest).To(Equal(doc(c.stored, c.content)))
	}
	g.Expect(r.changes).To(Equal(2))
}

// TestPublishWithoutReply checks that Publish returns an error if no majority answered, and that
// the same document can be published again although it was stored.
func TestPublishWithoutReply(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRegister{loseReply: true}
	p := r.publisher()
	_, err := p.Publish(t.Context(), now, "ana", doc(1, "one"))
	var unavailable *registrar.UncertainError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	stored, err := p.Publish(t.Context(), now, "ana", doc(1, "one"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(Equal(uint64(1)))
	r.readErr = errors.New("cut off")
	_, err = p.Newest(t.Context(), now)
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
}

// TestConcurrentPublishers checks that the highest of several versions published at the same time
// is stored, and that no Publish succeeds while a lower version is stored.
func TestConcurrentPublishers(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRegister{}
	var wg sync.WaitGroup
	order := rand.New(rand.NewPCG(1, 0)).Perm(40)
	for _, i := range order {
		wg.Go(func() {
			version := uint64(i + 1)
			stored, err := r.publisher().Publish(t.Context(), now, "ana", doc(version, "x"))
			if err == nil && stored < version {
				t.Errorf("version %d was acknowledged while version %d was stored", version, stored)
			}
		})
	}
	wg.Wait()
	newest, err := r.publisher().Newest(t.Context(), now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(newest.Version).To(Equal(uint64(40)))
}

// TestDecode checks that a value that is no encoded document decodes to no document, and that an
// encoded document decodes to itself.
func TestDecode(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Decode(nil)).To(Equal(Document{}))
	g.Expect(Decode([]byte("short"))).To(Equal(Document{}))
	g.Expect(Decode(Encode(doc(7, "seven")))).To(Equal(doc(7, "seven")))
}
