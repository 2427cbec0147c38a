package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/reporter"
)

// A new leaseholder finds runs that the previous one has started. The entry hosts claim theirs when they
// learn of the new leaseholder; those of a lost entry host have to be stopped before its callers send their
// jobs again. The new leaseholder asks all hosts of the domain for their claims and stops what remains as
// soon as all have answered. A lost host whose process has not ended may return, so it has the orphan timeout
// from its loss to claim its runs. A further change of the leaseholder thus costs a round trip and does not
// begin that time anew, unless a host does not answer.
//
// Invariant: a run is stopped before it has been found for the orphan timeout only if each host of the domain has
// answered, after the run was found, that it is not its own, or its process has ended, or it has been lost for
// the orphan timeout. A host that was not found during discovery counts as ended.

// claimDelay is the time from the discovery of a run until claims are requested. Entry hosts usually claim
// their runs unasked within that time.
const claimDelay = 20 * time.Millisecond

// claimRound is a request for claims that is sent to all hosts of the domain.
type claimRound struct {
	unanswered map[string]bool
	runs       []foundRun
}

// requestClaims asks all hosts of the domain, including this one, to claim the runs that nobody has claimed yet.
func (c *Core) requestClaims(now time.Time) {
	var found []foundRun
	for _, h := range c.sortedHeld() {
		id := h.session.Upstream().ID
		for _, run := range h.session.Unclaimed(now, claimDelay) {
			if !h.claimsRequested[run] {
				found = append(found, foundRun{
					Upstream: id,
					Run:      run,
				})
			}
		}
	}
	if len(found) == 0 || !c.discoveryComplete || c.awaitsReturn(now) || c.settling(now) {
		return
	}
	for _, f := range found {
		h := c.held[f.Upstream]
		if h.claimsRequested == nil {
			h.claimsRequested = map[sesamedrift.Run]bool{}
		}
		h.claimsRequested[f.Run] = true
	}
	c.lastClaimRound++
	round := &claimRound{
		unanswered: map[string]bool{c.cfg.Self.Address: true},
		runs:       found,
	}
	c.claimRounds[c.lastClaimRound] = round
	for peer := range c.peers {
		round.unanswered[peer] = true
	}
	for _, host := range slices.Sorted(maps.Keys(round.unanswered)) {
		c.send(host, kindClaimRequest, claimRequest{
			Number: c.lastClaimRound,
			Runs:   found,
		})
	}
}

// awaitsReturn reports whether a host that was lost just now may be up and claim its runs when it returns. Its
// process has not ended as far as is known.
func (c *Core) awaitsReturn(now time.Time) bool {
	for _, loss := range c.peerLosses {
		if !loss.ended && now.Sub(loss.at) < orphanTimeout {
			return true
		}
	}
	return false
}

// receiveClaimRequest claims the runs of this host's jobs.
func (c *Core) receiveClaimRequest(from string, m claimRequest) {
	for _, f := range m.Runs {
		j := c.jobs[f.Run.Task.Job]
		if j == nil {
			continue
		}
		for _, a := range j.tracker.ActiveRuns() {
			if a.Run == f.Run && a.Location.Upstream == f.Upstream {
				c.send(from, kindWatchRun, watchRun{
					Run: newStartedRun(f.Upstream, a.Run, j.tracker.Job.Steps[a.Step].Demand),
				})
			}
		}
	}
	c.send(from, kindClaimAnswer, claimAnswer{Number: m.Number})
}

func (c *Core) receiveClaimAnswer(now time.Time, from string, m claimAnswer) {
	if round := c.claimRounds[m.Number]; round != nil {
		delete(round.unanswered, from)
		c.endClaimRound(now, m.Number)
	}
}

// claimantLost handles the loss of a host, which claims nothing any more.
func (c *Core) claimantLost(now time.Time, host string) {
	for _, number := range slices.Sorted(maps.Keys(c.claimRounds)) {
		delete(c.claimRounds[number].unanswered, host)
		c.endClaimRound(now, number)
	}
}

// endClaimRound stops the runs of a round that nobody has claimed once all hosts have answered.
func (c *Core) endClaimRound(now time.Time, number uint64) {
	round := c.claimRounds[number]
	if len(round.unanswered) > 0 {
		return
	}
	delete(c.claimRounds, number)
	stopped := 0
	for _, f := range round.runs {
		h := c.held[f.Upstream]
		if h == nil || !h.claimsRequested[f.Run] {
			// The upstream was released since, and perhaps acquired again.
			continue
		}
		if h.session.StopUnclaimed(now, f.Run) {
			stopped++
		}
		c.touch(h)
	}
	if stopped > 0 {
		c.stats.Orphans += int64(stopped)
		c.logEvent(reporter.OrphansStopped, "runs", stopped)
	}
}
