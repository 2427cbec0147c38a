package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ClosedRetryAfter is the time after which a job that a closed shard has refused may be sent again. The
	// callers of one host then find another domain's report, which comes every 100 ms.
	ClosedRetryAfter = time.Second
	// startedRefusalDelay is the time from the evacuation until jobs that have begun are refused. Within it,
	// their entry hosts learn that starts which were under way were rejected, and request the placement of
	// jobs of which nothing has started again.
	startedRefusalDelay = 200 * time.Millisecond
)

// SetClosed closes the shard for a reason, or opens it if the reason is empty. On the upstreams of a closed
// shard, nothing is placed and no run is rescheduled; runs continue. Jobs that have not begun are forwarded
// to the placers of other failure domains, whether these have free capacity or not, or refused. Jobs that
// have begun are refused in an evacuated domain, once their runs have ended.
func (p *Placer) SetClosed(now time.Time, reason Reason) {
	if p.closed == reason {
		return
	}
	p.closed = reason
	p.closedSince = now
	if reason == "" {
		p.place(now)
		return
	}
	p.clearWaiting(now)
}

// clearWaiting forwards or refuses the waiting jobs of a closed shard.
func (p *Placer) clearWaiting(now time.Time) {
	if len(p.order) == 0 {
		return
	}
	running := map[jobKey]bool{}
	for _, u := range p.sorted {
		for _, r := range u.runs {
			running[r.key] = true
		}
	}
	for _, w := range slices.Clone(p.order) {
		if !p.forward(now, w) && p.hopeless(now, w, running[w.key]) {
			p.refuse(w, p.closed, 0, ClosedRetryAfter)
		}
	}
}

// hopeless reports whether a job that cannot be forwarded now is to be refused. The argument running says
// whether runs of the job are open. A job that has not begun waits as long as a report of another placer
// counts if there is one that has not closed; that placer reports again soon.
func (p *Placer) hopeless(now time.Time, w *waitingJob, running bool) bool {
	switch {
	case w.Started:
		return p.closed == ReasonEvacuated && !running && now.Sub(p.closedSince) >= startedRefusalDelay
	case now.Before(p.cfg.GraceUntil) || p.runsLocally(w):
		return now.After(w.latestStart)
	case w.Forwarded:
		return true
	}
	for _, other := range p.otherPlacers {
		if !other.nearby && !other.capacity.Closed {
			return now.Sub(w.Arrived) >= capacityTTL || now.After(w.latestStart)
		}
	}
	return true
}

// closedTarget returns the address of the placer of another failure domain to which a closed shard forwards a
// job, or "" if there is none: the one with the most free capacity and, if there is none anywhere, the fewest
// waiting jobs. What was forwarded since the last report counts, so that jobs spread over the placers.
func (p *Placer) closedTarget(now time.Time) string {
	type candidate struct {
		address       string
		free, waiting int
	}
	var best *candidate
	for address, other := range p.otherPlacers {
		if other.nearby || other.capacity.Closed || now.Sub(other.receivedAt) > capacityTTL {
			continue
		}
		c := candidate{
			address: address,
			free:    max(0, other.capacity.Tasks-other.forwardedTasks),
			waiting: other.capacity.WaitingJobs + max(0, other.forwardedTasks-other.capacity.Tasks),
		}
		if best == nil || cmp.Or(cmp.Compare(best.free, c.free), cmp.Compare(c.waiting, best.waiting),
			cmp.Compare(c.address, best.address)) < 0 {
			best = &c
		}
	}
	if best == nil {
		return ""
	}
	return best.address
}

// coldFactor is the factor by which tasks are expected to run longer on a cold upstream. Reports say for how
// long an upstream remains slow, but not how slow it is.
const coldFactor = 1.5

// expected returns the run time of a task with an estimate if it is placed on the upstream now.
func (u *upstream) expected(estimate time.Duration) time.Duration {
	d := u.health.expected(estimate)
	if u.isCold {
		d = time.Duration(coldFactor * float64(d))
	}
	return d
}

// updateCold ends the cold state of upstreams whose time has passed.
func (p *Placer) updateCold(now time.Time) {
	for _, u := range p.sorted {
		u.isCold = u.isCold && now.Before(u.ColdUntil)
	}
}
