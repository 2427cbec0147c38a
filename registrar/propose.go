package registrar

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// The backoff before another round is random, so that one of several competing proposers
	// completes its round. Its upper limit doubles from minBackoff to maxBackoff.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// learnTimeout bounds the calls that send a decision to the other replicas. The proposer does
	// not wait for them before it returns the result of a change.
	learnTimeout = 2 * time.Second
)

// runRound runs one round for a version and distributes its decision. It returns Pending if too few
// replicas answered or if this replica does not vote. The caller holds the lock of the register.
func (g *Registrar) runRound(ctx context.Context, register string, version uint64, ownProposal *Proposal) RoundStatus {
	replicas, setVersion := g.ReplicaSet()
	if !slices.Contains(replicas, g.cfg.ID) {
		return Pending
	}
	r := Round{
		Replicas:    replicas,
		SetVersion:  setVersion,
		Register:    register,
		Version:     version,
		OwnProposal: ownProposal,
	}
	status, ok := g.prepareLocal(&r)
	if !ok {
		return Pending
	}
	for status == Prepared || status == Pending {
		q := r.Request()
		if status == Prepared {
			status = r.HandleReply(g.step(q))
		}
		if status == Pending {
			status = g.collectReplies(ctx, &r, q)
		}
		if status == Pending {
			return Pending
		}
	}
	if status == Chosen {
		g.distributeDecision(replicas, setVersion, &Decided{
			Register:   register,
			Version:    version,
			Value:      r.Proposal.Value,
			AuditTrail: []AuditEntry{r.Proposal.Audit},
			Complete:   version == 1,
		})
	}
	return status
}

// prepareLocal sets the ballot of the round to one above all that this replica has promised, and
// promises it on this replica. The stored promise keeps the ballot unique across restarts. The
// result is false if this replica does not vote.
func (g *Registrar) prepareLocal(r *Round) (RoundStatus, bool) {
	for range maxRounds {
		r.Ballot = Ballot{
			Round:   max(g.registerState(r.Register).Promised.Round, r.Ballot.Round) + 1,
			Replica: g.cfg.ID,
		}
		reply := g.step(r.Request())
		status := r.HandleReply(reply)
		if status != Preempted {
			return status, status != Pending || reply.Status == ReplyOK
		}
	}
	return Preempted, true
}

// collectReplies sends the request of the current phase to the other replicas and returns the first
// status other than Pending, or Pending if all calls have ended without one.
func (g *Registrar) collectReplies(ctx context.Context, r *Round, q Request) RoundStatus {
	for reply := range g.broadcast(ctx, r.Replicas, q, false) {
		switch status := r.HandleReply(reply); status {
		case Pending:
		case Preempted:
			// With this promise, the next ballot of this proposer is above the other proposer's.
			g.raisePromise(r, reply.Promised)
			return status
		case Stale:
			if reply.Decided != nil {
				g.learn(reply.Decided)
			}
			return status
		case Prepared, Chosen, NoProposal:
			return status
		}
	}
	return Pending
}

// raisePromise promises, on this replica only, a ballot of this proposer with the round number of
// the given ballot, so that the next ballot of this proposer has a higher round number.
func (g *Registrar) raisePromise(r *Round, promised Ballot) {
	q := r.Request()
	q.Kind = KindPrepare
	q.Proposal = nil
	q.Ballot = Ballot{
		Round:   promised.Round,
		Replica: g.cfg.ID,
	}
	g.step(q)
}

// learn stores a decided version on this replica.
func (g *Registrar) learn(d *Decided) {
	g.step(Request{
		Kind:     KindLearn,
		From:     g.cfg.ID,
		Register: d.Register,
		Decided:  d,
	})
}

// distributeDecision stores a decided version on this replica and sends it to the others. It does
// not wait for their replies, but Close does.
func (g *Registrar) distributeDecision(replicas []string, setVersion uint64, d *Decided) {
	g.learn(d)
	ctx, cancel := context.WithTimeout(g.ctx, learnTimeout)
	replies := g.broadcast(ctx, replicas, Request{
		Kind:       KindLearn,
		From:       g.cfg.ID,
		Register:   d.Register,
		SetVersion: setVersion,
		Decided:    d,
	}, false)
	started := g.spawn(&g.learnCalls, func() {
		defer cancel()
		for range replies {
		}
	})
	if !started {
		cancel()
	}
}

// broadcast sends a request to all replicas; this replica is left out unless includeSelf is set.
// The channel has capacity for all replies and is closed after the last call has ended. A call that
// fails sends no reply.
func (g *Registrar) broadcast(ctx context.Context, replicas []string, q Request, includeSelf bool) <-chan Reply {
	replies := make(chan Reply, len(replicas))
	var pending sync.WaitGroup
	for _, name := range replicas {
		if name == g.cfg.ID {
			if includeSelf {
				replies <- g.step(q)
			}
			continue
		}
		pending.Add(1)
		started := g.spawn(&g.calls, func() {
			defer pending.Done()
			if reply, err := g.call(ctx, name, q); err == nil {
				replies <- reply
			}
		})
		if !started {
			pending.Done()
		}
	}
	closeReplies := func() {
		pending.Wait()
		close(replies)
	}
	if !g.spawn(&g.calls, closeReplies) {
		closeReplies()
	}
	return replies
}

// spawn runs f in a goroutine of the group, for which Close waits. After Close it returns false and
// does not run f.
func (g *Registrar) spawn(group *sync.WaitGroup, f func()) bool {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	if g.closed {
		return false
	}
	group.Go(f)
	return true
}

// call sends a request to one replica. If the reply is ReplyBehind, call sends the decided versions
// that the replica lacks and then the request again.
func (g *Registrar) call(ctx context.Context, replica string, q Request) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	reply, err := g.cfg.Call(ctx, replica, q)
	if err != nil || reply.Status != ReplyBehind {
		return reply, err
	}
	for register, version := range map[string]uint64{
		ReplicaSetRegister: reply.SetVersion,
		q.Register:         reply.Version,
	} {
		s := g.registerState(register)
		d := s.decidedAfter(register, version)
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

// lockRegister acquires the lock under which rounds of a register are run. It returns false if ctx
// ends first.
func (g *Registrar) lockRegister(ctx context.Context, register string) (unlock func(), ok bool) {
	g.roundMu.Lock()
	sem := g.roundLocks[register]
	if sem == nil {
		sem = make(chan struct{}, 1)
		g.roundLocks[register] = sem
	}
	g.roundMu.Unlock()
	select {
	case sem <- struct{}{}:
		return func() { <-sem }, true
	case <-ctx.Done():
		return nil, false
	}
}

// backOff waits for a random time, whose upper limit grows with attempt; it does not wait if
// attempt is 0. It returns false if ctx has ended.
func (g *Registrar) backOff(ctx context.Context, attempt int) bool {
	if attempt == 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	limit := min(minBackoff<<min(attempt-1, 16), maxBackoff)
	g.roundMu.Lock()
	delay := time.Duration(g.random.Int64N(int64(limit)))
	g.roundMu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
