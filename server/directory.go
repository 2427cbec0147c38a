package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/detector"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// takeoverTimeout bounds a request for the tasks that run on an upstream.
	takeoverTimeout = 500 * time.Millisecond
	// recheckEvery is the interval of such requests while tasks of a former owner run on an
	// upstream.
	recheckEvery = 250 * time.Millisecond
	// expireEvery is the interval at which expired upstreams and claims are removed.
	expireEvery = 100 * time.Millisecond

	minTTL = 100 * time.Millisecond
	maxTTL = time.Minute
	// maxSlots bounds the slots and the connections that one upstream may announce.
	maxSlots = 4096
	// maxCapacity bounds each amount of a capacity, so that sums cannot overflow.
	maxCapacity = 1_000_000_000
)

// directory holds the list of announced upstreams, and the sequence number up to which the changes
// of each peer's list have been received.
type directory struct {
	mu       sync.Mutex
	list     *leaser.Directory
	peerSeqs map[string]uint64 // sequence number of the latest received change, by peer
	pulling  map[string]bool   // peers from which changes are being fetched
	// sources holds the peer from which the current announcement of an upstream came, by upstream.
	sources map[string]announcementSource
}

// announcementSource is the peer from which an announcement came, and the ReceivedAt of the
// announcement, which identifies it.
type announcementSource struct {
	host       string
	receivedAt time.Time
}

// directoryRequest requests the changes of a peer's list after a sequence number.
type directoryRequest struct {
	Since uint64 `msgpack:"since"`
	// From is the requesting host. Changes that came from it are omitted from the reply, unless
	// Since is 0.
	From string `msgpack:"from"`
}

// directoryReply has the changes, and the sequence number for the next request.
type directoryReply struct {
	Changes []directoryChange `msgpack:"changes"`
	Next    uint64            `msgpack:"next"`
}

// directoryChange is an announcement with its age in place of its time, since the clocks of two
// hosts may differ by more than the TTL of an announcement.
type directoryChange struct {
	Announcement leaser.Announcement `msgpack:"announcement"`
	Age          time.Duration       `msgpack:"age"`
}

// upstreamBody is the body of POST /v1/upstreams.
type upstreamBody struct {
	Upstream    string                `json:"upstream"`
	Address     string                `json:"address"`
	Service     string                `json:"service"`
	Environment string                `json:"environment"`
	Incarnation uint64                `json:"incarnation"`
	Slots       int                   `json:"slots"`
	Connections int                   `json:"connections"`
	Capacity    sesamedrift.Resources `json:"capacity"`
	State       string                `json:"state"`
	TTL         string                `json:"ttl"`
}

// announcement validates the body and returns the announcement, or an error that lists all
// problems.
func (b *upstreamBody) announcement() (leaser.Announcement, *Error) {
	var problems []validator.Problem
	add := func(path, value, message string) {
		problems = append(problems, validator.Problem{Path: path, Value: value, Message: message})
	}
	if b.Upstream == "" {
		add("upstream", b.Upstream, "want the name of the upstream")
	}
	if b.Service == "" {
		add("service", b.Service, "want the name of a service")
	}
	if b.Environment == "" {
		b.Environment = validator.Production
	}
	if b.Environment != validator.Production && b.Environment != validator.Trial {
		add("environment", b.Environment, "want "+environmentNames)
	}
	host, _, err := net.SplitHostPort(b.Address)
	if err != nil || net.ParseIP(host) == nil {
		add("address", b.Address, "want an IP address and a port")
	}
	if b.Slots < 1 || b.Slots > maxSlots {
		add("slots", strconv.Itoa(b.Slots), "want 1 to "+strconv.Itoa(maxSlots))
	}
	if b.Connections < 1 || b.Connections > maxSlots {
		add("connections", strconv.Itoa(b.Connections), "want 1 to "+strconv.Itoa(maxSlots))
	}
	for path, n := range map[string]int64{
		"capacity.cpu":          b.Capacity.CPU,
		"capacity.memory":       b.Capacity.Memory,
		"capacity.accelerators": b.Capacity.Accelerators,
	} {
		if n < 0 || n > maxCapacity {
			add(path, strconv.FormatInt(n, 10), "want 0 to "+strconv.Itoa(maxCapacity))
		}
	}
	state := leaser.UpstreamState(b.State)
	if state != leaser.Serving && state != leaser.Leaving {
		add("state", b.State, "want serving or leaving")
	}
	ttl, err := time.ParseDuration(b.TTL)
	if err != nil || ttl < minTTL || ttl > maxTTL {
		add("ttl", b.TTL, "want a duration from "+minTTL.String()+" to "+maxTTL.String())
	}
	if len(problems) > 0 {
		return leaser.Announcement{}, badRequest("the announcement is not accepted", problems...)
	}
	return leaser.Announcement{
		Upstream:    b.Upstream,
		Address:     b.Address,
		Service:     serviceName(b.Environment, b.Service),
		Incarnation: b.Incarnation,
		Slots:       b.Slots,
		Connections: b.Connections,
		Capacity:    b.Capacity,
		State:       state,
		TTL:         ttl,
	}, nil
}

// serviceName returns the scheduler's name of a service of an environment.
func serviceName(environment, service string) string { return environment + "/" + service }

func (h *Host) postUpstream(w http.ResponseWriter, r *http.Request) {
	var body upstreamBody
	if err := readJSON(w, r, maxControlBody, &body); err != nil {
		writeError(w, err)
		return
	}
	a, e := body.announcement()
	if e != nil {
		writeError(w, e)
		return
	}
	if err := h.recordAnnouncement(a); err != nil {
		writeError(w, &Error{
			Status:  http.StatusConflict,
			Code:    "version-conflict",
			Message: err.Error(),
		})
		return
	}
	if !h.members.holdsLease(h.now()) {
		// The other hosts may not receive the announcement from this one.
		writeError(w, notReady("the host holds no lease of its failure domain; announce to another one too"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// recordAnnouncement applies an announcement to the list of upstreams. It returns a
// *leaser.StaleIncarnationError if the list has a higher incarnation of the upstream.
func (h *Host) recordAnnouncement(a leaser.Announcement) error {
	h.directory.mu.Lock()
	changed, err := h.directory.list.HandleAnnouncement(h.now(), a)
	h.directory.mu.Unlock()
	if err != nil || !changed {
		return err
	}
	reporter.Log(context.Background(), h.log, reporter.UpstreamAnnounced,
		"upstream", a.Upstream, "service", a.Service, "state", a.State, "incarnation", a.Incarnation)
	h.dispatcher.post(h.syncUpstreams)
	return nil
}

func (h *Host) directorySeq() uint64 {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	return h.directory.list.Seq()
}

func (h *Host) serveDirectory(in directoryRequest) (directoryReply, error) {
	now := h.now()
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	changes, next := h.directory.list.ChangesSince(in.Since)
	reply := directoryReply{
		Changes: make([]directoryChange, 0, len(changes)),
		Next:    next,
	}
	for _, a := range changes {
		source := h.directory.sources[a.Upstream]
		if in.Since > 0 && source.host == in.From && source.receivedAt.Equal(a.ReceivedAt) {
			continue
		}
		reply.Changes = append(reply.Changes, directoryChange{
			Announcement: a,
			Age:          now.Sub(a.ReceivedAt),
		})
	}
	return reply, nil
}

// pullDirectory fetches the changes of a peer's list in the background if seq, the peer's latest
// sequence number, differs from the one received last and no fetch from the peer is under way.
func (h *Host) pullDirectory(host string, seq uint64) {
	d := &h.directory
	d.mu.Lock()
	since := d.peerSeqs[host]
	if seq == since || d.pulling[host] {
		d.mu.Unlock()
		return
	}
	d.pulling[host] = true
	d.mu.Unlock()
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		reply, err := callPeer[directoryReply](ctx, h, host, messenger.KindDirectory, directoryRequest{
			Since: since,
			From:  h.cfg.Settings.Host,
		})
		d.mu.Lock()
		delete(d.pulling, host)
		if err == nil {
			d.peerSeqs[host] = reply.Next
		}
		d.mu.Unlock()
		now := h.now()
		for _, c := range reply.Changes {
			c.Announcement.ReceivedAt = now.Add(-c.Age)
			var stale *leaser.StaleIncarnationError
			if err := h.recordAnnouncement(c.Announcement); err != nil && !errors.As(err, &stale) {
				panic("server: announcement from a peer cannot be applied: " + err.Error())
			}
			h.recordSource(host, c.Announcement)
		}
	})
}

// recordSource records a peer as the source of an announcement, if it is the current announcement of
// its upstream.
func (h *Host) recordSource(host string, a leaser.Announcement) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	current, ok := h.directory.list.Get(a.Upstream)
	switch {
	case !ok:
		delete(h.directory.sources, a.Upstream)
	case current.ReceivedAt.Equal(a.ReceivedAt):
		h.directory.sources[a.Upstream] = announcementSource{
			host:       host,
			receivedAt: a.ReceivedAt,
		}
	}
}

// expireLoop removes expired upstreams and claims until ctx is done.
func (h *Host) expireLoop(ctx context.Context) {
	for messenger.Sleep(ctx, expireEvery) {
		now := h.now()
		h.directory.mu.Lock()
		expired := h.directory.list.Expire(now)
		for _, a := range expired {
			delete(h.directory.sources, a.Upstream)
		}
		h.directory.mu.Unlock()
		for _, a := range expired {
			reporter.Log(ctx, h.log, reporter.UpstreamExpired, "upstream", a.Upstream, "service", a.Service)
		}
		h.claims.Expire(now)
		h.dispatcher.post(h.syncUpstreams)
	}
}

// syncUpstreams adds the announced upstreams that this host owns to the queue, and removes those
// that it no longer owns or that are no longer announced. It is a command of the dispatcher.
func (h *Host) syncUpstreams(now time.Time) {
	d := h.dispatcher
	h.directory.mu.Lock()
	all := h.directory.list.All()
	h.directory.mu.Unlock()
	announced := make(map[string]bool, len(all))
	clear(d.announcedCapacities)
	for _, a := range all {
		announced[a.Upstream] = true
		if a.State == leaser.Serving && !d.evacuated {
			if d.announcedCapacities[a.Service] == nil {
				d.announcedCapacities[a.Service] = map[sesamedrift.Resources]bool{}
			}
			d.announcedCapacities[a.Service][a.Capacity] = true
		}
		owns := h.members.owns(now, a.Upstream)
		u, known := d.upstreams[a.Upstream]
		switch {
		case !owns && known:
			d.dropUpstream(now, a.Upstream)
		case owns && known && a.Incarnation != u.Incarnation:
			u.cancel(errUpstreamRestarted)
			d.dropUpstream(now, a.Upstream)
			h.takeOver(now, a)
		case owns && known:
			if u.State != a.State || u.Slots != a.Slots || u.Connections != a.Connections || u.Capacity != a.Capacity {
				u.Announcement = a
				d.refreshUpstream(now, a.Upstream)
			}
		case owns:
			h.takeOver(now, a)
		}
	}
	for name := range d.upstreams {
		if !announced[name] {
			d.dropUpstream(now, name)
		}
	}
}

// takeOver requests the running tasks of an upstream in the background and then adds the upstream to
// the queue, with the slots of these tasks occupied.
func (h *Host) takeOver(now time.Time, a leaser.Announcement) {
	d := h.dispatcher
	if until := d.takeovers[a.Upstream]; now.Before(until) {
		return
	}
	d.takeovers[a.Upstream] = now.Add(takeoverTimeout)
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
		defer cancel()
		running, err := h.runner.listRunning(ctx, a)
		d.post(func(now time.Time) {
			delete(d.takeovers, a.Upstream)
			if err != nil || !h.members.owns(now, a.Upstream) || d.upstreams[a.Upstream] != nil {
				return
			}
			d.addUpstream(now, a, running)
		})
	})
}

// recheckLoop polls the upstreams on which tasks of a former owner run, and frees the slots of those
// tasks that have ended, until ctx is done.
func (h *Host) recheckLoop(ctx context.Context) {
	for messenger.Sleep(ctx, recheckEvery) {
		var pending []leaser.Announcement
		if h.dispatcher.call(func(time.Time) { pending = h.dispatcher.upstreamsWithInherited() }) != nil {
			return
		}
		for _, a := range pending {
			h.recheck(ctx, a)
		}
	}
}

func (h *Host) recheck(ctx context.Context, a leaser.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	running, err := h.runner.listRunning(ctx, a)
	if err != nil {
		return
	}
	h.dispatcher.post(func(now time.Time) { h.dispatcher.releaseInherited(now, a.Upstream, running) })
}

// addUpstream adds an upstream to the queue and to the detector, with the slots of its running tasks
// and of the attempts in flight to it occupied.
func (d *dispatcher) addUpstream(now time.Time, a leaser.Announcement, running map[string]runningTask) {
	ctx, cancel := context.WithCancelCause(context.Background())
	u := &ownedUpstream{
		Announcement: a,
		ctx:          ctx,
		cancel:       cancel,
		inherited:    map[string]bool{},
	}
	d.upstreams[a.Upstream] = u
	d.ownedServices[a.Service] = true
	d.health.Add(a.Upstream, a.Service)
	d.refreshUpstream(now, a.Upstream)
	for id, f := range d.inFlight {
		if f.upstream == a.Upstream {
			d.queue.Occupy(now, a.Upstream, id, f.needs, f.latestEnd)
		}
	}
	for id, r := range running {
		if d.queue.Occupy(now, a.Upstream, id, r.Needs, r.Ends) {
			u.inherited[id] = true
		}
	}
}

// dropUpstream removes an upstream from the queue and from the detector. Its running tasks continue.
func (d *dispatcher) dropUpstream(now time.Time, upstream string) {
	delete(d.upstreams, upstream)
	d.health.Remove(upstream)
	d.queue.RemoveUpstream(now, upstream)
}

// releaseInherited frees the slots of tasks of a former owner that have ended.
func (d *dispatcher) releaseInherited(now time.Time, upstream string, running map[string]runningTask) {
	u := d.upstreams[upstream]
	if u == nil {
		return
	}
	for id := range u.inherited {
		if _, ok := running[id]; !ok {
			delete(u.inherited, id)
			d.queue.Done(now, id)
		}
	}
}

func (d *dispatcher) upstreamsWithInherited() []leaser.Announcement {
	var all []leaser.Announcement
	for _, u := range d.upstreams {
		if len(u.inherited) > 0 {
			all = append(all, u.Announcement)
		}
	}
	return all
}

// refreshUpstream updates the state, the slots and the capacity of an upstream in the queue.
func (d *dispatcher) refreshUpstream(now time.Time, upstream string) {
	u := d.upstreams[upstream]
	if u == nil {
		return
	}
	u.queueState = d.upstreamState(now, u)
	d.queue.SetUpstream(now, scheduler.Upstream{
		ID:          u.Upstream,
		Service:     u.Service,
		Slots:       u.Slots,
		Connections: u.Connections,
		Capacity:    u.Capacity,
		Weight:      d.health.Weight(upstream),
		State:       u.queueState,
	})
}

// upstreamState combines the announced state of an upstream with its health: a leaving upstream is
// leaving whatever its health, and so is every upstream of an evacuated failure domain.
func (d *dispatcher) upstreamState(now time.Time, u *ownedUpstream) scheduler.State {
	if u.State == leaser.Leaving || d.evacuated {
		return scheduler.Leaving
	}
	switch s := d.health.State(now, u.Upstream); s {
	case detector.Healthy:
		return scheduler.Serving
	case detector.Ejected:
		return scheduler.Ejected
	case detector.Probing:
		return scheduler.Probing
	default:
		panic("server: upstream state " + string(s) + " is not known")
	}
}
