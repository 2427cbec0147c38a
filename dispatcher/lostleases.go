package dispatcher

import (
	"maps"
	"slices"
	"time"
)

func (c *Core) receiveStopRun(now time.Time, m stopRun) {
	h := c.held[m.Upstream]
	if h == nil || !h.leaseLostAt.IsZero() {
		c.relayStop(m)
		return
	}
	h.session.Stop(now, m.Run)
	c.touch(h)
}

// relayStop passes a stop request on to the leaseholder of the upstream, or to all hosts of the domain if another one has
// acquired it that the assignment does not name. A host that has just found the run stops it as an orphan, unless the entry
// host has claimed it before its job ended.
func (c *Core) relayStop(m stopRun) {
	if m.Relayed {
		return
	}
	m.Relayed = true
	if holder := c.assigned.Leaseholders[m.Upstream]; holder != "" && holder != c.cfg.Self.Address {
		c.send(holder, kindStopRun, m)
		return
	}
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		c.send(peer, kindStopRun, m)
	}
}

// relayPendingStops passes on the stop requests that the upstream has not accepted from this host.
func (c *Core) relayPendingStops(h *heldUpstream) {
	for _, run := range h.session.PendingStops() {
		c.relayStop(stopRun{
			Upstream: h.session.Upstream().ID,
			Run:      run,
		})
	}
}
