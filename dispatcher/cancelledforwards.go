package dispatcher

import (
	"maps"
	"time"
)

// cancelledForward is a forward that was cancelled or lost.
type cancelledForward struct {
	// forward is the number of a lost forward; otherwise 0.
	forward uint64
	// until is when its runs have certainly ended.
	until time.Time
}

// cancelEarlierForward cancels the forward of a job for another entry host than the one that now
// requests its placement, because the caller has then resent the job. It returns true until the
// runs of a forward that was cancelled or lost have certainly ended; the job must not be placed here
// before.
func (c *Core) cancelEarlierForward(now time.Time, entry, id string) bool {
	if r, relayed := c.relays[id]; relayed && r.entry != entry {
		c.cancelRelay(now, id)
		c.send(r.entry, kindSuperseded, superseded{Job: id})
	}
	c.supersedeEarlierForward(now, entry, id)
	return now.Before(c.cancelledForwards[id].until)
}

// cancelRelay cancels the forward of a job that this host relays.
func (c *Core) cancelRelay(now time.Time, id string) {
	to := c.relays[id].to
	delete(c.relays, id)
	c.cancelledForwards[id] = cancelledForward{until: now.Add(cancelForwardTime)}
	c.send(to, kindCancelForward, cancelForward{Job: id})
}

// pruneCancelledForwards removes the jobs whose runs in other domains have certainly ended.
func (c *Core) pruneCancelledForwards(now time.Time) {
	maps.DeleteFunc(c.cancelledForwards, func(_ string, f cancelledForward) bool { return !now.Before(f.until) })
}
