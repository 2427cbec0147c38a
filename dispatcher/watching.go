package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
)

// The hosts of a domain have sessions with each other, but not every pair has to detect quickly that
// the other one is lost. The oldest members are monitors: they and all other hosts watch each other
// closely. The leader, which is a monitor, tells the others which hosts are lost. So a host sends
// heartbeats to a fixed number of hosts, however many there are in its domain. A host that loses a
// monitor watches all others closely for a while: if it is cut off, it must detect the loss of all of
// them before it acts on the loss of some.

// monitorCount is the number of monitors. It allows for the loss of the leader and the next one at the
// same time.
const monitorCount = 3

var (
	// CloseWatch detects the loss of a host within half a second. It allows for one batch that is
	// lost and sent again.
	CloseWatch = courier.Watch{
		HeartbeatEvery: 100 * time.Millisecond,
		SuspectAfter:   SuspectAfter,
	}
	// DistantWatch applies to hosts whose loss a monitor reports. It detects that only the connection
	// with such a host is lost.
	DistantWatch = courier.Watch{
		HeartbeatEvery: time.Second,
		SuspectAfter:   2500 * time.Millisecond,
	}
)

// peerLoss is the end of the session with a host of the domain.
type peerLoss struct {
	at          time.Time
	incarnation uint64
	eligible    bool
	// ended is set if the process of the host has ended; otherwise it may be suspended or cut off.
	ended bool
}

// updateWatches watches the hosts closely that this one has to detect the loss of, and the others
// distantly.
func (c *Core) updateWatches(now time.Time) {
	members := c.members()
	c.monitors = members[:min(monitorCount, len(members))]
	all := slices.Contains(c.monitors, c.cfg.Self.Address) || now.Before(c.watchAllUntil)
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		closely := all || slices.Contains(c.monitors, peer)
		if before, set := c.closelyWatched[peer]; set && before == closely {
			continue
		}
		c.closelyWatched[peer] = closely
		if closely {
			c.effects.Watch(peer, CloseWatch)
		} else {
			c.effects.Watch(peer, DistantWatch)
		}
	}
}

// watchesAll reports whether this host watches all hosts of its domain closely.
func (c *Core) watchesAll() bool {
	for peer := range c.peers {
		if !c.closelyWatched[peer] {
			return false
		}
	}
	return true
}

// tickWatches ends the time in which all hosts are watched closely.
func (c *Core) tickWatches(now time.Time) {
	if !c.watchAllUntil.IsZero() && !now.Before(c.watchAllUntil) {
		c.watchAllUntil = time.Time{}
		c.updateWatches(now)
	}
}

// recordLoss records the end of the session with a peer. It returns the time at which the loss is acted
// on: at once, unless this host may be cut off from others that it has not detected the loss of yet.
// Without the delay it would acquire the upstreams of hosts that are up and still hold them.
func (c *Core) recordLoss(now time.Time, e courier.Event) (actAt time.Time) {
	c.peerLosses[e.Peer] = peerLoss{
		at:          now,
		incarnation: e.Incarnation,
		eligible:    c.peers[e.Peer],
		ended:       e.Ended,
	}
	delete(c.peers, e.Peer)
	delete(c.closelyWatched, e.Peer)
	gathered := now.Add(lossGatherDelay)
	if slices.Contains(c.monitors, e.Peer) && !c.watchesAll() {
		c.watchAllUntil = now.Add(CloseWatch.SuspectAfter + lossGatherDelay)
	}
	if now.Before(c.watchAllUntil) {
		gathered = c.watchAllUntil
	}
	c.updateWatches(now)
	if len(c.reachableControls) > 0 {
		gathered = now
	}
	if c.settling(now) && gathered.Before(c.settleUntil) {
		gathered = c.settleUntil
	}
	return gathered
}

// reportLosses tells the hosts of the domain which ones are lost. Only the leader does so.
func (c *Core) reportLosses(now time.Time) {
	if !c.leads() {
		return
	}
	var m lostHosts
	for _, address := range slices.Sorted(maps.Keys(c.peerLosses)) {
		loss := c.peerLosses[address]
		if _, up := c.peers[address]; !up && now.Sub(loss.at) < DistantWatch.SuspectAfter {
			m.Hosts = append(m.Hosts, lostHost{
				Address:     address,
				Incarnation: loss.incarnation,
			})
		}
	}
	if len(m.Hosts) == 0 {
		return
	}
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		c.send(peer, kindLostHosts, m)
	}
}

// receiveLostHosts ends the sessions with the hosts that the leader has lost.
func (c *Core) receiveLostHosts(from string, m lostHosts) {
	if from != c.leaderAddress {
		return
	}
	for _, lost := range m.Hosts {
		if _, up := c.peers[lost.Address]; up && lost.Address != from {
			c.effects.EndSession(lost.Address, lost.Incarnation)
		}
	}
}

// isolated reports whether this host is probably partitioned from its domain, rather than the other
// hosts being down: it has lost half of the domain's hosts or more within isolationWindow, and
// reaches no control host. The other hosts then acquire its upstreams, and it acquires none of
// theirs.
func (c *Core) isolated(now time.Time) bool {
	if len(c.reachableControls) > 0 {
		return false
	}
	lost := 0
	for peer, loss := range c.peerLosses {
		host, known := c.hosts.Get(peer)
		switch {
		case now.Sub(loss.at) > isolationWindow || known && host.State == discoverer.Gone:
			delete(c.peerLosses, peer)
		case loss.eligible:
			lost++
		}
	}
	return lost > 0 && len(c.peers)+1 <= lost
}
