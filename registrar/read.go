package registrar

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Read returns a version that is at least as new as every change whose result was returned before
// the call and every version that an earlier Read returned on any replica. The error is an
// *UnavailableError if no majority answers.
func (g *Registrar) Read(ctx context.Context, _ time.Time, register string) (Entry, error) {
	defer g.flushNotifications()
	voted, err := g.learnNewest(ctx, register)
	if err == nil && voted {
		unlock, ok := g.lockRegister(ctx, register)
		if !ok {
			return Entry{}, g.unavailableError(register, 0)
		}
		defer unlock()
		err = g.catchUp(ctx, register)
	}
	if err != nil {
		return Entry{}, err
	}
	return g.ReadLocal(register), nil
}

// catchUp learns the newest version from a majority. If a replica of the majority has voted for the
// version after it, catchUp runs rounds until that version is decided. The caller holds the lock of
// the register.
func (g *Registrar) catchUp(ctx context.Context, register string) error {
	for attempt := range maxRounds {
		voted, err := g.learnNewest(ctx, register)
		if err != nil || !voted {
			return err
		}
		if !g.backOff(ctx, attempt) {
			break
		}
		if g.runRound(ctx, register, g.ReadLocal(register).Version+1, nil) == Pending {
			break
		}
	}
	return g.unavailableError(register, 0)
}

// learnNewest learns the newest version that any replica of a majority has learned. It reports
// whether one of these replicas has voted for the version after it, which may then have been
// decided.
func (g *Registrar) learnNewest(ctx context.Context, register string) (voted bool, err error) {
	for attempt := range maxRounds {
		if !g.backOff(ctx, attempt) {
			break
		}
		_, setVersion := g.ReplicaSet()
		replies, err := g.queryMajority(ctx, register, nil)
		if err != nil {
			return false, err
		}
		for _, reply := range replies {
			if reply.Decided != nil {
				g.learn(reply.Decided)
			}
		}
		if !g.Ready() {
			return false, g.unavailableError(register, 0)
		}
		if _, current := g.ReplicaSet(); current != setVersion {
			continue
		}
		newest := g.ReadLocal(register).Version
		for _, reply := range replies {
			voted = voted || reply.Version == newest && reply.Accepted != nil
		}
		return voted, nil
	}
	return false, g.unavailableError(register, 0)
}

// queryMajority sends a read to the current replica set and returns consistent replies of a
// majority. If a reply has a newer version of the set, it learns that set and starts again. An
// empty register name stands for all registers, with knownVersions as the versions that this
// replica has.
func (g *Registrar) queryMajority(ctx context.Context, register string, knownVersions map[string]uint64) ([]Reply, error) {
	for attempt := range maxRounds {
		if !g.backOff(ctx, attempt) {
			break
		}
		replicas, setVersion := g.ReplicaSet()
		q := Request{
			Kind:          KindRead,
			From:          g.cfg.ID,
			Register:      register,
			Version:       g.ReadLocal(register).Version,
			SetVersion:    setVersion,
			KnownVersions: knownVersions,
		}
		replies := map[string]Reply{}
		counted := []Reply{}
		newestSet := setVersion
		for reply := range g.broadcast(ctx, replicas, q, true) {
			if reply.Status != ReplyOK {
				continue
			}
			replies[reply.From] = reply
			newestSet = max(newestSet, reply.SetVersion)
			counted = ConsistentReplies(replies)
			if len(counted) >= Majority(len(replicas)) || newestSet > setVersion {
				break
			}
		}
		if newestSet > setVersion {
			for reply := range g.broadcast(ctx, replicas, Request{
				Kind:     KindRead,
				From:     g.cfg.ID,
				Register: ReplicaSetRegister,
				Version:  setVersion,
			}, false) {
				if reply.Decided != nil {
					g.learn(reply.Decided)
				}
				if _, current := g.ReplicaSet(); current >= newestSet {
					break
				}
			}
			continue
		}
		if len(counted) < Majority(len(replicas)) {
			return nil, g.unavailableError(register, len(counted))
		}
		return counted, nil
	}
	return nil, g.unavailableError(register, 0)
}

// unavailableError returns an *UnavailableError for the current replica set.
func (g *Registrar) unavailableError(register string, answered int) error {
	replicas, _ := g.ReplicaSet()
	return &UnavailableError{
		Register: register,
		Answered: answered,
		Needed:   Majority(len(replicas)),
	}
}

// Sync learns newer versions of all registers from all other replicas that answer. The error is an
// *UnavailableError if this replica does not vote or fewer than a majority, itself included,
// answer. Without Sync, a replica that missed decisions catches up when it receives a request to
// vote.
func (g *Registrar) Sync(ctx context.Context, _ time.Time) error {
	defer g.flushNotifications()
	if !g.Ready() {
		return g.unavailableError("", 0)
	}
	replicas, setVersion := g.ReplicaSet()
	answered := 1
	for reply := range g.broadcast(ctx, replicas, Request{
		Kind:          KindRead,
		From:          g.cfg.ID,
		SetVersion:    setVersion,
		KnownVersions: g.Versions(),
	}, false) {
		if reply.Status == ReplyOK {
			answered++
		}
		for i := range reply.Updates {
			g.learn(&reply.Updates[i])
		}
	}
	if answered < Majority(len(replicas)) {
		return g.unavailableError("", answered)
	}
	return nil
}

// registerNames returns the names of all registers of which any replica of a majority has state.
func (g *Registrar) registerNames(ctx context.Context) ([]string, error) {
	replies, err := g.queryMajority(ctx, "", g.Versions())
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
