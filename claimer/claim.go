package claimer

import (
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

// Phase is the progress of a claimed submission.
type Phase string

// The phases of a claim, in their order.
const (
	// Queued means that no task has started.
	Queued Phase = "queued"
	// Started means that tasks may have started.
	Started Phase = "started"
	// Done means that the submission has an outcome.
	Done Phase = "done"
)

// rank orders the phases; an unknown phase has rank 0.
func (p Phase) rank() int {
	switch p {
	case Queued:
		return 1
	case Started:
		return 2
	case Done:
		return 3
	default:
		return 0
	}
}

// Claim records the coordinator of a submission and the progress of the submission.
type Claim struct {
	// Key is the text of sesamedrift.Key.Identity of the submission.
	Key string `msgpack:"key"`
	// Created is the creation time of the key.
	Created time.Time `msgpack:"created"`
	// PayloadHash is the digest of the submission.
	PayloadHash string        `msgpack:"payload-hash"`
	Coordinator leaser.Member `msgpack:"coordinator"`
	// Ballot is 0 for a first claim. Higher ballots are unique to one attempt of one process.
	Ballot uint64 `msgpack:"ballot,omitempty"`
	Phase  Phase  `msgpack:"phase"`
	// Outcome is set if the phase is Done.
	Outcome sesamedrift.Outcome `msgpack:"outcome,omitempty"`
	// Final means that a refusal is permanent; see Config.FinalRefusals.
	Final bool `msgpack:"final,omitempty"`
	// AnswersEvicted means that the table has evicted the answers of the outcome.
	AnswersEvicted bool `msgpack:"answer-dropped,omitempty"`
	// UpdatedAt is when the coordinator last changed the claim, by the coordinator's clock.
	UpdatedAt time.Time `msgpack:"at"`
}

// released reports whether the submission was refused without having run, so that its key
// can be claimed again.
func (c Claim) released() bool {
	return c.Phase == Done && c.Outcome.Status == sesamedrift.Refused && !c.Final
}

func (c Claim) coordinatedBy(m leaser.Member) bool {
	return c.Coordinator.Host == m.Host && c.Coordinator.Incarnation == m.Incarnation
}

// supersedes reports whether c has a later phase than o, or still has the answers that o has
// lost. Both must have the same coordinator and ballot.
func (c Claim) supersedes(o Claim) bool {
	if c.Phase.rank() != o.Phase.rank() {
		return c.Phase.rank() > o.Phase.rank()
	}
	return o.AnswersEvicted && !c.AnswersEvicted
}

// Record is the state of one key in a table.
type Record struct {
	Key     string    `msgpack:"key"`
	Created time.Time `msgpack:"created"`
	// Promised is the highest prepared ballot. Requests with a lower ballot are rejected.
	Promised uint64 `msgpack:"promised,omitempty"`
	// Claims all have the same ballot, the highest accepted one. There is more than one
	// claim only at ballot 0, after a view change at which the tables of the previous view
	// had claims of different coordinators.
	Claims []Claim `msgpack:"claims"`
}

func (r *Record) ballot() uint64 {
	if len(r.Claims) == 0 {
		return 0
	}
	return r.Claims[0].Ballot
}

func (r *Record) doneClaim() (Claim, bool) {
	for _, c := range r.Claims {
		if c.Phase == Done {
			return c, true
		}
	}
	return Claim{}, false
}

// merge adds a claim from another table. Claims with the highest ballot replace the others;
// of two claims with the same ballot and coordinator the one that supersedes the other stays.
func (r *Record) merge(c Claim) {
	switch {
	case len(r.Claims) == 0 || c.Ballot > r.ballot():
		r.Claims = []Claim{c}
		return
	case c.Ballot < r.ballot():
		return
	}
	for i, existing := range r.Claims {
		if existing.coordinatedBy(c.Coordinator) {
			if c.supersedes(existing) {
				r.Claims[i] = c
			}
			return
		}
	}
	r.Claims = append(r.Claims, c)
}

// Status is the result of a claim or look-up.
type Status string

// The statuses. Only Find returns NotFound.
const (
	// Granted means that this host is the coordinator and may run the submission.
	Granted Status = "granted"
	// InProgress means that Decision.Coordinator, which may be this host, coordinates the
	// submission.
	InProgress Status = "joined"
	// Recorded means that Decision.Outcome is the outcome of the submission.
	Recorded Status = "recorded"
	// Conflict means that the key was used with another payload.
	Conflict Status = "conflict"
	// Expired means that the key is older than the retention time.
	Expired Status = "expired"
	// Unknown means that the submission may have run, but its outcome is lost.
	Unknown Status = "unknown"
	// Unavailable means that no majority of the view answered.
	Unavailable Status = "unavailable"
	// NotFound means that a majority has no record of the key.
	NotFound Status = "absent"
)

// ReasonAnswersEvicted is the reason of an outcome whose answers were evicted.
const ReasonAnswersEvicted = "answer no longer held"

// Decision is the result of Claim and Find.
type Decision struct {
	Status Status
	// Coordinator is set if the status is InProgress or Granted.
	Coordinator leaser.Member
	// Outcome is set if the status is Recorded. If AnswersEvicted is set, Outcome has the
	// status unknown, the reason ReasonAnswersEvicted and no answers, and RecordedStatus is
	// the status that was recorded.
	Outcome        sesamedrift.Outcome
	AnswersEvicted bool
	RecordedStatus sesamedrift.Status
	// MaybeRecorded is set if the status is Unavailable and the attempt may have left a record
	// in the table of a member.
	MaybeRecorded bool
	// Reason explains the status Unknown or Unavailable.
	Reason string
}

func recordedDecision(c Claim) Decision {
	d := Decision{
		Status:  Recorded,
		Outcome: c.Outcome,
	}
	if c.AnswersEvicted {
		d.AnswersEvicted = true
		d.RecordedStatus = c.Outcome.Status
		d.Outcome.Status = sesamedrift.Unknown
		d.Outcome.Reason = ReasonAnswersEvicted
		d.Outcome.Answers = nil
	}
	return d
}

// LostError reports that the claim is no longer valid: another host has taken it over, the
// key has expired, or the current view started without the record of the key. Nothing may be
// started under the claim.
type LostError struct {
	Key    string
	Reason string
}

func (e *LostError) Error() string {
	return fmt.Sprintf("claim of %q is lost: %s", e.Key, e.Reason)
}

// UnavailableError reports that fewer than a majority of the members accepted a change of a
// claim. The call may be repeated; until it succeeds nothing may be started under the claim.
type UnavailableError struct {
	Key      string
	Accepted int
	Needed   int
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim of %q was accepted by %d members, %d are needed", e.Key, e.Accepted, e.Needed)
}

// NotClaimedError reports a key for which this host holds no claim.
type NotClaimedError struct {
	Key string
}

func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("this host holds no claim of %q", e.Key)
}

// FutureKeyError reports a key whose creation time is after the current time by more than
// Config.ClockMargin.
type FutureKeyError struct {
	Key     string
	Created time.Time
	Now     time.Time
}

func (e *FutureKeyError) Error() string {
	return fmt.Sprintf("key %q was created at %v, which is after %v", e.Key, e.Created, e.Now)
}

// NotSentError is returned by Config.Call if the request was certainly not delivered.
type NotSentError struct {
	Member string
	Err    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %q was not sent: %v", e.Member, e.Err)
}

func (e *NotSentError) Unwrap() error {
	return e.Err
}
