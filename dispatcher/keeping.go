package dispatcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/keeper"
)

// keep is an upstream that this host keeps.
type keep struct {
	session *keeper.Session
	// overtakenAt is when another keeper was noticed; zero otherwise.
	overtakenAt time.Time
	// stop ends the orders that are on their way.
	stop context.CancelFunc
	ctx  context.Context
}

func (h *Host) sortedKeeps() []*keep {
	all := make([]*keep, 0, len(h.keeps))
	for _, k := range h.keeps {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *keep) int {
		return strings.Compare(a.session.Upstream().ID, b.session.Upstream().ID)
	})
	return all
}

// updateKeeps takes over the upstreams that are assigned to this host and lets go of the
// others.
func (h *Host) updateKeeps(now time.Time) {
	for id, k := range h.keeps {
		if at := h.assigned.Keepers[id]; at != "" && at != h.cfg.Self.Address {
			k.stop()
			delete(h.keeps, id)
		}
	}
	for id, at := range h.assigned.Keepers {
		u, known := h.upstreams.Get(id)
		if at == h.cfg.Self.Address && known && h.keeps[id] == nil {
			h.take(now, u)
		}
	}
}

// take begins to keep an upstream.
func (h *Host) take(now time.Time, u finder.Upstream) {
	// Wall clocks of hosts differ by less than the time between two takeovers, or the
	// upstream rejects the token and the next one is higher.
	token := max(uint64(now.UnixMilli()), h.lastTokens[u.ID]+1)
	h.lastTokens[u.ID] = token
	ctx, cancel := context.WithCancel(context.Background())
	h.keeps[u.ID] = &keep{
		session: keeper.New(h.cfg.Keeping, now, u, token),
		ctx:     ctx,
		stop:    cancel,
	}
	h.log.Info("upstream taken", "upstream", u.ID, "address", u.Address, "token", token)
}

// upstreamChanged takes in a newer report of an upstream.
func (h *Host) upstreamChanged(now time.Time, u finder.Upstream) {
	h.log.Info("upstream changed", "upstream", u.ID, "state", u.State, "life", u.Life, "service", u.Service)
	h.placeOn(now, u)
	k := h.keeps[u.ID]
	if k == nil {
		return
	}
	if k.session.Upstream().Life != u.Life || k.session.Upstream().Address != u.Address {
		// Runs of the former life have ended with it. Its session learns that by itself if
		// anything ran; the new life gets a session of its own.
		h.replace(now, k, u)
		return
	}
	k.session.Update(u)
}

// replace ends the session of a former life and begins one for the new life.
func (h *Host) replace(now time.Time, k *keep, u finder.Upstream) {
	k.session.Replace(now)
	h.sendKeeperEvents(k)
	k.stop()
	delete(h.keeps, u.ID)
	if h.assigned.Keepers[u.ID] == h.cfg.Self.Address {
		h.take(now, u)
	}
}

// tickKeeps does what is due on all upstreams of this host.
func (h *Host) tickKeeps(now time.Time) {
	for _, k := range h.sortedKeeps() {
		u := k.session.Upstream()
		switch {
		case !k.overtakenAt.IsZero() && now.Sub(k.overtakenAt) >= retakeAfter:
			k.stop()
			delete(h.keeps, u.ID)
			if h.assigned.Keepers[u.ID] == h.cfg.Self.Address {
				h.take(now, u)
			}
		case h.assigned.Keepers[u.ID] == "" && len(k.session.Tasks()) == 0:
			k.stop()
			delete(h.keeps, u.ID)
		default:
			k.session.Tick(now)
		}
	}
}

// reportEvery is the time between two reports on the progress of runs, and reportFrom how
// long a run must have run to be in one; most runs end before.
const (
	reportEvery = 100 * time.Millisecond
	reportFrom  = 80 * time.Millisecond
)

// reportProgress tells the placer how much of the longer runs is done.
func (h *Host) reportProgress(now time.Time) {
	if now.Sub(h.reportedAt) < reportEvery || h.placerAt == "" {
		return
	}
	h.reportedAt = now
	var m progress
	for _, k := range h.sortedKeeps() {
		if !k.session.Ready() {
			continue
		}
		for _, t := range k.session.Tasks() {
			if t.Ran >= reportFrom {
				m.Runs = append(m.Runs, runProgress{
					Upstream: k.session.Upstream().ID,
					Run:      t.Task.Run,
					Percent:  t.Percent,
					Ran:      t.Ran,
				})
			}
		}
	}
	if len(m.Runs) > 0 {
		h.tell(h.placerAt, kindProgress, m)
	}
}

// sendOrders sends what the sessions have decided.
func (h *Host) sendOrders(now time.Time) {
	for _, k := range h.keeps {
		k.session.Tick(now)
		orders, events := k.session.Drain()
		h.tellEvents(now, k, events)
		u := k.session.Upstream()
		for _, o := range orders {
			h.calls.Go(func() {
				call, cancel := context.WithTimeout(k.ctx, o.Timeout)
				defer cancel()
				a := h.cfg.Order(call, u, o)
				h.inbox.force(func(now time.Time) {
					k.session.Answered(now, a)
				})
			})
		}
	}
}

// sendKeeperEvents tells what a session that is given up has decided.
func (h *Host) sendKeeperEvents(k *keep) {
	_, events := k.session.Drain()
	h.tellEvents(h.cfg.Now(), k, events)
}

func (h *Host) tellEvents(now time.Time, k *keep, events []keeper.Event) {
	id := k.session.Upstream().ID
	for _, e := range events {
		switch e.Kind {
		case keeper.Ended:
			h.tell(e.Task.Entry, kindRunEnded, runEnded{
				Upstream: id,
				Run:      e.Task.Run,
				How:      e.How,
				Reason:   e.Reason,
			})
			h.tell(h.placerAt, kindFreed, freed{
				Upstream: id,
				Run:      e.Task.Run,
				How:      e.How,
				Reason:   e.Reason,
				Took:     e.Took,
			})
		case keeper.Ready, keeper.Silent:
			h.log.Info("upstream contact", "upstream", id, "ready", e.Kind == keeper.Ready)
			h.reportRuns(k)
		case keeper.Overtaken:
			h.log.Warn("upstream taken by another host", "upstream", id, "token", k.session.Token())
			k.overtakenAt = now
			h.reportRuns(k)
		case keeper.Replaced:
			h.log.Info("upstream has begun another life", "upstream", id)
			k.overtakenAt = now
			h.reportRuns(k)
		}
	}
}

// reportRuns tells the placer the state of an upstream.
func (h *Host) reportRuns(k *keep) {
	r := runs{
		Upstream: k.session.Upstream().ID,
		Ready:    k.session.Ready(),
	}
	for _, p := range k.session.Tasks() {
		t := p.Task
		t.Content = ""
		r.Running = append(r.Running, t)
	}
	h.tell(h.placerAt, kindRuns, r)
}

func (h *Host) receiveStart(now time.Time, from string, m start) {
	for _, r := range m.Runs {
		t := keeper.Task{
			Run:     r.Run,
			Entry:   from,
			Demand:  r.Demand,
			Content: m.Content,
		}
		k := h.keeps[r.Upstream]
		if k == nil {
			h.tell(from, kindRunEnded, runEnded{
				Upstream: r.Upstream,
				Run:      r.Run,
				How:      keeper.Rejected,
				Reason:   keeper.Unreachable,
			})
			h.tell(h.placerAt, kindReturn, returned{
				Upstream: r.Upstream,
				Run:      r.Run,
			})
			continue
		}
		k.session.Start(now, t)
	}
}

func (h *Host) receiveStop(now time.Time, m stop) {
	if k := h.keeps[m.Upstream]; k != nil {
		k.session.Stop(now, m.Run)
	}
}

func (h *Host) receiveWatch(from string, m watch) {
	// Without a session nothing is known; the entry asks again.
	if k := h.keeps[m.Of.Upstream]; k != nil {
		k.session.Watch(keeper.Task{
			Run:    m.Of.Run,
			Entry:  from,
			Demand: m.Of.Demand,
		})
		h.reportRuns(k)
	}
}

// runOn returns what an entry tells a keeper of one run.
func runOn(upstream string, run sesamedrift.Run, demand sesamedrift.Resources) startedRun {
	return startedRun{
		Upstream: upstream,
		Run:      run,
		Demand:   demand,
	}
}
