// Package dispatcher is an entry host: it takes jobs of callers, has their tasks placed,
// holds upstreams under leases, and answers each job once.
//
// The hosts of a failure domain share three duties. The host that a caller is connected to
// is the entry of its job. One host is the placer of the domain: it alone decides where
// tasks run. Each upstream has one keeper, which alone sends it orders. docs/platform.md
// describes the messages between them and what each loss does.
//
// All state belongs to one goroutine, the loop; HTTP handlers, sessions and answers of
// upstreams hand it functions to run. All exported methods are safe for concurrent use.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/inquirer"
	"sesamedrift.example/sesamedrift/keeper"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/router"
)

// Times of an entry host.
const (
	// beat is the time between two batches of a session without messages.
	beat = 100 * time.Millisecond
	// resend is the time after which a batch without an answer is sent again. It is above
	// the pauses of a busy host with a fraction of a core.
	resend = 200 * time.Millisecond
	// suspectAfter ends a session. It allows for one batch that is lost and sent again.
	suspectAfter = 500 * time.Millisecond
	// tick is the time between two looks at what is due.
	tick = 20 * time.Millisecond
	// watchAgain is the time between two questions about a run whose keeper has changed.
	watchAgain = 300 * time.Millisecond
	// askAgain is the time after which the placer is told again of tasks that wait. It is for
	// messages that were lost while the placer changed.
	askAgain = time.Second
	// settleLeast and settleMost bound the time from the first news to the choice of a
	// placer. A process may start 0.3 s after the others; those that are listed but do not
	// answer are waited for a little longer.
	settleLeast = 100 * time.Millisecond
	settleMost  = 500 * time.Millisecond
	// retakeAfter is how long a keeper whose upstream was taken by another waits before it
	// takes the upstream back if it is still assigned to it.
	retakeAfter = 500 * time.Millisecond
)

// Config describes an entry host.
type Config struct {
	// Self is this host; its Life grows with each start.
	Self finder.Host
	// Seeds are addresses of control hosts.
	Seeds []string
	// Token is the secret that all hosts share.
	Token string
	// Keeping holds the times of leases.
	Keeping keeper.Config
	// Order sends an order to an upstream and returns the answer, within the timeout of
	// the order.
	Order func(ctx context.Context, u finder.Upstream, o keeper.Order) keeper.Answer
	// Parse reads a published document.
	Parse func(content []byte) (*router.Document, error)
	// InForce is called with each newer document, in order.
	InForce func(t *router.Table)
	Log     *slog.Logger
	Now     func() time.Time
}

// Host is a running entry host.
type Host struct {
	cfg      Config
	log      *slog.Logger
	courier  *courier.Courier
	listener *messenger.Listener
	asker    *inquirer.Asker
	inbox    *inbox
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	duties   sync.WaitGroup
	calls    sync.WaitGroup

	// selfMu guards self, the present report about this host.
	selfMu sync.Mutex
	self   finder.Host

	// The fields below belong to the loop.

	hosts     *finder.List[finder.Host]
	upstreams *finder.List[finder.Upstream]
	table     *router.Table
	published inquirer.Document
	// up holds the hosts of the domain with which there is a session; those that leave map
	// to false.
	up       map[string]bool
	newsFrom map[string]context.CancelFunc
	stopping bool
	// started is when this host first heard of others; zero before.
	started   time.Time
	isSettled bool

	// placerAt is the address of the placer of the domain.
	placerAt string
	assigned assignment

	jobs  map[string]*job
	keeps map[string]*keep

	placer     *placer.Placer // nil unless this host places
	neighbours map[string]*neighbour
	relays     map[string]relay
	placing    map[string]placedUpstream
	reportedAt time.Time
	lastTokens map[string]uint64
}

// New starts an entry host. Its internal address is open when it returns.
func New(cfg Config) (*Host, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg:        cfg,
		log:        cfg.Log,
		inbox:      newInbox(),
		ctx:        ctx,
		cancel:     cancel,
		hosts:      finder.NewList[finder.Host](),
		upstreams:  finder.NewList[finder.Upstream](),
		up:         map[string]bool{},
		newsFrom:   map[string]context.CancelFunc{},
		jobs:       map[string]*job{},
		keeps:      map[string]*keep{},
		placing:    map[string]placedUpstream{},
		neighbours: map[string]*neighbour{},
		relays:     map[string]relay{},
		lastTokens: map[string]uint64{},
	}
	local := messenger.Config{
		Local: messenger.Hello{
			Token:       cfg.Token,
			Host:        cfg.Self.ID,
			Domain:      cfg.Self.Domain,
			Incarnation: cfg.Self.Life,
		},
		Handle:       h.handle,
		DialTimeout:  resend,
		WriteTimeout: time.Second,
	}
	h.courier = courier.New(courier.Config{
		Self:         cfg.Self.Address,
		Life:         cfg.Self.Life,
		Beat:         beat,
		Resend:       resend,
		SuspectAfter: suspectAfter,
		Local:        local,
		Deliver:      h.deliver,
		Now:          cfg.Now,
	})
	h.self = cfg.Self
	h.asker = &inquirer.Asker{
		Self:  h.present,
		Token: cfg.Token,
		Apply: h.apply,
		Log:   cfg.Log,
	}
	var err error
	h.listener, err = messenger.Listen(cfg.Self.Address, local)
	if err != nil {
		cancel()
		return nil, err
	}
	h.hosts.Put(cfg.Now(), cfg.Self)
	for _, seed := range cfg.Seeds {
		h.askNews(seed)
	}
	h.duties.Go(func() { h.loop(ctx) })
	return h, nil
}

// Close ends the host at once.
func (h *Host) Close() {
	h.cancel()
	h.courier.Close()
	// The error of a listener that is being closed tells nothing.
	_ = h.listener.Close()
	h.duties.Wait()
	h.calls.Wait()
}

// handle serves the internal protocol.
func (h *Host) handle(_ context.Context, _ messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
	if kind == messenger.KindCourier {
		return h.courier.Handle(body)
	}
	return nil, &messenger.RemoteError{
		Code:    "not-served",
		Message: "an entry host does not serve messages of kind " + kind.String(),
	}
}

// deliver takes in events of sessions.
func (h *Host) deliver(events []courier.Event) bool {
	return h.inbox.put(func(now time.Time) {
		for _, e := range events {
			h.sessionEvent(now, e)
		}
	})
}
