package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/tracker"
)

// Jobs for which there is no free capacity are redirected to the placer of another shard or forwarded
// to another failure domain. The entry host sends the placement request of a redirected job to the other
// placer from then on.
//
// A job that is forwarded goes to a placer there. The entry host
// sends the whole job to the placer of its own domain, which relays it to the placer of the other
// domain. That host tracks the job like one of its own callers. Only placers have sessions with
// other domains, so that the number of these sessions does not grow with the number of hosts.

const (
	// capacityMinInterval is the time between two messages about the free capacity if that has
	// changed, capacityMaxInterval the time if it has not.
	capacityMinInterval = 20 * time.Millisecond
	capacityMaxInterval = 100 * time.Millisecond
	// cancelForwardTime is the time from the message that cancels a forwarded job until its runs
	// have certainly ended: they are stopped at once, or end when their lease expires.
	cancelForwardTime = 800 * time.Millisecond
	// redirectRetention is how long a placer remembers that it has redirected a job. It is longer than
	// callers wait for a job, after which its runs are stopped.
	redirectRetention = 20 * time.Second
	// redirectPruneInterval is the time between two searches for redirected jobs to forget.
	redirectPruneInterval = time.Second
)

// relay is a job that this host has forwarded for an entry host of its domain.
type relay struct {
	entry string // address of the entry host
	to    string // address of the remote placer
	// forward is the number of the forward; 0 from a host of an earlier release.
	forward uint64
}

// remotePlacer is a placer of another domain.
type remotePlacer struct {
	domain string
	// retired is set when the host is not a placer any more. The session continues until the
	// jobs that were forwarded over it have ended.
	retired bool
}

// sentCapacity is the free capacity that was last sent to a placer.
type sentCapacity struct {
	capacity placer.FreeCapacity
	at       time.Time
}

// redirection is a job whose entry host was sent to the placer of another shard.
type redirection struct {
	shard int
	until time.Time
}

// sendResult sends a result to a caller.
func (c *Core) sendResult(id string, caller *Caller, r Result) {
	if caller.result != nil {
		caller.result(r)
		return
	}
	c.send(caller.relay, kindForwardResult, forwardResult{
		Job:        id,
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
	})
}

// remotePlacerChanged handles a changed report about an entry host of another domain, which may
// have become a placer there or ceased to be one.
func (c *Core) remotePlacerChanged(host discoverer.Host) {
	p := c.remotePlacers[host.Address]
	switch {
	case host.IsPlacer && host.State != discoverer.Gone:
		c.remotePlacers[host.Address] = &remotePlacer{domain: host.Domain}
	case p != nil:
		p.retired = true
		if c.placer != nil {
			c.placer.RemoveOther(host.Address)
		}
	}
	if c.placer != nil {
		c.connectOtherPlacers()
	}
}

// disconnectRetired ends the sessions with retired remote placers once no job remains that was
// forwarded to them or by them.
func (c *Core) disconnectRetired() {
	for _, address := range slices.Sorted(maps.Keys(c.remotePlacers)) {
		if !c.remotePlacers[address].retired || c.sharesJobs(address) {
			continue
		}
		delete(c.remotePlacers, address)
		c.effects.Disconnect(address)
	}
}

// sharesJobs reports whether a job remains that was forwarded to a host or by it.
func (c *Core) sharesJobs(address string) bool {
	for _, r := range c.relays {
		if r.to == address {
			return true
		}
	}
	for _, j := range c.jobs {
		if j.relayFrom(address) != nil {
			return true
		}
	}
	return false
}

// connectOtherPlacers starts the sessions with one placer of each other domain. The placers of two
// domains pair up by the order of their addresses, so that the number of sessions does not grow with
// the number of shards.
func (c *Core) connectOtherPlacers() {
	byDomain := map[string][]string{}
	for _, address := range slices.Sorted(maps.Keys(c.remotePlacers)) {
		if p := c.remotePlacers[address]; !p.retired {
			byDomain[p.domain] = append(byDomain[p.domain], address)
		}
	}
	own := slices.Index(slices.Sorted(slices.Values(c.assigned.Placers)), c.cfg.Self.Address)
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		addresses := byDomain[domain]
		c.effects.Connect(addresses[max(0, own)%len(addresses)])
	}
}

// remotePlacerOf returns the address of a placer of a domain with which there is a session, preferably
// the given one, or "" if there is none.
func (c *Core) remotePlacerOf(domain, preferred string) string {
	found := ""
	for _, address := range slices.Sorted(maps.Keys(c.remotePlacers)) {
		p := c.remotePlacers[address]
		if p.domain != domain || p.retired || !c.sessions[address] {
			continue
		}
		if address == preferred {
			return address
		}
		if found == "" {
			found = address
		}
	}
	return found
}

// sendFreeCapacity sends the free capacity of this shard to the other placers of the domain and to the
// remote ones with which there is a session.
func (c *Core) sendFreeCapacity(now time.Time) {
	if c.placer == nil {
		return
	}
	var to []string
	for _, address := range c.assigned.Placers {
		if _, up := c.peers[address]; up {
			to = append(to, address)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(c.remotePlacers)) {
		if c.sessions[address] && !c.remotePlacers[address].retired {
			to = append(to, address)
		}
	}
	if len(to) == 0 {
		return
	}
	free := c.placer.FreeCapacity(now)
	for _, address := range to {
		last := c.capacitySent[address]
		elapsed := now.Sub(last.at)
		if elapsed < capacityMinInterval || !free.Differs(last.capacity) && elapsed < capacityMaxInterval {
			continue
		}
		c.capacitySent[address] = sentCapacity{
			capacity: free,
			at:       now,
		}
		c.send(address, kindFreeCapacity, freeCapacity{
			Domain:       c.cfg.Self.Domain,
			FreeCapacity: free,
		})
	}
}

// sendForwardDecision asks the entry host of a job to send it to another placer.
func (c *Core) sendForwardDecision(now time.Time, d placer.Decision) {
	if shard := c.assigned.shardOf(d.ForwardTo); shard >= 0 {
		c.stats.Redirected++
		c.recordRedirect(now, d.Job, shard)
		c.send(d.Entry, kindRedirect, redirect{
			Job: d.Job,
			To:  d.ForwardTo,
		})
		return
	}
	p := c.remotePlacers[d.ForwardTo]
	if p == nil {
		return
	}
	c.stats.Forwarded++
	c.logEvent(reporter.JobPassedOn, "job", d.Job, "entry", d.Entry, "domain", p.domain)
	c.send(d.Entry, kindForwardRequest, forwardRequest{
		Job:    d.Job,
		Domain: p.domain,
		To:     d.ForwardTo,
	})
}

func (c *Core) receiveFreeCapacity(now time.Time, from string, m freeCapacity) {
	if c.placer == nil {
		return
	}
	if c.assigned.shardOf(from) >= 0 || c.remotePlacers[from] != nil {
		c.placer.SetOtherCapacity(now, from, m.Domain == c.cfg.Self.Domain, m.FreeCapacity)
	}
}

// remoteSessionDown handles the end of a session with a host of another domain: jobs forwarded over
// it are reported as lost to their entry hosts, and jobs from it end.
func (c *Core) remoteSessionDown(now time.Time, address string) {
	if c.placer != nil {
		c.placer.RemoveOther(address)
	}
	delete(c.capacitySent, address)
	for _, id := range slices.Sorted(maps.Keys(c.relays)) {
		r := c.relays[id]
		if r.to == address {
			delete(c.relays, id)
			c.cancelledForwards[id] = cancelledForward{
				forward: r.forward,
				until:   now.Add(requeueDelay),
			}
			c.send(r.entry, kindForwardResult, forwardResult{
				Job:     id,
				Outcome: tracker.Lost,
				Reason:  "the way to the other failure domain was lost",
			})
		}
	}
	c.dropCallers(now, address)
}

// dropCallers removes a lost host as a caller of the jobs that it has forwarded.
func (c *Core) dropCallers(now time.Time, address string) {
	for _, j := range c.sortedJobs() {
		id := j.tracker.Job.ID
		if relay := j.relayFrom(address); relay != nil {
			c.CallerGone(now, id, relay)
		}
	}
}

// receiveForwardRequest sends a job to the placer, which relays it. It ignores a second request, for a
// placement request that was sent twice: both domains would run the job. A job that cannot be sent still waits for a
// placement, which is requested again.
func (c *Core) receiveForwardRequest(now time.Time, from string, m forwardRequest) {
	j := c.jobs[m.Job]
	if j == nil || from != j.requestedFrom || !j.isLocal() || j.tracker.Started() {
		return
	}
	if j.isForwarded() {
		// Another domain has forwarded the job here since it was requested. If the job went back, each domain could wait
		// for the other.
		c.requestPlacement(now, j)
		return
	}
	t := &j.tracker.Job
	forward := uint64(now.UnixNano())
	sent := c.send(from, kindForwardedJob, forwardedJob{
		Domain:    m.Domain,
		To:        m.To,
		ID:        t.ID,
		Forward:   forward,
		Queue:     t.Queue,
		Service:   t.Service,
		Priority:  t.Priority,
		Attempts:  t.MaxAttempts,
		Slack:     t.SlackFactor,
		Target:    t.TargetLatency,
		Content:   t.Content,
		Steps:     t.Steps,
		Age:       now.Sub(t.Arrived),
		Remaining: t.Deadline.Sub(now),
	})
	if sent {
		j.requestedAt = time.Time{}
		j.forwardedVia = from
		j.forwardedTo = m.Domain
		j.forward = forward
		j.recovered = 0
	}
}

// receiveForwardedJob relays a job of the own domain, or submits one of another domain.
func (c *Core) receiveForwardedJob(now time.Time, from string, m forwardedJob) {
	if m.Domain != c.cfg.Self.Domain {
		to := c.remotePlacerOf(m.Domain, m.To)
		if to == "" || !c.send(to, kindForwardedJob, m) {
			c.send(from, kindForwardResult, forwardResult{
				Job:     m.ID,
				Outcome: tracker.NotRun,
				Reason:  "the other failure domain cannot be reached",
			})
			return
		}
		c.relays[m.ID] = relay{
			entry:   from,
			to:      to,
			forward: m.Forward,
		}
		return
	}
	if reason := c.closedFor(); reason != "" && c.jobs[m.ID] == nil {
		c.send(from, kindForwardResult, forwardResult{
			Job:        m.ID,
			Outcome:    tracker.NotRun,
			Reason:     string(reason),
			RetryAfter: placer.ClosedRetryAfter,
		})
		return
	}
	c.Submit(now, tracker.Job{
		ID:            m.ID,
		Queue:         m.Queue,
		Service:       m.Service,
		Priority:      m.Priority,
		MaxAttempts:   m.Attempts,
		SlackFactor:   m.Slack,
		TargetLatency: m.Target,
		Content:       m.Content,
		Steps:         m.Steps,
		Arrived:       now.Add(-m.Age),
		Deadline:      now.Add(m.Remaining),
	}, &Caller{relay: from})
	if j := c.jobs[m.ID]; j != nil {
		j.received = m.Forward
	}
}

// receiveForwardResult relays the result of a forwarded job, or ends the job if this is its entry
// host.
func (c *Core) receiveForwardResult(now time.Time, from string, m forwardResult) {
	if r, relayed := c.relays[m.Job]; relayed && r.to == from {
		delete(c.relays, m.Job)
		c.send(r.entry, kindForwardResult, m)
		return
	}
	j := c.jobs[m.Job]
	if j == nil || j.forwardedVia == "" || j.forwardedVia != from {
		return
	}
	if m.Outcome == tracker.Lost {
		c.forwardLost(now, j)
		return
	}
	j.forwardedVia = ""
	j.result.RetryAfter = m.RetryAfter
	j.tracker.Finish(m.Outcome, m.Reason)
	c.advanceJob(now, j)
}

// receiveCancelForward relays the cancellation of a forwarded job, or removes its caller.
func (c *Core) receiveCancelForward(now time.Time, from string, m cancelForward) {
	if r, relayed := c.relays[m.Job]; relayed && r.entry == from {
		c.cancelRelay(now, m.Job)
		return
	}
	if j := c.jobs[m.Job]; j != nil {
		if relay := j.relayFrom(from); relay != nil {
			c.CallerGone(now, m.Job, relay)
		}
	}
}

// relayHostLost handles the loss of a host of the domain: it cancels the jobs that were forwarded
// for that host, and requeues the jobs that were forwarded through it.
func (c *Core) relayHostLost(now time.Time, host string) {
	for _, id := range slices.Sorted(maps.Keys(c.relays)) {
		if c.relays[id].entry == host {
			c.cancelRelay(now, id)
		}
	}
	for _, j := range c.sortedJobs() {
		if j.forwardedVia == host {
			c.forwardLost(now, j)
		}
	}
}

// recordRedirect records that a job was redirected to the placer of another shard.
func (c *Core) recordRedirect(now time.Time, id string, shard int) {
	c.redirects[id] = redirection{
		shard: shard,
		until: now.Add(redirectRetention),
	}
}

// redirectTarget returns the address of the other placer of this domain to which a job was redirected, or "".
func (c *Core) redirectTarget(id string) string {
	r, redirected := c.redirects[id]
	to := c.assigned.placerAt(r.shard)
	if !redirected || to == c.cfg.Self.Address {
		return ""
	}
	return to
}

// redirectAgain redirects a job that the caller has sent again to the placer that the first try was
// redirected to. It reports false if the job was not redirected.
func (c *Core) redirectAgain(entry, id string) bool {
	to := c.redirectTarget(id)
	if to == "" {
		return false
	}
	c.send(entry, kindRedirect, redirect{
		Job: id,
		To:  to,
	})
	return true
}

// redirectToPreferred redirects a job of this shard, which another domain has forwarded to the placer of another shard,
// to that placer. If this placer may know of another submission of the job, it places the job itself, since otherwise
// the job could run twice at the same time.
func (c *Core) redirectToPreferred(now time.Time, entry string, m placementRequest) bool {
	shard := c.assigned.shardOf(m.Preferred)
	if shard < 0 || shard == c.shard || c.placer.MayTrack(now, m.Job) {
		return false
	}
	c.recordRedirect(now, m.Job, shard)
	return c.redirectAgain(entry, m.Job)
}

// notifyHomes tells the placers of the home shards of jobs that this placer places them, unless they
// know that already. A placer that has taken over from one that redirected a job must know of its runs
// before it places the job for a caller who sends it again.
func (c *Core) notifyHomes(jobs []string) {
	byHome := map[string]*redirectedJobs{}
	for _, id := range jobs {
		home := c.assigned.placerAt(c.assigned.homeShard(id))
		if home == c.cfg.Self.Address || c.homesNotified[id] == home {
			continue
		}
		c.homesNotified[id] = home
		if byHome[home] == nil {
			byHome[home] = &redirectedJobs{}
		}
		byHome[home].Jobs = append(byHome[home].Jobs, id)
	}
	for _, home := range slices.Sorted(maps.Keys(byHome)) {
		slices.Sort(byHome[home].Jobs)
		c.send(home, kindRedirectedJobs, *byHome[home])
	}
}

// receiveRedirectedJobs records which placer places jobs of this shard, and redirects those that wait
// here.
func (c *Core) receiveRedirectedJobs(now time.Time, from string, m redirectedJobs) {
	shard := c.assigned.shardOf(from)
	if c.placer == nil || shard < 0 {
		return
	}
	for _, id := range m.Jobs {
		if c.assigned.homeShard(id) != c.shard {
			continue
		}
		c.recordRedirect(now, id, shard)
		for _, entry := range c.placer.WaitingEntries(id) {
			c.placer.Withdraw(entry, id)
			c.redirectAgain(entry, id)
		}
	}
}

// pruneRedirects forgets redirected jobs, and jobs with earlier forwards, whose callers have gone.
func (c *Core) pruneRedirects(now time.Time) {
	if now.Sub(c.redirectsPrunedAt) < redirectPruneInterval {
		return
	}
	c.redirectsPrunedAt = now
	maps.DeleteFunc(c.redirects, func(_ string, r redirection) bool { return now.After(r.until) })
	maps.DeleteFunc(c.earlierForwards, func(_ string, f earlierForward) bool { return now.After(f.until) })
	known := map[string]bool{}
	for _, id := range c.placer.Jobs() {
		known[id] = true
	}
	maps.DeleteFunc(c.homesNotified, func(id, _ string) bool { return !known[id] })
}
