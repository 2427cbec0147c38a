package claimer

import (
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

// maxPrepares bounds the prepare steps of one operation while other hosts prepare higher ballots.
const maxPrepares = 3

const (
	reasonHorizon    = "the key may have been used before the hosts lost their memory"
	reasonLost       = "the coordinator was lost after the submission may have started"
	reasonNoMajority = "no majority of the hosts answered"
	reasonContested  = "other hosts claim the key at the same time"
)

// memberState is the state of the call to one member in the current step.
type memberState uint8

const (
	awaitingReply memberState = iota
	replied
	noReply // the call failed, but the request may have been delivered
	notSent // the request was certainly not delivered
)

// operation is the state machine of one call that claims a key, marks a claim as started,
// records an outcome or looks up a key. In each step, request returns the request to be sent to
// all members; handleReply and handleNoReply apply the results of the calls. When finished is
// set, decision is the result. An operation has no side effects, so that tests can explore all
// message orders.
type operation struct {
	view  leaser.View
	self  leaser.Member
	claim Claim
	kind  RequestType
	// mayHaveStarted is set if this process may have started the submission under an earlier
	// claim.
	mayHaveStarted bool
	// recordsLoss is set if the proposed claim records that the outcome is lost.
	recordsLoss bool

	step     int
	ballot   uint64
	round    uint64 // the highest round this process has used for a ballot
	prepares int
	states   []memberState
	replies  []Reply
	// maybeRecorded is set once a request of this operation may have left a record in the table
	// of another member.
	maybeRecorded bool
	finished      bool
	decision      Decision
}

func newOperation(kind RequestType, view leaser.View, self leaser.Member, claim Claim, round uint64, mayHaveStarted bool) *operation {
	o := &operation{
		view:           view,
		self:           self,
		claim:          claim,
		round:          round,
		mayHaveStarted: mayHaveStarted,
	}
	o.nextStep(kind)
	return o
}

// nextStep starts a new step.
func (o *operation) nextStep(kind RequestType) {
	o.step++
	o.kind = kind
	o.states = make([]memberState, len(o.view.Members))
	o.replies = make([]Reply, len(o.view.Members))
}

func (o *operation) request() Request {
	return Request{
		Type:    o.kind,
		View:    o.view.Number,
		Key:     o.claim.Key,
		Created: o.claim.Created,
		Ballot:  o.ballot,
		Claim:   o.claim,
	}
}

// handleReply applies the reply of a member to the request of a step. Replies to earlier steps
// are ignored.
func (o *operation) handleReply(step, member int, r Reply) {
	if o.finished || step != o.step || o.states[member] != awaitingReply {
		return
	}
	o.states[member] = replied
	o.replies[member] = r
	if r.Status == Accepted && o.view.Members[member].Host != o.self.Host {
		o.maybeRecorded = true
	}
	o.advance()
}

// handleNoReply applies the failure of the call to a member. The request may have been
// delivered unless unsent is set.
func (o *operation) handleNoReply(step, member int, unsent bool) {
	if o.finished || step != o.step || o.states[member] != awaitingReply {
		return
	}
	o.states[member] = noReply
	if unsent {
		o.states[member] = notSent
	} else {
		o.maybeRecorded = true
	}
	o.advance()
}

func (o *operation) count(status ReplyStatus) int {
	n := 0
	for i, r := range o.replies {
		if o.states[i] == replied && r.Status == status {
			n++
		}
	}
	return n
}

func (o *operation) outstanding() int {
	n := 0
	for _, s := range o.states {
		if s == awaitingReply {
			n++
		}
	}
	return n
}

func (o *operation) finish(d Decision) {
	o.finished = true
	o.decision = d
}

// advance finishes the operation or starts its next step, if the replies allow it.
func (o *operation) advance() {
	accepted := o.count(Accepted)
	majority := accepted >= o.view.Majority()
	noMajority := accepted+o.outstanding() < o.view.Majority()
	switch o.kind {
	case TypeClaim, TypePrepare, TypeLookUp:
		if c, ok := o.recordedOutcome(); ok {
			o.finish(o.outcomeDecision(c))
			return
		}
	case TypeMarkStarted, TypeRecordOutcome, TypeAccept, TypeCompare, TypeFetch:
	}
	switch {
	case majority:
		o.handleMajority()
	case noMajority:
		o.handleNoMajority()
	}
}

// recordedOutcome returns a claim with the outcome of the key from the replies, preferably one
// whose answers were not evicted.
func (o *operation) recordedOutcome() (Claim, bool) {
	var best Claim
	found := false
	for i, r := range o.replies {
		if o.states[i] != replied {
			continue
		}
		if r.Status == Accepted && o.claim.Phase == Done {
			// The outcome is the final refusal that this operation has just recorded.
			continue
		}
		if c, ok := r.Record.doneClaim(); ok && !c.released() && (!found || c.supersedes(best)) {
			best, found = c, true
		}
	}
	return best, found
}

func (o *operation) outcomeDecision(c Claim) Decision {
	if o.kind != TypeLookUp && c.PayloadHash != o.claim.PayloadHash {
		return Decision{
			Status: Conflict,
		}
	}
	return recordedDecision(c)
}

// handleMajority is called once a majority has accepted the request.
func (o *operation) handleMajority() {
	switch o.kind {
	case TypeClaim, TypeMarkStarted, TypeRecordOutcome:
		o.finish(o.grantedDecision())
	case TypeAccept:
		if o.recordsLoss {
			o.finish(unknownDecision(reasonLost))
			return
		}
		o.finish(o.grantedDecision())
	case TypePrepare:
		o.handlePromises()
	case TypeLookUp:
		o.finish(o.lookUpDecision())
	case TypeCompare, TypeFetch:
	}
}

func (o *operation) grantedDecision() Decision {
	return Decision{
		Status:      Granted,
		Coordinator: o.self,
	}
}

func unknownDecision(reason string) Decision {
	return Decision{
		Status: Unknown,
		Reason: reason,
	}
}

// handleNoMajority is called once a majority can no longer accept the request.
func (o *operation) handleNoMajority() {
	switch o.kind {
	case TypeClaim:
		if o.count(Exists) > 0 && !o.finishIfInProgress() {
			o.prepare()
			return
		}
	case TypePrepare, TypeAccept:
		if !o.recordsLoss && o.count(Exists) > 0 && o.prepares < maxPrepares {
			o.prepare()
			return
		}
	case TypeMarkStarted, TypeRecordOutcome, TypeLookUp, TypeCompare, TypeFetch:
	}
	if o.finished {
		return
	}
	switch {
	case o.kind == TypeAccept && o.recordsLoss:
		o.finish(unknownDecision(reasonLost))
	case o.count(KeyExpired) > 0:
		o.finish(Decision{
			Status: Expired,
		})
	case o.count(BeforeHorizon) > 0:
		o.finish(unknownDecision(reasonHorizon))
	default:
		reason := reasonNoMajority
		if o.count(Exists) > 0 {
			reason = reasonContested
		}
		o.finish(Decision{
			Status:        Unavailable,
			MaybeRecorded: o.maybeRecorded,
			Reason:        reason,
		})
	}
}

// permanentlyRejected reports whether so many members have rejected the request for a permanent
// reason that no majority can accept it.
func (o *operation) permanentlyRejected() bool {
	return len(o.view.Members)-o.count(Exists)-o.count(KeyExpired)-o.count(BeforeHorizon) < o.view.Majority()
}

// finishIfInProgress finishes the operation if one of the claims with the highest ballot in the
// replies has another coordinator, which is in the view and has not released the key. It
// reports whether there is such a claim.
func (o *operation) finishIfInProgress() bool {
	for _, c := range o.candidates(false) {
		if !c.released() && !c.coordinatedBy(o.self) && o.view.Has(c.Coordinator) {
			o.finishInProgress(c)
			return true
		}
	}
	return false
}

// finishInProgress finishes the operation because c is in progress, or as Conflict if c has
// another payload.
func (o *operation) finishInProgress(c Claim) {
	if o.kind != TypeLookUp && c.PayloadHash != o.claim.PayloadHash {
		o.finish(Decision{
			Status: Conflict,
		})
		return
	}
	o.finish(Decision{
		Status:      InProgress,
		Coordinator: c.Coordinator,
	})
}

// prepare starts a prepare step with a ballot above all ballots in the replies.
func (o *operation) prepare() {
	for i, r := range o.replies {
		if o.states[i] == replied {
			o.round = max(o.round, roundOf(r.Record.Promised, o.view.Number), roundOf(r.Record.ballot(), o.view.Number))
		}
	}
	o.prepares++
	o.round++
	o.ballot = ballotOf(o.view, o.self, o.round)
	o.nextStep(TypePrepare)
}

// ballotOf returns the ballot of a round, which is unique to the member and the view: the
// number of the view, then 32 bits for the round and 8 bits for the index of the member.
func ballotOf(v leaser.View, self leaser.Member, round uint64) uint64 {
	index := 0
	for i, m := range v.Members {
		if m.Host == self.Host {
			index = i
		}
	}
	return v.Number<<40 | round<<8 | uint64(index)
}

// roundOf returns the round of a ballot, or 0 if the ballot is of another view.
func roundOf(ballot, view uint64) uint64 {
	if ballot>>40 != view {
		return 0
	}
	return ballot >> 8 & (1<<32 - 1)
}

// candidates returns the claims that may have been granted, each with its latest phase: those
// with the highest ballot in the replies. If onlyPossible is set, only Accepted replies count,
// and first claims are left out that would have no majority even if all other members had
// accepted them. This is sound only in a prepare step, since the members that accepted it
// accept no first claim any more.
func (o *operation) candidates(onlyPossible bool) []Claim {
	var all Record
	votes := map[leaser.Member]int{}
	missing := len(o.states)
	for i, r := range o.replies {
		if o.states[i] != replied || onlyPossible && r.Status != Accepted {
			continue
		}
		missing--
		for _, c := range r.Record.Claims {
			all.merge(c)
			votes[c.Coordinator]++
		}
	}
	if !onlyPossible || all.ballot() > 0 {
		return all.Claims
	}
	var possible []Claim
	for _, c := range all.Claims {
		if votes[c.Coordinator]+missing >= o.view.Majority() {
			possible = append(possible, c)
		}
	}
	return possible
}

// handlePromises decides, after a majority has promised to reject lower ballots, whether
// another process may have started the submission or may still start it.
func (o *operation) handlePromises() {
	lost := false
	for _, c := range o.candidates(true) {
		switch {
		case c.released():
			// The coordinator has started nothing and will start nothing.
			o.proposeOwnClaim()
			return
		case c.coordinatedBy(o.self) && !o.mayHaveStarted:
			// This process has abandoned the claim and has started nothing under it.
		case c.coordinatedBy(o.self):
			lost = lost || c.Phase != Queued
		case o.view.Has(c.Coordinator):
			o.finishInProgress(c)
			return
		case c.PayloadHash != o.claim.PayloadHash:
			o.finish(Decision{
				Status: Conflict,
			})
			return
		case c.Phase != Queued:
			lost = true
		}
	}
	if lost {
		o.proposeLoss()
		return
	}
	o.proposeOwnClaim()
}

// proposeOwnClaim proposes the claim of this process with the prepared ballot.
func (o *operation) proposeOwnClaim() {
	o.claim.Ballot = o.ballot
	o.nextStep(TypeAccept)
}

// proposeLoss proposes, with the prepared ballot, that the outcome is unknown.
func (o *operation) proposeLoss() {
	o.recordsLoss = true
	o.claim.Ballot = o.ballot
	o.claim.Phase = Done
	o.claim.Outcome = sesamedrift.Outcome{
		Key:    o.claim.Key,
		Digest: o.claim.PayloadHash,
		Status: sesamedrift.Unknown,
		Reason: reasonLost,
		Task:   sesamedrift.NoTask,
	}
	o.nextStep(TypeAccept)
}

// lookUpDecision returns the decision of a look-up that a majority has answered.
func (o *operation) lookUpDecision() Decision {
	claims := o.candidates(false)
	for _, c := range claims {
		if o.view.Has(c.Coordinator) && !c.released() && !c.coordinatedBy(o.self) {
			return Decision{
				Status:      InProgress,
				Coordinator: c.Coordinator,
			}
		}
	}
	for _, c := range claims {
		if !c.released() && (o.mayHaveStarted || !c.coordinatedBy(o.self)) {
			return unknownDecision(reasonLost)
		}
	}
	return Decision{
		Status: NotFound,
	}
}

// expired reports whether a key is rejected because of its age.
func expired(now, created time.Time, retention time.Duration) bool {
	return now.Sub(created) > retention
}
