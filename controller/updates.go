package controller

import (
	"context"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
)

// startPolling starts to poll another control host for updates, unless it is polled already. The
// caller holds h.mu.
func (h *Host) startPolling(address string) {
	if address == h.cfg.Self.Address || h.polling[address] || h.ctx.Err() != nil {
		return
	}
	h.polling[address] = true
	h.wg.Go(func() { h.poller.Poll(h.ctx, address) })
}

// applyUpdates merges the lists and the evacuations that another control host has sent. It ignores the
// document, which this host receives from its replica.
func (h *Host) applyUpdates(_ context.Context, _ string, updates poller.Updates) {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, host := range updates.Hosts {
		changed = h.putHost(now, host) || changed
	}
	for _, u := range updates.Upstreams {
		if h.upstreams.Put(now, u) {
			changed = true
			h.storeSoon()
		}
	}
	if updates.Evacuations != nil {
		changed = h.putEvacuations(*updates.Evacuations) || changed
	}
	if changed {
		h.notifyPollers()
	}
}

// putHost records the report of a host and returns whether it changes the list. Control hosts that
// are not gone are polled from then on. The caller holds h.mu.
func (h *Host) putHost(now time.Time, host discoverer.Host) bool {
	if host.Role == discoverer.Control && host.State != discoverer.Gone {
		h.startPolling(host.Address)
	}
	if host.IsPlacer {
		h.placers[host.Address] = true
	}
	return h.hosts.Put(now, host)
}

// gatherTime is how long an open poll is kept after a change, so that changes which follow each other
// closely share a reply. While many upstreams start, or an operator changes the document several
// times a second, each change would otherwise cost one message to every host.
const gatherTime = 20 * time.Millisecond

// handlePoll records the report of the polling host and returns the updates since the numbers in req.
// If there are none, it waits for them for at most poller.MaxWait.
func (h *Host) handlePoll(ctx context.Context, req poller.Request) poller.Updates {
	h.mu.Lock()
	if h.putHost(h.cfg.Now(), req.Self) {
		reporter.Log(ctx, h.log, reporter.HostChanged, "host", req.Self.ID, "address", req.Self.Address, "state", req.Self.State,
			"life", req.Self.Incarnation, "report", req.Self.ReportSeq, "places", req.Self.IsPlacer)
		h.notifyPollers()
	}
	h.mu.Unlock()
	if req.Incarnation != h.cfg.Self.Incarnation {
		req.HostsSeq, req.UpstreamsSeq = 0, 0
		req.EvacuationsVersion, req.EvacuationsKnown = 0, false
	}
	timer := time.NewTimer(poller.MaxWait)
	defer timer.Stop()
	for {
		updates, changed := h.updatesSince(req)
		if !updates.Empty(req) {
			return updates
		}
		// Changes that do not concern the polling host are not looked at again.
		req.HostsSeq, req.UpstreamsSeq = updates.HostsSeq, updates.UpstreamsSeq
		select {
		case <-changed:
			messenger.Sleep(ctx, gatherTime)
		case <-timer.C:
			return updates
		case <-ctx.Done():
			return updates
		}
	}
}

// updatesSince returns the updates since the numbers in req, and a channel that is closed at the next
// change.
func (h *Host) updatesSince(req poller.Request) (poller.Updates, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	updates := poller.Updates{
		Incarnation:  h.cfg.Self.Incarnation,
		HostsSeq:     h.hosts.Seq(),
		UpstreamsSeq: h.upstreams.Seq(),
		Hosts:        h.hosts.Since(req.HostsSeq),
		Upstreams:    h.upstreams.Since(req.UpstreamsSeq),
	}
	if req.TakesEvacuations {
		updates.EvacuationsKnown = h.evacuationsKnown
		if state := h.evacuations; state.Version > req.EvacuationsVersion {
			updates.Evacuations = &state
		}
	}
	if req.Self.Role == discoverer.Entry {
		updates.Hosts = slices.DeleteFunc(updates.Hosts, func(host discoverer.Host) bool { return !h.concerns(host, req.Self.Domain) })
		updates.Upstreams = slices.DeleteFunc(updates.Upstreams, func(u discoverer.Upstream) bool { return u.Domain != req.Self.Domain })
	}
	switch {
	case h.document.Version <= req.Version:
	case req.AnnounceOnly:
		updates.DocumentVersion = h.document.Version
	default:
		updates.Document = poller.Document{
			Version: h.document.Version,
			Content: h.document.Content,
		}
	}
	return updates, h.updated
}

// concerns reports whether the entry hosts of a failure domain need the reports of a host: they work
// with the hosts of their domain, with control hosts, and with the placers of other domains. The
// caller holds h.mu.
func (h *Host) concerns(host discoverer.Host, domain string) bool {
	return host.Domain == domain || host.Role == discoverer.Control || h.placers[host.Address]
}
