// Package controller is a control host: a member of the control plane, which replicates the
// operator's document and the evacuated failure domains on the disks of the control hosts, and
// distributes the lists of hosts and upstreams.
//
// Operators and upstreams may use any control host. A document or an evacuation is acknowledged once a
// majority of the replicas has stored it; a read returns the newest one or an error. Reports of upstreams are
// held in memory and sent to all hosts that poll for updates.
//
// All exported methods are safe for concurrent use.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/publisher"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/replicator"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// documentRegister is the name of the register that holds the operator's document.
	documentRegister = "document"
	// registerFolder is the subfolder of the data folder that holds the journal of the registers.
	registerFolder = "registers"
	// callTimeout bounds one call of the quorum protocol, including the synced write of the other
	// replica. A lost replica must not delay a change for long, since operators wait one second
	// for a reply.
	callTimeout = 500 * time.Millisecond
	// repairEvery is the time between two attempts to repair an empty replica, or to initialise it
	// at the first start. It is short since the host serves no document before.
	repairEvery = 200 * time.Millisecond
	// syncEvery is the time between two exchanges of a replica with the others.
	syncEvery = time.Second
)

// publishBuckets are the histogram buckets for the duration of Publish: from that of one synced
// write up to the time after which operators try another host.
var publishBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 12)

// Config describes a control host.
type Config struct {
	// Self is the first report of this host. Its Incarnation must grow with each start. Its
	// Address identifies the replica.
	Self discoverer.Host
	// Seeds are the addresses of some control hosts, which may include this one. At the first
	// start of the system all control hosts must have the same seeds, which become the replicas.
	Seeds []string
	// Token is the secret that all hosts share.
	Token string
	// Folder is the data folder.
	Folder string
	// Replicas is the wanted size of the replica set. With fewer control hosts the set is smaller.
	Replicas int
	// Bootstrap says that the whole system starts for the first time.
	Bootstrap bool
	// Journal, if set, may change how the journal of the registers writes and syncs.
	Journal func(cfg *journaler.Config)
	Log     *slog.Logger
	// Metrics receives the metrics of the host.
	Metrics *reporter.Metrics
	// Now returns the current time.
	Now func() time.Time
}

// Host is a running control host.
type Host struct {
	cfg       Config
	log       *slog.Logger
	replica   *replicator.Replica
	publisher *publisher.Publisher
	evacuator *evacuator.Evacuator
	listener  *messenger.Listener
	poller    *poller.Poller
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	startedAt time.Time
	stored    upstreamStore

	mu        sync.Mutex
	self      discoverer.Host
	hosts     *discoverer.List[discoverer.Host]
	upstreams *discoverer.List[discoverer.Upstream]
	// placers holds the addresses of the entry hosts that are or were the placer of their domain.
	placers  map[string]bool
	document publisher.Document
	// documents serves the document to other hosts.
	documents poller.DocumentSource
	// evacuations is the newest state of evacuations that this host has learned. evacuationsKnown is set
	// while it may have missed none that was acknowledged; see learnEvacuations.
	evacuations      evacuator.State
	evacuationsKnown bool
	// evacuationsUnreadable is set while the newest entry of the evacuations on this replica cannot be read.
	evacuationsUnreadable bool
	// updated is closed and replaced when a list, the document or the evacuations change.
	updated chan struct{}
	// polling holds the addresses of the control hosts that this one polls.
	polling map[string]bool
	// peers holds the connections for the quorum protocol, by address.
	peers map[string]*messenger.Peer
	// responded holds the control hosts that have answered a poll, unresponsiveSince the time at
	// which a control host ceased to answer.
	responded         map[string]bool
	unresponsiveSince map[string]time.Time
}

// New starts a control host. When it returns, the host accepts connections on its internal address.
func New(cfg Config) (*Host, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg:               cfg,
		log:               cfg.Log,
		ctx:               ctx,
		cancel:            cancel,
		startedAt:         cfg.Now(),
		stored:            newUpstreamStore(cfg.Folder),
		self:              cfg.Self,
		hosts:             discoverer.NewList[discoverer.Host](),
		upstreams:         discoverer.NewList[discoverer.Upstream](),
		placers:           map[string]bool{},
		updated:           make(chan struct{}),
		polling:           map[string]bool{},
		peers:             map[string]*messenger.Peer{},
		responded:         map[string]bool{},
		unresponsiveSince: map[string]time.Time{},
	}
	h.poller = &poller.Poller{
		Self:                h.selfReport,
		Token:               cfg.Token,
		Apply:               h.applyUpdates,
		ReachabilityChanged: h.setReachable,
		Log:                 cfg.Log,
	}
	h.hosts.Put(cfg.Now(), cfg.Self)
	h.loadUpstreams(cfg.Now())
	var err error
	h.replica, err = replicator.Open(replicator.Config{
		ID:               cfg.Self.Address,
		Replicas:         h.initialReplicas(),
		Bootstrap:        cfg.Bootstrap && h.isSeed(),
		Call:             h.callReplica,
		OnDecided:        h.applyDecided,
		Folder:           filepath.Join(cfg.Folder, registerFolder),
		ConfigureJournal: cfg.Journal,
		RepairEvery:      repairEvery,
		SyncEvery:        syncEvery,
		Log:              cfg.Log,
		Now:              cfg.Now,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	h.publisher = &publisher.Publisher{Store: h.registerStore(documentRegister)}
	h.evacuator = &evacuator.Evacuator{Store: h.registerStore(evacuator.Register)}
	h.listener, err = messenger.Listen(cfg.Self.Address, messenger.Config{
		Local:        h.hello(),
		Handle:       h.handle,
		WriteTimeout: time.Second,
	})
	if err != nil {
		cancel()
		h.replica.Close()
		return nil, err
	}
	h.wg.Go(func() { h.replica.Run(ctx) })
	h.wg.Go(func() { h.maintainReplicas(ctx) })
	h.wg.Go(func() { h.learnEvacuations(ctx) })
	h.wg.Go(func() { h.storeUpstreams(ctx) })
	h.mu.Lock()
	for _, seed := range cfg.Seeds {
		h.startPolling(seed)
	}
	h.mu.Unlock()
	return h, nil
}

// registerStore returns the register with the name. The replica creates its registers anew after a failed write.
func (h *Host) registerStore(name string) registrar.Store {
	return registrar.Store{
		Register: name,
		Read: func(ctx context.Context, now time.Time, register string) (registrar.Entry, error) {
			return h.replica.Registers().Read(ctx, now, register)
		},
		Change: func(ctx context.Context, now time.Time, c registrar.Change) (registrar.Result, error) {
			return h.replica.Registers().Change(ctx, now, c)
		},
	}
}

func (h *Host) hello() messenger.Hello {
	return messenger.Hello{
		Token:       h.cfg.Token,
		Host:        h.cfg.Self.ID,
		Domain:      h.cfg.Self.Domain,
		Incarnation: h.cfg.Self.Incarnation,
	}
}

func (h *Host) isSeed() bool { return slices.Contains(h.cfg.Seeds, h.cfg.Self.Address) }

// initialReplicas returns the replica set of the first start. A host that is not in that set gets
// itself and the seeds, from which it fetches the state of the registers.
func (h *Host) initialReplicas() []string {
	if h.isSeed() {
		return h.cfg.Seeds
	}
	return append([]string{h.cfg.Self.Address}, h.cfg.Seeds...)
}

// Close stops the host at once and waits until its goroutines have ended. Other hosts are not
// notified; see BeginDrain.
func (h *Host) Close() {
	h.cancel()
	// An error of closing the listener is of no use: the host stops anyway.
	_ = h.listener.Close()
	h.wg.Wait()
	h.replica.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		_ = p.Close()
	}
}

// ErrNotReady is returned by the methods for operators while the replica of this host does not vote.
var ErrNotReady = errors.New("the replica of this host is not ready")

// Publish stores a document unless a version that is at least as high is stored. After ErrNotReady
// nothing was changed; after any other error the document may or may not take effect. The argument
// who names the operator in the audit trail.
func (h *Host) Publish(ctx context.Context, who string, d publisher.Document) error {
	if !h.replica.Votes() {
		return ErrNotReady
	}
	began := h.cfg.Now()
	held, err := h.publisher.Publish(ctx, began, who, d)
	took := h.cfg.Now().Sub(began)
	result := "stored"
	if err != nil {
		result = "unknown"
	}
	scope := h.cfg.Metrics.Scope.Tagged(map[string]string{"result": result})
	scope.Counter("documents").Inc(1)
	scope.Histogram("document_time", publishBuckets).RecordDuration(took)
	reporter.Log(ctx, h.log, reporter.ConfigurationChanged, "who", who, "version", d.Version, "held", held,
		"error", err, "took", took)
	return err
}

// Newest returns the newest document by a majority read, or an error if no majority of the replicas
// answers. The version is 0 before the first document.
func (h *Host) Newest(ctx context.Context) (publisher.Document, error) {
	if !h.replica.Votes() {
		return publisher.Document{}, ErrNotReady
	}
	return h.publisher.Newest(ctx, h.cfg.Now())
}

// ReportUpstream records the report of an upstream and distributes it if it changes anything. It returns after a
// report of an upstream that is leaving is stored, unless that takes too long: hosts that restart must not
// place tasks there.
func (h *Host) ReportUpstream(u discoverer.Upstream) {
	if written := h.recordUpstream(u); written != nil {
		select {
		case <-written:
		case <-time.After(storeTimeout):
		case <-h.ctx.Done():
		}
	}
}

// recordUpstream returns a channel that is closed after the report is stored, or nil if it need not be awaited.
func (h *Host) recordUpstream(u discoverer.Upstream) <-chan struct{} {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg.Metrics.Scope.Counter("upstream_reports").Inc(1)
	if !h.upstreams.Put(now, u) {
		if u.State != discoverer.Serving && h.stored.written != h.stored.changes {
			// Another control host has sent the report, which may not be stored yet.
			return h.storeNow()
		}
		return nil
	}
	reporter.Log(context.Background(), h.log, reporter.UpstreamAnnounced, "upstream", u.ID, "state", u.State, "life", u.Incarnation,
		"report", u.ReportSeq, "address", u.Address)
	h.notifyPollers()
	if u.State != discoverer.Serving {
		return h.storeNow()
	}
	h.storeSoon()
	return nil
}

// Upstream returns the newest report of the upstream with the identifier, or false if there is none.
func (h *Host) Upstream(id string) (discoverer.Upstream, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstreams.Get(id)
}

// notifyPollers wakes the open polls, which then reply with the updates. The caller holds h.mu.
func (h *Host) notifyPollers() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// applyDecided records a decided entry of the registers of the document and of the evacuations, and
// distributes it if its version is newer.
func (h *Host) applyDecided(e registrar.Entry) {
	switch e.Register {
	case documentRegister:
		h.applyDocument(publisher.Decode(e.Value))
	case evacuator.Register:
		h.applyEvacuations(e)
	}
}

func (h *Host) applyDocument(d publisher.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Version <= h.document.Version {
		return
	}
	h.document = d
	h.documents.Set(poller.Document{
		Version: d.Version,
		Content: d.Content,
	})
	h.notifyPollers()
}

// handle serves the requests of other hosts: polls, fetches of the document and messages of the quorum
// protocol.
func (h *Host) handle(ctx context.Context, _ messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
	switch kind {
	case messenger.KindUpdates:
		var req poller.Request
		if err := messenger.Decode(body, &req); err != nil {
			return nil, err
		}
		return messenger.Encode(h.handlePoll(ctx, req))
	case messenger.KindDocument:
		return h.documents.Handle(body)
	case messenger.KindRegisterStep:
		var r registrar.Request
		if err := messenger.Decode(body, &r); err != nil {
			return nil, err
		}
		return messenger.Encode(h.replica.Registers().Handle(h.cfg.Now(), r))
	default:
		return nil, &messenger.RemoteError{
			Code:    "not-served",
			Message: "a control host does not serve messages of kind " + kind.String(),
		}
	}
}

// callReplica sends a request of the quorum protocol to another replica and returns its reply.
func (h *Host) callReplica(ctx context.Context, replica string, r registrar.Request) (registrar.Reply, error) {
	var reply registrar.Reply
	body, err := messenger.Encode(r)
	if err != nil {
		return reply, fmt.Errorf("message to replica %s: %w", replica, err)
	}
	answer, err := h.peer(replica).CallWithTimeout(ctx, callTimeout, messenger.KindRegisterStep, body)
	if err != nil {
		return reply, err
	}
	return reply, messenger.Decode(answer, &reply)
}

// peer returns the connection for the quorum protocol to another host, which it creates on first use.
func (h *Host) peer(address string) *messenger.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		p = messenger.NewPeer(address, messenger.Config{
			Local:        h.hello(),
			DialTimeout:  callTimeout,
			MaxBackoff:   repairEvery,
			WriteTimeout: time.Second,
		})
		h.peers[address] = p
	}
	return p
}
