package poller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against hosts that wait for long after control hosts have returned from a loss of all hosts, and against
// frequent polls of a control host that never returns.
func TestBackoff(t *testing.T) {
	g := NewWithT(t)
	for failures, want := range map[int]time.Duration{
		1:                  minBackoff,
		shortRetries:       minBackoff,
		shortRetries + 1:   2 * minBackoff,
		shortRetries + 3:   maxBackoff,
		shortRetries + 100: maxBackoff,
	} {
		g.Expect(backoff(failures)).To(Equal(want))
	}
}
