package generator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
)

const (
	// resubmitAfter is the time after which a job with Resubmit set is sent again.
	resubmitAfter = 20 * time.Millisecond
	// maxResubmissions bounds the resubmissions of a job by a caller that lost its connection.
	maxResubmissions = 3
)

// sample is the result of one job as its caller observed it.
type sample struct {
	key string
	// sent is the time at which the job was sent, and ended the time at which the caller
	// received the answer or gave up, both from the start of the phase.
	sent, ended time.Duration
	// status is empty if there was no outcome; failure is then the cause.
	status     sesamedrift.Status
	reason     string
	retryAfter time.Duration
	failure    string
	// lostAnswers counts the submissions and resubmissions whose answer was lost.
	lostAnswers int
	// late is set if the job was accepted but not answered completely within its deadline.
	late bool
}

// submit sends one job and returns its result. If Resubmit is set it also sends the job to
// ResubmitHost; only the checker receives the result of that.
func (r *run) submit(ctx context.Context, start time.Time, j *Job) sample {
	t := &r.targets[j.Host]
	now := time.Now()
	result := sample{sent: now.Sub(start)}
	s := r.submission(now, start, t, j)
	result.key = s.Key.String()
	r.checker.RecordSubmission(s.Key.String(), len(s.Payloads), j.Kind.Idempotent)
	var resubmission sync.WaitGroup
	if j.Resubmit {
		resubmission.Go(func() {
			if sleep(ctx, resubmitAfter) {
				var ignored sample
				r.deliver(ctx, &r.targets[j.ResubmitHost], s, &ignored)
			}
		})
	}
	r.deliver(ctx, t, s, &result)
	result.ended = time.Since(start)
	resubmission.Wait()
	return result
}

func (r *run) submission(now, start time.Time, t *target, j *Job) sesamedrift.Submission {
	s := sesamedrift.Submission{
		Key:      sesamedrift.NewKey(now, t.domain),
		Service:  r.cfg.Scenario.Service,
		Kind:     j.Kind.Name,
		Team:     teamName(j.Team),
		Deadline: start.Add(j.Arrival + j.Kind.Deadline),
		Payloads: make([][]byte, len(j.RunTimes)),
	}
	for i, runTime := range j.RunTimes {
		s.Payloads[i] = fmt.Appendf(nil, `{"run-time":%q,"echo":%q}`, runTime, echo(s.Key.String(), i))
	}
	return s
}

// deliver sends a submission, and sends it again after each lost answer, until there is an outcome
// or maxResubmissions is reached. It records the result in the checker and in result.
func (r *run) deliver(ctx context.Context, t *target, s sesamedrift.Submission, result *sample) {
	o, err := t.api.Submit(ctx, s)
	var lostErr *client.LostError
	for result.lostAnswers < maxResubmissions && errors.As(err, &lostErr) {
		result.lostAnswers++
		if r.isStopping(lostErr.Host) {
			r.checker.RecordViolation(ViolationInterrupted, "a planned stop interrupted submission %s: %v", s.Key, err)
		}
		o, err = t.api.Resubmit(ctx, s, lostErr.Host)
	}
	key := s.Key.String()
	var mismatchErr *client.MismatchError
	var apiErr *client.APIError
	switch {
	case err == nil:
		r.checker.RecordOutcome(key, o)
		result.status = o.Status
		result.reason = o.Reason
		result.retryAfter = o.RetryAfter
	case errors.As(err, &mismatchErr):
		r.checker.RecordViolation(ViolationAnswer, "%s: %v", key, err)
		result.failure = "mismatch"
	case errors.As(err, &lostErr):
		result.failure = "lost"
		if lostErr.Answer != nil {
			result.failure += ", then " + string(lostErr.Answer.Code)
		}
	case errors.As(err, &apiErr):
		result.failure = string(apiErr.Code)
	default:
		result.failure = "not sent"
	}
}

// isStopping reports whether the planned stop of the host with the base URL has begun.
func (r *run) isStopping(url string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping[url]
}
