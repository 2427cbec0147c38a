package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// A host may take the lease of an unresponsive upstream for expired only if no other host has acquired the
// upstream and renewed the lease. What it has last heard of the others does not show that, however short
// ago that was on its own clock: while the process was suspended, or while messages were delayed, the others
// may have chosen a new leader, which has assigned the upstreams anew. So the host asks. A host asks its
// leader, which asks all its peers in turn; they answer which leader they follow. Answers come in the
// sessions, after all assignments that were sent before.
//
// Invariant: the tenure reaches back no further than the last event after which another host may have
// assigned upstreams of this one, and until no later than the sending of the last check that all have
// confirmed in sessions without interruption since then.

const (
	// minTenureRetry and maxTenureRetry bound the time between two checks if the first one is not
	// confirmed.
	minTenureRetry = 100 * time.Millisecond
	maxTenureRetry = time.Second
	// lostHostTime is the time from the loss of a host until it extends no lease any more for runs of
	// the others, if it is up and has regarded them as lost: it stops the runs that nobody claims.
	lostHostTime = SuspectAfter + lossGatherDelay + orphanTimeout + 100*time.Millisecond
)

// pendingTenureCheck is a check of the tenure that is in flight.
type pendingTenureCheck struct {
	// number is that of the last check. Answers to earlier checks are ignored.
	number uint64
	// sentAt is when it was sent; zero if none is in flight.
	sentAt time.Time
	// unconfirmed holds the hosts that have not confirmed it yet.
	unconfirmed map[string]bool
	// retryDelay is the time after which the next check may be sent.
	retryDelay time.Duration
	// askers holds the numbers of the checks of other hosts that are answered once a check is confirmed,
	// waiting those that are answered by the check in flight.
	askers, waiting map[string]uint64
}

// resetTenure ends the tenure, since another host may have assigned upstreams of this one.
func (c *Core) resetTenure() {
	c.tenure = leaseholder.Tenure{}
	c.tenureCheck = pendingTenureCheck{number: c.tenureCheck.number}
}

// currentTenure returns the tenure. It begins anew when a host is lost, which may be up and acquire
// upstreams that this host cannot reach.
func (c *Core) currentTenure(now time.Time) leaseholder.Tenure {
	t := c.tenure
	if t.Since.IsZero() || c.isolated(now) {
		return leaseholder.Tenure{}
	}
	for peer, loss := range c.peerLosses {
		if host, known := c.hosts.Get(peer); known && host.State == discoverer.Gone {
			continue
		}
		if at := loss.at.Add(lostHostTime); at.After(t.Since) {
			t.Since = at
		}
	}
	if t.Until.Before(t.Since) {
		t.Until = time.Time{}
	}
	return t
}

// tickTenure sends a check if the beginning of the tenure is not known, if a lease may have expired since
// the last check, or if another host has asked.
func (c *Core) tickTenure(now time.Time) {
	check := &c.tenureCheck
	inFlight := !check.sentAt.IsZero() && now.Sub(check.sentAt) < check.retryDelay
	if inFlight || c.leaderAddress == "" || c.isolated(now) || !c.needsTenure(now) {
		return
	}
	var asked []string
	switch {
	case c.leads():
		asked = slices.Sorted(maps.Keys(c.peers))
	case c.sessions[c.leaderAddress]:
		asked = []string{c.leaderAddress}
	default:
		return
	}
	check.number++
	check.sentAt = now
	check.retryDelay = min(max(2*check.retryDelay, minTenureRetry), maxTenureRetry)
	check.unconfirmed = make(map[string]bool, len(asked))
	if check.waiting == nil {
		check.waiting = map[string]uint64{}
	}
	maps.Copy(check.waiting, check.askers)
	check.askers = nil
	c.stats.TenureChecks++
	for _, host := range asked {
		check.unconfirmed[host] = true
		c.send(host, kindTenureCheck, tenureCheck{Number: check.number})
	}
	c.confirmTenure(now)
}

// needsTenure reports whether a check is to be sent.
func (c *Core) needsTenure(now time.Time) bool {
	if len(c.tenureCheck.askers) > 0 {
		return true
	}
	if len(c.held) > 0 && c.tenure.Since.IsZero() {
		return true
	}
	tenure := c.currentTenure(now)
	for _, h := range c.held {
		if h.session.AwaitsExpiry(now, tenure) {
			return true
		}
	}
	return false
}

// receiveTenureCheck answers at once if this host follows another leader, and otherwise once its peers have
// confirmed that they follow it.
func (c *Core) receiveTenureCheck(now time.Time, from string, m tenureCheck) {
	if !c.leads() {
		c.send(from, kindTenureAnswer, tenureAnswer{
			Number: m.Number,
			Leader: c.leaderAddress,
		})
		return
	}
	if c.tenureCheck.askers == nil {
		c.tenureCheck.askers = map[string]uint64{}
	}
	c.tenureCheck.askers[from] = m.Number
	c.tickTenure(now)
}

func (c *Core) receiveTenureAnswer(now time.Time, from string, m tenureAnswer) {
	if m.Number == c.tenureCheck.number && m.Leader == c.leaderAddress {
		delete(c.tenureCheck.unconfirmed, from)
		c.confirmTenure(now)
	}
}

// confirmTenure extends the tenure if all hosts that were asked have confirmed the check in flight. The
// first confirmation shows since when, and each later one until when the tenure lasts.
func (c *Core) confirmTenure(now time.Time) {
	check := &c.tenureCheck
	if check.sentAt.IsZero() || len(check.unconfirmed) > 0 {
		return
	}
	if c.tenure.Since.IsZero() {
		c.tenure.Since = now
	} else if check.sentAt.After(c.tenure.Since) {
		c.tenure.Until = check.sentAt
	}
	if c.tenure.Until.After(now) || !c.tenure.Until.IsZero() && c.tenure.Until.Before(c.tenure.Since) {
		panic("dispatcher: the tenure ends before it begins or later than now")
	}
	for _, asker := range slices.Sorted(maps.Keys(check.waiting)) {
		c.send(asker, kindTenureAnswer, tenureAnswer{
			Number: check.waiting[asker],
			Leader: c.leaderAddress,
		})
	}
	check.sentAt, check.waiting, check.retryDelay = time.Time{}, nil, 0
	for _, h := range c.sortedHeld() {
		if h.awaitsTenure {
			c.touch(h)
		}
	}
}
