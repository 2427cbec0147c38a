package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/inquirer"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/router"
)

// sessionEvent takes in what has happened in a session.
func (h *Host) sessionEvent(now time.Time, e courier.Event) {
	if n := h.neighbours[e.Peer]; n != nil && e.Kind != courier.Delivered {
		if e.Kind == courier.Up {
			h.neighbourUp(n)
		} else {
			h.neighbourDown(now, e.Peer, n)
		}
		return
	}
	switch e.Kind {
	case courier.Up:
		if host, known := h.hosts.Get(e.Peer); known && host.Domain != h.cfg.Self.Domain {
			// A placer of another domain that this host has not heard of as such.
			return
		}
		h.up[e.Peer] = true
		h.log.Info("session begun", "peer", e.Peer)
		h.tell(e.Peer, kindKnown, known{
			Hosts:     h.hosts.All(),
			Upstreams: h.upstreams.All(),
			Document:  h.published,
		})
		h.choosePlacer(now)
		if h.placer != nil {
			h.assign(now)
			h.tell(e.Peer, kindAssignment, h.assigned)
		}
	case courier.Down:
		delete(h.up, e.Peer)
		h.log.Info("session ended", "peer", e.Peer)
		h.peerLost(now, e.Peer)
	case courier.Delivered:
		for _, m := range e.Messages {
			h.receiveEncoded(now, e.Peer, m)
		}
	}
}

// peerLost drops what a host has asked of this one.
func (h *Host) peerLost(now time.Time, peer string) {
	h.dropCallers(now, peer)
	if peer == h.placerAt {
		h.returnPassed(now)
	}
	for _, k := range h.sortedKeeps() {
		k.session.StopAll(now, peer)
	}
	if h.placer != nil {
		h.placer.Leave(now, peer)
	}
	for _, j := range h.jobs {
		// What was sent to the peer, or came from it, may be lost.
		j.watchAt = now.Add(watchAgain)
	}
	h.choosePlacer(now)
	if h.placer != nil {
		h.assign(now)
	}
}

// receiveEncoded decodes a message and takes it in.
func (h *Host) receiveEncoded(now time.Time, from string, m courier.Message) {
	switch m.Kind {
	case kindKnown:
		decode[known](h, now, from, m)
	case kindJoin:
		decode[join](h, now, from, m)
	case kindAssignment:
		decode[assignment](h, now, from, m)
	case kindAsk:
		decode[ask](h, now, from, m)
	case kindWithdraw:
		decode[withdraw](h, now, from, m)
	case kindReturn:
		decode[returned](h, now, from, m)
	case kindGranted:
		decode[granted](h, now, from, m)
	case kindRefused:
		decode[refused](h, now, from, m)
	case kindStart:
		decode[start](h, now, from, m)
	case kindStop:
		decode[stop](h, now, from, m)
	case kindWatch:
		decode[watch](h, now, from, m)
	case kindRunEnded:
		decode[runEnded](h, now, from, m)
	case kindRuns:
		decode[runs](h, now, from, m)
	case kindFreed:
		decode[freed](h, now, from, m)
	case kindLeaving:
		decode[leaving](h, now, from, m)
	case kindRoom:
		decode[room](h, now, from, m)
	case kindPassOn:
		decode[passOn](h, now, from, m)
	case kindForward:
		decode[forward](h, now, from, m)
	case kindForwarded:
		decode[forwarded](h, now, from, m)
	case kindDrop:
		decode[drop](h, now, from, m)
	case kindProgress:
		decode[progress](h, now, from, m)
	case kindSuperseded:
		decode[superseded](h, now, from, m)
	default:
		h.log.Warn("message of an unknown kind", "peer", from, "kind", m.Kind)
	}
}

func decode[M any](h *Host, now time.Time, from string, m courier.Message) {
	var v M
	if err := messenger.Decode(m.Body, &v); err != nil {
		h.log.Warn("message cannot be read", "peer", from, "kind", m.Kind, "error", err)
		return
	}
	h.receive(now, from, m.Kind, v)
}

// receive takes in a message of a host of the domain, which may be this one.
func (h *Host) receive(now time.Time, from string, kind courier.Kind, v any) {
	switch m := v.(type) {
	case known:
		h.learn(now, m)
	case join:
		h.joined(now, from)
	case assignment:
		h.receiveAssignment(now, from, m)
	case ask:
		h.receiveAsk(now, from, m)
	case withdraw:
		h.receiveWithdraw(from, m)
	case returned:
		h.receiveReturned(now, m)
	case granted:
		h.receiveGranted(from, m)
	case refused:
		h.receiveRefused(now, from, m)
	case start:
		h.receiveStart(now, from, m)
	case stop:
		h.receiveStop(now, m)
	case watch:
		h.receiveWatch(from, m)
	case runEnded:
		h.receiveRunEnded(now, m)
	case runs:
		h.receiveRuns(now, from, m)
	case freed:
		h.receiveFreed(now, from, m)
	case leaving:
		h.receiveLeaving(now, from)
	case room:
		h.receiveRoom(now, from, m)
	case passOn:
		h.receivePassOn(now, from, m)
	case forward:
		h.receiveForward(now, from, m)
	case forwarded:
		h.receiveForwarded(now, from, m)
	case drop:
		h.receiveDrop(now, from, m)
	case progress:
		h.receiveProgress(now, from, m)
	case superseded:
		h.receiveSuperseded(now, from, m)
	default:
		panic("dispatcher: a message has no handler")
	}
}

// learn takes in what another host knows.
func (h *Host) learn(now time.Time, k known) {
	for _, host := range k.Hosts {
		if h.hosts.Put(now, host) {
			h.hostChanged(now, host)
		}
	}
	if h.started.IsZero() {
		h.started = now
	}
	changed := false
	for _, u := range k.Upstreams {
		if h.upstreams.Put(now, u) {
			changed = true
			h.upstreamChanged(now, u)
		}
	}
	if changed && h.placer != nil {
		h.assign(now)
	}
	h.learnDocument(k.Document)
}

// learnDocument puts a newer document in force.
func (h *Host) learnDocument(d inquirer.Document) {
	if d.Version <= h.published.Version {
		return
	}
	parsed, err := h.cfg.Parse(d.Content)
	if err != nil {
		reporter.Log(context.Background(), h.log, reporter.ConfigurationRejected, "version", d.Version, "error", err)
		return
	}
	h.published = d
	h.table = router.NewTable(parsed)
	h.cfg.InForce(h.table)
	reporter.Log(context.Background(), h.log, reporter.ConfigurationInForce, "version", d.Version, "queues", len(parsed.Queues))
}

// present returns the present report about this host.
func (h *Host) present() finder.Host {
	h.selfMu.Lock()
	defer h.selfMu.Unlock()
	return h.self
}

// setPlaces reports whether this host places.
func (h *Host) setPlaces(now time.Time, places bool) {
	h.selfMu.Lock()
	h.self.Report++
	h.self.Places = places
	self := h.self
	h.selfMu.Unlock()
	h.hosts.Put(now, self)
}

// askNews begins to ask a control host for news, until the host closes or the control host
// has gone.
func (h *Host) askNews(address string) {
	if _, asking := h.newsFrom[address]; asking {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.newsFrom[address] = cancel
	h.duties.Go(func() { h.asker.Ask(ctx, address) })
}

// apply takes in news from a control host.
func (h *Host) apply(ctx context.Context, n inquirer.News) uint64 {
	version := make(chan uint64, 1)
	h.inbox.force(func(now time.Time) {
		h.learn(now, known{
			Hosts:     n.Hosts,
			Upstreams: n.Upstreams,
			Document:  n.Document,
		})
		version <- h.published.Version
	})
	select {
	case v := <-version:
		return v
	case <-ctx.Done():
		return 0
	}
}

// hostChanged begins or ends the connections to a host.
func (h *Host) hostChanged(now time.Time, host finder.Host) {
	switch {
	case host.Address == h.cfg.Self.Address:
	case host.Role == finder.Control && host.State != finder.Gone:
		h.askNews(host.Address)
	case host.Role == finder.Entry && host.Domain != h.cfg.Self.Domain:
		h.placerChanged(host)
		return
	case host.Role == finder.Entry && host.State != finder.Gone:
		h.courier.Connect(host.Address)
	case host.State == finder.Gone:
		h.courier.Disconnect(host.Address)
		if cancel := h.newsFrom[host.Address]; cancel != nil {
			cancel()
			delete(h.newsFrom, host.Address)
		}
	}
	h.choosePlacer(now)
}

// members returns the addresses of the hosts of the domain that take part, this one
// included, in the order in which they started.
func (h *Host) members() []string {
	var all []finder.Host
	for _, host := range h.hosts.All() {
		if host.Role != finder.Entry || host.Domain != h.cfg.Self.Domain {
			continue
		}
		if h.up[host.Address] || host.Address == h.cfg.Self.Address && !h.stopping {
			all = append(all, host)
		}
	}
	slices.SortStableFunc(all, func(a, b finder.Host) int {
		if a.Life != b.Life {
			if a.Life < b.Life {
				return -1
			}
			return 1
		}
		return 0
	})
	addresses := make([]string, 0, len(all))
	for _, host := range all {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

// settled reports whether this host has had the time to find the other hosts of its domain
// since it started. A host that places before that would take upstreams from their keepers
// only to give them back.
func (h *Host) settled(now time.Time) bool {
	if h.isSettled || h.started.IsZero() {
		return h.isSettled
	}
	missing := false
	for _, host := range h.hosts.All() {
		if host.Role == finder.Entry && host.Domain == h.cfg.Self.Domain && host.State == finder.Serving &&
			host.Address != h.cfg.Self.Address && !h.up[host.Address] {
			missing = true
		}
	}
	known := now.Sub(h.started)
	h.isSettled = known >= settleMost || known >= settleLeast && !missing
	return h.isSettled
}

// choosePlacer finds out which host places, and begins or ends to place itself.
func (h *Host) choosePlacer(now time.Time) {
	members := h.members()
	if len(members) == 0 || members[0] == h.placerAt || !h.settled(now) {
		return
	}
	h.placerAt = members[0]
	h.log.Info("placer chosen", "placer", h.placerAt, "members", len(members))
	if h.placerAt == h.cfg.Self.Address {
		h.beginPlacing(now)
	} else if h.placer != nil {
		h.endPlacing()
	}
	h.returnPassed(now)
	h.tell(h.placerAt, kindJoin, join{})
	for _, k := range h.sortedKeeps() {
		h.reportRuns(k)
	}
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		h.askPlaces(now, h.jobs[id])
	}
}

// receiveLeaving notes that a host of the domain stops.
func (h *Host) receiveLeaving(now time.Time, from string) {
	h.up[from] = false
	h.choosePlacer(now)
	if h.placer != nil {
		h.assign(now)
	}
}
