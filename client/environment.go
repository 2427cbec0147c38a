package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

// Change is a request to replace the document of an environment.
type Change struct {
	// Environment is validator.Trial or validator.Production. Promote ignores it.
	Environment string
	// ID identifies the change. If a change is sent again with the same ID, the result is that
	// of the first time. If ID is empty, a new one is generated, which is in
	// ChangeResult.ID or LostError.ID.
	ID string
	// ExpectedVersion is the version that the change replaces, 0 for the first document.
	ExpectedVersion uint64
	// Who names the person or program that makes the change, for the audit trail.
	Who string
	// Document is the new document as JSON. Promote ignores it.
	Document []byte
}

// ChangeStatus is the status of a change. There are no values but the constants below.
type ChangeStatus string

// The three values of ChangeStatus.
const (
	// ChangeAccepted means that the change is stored on a majority of replicas.
	ChangeAccepted ChangeStatus = "accepted"
	// ChangeConflict means that another change was accepted, which is ChangeResult.Winner.
	ChangeConflict ChangeStatus = "conflict"
	// ChangeUnavailable means that no majority of replicas answered. The change may still be
	// accepted later. To obtain its result, send it again with the same ID.
	ChangeUnavailable ChangeStatus = "unavailable"
)

func (s ChangeStatus) httpStatus() int {
	switch s {
	case ChangeAccepted:
		return http.StatusOK
	case ChangeConflict:
		return http.StatusConflict
	case ChangeUnavailable:
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

// ChangeResult is the answer to a change.
type ChangeResult struct {
	// ID is the identifier of the change.
	ID string `json:"-"`
	// Status is one of the ChangeStatus constants.
	Status ChangeStatus `json:"status"`
	// Version and Digest are those of the document that is active after the change.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Winner is the accepted change if the status is ChangeConflict.
	Winner *AuditEntry `json:"winner,omitempty"`
	// InForceOn names the hosts on which Version is active.
	InForceOn []string `json:"in-force-on"`
}

// AuditEntry is one change in the audit trail of an environment.
type AuditEntry struct {
	Register string    `json:"register"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	At       time.Time `json:"at"`
	Outcome  string    `json:"outcome"`
}

// EnvironmentState is the document of an environment that is active on the host that answers.
type EnvironmentState struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Document is the environment document as a JSON object.
	Document json.RawMessage `json:"document"`
	// InForceOn names the hosts on which Version is active.
	InForceOn []string `json:"in-force-on"`
}

// Apply replaces the document of an environment. A conflict is a result, not an error. If
// the document is invalid, the error is an *APIError with CodeBadRequest that lists all
// problems. After a *LostError the change may have been accepted; it is safe to send it again
// with the same ID.
func (c *Client) Apply(ctx context.Context, change Change) (ChangeResult, error) {
	path, err := environmentPath(change.Environment)
	if err != nil {
		return ChangeResult{}, err
	}
	return c.change(ctx, http.MethodPut, path, change, change.Document)
}

// Promote replaces the production document by the trial document. Change.ExpectedVersion is
// the version of the production document. Results and errors are those of Apply.
func (c *Client) Promote(ctx context.Context, change Change) (ChangeResult, error) {
	return c.change(ctx, http.MethodPost, "/v1/environments/production/promote", change, nil)
}

func (c *Client) change(ctx context.Context, method, path string, change Change, document []byte) (ChangeResult, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	r, err := c.deliver(ctx, c.hosts(""), exchange{
		method: method,
		path:   path,
		header: http.Header{
			"Authorization":       {"Bearer " + c.cfg.OperatorToken},
			"Content-Type":        {"application/json"},
			ChangeIDHeader:        {change.ID},
			ExpectedVersionHeader: {strconv.FormatUint(change.ExpectedVersion, 10)},
			ChangedByHeader:       {change.Who},
		},
		body: document,
		id:   change.ID,
	})
	if err != nil {
		return ChangeResult{}, err
	}
	result := ChangeResult{ID: change.ID}
	if err := json.Unmarshal(r.body, &result); err != nil || result.Status == "" {
		return ChangeResult{}, r.answerError(change.ID)
	}
	if want := result.Status.httpStatus(); r.status != want {
		err := fmt.Errorf("HTTP status %d of the answer does not match its result %q", r.status, result.Status)
		return ChangeResult{}, &LostError{Host: r.host, ID: change.ID, Err: err}
	}
	return result, nil
}

// Environment returns the document of an environment, validator.Trial or
// validator.Production, that is active on the host that answers.
func (c *Client) Environment(ctx context.Context, name string) (EnvironmentState, error) {
	path, err := environmentPath(name)
	if err != nil {
		return EnvironmentState{}, err
	}
	var state EnvironmentState
	if err := c.get(ctx, path, &state); err != nil {
		return EnvironmentState{}, err
	}
	return state, nil
}

// History returns up to limit entries of the audit trail of an environment whose version
// is greater than after. If limit is zero, the host chooses the number.
func (c *Client) History(ctx context.Context, name string, after uint64, limit int) ([]AuditEntry, error) {
	path, err := environmentPath(name)
	if err != nil {
		return nil, err
	}
	return c.history(ctx, path, after, limit)
}

// history returns entries of the audit trail at path + "/history".
func (c *Client) history(ctx context.Context, path string, after uint64, limit int) ([]AuditEntry, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	var entries []AuditEntry
	if err := c.get(ctx, path+"/history?"+query.Encode(), &entries); err != nil {
		return nil, err
	}
	return entries, nil
}

func environmentPath(name string) (string, error) {
	switch name {
	case validator.Trial, validator.Production:
		return "/v1/environments/" + name, nil
	default:
		return "", environmentError(name)
	}
}

func environmentError(name string) error {
	return &sesamedrift.InvalidError{
		Field: "environment",
		Value: name,
		Want:  validator.Trial + " or " + validator.Production,
	}
}
