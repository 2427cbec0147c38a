package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

// callTimeout bounds calls whose context has no deadline.
const callTimeout = 2 * time.Second

// Config configures the Claimer of one host. All fields but FinalRefusals and Settled are
// required.
type Config struct {
	Self leaser.Member
	// View returns the current view.
	View func() leaser.View
	// Table is the table of this host. New sets its owner to Self and its ClockMargin.
	Table *Table
	// FinalRefusals makes refusals permanent: later claims of the key return the recorded
	// refusal, so that a late copy of the submission cannot run after the caller was told
	// that it was not run. Otherwise a refused key can be claimed again.
	FinalRefusals bool
	// ClockMargin is the largest difference between the clocks of any two hosts or clients.
	ClockMargin time.Duration
	// Call sends a request to the table of another member and returns its reply. It must
	// return when ctx is done. A *NotSentError means that the request was not delivered;
	// after any other error it may have been.
	Call func(ctx context.Context, member leaser.Member, r Request) (Reply, error)
	// Settled reports whether no lease of an earlier view can be extended any more; see
	// leaser.Leaser.Settled. It may be nil. It is needed only with leaser.Config.FenceAfter,
	// if too few members of the previous view can be reached.
	Settled func() bool
}

// Claimer claims submissions for one host. It is safe for concurrent use.
type Claimer struct {
	cfg Config

	mu sync.Mutex
	// active holds, by key, the claims that were granted to this host and have no recorded
	// outcome yet.
	active map[string]Claim
	// started holds the keys whose work this process was allowed to start, each with the
	// Unix second of its creation.
	started map[string]int64
	// byCreation indexes the keys of active and started by their creation time.
	byCreation creationIndex[string]
	// inFlight has a channel for each key with a running call of Claim. The channel is
	// closed when the call ends.
	inFlight map[string]chan struct{}
	round    uint64
	// fencedHosts holds the hosts whose tables are known to be fenced against the views below
	// fencedView.
	fencedHosts map[string]bool
	fencedView  uint64
}

// New returns a Claimer. New starts no goroutines. Those of Claim, Start, Finish and Find end
// at the deadline of their context, or after callTimeout if it has none.
func New(cfg Config) *Claimer {
	cfg.Table.self = cfg.Self
	cfg.Table.ClockMargin = cfg.ClockMargin
	return &Claimer{
		cfg:        cfg,
		active:     map[string]Claim{},
		started:    map[string]int64{},
		byCreation: creationIndex[string]{},
		inFlight:   map[string]chan struct{}{},
	}
}

// Claim requests the right to run a submission. The caller sets Key, Created, PayloadHash and
// Phase (Queued or Started; Done, with the Outcome, records a final refusal); Claim sets the
// other fields. After Granted the host is the coordinator; if the phase was Started, it may
// start work without a call of Start. The error is a *FutureKeyError if the key was created in
// the future.
//
// Claim returns as soon as a majority has answered; the other calls continue in the
// background until the deadline of ctx.
func (c *Claimer) Claim(ctx context.Context, now time.Time, claim Claim) (Decision, error) {
	if claim.Created.After(now.Add(c.cfg.ClockMargin)) {
		return Decision{}, &FutureKeyError{
			Key:     claim.Key,
			Created: claim.Created,
			Now:     now,
		}
	}
	if expired(now, claim.Created, c.cfg.Table.Retention()) {
		return Decision{
			Status: Expired,
		}, nil
	}
	unlock, ok := c.lockKey(ctx, claim.Key)
	if !ok {
		return Decision{
			Status: Unavailable,
			Reason: ctx.Err().Error(),
		}, nil
	}
	defer unlock()
	if d, ok := c.decideLocally(claim); ok {
		return d, nil
	}
	claim.Coordinator = c.cfg.Self
	claim.Ballot = 0
	claim.UpdatedAt = now
	claim.Final = c.cfg.FinalRefusals
	view := c.cfg.View()
	if !view.Has(c.cfg.Self) {
		return Decision{
			Status: Unavailable,
			Reason: "this host is not in the view",
		}, nil
	}
	o := c.beginOperation(TypeClaim, view, claim)
	c.run(ctx, now, o)
	c.applyDecision(o)
	return o.decision, nil
}

// applyDecision stores the decision of a claim and the highest round used. Unless the claim
// was granted or this process may have started the submission earlier, its first claim is
// removed from the table of this host, as nothing will be started under it.
func (c *Claimer) applyDecision(o *operation) {
	switch {
	case o.decision.Status == Granted && o.claim.Phase == Done:
		// The claim has recorded a final refusal, so there is no active claim.
	case o.decision.Status == Granted:
		c.setActive(o.claim)
	case !o.mayHaveStarted:
		c.cfg.Table.retract(o.claim.Key, c.cfg.Self)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round = max(c.round, o.round)
}

// setActive stores a claim that was granted or marked as started.
func (c *Claimer) setActive(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.active[claim.Key]; !ok {
		c.byCreation.add(claim.Created, claim.Key)
	}
	c.active[claim.Key] = claim
	if claim.Phase == Started {
		c.started[claim.Key] = claim.Created.Unix()
	}
}

// lockKey waits until no other call of Claim for the key runs, and blocks further ones until
// unlock is called. It returns false if ctx is done first.
func (c *Claimer) lockKey(ctx context.Context, key string) (unlock func(), ok bool) {
	for {
		c.mu.Lock()
		wait, locked := c.inFlight[key]
		if !locked {
			done := make(chan struct{})
			c.inFlight[key] = done
			c.mu.Unlock()
			return func() {
				c.mu.Lock()
				delete(c.inFlight, key)
				c.mu.Unlock()
				close(done)
			}, true
		}
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// decideLocally decides a claim from the state of this host alone: an active claim of its own
// or an outcome in its table.
func (c *Claimer) decideLocally(claim Claim) (Decision, bool) {
	c.mu.Lock()
	existing, active := c.active[claim.Key]
	c.mu.Unlock()
	if !active {
		rec := c.cfg.Table.get(claim.Key)
		done, ok := rec.doneClaim()
		if !ok || done.released() || done.AnswersEvicted {
			return Decision{}, false
		}
		existing = done
	}
	switch {
	case existing.PayloadHash != claim.PayloadHash:
		return Decision{
			Status: Conflict,
		}, true
	case active:
		return Decision{
			Status:      InProgress,
			Coordinator: c.cfg.Self,
		}, true
	default:
		return recordedDecision(existing), true
	}
}

func (c *Claimer) beginOperation(kind RequestType, view leaser.View, claim Claim) *operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, mayHaveStarted := c.started[claim.Key]
	return newOperation(kind, view, c.cfg.Self, claim, c.round, mayHaveStarted)
}

// callResult is the result of the call to one member in one step of an operation.
type callResult struct {
	step   int
	member int
	reply  Reply
	err    error
}

// run sends the requests of the operation until it is finished or ctx is done.
func (c *Claimer) run(ctx context.Context, now time.Time, o *operation) {
	for !o.finished {
		step := o.step
		results := c.broadcast(ctx, now, o)
		for !o.finished && o.step == step {
			select {
			case result := <-results:
				var unsent *NotSentError
				if result.err != nil {
					o.handleNoReply(result.step, result.member, errors.As(result.err, &unsent))
				} else {
					o.handleReply(result.step, result.member, result.reply)
				}
			case <-ctx.Done():
				for i := range o.view.Members {
					o.handleNoReply(step, i, false)
				}
				if !o.finished {
					// The replies received so far start another step, for which no time remains.
					o.finish(Decision{
						Status:        Unavailable,
						MaybeRecorded: true,
						Reason:        ctx.Err().Error(),
					})
				}
			}
		}
	}
}

// broadcast sends the request of the current step to all members. The calls continue after ctx
// is cancelled, but not after its deadline.
func (c *Claimer) broadcast(ctx context.Context, now time.Time, o *operation) <-chan callResult {
	request, step := o.request(), o.step
	results := make(chan callResult, len(o.view.Members))
	ctx, cancel := detach(ctx)
	var calls sync.WaitGroup
	for i, m := range o.view.Members {
		if m.Host == c.cfg.Self.Host {
			results <- callResult{
				step:   step,
				member: i,
				reply:  c.cfg.Table.Handle(now, o.view, request),
			}
			continue
		}
		calls.Go(func() {
			reply, err := c.cfg.Call(ctx, m, request)
			results <- callResult{
				step:   step,
				member: i,
				reply:  reply,
				err:    err,
			}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	return results
}

// detach returns a context that ends at the deadline of ctx, or after callTimeout if ctx has
// none, but not when ctx is cancelled.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	background := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(background, deadline)
	}
	return context.WithTimeout(background, callTimeout)
}

// Start marks a claim as started on a majority. Work may start only after Start has returned
// nil. The error is a *NotClaimedError, a *LostError, which means that this host has certainly
// not started the submission, or an *UnavailableError.
func (c *Claimer) Start(ctx context.Context, now time.Time, key string) error {
	claim, ok := c.activeClaim(key)
	switch {
	case !ok:
		return &NotClaimedError{
			Key: key,
		}
	case claim.Phase == Started:
		return nil
	case expired(now, claim.Created, c.cfg.Table.Retention()):
		c.removeActive(key)
		return &LostError{
			Key:    key,
			Reason: "the key has expired",
		}
	}
	claim.Phase = Started
	claim.UpdatedAt = now
	if err := c.update(ctx, now, TypeMarkStarted, claim); err != nil {
		return err
	}
	if _, ok := c.activeClaim(key); !ok {
		return &NotClaimedError{
			Key: key,
		}
	}
	c.setActive(claim)
	return nil
}

// Finish records the outcome of a claim on a majority. The outcome Refused, which must only be
// used if nothing was started, releases the key: unless Config.FinalRefusals is set, it can be
// claimed again. The errors are those of Start; after an *UnavailableError the claim is still
// active, unless the outcome was Refused.
func (c *Claimer) Finish(ctx context.Context, now time.Time, key string, o sesamedrift.Outcome) error {
	claim, ok := c.activeClaim(key)
	if !ok {
		return &NotClaimedError{
			Key: key,
		}
	}
	if o.Status == sesamedrift.Refused {
		c.release(key)
	}
	claim.Phase = Done
	claim.Final = c.cfg.FinalRefusals
	claim.Outcome = o
	claim.UpdatedAt = now
	if err := c.update(ctx, now, TypeRecordOutcome, claim); err != nil {
		return err
	}
	c.removeActive(key)
	return nil
}

func (c *Claimer) activeClaim(key string) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.active[key]
	return claim, ok
}

// release drops an active claim under which nothing was started.
func (c *Claimer) release(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, key)
	delete(c.started, key)
}

func (c *Claimer) removeActive(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, key)
}

// update writes a later phase of an active claim to a majority.
func (c *Claimer) update(ctx context.Context, now time.Time, kind RequestType, claim Claim) error {
	o := c.beginOperation(kind, c.cfg.View(), claim)
	if len(o.view.Members) > 0 {
		c.run(ctx, now, o)
	}
	switch {
	case o.decision.Status == Granted:
		return nil
	case len(o.view.Members) > 0 && o.permanentlyRejected():
		c.removeActive(claim.Key)
		return &LostError{
			Key:    claim.Key,
			Reason: "a majority of the hosts refused it",
		}
	default:
		return &UnavailableError{
			Key:      claim.Key,
			Accepted: o.count(Accepted),
			Needed:   o.view.Majority(),
		}
	}
}

// Find looks up a key, given its creation time, without claiming it. The status is Recorded,
// InProgress, Expired, Unknown, Unavailable or NotFound.
func (c *Claimer) Find(ctx context.Context, now time.Time, key string, created time.Time) (Decision, error) {
	if expired(now, created, c.cfg.Table.Retention()) {
		return Decision{
			Status: Expired,
		}, nil
	}
	if _, ok := c.activeClaim(key); ok {
		return Decision{
			Status:      InProgress,
			Coordinator: c.cfg.Self,
		}, nil
	}
	view := c.cfg.View()
	if len(view.Members) == 0 {
		return Decision{
			Status: Unavailable,
			Reason: "the view has no members",
		}, nil
	}
	o := c.beginOperation(TypeLookUp, view, Claim{
		Key:     key,
		Created: created,
	})
	c.run(ctx, now, o)
	return o.decision, nil
}

// Expire removes the records and active claims of keys that all hosts reject as expired, which
// are those older than the retention time plus Config.ClockMargin. It returns the number of
// records removed from the table.
func (c *Claimer) Expire(now time.Time) int {
	c.mu.Lock()
	c.byCreation.removeBefore(now.Add(-c.cfg.Table.Retention()-c.cfg.ClockMargin), func(key string, second int64) {
		if claim, ok := c.active[key]; ok && claim.Created.Unix() == second {
			delete(c.active, key)
		}
		if startedAt, ok := c.started[key]; ok && startedAt == second {
			delete(c.started, key)
		}
	})
	c.mu.Unlock()
	return c.cfg.Table.Expire(now)
}
