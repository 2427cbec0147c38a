package dispatcher

import (
	"bytes"
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// watchdogInterval is the time between two checks of the loop.
	watchdogInterval = time.Second
	// loopBlockedAfter is the time after which a step of the loop is logged.
	loopBlockedAfter = 2 * time.Second
	// maxStackBytes bounds the stacks of all goroutines, of which that of the loop is logged.
	maxStackBytes = 1 << 20
)

// watchdog detects that the loop does not finish a step. It runs in a goroutine of its own, so that it logs while the loop
// is blocked.
type watchdog struct {
	// stepSince is when the current step of the loop began, in nanoseconds since 1970, or 0 while the loop waits.
	stepSince atomic.Int64
	// reported is the stepSince of the last step that was logged.
	reported int64
	// stack returns the call stack of the loop.
	stack func() string
}

func (d *watchdog) stepBegins(now time.Time) { d.stepSince.Store(now.UnixNano()) }

func (d *watchdog) stepEnds() { d.stepSince.Store(0) }

// check returns the time for which the loop has been in its current step. If that is more than loopBlockedAfter, it also
// returns the call stack of the loop, once for each step.
func (d *watchdog) check(now time.Time) (blocked time.Duration, stack string, found bool) {
	since := d.stepSince.Load()
	if since == 0 {
		return 0, "", false
	}
	blocked = now.Sub(time.Unix(0, since))
	if blocked < loopBlockedAfter || since == d.reported {
		return blocked, "", false
	}
	d.reported = since
	return blocked, d.stack(), true
}

// watchLoop checks the loop until the host closes.
func (h *Host) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		blocked, stack, found := h.watchdog.check(h.cfg.Now())
		if h.cfg.Metrics != nil {
			h.cfg.Metrics.Scope.Gauge("loop_step_seconds").Update(blocked.Seconds())
		}
		if found {
			reporter.Log(ctx, h.cfg.Log, reporter.LoopBlocked, "blocked", blocked, "waiting", h.inbox.size(), "stack", stack)
		}
	}
}

// loopStack returns the call stack of the goroutine that runs Host.loop.
func loopStack() string {
	all := make([]byte, maxStackBytes)
	all = all[:runtime.Stack(all, true)]
	for stack := range bytes.SplitSeq(all, []byte("\n\n")) {
		if bytes.Contains(stack, []byte("dispatcher.(*Host).loop(")) {
			return string(stack)
		}
	}
	return ""
}
