package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
)

// HandleSessionEvent handles the start or end of a session with another host, or the messages that
// arrived in it.
func (c *Core) HandleSessionEvent(now time.Time, e courier.Event) {
	c.noticePause(now)
	if e.Kind != courier.Delivered {
		c.sessions[e.Peer] = e.Kind == courier.Up
	}
	if e.Kind == courier.Down {
		delete(c.joined, e.Peer)
		c.remoteSessionDown(now, e.Peer)
	}
	switch e.Kind {
	case courier.Up:
		c.requestSnapshot(now, e.Peer)
		c.peerUp(now, e.Peer)
	case courier.Down:
		if _, member := c.peers[e.Peer]; !member {
			// A host of another domain.
			return
		}
		c.logEvent(reporter.SessionEnded, "peer", e.Peer)
		c.peerLost(now, e)
	case courier.Delivered:
		for _, m := range e.Messages {
			c.receiveEncoded(now, e.Peer, m)
		}
	}
}

// peerUp adds a host of the domain to the peers once there is a session and the host is listed. The
// session may start before the host is listed.
func (c *Core) peerUp(now time.Time, peer string) {
	host, known := c.hosts.Get(peer)
	if _, member := c.peers[peer]; member || !known || host.Domain != c.cfg.Self.Domain || !c.sessions[peer] {
		return
	}
	c.peers[peer] = true
	delete(c.peerLosses, peer)
	c.logEvent(reporter.SessionBegun, "peer", peer)
	if c.leads() {
		c.resetTenure()
	}
	c.send(peer, kindAnnouncement, announcement{
		Self:            c.self,
		DocumentVersion: c.published.Version,
		Evacuations:     c.evacuations,
	})
	if !c.eligible() {
		c.send(peer, kindEligibility, eligibility{})
	}
	if peer == c.leaderAddress {
		// The leader may have assigned upstreams anew while there was no session.
		c.send(peer, kindJoin, join{})
	}
	c.reorganize(now)
	if c.leads() && !c.settling(now) {
		c.send(peer, kindAssignment, c.assigned)
	}
}

// snapshotRetryInterval is the time after which a host without lists asks the next peer for them.
const snapshotRetryInterval = 200 * time.Millisecond

// requestSnapshot asks a host for its lists if this host has not received any yet. The hosts of the
// domain keep connecting to this one while it cannot reach a control host.
func (c *Core) requestSnapshot(now time.Time, from string) {
	if !c.firstUpdateAt.IsZero() || now.Sub(c.snapshotRequestedAt) < snapshotRetryInterval {
		return
	}
	c.snapshotRequestedAt = now
	c.send(from, kindSnapshotRequest, snapshotRequest{})
}

// snapshot returns the hosts and upstreams that concern this domain.
func (c *Core) snapshot() snapshot {
	var s snapshot
	for _, host := range c.hosts.All() {
		if host.Domain == c.cfg.Self.Domain || host.Role == discoverer.Control || host.IsPlacer {
			s.Hosts = append(s.Hosts, host)
		}
	}
	for _, u := range c.upstreams.All() {
		if u.Domain == c.cfg.Self.Domain {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	return s
}

// peerLost handles the loss of a peer: it ends the peer's runs, jobs and requests on this host, and
// reorganizes the domain.
func (c *Core) peerLost(now time.Time, e courier.Event) {
	peer := e.Peer
	if c.leads() || peer == c.leaderAddress {
		c.resetTenure()
	}
	c.dropCallers(now, peer)
	c.relayHostLost(now, peer)
	for _, h := range c.sortedHeld() {
		if c.settling(now) {
			// The peer has probably lost this host and not the other way round.
			h.session.DisownAll(now, peer)
		} else {
			h.session.StopAll(now, peer)
		}
		c.touch(h)
	}
	c.claimantLost(now, peer)
	if c.placer != nil {
		c.placer.RemoveEntry(now, peer)
	}
	for _, j := range c.sortedJobs() {
		// Messages to the peer, or from it, may be lost.
		j.watchAt = now.Add(watchRetryInterval)
	}
	if actAt := c.recordLoss(now, e); actAt.After(now) {
		c.reorganizeAt = actAt
		return
	}
	c.reorganize(now)
}

func (c *Core) receiveAnnouncement(now time.Time, from string, m announcement) {
	if m.Self.Address == from && c.hosts.Put(now, m.Self) {
		c.hostChanged(now, m.Self)
	}
	c.announceDocument(now, from, m.DocumentVersion)
	c.applyEvacuations(now, from, m.Evacuations)
}

// applySnapshot merges the hosts, the upstreams and the document, if there is one, of a peer or a
// control host.
func (c *Core) applySnapshot(now time.Time, s snapshot) {
	for _, host := range s.Hosts {
		if c.hosts.Put(now, host) {
			c.hostChanged(now, host)
		}
	}
	if c.firstUpdateAt.IsZero() {
		c.firstUpdateAt = now
	}
	changed := false
	for _, u := range s.Upstreams {
		if c.upstreams.Put(now, u) {
			changed = true
			c.recordColdTime(now, u)
			c.upstreamChanged(now, u)
		}
	}
	if changed && c.leads() {
		c.assign(now)
	}
	if s.Document.Version > c.published.Version {
		c.applyDocument(ParseDocument(s.Document, c.cfg.Parse))
	}
}

// Self returns the current report about this host.
func (c *Core) Self() discoverer.Host { return c.self }

// setIsPlacer publishes in the report about this host whether it is the placer.
func (c *Core) setIsPlacer(now time.Time, isPlacer bool) {
	c.self.ReportSeq++
	c.self.IsPlacer = isPlacer
	c.hosts.Put(now, c.self)
	c.effects.SelfChanged(c.self)
}

// startPolling starts polling a control host, unless it is polled already.
func (c *Core) startPolling(address string) {
	if !c.polling[address] {
		c.polling[address] = true
		c.effects.StartPolling(address)
	}
}

// HandleUpdates applies updates from the control host with the address.
func (c *Core) HandleUpdates(now time.Time, from string, updates poller.Updates) {
	c.noticePause(now)
	evacuated := evacuations{Known: updates.EvacuationsKnown}
	if updates.Evacuations != nil {
		evacuated.State = *updates.Evacuations
	}
	c.applyEvacuations(now, from, evacuated)
	c.applySnapshot(now, snapshot{
		Hosts:     updates.Hosts,
		Upstreams: updates.Upstreams,
		Document:  updates.Document,
	})
	c.announceDocument(now, from, updates.DocumentVersion)
}

// hostChanged starts polling a control host, or maintaining a session with an entry host of the
// domain, and ends that when the host is gone.
func (c *Core) hostChanged(now time.Time, host discoverer.Host) {
	switch {
	case host.Address == c.cfg.Self.Address:
	case host.Role == discoverer.Control && host.State != discoverer.Gone:
		c.startPolling(host.Address)
	case host.Role == discoverer.Entry && host.Domain != c.cfg.Self.Domain:
		c.remotePlacerChanged(host)
		return
	case host.Role == discoverer.Entry && host.State != discoverer.Gone:
		c.effects.Connect(host.Address)
		c.peerUp(now, host.Address)
	case host.State == discoverer.Gone:
		c.effects.Disconnect(host.Address)
		if c.polling[host.Address] {
			delete(c.polling, host.Address)
			c.effects.StopPolling(host.Address)
		}
	}
	c.chooseLeader(now)
}

// members returns the addresses of the eligible hosts of the domain, in the order of their starts.
// If there is none, it returns all reachable hosts of the domain.
func (c *Core) members() []string {
	members := c.filterHosts(func(address string) bool {
		return c.peers[address] || address == c.cfg.Self.Address && c.eligible()
	})
	if len(members) > 0 {
		return members
	}
	return c.filterHosts(func(address string) bool {
		_, up := c.peers[address]
		return up || address == c.cfg.Self.Address
	})
}

// filterHosts returns the addresses of the entry hosts of the domain that a function accepts, in
// the order of their starts.
func (c *Core) filterHosts(accept func(address string) bool) []string {
	var all []discoverer.Host
	for _, host := range c.hosts.All() {
		if host.Role == discoverer.Entry && host.Domain == c.cfg.Self.Domain && accept(host.Address) {
			all = append(all, host)
		}
	}
	slices.SortStableFunc(all, func(a, b discoverer.Host) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	addresses := make([]string, 0, len(all))
	for _, host := range all {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

// checkDiscovery reports whether this host has had enough time since its start to find the other
// hosts of its domain. A host that becomes the leader too early would assign upstreams away from
// their leaseholders, only to assign them back.
func (c *Core) checkDiscovery(now time.Time) bool {
	if c.discoveryComplete || c.firstUpdateAt.IsZero() {
		return c.discoveryComplete
	}
	missing := false
	for _, host := range c.hosts.All() {
		if host.Role == discoverer.Entry && host.Domain == c.cfg.Self.Domain && host.State == discoverer.Serving &&
			host.Address != c.cfg.Self.Address && !c.peers[host.Address] {
			missing = true
		}
	}
	elapsed := now.Sub(c.firstUpdateAt)
	c.discoveryComplete = elapsed >= maxDiscoveryTime || elapsed >= minDiscoveryTime && !missing
	return c.discoveryComplete
}

// leads reports whether this host is the leader of its domain.
func (c *Core) leads() bool { return c.leaderAddress == c.cfg.Self.Address }

// chooseLeader determines the leader of the domain, the member that started first. If it has changed,
// this host joins it, or begins to assign upstreams itself.
func (c *Core) chooseLeader(now time.Time) {
	members := c.members()
	if len(members) == 0 || members[0] == c.leaderAddress || !c.checkDiscovery(now) || c.postpones(now) {
		return
	}
	led := c.leads()
	c.leaderAddress = members[0]
	c.resetTenure()
	c.logEvent(reporter.LeaderChosen, "leader", c.leaderAddress, "members", members)
	if c.leads() {
		c.assign(now)
		return
	}
	j := join{}
	if led {
		j.Leaseholders, j.Number = c.assigned.Leaseholders, c.assigned.Number
	}
	c.send(c.leaderAddress, kindJoin, j)
}

// receiveEligibility records whether a host of the domain is eligible.
func (c *Core) receiveEligibility(now time.Time, from string, m eligibility) {
	if _, up := c.peers[from]; !up {
		return
	}
	c.peers[from] = m.Eligible
	c.reorganize(now)
}

// reorganize chooses the leader again and, if that is this host, assigns the upstreams again.
func (c *Core) reorganize(now time.Time) {
	c.updateWatches(now)
	if c.postpones(now) {
		return
	}
	c.chooseLeader(now)
	c.reportLosses(now)
	if c.leads() {
		c.assign(now)
	}
}

// SetHealthy sets whether this host is fast enough to be leader or placer and to hold upstreams.
func (c *Core) SetHealthy(now time.Time, healthy bool) {
	if c.unhealthy == !healthy {
		return
	}
	c.unhealthy = !healthy
	c.logEvent(reporter.StandingChanged, "takes-part", c.eligible())
	c.sendEligibility()
	c.reorganize(now)
}

// eligible reports whether this host may be leader or placer and hold upstreams.
func (c *Core) eligible() bool { return !c.draining && !c.unhealthy }

// sendEligibility notifies the other hosts of the domain whether this host is eligible.
func (c *Core) sendEligibility() {
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		c.send(peer, kindEligibility, eligibility{Eligible: c.eligible()})
	}
}

// SetControlReachable records whether a control host responds.
func (c *Core) SetControlReachable(address string, reachable bool) {
	if reachable {
		c.reachableControls[address] = true
	} else {
		delete(c.reachableControls, address)
	}
}
