package registrar

import (
	"fmt"
	"maps"
)

// Replica is the acceptor and learner of the protocol. It does no I/O. Its steps modify nothing;
// they return the reply and, if the state is to change, the record of the change. The caller stores
// the record, then calls Apply, then sends the reply.
type Replica struct {
	ID    string
	State State
	// Ready is false while the replica is empty. All its replies then have the status
	// ReplyUnavailable.
	Ready bool
	// Bootstrap is set on an empty replica of a set that has never run.
	Bootstrap bool
	// Replicas is the configured replica set.
	Replicas []string
}

// Step takes the protocol step of the request's kind.
func (p *Replica) Step(r Request) (Reply, *Record) {
	switch r.Kind {
	case KindPrepare:
		return p.Prepare(r)
	case KindAccept:
		return p.Accept(r)
	case KindLearn:
		return p.Learn(r)
	case KindRead:
		return p.Read(r), nil
	case KindRepair:
		return p.Repair(r)
	default:
		return p.reply(r, ReplyInvalid), nil
	}
}

// Prepare promises to accept no ballot below that of the request. The reply has the vote with the
// highest ballot for the version of the request.
func (p *Replica) Prepare(r Request) (Reply, *Record) {
	reply, ok := p.checkVersions(r)
	if !ok {
		return reply, nil
	}
	if r.Ballot.Compare(reply.Promised) <= 0 {
		reply.Status = ReplyRefused
		return reply, nil
	}
	return reply, &Record{
		Kind:     recordPromise,
		Register: r.Register,
		Ballot:   r.Ballot,
	}
}

// Accept votes for the proposal of the request unless the replica has promised a higher ballot.
func (p *Replica) Accept(r Request) (Reply, *Record) {
	reply, ok := p.checkVersions(r)
	if !ok {
		return reply, nil
	}
	if !r.Proposal.valid(r.Register, r.Version) {
		reply.Status = ReplyInvalid
		return reply, nil
	}
	if r.Ballot.Compare(reply.Promised) < 0 {
		reply.Status = ReplyRefused
		return reply, nil
	}
	return reply, &Record{
		Kind:     recordAccept,
		Register: r.Register,
		Vote: &Vote{
			Ballot:   r.Ballot,
			Proposal: *r.Proposal,
		},
	}
}

// valid reports whether the proposal can be learned once it is decided. A proposal that is accepted
// but cannot be learned would block the register permanently.
func (p *Proposal) valid(register string, version uint64) bool {
	return p != nil && p.Audit.Register == register && p.Audit.Version == version &&
		p.Audit.Digest == Digest(p.Value) && validValue(register, p.Value)
}

// validValue reports whether the value is a replica set, if the register is ReplicaSetRegister. The
// values of all other registers are opaque to this package.
func validValue(register string, value []byte) bool {
	if register != ReplicaSetRegister {
		return true
	}
	_, err := DecodeReplicas(value)
	return err == nil
}

// Learn records a decided version if it is newer. The reply is ReplyBehind if the request lacks
// audit entries after the newest version of the replica although its sender has older ones.
func (p *Replica) Learn(r Request) (Reply, *Record) {
	reply := p.reply(r, ReplyOK)
	if !p.Ready {
		return reply, nil
	}
	d := r.Decided
	if !d.valid() || d.Register != r.Register {
		reply.Status = ReplyInvalid
		return reply, nil
	}
	if d.Version <= reply.Version {
		return reply, nil
	}
	if d.AuditTrail[0].Version > reply.Version+1 && !d.Complete {
		reply.Status = ReplyBehind
		return reply, nil
	}
	return reply, &Record{
		Kind:     recordLearn,
		Register: d.Register,
		Decided:  d,
	}
}

// valid reports whether the audit trail is not empty, has no gaps and matches the value.
func (d *Decided) valid() bool {
	if d == nil || len(d.AuditTrail) == 0 || uint64(len(d.AuditTrail)) > d.Version {
		return false
	}
	first := d.Version - uint64(len(d.AuditTrail)) + 1
	for i := range d.AuditTrail {
		if d.AuditTrail[i].Version != first+uint64(i) || d.AuditTrail[i].Register != d.Register {
			return false
		}
	}
	return d.AuditTrail[len(d.AuditTrail)-1].Digest == Digest(d.Value) && validValue(d.Register, d.Value)
}

// Read returns the newest version of the register and the vote for the next one or, if the register
// name is empty, all versions that are newer than KnownVersions.
func (p *Replica) Read(r Request) Reply {
	reply := p.reply(r, ReplyOK)
	if !p.Ready {
		return reply
	}
	if r.Register != "" {
		s := p.State.get(r.Register)
		reply.Decided = s.decidedAfter(r.Register, r.Version)
		return reply
	}
	for name, s := range p.State.Registers {
		reply.Registers = append(reply.Registers, name)
		if d := s.decidedAfter(name, r.KnownVersions[name]); d != nil {
			reply.Updates = append(reply.Updates, *d)
		}
	}
	return reply
}

// Repair returns the complete state to an empty replica. If the request has a new epoch of the
// sender, this replica records it: votes from the sender's earlier epochs then no longer count
// together with votes that this replica makes later.
func (p *Replica) Repair(r Request) (Reply, *Record) {
	reply := p.reply(r, ReplyOK)
	if !p.Ready {
		return reply, nil
	}
	state := p.State.clone()
	reply.State = &state
	if r.Epoch <= p.State.Epochs[r.From] {
		return reply, nil
	}
	return reply, &Record{
		Kind:    recordEpoch,
		Replica: r.From,
		Epoch:   r.Epoch,
	}
}

// Apply makes the state transition of a stored record. An error means that the record is malformed.
func (p *Replica) Apply(r *Record) error {
	switch r.Kind {
	case recordPromise:
		p.State.getOrCreate(r.Register).Promised = r.Ballot
	case recordAccept:
		if r.Vote == nil {
			return fmt.Errorf("record of kind %q has no vote", r.Kind)
		}
		s := p.State.getOrCreate(r.Register)
		s.Promised = r.Vote.Ballot
		s.Accepted = r.Vote.inUTC()
	case recordLearn:
		if !r.Decided.valid() {
			return fmt.Errorf("record of kind %q for register %q has no valid decision", r.Kind, r.Register)
		}
		p.State.getOrCreate(r.Register).learn(r.Decided)
	case recordEpoch:
		p.State.Epochs[r.Replica] = max(p.State.Epochs[r.Replica], r.Epoch)
	default:
		return fmt.Errorf("record has the unknown kind %q", r.Kind)
	}
	return nil
}

// Install replaces the state of the replica by a recovered or merged one, which the replica then
// owns. The replica votes from then on.
func (p *Replica) Install(s State) {
	p.State = s
	p.State.rebuildDerived()
	p.Ready = true
	p.Bootstrap = false
}

// checkVersions reports whether the request is for the next version of the register and for the
// newest replica set that this replica has learned. It also returns the reply, whose status gives
// the reason if the result is false.
func (p *Replica) checkVersions(r Request) (Reply, bool) {
	reply := p.reply(r, ReplyOK)
	switch {
	case !p.Ready:
		return reply, false
	case r.Register == "" || r.Version == 0:
		reply.Status = ReplyInvalid
		return reply, false
	case r.SetVersion < reply.SetVersion:
		reply.Status = ReplyNewer
		s := p.State.get(ReplicaSetRegister)
		reply.Decided = s.decidedAfter(ReplicaSetRegister, r.SetVersion)
		return reply, false
	case r.Version <= reply.Version:
		reply.Status = ReplyNewer
		s := p.State.get(r.Register)
		reply.Decided = s.decidedAfter(r.Register, r.Version-1)
		return reply, false
	case r.Version > reply.Version+1 || r.SetVersion > reply.SetVersion:
		reply.Status = ReplyBehind
		return reply, false
	}
	return reply, true
}

// reply returns a reply with the fields that do not depend on the kind of the request. Its status
// is ReplyUnavailable if the replica is empty.
func (p *Replica) reply(r Request, status ReplyStatus) Reply {
	reply := Reply{
		Status: status,
		Kind:   r.Kind,
		From:   p.ID,
		Ballot: r.Ballot,
	}
	if !p.Ready {
		reply.Status = ReplyUnavailable
		reply.Bootstrap = p.Bootstrap
		reply.Replicas = p.Replicas
		return reply
	}
	s := p.State.get(r.Register)
	reply.Version = s.Version
	reply.SetVersion = p.State.get(ReplicaSetRegister).Version
	reply.Promised = s.Promised
	reply.Accepted = s.Accepted
	reply.Epochs = maps.Clone(p.State.Epochs)
	return reply
}
