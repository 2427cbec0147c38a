// Package dispatcher implements an entry host: it accepts jobs from callers, has their tasks
// placed, holds upstreams under leases, and answers each job exactly once.
//
// The hosts of a failure domain share three roles. The entry host of a job is the one that its
// caller is connected to; it tracks the tasks of the job. One host is the placer of the domain: it
// alone decides on which upstream a task runs. Each upstream has one leaseholder, which alone sends
// it orders. docs/platform.md describes the messages between them and the effect of each loss.
//
// Core makes all decisions and does no I/O. Host is a running entry host: one goroutine, the loop,
// owns its Core; HTTP handlers, sessions and responses of upstreams enqueue functions for the loop
// to run. All exported methods of Host are safe for concurrent use.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/router"
	"sesamedrift.example/sesamedrift/tracker"
)

const (
	// ResendAfter is the time after which an unacknowledged batch is sent again. It is longer than
	// the scheduling delays of a busy host with a fraction of a core.
	ResendAfter = 200 * time.Millisecond
	// SuspectAfter is the time without contact after which the session with a closely watched host
	// ends. It allows for one batch that is lost and sent again.
	SuspectAfter = 500 * time.Millisecond
	// TickEvery is the time between two calls of Core.Tick while the host has work, idleTickEvery
	// otherwise. The latter is half of the time between two heartbeats.
	TickEvery     = 20 * time.Millisecond
	idleTickEvery = 50 * time.Millisecond
	// drainPollInterval is the time between two checks whether a planned stop is complete.
	drainPollInterval = 20 * time.Millisecond
)

// Config is the configuration of an entry host.
type Config struct {
	// Self is this host; its Incarnation grows with each start.
	Self discoverer.Host
	// Seeds are addresses of control hosts.
	Seeds []string
	// Token is the secret that all hosts share.
	Token string
	// LeaseConfig holds the time settings of leases on upstreams.
	LeaseConfig leaseholder.Config
	// EvacuateWithin is that of CoreConfig.
	EvacuateWithin time.Duration
	// Order sends an order to an upstream and returns the response, or one with the status
	// NoResponse. ctx ends after the timeout of the order.
	Order func(ctx context.Context, u discoverer.Upstream, o leaseholder.Order) leaseholder.Response
	// Parse decodes and validates a published document.
	Parse func(content []byte) (*router.Document, error)
	// DocumentApplied is called with each newer document, in order. It must not block.
	DocumentApplied func(t *router.Table)
	Log             *slog.Logger
	// Metrics receives the statistics of the host; nil disables them.
	Metrics *reporter.Metrics
	Now     func() time.Time
}

// Host is a running entry host.
type Host struct {
	cfg        Config
	core       *Core // owned by the loop
	courier    *courier.Courier
	listener   *messenger.Listener
	poller     *poller.Poller
	documents  poller.DocumentSource // serves the active document to other hosts
	inbox      *inbox
	watchdog   *watchdog
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	orderCalls sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// self is the current report about this host.
	self discoverer.Host
	// polling holds, for each control host that is polled, the function that ends the polling.
	polling map[string]context.CancelFunc
}

// New starts an entry host, which listens on its internal address when New returns. The caller must
// call Close.
func New(cfg Config) (*Host, error) {
	cfg.Self.Shards = true
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg:     cfg,
		inbox:   newInbox(),
		ctx:     ctx,
		cancel:  cancel,
		self:    cfg.Self,
		polling: map[string]context.CancelFunc{},

		watchdog: &watchdog{stack: loopStack},
	}
	messengerConfig := h.messengerConfig()
	h.courier = courier.New(courier.Config{
		Self:        cfg.Self.Address,
		Incarnation: cfg.Self.Incarnation,
		Watch:       CloseWatch,
		ResendAfter: ResendAfter,
		Connection:  messengerConfig,
		Deliver:     h.deliver,
		Now:         cfg.Now,
	})
	h.poller = &poller.Poller{
		Self:  h.selfReport,
		Token: cfg.Token,
		Apply: h.applyUpdates,
		ReachabilityChanged: func(address string, reachable bool) {
			h.inbox.putUnbounded(func(time.Time) { h.core.SetControlReachable(address, reachable) })
		},
		Log: cfg.Log,
	}
	var err error
	h.listener, err = messenger.Listen(cfg.Self.Address, messengerConfig)
	if err != nil {
		cancel()
		return nil, err
	}
	h.core = NewCore(CoreConfig{
		Self:           cfg.Self,
		LeaseConfig:    cfg.LeaseConfig,
		EvacuateWithin: cfg.EvacuateWithin,
		Parse:          cfg.Parse,
		Log:            cfg.Log,
	}, Effects{
		Post:          h.courier.Post,
		Connect:       h.courier.Connect,
		Disconnect:    h.courier.Disconnect,
		Watch:         h.courier.SetWatch,
		EndSession:    h.courier.EndSession,
		StartPolling:  h.startPolling,
		StopPolling:   h.stopPolling,
		SelfChanged:   h.setSelfReport,
		Order:         h.order,
		FetchDocument: h.fetchDocument,
		DocumentApplied: func(d FetchedDocument) {
			h.documents.Set(d.Document)
			cfg.DocumentApplied(d.Table)
		},
	}, cfg.Now(), cfg.Seeds)
	h.wg.Go(func() { h.loop(ctx) })
	h.wg.Go(func() { h.watchLoop(ctx) })
	return h, nil
}

// Close stops the host without draining and waits for its goroutines.
func (h *Host) Close() {
	h.cancel()
	h.courier.Close()
	// A failure to close the listener has no consequence here.
	_ = h.listener.Close()
	h.wg.Wait()
	h.orderCalls.Wait()
}

// messengerConfig returns the configuration of the connections with other hosts.
func (h *Host) messengerConfig() messenger.Config {
	return messenger.Config{
		Local: messenger.Hello{
			Token:       h.cfg.Token,
			Host:        h.cfg.Self.ID,
			Domain:      h.cfg.Self.Domain,
			Incarnation: h.cfg.Self.Incarnation,
			Features:    []string{courier.Feature},
		},
		Handle: h.handle,
		Receive: func(_ messenger.Hello, kind messenger.Kind, body []byte) {
			if kind == messenger.KindSessionBatch {
				h.courier.Receive(body)
			}
		},
		DialTimeout:  ResendAfter,
		WriteTimeout: time.Second,
	}
}

// handle serves requests of the internal protocol.
func (h *Host) handle(_ context.Context, _ messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
	switch kind {
	case messenger.KindSessionBatch:
		return h.courier.Handle(body)
	case messenger.KindDocument:
		return h.documents.Handle(body)
	default:
		return nil, &messenger.RemoteError{
			Code:    "not-served",
			Message: "an entry host does not serve messages of kind " + kind.String(),
		}
	}
}

// deliver passes session events to the Core. It returns false if too many steps wait for the loop.
func (h *Host) deliver(events []courier.Event) bool {
	return h.inbox.put(func(now time.Time) {
		for _, e := range events {
			h.core.HandleSessionEvent(now, e)
		}
	})
}

func (h *Host) selfReport() discoverer.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

func (h *Host) setSelfReport(self discoverer.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self = self
}

// startPolling polls a control host until the host closes or stopPolling is called.
func (h *Host) startPolling(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithCancel(h.ctx)
	h.polling[address] = cancel
	h.wg.Go(func() { h.poller.Poll(ctx, address) })
}

func (h *Host) stopPolling(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.polling[address]; cancel != nil {
		cancel()
		delete(h.polling, address)
	}
}

// applyUpdates passes updates from a control host to the Core and waits until they are applied or ctx
// ends.
func (h *Host) applyUpdates(ctx context.Context, address string, updates poller.Updates) {
	applied := make(chan struct{})
	h.inbox.putUnbounded(func(now time.Time) {
		h.core.HandleUpdates(now, address, updates)
		close(applied)
	})
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// fetchDocument fetches and parses a document in a goroutine; done runs in the loop. A large document
// takes tens of milliseconds to parse, during which the loop goes on.
func (h *Host) fetchDocument(address string, version uint64, done func(now time.Time, d FetchedDocument)) {
	h.wg.Go(func() {
		peer := messenger.NewPeer(address, h.messengerConfig())
		defer func() { _ = peer.Close() }()
		var fetched FetchedDocument
		if d, err := poller.FetchDocument(h.ctx, peer, documentTimeout, version); err != nil {
			fetched.Err = err
		} else {
			fetched = ParseDocument(d, h.cfg.Parse)
		}
		h.inbox.putUnbounded(func(now time.Time) { done(now, fetched) })
	})
}

// order sends an order to an upstream in a goroutine; done runs in the loop.
func (h *Host) order(u discoverer.Upstream, o leaseholder.Order, done func(now time.Time, resp leaseholder.Response)) {
	h.orderCalls.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, o.Timeout)
		defer cancel()
		resp := h.cfg.Order(ctx, u, o)
		h.inbox.putUnbounded(func(now time.Time) { done(now, resp) })
	})
}

// Run submits a job and waits for its result. It returns ErrBusy if the host is overloaded, and
// the error of ctx if that ends first, for example because the caller has disconnected. The job
// then ends unless another caller waits for it.
func (h *Host) Run(ctx context.Context, j tracker.Job) (Result, error) {
	result := make(chan Result, 1)
	caller := NewCaller(func(r Result) { result <- r })
	if !h.inbox.put(func(now time.Time) { h.core.Submit(now, j, caller) }) {
		return Result{}, ErrBusy
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		h.inbox.putUnbounded(func(now time.Time) { h.core.CallerGone(now, j.ID, caller) })
		return Result{}, ctx.Err()
	}
}

// runInLoop runs a function in the loop and waits for it. It returns false if the host has closed.
func (h *Host) runInLoop(f func(now time.Time)) bool {
	done := make(chan struct{})
	h.inbox.putUnbounded(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// Waiting calls Core.Waiting in the loop. It returns 0 if the host has closed.
func (h *Host) Waiting(queue string) (n int) {
	h.runInLoop(func(time.Time) { n = h.core.Waiting(queue) })
	return n
}

// State calls Core.State in the loop. It finds no job if the host has closed.
func (h *Host) State(id string) (state string, found bool) {
	h.runInLoop(func(time.Time) { state, found = h.core.State(id) })
	return state, found
}

// Cancel calls Core.Cancel in the loop. It finds no job if the host has closed.
func (h *Host) Cancel(id string) (found bool) {
	h.runInLoop(func(now time.Time) { found = h.core.Cancel(now, id) })
	return found
}

// NotReady calls Core.NotReady in the loop. A host that has closed is not ready.
func (h *Host) NotReady() string {
	reason := ""
	if !h.runInLoop(func(time.Time) { reason = h.core.NotReady() }) {
		return "the host has closed"
	}
	return reason
}

// BeginDrain calls Core.BeginDrain in the loop and returns when the drain has begun.
func (h *Host) BeginDrain() {
	h.runInLoop(func(now time.Time) { h.core.BeginDrain(now) })
}

// AwaitDrain waits until the host has no job and holds no upstream, or until ctx ends.
func (h *Host) AwaitDrain(ctx context.Context) {
	for ctx.Err() == nil {
		remaining := 0
		if !h.runInLoop(func(time.Time) { remaining = h.core.Remaining() }) || remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}
