package dispatcher

import (
	"context"
	"math"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/aligner"
	"sesamedrift.example/sesamedrift/reporter"
)

// maxInbox bounds the steps that wait for the loop. Beyond it batches of other hosts and
// jobs of callers are refused.
const maxInbox = 1 << 14

// step is a function that the loop runs.
type step func(now time.Time)

// inbox is the queue of steps that wait for the loop. wake is signalled when a step is added.
type inbox struct {
	mu    sync.Mutex
	steps []step
	wake  chan struct{}
}

func newInbox() *inbox {
	return &inbox{wake: make(chan struct{}, 1)}
}

// put adds a step. It never blocks and returns false if the inbox is full.
func (i *inbox) put(s step) bool { return i.add(s, maxInbox) }

// putUnbounded adds a step even if the inbox is full. It is for responses to requests of this host,
// whose number is bounded.
func (i *inbox) putUnbounded(s step) { i.add(s, math.MaxInt) }

func (i *inbox) add(s step, limit int) bool {
	i.mu.Lock()
	full := len(i.steps) >= limit
	if !full {
		i.steps = append(i.steps, s)
	}
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
	return !full
}

// size returns the number of steps that wait.
func (i *inbox) size() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.steps)
}

func (i *inbox) takeAll() []step {
	i.mu.Lock()
	defer i.mu.Unlock()
	steps := i.steps
	i.steps = nil
	return steps
}

// loop runs the steps, and periodically ticks the Core and the courier and publishes the statistics. A
// host without work ticks less often.
func (h *Host) loop(ctx context.Context) {
	timer := time.NewTimer(TickEvery)
	defer timer.Stop()
	ticksOften := true
	var probe speedProbe
	var publisher *metricsPublisher
	if h.cfg.Metrics != nil {
		publisher = newMetricsPublisher(h.cfg.Metrics)
	}
	publishAt := h.cfg.Now()
	for {
		ticked := false
		h.watchdog.stepEnds()
		select {
		case <-ctx.Done():
			return
		case <-h.inbox.wake:
			h.watchdog.stepBegins(h.cfg.Now())
		case <-timer.C:
			ticked = true
			now := h.cfg.Now()
			h.watchdog.stepBegins(now)
			h.core.SetHealthy(now, !probe.slow(now))
			h.core.Tick(now)
			h.courier.Tick(now)
			if publisher != nil && !now.Before(publishAt) {
				publishAt = now.Add(reporter.PublishEvery)
				publisher.publish(h.core.Stats())
			}
		}
		for _, s := range h.inbox.takeAll() {
			s(h.cfg.Now())
		}
		h.core.Flush(h.cfg.Now())
		if busy := h.core.Busy(); ticked || busy && !ticksOften {
			ticksOften = busy
			timer.Reset(untilTick(h.cfg.Now(), busy))
		}
	}
}

// untilTick returns the time until the next tick.
func untilTick(now time.Time, busy bool) time.Duration {
	if busy {
		return aligner.Until(now, TickEvery)
	}
	return aligner.Until(now, idleTickEvery)
}
