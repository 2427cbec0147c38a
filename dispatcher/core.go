package dispatcher

import (
	"context"
	"log/slog"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/router"
)

// Time settings of an entry host.
const (
	// watchRetryInterval is the time between two watch requests for a run whose upstream has a new
	// leaseholder.
	watchRetryInterval = 300 * time.Millisecond
	// placementRetryInterval is the time after which a placement request for waiting tasks is sent
	// again. It may have been lost while the placer changed.
	placementRetryInterval = time.Second
	// minDiscoveryTime and maxDiscoveryTime bound the time from the first update to the choice of
	// a placer. A process may start 0.3 s after the others; the longer time applies while there
	// is no session yet with a listed host.
	minDiscoveryTime = 100 * time.Millisecond
	maxDiscoveryTime = 500 * time.Millisecond
	// reacquireDelay is how long a host whose upstream was acquired by another one waits before
	// it acquires the upstream again if that is still assigned to it.
	reacquireDelay = 500 * time.Millisecond
	// isolationWindow is how long a lost host counts as possibly partitioned; after that it counts
	// as down. Machines are reachable again within that time.
	isolationWindow = 10 * time.Second
	// pauseThreshold is the time between two calls of the Core after which its process counts as suspended
	// meanwhile. The other hosts may regard it as lost after hardly more than that.
	pauseThreshold = SuspectAfter / 2
	// settleTime is how long a host that has resumed neither chooses a leader nor assigns upstreams. The
	// sessions that the others have ended begin again within that time.
	settleTime = 160 * time.Millisecond
	// maxSettleTime bounds that time if the process is suspended again and again.
	maxSettleTime = time.Second
	// lossGatherDelay is the time within which an isolated host detects the loss of all peers that it
	// watches closely: the last exchanges with them are at most so far apart.
	lossGatherDelay = 160 * time.Millisecond
)

// CoreConfig is the configuration of a Core.
type CoreConfig struct {
	// Self is this host; its Incarnation grows with each start.
	Self discoverer.Host
	// LeaseConfig holds the time settings of leases on upstreams.
	LeaseConfig leaseholder.Config
	// UpstreamsPerShard is the wanted size of a shard; upstreamsPerShard if it is zero. All hosts of a
	// domain must have the same.
	UpstreamsPerShard int
	// EvacuateWithin is the time from an order until no task starts in an evacuated domain, or zero if the
	// deployment has no evacuations. If it is set, no task starts through this host before it knows them.
	EvacuateWithin time.Duration
	// Parse decodes and validates a published document.
	Parse func(content []byte) (*router.Document, error)
	Log   *slog.Logger
}

// Effects holds the functions through which a Core acts. None of them may block or call the Core.
type Effects struct {
	// Post sends a message in the session with a host. It returns false if there is no session.
	Post func(to string, m courier.Message) bool
	// Connect starts maintaining a session with a host, Disconnect ends it.
	Connect, Disconnect func(address string)
	// Watch sets how closely a connected host is observed.
	Watch func(address string, w courier.Watch)
	// EndSession ends the session with a process of a host that is lost; the next one may begin.
	EndSession func(address string, incarnation uint64)
	// StartPolling starts polling a control host for updates, StopPolling ends it.
	StartPolling, StopPolling func(address string)
	// SelfChanged is called when the report about this host has changed.
	SelfChanged func(self discoverer.Host)
	// Order sends an order to an upstream. done is called once, with the response or, after the
	// timeout of the order, with the status NoResponse.
	Order func(u discoverer.Upstream, o leaseholder.Order, done func(now time.Time, resp leaseholder.Response))
	// FetchDocument asks a host for a document of the given version or a newer one. done is called
	// once, with the document or an error.
	FetchDocument func(address string, version uint64, done func(now time.Time, d FetchedDocument))
	// DocumentApplied is called with each newer document, in order.
	DocumentApplied func(d FetchedDocument)
}

// Core makes all decisions of an entry host and does no I/O. Its calls carry the current time, and
// it acts through the functions of Effects. It is not safe for concurrent use. The caller must call
// Flush after one or more other calls.
type Core struct {
	cfg     CoreConfig
	effects Effects
	log     *slog.Logger
	// localMessages holds the handlers of messages from this host to itself.
	localMessages []func(now time.Time)
	stats         Stats

	self      discoverer.Host
	hosts     *discoverer.List[discoverer.Host]
	upstreams *discoverer.List[discoverer.Upstream]
	table     *router.Table
	published poller.Document
	documents documentFetcher
	// evacuations is the newest state of evacuations that this host has received. A state is never replaced
	// by an older one.
	evacuations evacuations
	// coldUntil holds the times until which upstreams remain slow after their domain was taken back.
	coldUntil map[string]time.Time
	startedAt time.Time
	// snapshotRequestedAt is when this host last asked a peer for its lists; zero before.
	snapshotRequestedAt time.Time
	// sessions holds the hosts with which there is a session.
	sessions map[string]bool
	// peers holds the hosts of the domain with which there is a session, and whether they are
	// eligible.
	peers map[string]bool
	// joined holds the peers that have applied an assignment, or are ready to, since their start.
	joined map[string]bool
	// peerLosses holds the hosts of the domain with which a session has ended.
	peerLosses map[string]peerLoss
	// monitors holds the hosts that all others watch closely, closelyWatched the peers that this
	// host watches closely. Until watchAllUntil, if it is set, it watches all of them.
	monitors       []string
	closelyWatched map[string]bool
	watchAllUntil  time.Time
	// reorganizeAt is when leader and leaseholders are chosen again after the loss of hosts; zero
	// if no loss is pending.
	reorganizeAt time.Time
	polling      map[string]bool
	// lastActive is the time of the last call. settlingSince is when the process resumed, and settleUntil
	// the end of the time in which it settles; both are zero unless it has been suspended.
	lastActive, settlingSince, settleUntil time.Time
	// reachableControls holds the control hosts that respond.
	reachableControls map[string]bool
	draining          bool
	// unhealthy is set while this host is too slow to be leader or placer or to hold upstreams.
	unhealthy bool
	// firstUpdateAt is when this host received the first update about others; zero before.
	firstUpdateAt     time.Time
	discoveryComplete bool
	// storedReportsExpired is set once upstreams of which only a stored report is known count as gone.
	storedReportsExpired bool
	// controlsHeardSince is when this host began to hear from control hosts, without an interruption since; zero while
	// none responds.
	controlsHeardSince time.Time

	// upstreamsLost is set if other hosts have acquired upstreams of this host while it was
	// isolated.
	upstreamsLost bool
	// leaderAddress is the address of the leader of the domain, which decides on assigned.
	leaderAddress string
	assigned      assignment

	jobs map[string]*job
	held map[string]*heldUpstream
	// acquireLater is set while upstreams that are assigned to this host wait until it has settled.
	acquireLater bool
	// tenure is that of this host; tenureCheck is the check that is in flight.
	tenure      leaseholder.Tenure
	tenureCheck pendingTenureCheck
	// claimRounds holds the requests for claims that not all hosts have answered, by their numbers, of which
	// lastClaimRound is the last one.
	claimRounds    map[uint64]*claimRound
	lastClaimRound uint64
	// touched holds the upstreams whose sessions were called since the last Flush.
	touched []*heldUpstream
	// lastTokens holds the fencing token that was last used for each upstream.
	lastTokens     map[string]uint64
	progressSentAt time.Time

	placer *placer.Placer // nil unless this host is a placer
	shard  int            // index of the shard of this placer
	// readyReporter is, for each ready upstream, the host that reported it ready to the placer.
	readyReporter map[string]string
	remotePlacers map[string]*remotePlacer
	relays        map[string]relay
	// redirects holds the jobs of this shard that other placers place. homesNotified holds, for jobs that
	// this placer places for another shard, the placer of that shard that was told so.
	redirects     map[string]redirection
	homesNotified map[string]string
	// redirectsPrunedAt is when redirects was last searched for jobs to forget.
	redirectsPrunedAt time.Time
	// capacitySent holds the free capacity that was last sent to each other placer.
	capacitySent map[string]sentCapacity
	// cancelledForwards holds the forwards of jobs that were cancelled or lost here.
	cancelledForwards map[string]cancelledForward
	// earlierForwards holds the forwards of jobs of this shard that were not relayed by this host.
	earlierForwards map[string]earlierForward
	// endedForwards holds the ends of jobs of other domains.
	endedForwards map[string]endedForward
}

// NewCore returns the Core of an entry host that starts polling the control hosts in seeds.
func NewCore(cfg CoreConfig, effects Effects, now time.Time, seeds []string) *Core {
	if cfg.UpstreamsPerShard <= 0 {
		cfg.UpstreamsPerShard = upstreamsPerShard
	}
	cfg.Self.Shards = true
	c := &Core{
		cfg:               cfg,
		effects:           effects,
		log:               cfg.Log,
		stats:             newStats(),
		self:              cfg.Self,
		hosts:             discoverer.NewList[discoverer.Host](),
		upstreams:         discoverer.NewList[discoverer.Upstream](),
		documents:         newDocumentFetcher(),
		coldUntil:         map[string]time.Time{},
		startedAt:         now,
		sessions:          map[string]bool{},
		peers:             map[string]bool{},
		peerLosses:        map[string]peerLoss{},
		closelyWatched:    map[string]bool{},
		polling:           map[string]bool{},
		reachableControls: map[string]bool{},
		jobs:              map[string]*job{},
		held:              map[string]*heldUpstream{},
		claimRounds:       map[uint64]*claimRound{},
		joined:            map[string]bool{},
		lastTokens:        map[string]uint64{},
		readyReporter:     map[string]string{},
		remotePlacers:     map[string]*remotePlacer{},
		relays:            map[string]relay{},
		redirects:         map[string]redirection{},
		homesNotified:     map[string]string{},
		capacitySent:      map[string]sentCapacity{},
		cancelledForwards: map[string]cancelledForward{},
		earlierForwards:   map[string]earlierForward{},
		endedForwards:     map[string]endedForward{},
	}
	c.hosts.Put(now, cfg.Self)
	for _, seed := range seeds {
		c.startPolling(seed)
	}
	return c
}

func (c *Core) logEvent(e reporter.Event, args ...any) {
	reporter.Log(context.Background(), c.log, e, args...)
}

// Flush delivers local messages and sends the decisions and orders that are pending.
func (c *Core) Flush(now time.Time) {
	c.noticePause(now)
	for {
		local := c.localMessages
		c.localMessages = nil
		for _, step := range local {
			step(now)
		}
		c.sendDecisions(now)
		c.sendOrders(now)
		if len(c.localMessages) == 0 && len(c.touched) == 0 {
			return
		}
	}
}

// noticePause detects that the process was suspended since the last call. The steady clock may have stood
// still meanwhile, so the wall clock counts, too; a step of it has the same effect and does no harm.
//
// What a host concludes from silence right after a pause says nothing about the others: it has not heard
// them because it was suspended, and they have probably replaced it. So it settles first.
func (c *Core) noticePause(now time.Time) {
	last := c.lastActive
	c.lastActive = now
	pause := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if last.IsZero() || pause < pauseThreshold {
		return
	}
	c.stats.Pauses++
	c.logEvent(reporter.HostResumed, "after", pause)
	if c.settlingSince.IsZero() || now.Sub(c.settlingSince) >= maxSettleTime {
		c.settlingSince = now
	}
	c.settleUntil = now.Add(settleTime)
	if latest := c.settlingSince.Add(maxSettleTime); latest.Before(c.settleUntil) {
		c.settleUntil = latest
	}
}

// settling reports whether this host has just resumed.
func (c *Core) settling(now time.Time) bool { return now.Before(c.settleUntil) }

// postpones reports whether this host is settling. If so, the domain is reorganized after that.
func (c *Core) postpones(now time.Time) bool {
	if !c.settling(now) {
		return false
	}
	if c.reorganizeAt.Before(c.settleUntil) {
		c.reorganizeAt = c.settleUntil
	}
	return true
}

// Tick handles everything that has become due: timeouts, retries, renewals and periodic reports.
func (c *Core) Tick(now time.Time) {
	c.noticePause(now)
	if !c.discoveryComplete {
		c.chooseLeader(now)
	}
	if !c.reorganizeAt.IsZero() && !now.Before(c.reorganizeAt) {
		c.reorganizeAt = time.Time{}
		c.reorganize(now)
	}
	c.tickWatches(now)
	c.upstreamsLost = c.upstreamsLost && c.isolated(now)
	c.fetchDocument(now)
	c.tickJobs(now)
	c.pruneEndedForwards(now)
	c.pruneCancelledForwards(now)
	c.tickHeld(now)
	c.tickStoredReports(now)
	c.tickTenure(now)
	c.requestClaims(now)
	c.reportProgress(now)
	if c.placer != nil {
		c.placer.Tick(now)
		c.sendFreeCapacity(now)
		c.pruneRedirects(now)
	}
	c.disconnectRetired()
}

// Busy reports whether this host has jobs, runs or work that is not complete, so that Tick is to be
// called often.
func (c *Core) Busy() bool {
	if len(c.jobs) > 0 || !c.discoveryComplete || !c.reorganizeAt.IsZero() || c.placer != nil && c.placer.WaitingJobs() > 0 {
		return true
	}
	for _, h := range c.held {
		if h.session.Busy() {
			return true
		}
	}
	return false
}

// send sends a message to a host, which may be this one. A message to a host without a session is
// dropped, and send then returns false; the handler of the session's end deals with the loss.
func (c *Core) send(to string, kind courier.Kind, v any) bool {
	if to == c.cfg.Self.Address {
		c.localMessages = append(c.localMessages, func(now time.Time) { c.receive(now, to, v) })
		return true
	}
	body, err := messenger.Encode(v)
	if err != nil {
		panic("dispatcher: encode message: " + err.Error())
	}
	return c.effects.Post(to, courier.Message{
		Kind: kind,
		Body: body,
	})
}

// Waiting returns the number of jobs of a queue whose callers are connected to this host
// and none of whose tasks can have started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.tracker.Job.Queue == queue && !j.tracker.Started() {
			n++
		}
	}
	return n
}

// State returns "queued" or "running" for a job whose callers are connected to this host.
func (c *Core) State(id string) (state string, found bool) {
	j := c.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.tracker.Started():
		return "running", true
	default:
		return "queued", true
	}
}

// NotReady returns why this host should not receive new callers, or "" if it is ready.
func (c *Core) NotReady() string {
	switch {
	case c.draining:
		return "the host is stopping"
	case c.table == nil:
		return "no document is in force"
	case len(c.assigned.Leaseholders) == 0:
		return "no upstream is known"
	case c.unhealthy:
		return "the machine is slow"
	case c.upstreamsLost:
		return "the host is cut off from the others of its failure domain"
	default:
		return ""
	}
}

// Holds reports whether this host holds an upstream.
func (c *Core) Holds(upstream string) bool { return c.held[upstream] != nil }

// BeginDrain starts a planned stop: the other hosts of the domain take over the roles and the upstreams
// of this host. Jobs that callers still submit are served.
func (c *Core) BeginDrain(now time.Time) {
	c.draining = true
	c.sendEligibility()
	c.reorganize(now)
}

// Remaining returns the number of jobs that this host still tracks plus that of upstreams that it
// still holds.
func (c *Core) Remaining() int { return len(c.jobs) + len(c.held) }
