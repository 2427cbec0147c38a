package dispatcher

import (
	"context"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/messenger"
)

// maxInbox bounds the steps that wait for the loop. Beyond it batches of other hosts and
// jobs of callers are turned away.
const maxInbox = 1 << 14

// step is something for the loop to do.
type step func(now time.Time)

// inbox holds the steps that wait for the loop.
type inbox struct {
	mu    sync.Mutex
	steps []step
	wake  chan struct{}
}

func newInbox() *inbox {
	return &inbox{wake: make(chan struct{}, 1)}
}

// put adds a step. It never blocks and reports false if too many wait.
func (i *inbox) put(s step) bool {
	i.mu.Lock()
	full := len(i.steps) >= maxInbox
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

// force adds a step regardless of how many wait. It is for answers to what this host has
// asked itself, whose number is bounded.
func (i *inbox) force(s step) {
	i.mu.Lock()
	i.steps = append(i.steps, s)
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *inbox) take() []step {
	i.mu.Lock()
	defer i.mu.Unlock()
	steps := i.steps
	i.steps = nil
	return steps
}

// loop runs the steps and looks at what is due.
func (h *Host) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.inbox.wake:
		case <-ticker.C:
			h.due(h.cfg.Now())
		}
		h.run()
	}
}

// run runs all steps, also those that come of them, and sends what they decided.
func (h *Host) run() {
	for {
		now := h.cfg.Now()
		steps := h.inbox.take()
		for _, s := range steps {
			s(now)
		}
		h.sendDecisions()
		h.sendOrders(now)
		if len(steps) == 0 {
			return
		}
	}
}

// due does what the passing of time asks for.
func (h *Host) due(now time.Time) {
	if !h.isSettled {
		h.choosePlacer(now)
	}
	h.expireJobs(now)
	h.tickKeeps(now)
	h.reportProgress(now)
	if h.placer != nil {
		h.placer.Tick(now)
		h.tellRoom(now)
	}
}

// tell sends a message to a host of the domain, which may be this one. A message to a host
// without a session is dropped; the end of the session is handled where it is noticed.
func (h *Host) tell(to string, kind courier.Kind, v any) {
	if to == h.cfg.Self.Address {
		h.inbox.force(func(now time.Time) { h.receive(now, to, kind, v) })
		return
	}
	body, err := messenger.Encode(v)
	if err != nil {
		panic("dispatcher: message cannot be encoded: " + err.Error())
	}
	h.courier.Post(to, courier.Message{
		Kind: kind,
		Body: body,
	})
}
