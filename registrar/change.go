package registrar

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRounds bounds the rounds of one call when other proposers keep interfering.
	maxRounds = 64
	// The pause between two rounds is random, so that one of several proposers gets
	// through. Its upper bound doubles from minPause to maxPause.
	minPause = 2 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// learnTimeout bounds the calls that spread a decision after it was answered.
	learnTimeout = 2 * time.Second
)

// Change decides a change and returns its answer. The same change, sent again through any
// replica, gets the same answer. Errors say that nothing was decided by this call:
// *InvalidError, *AheadError, *ForgottenError and *ReusedError. If ctx ends or too few
// replicas answer, the status is Unavailable.
func (g *Registrar) Change(ctx context.Context, now time.Time, c Change) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	c.Value = bytes.Clone(c.Value)
	own := &Proposal{
		Value: c.Value,
		Audit: AuditEntry{
			Register: c.Register,
			ID:       c.ID,
			Who:      c.Who,
			Version:  c.Expected + 1,
			Digest:   Digest(c.Value),
			At:       now.Round(0).UTC(),
			Outcome:  string(Accepted),
		},
	}
	defer g.flush()
	unlock, ok := g.lock(ctx, c.Register)
	if !ok {
		return Result{Status: Unavailable}, nil
	}
	defer unlock()
	for attempt := range maxRounds {
		if !g.Ready() || !g.pause(ctx, attempt) {
			break
		}
		res, known, err := g.answer(&c)
		if known {
			return res, err
		}
		verdict, err := g.propose(ctx, &c, own)
		if err != nil {
			return Result{}, err
		}
		if verdict == Wait {
			break
		}
	}
	// The decision may have arrived by another way, for example from another proposer.
	if res, known, err := g.answer(&c); known && g.Ready() {
		return res, err
	}
	return Result{Status: Unavailable}, nil
}

// propose makes one attempt to decide the version Expected+1, or to learn the expected
// version if it is not known here.
func (g *Registrar) propose(ctx context.Context, c *Change, own *Proposal) (Verdict, error) {
	version := g.Local(c.Register).Version
	if c.Expected > version {
		if g.catchUp(ctx, c.Register) != nil {
			return Wait, nil //nolint:nilerr // too few answers are a verdict here
		}
		if g.Local(c.Register).Version > version {
			return Stale, nil
		}
		return Wait, &AheadError{
			Register: c.Register,
			Expected: c.Expected,
			Version:  version,
		}
	}
	if c.Register == ReplicaSet {
		if verdict, err := g.prepareStep(ctx, c); err != nil || verdict != Void {
			return verdict, err
		}
	}
	return g.run(ctx, c.Register, c.Expected+1, own), nil
}

func (c *Change) check() error {
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

func (g *Registrar) answer(c *Change) (Result, bool, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	s := g.replica.State.get(c.Register)
	return s.answer(c)
}

// prepareStep checks a change of the replica set and completes the previous change. The
// first round makes a majority of the current set take part in no older set any more; the
// others decide every register that was open, so that all that was decided in older sets is
// known to a majority of the current set. The next set has a member in common with it. The
// verdict is Void if the change can be proposed, Wait if too few replicas answer.
func (g *Registrar) prepareStep(ctx context.Context, c *Change) (Verdict, error) {
	members, version := g.Members()
	if version != c.Expected {
		return Stale, nil
	}
	if err := checkStep(members, c.Value); err != nil {
		return Wait, err
	}
	if verdict := g.run(ctx, ReplicaSet, version+1, nil); verdict != Void {
		return verdict, nil
	}
	names, err := g.registers(ctx)
	if err != nil {
		return Wait, nil //nolint:nilerr // too few answers are a verdict here
	}
	for _, name := range names {
		if name != ReplicaSet && !g.settle(ctx, name) {
			return Wait, nil
		}
	}
	if _, now := g.Members(); now != version {
		return Stale, nil
	}
	return Void, nil
}

// registers returns the names of all registers that a majority has any state of.
func (g *Registrar) registers(ctx context.Context) ([]string, error) {
	replies, err := g.poll(ctx, "", g.Versions())
	if err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for _, reply := range replies {
		for _, name := range reply.Registers {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names)), nil
}

// settle runs rounds without an own proposal until a majority has learned the newest
// version and has promised to vote in no older round for the next one. It reports whether it
// succeeded.
func (g *Registrar) settle(ctx context.Context, register string) bool {
	unlock, ok := g.lock(ctx, register)
	if !ok {
		return false
	}
	defer unlock()
	for attempt := range maxRounds {
		if !g.pause(ctx, attempt) {
			return false
		}
		switch g.run(ctx, register, g.Local(register).Version+1, nil) {
		case Void:
			return true
		case Wait:
			return false
		case Propose, Chosen, Outbid, Stale:
		}
	}
	return false
}

// Read returns a version that is at least as new as every change that was answered before
// the call and every version that an earlier Read returned. The error is an
// *UnavailableError if no majority answers.
func (g *Registrar) Read(ctx context.Context, _ time.Time, register string) (Entry, error) {
	defer g.flush()
	open, err := g.refresh(ctx, register)
	if err == nil && open {
		unlock, ok := g.lock(ctx, register)
		if !ok {
			return Entry{}, g.tooFew(register, 0)
		}
		defer unlock()
		err = g.catchUp(ctx, register)
	}
	if err != nil {
		return Entry{}, err
	}
	return g.Local(register), nil
}

// catchUp learns the newest version from a majority and finishes an open one. The caller
// holds the lock of the register.
func (g *Registrar) catchUp(ctx context.Context, register string) error {
	for attempt := range maxRounds {
		if !g.pause(ctx, attempt) {
			break
		}
		open, err := g.refresh(ctx, register)
		if err != nil || !open {
			return err
		}
		if g.run(ctx, register, g.Local(register).Version+1, nil) == Wait {
			break
		}
	}
	return g.tooFew(register, 0)
}

// refresh learns the newest version that a majority knows. It reports whether one of them
// has voted for the version after it, which may then have been decided.
func (g *Registrar) refresh(ctx context.Context, register string) (open bool, err error) {
	for attempt := range maxRounds {
		if !g.pause(ctx, attempt) {
			break
		}
		_, set := g.Members()
		replies, err := g.poll(ctx, register, nil)
		if err != nil {
			return false, err
		}
		for _, reply := range replies {
			if reply.Decided != nil {
				g.learn(reply.Decided)
			}
		}
		if !g.Ready() {
			return false, g.tooFew(register, 0)
		}
		if _, now := g.Members(); now != set {
			continue
		}
		newest := g.Local(register).Version
		for _, reply := range replies {
			open = open || reply.Version == newest && reply.Accepted != nil
		}
		return open, nil
	}
	return false, g.tooFew(register, 0)
}

// poll reads from a majority of the current replica set. If a reply names a newer set, it
// learns that set and starts again. An empty register name stands for all registers.
func (g *Registrar) poll(ctx context.Context, register string, known map[string]uint64) ([]Reply, error) {
	for attempt := range maxRounds {
		if !g.pause(ctx, attempt) {
			break
		}
		members, set := g.Members()
		q := Request{
			Kind:       KindRead,
			From:       g.cfg.ID,
			Register:   register,
			Version:    g.Local(register).Version,
			SetVersion: set,
			Known:      known,
		}
		replies := map[string]Reply{}
		counted := []Reply{}
		newer := set
		for reply := range g.broadcast(ctx, members, q, true) {
			if reply.Status != ReplyOK {
				continue
			}
			replies[reply.From] = reply
			newer = max(newer, reply.SetVersion)
			counted = Consistent(replies)
			if len(counted) >= Majority(len(members)) || newer > set {
				break
			}
		}
		if newer > set {
			for reply := range g.broadcast(ctx, members, Request{
				Kind:     KindRead,
				From:     g.cfg.ID,
				Register: ReplicaSet,
				Version:  set,
			}, false) {
				if reply.Decided != nil {
					g.learn(reply.Decided)
				}
				if _, now := g.Members(); now >= newer {
					break
				}
			}
			continue
		}
		if len(counted) < Majority(len(members)) {
			return nil, g.tooFew(register, len(counted))
		}
		return counted, nil
	}
	return nil, g.tooFew(register, 0)
}

func (g *Registrar) tooFew(register string, answered int) error {
	members, _ := g.Members()
	return &UnavailableError{
		Register: register,
		Answered: answered,
		Needed:   Majority(len(members)),
	}
}

// run makes one round for a version and spreads its decision. It returns Wait if too few
// replicas answered. The caller holds the lock of the register.
func (g *Registrar) run(ctx context.Context, register string, version uint64, own *Proposal) Verdict {
	members, set := g.Members()
	if !slices.Contains(members, g.cfg.ID) {
		return Wait
	}
	r := Round{
		Replicas:   members,
		SetVersion: set,
		Register:   register,
		Version:    version,
		Own:        own,
	}
	verdict, ok := g.prepare(&r)
	if !ok {
		return Wait
	}
	for verdict == Propose || verdict == Wait {
		q := r.Request()
		if verdict == Propose {
			verdict = r.Deliver(g.step(q))
		}
		if verdict == Wait {
			verdict = g.collect(ctx, &r, q)
		}
		if verdict == Wait {
			return Wait
		}
	}
	if verdict == Chosen {
		g.spread(members, set, &Decided{
			Register: register,
			Version:  version,
			Value:    r.Proposal.Value,
			Trail:    []AuditEntry{r.Proposal.Audit},
			Whole:    version == 1,
		})
	}
	return verdict
}

// prepare picks a ballot above all that this replica has promised and promises it here,
// which makes it unique even after a restart. It returns false if this replica does not vote.
func (g *Registrar) prepare(r *Round) (Verdict, bool) {
	for range maxRounds {
		r.Ballot = Ballot{
			Round:   max(g.register(r.Register).Promised.Round, r.Ballot.Round) + 1,
			Replica: g.cfg.ID,
		}
		reply := g.step(r.Request())
		verdict := r.Deliver(reply)
		if verdict != Outbid {
			return verdict, verdict != Wait || reply.Status == ReplyOK
		}
	}
	return Outbid, true
}

// collect sends the message of the current phase to the other replicas until there is a
// verdict. It returns Wait if all have answered without one.
func (g *Registrar) collect(ctx context.Context, r *Round, q Request) Verdict {
	for reply := range g.broadcast(ctx, r.Replicas, q, false) {
		switch verdict := r.Deliver(reply); verdict {
		case Wait:
		case Outbid:
			// A higher promise here makes the next ballot higher than the other proposer's.
			g.outbid(r, reply.Promised)
			return verdict
		case Stale:
			if reply.Decided != nil {
				g.learn(reply.Decided)
			}
			return verdict
		case Propose, Chosen, Void:
			return verdict
		}
	}
	return Wait
}

// outbid promises, here only, the next own ballot above the given one.
func (g *Registrar) outbid(r *Round, promised Ballot) {
	q := r.Request()
	q.Kind = KindPrepare
	q.Proposal = nil
	q.Ballot = Ballot{
		Round:   promised.Round,
		Replica: g.cfg.ID,
	}
	g.step(q)
}

// learn takes over a decision on this replica.
func (g *Registrar) learn(d *Decided) {
	g.step(Request{
		Kind:     KindLearn,
		From:     g.cfg.ID,
		Register: d.Register,
		Decided:  d,
	})
}

// spread stores a decision here and sends it to the others without waiting for them.
func (g *Registrar) spread(members []string, set uint64, d *Decided) {
	g.learn(d)
	ctx, cancel := context.WithTimeout(g.ctx, learnTimeout)
	replies := g.broadcast(ctx, members, Request{
		Kind:       KindLearn,
		From:       g.cfg.ID,
		Register:   d.Register,
		SetVersion: set,
		Decided:    d,
	}, false)
	g.calls.Go(func() {
		defer cancel()
		for range replies {
		}
	})
}

// Sync learns from all other replicas that answer what is newer there. A replica that
// missed decisions also catches up when it is asked to vote.
func (g *Registrar) Sync(ctx context.Context, _ time.Time) error {
	defer g.flush()
	if !g.Ready() {
		return g.tooFew("", 0)
	}
	members, set := g.Members()
	answered := 1
	for reply := range g.broadcast(ctx, members, Request{
		Kind:       KindRead,
		From:       g.cfg.ID,
		SetVersion: set,
		Known:      g.Versions(),
	}, false) {
		if reply.Status == ReplyOK {
			answered++
		}
		for i := range reply.Newer {
			g.learn(&reply.Newer[i])
		}
	}
	if answered < Majority(len(members)) {
		return g.tooFew("", answered)
	}
	return nil
}

// broadcast sends a request to all replicas but, unless self is set, this one. The channel
// has room for all replies and is closed after the last call has ended.
func (g *Registrar) broadcast(ctx context.Context, replicas []string, q Request, self bool) <-chan Reply {
	replies := make(chan Reply, len(replicas))
	var sent sync.WaitGroup
	for _, name := range replicas {
		if name == g.cfg.ID {
			if self {
				replies <- g.step(q)
			}
			continue
		}
		sent.Add(1)
		g.calls.Go(func() {
			defer sent.Done()
			if reply, err := g.call(ctx, name, q); err == nil {
				replies <- reply
			}
		})
	}
	g.calls.Go(func() {
		sent.Wait()
		close(replies)
	})
	return replies
}

// call sends a request to one replica. A replica that is behind is sent what it misses and
// asked again.
func (g *Registrar) call(ctx context.Context, replica string, q Request) (Reply, error) {
	reply, err := g.cfg.Call(ctx, replica, q)
	if err != nil || reply.Status != ReplyBehind {
		return reply, err
	}
	for register, version := range map[string]uint64{
		ReplicaSet: reply.SetVersion,
		q.Register: reply.Version,
	} {
		s := g.register(register)
		d := s.since(register, version)
		if d == nil {
			continue
		}
		if _, err := g.cfg.Call(ctx, replica, Request{
			Kind:     KindLearn,
			From:     g.cfg.ID,
			Register: register,
			Decided:  d,
		}); err != nil {
			return Reply{}, err
		}
	}
	return g.cfg.Call(ctx, replica, q)
}

// lock waits for the right to run rounds for a register.
func (g *Registrar) lock(ctx context.Context, register string) (unlock func(), ok bool) {
	g.proposersMu.Lock()
	held := g.proposers[register]
	if held == nil {
		held = make(chan struct{}, 1)
		g.proposers[register] = held
	}
	g.proposersMu.Unlock()
	select {
	case held <- struct{}{}:
		return func() { <-held }, true
	case <-ctx.Done():
		return nil, false
	}
}

// pause waits for a random time before each attempt but the first. It returns false if ctx
// has ended.
func (g *Registrar) pause(ctx context.Context, attempt int) bool {
	if attempt == 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	bound := min(minPause<<min(attempt-1, 16), maxPause)
	g.proposersMu.Lock()
	wait := time.Duration(g.random.Int64N(int64(bound)))
	g.proposersMu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
