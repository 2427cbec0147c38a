package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/reporter"
)

// placerGracePeriod is the time after which a new placer has received the state of all upstreams:
// their leaseholders report at once, or acquire them first.
const placerGracePeriod = 300 * time.Millisecond

// updateRole begins or ends placing if the assignment has made this host a placer, or another host the
// placer of its shard. A placer begins anew if the number of shards has changed.
func (c *Core) updateRole(now time.Time, previous *assignment) {
	shard := c.assigned.shardOf(c.cfg.Self.Address)
	switch {
	case shard < 0 && c.placer != nil:
		c.endPlacing(now)
	case shard >= 0 && (c.placer == nil || shard != c.shard || len(c.assigned.Placers) != len(previous.Placers)):
		c.beginPlacing(now, shard)
	}
}

// beginPlacing makes this host the placer of a shard.
func (c *Core) beginPlacing(now time.Time, shard int) {
	c.placer = placer.New(placer.Config{GraceUntil: now.Add(placerGracePeriod)})
	c.shard = shard
	c.redirects = map[string]redirection{}
	c.homesNotified = map[string]string{}
	c.earlierForwards = map[string]earlierForward{}
	c.readyReporter = map[string]string{}
	c.placer.SetClosed(now, c.closedFor())
	c.setIsPlacer(now, true)
	for _, u := range c.upstreams.All() {
		c.updatePlacerUpstream(now, u)
	}
	var unknown []string
	for id := range c.assigned.Shards {
		if _, known := c.upstreams.Get(id); !known && c.assigned.placerOf(id) == c.cfg.Self.Address {
			unknown = append(unknown, id)
		}
	}
	c.placer.AwaitReports(unknown...)
	for _, address := range append(slices.Sorted(maps.Keys(c.peers)), c.cfg.Self.Address) {
		c.send(address, kindStatusRequest, statusRequest{})
	}
}

// updatePlacerUpstream passes a report about an upstream of the shard to the placer, if this host is
// its placer.
func (c *Core) updatePlacerUpstream(now time.Time, u discoverer.Upstream) {
	if c.placer == nil || u.Domain != c.cfg.Self.Domain {
		return
	}
	if u.State == discoverer.Gone || c.assigned.placerOf(u.ID) != c.cfg.Self.Address {
		c.placer.RemoveUpstream(u.ID)
		delete(c.readyReporter, u.ID)
		return
	}
	c.placer.SetUpstream(placer.Upstream{
		ID:         u.ID,
		Service:    u.Service,
		WorkerType: u.WorkerType,
		Rack:       u.Rack,
		Capacity:   u.Capacity,
		ColdUntil:  c.coldUntil[u.ID],
	})
	c.updateUsable(now, u.ID)
}

// updateShard passes the changes of the shard to the placer. A leaseholder may have applied the
// assignment before this host and reported the status of its upstreams in vain, so it is asked for it.
func (c *Core) updateShard(now time.Time, previous *assignment) {
	asked := map[string]*statusRequest{}
	for _, id := range slices.Sorted(maps.Keys(c.assigned.Shards)) {
		u, known := c.upstreams.Get(id)
		if !known {
			continue
		}
		c.updatePlacerUpstream(now, u)
		holder := c.assigned.Leaseholders[id]
		if c.assigned.placerOf(id) != c.cfg.Self.Address || holder == previous.Leaseholders[id] && previous.placerOf(id) == c.cfg.Self.Address {
			continue
		}
		if asked[holder] == nil {
			asked[holder] = &statusRequest{}
		}
		asked[holder].Upstreams = append(asked[holder].Upstreams, id)
	}
	for id := range previous.Shards {
		if _, assigned := c.assigned.Shards[id]; !assigned {
			c.placer.RemoveUpstream(id)
		}
	}
	for _, holder := range slices.Sorted(maps.Keys(asked)) {
		c.send(holder, kindStatusRequest, *asked[holder])
	}
}

// receiveStatusRequest reports the status of the requested upstreams to their placer. A new placer also
// gets the placement requests that were sent to it before it began, and learns of forwards that it has not relayed.
func (c *Core) receiveStatusRequest(now time.Time, from string, m statusRequest) {
	for _, h := range c.sortedHeld() {
		id := h.session.Upstream().ID
		if c.assigned.placerOf(id) == from && (len(m.Upstreams) == 0 || slices.Contains(m.Upstreams, id)) {
			c.reportUpstreamStatus(h)
		}
	}
	if len(m.Upstreams) > 0 {
		return
	}
	c.reportForwards(func(placer string) bool { return placer == from })
	if c.placer != nil {
		// A host ignores what it is told about redirected jobs before it is a placer, as by a leader that has applied the
		// assignment first.
		maps.DeleteFunc(c.homesNotified, func(_, home string) bool { return home == from })
		c.notifyHomes(c.placer.Jobs())
	}
	for _, j := range c.sortedJobs() {
		if !j.requestedAt.IsZero() && j.requestedFrom == from {
			c.requestPlacement(now, j)
		}
	}
}

// endPlacing gives up the role of placer. Jobs that this host has forwarded to other domains
// continue.
func (c *Core) endPlacing(now time.Time) {
	c.placer = nil
	c.setIsPlacer(now, false)
}

// updateUsable sets whether the placer may place tasks on an upstream: its current leaseholder has
// reported it ready, and it is not leaving.
func (c *Core) updateUsable(now time.Time, id string) {
	u, known := c.upstreams.Get(id)
	reportedBy := c.readyReporter[id]
	usable := known && u.State == discoverer.Serving && reportedBy != "" && reportedBy == c.assigned.Leaseholders[id]
	c.placer.SetUsable(now, id, usable)
}

// assign plans the assignment of the domain and, if it has changed, sends it to all peers.
func (c *Core) assign(now time.Time) {
	members := c.assignees()
	if len(members) == 0 || c.postpones(now) {
		return
	}
	next := planAssignment(c.assigned, c.domainUpstreams(), members, c.memberStrengths(members), c.allHandleShards(), c.cfg.UpstreamsPerShard)
	if c.isolated(now) {
		// The lost hosts may be up and still hold their upstreams.
		for id, holder := range c.assigned.Leaseholders {
			if _, known := next.Leaseholders[id]; known && !slices.Contains(members, holder) {
				next.Leaseholders[id] = holder
			}
		}
	}
	if next.equal(&c.assigned) {
		return
	}
	c.applyAssignment(now, next)
	// Hosts that are not eligible receive the assignment too: they release their upstreams and
	// send the new leaseholders watch requests for the runs of their jobs.
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		c.send(peer, kindAssignment, next)
	}
}

// assignees returns the members that upstreams and shards may be assigned to: this host, and the peers that
// have joined it or that have a part in the current assignment. A host that has just started ignores assignments
// until it has chosen its leader, so that upstreams which are assigned to it earlier would be without a
// leaseholder for that time. Before the first assignment there are no runs, and all members count.
func (c *Core) assignees() []string {
	members := c.members()
	if len(c.assigned.Leaseholders) == 0 {
		return members
	}
	joined := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m != c.cfg.Self.Address && !c.joined[m] })
	if len(joined) == 0 {
		return members
	}
	return joined
}

// markJoined records that a peer has a part in the assignment.
func (c *Core) markJoined(address string) {
	if _, up := c.peers[address]; up {
		c.joined[address] = true
	}
}

// allHandleShards reports whether all hosts of the domain can work with several shards.
func (c *Core) allHandleShards() bool {
	for peer := range c.peers {
		if host, known := c.hosts.Get(peer); !known || !host.Shards {
			return false
		}
	}
	return true
}

// domainUpstreams returns the upstreams of the domain. Those of which only a stored report is known count for a limited
// time.
func (c *Core) domainUpstreams() []discoverer.Upstream {
	var upstreams []discoverer.Upstream
	for _, u := range c.upstreams.All() {
		if u.Domain == c.cfg.Self.Domain && u.State != discoverer.Gone && (!u.Stored || !c.storedReportsExpired) {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// applyAssignment records an assignment, begins or ends placing, and acquires and releases upstreams
// accordingly.
func (c *Core) applyAssignment(now time.Time, a assignment) {
	previous := c.assigned
	c.assigned = a
	for _, holder := range a.Leaseholders {
		c.markJoined(holder)
	}
	for _, placer := range a.Placers {
		c.markJoined(placer)
	}
	if !slices.Equal(a.Placers, previous.Placers) {
		c.logEvent(reporter.PlacerChosen, "placers", a.Placers)
	}
	c.updateRole(now, &previous)
	c.lowerHeldSince(a.Number)
	c.updateHeld(now)
	if c.placer != nil {
		c.updateShard(now, &previous)
		c.connectOtherPlacers()
	}
	for _, h := range c.sortedHeld() {
		if id := h.session.Upstream().ID; a.placerOf(id) != previous.placerOf(id) {
			c.reportUpstreamStatus(h)
		}
	}
	c.followLeaseholders(now)
	c.followPlacers(now, &previous)
	if c.placer != nil && !slices.Equal(a.Placers, previous.Placers) {
		c.notifyHomes(c.placer.Jobs())
	}
}

func (c *Core) receiveAssignment(now time.Time, from string, a assignment) {
	if from != c.leaderAddress || from == c.cfg.Self.Address {
		// Another host regards itself as the leader and may have acquired upstreams of this host.
		c.resetTenure()
		return
	}
	if len(a.Placers) == 0 {
		// The leader runs an earlier release and is the only placer.
		a.Placers = []string{from}
		a.Shards = make(map[string]int, len(a.Leaseholders))
		for id := range a.Leaseholders {
			a.Shards[id] = 0
		}
	}
	c.applyAssignment(now, a)
}

// receiveJoin sends the assignment to a host that regards this one as the leader. If that host has led the
// domain meanwhile, its leaseholders stay; the assignment of a leader that steps down is an earlier one.
func (c *Core) receiveJoin(now time.Time, from string, m join) {
	c.joined[from] = true
	if !c.leads() {
		return
	}
	if m.Number > c.assigned.Number && len(c.assigned.Leaseholders) > 0 {
		adopted := c.assigned
		adopted.Number = m.Number
		adopted.Leaseholders = maps.Clone(c.assigned.Leaseholders)
		for id, holder := range m.Leaseholders {
			if _, assigned := adopted.Leaseholders[id]; assigned {
				adopted.Leaseholders[id] = holder
			}
		}
		c.applyAssignment(now, adopted)
	}
	c.assign(now)
	if from != c.cfg.Self.Address && !c.settling(now) {
		c.send(from, kindAssignment, c.assigned)
	}
}

func (c *Core) receivePlacementRequest(now time.Time, from string, m placementRequest) {
	if c.placer == nil {
		// The sender repeats the request once it has detected the change of the placer.
		return
	}
	if m.Recovered != 0 && m.Recovered == c.cancelledForwards[m.Job].forward {
		delete(c.cancelledForwards, m.Job)
	}
	if c.cancelEarlierForward(now, from, m.Job) {
		// The sender repeats the request after placementRetryInterval.
		return
	}
	j := placer.Job{
		ID:            m.Job,
		Entry:         from,
		Queue:         m.Queue,
		Service:       m.Service,
		Priority:      m.Priority,
		SlackFactor:   m.Slack,
		TargetLatency: m.Target,
		Arrived:       now.Add(-m.Age),
		Deadline:      now.Add(m.Remaining),
		RemainingTime: m.LaterEstimate,
		Started:       m.Started,
		Forwarded:     m.Forwarded,
	}
	for _, t := range m.Tasks {
		j.Tasks = append(j.Tasks, placer.Task(t))
	}
	if m.RedirectedBy == "" {
		if c.redirectTarget(m.Job) != "" && c.placer.SupersedeRuns(j) {
			// The runs of an earlier submission are spread over two shards. The sender repeats the request.
			return
		}
		if c.redirectAgain(from, m.Job) || c.redirectToPreferred(now, from, m) {
			return
		}
	}
	if !m.Started && !c.knowsCapacity() {
		c.send(from, kindRefused, refused{
			Job:        m.Job,
			Reason:     noUpstreamReason,
			RetryAfter: unplacedRetryAfter,
		})
		return
	}
	c.placer.Enqueue(now, j)
	if m.RedirectedBy != "" {
		c.homesNotified[m.Job] = m.RedirectedBy
	}
	c.notifyHomes([]string{m.Job})
}

func (c *Core) receiveCancelPlacement(from string, w cancelPlacement) {
	if c.placer != nil {
		c.placer.Withdraw(from, w.Job)
	}
}

func (c *Core) receiveReleasedPlace(now time.Time, r releasedPlace) {
	if c.placer != nil {
		c.placer.Release(now, r.Upstream, r.Run)
	}
}

// receiveUpstreamStatus records the state of an upstream that its leaseholder reports. The placer can't record runs on
// an upstream that this host has not heard of; it asks for them once it has.
func (c *Core) receiveUpstreamStatus(now time.Time, from string, r upstreamStatus) {
	if c.placer == nil || c.assigned.Leaseholders[r.Upstream] != from || c.assigned.placerOf(r.Upstream) != c.cfg.Self.Address ||
		!c.placer.HasUpstream(r.Upstream) {
		return
	}
	delete(c.readyReporter, r.Upstream)
	if !r.Ready {
		c.updateUsable(now, r.Upstream)
	}
	// The leaseholder of an upstream that does not respond may still know runs that go on there.
	if r.Ready || len(r.Running) > 0 {
		c.placer.Reconcile(now, r.Upstream, r.Running)
		jobs := make([]string, 0, len(r.Running))
		for _, t := range r.Running {
			jobs = append(jobs, t.Run.Task.Job)
		}
		c.notifyHomes(jobs)
	}
	if r.Ready {
		c.readyReporter[r.Upstream] = from
		c.updateUsable(now, r.Upstream)
	}
	if !r.Acquiring {
		c.placer.RecordReport(now, r.Upstream)
	}
}

func (c *Core) receiveFreed(now time.Time, from string, f freed) {
	if c.placer == nil || c.assigned.Leaseholders[f.Upstream] != from {
		return
	}
	c.placer.RunEnded(now, f.Upstream, f.Run, f.Result, f.Reason, f.Duration)
}

func (c *Core) receiveProgress(from string, m progress) {
	if c.placer == nil {
		return
	}
	for _, r := range m.Runs {
		if c.assigned.Leaseholders[r.Upstream] == from {
			c.placer.RecordProgress(r.Upstream, r.Run, r.Percent, r.RunTime)
		}
	}
}

// sendDecisions sends the decisions of the placer to entry hosts and leaseholders.
func (c *Core) sendDecisions(now time.Time) {
	if c.placer == nil {
		return
	}
	for _, d := range c.placer.TakeDecisions() {
		switch {
		case d.Ejection != nil:
			c.stats.Ejections++
			c.logEvent(reporter.UpstreamRests, "upstream", d.Ejection.Upstream, "for", d.Ejection.Duration, "cause", d.Ejection.Cause,
				"troubles", d.Ejection.ConsecutiveFailures)
		case d.Stop != nil:
			c.stats.Rescheduled++
			c.logEvent(reporter.RunMoved, "job", d.Job, "run", d.Stop.Run.String(), "upstream", d.Stop.Upstream)
			c.send(c.assigned.Leaseholders[d.Stop.Upstream], kindStopRun, stopRun{
				Upstream: d.Stop.Upstream,
				Run:      d.Stop.Run,
			})
		case d.ForwardTo != "":
			c.sendForwardDecision(now, d)
		case d.Superseded:
			c.stats.Superseded++
			c.send(d.Entry, kindSuperseded, superseded{Job: d.Job})
		case len(d.Placements) > 0:
			m := placement{
				Job:       d.Job,
				Waited:    d.Waited,
				Remaining: d.RemainingTasks,
				Number:    c.assigned.Number,
			}
			for _, p := range d.Placements {
				m.Places = append(m.Places, placedRun{
					Run:         p.Run,
					Upstream:    p.Upstream,
					Leaseholder: c.assigned.Leaseholders[p.Upstream],
				})
			}
			c.stats.PlacementWaits = addSample(c.stats.PlacementWaits, d.Waited)
			if d.Planned {
				c.stats.PlanErrors = addSample(c.stats.PlanErrors, d.PlanError)
				m.PlanError = &d.PlanError
			}
			c.send(d.Entry, kindPlacement, m)
		case d.Refused:
			c.stats.Refused[string(d.Reason)]++
			c.logEvent(reporter.JobRefused, "job", d.Job, "entry", d.Entry, "reason", d.Reason, "late", d.Lateness, "waiting", d.WaitingJobs,
				"usage", d.UsageShare, "choice", d.Choice, "retry-after", d.RetryAfter)
			c.send(d.Entry, kindRefused, refused{
				Job:        d.Job,
				Reason:     string(d.Reason),
				RetryAfter: d.RetryAfter,
			})
		}
	}
}
