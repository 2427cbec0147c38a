package emulator

import (
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/dispatcher"
)

// sessionSender sends the batches of one host's session with another host.
type sessionSender struct {
	session *courier.Session
	// nextSeq numbers the scheduled calls of send; only the latest one has an effect.
	nextSeq int
	// disconnected is set when the host ends the session, closed when its process crashes.
	disconnected bool
	closed       bool
}

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
