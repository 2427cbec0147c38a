package emulator

import (
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/dispatcher"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/router"
)

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
// when it resumes. A shorter freeze within a longer one has no effect.
func (n *Host) Freeze(d time.Duration) { n.frozenUntil = max(n.frozenUntil, n.w.Now()+d) }

// Drain starts a graceful shutdown of the host; it does nothing if the process is down.
func (n *Host) Drain() {
	if n.core != nil {
		n.core.BeginDrain(n.wallTime())
		n.core.Flush(n.wallTime())
	}
}

// Up reports whether the host's process is running; a frozen one is.
func (n *Host) Up() bool { return n.core != nil }
