// Package emulator is a deterministic simulation of entry hosts, upstreams, callers and the network
// between them, in simulated time and in one goroutine.
//
// The hosts run the Core of package dispatcher and the sessions of package courier, the code that
// the daemons run. Upstreams measure leases on their own clocks and check fencing tokens, free
// capacity and stale runs. Control hosts are reduced to shared lists, from which every host that
// can reach a control host receives updates. Faults are injected by the caller or drawn from the
// seed. A Simulation checks the guarantees to callers while it runs, from what callers and
// upstreams observe, and records each violation with its time. The same configuration and calls
// give the same run.
package emulator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/dispatcher"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/router"
	"sesamedrift.example/sesamedrift/sequencer"
)

// Intervals and limits of the simulation.
const (
	// updateInterval is the interval at which hosts receive updates from control hosts.
	updateInterval = 50 * time.Millisecond
	// resubmitDelay is how long a caller waits before it resends a job: after its connection broke,
	// after the answer that the job was lost, expired or abandoned, or if no host was ready.
	resubmitDelay = 1300 * time.Millisecond
	// longRunTime is the run time of the tasks of long jobs. It exceeds every timeout after which
	// orphaned runs are taken to have ended, so such a run is still active if it was not stopped.
	longRunTime = 5 * time.Second
	// maxQueue is the maximum number of messages queued in a session.
	maxQueue = 1 << 16
	// controlName stands for all control hosts in links.
	controlName = "control"
)

// LeaseConfig is the lease configuration of all emulated hosts, for upstreams that grant leases of
// at most 1 s and take 50 ms to stop a run.
var LeaseConfig = dispatcher.LeaseConfig(time.Second, 50*time.Millisecond)

// Config holds the size, load and seed of a simulation.
type Config struct {
	Seed uint64
	// Domains is the number of failure domains; Hosts and Upstreams are the numbers in each of them.
	Domains, Hosts, Upstreams int
	// Strengths holds the strengths of the hosts of each domain in thousandths of a core; nil if they are not known.
	Strengths []int64
	// JobsPerSecond is the mean arrival rate of jobs in each domain.
	JobsPerSecond float64
	// LongJobShare is the share of jobs, from 0 to 1, whose tasks run for longRunTime.
	LongJobShare float64
	// ResubmitElsewhere makes callers resend their jobs to hosts of other domains.
	ResubmitElsewhere bool
	// UpstreamsPerShard is that of dispatcher.CoreConfig.
	UpstreamsPerShard int
	// KeepUpstreamIDs makes upstreams restart under the identifier that they had, soon after a crash.
	KeepUpstreamIDs bool
	// MaxReportDelay bounds the time until control hosts receive the first report of an upstream that has
	// restarted.
	MaxReportDelay time.Duration
	// EvacuateWithin is that of dispatcher.CoreConfig.
	EvacuateWithin time.Duration
	// Disturbances are faults that go on through the whole simulation.
	Disturbances Disturbances
	// Duration is the simulated time at which jobs stop arriving.
	Duration time.Duration
	// Log receives the logs of hosts, upstreams and faults; nil discards them.
	Log io.Writer
}

// Epoch is the wall-clock time at which every simulation starts.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Simulation is a simulated system; New returns one. It is not safe for concurrent use.
type Simulation struct {
	// Sequencer provides the simulated time and runs the events.
	sequencer.Sequencer
	cfg Config
	rng *rand.Rand
	// disturbanceRng is apart from rng, so that seeds keep their course without disturbances.
	disturbanceRng *rand.Rand

	Hosts     []*Host
	Upstreams []*UpstreamServer
	// hosts, upstreams and document are what control hosts publish.
	hosts          *discoverer.List[discoverer.Host]
	upstreams      *discoverer.List[discoverer.Upstream]
	document       poller.Document
	parsedDocument *router.Document
	// evacuations is the state that control hosts publish. They always know it.
	evacuations evacuator.State
	// ControlDown makes all control hosts unreachable while it is set.
	ControlDown bool
	// lastArrival is when the last batch between two hosts arrives.
	lastArrival map[[2]string]time.Duration
	// cutLinks is the set of directed links, as sender and receiver, on which messages are lost.
	cutLinks map[[2]string]bool

	jobs       map[string]*callerJob
	invariants *invariantChecker
	// Counts holds the numbers of jobs by outcome so far.
	Counts Counts
}

// Counts holds numbers of jobs. Lost counts the answers that a job was lost, expired or abandoned;
// the caller resends such a job, so that one job may count several times there and once more by its
// final outcome. Unanswered jobs had no final answer by their deadline.
type Counts struct {
	Sent, Complete, Failed, NotRun, Lost, Unanswered int
}

// Host is an entry host, whose process may be running, frozen or down.
type Host struct {
	w           *Simulation
	Name        string
	Domain      string
	Address     string
	incarnation uint64
	strength    int64            // as in discoverer.Host
	core        *dispatcher.Core // nil while the process is down
	// frozenUntil is the simulated time until which the process is suspended.
	frozenUntil time.Duration
	// loopBusyUntil is the simulated time until which the loop of the host handles nothing; its sessions go on.
	loopBusyUntil time.Duration
	// clockOffset is the difference of the host's wall clock from the true time.
	clockOffset time.Duration
	senders     map[string]*sessionSender
	// seenSeqs holds the sequence numbers up to which the host has received the lists of hosts and
	// of upstreams.
	seenSeqs [3]uint64
}

// sessionSender sends the batches of one host's session with another host.
type sessionSender struct {
	session *courier.Session
	// nextSeq numbers the scheduled calls of send; only the latest one has an effect.
	nextSeq int
	// disconnected is set when the host ends the session, closed when its process crashes.
	disconnected bool
	closed       bool
}

// UpstreamServer runs the successive incarnations of one upstream at a fixed address.
type UpstreamServer struct {
	w           *Simulation
	Name        string
	Domain      string
	current     *Upstream // nil while it is down
	incarnation uint64
	reportSeq   uint64
	draining    bool
	// delayedOrderShare is the share of orders that get no response and are executed seconds later.
	delayedOrderShare float64
	timerSeq          int // of the latest scheduled check for ended runs; older checks do nothing
	// pendingPolls holds the long polls that are answered when a run ends.
	pendingPolls []*pendingPoll
}

// pendingPoll is a lease renewal that the upstream answers when a run ends or its maximum wait is
// over.
type pendingPoll struct {
	answer   func()
	answered bool
}

// New returns a simulation at time 0. Its upstreams are running, its hosts start within the first
// 300 ms and its jobs arrive from 1 s on; Run executes it.
func New(cfg Config) *Simulation {
	w := &Simulation{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 7)),
		hosts:     discoverer.NewList[discoverer.Host](),
		upstreams: discoverer.NewList[discoverer.Upstream](),
		cutLinks:  map[[2]string]bool{},

		disturbanceRng: rand.New(rand.NewPCG(cfg.Seed, 11)),
		lastArrival:    map[[2]string]time.Duration{},
		jobs:           map[string]*callerJob{},
	}
	w.invariants = newInvariantChecker(w)
	w.parsedDocument = &router.Document{
		Version:  1,
		Services: []router.Service{{Name: "service"}},
	}
	w.document = poller.Document{
		Version: 1,
		Content: []byte("document"),
	}
	for d := range cfg.Domains {
		domain := fmt.Sprint("domain-", d)
		for i := range cfg.Hosts {
			n := &Host{
				w:       w,
				Name:    fmt.Sprintf("host-%d-%d", d, i),
				Domain:  domain,
				Address: fmt.Sprintf("10.%d.0.%d:1", d, i),
			}
			if len(cfg.Strengths) > 0 {
				n.strength = cfg.Strengths[i]
			}
			w.Hosts = append(w.Hosts, n)
			w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), n.Start)
		}
		for i := range cfg.Upstreams {
			s := &UpstreamServer{
				w:      w,
				Name:   fmt.Sprintf("upstream-%d-%02d", d, i),
				Domain: domain,
			}
			w.Upstreams = append(w.Upstreams, s)
			s.Start()
		}
	}
	w.scheduleJobs()
	w.scheduleDisturbances()
	w.Every(updateInterval, w.publishUpdates)
	w.Every(dispatcher.TickEvery, w.invariants.checkPeriodic)
	return w
}

func (w *Simulation) wallTime() time.Time { return Epoch.Add(w.Now()) }

// Violations returns the violated invariants in the order in which they were detected, each with its
// simulated time. Only the first maxViolations are kept.
func (w *Simulation) Violations() []string { return w.invariants.violations }

// CutLink makes all messages from one host or upstream server to another get lost until HealLink.
// The name controlName stands for all control hosts.
func (w *Simulation) CutLink(from, to string) { w.cutLinks[[2]string{from, to}] = true }

// HealLink makes a link that CutLink has cut deliver messages again.
func (w *Simulation) HealLink(from, to string) { delete(w.cutLinks, [2]string{from, to}) }

func (w *Simulation) linkUp(from, to string) bool { return !w.cutLinks[[2]string{from, to}] }

// latency returns the one-way latency of a message between two domains, with random jitter.
func (w *Simulation) latency(from, to string) time.Duration {
	base := 200 * time.Microsecond
	if from != to {
		base = 500 * time.Microsecond
	}
	return base + time.Duration(w.rng.Int64N(int64(200*time.Microsecond)))
}

// SetEvacuated begins or finishes the evacuation of a domain. The order is acknowledged at once.
func (w *Simulation) SetEvacuated(domain string, evacuated bool) {
	if w.evacuations.Evacuated(domain) == evacuated {
		return
	}
	delete(w.invariants.evacuatedSince, domain)
	if evacuated {
		w.invariants.evacuatedSince[domain] = w.wallTime()
	}
	w.evacuations = w.evacuations.With(domain, evacuated, w.evacuations.Version+1)
	w.logger("world").Info("evacuation", "domain", domain, "evacuated", evacuated)
}

// logger returns the logger of a host or upstream, which prints simulated times.
func (w *Simulation) logger(name string) *slog.Logger {
	if w.cfg.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(w.cfg.Log, &slog.HandlerOptions{
		Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("at", fmt.Sprintf("%.4f", w.Now().Seconds()))
			}
			return a
		},
	})).With("host", name)
}

// Start starts a new incarnation of the host's process; it does nothing if the process is running.
func (n *Host) Start() {
	if n.core != nil {
		return
	}
	w := n.w
	n.clockOffset = w.drawClockOffset()
	n.incarnation = uint64(n.wallTime().UnixNano())
	n.senders = map[string]*sessionSender{}
	n.seenSeqs = [3]uint64{}
	incarnation := n.incarnation
	ifRunning := func(do func()) func() {
		return func() {
			if n.core != nil && n.incarnation == incarnation {
				n.runInLoop(do)
			}
		}
	}
	n.core = dispatcher.NewCore(dispatcher.CoreConfig{
		Self: discoverer.Host{
			ID:          n.Name,
			Domain:      n.Domain,
			Role:        discoverer.Entry,
			Address:     n.Address,
			Incarnation: incarnation,
			State:       discoverer.Serving,
			Strength:    n.strength,
		},
		LeaseConfig:       LeaseConfig,
		UpstreamsPerShard: w.cfg.UpstreamsPerShard,
		EvacuateWithin:    w.cfg.EvacuateWithin,
		Parse:             func([]byte) (*router.Document, error) { return w.parsedDocument, nil },
		Log:               w.logger(n.Name),
	}, dispatcher.Effects{
		Post:       n.post,
		Connect:    n.connect,
		Disconnect: n.disconnect,
		Watch: func(address string, w courier.Watch) {
			n.senderTo(address).session.SetWatch(n.wallTime(), w)
		},
		EndSession:   n.endSession,
		StartPolling: func(string) {},
		StopPolling:  func(string) {},
		SelfChanged:  func(discoverer.Host) {},
		Order: func(u discoverer.Upstream, o leaseholder.Order, done func(now time.Time, a leaseholder.Response)) {
			w.sendOrder(n, u, o, func(a leaseholder.Response) {
				n.runWhenUnfrozen(func() {
					if n.wallTime().Sub(o.SentAt) > o.Timeout {
						// The timeout of the order has passed while the host was frozen.
						a = noResponse(o)
					}
					ifRunning(func() {
						done(n.wallTime(), a)
						n.core.Flush(n.wallTime())
					})()
				})
			})
		},
		FetchDocument: func(address string, version uint64, done func(now time.Time, d dispatcher.FetchedDocument)) {
			w.fetchDocument(n, address, version, func(d dispatcher.FetchedDocument) {
				ifRunning(func() {
					done(n.wallTime(), d)
					n.core.Flush(n.wallTime())
				})()
			})
		},
		DocumentApplied: func(dispatcher.FetchedDocument) {},
	}, n.wallTime(), nil)
	var tick func()
	tick = ifRunning(func() {
		n.core.Tick(n.wallTime())
		n.core.Flush(n.wallTime())
		w.After(dispatcher.TickEvery, tick)
	})
	tick()
}

// runWhenUnfrozen calls do now, or once the host resumes if it is frozen.
func (n *Host) runWhenUnfrozen(do func()) {
	if n.frozenUntil > n.w.Now() {
		n.w.At(n.frozenUntil, func() {
			if n.core != nil {
				n.runWhenUnfrozen(do)
			}
		})
		return
	}
	do()
}

// runInLoop calls do now, or once the loop of the host is free, after what was deferred before. It drops do if the
// process ends meanwhile.
func (n *Host) runInLoop(do func()) {
	incarnation := n.incarnation
	n.runWhenUnfrozen(func() {
		if n.loopBusyUntil <= n.w.Now() {
			do()
			return
		}
		n.w.At(n.loopBusyUntil, func() {
			if n.core != nil && n.incarnation == incarnation {
				n.runInLoop(do)
			}
		})
	})
}

// wallTime returns the time on the wall clock of the host.
func (n *Host) wallTime() time.Time { return n.w.wallTime().Add(n.clockOffset) }

// Kill crashes the host's process: it sends nothing more, and the connections of its callers break.
// It does nothing if the process is down.
func (n *Host) Kill() {
	if n.core == nil {
		return
	}
	n.core = nil
	for _, c := range n.senders {
		c.closed = true
	}
	n.w.handleHostCrash(n)
}

// Freeze suspends the host's process for d. Messages and timers that are due meanwhile are handled
// when it resumes.
func (n *Host) Freeze(d time.Duration) { n.frozenUntil = n.w.Now() + d }

// Drain starts a graceful shutdown of the host; it does nothing if the process is down.
func (n *Host) Drain() {
	if n.core != nil {
		n.core.BeginDrain(n.wallTime())
		n.core.Flush(n.wallTime())
	}
}

// Up reports whether the host's process is running; a frozen one is.
func (n *Host) Up() bool { return n.core != nil }

func (w *Simulation) hostByAddress(address string) *Host {
	for _, n := range w.Hosts {
		if n.Address == address {
			return n
		}
	}
	return nil
}

func (n *Host) connect(address string) { n.senderTo(address) }

func (n *Host) senderTo(address string) *sessionSender {
	if c := n.senders[address]; c != nil {
		if c.disconnected {
			c.disconnected = false
			n.scheduleSend(address, c, 0)
		}
		return c
	}
	c := &sessionSender{
		session: &courier.Session{
			Self:        n.Address,
			Peer:        address,
			Incarnation: n.incarnation,
			ResendAfter: dispatcher.ResendAfter,
			MaxQueue:    maxQueue,
		},
	}
	c.session.SetWatch(n.wallTime(), dispatcher.CloseWatch)
	n.senders[address] = c
	n.scheduleSend(address, c, 0)
	return c
}

// scheduleSend makes the host send what is due in a session after a time.
func (n *Host) scheduleSend(address string, c *sessionSender, after time.Duration) {
	c.nextSeq++
	seq := c.nextSeq
	n.w.After(after, func() {
		if c.nextSeq == seq {
			n.runWhenUnfrozen(func() { n.send(address, c) })
		}
	})
}

func (n *Host) disconnect(address string) {
	c := n.senders[address]
	if c == nil {
		return
	}
	c.disconnected = true
	events := c.session.End()
	// The Core calls disconnect and must not be called back from here.
	n.w.After(0, func() {
		if n.core != nil {
			n.deliver(events)
		}
	})
}

func (n *Host) endSession(address string, incarnation uint64) {
	c := n.senders[address]
	if c == nil || c.session.PeerIncarnation() > incarnation {
		return
	}
	events := c.session.End()
	// The Core calls endSession and must not be called back from here.
	n.w.After(0, func() {
		if n.core != nil && !c.closed {
			n.deliver(events)
		}
	})
	n.scheduleSend(address, c, 0)
}

func (n *Host) post(to string, m courier.Message) bool {
	c := n.senders[to]
	if c == nil || !c.session.Post(m) {
		return false
	}
	n.scheduleSend(to, c, 0)
	return true
}

func (n *Host) deliver(events []courier.Event) {
	if len(events) == 0 {
		return
	}
	n.runInLoop(func() {
		for _, e := range events {
			n.core.HandleSessionEvent(n.wallTime(), e)
		}
		n.core.Flush(n.wallTime())
	})
}

// send sends the batches of a session that are due, and schedules the next call.
func (n *Host) send(address string, c *sessionSender) {
	w := n.w
	if c.closed || c.disconnected || n.core == nil {
		return
	}
	n.deliver(c.session.CheckTimeout(n.wallTime()))
	to := w.hostByAddress(address)
	for {
		b, _, found := c.session.NextBatch(n.wallTime())
		if !found {
			break
		}
		if to != nil && w.linkUp(n.Name, to.Name) {
			n.transmit(to, b)
		}
	}
	n.scheduleSend(address, c, c.session.UntilNextBatch(n.wallTime()))
}

// transmit delivers a batch to another host after the latency of the link. Batches to one host arrive in
// the order in which they were sent.
func (n *Host) transmit(to *Host, b courier.Batch) {
	w := n.w
	at := max(w.Now()+w.latency(n.Domain, to.Domain)+w.extraDelay(), w.lastArrival[[2]string{n.Name, to.Name}])
	w.lastArrival[[2]string{n.Name, to.Name}] = at
	w.At(at, func() {
		if to.core == nil {
			// The machine refuses the connection.
			w.After(w.latency(n.Domain, to.Domain), func() {
				if sender := n.senders[to.Address]; n.core != nil && sender != nil && w.linkUp(to.Name, n.Name) {
					n.runWhenUnfrozen(sender.session.PeerRefused)
				}
			})
			return
		}
		incarnation := to.incarnation
		to.runWhenUnfrozen(func() {
			if to.core == nil || to.incarnation != incarnation {
				return
			}
			reverse := to.senderTo(n.Address)
			to.deliver(reverse.session.Receive(to.wallTime(), b))
			to.scheduleSend(n.Address, reverse, reverse.session.UntilNextBatch(to.wallTime()))
		})
	})
}

// publishUpdates sends the changes since the last update to each host that can reach a control
// host.
func (w *Simulation) publishUpdates() {
	for _, n := range w.Hosts {
		if n.core == nil || n.frozenUntil > w.Now() || n.loopBusyUntil > w.Now() {
			continue
		}
		reachable := !w.ControlDown && w.linkUp(n.Name, controlName)
		n.core.SetControlReachable(controlName, reachable)
		if !reachable {
			continue
		}
		w.hosts.Put(w.wallTime(), n.core.Self())
		updates := poller.Updates{
			Hosts:           w.hosts.Since(n.seenSeqs[0]),
			Upstreams:       w.upstreams.Since(n.seenSeqs[1]),
			DocumentVersion: w.document.Version,

			Evacuations:      &w.evacuations,
			EvacuationsKnown: true,
		}
		n.seenSeqs[0], n.seenSeqs[1] = w.hosts.Seq(), w.upstreams.Seq()
		n.core.HandleUpdates(n.wallTime(), controlName, updates)
		n.core.Flush(n.wallTime())
	}
}

// documentTimeout is how long a host waits for a document that it fetches.
const documentTimeout = 700 * time.Millisecond

// fetchDocument sends the document of the control hosts, or that of another host, to a host.
func (w *Simulation) fetchDocument(n *Host, from string, version uint64, done func(d dispatcher.FetchedDocument)) {
	source := w.hostByAddress(from)
	name, domain := controlName, n.Domain
	if source != nil {
		name, domain = source.Name, source.Domain
	}
	reachable := w.linkUp(n.Name, name) && w.linkUp(name, n.Name)
	if source == nil && w.ControlDown || source != nil && source.core == nil || !reachable || version > w.document.Version {
		w.After(documentTimeout, func() { done(dispatcher.FetchedDocument{Err: context.DeadlineExceeded}) })
		return
	}
	w.After(2*w.latency(n.Domain, domain), func() {
		done(dispatcher.ParseDocument(w.document, func([]byte) (*router.Document, error) { return w.parsedDocument, nil }))
	})
}

// allUpToDate reports whether all running hosts have received the newest reports of upstreams.
func (w *Simulation) allUpToDate() bool {
	for _, n := range w.Hosts {
		if n.core != nil && n.seenSeqs[1] != w.upstreams.Seq() {
			return false
		}
	}
	return true
}

// Start starts a new incarnation of the upstream; it does nothing if one is running.
func (s *UpstreamServer) Start() {
	if s.current != nil {
		return
	}
	w := s.w
	s.incarnation++
	s.reportSeq = 1
	s.draining = false
	s.current = &Upstream{
		Report: discoverer.Upstream{
			ID:          s.id(),
			Service:     "service",
			Address:     s.Name,
			Domain:      s.Domain,
			Incarnation: s.incarnation,
			ReportSeq:   s.reportSeq,
			State:       discoverer.Serving,
			Capacity:    sesamedrift.Resources{CPU: 16000, Memory: 32768},
		},
		ClockRate: 1 - LeaseConfig.MaxClockDrift*w.rng.Float64(),
		MaxLease:  LeaseConfig.MaxLease,
		StopTime:  LeaseConfig.StopTime,
		RunTime:   w.runTime,
		OnStart:   w.invariants.runStarted,
		OnEnd:     w.invariants.runEnded,
	}
	s.current.Start(w.wallTime())
	report := s.current.Report
	w.After(s.reportDelay(), func() { w.upstreams.Put(w.wallTime(), report) })
}

// id returns the identifier of the current incarnation.
func (s *UpstreamServer) id() string {
	if s.w.cfg.KeepUpstreamIDs {
		return s.Name
	}
	return fmt.Sprintf("%s-life-%d", s.Name, s.incarnation)
}

// reportDelay returns the time until control hosts receive the first report of the current incarnation.
func (s *UpstreamServer) reportDelay() time.Duration {
	if s.w.cfg.MaxReportDelay <= 0 || s.incarnation == 1 {
		return 0
	}
	return time.Duration(s.w.rng.Int64N(int64(s.w.cfg.MaxReportDelay)))
}

// Crash ends the upstream's process and its runs without notifying any host; it does nothing if the
// upstream is down.
func (s *UpstreamServer) Crash() {
	if s.current == nil {
		return
	}
	s.current.Crash(s.w.wallTime())
	s.current = nil
	if s.w.cfg.KeepUpstreamIDs {
		// The next incarnation does not answer the polls of this one.
		s.pendingPolls = nil
	}
}

// Drain makes the upstream report that it is draining, unless it is down or draining already. After
// the delay its process ends, its runs are lost, and control hosts list it as gone.
func (s *UpstreamServer) Drain(delay time.Duration) {
	if s.current == nil || s.draining {
		return
	}
	w, u := s.w, s.current
	s.draining = true
	s.reportSeq++
	u.Report.ReportSeq = s.reportSeq
	u.Report.State = discoverer.Leaving
	w.upstreams.Put(w.wallTime(), u.Report)
	w.After(delay, func() {
		if s.current != u {
			return
		}
		gone := u.Report
		gone.State = discoverer.Gone
		s.Crash()
		w.upstreams.Put(w.wallTime(), gone)
	})
}

// SetCondition changes the condition of the running incarnation; the next one starts healthy.
func (s *UpstreamServer) SetCondition(c Condition) {
	if s.current != nil {
		s.current.SetCondition(s.w.wallTime(), c)
		s.scheduleNextEnd()
	}
}

// DelayOrders makes a share of the orders, from 0 to 1, get no response and be executed 2 s to 11 s
// later.
func (s *UpstreamServer) DelayOrders(share float64) { s.delayedOrderShare = share }

// scheduleNextEnd answers the pending polls if runs have ended and schedules a check for when the
// next run ends.
func (s *UpstreamServer) scheduleNextEnd() {
	if s.current == nil {
		return
	}
	s.timerSeq++
	seq, u := s.timerSeq, s.current
	if len(u.ends) > 0 {
		s.answerPolls()
	}
	at, found := u.NextEnd(s.w.wallTime())
	if !found {
		return
	}
	s.w.After(max(0, at.Sub(s.w.wallTime())), func() {
		if s.current == u && s.timerSeq == seq {
			u.Advance(s.w.wallTime())
			s.scheduleNextEnd()
		}
	})
}

// answerPolls answers all pending long polls.
func (s *UpstreamServer) answerPolls() {
	polls := s.pendingPolls
	s.pendingPolls = nil
	for _, p := range polls {
		s.w.After(0, p.answer)
	}
}

// noResponse stands for the response to an order that was not answered in time.
func noResponse(o leaseholder.Order) leaseholder.Response {
	return leaseholder.Response{
		Order:  o,
		Status: leaseholder.NoResponse,
	}
}

// sendOrder sends an order from a host to an upstream and calls done once, with the response or,
// after the timeout of the order, with NoResponse.
func (w *Simulation) sendOrder(n *Host, to discoverer.Upstream, o leaseholder.Order, done func(leaseholder.Response)) {
	answered := false
	answer := func(a leaseholder.Response) {
		if !answered {
			answered = true
			done(a)
		}
	}
	w.After(o.Timeout, func() { answer(noResponse(o)) })
	i := slices.IndexFunc(w.Upstreams, func(s *UpstreamServer) bool { return s.Name == to.Address })
	if i < 0 || !w.linkUp(n.Name, w.Upstreams[i].Name) {
		return
	}
	s := w.Upstreams[i]
	w.logger(n.Name).Debug("order", "kind", o.Kind, "upstream", to.ID, "run", o.Run, "id", o.ID, "token", o.Token, "wait", o.MaxWait)
	if s.delayedOrderShare > 0 && w.rng.Float64() < s.delayedOrderShare {
		w.After(time.Duration(2+10*w.rng.Float64())*time.Second, func() {
			if s.current != nil && s.current.Report.ID == to.ID {
				s.current.HandleOrder(w.wallTime(), o, w.demand(o.Run.Task.Job))
				s.scheduleNextEnd()
			}
		})
		return
	}
	w.After(w.latency(n.Domain, s.Domain)+w.extraDelay(), func() { s.handleOrder(n, to, o, w.Now()+o.MaxWait, answer) })
}

// handleOrder executes an order and answers it. An accepted lease renewal without ended runs is
// answered when a run ends, or at the time until.
func (s *UpstreamServer) handleOrder(n *Host, to discoverer.Upstream, o leaseholder.Order, until time.Duration, answer func(leaseholder.Response)) {
	w := s.w
	if s.current == nil {
		return
	}
	a := leaseholder.Response{
		Order:       o,
		Status:      leaseholder.OtherIncarnation,
		Incarnation: s.current.Report.Incarnation,
	}
	if s.current.Report.ID == to.ID {
		a = s.current.HandleOrder(w.wallTime(), o, w.demand(o.Run.Task.Job))
		s.scheduleNextEnd()
		if o.Kind == leaseholder.RenewOrder && a.Status == leaseholder.Accepted && len(a.Ended) == 0 && w.Now() < until {
			p := &pendingPoll{}
			p.answer = func() {
				if !p.answered {
					p.answered = true
					s.handleOrder(n, to, o, until, answer)
				}
			}
			s.pendingPolls = append(s.pendingPolls, p)
			w.After(until-w.Now(), p.answer)
			return
		}
	}
	w.logger(s.Name).Debug("answer", "host", n.Name, "id", o.ID, "status", a.Status, "reason", a.Reason, "running", len(a.Running), "ended", len(a.Ended))
	if w.linkUp(s.Name, n.Name) {
		w.After(w.latency(n.Domain, s.Domain)+w.extraDelay(), func() { answer(a) })
	}
}
