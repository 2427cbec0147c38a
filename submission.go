package sesamedrift

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 390

// Submission is one request (a single task) or one job of up to MaxTasks tasks.
type Submission struct {
	// Key identifies the submission together with its creation time.
	Key Key `msgpack:"key"`
	// Service names a service of the environment document.
	Service string `msgpack:"service"`
	// Kind names a kind of work of the service.
	Kind string `msgpack:"kind"`
	// Team names the team whose quota the submission uses.
	Team string `msgpack:"team"`
	// Deadline is the time after which the caller has no use for the answer.
	// The zero time stands for the default of the kind.
	Deadline time.Time `msgpack:"deadline"`
	// DeclaredRunTime is the caller's own estimate per task, or zero.
	DeclaredRunTime time.Duration `msgpack:"declared-run-time"`
	// Payloads has one element for each task, in task order.
	Payloads [][]byte `msgpack:"payloads"`
}

// Digest returns a hexadecimal SHA-256 over what the submission asks for: service,
// kind, team and payloads. The deadline is not part of it, since a caller that sends
// the submission again usually sets a later one.
func (s *Submission) Digest() string {
	h := sha256.New()
	var size [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	write([]byte(s.Service))
	write([]byte(s.Kind))
	write([]byte(s.Team))
	for _, p := range s.Payloads {
		write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Validate returns an *InvalidError for the first field that can be seen to be wrong
// without an environment document, or nil.
func (s *Submission) Validate() error {
	switch {
	case s.Service == "":
		return &InvalidError{Field: "service", Value: "", Want: "the name of a service"}
	case s.Kind == "":
		return &InvalidError{Field: "kind", Value: "", Want: "the name of a kind of the service"}
	case s.Team == "":
		return &InvalidError{Field: "team", Value: "", Want: "the name of a team"}
	case len(s.Payloads) == 0 || len(s.Payloads) > MaxTasks:
		return &InvalidError{
			Field: "tasks",
			Value: fmt.Sprint(len(s.Payloads)),
			Want:  fmt.Sprintf("1 to %d tasks", MaxTasks),
		}
	case s.DeclaredRunTime < 0:
		return &InvalidError{Field: "declared-run-time", Value: s.DeclaredRunTime.String(), Want: "a duration of zero or more"}
	}
	return nil
}

// InvalidError reports a value that cannot be accepted, and what would be.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// maxNamed bounds the values that OneOf lists, since a document may have dozens of teams.
const maxNamed = 5

// OneOf lists accepted values for an error: the first few, and the number of the others.
// A value that occurs twice, as in a document with problems, is listed once.
func OneOf(values []string) string {
	seen := map[string]bool{}
	values = slices.DeleteFunc(slices.Clone(values), func(v string) bool {
		again := seen[v]
		seen[v] = true
		return again
	})
	if len(values) == 0 {
		return "one of none"
	}
	text := "one of " + strings.Join(values[:min(maxNamed, len(values))], ", ")
	if more := len(values) - maxNamed; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// Error names the field, the value and the accepted values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %q is not accepted: want %s", e.Field, e.Value, e.Want)
}
