package registrar

import (
	"bytes"
	"context"
	"time"
)

// maxRounds bounds the rounds of one call when other proposers keep preempting them.
const maxRounds = 64

// Change proposes a change and returns its result. The same change, sent again through any replica,
// gets the same result. An error means that this call decided nothing; errors are of type
// *InvalidError, *FutureVersionError, *CompactedError and *ReusedIDError. If ctx ends or too few
// replicas answer, the status is Unavailable.
func (g *Registrar) Change(ctx context.Context, now time.Time, c Change) (Result, error) {
	if err := c.validate(); err != nil {
		return Result{}, err
	}
	c.Value = bytes.Clone(c.Value)
	ownProposal := &Proposal{
		Value: c.Value,
		Audit: AuditEntry{
			Register:   c.Register,
			ID:         c.ID,
			Who:        c.Who,
			Version:    c.Expected + 1,
			Digest:     Digest(c.Value),
			ReceivedAt: now.Round(0).UTC(),
			Outcome:    string(Accepted),
		},
	}
	defer g.flushNotifications()
	unlock, ok := g.lockRegister(ctx, c.Register)
	if !ok {
		return Result{Status: Unavailable}, nil
	}
	defer unlock()
	for attempt := range maxRounds {
		if !g.Ready() {
			break
		}
		res, decided, err := g.changeResult(&c)
		if decided {
			return res, err
		}
		if !g.backOff(ctx, attempt) {
			break
		}
		status, err := g.propose(ctx, &c, ownProposal)
		if err != nil {
			return Result{}, err
		}
		if status == Pending {
			break
		}
	}
	// Another proposer may have sent the decision in the meantime.
	if res, decided, err := g.changeResult(&c); decided && g.Ready() {
		return res, err
	}
	return Result{Status: Unavailable}, nil
}

// propose makes one attempt to decide the version Expected+1. If this replica has not learned the
// expected version, propose catches up instead and returns Stale if it learned a newer version by
// that, or a *FutureVersionError.
func (g *Registrar) propose(ctx context.Context, c *Change, ownProposal *Proposal) (RoundStatus, error) {
	version := g.ReadLocal(c.Register).Version
	if c.Expected > version {
		if g.catchUp(ctx, c.Register) != nil {
			return Pending, nil //nolint:nilerr // too few replies are a round status, not an error
		}
		if g.ReadLocal(c.Register).Version > version {
			return Stale, nil
		}
		return Pending, &FutureVersionError{
			Register: c.Register,
			Expected: c.Expected,
			Version:  version,
		}
	}
	if c.Register == ReplicaSetRegister {
		if status, err := g.prepareSetChange(ctx, c); err != nil || status != NoProposal {
			return status, err
		}
	}
	return g.runRound(ctx, c.Register, c.Expected+1, ownProposal), nil
}

// validate returns an *InvalidError if the register or the identifier is missing.
func (c *Change) validate() error {
	switch {
	case c.Register == "":
		return &InvalidError{
			Field: "register",
			Value: c.Register,
			Want:  "the name of a register",
		}
	case c.ID == "":
		return &InvalidError{
			Field: "id",
			Value: c.ID,
			Want:  "an identifier of the change",
		}
	}
	return nil
}

// changeResult returns the result of a change from the local state; see RegisterState.changeResult.
func (g *Registrar) changeResult(c *Change) (Result, bool, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	s := g.replica.State.get(c.Register)
	return s.changeResult(c)
}

// prepareSetChange checks a change of the replica set and completes the previous one. In its first
// round, a majority of the current set learns that set and so no longer votes in older sets. The
// following rounds decide, for every other register, the next version if it has votes, so that a
// majority of the current set has all versions that were decided in older sets. Each majority of
// the next set has a member in common with that majority. The status is NoProposal if the change
// can be proposed and Pending if too few replicas answer.
func (g *Registrar) prepareSetChange(ctx context.Context, c *Change) (RoundStatus, error) {
	replicas, version := g.ReplicaSet()
	if version != c.Expected {
		return Stale, nil
	}
	if err := checkSetChange(replicas, c.Value); err != nil {
		return Pending, err
	}
	if status := g.runRound(ctx, ReplicaSetRegister, version+1, nil); status != NoProposal {
		return status, nil
	}
	names, err := g.registerNames(ctx)
	if err != nil {
		return Pending, nil //nolint:nilerr // too few replies are a round status, not an error
	}
	for _, name := range names {
		if name != ReplicaSetRegister && !g.catchUpMajority(ctx, name) {
			return Pending, nil
		}
	}
	if _, current := g.ReplicaSet(); current != version {
		return Stale, nil
	}
	return NoProposal, nil
}

// catchUpMajority runs rounds without a proposal of its own until a majority has learned the newest
// version and promised to vote in no older round for the next one. It reports whether it succeeded.
func (g *Registrar) catchUpMajority(ctx context.Context, register string) bool {
	unlock, ok := g.lockRegister(ctx, register)
	if !ok {
		return false
	}
	defer unlock()
	preemptions := 0
	for range maxRounds {
		if !g.backOff(ctx, preemptions) {
			return false
		}
		switch g.runRound(ctx, register, g.ReadLocal(register).Version+1, nil) {
		case NoProposal:
			return true
		case Pending:
			return false
		case Preempted:
			preemptions++
		case Prepared, Chosen, Stale:
		}
	}
	return false
}
