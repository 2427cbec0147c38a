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

// Submission is one request (a single task) or one job (up to MaxTasks tasks).
type Submission struct {
	// Key identifies the submission.
	Key Key `msgpack:"key"`
	// Service names a service of the environment document.
	Service string `msgpack:"service"`
	// Kind names a kind of work of the service.
	Kind string `msgpack:"kind"`
	// Team names the team whose quota the submission uses.
	Team string `msgpack:"team"`
	// Deadline is the time after which the caller does not need the outcome any more.
	// The zero time means the default of the kind.
	Deadline time.Time `msgpack:"deadline"`
	// DeclaredRunTime is the caller's estimate of the run time of a task. Zero means none.
	DeclaredRunTime time.Duration `msgpack:"declared-run-time"`
	// Payloads has one element for each task, in task order.
	Payloads [][]byte `msgpack:"payloads"`
}

// Digest returns the SHA-256 of service, kind, team and payloads in hexadecimal. The deadline
// is not included, since a caller that sends the submission again usually sets a later one.
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

// Validate returns an *InvalidError for the first field with an invalid value, or nil. It
// checks only what can be checked without an environment document, and not the key.
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

// InvalidError reports a field whose value is not accepted.
type InvalidError struct {
	Field string
	Value string
	// Want describes the accepted values, for example "1 to 390 tasks".
	Want string
}

// maxListed bounds the values that OneOf lists, since a document may have dozens of teams.
const maxListed = 5

// OneOf returns a text for InvalidError.Want that lists accepted values: the first few, and
// the number of the others. A value that occurs twice, as in an invalid document, is listed
// once.
func OneOf(values []string) string {
	seen := map[string]bool{}
	values = slices.DeleteFunc(slices.Clone(values), func(v string) bool {
		duplicate := seen[v]
		seen[v] = true
		return duplicate
	})
	if len(values) == 0 {
		return "one of none"
	}
	text := "one of " + strings.Join(values[:min(maxListed, len(values))], ", ")
	if more := len(values) - maxListed; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// Error names the field, the value and the accepted values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %q is not accepted: want %s", e.Field, e.Value, e.Want)
}
