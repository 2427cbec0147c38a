package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/reporter"
)

// No task starts in an evacuated failure domain. Control hosts send the evacuations with the replies to polls,
// and the hosts of a domain pass them on, so that a host that reaches no control host learns them too. Both
// the placer and the leaseholders obey them: the placer places nothing, and a leaseholder rejects what was
// placed by a host that has learned them later.

// closedFor returns why no task may start in the domain, or "" if tasks may start.
func (c *Core) closedFor() placer.Reason {
	switch {
	case c.evacuations.State.Evacuated(c.cfg.Self.Domain):
		return placer.ReasonEvacuated
	case c.cfg.EvacuateWithin > 0 && !c.evacuations.Known:
		return placer.ReasonEvacuationsUnknown
	default:
		return ""
	}
}

// applyEvacuations applies what another host says about the evacuations, and passes on to the peers what is new.
func (c *Core) applyEvacuations(now time.Time, from string, update evacuations) {
	newer := update.State.Version > c.evacuations.State.Version
	learned := update.Known && !c.evacuations.Known
	if !newer && !learned {
		return
	}
	if newer {
		c.evacuations.State = update.State
		c.logEvent(reporter.EvacuationsInForce, "from", from, "version", update.State.Version, "domains", update.State.Domains,
			"evacuated", update.State.Evacuated(c.cfg.Self.Domain))
	}
	if learned {
		c.evacuations.Known = true
		c.logEvent(reporter.EvacuationsLearned, "from", from, "version", c.evacuations.State.Version, "after", now.Sub(c.startedAt))
	}
	if newer || c.cfg.EvacuateWithin > 0 {
		for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
			if peer != from {
				c.send(peer, kindEvacuations, c.evacuations)
			}
		}
	}
	if c.placer != nil {
		c.placer.SetClosed(now, c.closedFor())
	}
}

// recordColdTime records until when an upstream remains slow, from a report that has just arrived.
func (c *Core) recordColdTime(now time.Time, u discoverer.Upstream) {
	if u.ColdRemaining <= 0 || u.State == discoverer.Gone {
		delete(c.coldUntil, u.ID)
		return
	}
	c.coldUntil[u.ID] = now.Add(u.ColdRemaining)
}
