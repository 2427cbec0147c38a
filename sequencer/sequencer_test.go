package sequencer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against plays that differ because events of one time change places, and against
// events of the past that turn time back.
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	var s Sequencer
	var did []string
	note := func(name string) func() {
		return func() { did = append(did, fmt.Sprint(name, " ", s.Now())) }
	}
	s.At(2*time.Second, func() {
		note("b")()
		s.At(time.Second, note("late"))
		s.After(0, note("then"))
	})
	s.At(2*time.Second, note("c"))
	s.At(time.Second, note("a"))
	s.Every(1500*time.Millisecond, note("again"))
	s.At(4*time.Second, note("never"))
	s.Run(3500 * time.Millisecond)
	g.Expect(did).To(Equal([]string{"a 1s", "again 1.5s", "b 2s", "c 2s", "late 2s", "then 2s", "again 3s"}))
	g.Expect(s.Now()).To(Equal(3500 * time.Millisecond))
}
