// Package server implements one host of the system: it accepts submissions from callers, claims their
// keys, and starts their tasks on the upstreams that it owns and on those of its peers.
//
// New starts a host, Stop performs a planned stop, and Kill ends the host at once, as a crash of the
// process does. A host guarantees that it starts each task at most once, that it answers each
// submission with one complete outcome, and that the outcome "refused" means that nothing ran. It
// keeps these guarantees under the failures listed in docs/design.md. The caller must give each start
// of a host a higher incarnation, and must keep the data folder of a replica between starts.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/replicator"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// upstreamConnections bounds the connections of this host to one upstream. Upstreams accept 64
	// connections; the remaining ones are reserved for requests for the running tasks.
	upstreamConnections = 60
	// maxAnswer bounds the answer of one task, in bytes.
	maxAnswer = 8 << 20
	// peerConcurrency bounds the messages of one peer that are handled concurrently. The message of
	// a forwarded task is handled until the task ends.
	peerConcurrency = 4096
	// maxAnswerBytes bounds the total size of the recorded answers that a host keeps, in bytes.
	maxAnswerBytes = 64 << 20
)

// Config holds the settings and dependencies of one host.
type Config struct {
	Settings validator.Settings
	// Incarnation must increase with each start of the same host.
	Incarnation uint64
	Log         *slog.Logger
	// Now returns the current time of the host's clock.
	Now func() time.Time
	// Policy determines the order of the queue. The default is scheduler.FairShare.
	Policy scheduler.Policy
	// Delay, if set, returns the delay of messages to a failure domain. Load tests simulate one-way
	// latency with it.
	Delay func(domain string) time.Duration
	// Seed initialises the random choices of the queue and of retry hints, so that they are
	// repeatable.
	Seed uint64
	// Link, if set, returns the state of the link from this host to a peer for messages of a kind and
	// the replies to such messages. It is called for each of them. Tests simulate partitions with it.
	Link func(host string, kind messenger.Kind) LinkState
	// Journal, if set, may change how the journal in the data folder writes and syncs. Tests simulate
	// disk failures with it.
	Journal func(cfg *journaler.Config)
}

// Host is one running host. New starts it, and Stop or Kill must be called to end it. All methods are
// safe for concurrent use.
type Host struct {
	cfg  Config
	log  *slog.Logger
	now  func() time.Time
	self leaser.Member

	dispatcher *dispatcher
	runner     *runner
	members    *membership
	claims     *claimer.Claimer
	claimTable *claimer.Table
	replica    *replicator.Replica // nil if this host is not a replica
	entries    *registrar.Cache
	documents  documentStore
	// evacuations is applied to the upstreams of the own failure domain by the dispatcher.
	evacuations evacuations
	directory   directory
	peers       map[string]*peer
	exchanges   *exchanges
	releases    *releases
	trials      trials
	slots       slotPublisher
	metrics     *metrics

	syncingClaims      atomic.Bool
	heartbeatRequested chan struct{} // triggers a heartbeat before the next tick
	pullingEntries     atomic.Bool
	stopping           atomic.Bool
	ready              atomic.Bool

	listener   *messenger.Listener
	http       *http.Server
	cancel     context.CancelFunc
	loops      sync.WaitGroup // goroutines that run until the host is closed
	background sync.WaitGroup // goroutines that serve one job, message or upstream
	inFlight   requests
}

// New starts a host. The listening addresses are open when it returns. The host accepts submissions
// once it is ready, that is, has an active document, is a member of the view of its failure domain,
// has synced its claims and knows the evacuations.
func New(cfg Config) (*Host, error) {
	if cfg.Policy == "" {
		cfg.Policy = scheduler.FairShare
	}
	s := cfg.Settings
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg: cfg,
		log: cfg.Log.With("host", s.Host),
		now: cfg.Now,
		self: leaser.Member{
			Host:        s.Host,
			Incarnation: cfg.Incarnation,
			Address:     s.PeerAddress,
			HTTP:        s.HTTPAddress,
		},
		runner:             newRunner(maxAnswer, upstreamConnections),
		entries:            &registrar.Cache{},
		documents:          documentStore{byEnvironment: map[string]*activeDocument{}},
		exchanges:          newExchanges(),
		releases:           newReleases(),
		heartbeatRequested: make(chan struct{}, 1),
		slots:              slotPublisher{incarnation: cfg.Incarnation},
		cancel:             cancel,
	}
	h.directory = directory{
		list:     leaser.NewDirectory(),
		peerSeqs: map[string]uint64{},
		pulling:  map[string]bool{},

		sources: map[string]announcementSource{},
	}
	h.metrics = newMetrics()
	h.members = newMembership(cfg, h.self)
	h.dispatcher = newDispatcher(cfg, h)
	h.runner.stopFailed = h.recordStopFailure
	h.dispatcher.evacuated = true // until the evacuations are known
	h.claimTable, h.claims = newClaims(h)
	h.peers = newPeers(cfg, h.hello())
	if err := h.open(ctx); err != nil {
		h.close()
		return nil, err
	}
	reporter.Log(ctx, h.log, reporter.HostStarted,
		"http", s.HTTPAddress, "peer", s.PeerAddress, "domain", s.Domain, "replica", s.Replica)
	return h, nil
}

// open opens the data folder and the listening addresses, and starts the goroutines that run until the
// host is closed.
func (h *Host) open(ctx context.Context) error {
	s := h.cfg.Settings
	h.loops.Go(func() { h.dispatcher.loop(ctx) })
	if s.Replica {
		if err := h.openReplica(); err != nil {
			return err
		}
		h.loops.Go(func() { h.replica.Run(ctx) })
	}
	var err error
	h.listener, err = messenger.Listen(s.PeerAddress, messenger.Config{
		Local:         h.hello(),
		Handle:        h.handlePeer,
		MaxConcurrent: peerConcurrency,
		OnReject: func(remote string, reason error) {
			reporter.Log(ctx, h.log, reporter.PeerRejected, "remote", remote, "error", reason)
		},
	})
	if err != nil {
		return fmt.Errorf("peer address %s: %w", s.PeerAddress, err)
	}
	if err := h.serveHTTP(ctx); err != nil {
		return err
	}
	h.loops.Go(func() { h.heartbeatLoop(ctx) })
	h.loops.Go(func() { h.viewChangeLoop(ctx) })
	h.loops.Go(func() { h.readEvacuations(ctx) })
	h.loops.Go(func() { h.exchangeLoop(ctx) })
	h.loops.Go(func() { h.expireLoop(ctx) })
	h.loops.Go(func() { h.recheckLoop(ctx) })
	return nil
}

func (h *Host) serveHTTP(ctx context.Context) error {
	s := h.cfg.Settings
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.HTTPAddress)
	if err != nil {
		return fmt.Errorf("http address %s: %w", s.HTTPAddress, err)
	}
	h.http = &http.Server{
		Handler:           h.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	if s.TLSCertificate != "" {
		pair, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey)
		if err != nil {
			return errors.Join(fmt.Errorf("tls: %w", err), l.Close())
		}
		l = tls.NewListener(l, &tls.Config{
			Certificates: []tls.Certificate{pair},
			MinVersion:   tls.VersionTLS12,
		})
	}
	h.loops.Go(func() {
		// Serve returns http.ErrServerClosed when the host stops.
		_ = h.http.Serve(l)
	})
	return nil
}

func (h *Host) hello() messenger.Hello {
	return messenger.Hello{
		Token:       h.cfg.Settings.PeerToken,
		Host:        h.cfg.Settings.Host,
		Domain:      h.cfg.Settings.Domain,
		Incarnation: h.cfg.Incarnation,
	}
}

// checkReady returns an error while this host does not accept submissions. It logs when the host is
// ready for the first time.
func (h *Host) checkReady() *Error {
	_, _, knowsEvacuations := h.evacuations.get()
	switch {
	case h.stopping.Load():
		return notReady("the host is stopping")
	case h.documents.get(validator.Production) == nil && h.documents.get(validator.Trial) == nil:
		return notReady("no environment document is in force")
	case !slices.Contains(h.domains(), h.cfg.Settings.Domain):
		return notReady("the environment document does not name the failure domain " + h.cfg.Settings.Domain)
	case !h.members.view().Has(h.self):
		return notReady("the host is not yet a member of its failure domain's view")
	case !h.claimsSynced():
		return notReady("the host is still reading the claims of its failure domain")
	case !knowsEvacuations:
		return notReady("the host does not know the evacuations yet")
	}
	if !h.ready.Swap(true) {
		reporter.Log(context.Background(), h.log, reporter.HostReady)
	}
	return nil
}

// maxBody returns the maximum size of the body of a submission to an environment, in bytes.
func (h *Host) maxBody(environment string) int64 {
	if active := h.documents.get(environment); active != nil {
		return active.Document.Limits.MaxBody
	}
	return defaultMaxBody
}

// Stop performs a planned stop: the host is no longer ready, leaves the view so that other hosts own
// its upstreams, and waits for requests in flight and running tasks. If ctx is done before, it
// returns an error. The host is closed in any case; a replica then commits and closes its journal.
func (h *Host) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	reporter.Log(ctx, h.log, reporter.HostStopping)
	h.leaveView(ctx)
	h.dispatcher.post(h.syncUpstreams)
	err := h.inFlight.wait(ctx)
	if shutdown := h.http.Shutdown(ctx); err == nil {
		err = shutdown
	}
	if graceful := h.listener.Shutdown(ctx); err == nil {
		err = graceful
	}
	h.close()
	reporter.Log(ctx, h.log, reporter.HostStopped)
	return err
}

// Kill ends the host at once: requests in flight are aborted, and the host stays in the view until its
// peers exclude it.
func (h *Host) Kill() {
	h.stopping.Store(true)
	h.close()
}

// close ends all goroutines and closes the listeners, the connections and the replica.
func (h *Host) close() {
	h.cancel()
	if h.http != nil {
		// Open connections are aborted. The host ends, so that an error has no consequence.
		_ = h.http.Close()
	}
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for _, p := range h.peers {
		_ = p.conn.Close()
	}
	h.loops.Wait()
	h.runner.endStops()
	h.dispatcher.cancelAll()
	h.background.Wait()
	if h.replica != nil {
		h.replica.Close()
	}
	h.metrics.Close()
	h.runner.close()
}
