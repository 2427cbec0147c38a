package aligner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against timers that expire at other instants than the multiples of their interval, or at once.
func TestUntil(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	for _, test := range []struct{ after, interval, want time.Duration }{
		{0, 20 * time.Millisecond, 20 * time.Millisecond},
		{time.Nanosecond, 20 * time.Millisecond, 20*time.Millisecond - time.Nanosecond},
		{19 * time.Millisecond, 20 * time.Millisecond, time.Millisecond},
		{70 * time.Millisecond, 100 * time.Millisecond, 30 * time.Millisecond},
	} {
		g.Expect(Until(start.Add(test.after), test.interval)).To(Equal(test.want))
	}
	g.Expect(Until(time.Now(), time.Second)).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
}
