package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// claimTimeout bounds one operation on a claim in the failure domain.
	claimTimeout = 500 * time.Millisecond
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 2 * time.Second
	// firstTry is the try of a submission that has not been refused before.
	firstTry = 1
)

// request is the message that carries a submission between hosts.
type request struct {
	Submission  sesamedrift.Submission `msgpack:"submission"`
	Environment string                 `msgpack:"environment"`
	// Try is 1 at first. The caller increments it when it sends the same key again after a
	// refusal.
	Try int `msgpack:"try"`
	// HostKey says that a host created the key for this request, so that no other copy of the
	// submission exists.
	HostKey bool `msgpack:"host-key"`
	// ReleaseID identifies the waiting caller in the releaseNotice that is sent when it
	// disconnects.
	ReleaseID string `msgpack:"release"`
}

// identity returns the key of the request's claim.
func (r *request) identity() string { return tryIdentity(r.Submission.Key, r.Try) }

func tryIdentity(k sesamedrift.Key, try int) string {
	if try <= firstTry {
		return k.Identity()
	}
	return fmt.Sprintf("%s+%d", k.Identity(), try)
}

// response is the reply to a request or a lookup: either an outcome or an error, or neither if a
// cancellation succeeded.
type response struct {
	Outcome *sesamedrift.Outcome `msgpack:"outcome"`
	Error   *Error               `msgpack:"error"`
}

// submit runs a submission that a caller sent to this host, in the home domain of its key, and returns
// its outcome.
func (h *Host) submit(ctx context.Context, r *request) (sesamedrift.Outcome, *Error) {
	env, err := h.environment(r.Environment)
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	if err := h.prepareRequest(env, r); err != nil {
		return sesamedrift.Outcome{}, err
	}
	home := r.Submission.Key.HomeDomain(env.Document.DomainNames())
	if !slices.Contains(env.Document.DomainNames(), home) {
		return sesamedrift.Outcome{}, badField(&sesamedrift.InvalidError{
			Field: sesamedrift.KeyHeader,
			Value: r.Submission.Key.String(),
			Want:  "a prefix that names a failure domain, " + sesamedrift.OneOf(env.Document.DomainNames()),
		})
	}
	if home != h.cfg.Settings.Domain {
		return h.submitToDomain(ctx, home, r)
	}
	return h.coordinate(ctx, env, r)
}

// prepareRequest validates the submission against the environment document, and sets its key and its
// deadline if the caller gave none.
func (h *Host) prepareRequest(env *activeDocument, r *request) *Error {
	s := &r.Submission
	if err := s.Validate(); err != nil {
		var invalid *sesamedrift.InvalidError
		errors.As(err, &invalid)
		return badField(invalid)
	}
	kind, err := lookUpKind(env, s)
	if err != nil {
		return err
	}
	now := h.now()
	if s.Key.ID == "" {
		s.Key = sesamedrift.NewKey(now, h.cfg.Settings.Domain)
		r.HostKey = true
	}
	if margin := h.cfg.Settings.ClockMargin.Std(); s.Key.Created.After(now.Add(margin)) {
		return badField(&sesamedrift.InvalidError{
			Field: sesamedrift.KeyHeader,
			Value: s.Key.String(),
			Want:  "a creation time that is not more than " + margin.String() + " after the time of the host",
		})
	}
	if s.Deadline.IsZero() {
		s.Deadline = now.Add(kind.Deadline.Std())
	}
	return nil
}

// lookUpKind returns the kind of a submission, or an error that lists all contradictions to the
// environment document.
func lookUpKind(env *activeDocument, s *sesamedrift.Submission) (validator.Kind, *Error) {
	var problems []validator.Problem
	add := func(path, value, message string) {
		problems = append(problems, validator.Problem{Path: path, Value: value, Message: message})
	}
	service, ok := env.Document.Service(s.Service)
	kind, okKind := service.Kind(s.Kind)
	switch {
	case !ok:
		add("service", s.Service, "want "+sesamedrift.OneOf(env.Document.ServiceNames()))
	case !okKind:
		add("kind", s.Kind, fmt.Sprintf("want a kind of the service %q, %s", s.Service, sesamedrift.OneOf(service.KindNames())))
	}
	team, okTeam := env.Document.Team(s.Team)
	switch {
	case !okTeam:
		add("team", s.Team, "want "+sesamedrift.OneOf(env.Document.TeamNames(s.Service)))
	case ok && !team.Allows(s.Service):
		add("team", s.Team, fmt.Sprintf("want a team that may use the service %q, %s",
			s.Service, sesamedrift.OneOf(env.Document.TeamNames(s.Service))))
	}
	if limit := env.Document.Limits.MaxTasks; len(s.Payloads) > limit {
		add("tasks", fmt.Sprint(len(s.Payloads)), fmt.Sprintf("at most %d tasks are accepted", limit))
	}
	if len(problems) > 0 {
		return kind, badRequest("the submission does not fit the environment document", problems...)
	}
	return kind, nil
}

// coordinate runs a submission whose home is this failure domain and returns its outcome. A submission
// with the same identity that already runs on this host is joined.
func (h *Host) coordinate(ctx context.Context, env *activeDocument, r *request) (sesamedrift.Outcome, *Error) {
	kind, err := lookUpKind(env, &r.Submission)
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	j := newJob(r.Submission, serviceName(r.Environment, r.Submission.Service), kind, r.Submission.Deadline)
	j.identity = r.identity()
	j.try = r.Try
	j.team = teamName(r.Environment, r.Submission.Team)
	j.trial = r.Environment == validator.Trial
	j.version = env.Version
	j.orphanTimeout = env.Document.Limits.DisconnectGrace.Std()
	j.waiters.Add(1)
	var existing *job
	var admitted admission
	if callErr := h.dispatcher.call(func(now time.Time) {
		if existing = h.dispatcher.jobs[j.identity]; existing != nil {
			existing.waiters.Add(1)
			return
		}
		admitted = h.dispatcher.admit(now, j)
		h.dispatcher.jobs[j.identity] = j
	}); callErr != nil {
		return sesamedrift.Outcome{}, notReady(callErr.Error())
	}
	if existing != nil {
		if existing.digest != j.digest {
			h.removeWaiter(existing)
			return sesamedrift.Outcome{}, keyConflict(r.Submission.Key.String())
		}
		return h.wait(ctx, existing)
	}
	h.background.Go(func() { h.claimAndRun(r, j, admitted) })
	return h.wait(ctx, j)
}

// wait returns the outcome of a job of this host for one of its waiting callers. If ctx is done first,
// the caller has disconnected.
func (h *Host) wait(ctx context.Context, j *job) (sesamedrift.Outcome, *Error) {
	select {
	case <-j.done:
		j.waiters.Add(-1)
		return j.outcome, j.err
	case <-ctx.Done():
		h.removeWaiter(j)
		o := sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Unknown, "the caller stopped waiting")
		return o, nil
	}
}

// removeWaiter counts one waiting caller of a job less. After the last one, the orphan timeout of the
// job starts.
func (h *Host) removeWaiter(j *job) {
	j.waiters.Add(-1)
	h.dispatcher.post(func(now time.Time) { h.dispatcher.markOrphaned(now, j) })
}

// resolve ends a job with an outcome that need not be recorded.
func (h *Host) resolve(j *job, o sesamedrift.Outcome) {
	h.resolveResponse(j, response{Outcome: &o})
}

func (h *Host) resolveError(j *job, e *Error) {
	h.resolveResponse(j, response{Error: e})
}

func (h *Host) resolveResponse(j *job, r response) {
	h.dispatcher.post(func(time.Time) {
		if j.finished {
			return
		}
		j.finished = true
		j.cancel()
		j.err = r.Error
		if r.Outcome != nil {
			j.outcome = *r.Outcome
		}
		h.dispatcher.dropJob(j)
		close(j.done)
	})
}

// recordWhenDone records the outcome of a job that ended before its claim was granted, once the
// outcome is set.
func (h *Host) recordWhenDone(j *job) {
	h.background.Go(func() {
		<-j.done
		h.recordOutcome(j, j.outcome)
	})
}

func (h *Host) recordOutcome(j *job, o sesamedrift.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := h.claims.Finish(ctx, h.now(), j.identity, o); err != nil {
		reporter.Log(ctx, h.log, reporter.OutcomeNotRecorded, "key", o.Key, "error", err)
	}
}

// finish records the outcome of a job that this host ran and then returns it to the waiting callers.
func (h *Host) finish(j *job, o sesamedrift.Outcome) {
	h.background.Go(func() {
		h.recordOutcome(j, o)
		j.outcome = o
		if j.trial {
			h.trials.record(j.version, o)
		}
		h.dispatcher.post(func(time.Time) { h.dispatcher.dropJob(j) })
		close(j.done)
	})
}
