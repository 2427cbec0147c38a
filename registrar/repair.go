package registrar

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RepairError reports why an empty replica cannot vote yet. The caller can call Repair again.
type RepairError struct {
	// Answered is the number of other replicas that answered with their state.
	Answered int
	// Needed is the number of other replicas that must answer.
	Needed int
	Reason string
}

// Error returns a message with the reason and the numbers of replicas.
func (e *RepairError) Error() string {
	return fmt.Sprintf("replica is not repaired: %s (%d of the other replicas sent their state, %d are needed)",
		e.Reason, e.Answered, e.Needed)
}

// Repair makes an empty replica vote. It copies the state of a majority of the replicas without
// this one (see RepairQuorum), or starts a new set if Config.Bootstrap is set and no other replica
// holds data (see MayBootstrap). It does nothing on a replica that votes. Errors are of type
// *RepairError and *StorageError; after a *RepairError the caller tries again later.
func (g *Registrar) Repair(ctx context.Context, now time.Time) error {
	defer g.flushNotifications()
	g.repairMu.Lock()
	defer g.repairMu.Unlock()
	if err := g.Err(); err != nil {
		return err
	}
	if g.Ready() {
		return nil
	}
	replies := g.requestStates(ctx, g.cfg.Replicas, 0)
	merged := Merge(states(replies))
	if MayBootstrap(&g.replica, replies) {
		merged.InitialReplicas = g.cfg.Replicas
		return g.install(merged, merged.Epochs[g.cfg.ID]+1)
	}
	replicas, _ := merged.ReplicaSet()
	if len(replicas) == 0 {
		return &RepairError{
			Needed: RepairQuorum(len(g.cfg.Replicas)),
			Reason: "no other replica sent its state",
		}
	}
	// The epoch is above all that the replicas have recorded for this one. Once a replica has
	// recorded it, its votes no longer count together with votes from before this replica lost its
	// state.
	epoch := merged.Epochs[g.cfg.ID] + 1
	replies = g.requestStates(ctx, replicas, epoch)
	merged, err := MergeQuorum(g.cfg.ID, epoch, replies)
	if err != nil {
		g.sendReplicaSet(ctx, replies, merged)
		return err
	}
	if err := g.install(merged, epoch); err != nil {
		return err
	}
	g.decideOpenVersions(ctx, now)
	return nil
}

// decideOpenVersions decides the versions for which the copied state has votes. Such a version may
// be one that this replica had learned before it lost its state; without this step, ReadLocal would
// return an older one until the next change. The replica votes even if this step fails.
func (g *Registrar) decideOpenVersions(ctx context.Context, now time.Time) {
	g.mu.RLock()
	var registers []string
	for name, s := range g.replica.State.Registers {
		if s.Accepted != nil {
			registers = append(registers, name)
		}
	}
	g.mu.RUnlock()
	slices.Sort(registers)
	for _, name := range registers {
		if _, err := g.Read(ctx, now, name); err != nil {
			return
		}
	}
}

// requestStates sends a repair request to all replicas except this one and waits until all calls
// have ended.
func (g *Registrar) requestStates(ctx context.Context, replicas []string, epoch uint64) []Reply {
	var replies []Reply
	for reply := range g.broadcast(ctx, replicas, Request{
		Kind:  KindRepair,
		From:  g.cfg.ID,
		Epoch: epoch,
	}, false) {
		replies = append(replies, reply)
	}
	return replies
}

// sendReplicaSet sends the newest replica set to replicas whose state has an older one.
func (g *Registrar) sendReplicaSet(ctx context.Context, replies []Reply, merged State) {
	set := merged.get(ReplicaSetRegister)
	for _, reply := range replies {
		if reply.State == nil {
			continue
		}
		d := set.decidedAfter(ReplicaSetRegister, reply.State.get(ReplicaSetRegister).Version)
		if d == nil {
			continue
		}
		// The next call of Repair sends a lost message again.
		_, _ = g.cfg.Call(ctx, reply.From, Request{
			Kind:     KindLearn,
			From:     g.cfg.ID,
			Register: ReplicaSetRegister,
			Decided:  d,
		})
	}
}

// install stores the state with the epoch of this replica and makes the replica vote.
func (g *Registrar) install(s State, epoch uint64) error {
	s.Epochs[g.cfg.ID] = epoch
	g.stepMu.Lock()
	if err := g.snapshot(s); err != nil {
		g.stopVoting(err)
		g.stepMu.Unlock()
		return g.Err()
	}
	g.mu.Lock()
	g.replica.Install(s)
	g.mu.Unlock()
	g.stepMu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.Versions())) {
		g.queueNotification(name)
	}
	return nil
}

// states returns the states in the replies.
func states(replies []Reply) []State {
	var all []State
	for _, reply := range replies {
		if reply.Status == ReplyOK && reply.State != nil {
			all = append(all, *reply.State)
		}
	}
	return all
}

// MergeQuorum returns the state that an empty replica installs. If the replies do not suffice, it
// returns the state merged so far and a *RepairError. Only replicas that have learned the newest
// replica set among the replies count, because others may still vote in an older set, and only
// those that had not recorded the epoch before.
func MergeQuorum(self string, epoch uint64, replies []Reply) (State, error) {
	merged := Merge(states(replies))
	replicas, setVersion := merged.ReplicaSet()
	needed := RepairQuorum(len(replicas))
	if !slices.Contains(replicas, self) {
		needed = Majority(len(replicas))
	}
	answered := 0
	for _, reply := range replies {
		if reply.Status == ReplyOK && reply.State != nil && slices.Contains(replicas, reply.From) &&
			reply.State.get(ReplicaSetRegister).Version == setVersion && reply.State.Epochs[self] < epoch {
			answered++
		}
	}
	if needed == 0 || answered < needed {
		return merged, &RepairError{
			Answered: answered,
			Needed:   needed,
			Reason:   "too few replicas sent their state",
		}
	}
	return merged, nil
}

// MayBootstrap reports whether the empty replica can start a new set: it is configured to, every
// other replica of the set has answered, and each of them either waits for the same start or has
// started and has not learned or voted for anything. A replica that has lost its state and is
// bootstrapped by mistake is therefore repaired instead.
func MayBootstrap(p *Replica, replies []Reply) bool {
	if !p.Bootstrap {
		return false
	}
	answered := map[string]bool{p.ID: true}
	for _, reply := range replies {
		set := reply.Replicas
		switch {
		case reply.Status == ReplyOK && reply.State != nil && !reply.State.holdsData():
			set = reply.State.InitialReplicas
		case reply.Status != ReplyUnavailable || !reply.Bootstrap:
			return false
		}
		if string(EncodeReplicas(set)) != string(EncodeReplicas(p.Replicas)) {
			return false
		}
		answered[reply.From] = true
	}
	return len(answered) == len(p.Replicas)
}
