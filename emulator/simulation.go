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
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/dispatcher"
	"sesamedrift.example/sesamedrift/evacuator"
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
