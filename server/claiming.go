package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/messenger"
)

const (
	// maxJoinAttempts bounds how often a submission tries to join the host that runs it. Hosts that
	// claim a key at the same time may each try to join another one that was not granted the claim
	// either; the backoff between attempts is random, so that one of them claims first.
	maxJoinAttempts = 20
	minJoinBackoff  = 2 * time.Millisecond
	maxJoinBackoff  = 30 * time.Millisecond
	// viewChangesToWait is the number of view changes for which a call waits, since a second host
	// may turn out to have crashed during the first view change.
	viewChangesToWait = 2
)

// claimAndRun claims the key of a job. Depending on the decision it queues the job, joins the host that
// runs the submission, or ends the job.
func (h *Host) claimAndRun(r *request, j *job, a admission) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if r.Try > firstTry && !h.fencePreviousTry(ctx, r, j) {
		close(j.claimed)
		return
	}
	if !a.Admitted && r.HostKey {
		// No other copy of the submission exists, so that the refusal need not be recorded.
		close(j.claimed)
		h.resolve(j, a.refusal(j))
		return
	}
	claim := claimer.Claim{
		Key:         j.identity,
		Created:     r.Submission.Key.Created,
		PayloadHash: j.digest,
		Phase:       claimer.Queued,
	}
	switch {
	case !a.Admitted:
		claim.Phase = claimer.Done
		claim.Outcome = a.refusal(j)
	case a.StartsNow:
		claim.Phase = claimer.Started
	}
	d := h.claim(ctx, claim)
	j.granted.Store(d.Status == claimer.Granted)
	close(j.claimed)
	switch d.Status {
	case claimer.Granted:
		h.enqueueGranted(j, a, claim)
	case claimer.InProgress, claimer.Unavailable:
		h.joinOrClaim(r, j, a, claim, d)
	default:
		h.resolveFromClaim(r, j, d)
	}
}

func (h *Host) claim(ctx context.Context, claim claimer.Claim) claimer.Decision {
	d, err := h.claims.Claim(ctx, h.now(), claim)
	if err != nil {
		return claimer.Decision{
			Status: claimer.Unavailable,
			Reason: err.Error(),
		}
	}
	return d
}

// joinOrClaim waits for the outcome of the host that holds the claim. If that host is not the
// coordinator, or no majority decided on the claim, the key is claimed again. If that host cannot be
// reached, the key is claimed again until the deadline: once the view excludes that host, this host
// takes the submission over if nothing started, and the outcome is unknown otherwise.
func (h *Host) joinOrClaim(r *request, j *job, a admission, claim claimer.Claim, d claimer.Decision) {
	claim = asQueued(claim)
	var fallback *response  // the outcome if the coordinator stays unreachable; nil if it never was
	var err error           // of the last call of join
	stalledSince := h.now() // start of the time that exclusionTimeout bounds
	for joins := 0; joins < maxJoinAttempts || fallback != nil; joins++ {
		switch d.Status {
		case claimer.InProgress:
			var answer response
			if answer, err = h.join(j, d.Coordinator); err != nil {
				if fallback == nil {
					stalledSince = h.now()
				}
				fallback = &answer
			} else if answer.Error == nil || answer.Error.Code != codeNotCoordinator {
				h.resolveResponse(j, answer)
				return
			}
		case claimer.Unavailable:
			if fallback == nil && !h.members.holdsLease(h.now()) {
				h.resolve(j, unavailableOutcome(j, r.HostKey))
				return
			}
		case claimer.Granted:
			j.granted.Store(true)
			h.enqueueGranted(j, a, claim)
			return
		default:
			h.resolveFromClaim(r, j, d)
			return
		}
		if h.members.holdsLease(h.now()) && !errors.Is(err, errNoOutcome) {
			stalledSince = h.now()
		}
		if h.now().After(j.deadline) || h.now().Sub(stalledSince) > h.exclusionTimeout() || !messenger.Sleep(j.ctx, h.joinBackoff(fallback != nil)) {
			break
		}
		ctx, cancel := context.WithTimeout(j.ctx, claimTimeout)
		d = h.claim(ctx, claim)
		cancel()
	}
	if fallback != nil {
		h.resolveResponse(j, *fallback)
		return
	}
	h.resolve(j, unavailableOutcome(j, r.HostKey && d.Status == claimer.Unavailable))
}

// joinBackoff returns the backoff before the next claim of a submission that another host may run. An
// unreachable host is excluded by a view change, which heartbeats trigger, so that more frequent
// claims would not help.
func (h *Host) joinBackoff(unreachable bool) time.Duration {
	if unreachable {
		return h.cfg.Settings.HeartbeatEvery.Std()
	}
	return minJoinBackoff + rand.N(maxJoinBackoff-minJoinBackoff)
}

// exclusionTimeout returns how long a call waits for the exclusion of an unreachable coordinator while
// this host has no lease, or while the coordinator has no outcome of the submission. Both occur
// during a view change, which takes less time.
func (h *Host) exclusionTimeout() time.Duration {
	return viewChangesToWait * (h.cfg.Settings.SuspectAfter.Std() + h.cfg.Settings.LeaseTime.Std())
}

// asQueued returns the claim with the phase Queued in place of Started, since the slots that were
// free when the job was admitted may be occupied by now.
func asQueued(c claimer.Claim) claimer.Claim {
	if c.Phase == claimer.Started {
		c.Phase = claimer.Queued
	}
	return c
}

// enqueueGranted queues a job whose claim was granted, or ends it if it was not admitted or was
// cancelled in the meantime.
func (h *Host) enqueueGranted(j *job, a admission, claim claimer.Claim) {
	if !a.Admitted {
		h.resolve(j, claim.Outcome)
		return
	}
	if claim.Phase == claimer.Queued {
		j.markStarted = func() error {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			return h.claims.Start(ctx, h.now(), j.identity)
		}
	}
	h.dispatcher.post(func(now time.Time) {
		if j.finished {
			// The job was cancelled before its claim was granted.
			h.recordWhenDone(j)
			return
		}
		h.dispatcher.enqueue(now, j)
	})
}

// resolveFromClaim ends a job that this host may not run with the outcome or error that follows from
// the decision on its claim.
func (h *Host) resolveFromClaim(r *request, j *job, d claimer.Decision) {
	switch d.Status {
	case claimer.Recorded:
		h.resolve(j, withCallerKey(d.Outcome, j))
	case claimer.InProgress:
		// If the coordinator cannot be reached, the outcome is unknown and its reason says so.
		answer, _ := h.join(j, d.Coordinator)
		h.resolveResponse(j, answer)
	case claimer.Conflict:
		h.resolveError(j, keyConflict(j.sub.Key.String()))
	case claimer.Expired:
		h.resolveError(j, keyExpired(j.sub.Key.String(), h.claimTable.Retention()))
	case claimer.Unknown:
		if r.HostKey {
			h.resolve(j, notRunOutcome(j, "the failure domain has lost its claims"))
			return
		}
		h.resolve(j, sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Unknown, "the submission may have run before"))
	case claimer.Granted, claimer.Unavailable, claimer.NotFound:
		panic("server: decision " + string(d.Status) + " has nothing to follow")
	}
}

// fencePreviousTry ensures that the previous try was refused and can no longer start tasks. It reports
// whether the present try may continue; otherwise it has ended the job.
func (h *Host) fencePreviousTry(ctx context.Context, r *request, j *job) bool {
	refusal := sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Refused, "not run: a later try took its place")
	d, err := h.claims.Claim(ctx, h.now(), claimer.Claim{
		Key:         tryIdentity(r.Submission.Key, r.Try-1),
		Created:     r.Submission.Key.Created,
		PayloadHash: j.digest,
		Phase:       claimer.Done,
		Outcome:     refusal,
	})
	if err != nil || d.Status == claimer.Unavailable {
		h.resolve(j, unavailableOutcome(j, false))
		return false
	}
	if d.Status == claimer.Granted || d.Status == claimer.Recorded && d.Outcome.Status == sesamedrift.Refused {
		return true
	}
	h.resolveFromClaim(r, j, d)
	return false
}

// unavailableOutcome returns the outcome of a job whose claim did not reach a majority. It is
// "refused" only if a host created the key for this request, since no other copy of the submission
// exists then; otherwise the submission may have run and the outcome is unknown.
func unavailableOutcome(j *job, hostKey bool) sesamedrift.Outcome {
	if hostKey {
		return notRunOutcome(j, "no majority of the failure domain can be reached")
	}
	return sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Unknown, "no majority of the failure domain can be reached")
}

// notRunOutcome returns the refusal of a job whose key a host created for this request and whose claim
// was not granted: no other copy of the submission exists that could have run.
func notRunOutcome(j *job, reason string) sesamedrift.Outcome {
	o := sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Refused, "not run: "+reason)
	o.RetryAfter = time.Second
	return o
}

// withCallerKey returns a recorded outcome with the key in the form that the caller sent.
func withCallerKey(o sesamedrift.Outcome, j *job) sesamedrift.Outcome {
	o.Key = j.sub.Key.String()
	return o
}
