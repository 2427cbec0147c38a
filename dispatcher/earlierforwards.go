package dispatcher

import "time"

// A placer that gives up its role continues to relay the jobs that it has forwarded. Its successor learns of them from
// their entry hosts, so that it does not place a job that a caller has sent again beside the runs in the other domain.

// earlierForward is a forward of a job of this shard that was not relayed by this host.
type earlierForward struct {
	entry string
	until time.Time // when the placer forgets it
}

// reportForwards tells the placers that match which jobs of their shards this host has had forwarded, among them those
// whose forward was lost and whose runs may not have ended.
func (c *Core) reportForwards(matches func(placer string) bool) {
	byPlacer := map[string][]string{}
	for _, j := range c.sortedJobs() {
		id := j.tracker.Job.ID
		if p := c.assigned.placerAt(c.assigned.homeShard(id)); !j.isLocal() && p != "" && matches(p) {
			byPlacer[p] = append(byPlacer[p], id)
		}
	}
	for _, p := range c.assigned.Placers {
		if len(byPlacer[p]) > 0 {
			c.send(p, kindForwardedJobs, forwardedJobs{Jobs: byPlacer[p]})
		}
	}
}

// receiveForwardedJobs records the forwards of an entry host, and cancels those of jobs that wait here because their
// callers have sent them to another host. That host repeats its request after placementRetryInterval.
func (c *Core) receiveForwardedJobs(now time.Time, from string, m forwardedJobs) {
	if c.placer == nil {
		return
	}
	for _, id := range m.Jobs {
		if c.assigned.homeShard(id) != c.shard {
			continue
		}
		c.earlierForwards[id] = earlierForward{
			entry: from,
			until: now.Add(redirectRetention),
		}
		for _, entry := range c.placer.WaitingEntries(id) {
			if entry != from {
				c.placer.Withdraw(entry, id)
				c.supersedeEarlierForward(now, entry, id)
			}
		}
	}
}

// supersedeEarlierForward asks the entry host of an earlier forward of a job to cancel it if another one now requests
// its placement. The entry host or the relay may crash before the cancellation is passed on, so the time until the runs
// have certainly ended is that of a lost forward.
func (c *Core) supersedeEarlierForward(now time.Time, entry, id string) {
	f, known := c.earlierForwards[id]
	if !known {
		return
	}
	delete(c.earlierForwards, id)
	if f.entry != entry {
		c.cancelledForwards[id] = cancelledForward{until: now.Add(requeueDelay)}
		c.send(f.entry, kindSuperseded, superseded{Job: id})
	}
}
