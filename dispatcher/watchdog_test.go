package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a loop that is blocked without a log line, and against a line for each check of one step.
func TestWatchdogReportsEachBlockedStepOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	d := &watchdog{stack: func() string { return "stack" }}
	reported := func(after time.Duration) bool {
		_, _, found := d.check(now.Add(after))
		return found
	}
	g.Expect(reported(time.Hour)).To(BeFalse(), "the loop waits")
	d.stepBegins(now)
	g.Expect(reported(loopBlockedAfter - time.Millisecond)).To(BeFalse())
	blocked, stack, found := d.check(now.Add(loopBlockedAfter))
	g.Expect(found).To(BeTrue())
	g.Expect(blocked).To(Equal(loopBlockedAfter))
	g.Expect(stack).To(Equal("stack"))
	g.Expect(reported(2*loopBlockedAfter)).To(BeFalse(), "the same step")
	d.stepEnds()
	g.Expect(reported(3 * loopBlockedAfter)).To(BeFalse())
	d.stepBegins(now.Add(3 * loopBlockedAfter))
	g.Expect(reported(4*loopBlockedAfter)).To(BeTrue(), "another step")
}
