package server

import (
	"fmt"
	"net/http"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

// Error is the body of an HTTP response that reports an error in place of an outcome. Hosts send it
// to each other as well.
type Error struct {
	// Status is the HTTP status code.
	Status int `json:"-" msgpack:"status"`
	// Code identifies the error. The codes are listed in docs/http.md.
	Code     string              `json:"code" msgpack:"code"`
	Message  string              `json:"message" msgpack:"message"`
	Problems []validator.Problem `json:"problems,omitempty" msgpack:"problems"`
	// RetryAfter is set for transient errors. It is sent as the header Retry-After.
	RetryAfter time.Duration `json:"-" msgpack:"retry-after"`
}

// Error returns the code and the message, without the problems.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

func badRequest(message string, problems ...validator.Problem) *Error {
	return &Error{
		Status:   http.StatusBadRequest,
		Code:     "bad-request",
		Message:  message,
		Problems: problems,
	}
}

func badField(e *sesamedrift.InvalidError) *Error {
	return badRequest(e.Error(), validator.Problem{
		Path:    e.Field,
		Value:   e.Value,
		Message: "want " + e.Want,
	})
}

func notReady(message string) *Error {
	return &Error{
		Status:     http.StatusServiceUnavailable,
		Code:       "not-ready",
		Message:    message,
		RetryAfter: time.Second,
	}
}

func notFound(message string) *Error {
	return &Error{
		Status:  http.StatusNotFound,
		Code:    "not-found",
		Message: message,
	}
}

// codeNotCoordinator says that the receiver of a lookup does not coordinate the submission. It is
// used between hosts only.
const codeNotCoordinator = "not-coordinator"

func notCoordinator() *Error {
	return &Error{
		Status:  http.StatusConflict,
		Code:    codeNotCoordinator,
		Message: "another host runs the submission",
	}
}

func keyConflict(key string) *Error {
	return &Error{
		Status:  http.StatusConflict,
		Code:    "key-conflict",
		Message: fmt.Sprintf("the key %q was used for a submission with another payload", key),
	}
}

func keyExpired(key string, retention time.Duration) *Error {
	return &Error{
		Status:  http.StatusGone,
		Code:    "key-expired",
		Message: fmt.Sprintf("the key %q is older than the retention time of %s; it is not run", key, retention),
	}
}
