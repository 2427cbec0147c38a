package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// viewPrefix is the name prefix of the registers that hold views.
	viewPrefix = "view-"
	// leaveTimeout bounds the view change of a planned stop.
	leaveTimeout = 3 * time.Second
	// leaveRetryInterval is the backoff between two attempts at the view change of a planned stop.
	leaveRetryInterval = 50 * time.Millisecond
	// syncTimeout bounds one merge of the claims of the previous view, and syncPartTimeout the
	// request for one part of a table. A merge that times out starts over, so that its bound must be
	// far above the time that the largest table takes.
	syncTimeout     = time.Minute
	syncPartTimeout = 2 * time.Second
)

// heartbeatRequest is a heartbeat with a report of the sender's slots.
type heartbeatRequest struct {
	Heartbeat leaser.Heartbeat `msgpack:"heartbeat"`
	Slots     slotReport       `msgpack:"slots"`
}

// heartbeatReply is the acknowledgement of a heartbeat, with a report of the receiver's slots.
type heartbeatReply struct {
	Ack   leaser.Ack `msgpack:"ack"`
	Slots slotReport `msgpack:"slots"`
}

// membership guards the leaser, which is not safe for concurrent use.
type membership struct {
	mu        sync.Mutex
	leaser    *leaser.Leaser
	leaseHeld bool // whether the lease was held at the last call of reportLease
	// unacked holds the peers to which a heartbeat is under way.
	unacked map[string]bool
}

// withLock calls f with the leaser while the lock is held.
func (m *membership) withLock(f func(l *leaser.Leaser)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.leaser)
}

func (m *membership) view() leaser.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaser.View()
}

func (m *membership) holdsLease(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaser.HoldsLease(now)
}

func (m *membership) owns(now time.Time, upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaser.Owns(now, upstream)
}

// heartbeatLoop sends heartbeats and checks the lease until ctx is done.
func (h *Host) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(h.cfg.Settings.HeartbeatEvery.Std())
	defer ticker.Stop()
	for {
		h.sendHeartbeats(ctx)
		h.reportLease(ctx)
		select {
		case <-ticker.C:
		case <-h.heartbeatRequested:
		case <-ctx.Done():
			return
		}
	}
}

// requestHeartbeat makes heartbeatLoop send heartbeats before its next tick.
func (h *Host) requestHeartbeat() {
	select {
	case h.heartbeatRequested <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends one heartbeat to each recipient of the leaser and, while this host is not a
// member of the view, to each host of the failure domain. Peers that have not answered the last
// heartbeat are skipped, so that at most one heartbeat to each peer is under way.
func (h *Host) sendHeartbeats(ctx context.Context) {
	h.members.mu.Lock()
	heartbeat := h.members.leaser.Heartbeat(h.now())
	recipients := map[string]bool{}
	for _, m := range h.members.leaser.Recipients() {
		recipients[m.Host] = true
	}
	if !h.members.leaser.View().Has(h.self) {
		for _, host := range h.peersIn(h.cfg.Settings.Domain) {
			recipients[host] = true
		}
	}
	for host := range recipients {
		if h.members.unacked[host] {
			delete(recipients, host)
			continue
		}
		h.members.unacked[host] = true
	}
	h.members.mu.Unlock()
	heartbeat.ConfigVersions = h.exchangedVersions()
	heartbeat.DirectorySeq = h.directorySeq()
	for host := range recipients {
		h.background.Go(func() { h.sendHeartbeat(ctx, host, heartbeat) })
	}
}

func (h *Host) sendHeartbeat(ctx context.Context, host string, heartbeat leaser.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Settings.LeaseTime.Std())
	defer cancel()
	reply, err := callPeer[heartbeatReply](ctx, h, host, messenger.KindHeartbeat, heartbeatRequest{
		Heartbeat: heartbeat,
		Slots:     h.slots.report(host),
	})
	h.members.mu.Lock()
	delete(h.members.unacked, host)
	if err == nil {
		h.members.leaser.HandleAck(h.now(), reply.Ack)
	}
	h.members.mu.Unlock()
	if err == nil {
		h.reportLease(ctx)
		h.receivePeerState(host, reply.Slots, reply.Ack.ConfigVersions)
		h.pullDirectory(host, reply.Ack.DirectorySeq)
	}
}

func (h *Host) serveHeartbeat(in heartbeatRequest) (heartbeatReply, error) {
	now := h.now()
	heartbeat := in.Heartbeat
	var ack leaser.Ack
	holds := true
	h.members.withLock(func(l *leaser.Leaser) {
		if !l.View().Has(heartbeat.From) {
			l.HandleJoin(now, heartbeat.From)
		}
		ack = l.HandleHeartbeat(now, heartbeat)
		holds = heartbeat.View != ack.View || l.HoldsLease(now)
	})
	if !holds {
		// The sender is in the view of this host, so that it will acknowledge a heartbeat, which extends
		// the lease.
		h.requestHeartbeat()
	}
	ack.ConfigVersions = h.exchangedVersions()
	ack.DirectorySeq = h.directorySeq()
	h.receivePeerState(heartbeat.From.Host, in.Slots, heartbeat.ConfigVersions)
	h.pullDirectory(heartbeat.From.Host, heartbeat.DirectorySeq)
	return heartbeatReply{
		Ack:   ack,
		Slots: h.slots.report(heartbeat.From.Host),
	}, nil
}

func (h *Host) reportLease(ctx context.Context) {
	h.members.mu.Lock()
	holds := h.members.leaser.HoldsLease(h.now())
	view := h.members.leaser.View().Number
	changed := holds != h.members.leaseHeld
	h.members.leaseHeld = holds
	h.members.mu.Unlock()
	switch {
	case changed && holds:
		reporter.Log(ctx, h.log, reporter.LeaseHeld, "view", view)
	case changed:
		reporter.Log(ctx, h.log, reporter.LeaseLost, "view", view)
	}
	if changed {
		h.dispatcher.post(h.syncUpstreams)
	}
}

// viewChangeLoop reads the view of the failure domain and proposes new views until ctx is done.
func (h *Host) viewChangeLoop(ctx context.Context) {
	h.readView(ctx)
	ticker := time.NewTicker(h.cfg.Settings.HeartbeatEvery.Std())
	defer ticker.Stop()
	for {
		h.changeView(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) changeView(ctx context.Context) {
	var behind, propose bool
	var next leaser.View
	h.members.withLock(func(l *leaser.Leaser) {
		behind = l.NewestViewNumber() > l.View().Number
		if !behind {
			next, propose = l.NextView(h.now())
		}
	})
	switch {
	case behind:
		h.readView(ctx)
	case !h.claimsSynced():
		// The claims of the previous view are merged before the next view is proposed.
		h.background.Go(func() { h.syncClaims(ctx) })
	case propose:
		h.recordView(ctx, next)
	}
}

// readView installs the view that a majority read of the register returns. After an error the present
// view stays.
func (h *Host) readView(ctx context.Context) {
	entry, err := h.readRegister(ctx, viewPrefix+h.cfg.Settings.Domain)
	if err != nil || entry.Version == 0 {
		return
	}
	h.installEntry(ctx, entry)
}

// installEntry installs the view that an entry of the view register holds.
func (h *Host) installEntry(ctx context.Context, entry registrar.Entry) {
	var v leaser.View
	if err := messenger.Decode(entry.Value, &v); err != nil {
		reporter.Log(ctx, h.log, reporter.ViewProposalFailed, "error", err)
		return
	}
	h.install(ctx, v)
}

func (h *Host) install(ctx context.Context, v leaser.View) {
	changed := false
	h.members.withLock(func(l *leaser.Leaser) {
		changed = v.Number > l.View().Number
		l.Install(h.now(), v)
	})
	if !changed {
		return
	}
	hosts := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		hosts = append(hosts, m.Host)
	}
	reporter.Log(ctx, h.log, reporter.ViewInstalled, "view", v.Number, "members", hosts, "horizon", v.Horizon)
	// The lease of the new view starts with heartbeats that are acknowledged in this view.
	h.requestHeartbeat()
	h.background.Go(func() { h.syncClaims(ctx) })
	h.dispatcher.post(h.syncUpstreams)
}

// recordView proposes a view as the next version of the view register. It installs the view if it is
// accepted, and otherwise the view that the register has. It reports whether the view was accepted.
func (h *Host) recordView(ctx context.Context, next leaser.View) bool {
	value, err := messenger.Encode(next)
	if err != nil {
		panic("server: view cannot be encoded: " + err.Error())
	}
	result, err := h.changeRegister(ctx, registrar.Change{
		Register: viewPrefix + h.cfg.Settings.Domain,
		ID:       uuid.NewString(),
		Who:      h.cfg.Settings.Host,
		Expected: next.Number - 1,
		Value:    value,
	})
	switch {
	case err != nil:
		reporter.Log(ctx, h.log, reporter.ViewProposalFailed, "view", next.Number, "error", err)
		return false
	case result.Status == registrar.Accepted:
		h.install(ctx, next)
		h.broadcastView(ctx, next)
		return true
	default:
		h.readView(ctx)
		return false
	}
}

// broadcastView sends a recorded view to its members and to those of the previous view, so that they
// need not wait for the next heartbeat. A member that does not receive it reads the register.
func (h *Host) broadcastView(ctx context.Context, v leaser.View) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Settings.LeaseTime.Std())
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	notified := map[string]bool{h.cfg.Settings.Host: true}
	for _, m := range slices.Concat(v.Members, v.PreviousMembers) {
		if notified[m.Host] {
			continue
		}
		notified[m.Host] = true
		calls.Go(func() {
			// A host that cannot be reached has crashed, or reads the register later.
			_, _ = callPeer[empty](ctx, h, m.Host, messenger.KindInstallView, v)
		})
	}
}

// serveInstallView installs a view that another member has recorded.
func (h *Host) serveInstallView(v leaser.View) (empty, error) {
	if v.Domain == h.cfg.Settings.Domain {
		h.background.Go(func() { h.install(context.Background(), v) })
	}
	return empty{}, nil
}

// leaveView records a view without this host, so that the other members own its upstreams. It retries
// until leaveTimeout, and returns at once if this host is not a member or is the only one.
func (h *Host) leaveView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		var next leaser.View
		var member bool
		h.members.withLock(func(l *leaser.Leaser) {
			next = l.Leave(h.now())
			member = l.View().Has(h.self)
		})
		if !member || next.Number > 0 && (len(next.Members) == 0 || h.recordView(ctx, next)) {
			return
		}
		if !messenger.Sleep(ctx, leaveRetryInterval) {
			return
		}
	}
}
