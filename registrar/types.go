package registrar

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// ReplicaSetRegister is the name of the register that holds the set of replicas.
const ReplicaSetRegister = "replicas"

// Limits of the audit trail, in versions. The audit trail is also the only record of change
// identifiers, so a change can be sent again until this many newer versions have been decided.
const (
	maxAuditTrail = 10_000
	// maxViewAuditTrail is the limit for registers whose names begin with viewPrefix.
	maxViewAuditTrail = 100
	viewPrefix        = "view-"
)

// Change proposes one new version of a register.
type Change struct {
	Register string `msgpack:"register"`
	// ID identifies the change within its register. A change that is sent again has the
	// same ID, expected version and value; another change has another ID.
	ID string `msgpack:"id"`
	// Who is the operator or host that made the change, for the audit trail.
	Who string `msgpack:"who"`
	// Expected is the version that the change replaces; 0 for a register without a value.
	Expected uint64 `msgpack:"expected"`
	Value    []byte `msgpack:"value"`
}

// Status is the outcome of a change.
type Status string

// The outcomes of a change.
const (
	// Accepted means that the change is the version Expected+1 of the register.
	Accepted Status = "accepted"
	// Conflict means that another change is the version Expected+1. This status is final.
	Conflict Status = "conflict"
	// Unavailable means that no majority answered. The change may have been accepted or may be
	// accepted later; the caller sends the same change again to get its final status.
	Unavailable Status = "unavailable"
)

// Result is the outcome of a change and the version that was decided.
type Result struct {
	Status Status `msgpack:"status"`
	// Version is Expected+1 and Digest that of its value; both are zero if Status is Unavailable.
	Version uint64 `msgpack:"version"`
	Digest  string `msgpack:"digest"`
	// Winner is the audit entry of the version Expected+1; zero if Status is Unavailable.
	Winner AuditEntry `msgpack:"winner"`
}

// Entry is one version of a register. The value is shared and must not be modified.
type Entry struct {
	Register string `msgpack:"register"`
	// Version is 0 if the register has no value yet.
	Version uint64 `msgpack:"version"`
	Value   []byte `msgpack:"value"`
	Digest  string `msgpack:"digest"`
}

// AuditEntry describes the change that became one version of a register.
type AuditEntry struct {
	Register string `msgpack:"register"`
	ID       string `msgpack:"id"`
	Who      string `msgpack:"who"`
	Version  uint64 `msgpack:"version"`
	// Digest is the hexadecimal SHA-256 of the value.
	Digest string `msgpack:"digest"`
	// ReceivedAt is the time, in UTC, at which the replica that first proposed the change received
	// it.
	ReceivedAt time.Time `msgpack:"at"`
	// Outcome is always "accepted", because a change with the status Conflict has no audit
	// entry.
	Outcome string `msgpack:"outcome"`
}

// Digest returns the hexadecimal SHA-256 of the value.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// InvalidError reports an invalid field of a change or of the configuration.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error returns a message with the field, the value and the accepted values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %q is not accepted: want %s", e.Field, e.Value, e.Want)
}

// FutureVersionError reports a change whose expected version does not exist yet. Nothing was
// decided about the change.
type FutureVersionError struct {
	Register string
	Expected uint64
	Version  uint64
}

// Error returns a message with the expected and the newest version.
func (e *FutureVersionError) Error() string {
	return fmt.Sprintf("register %q is at version %d; the change expects version %d", e.Register, e.Version, e.Expected)
}

// CompactedError reports a change whose expected version is older than the audit trail, so that its
// result is no longer recorded. The call changed nothing.
type CompactedError struct {
	Register string
	Expected uint64
	// Oldest is the first version of the audit trail.
	Oldest uint64
}

// Error returns a message with the expected version and the oldest version of the audit trail.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("register %q: the answer to a change of version %d is forgotten; the audit trail begins at version %d",
		e.Register, e.Expected, e.Oldest)
}

// ReusedIDError reports a change identifier that belongs to an accepted change with another
// expected version or value. The call changed nothing.
type ReusedIDError struct {
	Register string
	ID       string
	// Version is the version that the accepted change became.
	Version uint64
}

// Error returns a message with the identifier and the version that it belongs to.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("register %q: change identifier %q belongs to the different change that became version %d",
		e.Register, e.ID, e.Version)
}

// UnavailableError reports that fewer than a majority of the replicas answered.
type UnavailableError struct {
	// Register is empty for a request about all registers.
	Register string
	Answered int
	Needed   int
}

// Error returns a message with the numbers of replicas that answered and that are needed.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("register %q: %d replicas answered, %d are needed", e.Register, e.Answered, e.Needed)
}

// CorruptionError reports recovered state that cannot be decoded or applied. The replica must be
// started with Config.Empty.
type CorruptionError struct {
	// Record is the index of the record, or -1 for the snapshot or the state as a whole.
	Record int
	Err    error
}

// Error returns a message with the record and the cause.
func (e *CorruptionError) Error() string {
	if e.Record < 0 {
		return fmt.Sprintf("recovered state cannot be read: %v", e.Err)
	}
	return fmt.Sprintf("recovered record %d cannot be read: %v", e.Record, e.Err)
}

// Unwrap returns the error of decoding or applying the record.
func (e *CorruptionError) Unwrap() error { return e.Err }

// StorageError reports that a record or snapshot could not be stored. The replica has stopped
// voting and must be created again from the recovered state.
type StorageError struct{ Err error }

// Error returns a message with the cause.
func (e *StorageError) Error() string {
	return fmt.Sprintf("replica has stopped voting: storing failed: %v", e.Err)
}

// Unwrap returns the error of encoding or storing the record or snapshot.
func (e *StorageError) Unwrap() error { return e.Err }
