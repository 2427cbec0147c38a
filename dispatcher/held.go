package dispatcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/reporter"
)

// Time settings of leases on upstreams.
const (
	// leaseFraction is the fraction of the longest lease that is requested. A shorter lease
	// frees the tasks of an unreachable upstream sooner, but must outlast one lost renewal.
	leaseFraction = 0.6
	// renewWait is how long an upstream may delay the response to a renewal until a run ends.
	renewWait = 150 * time.Millisecond
	// orderTimeout is how long a response is waited for: a round trip takes about 1 ms, and the
	// scheduling delay of a busy host may be some tens of milliseconds.
	orderTimeout = 120 * time.Millisecond
	// idlePollInterval is the time between two polls of an upstream without runs.
	idlePollInterval = time.Second
	// minBackoff and maxBackoff bound the time between two polls of an unresponsive upstream.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxClockDrift is the fraction by which clocks of upstreams may run slow.
	maxClockDrift = 0.02
	// maxOrderDelay is above the time after which upstreams carry out orders that they have not answered.
	maxOrderDelay = 15 * time.Second
	// maxListedEnds is the largest number of ended runs in a response of an upstream.
	maxListedEnds = 500
	// timerMargin covers timers that fire late.
	timerMargin = 10 * time.Millisecond
	// orphanTimeout is how long runs of a previous leaseholder continue unclaimed. Entry hosts
	// send watch requests at once, and a lost batch is sent again after 200 ms. The runs should
	// have ended when a caller whose entry host has crashed resends its job to any host after
	// 1.3 s: the crash is detected after 500 ms, and the leaseholder may change once more
	// meanwhile.
	orphanTimeout = 300 * time.Millisecond
)

// LeaseConfig returns the settings for upstreams that grant leases of at most maxLease and take up
// to stopTime to end a run.
func LeaseConfig(maxLease, stopTime time.Duration) leaseholder.Config {
	return leaseholder.Config{
		LeaseTime:        time.Duration(leaseFraction * float64(maxLease)),
		MaxLease:         maxLease,
		RenewWait:        renewWait,
		ResponseTimeout:  orderTimeout,
		IdlePollInterval: idlePollInterval,
		MinBackoff:       minBackoff,
		MaxBackoff:       maxBackoff,
		StopTime:         stopTime,
		MaxClockDrift:    maxClockDrift,
		MaxOrderDelay:    maxOrderDelay,
		TimerMargin:      timerMargin,
		OrphanTimeout:    orphanTimeout,
		MaxEnds:          maxListedEnds,
	}
}

// heldUpstream is an upstream that this host holds under a lease.
type heldUpstream struct {
	session *leaseholder.Session
	// leaseLostAt is when the session reported that the lease was lost or that another upstream has the
	// address; zero otherwise.
	leaseLostAt time.Time
	// restarted is set when the upstream has restarted, until the session with its next incarnation begins.
	restarted bool
	// overtaken is set when another host has acquired the upstream, until the jobs on it have ended because
	// this host is cut off.
	overtaken bool
	// awaitsTenure is set while the runs wait for a tenure that shows that the lease has expired.
	awaitsTenure bool
	// claimsRequested holds the found runs for which claims were requested.
	claimsRequested map[sesamedrift.Run]bool
	// heldSince is the number of the assignment in force when this host became the leaseholder.
	heldSince uint64
	// closed is set after the release; responses to orders are then dropped.
	closed bool
	// touched is set while the upstream is in Core.touched.
	touched bool
}

// touch makes Flush send the orders and handle the events of an upstream whose session was called.
func (c *Core) touch(h *heldUpstream) {
	if !h.touched {
		h.touched = true
		c.touched = append(c.touched, h)
	}
}

func (c *Core) sortedHeld() []*heldUpstream {
	all := slices.Collect(maps.Values(c.held))
	sortHeld(all)
	return all
}

func sortHeld(held []*heldUpstream) {
	slices.SortFunc(held, func(a, b *heldUpstream) int {
		return strings.Compare(a.session.Upstream().ID, b.session.Upstream().ID)
	})
}

// updateHeld acquires the upstreams that are assigned to this host and releases those that are
// assigned to others.
func (c *Core) updateHeld(now time.Time) {
	for _, h := range c.sortedHeld() {
		if holder := c.assigned.Leaseholders[h.session.Upstream().ID]; holder != "" && holder != c.cfg.Self.Address {
			c.relayPendingStops(h)
			c.release(h)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.assigned.Leaseholders)) {
		holder := c.assigned.Leaseholders[id]
		u, known := c.upstreams.Get(id)
		if holder == c.cfg.Self.Address && known && c.held[id] == nil {
			c.acquire(now, u)
		}
	}
}

// release stops holding an upstream and ignores the responses to outstanding orders.
func (c *Core) release(h *heldUpstream) {
	h.closed = true
	delete(c.held, h.session.Upstream().ID)
}

// acquire starts holding an upstream with a new fencing token.
func (c *Core) acquire(now time.Time, u discoverer.Upstream) {
	c.hold(u, leaseholder.New(c.cfg.LeaseConfig, now, u, c.nextToken(now, u.ID)), c.assigned.Number)
}

// hold starts holding an upstream with a new session. This host is its leaseholder since an assignment.
func (c *Core) hold(u discoverer.Upstream, session *leaseholder.Session, since uint64) {
	h := &heldUpstream{
		session:   session,
		heldSince: since,
	}
	c.held[u.ID] = h
	c.touch(h)
	c.logEvent(reporter.UpstreamTaken, "upstream", u.ID, "address", u.Address, "token", session.Token())
}

// nextToken returns the fencing token of a new session with an upstream. It is based on the wall clock. Wall clocks of
// hosts differ by less than the time between two takeovers; otherwise the upstream rejects the token, and the next
// one is higher.
func (c *Core) nextToken(now time.Time, upstream string) uint64 {
	token := max(uint64(now.UnixMilli()), c.lastTokens[upstream]+1)
	c.lastTokens[upstream] = token
	return token
}

// upstreamChanged handles a newer report about an upstream.
func (c *Core) upstreamChanged(now time.Time, u discoverer.Upstream) {
	if c.placer != nil || c.held[u.ID] != nil {
		c.logEvent(reporter.UpstreamAnnounced, "upstream", u.ID, "state", u.State, "life", u.Incarnation, "report", u.ReportSeq,
			"service", u.Service, "cpu", u.Capacity.CPU)
	}
	isNew := c.placer != nil && !c.placer.HasUpstream(u.ID)
	c.updatePlacerUpstream(now, u)
	if holder := c.assigned.Leaseholders[u.ID]; isNew && holder != "" && c.placer.HasUpstream(u.ID) {
		c.send(holder, kindStatusRequest, statusRequest{Upstreams: []string{u.ID}})
	}
	h := c.held[u.ID]
	switch {
	case h != nil:
		h.session.Update(now, u)
		c.touch(h)
	case c.assigned.Leaseholders[u.ID] != c.cfg.Self.Address || u.State == discoverer.Gone:
	case c.settling(now):
		c.acquireLater = true
	default:
		c.acquire(now, u)
	}
}

// lowerHeldSince lets this host accept starts that are placed by an assignment with the number. A leader that has missed the last
// assignment of its predecessor numbers its own ones from below.
func (c *Core) lowerHeldSince(number uint64) {
	for _, h := range c.held {
		h.heldSince = min(h.heldSince, number)
	}
}

// reopen continues with the next incarnation of an upstream, also if the leader has not assigned the upstream: the runs
// that may have started there have to be found. A host that has just resumed waits, since another one may hold the
// upstream meanwhile.
func (c *Core) reopen(now time.Time, h *heldUpstream) {
	if c.settling(now) {
		return
	}
	u := c.latestReport(h)
	c.release(h)
	if holder := c.assigned.Leaseholders[u.ID]; holder == c.cfg.Self.Address || holder == "" {
		c.hold(u, h.session.Successor(now, u, c.nextToken(now, u.ID)), h.heldSince)
	}
}

// latestReport returns the newest report about a held upstream.
func (c *Core) latestReport(h *heldUpstream) discoverer.Upstream {
	if u, known := c.upstreams.Get(h.session.Upstream().ID); known {
		return u
	}
	return h.session.Upstream()
}

// tickHeld calls Tick of the session of each held upstream, releases idle upstreams that are not
// assigned any more, and acquires lost ones again after reacquireDelay.
func (c *Core) tickHeld(now time.Time) {
	if c.acquireLater && !c.settling(now) {
		c.acquireLater = false
		c.updateHeld(now)
	}
	tenure := c.currentTenure(now)
	for _, h := range c.sortedHeld() {
		u := h.session.Upstream()
		switch {
		case h.restarted:
			c.reopen(now, h)
		case !h.leaseLostAt.IsZero() && c.isolated(now):
			c.checkCutOff(now, h)
		case !h.leaseLostAt.IsZero() && now.Sub(h.leaseLostAt) >= reacquireDelay:
			c.release(h)
			if c.assigned.Leaseholders[u.ID] == c.cfg.Self.Address {
				c.acquire(now, c.latestReport(h))
			}
		case c.assigned.Leaseholders[u.ID] == "" && !h.session.OwnsRuns():
			c.release(h)
		default:
			c.tickSession(now, h, tenure)
			c.touch(h)
		}
	}
}

// tickSession calls Tick of the session of a held upstream.
func (c *Core) tickSession(now time.Time, h *heldUpstream, t leaseholder.Tenure) {
	h.session.Tick(now, t)
	awaits := h.session.AwaitsExpiry(now, t)
	if awaits && !h.awaitsTenure {
		c.logEvent(reporter.LeaseExpiryChecked, "upstream", h.session.Upstream().ID, "token", h.session.Token(), "runs", len(h.session.Tasks()),
			"tenure-since", t.Since, "tenure-until", t.Until)
	}
	h.awaitsTenure = awaits
}

// progressInterval is the time between two progress reports. They contain the runs that have been
// active for at least minProgressRunTime; most runs end before that.
const (
	progressInterval   = 100 * time.Millisecond
	minProgressRunTime = 80 * time.Millisecond
)

// reportProgress sends the progress of the longer runs to the placers of their upstreams.
func (c *Core) reportProgress(now time.Time) {
	if now.Sub(c.progressSentAt) < progressInterval {
		return
	}
	c.progressSentAt = now
	byPlacer := map[string]*progress{}
	for _, h := range c.sortedHeld() {
		if !h.session.Ready() {
			continue
		}
		id := h.session.Upstream().ID
		for _, t := range h.session.Tasks() {
			if t.RunTime < minProgressRunTime {
				continue
			}
			to := c.assigned.placerOf(id)
			if byPlacer[to] == nil {
				byPlacer[to] = &progress{}
			}
			byPlacer[to].Runs = append(byPlacer[to].Runs, runProgress{
				Upstream: id,
				Run:      t.Task.Run,
				Percent:  t.Percent,
				RunTime:  t.RunTime,
			})
		}
	}
	for _, to := range slices.Sorted(maps.Keys(byPlacer)) {
		c.send(to, kindProgress, *byPlacer[to])
	}
}

// sendOrders sends the pending orders of the sessions that were called and handles their events.
func (c *Core) sendOrders(now time.Time) {
	if len(c.touched) == 0 {
		return
	}
	tenure := c.currentTenure(now)
	touched := c.touched
	c.touched = nil
	sortHeld(touched)
	for _, h := range touched {
		h.touched = false
		if h.closed {
			continue
		}
		c.tickSession(now, h, tenure)
		orders, events := h.session.TakePending()
		c.handleUpstreamEvents(now, h, events)
		u := h.session.Upstream()
		for _, o := range orders {
			c.effects.Order(u, o, func(now time.Time, resp leaseholder.Response) {
				if !h.closed {
					h.session.HandleResponse(now, resp)
					c.touch(h)
				}
			})
		}
	}
}

func (c *Core) handleUpstreamEvents(now time.Time, h *heldUpstream, events []leaseholder.Event) {
	id := h.session.Upstream().ID
	expired := 0
	for _, e := range events {
		switch e.Kind {
		case leaseholder.Ended:
			if e.Result == leaseholder.LeaseExpired && !h.session.Ready() {
				expired++
			}
			c.send(e.Task.Entry, kindRunEnded, runEnded{
				Upstream: id,
				Run:      e.Task.Run,
				Result:   e.Result,
				Reason:   e.Reason,
			})
			c.send(c.assigned.placerOf(id), kindFreed, freed{
				Upstream: id,
				Run:      e.Task.Run,
				Result:   e.Result,
				Reason:   e.Reason,
				Duration: e.Duration,
			})
		case leaseholder.Ready:
			c.logEvent(reporter.UpstreamReady, "upstream", id, "runs", len(h.session.Tasks()))
			c.reportUpstreamStatus(h)
		case leaseholder.Unresponsive:
			c.logEvent(reporter.UpstreamSilent, "upstream", id, "runs", len(h.session.Tasks()))
			c.reportUpstreamStatus(h)
		case leaseholder.StopRefused:
			c.stats.StopsRefused++
			c.logEvent(reporter.StopRefused, "upstream", id, "run", e.Task.Run.String(), "reason", e.Reason)
		case leaseholder.LeaseLost:
			c.logEvent(reporter.UpstreamOvertaken, "upstream", id, "token", h.session.Token(), "runs", len(h.session.Tasks()))
			h.leaseLostAt = now
			h.overtaken = true
			c.reportUpstreamStatus(h)
			c.relayPendingStops(h)
			c.checkCutOff(now, h)
		case leaseholder.Replaced:
			c.logEvent(reporter.UpstreamReplaced, "upstream", id)
			h.leaseLostAt = now
			c.reportUpstreamStatus(h)
		case leaseholder.Restarted:
			c.stats.UpstreamRestarts++
			c.stats.UndeterminedRuns += int64(h.session.Undetermined())
			c.logEvent(reporter.UpstreamRestarted, "upstream", id, "token", h.session.Token(), "previous", h.session.Incarnation(),
				"undetermined", h.session.Undetermined())
			h.restarted = true
			c.reportUpstreamStatus(h)
			c.reopen(now, h)
		}
	}
	if expired > 0 {
		c.stats.LeaseExpiries++
		c.logEvent(reporter.LeaseExpired, "upstream", id, "token", h.session.Token(), "runs", expired,
			"tenure-since", c.tenure.Since, "tenure-until", c.tenure.Until)
	}
}

// checkCutOff ends the jobs with runs on an upstream that another host has acquired while this one is isolated.
// A host that has just resumed may only seem to be.
func (c *Core) checkCutOff(now time.Time, h *heldUpstream) {
	if !h.overtaken || c.settling(now) || !c.isolated(now) {
		return
	}
	h.overtaken = false
	c.upstreamsLost = true
	c.logEvent(reporter.CutOff, "upstream", h.session.Upstream().ID)
	c.failJobsOn(now, h.session.Upstream().ID)
}

// reportUpstreamStatus sends the state of an upstream and its active runs to its placer.
func (c *Core) reportUpstreamStatus(h *heldUpstream) {
	r := upstreamStatus{
		Upstream:  h.session.Upstream().ID,
		Ready:     h.session.Ready(),
		Acquiring: !h.session.Acquired(),
	}
	for _, p := range h.session.Tasks() {
		t := p.Task
		t.Content = ""
		r.Running = append(r.Running, t)
	}
	c.send(c.assigned.placerOf(r.Upstream), kindUpstreamStatus, r)
}

// receiveStartRuns starts runs. It rejects those that were placed before this host became the leaseholder: it may
// have been that earlier, and another one may have reported them as lost meanwhile. In an evacuated domain it
// rejects all, whichever host has placed them.
func (c *Core) receiveStartRuns(now time.Time, from string, m startRuns) {
	for _, r := range m.Runs {
		t := leaseholder.Task{
			Run:     r.Run,
			Entry:   from,
			Demand:  r.Demand,
			Content: m.Content,
		}
		h := c.held[r.Upstream]
		if reason := c.startRejection(h, m.Number); reason != "" {
			c.send(from, kindRunEnded, runEnded{
				Upstream: r.Upstream,
				Run:      r.Run,
				Result:   leaseholder.Rejected,
				Reason:   reason,
			})
			c.send(c.assigned.placerOf(r.Upstream), kindReleasedPlace, releasedPlace{
				Upstream: r.Upstream,
				Run:      r.Run,
			})
			continue
		}
		h.session.Start(now, t)
		c.touch(h)
	}
}

// startRejection returns why a start that was placed by the assignment with the number is rejected, or "".
func (c *Core) startRejection(h *heldUpstream, number uint64) leaseholder.Reason {
	switch {
	case c.closedFor() != "":
		c.stats.EvacuationRejections++
		return leaseholder.EvacuatedDomain
	case h == nil || number != 0 && number < h.heldSince:
		return leaseholder.Unreachable
	default:
		return ""
	}
}

func (c *Core) receiveWatchRun(now time.Time, from string, m watchRun) {
	// A host that does not hold the upstream ignores the request; the entry host repeats it.
	if h := c.held[m.Run.Upstream]; h != nil {
		h.session.Watch(now, leaseholder.Task{
			Run:    m.Run.Run,
			Entry:  from,
			Demand: m.Run.Demand,
		})
		c.touch(h)
		c.reportUpstreamStatus(h)
	}
}

func newStartedRun(upstream string, run sesamedrift.Run, demand sesamedrift.Resources) startedRun {
	return startedRun{
		Upstream: upstream,
		Run:      run,
		Demand:   demand,
	}
}
