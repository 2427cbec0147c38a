package sesamedrift

import (
	"fmt"
	"net/http"
	"time"
)

// Status is the result of a submission. There are no values but the constants below.
type Status string

// The five values of Status.
const (
	// Complete means that every task succeeded. The outcome has the answers of all tasks.
	Complete Status = "complete"
	// Failed means that a task failed. The outcome has its index and the reason.
	Failed Status = "failed"
	// Refused means that no task was started.
	Refused Status = "refused"
	// Unknown means that the submission may have run. It is never used for a
	// submission that is known not to have run.
	Unknown Status = "unknown"
	// Cancelled means that the caller cancelled the submission or disconnected.
	Cancelled Status = "cancelled"
)

// Statuses lists all values of Status in the order of the documentation.
var Statuses = []Status{Complete, Failed, Refused, Unknown, Cancelled}

// Exit codes of the command-line tool that do not belong to a Status. Status.ExitCode returns
// the others.
const (
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 7
	ExitExpired  = 8
)

// HTTPStatus returns the HTTP status code of a response with the outcome. It panics if s is
// not one of Statuses.
func (s Status) HTTPStatus() int {
	switch s {
	case Complete:
		return http.StatusOK
	case Failed:
		return http.StatusBadGateway
	case Refused:
		return http.StatusServiceUnavailable
	case Unknown:
		return http.StatusGatewayTimeout
	case Cancelled:
		return http.StatusGone
	default:
		panic(fmt.Sprintf("sesamedrift: status %q is not one of Statuses", string(s)))
	}
}

// ExitCode returns the exit code of the command-line tool for the outcome. It panics if s is
// not one of Statuses.
func (s Status) ExitCode() int {
	switch s {
	case Complete:
		return 0
	case Failed:
		return 3
	case Refused:
		return 4
	case Unknown:
		return 5
	case Cancelled:
		return 6
	default:
		panic(fmt.Sprintf("sesamedrift: status %q is not one of Statuses", string(s)))
	}
}

// Outcome is the complete result of one submission.
type Outcome struct {
	// Key is the text form of the key of the submission (Key.String).
	Key string `json:"key" msgpack:"key"`
	// Digest is the digest of the submission (Submission.Digest).
	Digest string `json:"digest" msgpack:"digest"`
	// Status is one of Statuses.
	Status Status `json:"status" msgpack:"status"`
	// Reason is empty if and only if the status is Complete.
	Reason string `json:"reason,omitempty" msgpack:"reason,omitempty"`
	// Task is the index of the task that failed, or NoTask (-1).
	Task int `json:"task" msgpack:"task"`
	// Answers has one element for each task, in task order, if the status is Complete.
	// Otherwise it is empty.
	Answers [][]byte `json:"answers,omitempty" msgpack:"answers,omitempty"`
	// RetryAfter is the time to wait before the next try of a refused submission, or zero.
	RetryAfter time.Duration `json:"retry-after,omitempty" msgpack:"retry-after,omitempty"`
}

// NoTask is the value of Outcome.Task if the status is not due to a single task.
const NoTask = -1

// IncompleteOutcome returns an outcome of the submission with the status and the reason,
// without answers and with NoTask.
func IncompleteOutcome(s *Submission, status Status, reason string) Outcome {
	return Outcome{
		Key:    s.Key.String(),
		Digest: s.Digest(),
		Status: status,
		Reason: reason,
		Task:   NoTask,
	}
}
