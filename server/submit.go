package server

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/limiter"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// claimTimeout bounds one round of claim messages in the failure domain.
	claimTimeout = 500 * time.Millisecond
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 2 * time.Second
	// maxJoins bounds how often a submission looks for the host that runs it. Hosts that
	// claim a key at the same time may each join another one that gives way too; the
	// pause between two looks is random, so that one of them comes first.
	maxJoins     = 20
	minJoinPause = 2 * time.Millisecond
	maxJoinPause = 30 * time.Millisecond
	// firstTry is the number of a submission that is not sent again after a refusal.
	firstTry = 1
)

// request is a submission as it travels between hosts.
type request struct {
	Submission  sesamedrift.Submission `msgpack:"submission"`
	Environment string                 `msgpack:"environment"`
	// Try is 1, and one more for each refusal after which the caller sends the same key.
	Try int `msgpack:"try"`
	// HostKey says that this system made the key for this very request, so that no
	// other copy of the submission exists.
	HostKey bool `msgpack:"host-key"`
	// Release identifies the waiting caller, so that its departure can be reported.
	Release string `msgpack:"release"`
}

// identity returns the name of the claim of the request.
func (r *request) identity() string { return tryIdentity(r.Submission.Key, r.Try) }

func tryIdentity(k sesamedrift.Key, try int) string {
	if try <= firstTry {
		return k.Identity()
	}
	return fmt.Sprintf("%s+%d", k.Identity(), try)
}

// response is an outcome or an error, as it travels between hosts.
type response struct {
	Outcome *sesamedrift.Outcome `msgpack:"outcome"`
	Error   *Error               `msgpack:"error"`
}

// submit answers a submission that a caller sent to this host.
func (h *Host) submit(ctx context.Context, r *request) (sesamedrift.Outcome, *Error) {
	env, err := h.environment(r.Environment)
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	if err := h.complete(env, r); err != nil {
		return sesamedrift.Outcome{}, err
	}
	home := r.Submission.Key.Home(env.Document.DomainNames())
	if !slices.Contains(env.Document.DomainNames(), home) {
		return sesamedrift.Outcome{}, badField(&sesamedrift.InvalidError{
			Field: sesamedrift.KeyHeader,
			Value: r.Submission.Key.String(),
			Want:  fmt.Sprintf("a prefix among the failure domains %v", env.Document.DomainNames()),
		})
	}
	if home != h.cfg.Settings.Domain {
		return h.submitTo(ctx, home, r)
	}
	return h.coordinate(ctx, env, r)
}

// complete fills in the key and the deadline and checks the submission against the
// environment document.
func (h *Host) complete(env *inForce, r *request) *Error {
	s := &r.Submission
	if err := s.Validate(); err != nil {
		var invalid *sesamedrift.InvalidError
		errors.As(err, &invalid)
		return badField(invalid)
	}
	kind, err := lookUp(env, s)
	if err != nil {
		return err
	}
	now := h.now()
	if s.Key.ID == "" {
		s.Key = sesamedrift.NewKey(now, h.cfg.Settings.Domain)
		r.HostKey = true
	}
	if s.Deadline.IsZero() {
		s.Deadline = now.Add(kind.Deadline.Std())
	}
	return nil
}

// lookUp returns the kind of a submission, or a list of all problems.
func lookUp(env *inForce, s *sesamedrift.Submission) (validator.Kind, *Error) {
	var problems []validator.Problem
	add := func(path, value, message string) {
		problems = append(problems, validator.Problem{Path: path, Value: value, Message: message})
	}
	service, ok := env.Document.Service(s.Service)
	kind, okKind := service.Kind(s.Kind)
	switch {
	case !ok:
		add("service", s.Service, "the environment document has no such service")
	case !okKind:
		add("kind", s.Kind, fmt.Sprintf("the service %q has no such kind", s.Service))
	}
	team, okTeam := env.Document.Team(s.Team)
	switch {
	case !okTeam:
		add("team", s.Team, "the environment document has no such team")
	case ok && !team.Allows(s.Service):
		add("team", s.Team, fmt.Sprintf("the team may not use the service %q", s.Service))
	}
	if limit := env.Document.Limits.MaxTasks; len(s.Payloads) > limit {
		add("tasks", fmt.Sprint(len(s.Payloads)), fmt.Sprintf("at most %d tasks are accepted", limit))
	}
	if len(problems) > 0 {
		return kind, badRequest("the submission does not fit the environment document", problems...)
	}
	return kind, nil
}

// coordinate answers a submission whose home is this failure domain.
func (h *Host) coordinate(ctx context.Context, env *inForce, r *request) (sesamedrift.Outcome, *Error) {
	kind, err := lookUp(env, &r.Submission)
	if err != nil {
		return sesamedrift.Outcome{}, err
	}
	j := newJob(r.Submission, serviceName(r.Environment, r.Submission.Service), kind, r.Submission.Deadline)
	j.identity = r.identity()
	j.try = r.Try
	j.team = teamName(r.Environment, r.Submission.Team)
	j.trial = r.Environment == validator.Trial
	j.version = env.Version
	j.grace = env.Document.Limits.ReceiverGrace.Std()
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
			h.release(existing)
			return sesamedrift.Outcome{}, keyConflict(r.Submission.Key.String())
		}
		return h.wait(ctx, existing)
	}
	h.background.Go(func() { h.claimAndRun(env, r, j, admitted) })
	return h.wait(ctx, j)
}

// wait returns the outcome of a job of this host. When ctx is done the caller is gone.
func (h *Host) wait(ctx context.Context, j *job) (sesamedrift.Outcome, *Error) {
	select {
	case <-j.done:
		j.waiters.Add(-1)
		return j.outcome, j.err
	case <-ctx.Done():
		h.release(j)
		o := sesamedrift.NotComplete(&j.sub, sesamedrift.Unknown, "the caller stopped waiting")
		return o, nil
	}
}

// release notes that one caller of a job has gone.
func (h *Host) release(j *job) {
	j.waiters.Add(-1)
	h.dispatcher.post(func(now time.Time) { h.dispatcher.leave(now, j) })
}

// claimAndRun claims the key of a job and then queues, joins or ends it.
func (h *Host) claimAndRun(env *inForce, r *request, j *job, a admission) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if r.Try > firstTry && !h.fence(ctx, env, r, j) {
		return
	}
	claim := claimer.Claim{
		Key:         j.identity,
		Created:     r.Submission.Key.Created,
		PayloadHash: j.digest,
		Phase:       claimer.Queued,
	}
	switch {
	case !a.Admitted:
		claim.Phase = claimer.Done
		claim.Outcome = a.refusal(j)
	case a.StartsNow:
		claim.Phase = claimer.Started
	}
	d := h.claim(ctx, claim)
	j.granted.Store(d.Status == claimer.Granted)
	close(j.claimed)
	switch d.Status {
	case claimer.Granted:
		h.run(j, a, claim)
	case claimer.Joined, claimer.Unavailable:
		h.joinOrClaim(env, r, j, a, claim, d)
	default:
		h.follow(env, j, d)
	}
}

func (h *Host) claim(ctx context.Context, claim claimer.Claim) claimer.Decision {
	d, err := h.claims.Claim(ctx, h.now(), claim)
	if err != nil {
		return claimer.Decision{
			Status: claimer.Unavailable,
			Reason: err.Error(),
		}
	}
	return d
}

// joinOrClaim waits for the host that has the claim. If that host gave way to another
// one in the meantime, or the claim was contested, the claim is tried again.
func (h *Host) joinOrClaim(env *inForce, r *request, j *job, a admission, claim claimer.Claim, d claimer.Decision) {
	claim = withoutStart(claim)
	for range maxJoins {
		switch d.Status {
		case claimer.Joined:
			response := h.join(j, d.Coordinator)
			if response.Error == nil || response.Error.Code != codeNotCoordinator {
				h.settleResponse(j, response)
				return
			}
		case claimer.Unavailable:
			if !h.members.holds(h.now()) {
				h.settle(j, unavailable(j, r.HostKey))
				return
			}
		case claimer.Granted:
			j.granted.Store(true)
			h.run(j, a, claim)
			return
		default:
			h.follow(env, j, d)
			return
		}
		if h.now().After(j.deadline) || !sleep(j.ctx, minJoinPause+rand.N(maxJoinPause-minJoinPause)) {
			break
		}
		ctx, cancel := context.WithTimeout(j.ctx, claimTimeout)
		d = h.claim(ctx, claim)
		cancel()
	}
	h.settle(j, unavailable(j, r.HostKey && d.Status == claimer.Unavailable))
}

// withoutStart returns the claim of a job whose slots may have been taken by others since
// it was admitted.
func withoutStart(c claimer.Claim) claimer.Claim {
	if c.Phase == claimer.Started {
		c.Phase = claimer.Queued
	}
	return c
}

// run queues a job whose claim was granted, or ends it if it was not admitted.
func (h *Host) run(j *job, a admission, claim claimer.Claim) {
	if !a.Admitted {
		h.settle(j, claim.Outcome)
		return
	}
	if claim.Phase == claimer.Queued {
		j.markStarted = func() error {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			return h.claims.Start(ctx, h.now(), j.identity)
		}
	}
	h.dispatcher.post(func(now time.Time) {
		if !j.finished {
			h.dispatcher.enqueue(now, j)
		}
	})
}

// follow answers a job that this host may not run, from the claim that exists.
func (h *Host) follow(env *inForce, j *job, d claimer.Decision) {
	switch d.Status {
	case claimer.Recorded:
		h.settle(j, own(d.Outcome, j))
	case claimer.Joined:
		h.settleResponse(j, h.join(j, d.Coordinator))
	case claimer.Conflict:
		h.settleError(j, keyConflict(j.sub.Key.String()))
	case claimer.Expired:
		h.settleError(j, keyExpired(j.sub.Key.String(), env.Document.Limits.Retention.Std()))
	case claimer.Unknown:
		h.settle(j, sesamedrift.NotComplete(&j.sub, sesamedrift.Unknown, "the submission may have run before"))
	case claimer.Granted, claimer.Unavailable, claimer.Absent:
		panic("server: decision " + string(d.Status) + " has nothing to follow")
	}
}

// fence makes sure that the try before this one was refused and can start nothing any
// more. It reports whether the present try may go on.
func (h *Host) fence(ctx context.Context, env *inForce, r *request, j *job) bool {
	refusal := sesamedrift.NotComplete(&j.sub, sesamedrift.Refused, "not run: a later try took its place")
	d, err := h.claims.Claim(ctx, h.now(), claimer.Claim{
		Key:         tryIdentity(r.Submission.Key, r.Try-1),
		Created:     r.Submission.Key.Created,
		PayloadHash: j.digest,
		Phase:       claimer.Done,
		Outcome:     refusal,
	})
	if err != nil || d.Status == claimer.Unavailable {
		h.settle(j, unavailable(j, false))
		return false
	}
	if d.Status == claimer.Granted || d.Status == claimer.Recorded && d.Outcome.Status == sesamedrift.Refused {
		return true
	}
	h.follow(env, j, d)
	return false
}

// unavailable returns the outcome of a job whose claim did not reach a majority. Only a
// key that this system made for this request is known to have no other copy.
func unavailable(j *job, hostKey bool) sesamedrift.Outcome {
	if hostKey {
		o := sesamedrift.NotComplete(&j.sub, sesamedrift.Refused, "not run: no majority of the failure domain can be reached")
		o.RetryAfter = time.Second
		return o
	}
	return sesamedrift.NotComplete(&j.sub, sesamedrift.Unknown, "no majority of the failure domain can be reached")
}

// own returns a recorded outcome under the key text that the caller used.
func own(o sesamedrift.Outcome, j *job) sesamedrift.Outcome {
	o.Key = j.sub.Key.String()
	return o
}

// settle ends a job with an outcome that needs no recording.
func (h *Host) settle(j *job, o sesamedrift.Outcome) {
	h.settleResponse(j, response{Outcome: &o})
}

func (h *Host) settleError(j *job, e *Error) {
	h.settleResponse(j, response{Error: e})
}

func (h *Host) settleResponse(j *job, r response) {
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
		h.dispatcher.forget(j)
		close(j.done)
	})
}

// finish records the outcome of a job that this host ran, then wakes its callers.
func (h *Host) finish(j *job, o sesamedrift.Outcome) {
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := h.claims.Finish(ctx, h.now(), j.identity, o); err != nil {
			reporter.Log(ctx, h.log, reporter.OutcomeNotRecorded, "key", o.Key, "error", err)
		}
		j.outcome = o
		if j.trial {
			h.trials.note(j.version, o)
		}
		h.dispatcher.post(func(time.Time) { h.dispatcher.forget(j) })
		close(j.done)
	})
}

// admission is the decision on a new submission.
type admission struct {
	Admitted bool
	// StartsNow says that there are free slots for every task.
	StartsNow  bool
	Reason     string
	RetryAfter time.Duration
}

func (a admission) refusal(j *job) sesamedrift.Outcome {
	o := sesamedrift.NotComplete(&j.sub, sesamedrift.Refused, "not run: "+a.Reason)
	o.RetryAfter = a.RetryAfter
	return o
}

// admit decides whether a new job is taken. A refused job uses nothing of its team's
// quota.
func (d *dispatcher) admit(now time.Time, j *job) admission {
	e := d.times.Estimate(now, j.service, j.kind.Name)
	wait := d.wait(now, j)
	refuse := func(v limiter.Verdict, reason string) admission {
		d.stats.Refused++
		return admission{
			Reason:     reason,
			RetryAfter: d.hints.Hint(now, max(v.RetryAfter, wait)),
		}
	}
	if d.health.KindFails(j.service, j.kind.Name) && !d.health.Trial(now, j.service, j.kind.Name) {
		return refuse(limiter.Verdict{}, "every upstream fails this kind at present")
	}
	load := limiter.Load{
		Wait:    wait,
		Typical: e.P50,
		Slow:    e.P95,
		Samples: e.Samples,
	}
	if v := limiter.Decide(now, j.deadline, load); !v.Admitted {
		return refuse(v, "the deadline cannot be met by the present estimate")
	}
	if q := d.quotas.Admit(now, j.team, len(j.tasks)); !q.Admitted {
		return refuse(limiter.Verdict{RetryAfter: q.RetryAfter}, "the quota of the team is used up")
	}
	return admission{
		Admitted:  true,
		StartsNow: d.queue.Free(j.service) >= len(j.tasks),
	}
}

// wait estimates the time until the last task of a new job starts. Queues of the failure
// domain are kept at the same length, so that the wait at a peer counts only if the peer
// has free slots for the whole job, or if this host has no slots.
func (d *dispatcher) wait(now time.Time, j *job) time.Duration {
	wait := d.queue.WaitFor(now, d.allTasks(now, j)...)
	if wait >= scheduler.MaxWait {
		wait = d.peers.wait(now, j.service)
	}
	if wait >= scheduler.MaxWait && d.announced[j.service] {
		// The owner of the announced upstreams has not reported its slots yet.
		return 0
	}
	if host, free := d.peers.free(now, j.service, anyDistance); host != "" && free >= len(j.tasks) {
		wait = min(wait, roundTrips*d.peers.get(host).distance)
	}
	return wait
}

func anyDistance(time.Duration) bool { return true }

// hint returns when a refused submission may be sent again.
func (d *dispatcher) hint(now time.Time, j *job) time.Duration {
	e := d.times.Estimate(now, j.service, j.kind.Name)
	return d.hints.Hint(now, d.queue.Wait(now, j.service, e.Class))
}
