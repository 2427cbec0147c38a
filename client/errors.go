package client

import (
	"errors"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift/validator"
)

// Code is the code of an error that the HTTP interface returns instead of an outcome.
type Code string

// Error codes of the HTTP interface.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeKeyConflict      Code = "key-conflict"
	CodeVersionConflict  Code = "version-conflict"
	CodeNotPromotable    Code = "not-promotable"
	CodeKeyExpired       Code = "key-expired"
	CodeTooLarge         Code = "too-large"
	CodeNotReady         Code = "not-ready"
)

// APIError is an error that a host returned instead of an outcome. The request had no effect.
type APIError struct {
	// Host is the base URL of the host that answered.
	Host string `json:"-"`
	// Status is the HTTP status code.
	Status int `json:"-"`
	// RetryAfter is the time to wait before the next attempt, or zero if the host sent none.
	RetryAfter time.Duration       `json:"-"`
	Code       Code                `json:"code"`
	Message    string              `json:"message"`
	Problems   []validator.Problem `json:"problems"`
}

// Error names the host, the code and the message, followed by the problems, one per line.
func (e *APIError) Error() string {
	text := fmt.Sprintf("host %s answered %d %s: %s", e.Host, e.Status, e.Code, e.Message)
	for _, p := range e.Problems {
		text += "\n" + p.String()
	}
	return text
}

// NotSentError means that the request was not delivered to any host.
type NotSentError struct {
	// Host is the base URL of the host that was tried last.
	Host string
	Err  error
}

// Error names the host and the reason.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request was not delivered; last host %s: %v", e.Host, e.Err)
}

// Unwrap returns the reason.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// LostError means that the request may have been delivered and that its result is not
// known. If it was delivered, sending it again with the same identifier has no further effect.
type LostError struct {
	// Host is the base URL of the host that was tried last.
	Host string
	// ID is the request key or the change identifier. It is empty for requests without one.
	ID string
	// Err is the reason. It is never a *NotSentError or an *APIError, since these mean that
	// the request had no effect.
	Err error
	// Answer is the error that a host returned for a later delivery, or nil.
	Answer *APIError
}

// lostAfter returns the error for a request that may have been delivered earlier and whose
// last delivery failed with err without an effect.
func lostAfter(earlier *LostError, err error) *LostError {
	lost := &LostError{
		Host: earlier.Host,
		ID:   earlier.ID,
		Err:  err,
	}
	var api *APIError
	var notSent *NotSentError
	switch {
	case errors.As(err, &api):
		lost.Host = api.Host
		lost.Answer = api
		lost.Err = errors.New(api.Error())
	case errors.As(err, &notSent):
		lost.Host = notSent.Host
		lost.Err = fmt.Errorf("the resubmission was not delivered: %w", notSent.Err)
	}
	return lost
}

// Error names the host, the identifier and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("request %q may have been delivered; last host %s: %v", e.ID, e.Host, e.Err)
}

// Unwrap returns the reason.
func (e *LostError) Unwrap() error {
	return e.Err
}

// MismatchError means that the answer of a host does not belong to the request. The
// submission may have run.
type MismatchError struct {
	// Host is the base URL of the host that answered.
	Host string
	// Field names the field that differs: key, created, digest, status, task or answers.
	Field string
	Want  string
	Got   string
}

// Error names the field and both values.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer of host %s belongs to another request: %s is %q, want %q", e.Host, e.Field, e.Got, e.Want)
}
