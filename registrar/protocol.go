package registrar

import "cmp"

// Ballot is the ballot number of a round for one version. No two rounds have the same ballot.
type Ballot struct {
	Round uint64 `msgpack:"round"`
	// Replica is the ID of the proposer. It makes ballots of equal Round distinct.
	Replica string `msgpack:"replica"`
}

// Compare returns -1, 0 or 1 if b is lower than, equal to or higher than other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Replica, other.Replica))
}

// Proposal is a value that is proposed for one version of a register, with its audit entry.
type Proposal struct {
	Value []byte     `msgpack:"value"`
	Audit AuditEntry `msgpack:"audit"`
}

// Vote is a proposal that a replica has accepted in a ballot.
type Vote struct {
	Ballot   Ballot   `msgpack:"ballot"`
	Proposal Proposal `msgpack:"proposal"`
}

// Decided holds the newest decided version of a register and the audit entries that the receiver
// lacks.
type Decided struct {
	Register string `msgpack:"register"`
	Version  uint64 `msgpack:"version"`
	Value    []byte `msgpack:"value"`
	// AuditTrail is in version order without gaps and ends with Version.
	AuditTrail []AuditEntry `msgpack:"trail"`
	// Complete is set if the sender has no entries older than AuditTrail.
	Complete bool `msgpack:"whole"`
}

// RequestKind is the kind of a request, which is the protocol step that the receiver takes.
type RequestKind string

// The steps of the protocol.
const (
	// KindPrepare requests a promise for a ballot.
	KindPrepare RequestKind = "prepare"
	// KindAccept requests a vote for a proposal.
	KindAccept RequestKind = "accept"
	// KindLearn sends a decided version.
	KindLearn RequestKind = "learn"
	// KindRead requests the newest version of one register or of all.
	KindRead RequestKind = "read"
	// KindRepair requests the complete state, for an empty replica.
	KindRepair RequestKind = "repair"
)

// Request is one message to a replica. Kind determines which of the other fields are set.
type Request struct {
	Kind RequestKind `msgpack:"kind"`
	From string      `msgpack:"from"`
	// Register is empty in a read of all registers and in a repair request.
	Register string `msgpack:"register"`
	// Version is the version to decide (prepare, accept) or the newest version that the sender has
	// (read).
	Version  uint64    `msgpack:"version"`
	Ballot   Ballot    `msgpack:"ballot"`
	Proposal *Proposal `msgpack:"proposal"`
	Decided  *Decided  `msgpack:"decided"`
	// SetVersion is the version of the replica set that the sender uses.
	SetVersion uint64 `msgpack:"set-version"`
	// KnownVersions holds, in a read of all registers, the newest version of each that the sender
	// has.
	KnownVersions map[string]uint64 `msgpack:"known"`
	// Epoch is, in a repair request, the new epoch of the sender, or 0 to request only the state.
	Epoch uint64 `msgpack:"epoch"`
}

// ReplyStatus is the outcome of one protocol step.
type ReplyStatus string

// The outcomes of a protocol step.
const (
	// ReplyOK means that the step was taken and its record, if any, is stored.
	ReplyOK ReplyStatus = "ok"
	// ReplyRefused means that the replica has promised the higher ballot Reply.Promised.
	ReplyRefused ReplyStatus = "refused"
	// ReplyNewer means that the version is already decided or that the replica has learned a newer
	// replica set; Reply.Decided holds the newest version of the register or of the replica set.
	ReplyNewer ReplyStatus = "newer"
	// ReplyBehind means that the replica must first learn the versions after Reply.SetVersion of
	// the replica set or after Reply.Version of the register.
	ReplyBehind ReplyStatus = "behind"
	// ReplyUnavailable means that the replica does not vote: it is empty or its storage has failed.
	ReplyUnavailable ReplyStatus = "unavailable"
	// ReplyInvalid means that the request is malformed.
	ReplyInvalid ReplyStatus = "invalid"
)

// Reply is the answer to one Request.
type Reply struct {
	Status ReplyStatus `msgpack:"status"`
	Kind   RequestKind `msgpack:"kind"`
	From   string      `msgpack:"from"`
	// Ballot is the ballot of the request.
	Ballot Ballot `msgpack:"ballot"`
	// Version is the newest version of the register that the replica has learned.
	Version uint64 `msgpack:"version"`
	// SetVersion is the newest version of the replica set that the replica has learned.
	SetVersion uint64 `msgpack:"set-version"`
	// Promised and Accepted are the highest promised ballot and the vote for the version Version+1.
	Promised Ballot `msgpack:"promised"`
	Accepted *Vote  `msgpack:"accepted"`
	// Decided is set if the replica has a newer version than the sender of the request, of the
	// register or of the replica set.
	Decided *Decided `msgpack:"decided"`
	// Updates answers a read of all registers with the versions that the sender of the request
	// lacks.
	Updates []Decided `msgpack:"newer"`
	// Registers answers a read of all registers with the names of those of which the replica has
	// any state.
	Registers []string `msgpack:"registers"`
	// Epochs holds, for each replica, the highest epoch that this replica has recorded.
	Epochs map[string]uint64 `msgpack:"epochs"`
	// State is the complete state of the replica, in the reply to a repair request.
	State *State `msgpack:"state"`
	// Bootstrap is set if the replica is empty and waits for the first start of a new set.
	Bootstrap bool `msgpack:"bootstrap"`
	// Replicas is the configured set if the replica is empty.
	Replicas []string `msgpack:"replicas"`
}

// RecordKind is the kind of a stored state transition.
type RecordKind string

// The stored state transitions.
const (
	recordPromise RecordKind = "promise"
	recordAccept  RecordKind = "accept"
	recordLearn   RecordKind = "learn"
	recordEpoch   RecordKind = "epoch"
)

// Record is one state transition of a replica. It is stored before it is applied and before the
// replica replies to the step that produced it. Kind determines which of the other fields are set.
type Record struct {
	Kind     RecordKind `msgpack:"kind"`
	Register string     `msgpack:"register"`
	Ballot   Ballot     `msgpack:"ballot"`
	Vote     *Vote      `msgpack:"vote"`
	Decided  *Decided   `msgpack:"decided"`
	Replica  string     `msgpack:"replica"`
	Epoch    uint64     `msgpack:"epoch"`
}
