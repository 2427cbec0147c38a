package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

// createdFormat is the RFC 3339 format with milliseconds, the precision of the creation time
// of a key.
const createdFormat = "2006-01-02T15:04:05.000Z07:00"

// firstTry is the number of the first try. A submission that is sent again after a refusal
// has the next number.
const firstTry = 1

// SubmissionRequest is the body of POST /v1/submissions.
type SubmissionRequest struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Team    string `json:"team"`
	// Timeout is the time from the arrival of the request to its deadline. Zero means the
	// default of the kind.
	Timeout validator.Duration `json:"timeout,omitempty"`
	// DeclaredRunTime is the caller's estimate of the run time of a task. Zero means none.
	DeclaredRunTime validator.Duration `json:"declared-run-time,omitempty"`
	Tasks           [][]byte           `json:"tasks"`
}

// Submit sends the submission and waits for its outcome. If the submission has no key, Submit
// creates one, which is in Outcome.Key or LostError.ID. Errors are of type
// *sesamedrift.InvalidError, *NotSentError, *LostError, *APIError or *MismatchError. After a
// *LostError or *MismatchError the submission may have run; after any other error it has not.
func (c *Client) Submit(ctx context.Context, s sesamedrift.Submission) (sesamedrift.Outcome, error) {
	return c.SubmitTry(ctx, s, firstTry)
}

// SubmitTry sends the submission as the try with the given number. Submit sends try 1. A
// refusal is final for its try: if all earlier tries were refused, the submission may be sent
// again under the same key with the next number. If an earlier try was not refused, its
// outcome is returned and nothing is started. Results and errors are those of Submit.
func (c *Client) SubmitTry(ctx context.Context, s sesamedrift.Submission, try int) (sesamedrift.Outcome, error) {
	if err := s.Validate(); err != nil {
		return sesamedrift.Outcome{}, err
	}
	if err := checkTry(try); err != nil {
		return sesamedrift.Outcome{}, err
	}
	if s.Key.ID == "" && try > firstTry {
		return sesamedrift.Outcome{}, noKeyError()
	}
	if s.Key.ID == "" {
		key, err := c.NewKey(ctx)
		if err != nil {
			return sesamedrift.Outcome{}, notSubmitted(err)
		}
		s.Key = key
	}
	return c.submit(ctx, s, try, "", nil)
}

func checkTry(try int) error {
	if try < firstTry {
		return &sesamedrift.InvalidError{
			Field: "try",
			Value: strconv.Itoa(try),
			Want:  "a whole number of 1 or more",
		}
	}
	return nil
}

func noKeyError() error {
	return &sesamedrift.InvalidError{
		Field: "key",
		Value: "",
		Want:  "the key of the first submission",
	}
}

// notSubmitted returns the error for a submission that was not sent because NewKey failed
// with err. It turns a *LostError into a *NotSentError, since only the request of NewKey was
// lost and the submission was not sent.
func notSubmitted(err error) error {
	var lost *LostError
	if errors.As(err, &lost) {
		return &NotSentError{Host: lost.Host, Err: fmt.Errorf("get the failure domain of a host: %w", lost.Err)}
	}
	return err
}

// Resubmit sends a submission again with the same key after an earlier delivery may have
// succeeded. It tries the host to avoid (LostError.Host) last. If the submission was delivered
// before, Resubmit returns the outcome of that delivery. Except for an
// *sesamedrift.InvalidError about the submission, every error is a *LostError or a
// *MismatchError, since the submission may have run before.
func (c *Client) Resubmit(ctx context.Context, s sesamedrift.Submission, avoid string) (sesamedrift.Outcome, error) {
	if err := s.Validate(); err != nil {
		return sesamedrift.Outcome{}, err
	}
	if s.Key.ID == "" {
		return sesamedrift.Outcome{}, noKeyError()
	}
	earlier := &LostError{Host: avoid, ID: s.Key.String()}
	return c.submit(ctx, s, firstTry, avoid, earlier)
}

// submit sends the submission until there is an outcome or MaxResubmissions is reached. If
// earlier is not nil, it is the error of an earlier delivery, after which the submission may
// have run.
func (c *Client) submit(ctx context.Context, s sesamedrift.Submission, try int, avoid string, earlier *LostError) (sesamedrift.Outcome, error) {
	for n := 0; ; n++ {
		o, err := c.submitOnce(ctx, s, try, avoid)
		var mismatch *MismatchError
		if err == nil || errors.As(err, &mismatch) {
			return o, err
		}
		var lost *LostError
		if !errors.As(err, &lost) {
			if earlier == nil {
				return o, err
			}
			lost = lostAfter(earlier, err)
		}
		if n == c.cfg.MaxResubmissions || !resubmittable(err) || c.cfg.Sleep(ctx, c.backoff(n+1)) != nil {
			return o, lost
		}
		earlier, avoid = lost, lost.Host
	}
}

// resubmittable reports whether a resubmission after err may succeed.
func resubmittable(err error) bool {
	var api *APIError
	if errors.As(err, &api) {
		return api.Code == CodeNotReady
	}
	var invalid *sesamedrift.InvalidError
	return !errors.As(err, &invalid)
}

func (c *Client) submitOnce(ctx context.Context, s sesamedrift.Submission, try int, avoid string) (sesamedrift.Outcome, error) {
	body := SubmissionRequest{
		Service:         s.Service,
		Kind:            s.Kind,
		Team:            s.Team,
		DeclaredRunTime: validator.Duration(s.DeclaredRunTime),
		Tasks:           s.Payloads,
	}
	if !s.Deadline.IsZero() {
		timeout := s.Deadline.Sub(c.cfg.Now())
		if timeout <= 0 {
			return sesamedrift.Outcome{}, &sesamedrift.InvalidError{
				Field: "deadline",
				Value: s.Deadline.Format(time.RFC3339Nano),
				Want:  "a time in the future",
			}
		}
		body.Timeout = validator.Duration(timeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout+c.cfg.AnswerGrace)
		defer cancel()
	}
	data, err := json.Marshal(body)
	if err != nil {
		return sesamedrift.Outcome{}, fmt.Errorf("encode submission: %w", err)
	}
	r, err := c.deliver(ctx, c.hosts(avoid), exchange{
		method: http.MethodPost,
		path:   "/v1/submissions",
		header: c.submissionHeader(s.Key, try),
		body:   data,
		id:     s.Key.String(),
	})
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	o, err := r.outcome(s.Key)
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	if err := checkSubmission(r.host, &s, o); err != nil {
		return sesamedrift.Outcome{}, err
	}
	return o, nil
}

func (c *Client) submissionHeader(key sesamedrift.Key, try int) http.Header {
	header := http.Header{
		"Content-Type":               {"application/json"},
		sesamedrift.KeyHeader:        {key.String()},
		sesamedrift.KeyCreatedHeader: {key.Created.UTC().Format(createdFormat)},
	}
	if try > firstTry {
		header.Set(TryHeader, strconv.Itoa(try))
	}
	if c.cfg.Environment != "" {
		header.Set(EnvironmentHeader, c.cfg.Environment)
	}
	return header
}

// Wait waits for the outcome of a submission that is running, or returns the recorded
// one. It starts nothing, so that it tries each host in turn even after a *LostError. If no
// submission has the key, the error is an *APIError with CodeNotFound. The outcome belongs to
// the key, but Wait cannot check its digest; the caller compares it with that of the
// submission.
func (c *Client) Wait(ctx context.Context, key sesamedrift.Key) (sesamedrift.Outcome, error) {
	return c.WaitTry(ctx, key, firstTry)
}

// WaitTry is Wait for a submission that was sent with SubmitTry.
func (c *Client) WaitTry(ctx context.Context, key sesamedrift.Key, try int) (sesamedrift.Outcome, error) {
	if err := checkTry(try); err != nil {
		return sesamedrift.Outcome{}, err
	}
	r, err := c.fetch(ctx, keyPath(key, try), key.String())
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	return r.outcome(key)
}

// Cancel requests the cancellation of a submission. If it returns nil, a host has accepted
// the request, and Wait or the running Submit returns the outcome.
func (c *Client) Cancel(ctx context.Context, key sesamedrift.Key) error {
	return c.CancelTry(ctx, key, firstTry)
}

// CancelTry is Cancel for a submission that was sent with SubmitTry.
func (c *Client) CancelTry(ctx context.Context, key sesamedrift.Key, try int) error {
	if err := checkTry(try); err != nil {
		return err
	}
	r, err := c.deliver(ctx, c.hosts(""), exchange{
		method: http.MethodDelete,
		path:   keyPath(key, try),
		id:     key.String(),
	})
	if err != nil {
		return err
	}
	if r.status != http.StatusAccepted {
		return r.answerError(key.String())
	}
	return nil
}

func keyPath(key sesamedrift.Key, try int) string {
	query := url.Values{"created": {key.Created.UTC().Format(createdFormat)}}
	if try > firstTry {
		query.Set("try", strconv.Itoa(try))
	}
	return "/v1/submissions/" + url.PathEscape(key.String()) + "?" + query.Encode()
}

// outcome returns the outcome in the answer. It returns an error if there is none or if it
// does not belong to the key.
func (r response) outcome(key sesamedrift.Key) (sesamedrift.Outcome, error) {
	if r.header.Get(OutcomeHeader) == "" {
		return sesamedrift.Outcome{}, r.answerError(key.String())
	}
	var o sesamedrift.Outcome
	if err := json.Unmarshal(r.body, &o); err != nil {
		return sesamedrift.Outcome{}, &LostError{Host: r.host, ID: key.String(), Err: fmt.Errorf("decode outcome: %w", err)}
	}
	if err := r.checkOutcome(key, o); err != nil {
		return sesamedrift.Outcome{}, err
	}
	// The Retry-After header is rounded up to whole seconds, so that the more precise value of
	// the outcome has priority.
	if o.Status == sesamedrift.Refused && o.RetryAfter == 0 {
		o.RetryAfter = r.retryAfter()
	}
	return o, nil
}

func statusList() string {
	names := make([]string, 0, len(sesamedrift.Statuses))
	for _, s := range sesamedrift.Statuses {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}
