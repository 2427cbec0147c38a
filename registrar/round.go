package registrar

import (
	"maps"
	"slices"
)

// Majority returns the smallest number of replicas that is a majority of a set of n.
func Majority(n int) int { return n/2 + 1 }

// RepairQuorum returns the number of other replicas whose state an empty replica of a set of n must
// copy: a majority without itself, or all others if these are fewer. Each majority that
// included the empty replica has another member among these others.
func RepairQuorum(n int) int { return min(Majority(n), n-1) }

// ConsistentReplies returns the replies that may be counted together, in the order of the replica
// names. A reply is left out if another one has a higher epoch of its replica: that replica has
// since started with an empty data folder, so the promise or vote in its reply may be lost.
func ConsistentReplies(replies map[string]Reply) []Reply {
	consistent := make([]Reply, 0, len(replies))
	for _, name := range slices.Sorted(maps.Keys(replies)) {
		stale := false
		for _, other := range replies {
			stale = stale || other.Epochs[name] > replies[name].Epochs[name]
		}
		if !stale {
			consistent = append(consistent, replies[name])
		}
	}
	return consistent
}

// RoundStatus is the state of a round after a reply.
type RoundStatus int

// The states of a round.
const (
	// Pending means that more replies are needed.
	Pending RoundStatus = iota
	// Prepared means that a majority has promised and the round has entered the accept phase.
	Prepared
	// Chosen means that a majority has accepted Round.Proposal, which is now decided.
	Chosen
	// NoProposal means that a majority has promised, none of it has voted and the round has no
	// proposal of its own.
	NoProposal
	// Preempted means that a replica has promised the higher ballot Reply.Promised.
	Preempted
	// Stale means that the version is already decided or the replica set has changed; Reply.Decided
	// holds the newest version of the register or of the replica set.
	Stale
)

// Round is the proposer's state of one ballot for one version of a register. It does no I/O. The
// first reply of each phase must be that of the proposer's own replica, whose stored promise makes
// the ballot unique.
type Round struct {
	// Replicas is the replica set at SetVersion.
	Replicas   []string
	SetVersion uint64
	Register   string
	Version    uint64
	Ballot     Ballot
	// OwnProposal is the proposal to make if no vote is found, or nil.
	OwnProposal *Proposal
	// Accepting is set in the accept phase.
	Accepting bool
	// Proposal is the proposal to accept. It is set in the accept phase.
	Proposal *Proposal
	// Replies holds the replies of the current phase with status ReplyOK, by replica.
	Replies map[string]Reply
}

// Request returns the request of the current phase, which is the same for all replicas.
func (r *Round) Request() Request {
	q := Request{
		Kind:       KindPrepare,
		From:       r.Ballot.Replica,
		Register:   r.Register,
		Version:    r.Version,
		Ballot:     r.Ballot,
		SetVersion: r.SetVersion,
	}
	if r.Accepting {
		q.Kind = KindAccept
		q.Proposal = r.Proposal
	}
	return q
}

// HandleReply processes one reply and returns the state of the round after it. Replies to other
// rounds or phases are ignored.
func (r *Round) HandleReply(reply Reply) RoundStatus {
	if reply.Ballot != r.Ballot || reply.Kind != r.Request().Kind || !slices.Contains(r.Replicas, reply.From) {
		return Pending
	}
	switch reply.Status {
	case ReplyRefused:
		return Preempted
	case ReplyNewer:
		return Stale
	case ReplyOK:
	case ReplyBehind, ReplyUnavailable, ReplyInvalid:
		return Pending
	default:
		return Pending
	}
	if r.Replies == nil {
		r.Replies = map[string]Reply{}
	}
	r.Replies[reply.From] = reply
	counted := ConsistentReplies(r.Replies)
	if len(counted) < Majority(len(r.Replicas)) {
		return Pending
	}
	if r.Accepting {
		return Chosen
	}
	r.Proposal = r.OwnProposal
	if v := highestVote(counted); v != nil {
		r.Proposal = &v.Proposal
	}
	if r.Proposal == nil {
		return NoProposal
	}
	r.Accepting = true
	r.Replies = nil
	return Prepared
}

// highestVote returns the vote with the highest ballot, or nil if no replica has voted.
func highestVote(replies []Reply) *Vote {
	var highest *Vote
	for i := range replies {
		if v := replies[i].Accepted; v != nil && (highest == nil || v.Ballot.Compare(highest.Ballot) > 0) {
			highest = v
		}
	}
	return highest
}

// Merge returns the state that an empty replica installs, merged from the states of others: for
// each register the newest version and, for the version after it, the highest promise and the vote
// with the highest ballot.
func Merge(states []State) State {
	merged := newState()
	for _, s := range states {
		merged.InitialReplicas = s.InitialReplicas
		for name, epoch := range s.Epochs {
			merged.Epochs[name] = max(merged.Epochs[name], epoch)
		}
		for name, other := range s.Registers {
			newest := merged.Registers[name]
			if newest == nil || other.Version > newest.Version {
				c := *other
				merged.Registers[name] = &c
				continue
			}
			if other.Version < newest.Version {
				continue
			}
			if other.Promised.Compare(newest.Promised) > 0 {
				newest.Promised = other.Promised
			}
			if other.Accepted != nil && (newest.Accepted == nil || other.Accepted.Ballot.Compare(newest.Accepted.Ballot) > 0) {
				newest.Accepted = other.Accepted
			}
		}
	}
	return merged
}

// holdsData reports whether the replica has learned or voted for any version. Promises do not
// count.
func (s State) holdsData() bool {
	for _, r := range s.Registers {
		if r.Version > 0 || r.Accepted != nil {
			return true
		}
	}
	return false
}
