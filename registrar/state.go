package registrar

import (
	"maps"
	"slices"
	"strings"
)

// State is the complete stored state of a replica.
type State struct {
	// InitialReplicas is the replica set before the first change of ReplicaSetRegister.
	InitialReplicas []string                  `msgpack:"initial"`
	Registers       map[string]*RegisterState `msgpack:"registers"`
	// Epochs counts, for each replica, its starts with an empty data folder.
	Epochs map[string]uint64 `msgpack:"epochs"`
}

// RegisterState is the state of one register on one replica.
type RegisterState struct {
	// Version is the newest decided version that the replica has learned.
	Version uint64 `msgpack:"version"`
	Value   []byte `msgpack:"value"`
	// Promised is the highest ballot promised for Version+1.
	Promised Ballot `msgpack:"promised"`
	// Accepted is the vote with the highest ballot for Version+1.
	Accepted *Vote `msgpack:"accepted"`
	// AuditTrail is in version order without gaps and ends with Version. Its elements are never
	// modified, so that copies can share them.
	AuditTrail []AuditEntry `msgpack:"trail"`
	// versionByID maps the change identifiers of AuditTrail to their versions.
	versionByID map[string]uint64
}

func newState() State {
	return State{
		Registers: map[string]*RegisterState{},
		Epochs:    map[string]uint64{},
	}
}

// clone returns a copy that shares only data that is never modified. It leaves out versionByID.
func (s State) clone() State {
	c := State{
		InitialReplicas: s.InitialReplicas,
		Registers:       make(map[string]*RegisterState, len(s.Registers)),
		Epochs:          maps.Clone(s.Epochs),
	}
	for name, r := range s.Registers {
		d := *r
		d.AuditTrail = slices.Clip(r.AuditTrail)
		d.versionByID = nil
		c.Registers[name] = &d
	}
	return c
}

// rebuildDerived sets the fields that are not stored and converts times to UTC, after the state was
// decoded, cloned or merged.
func (s *State) rebuildDerived() {
	if s.Registers == nil {
		s.Registers = map[string]*RegisterState{}
	}
	if s.Epochs == nil {
		s.Epochs = map[string]uint64{}
	}
	for _, r := range s.Registers {
		trail := r.AuditTrail
		r.AuditTrail = make([]AuditEntry, 0, len(trail))
		r.versionByID = make(map[string]uint64, len(trail))
		for _, a := range trail {
			r.appendAudit(a)
		}
		if r.Accepted != nil {
			r.Accepted = r.Accepted.inUTC()
		}
	}
}

// inUTC returns a copy of the vote with its time in UTC.
func (v *Vote) inUTC() *Vote {
	c := *v
	c.Proposal.Audit.ReceivedAt = c.Proposal.Audit.ReceivedAt.UTC()
	return &c
}

// get returns the state of a register, which is zero if the register has no state.
func (s State) get(register string) RegisterState {
	if r := s.Registers[register]; r != nil {
		return *r
	}
	return RegisterState{}
}

// getOrCreate returns the state of a register, which it creates if there is none.
func (s *State) getOrCreate(register string) *RegisterState {
	r := s.Registers[register]
	if r == nil {
		r = &RegisterState{versionByID: map[string]uint64{}}
		s.Registers[register] = r
	}
	return r
}

// appendAudit appends to the audit trail without regard to its limit.
func (r *RegisterState) appendAudit(a AuditEntry) {
	a.ReceivedAt = a.ReceivedAt.UTC()
	r.AuditTrail = append(r.AuditTrail, a)
	r.versionByID[a.ID] = a.Version
}

// auditTrailLimit returns the limit of a register's audit trail in versions.
func auditTrailLimit(register string) int {
	if strings.HasPrefix(register, viewPrefix) {
		return maxViewAuditTrail
	}
	return maxAuditTrail
}

// learn records a decided version if it is newer. The caller has checked d with Replica.Learn.
func (r *RegisterState) learn(d *Decided) {
	if d.Version <= r.Version {
		return
	}
	if d.AuditTrail[0].Version > r.Version+1 {
		r.AuditTrail = nil
		r.versionByID = map[string]uint64{}
	}
	for _, a := range d.AuditTrail {
		if a.Version > r.Version {
			r.appendAudit(a)
		}
	}
	if excess := len(r.AuditTrail) - auditTrailLimit(d.Register); excess > 0 {
		for _, a := range r.AuditTrail[:excess] {
			if r.versionByID[a.ID] == a.Version {
				delete(r.versionByID, a.ID)
			}
		}
		r.AuditTrail = r.AuditTrail[excess:]
	}
	r.Version = d.Version
	r.Value = d.Value
	r.Promised = Ballot{}
	r.Accepted = nil
}

// decidedAfter returns the newest version with the audit entries after the given version, or nil if
// there is no newer version.
func (r *RegisterState) decidedAfter(register string, after uint64) *Decided {
	if r.Version <= after {
		return nil
	}
	trail := r.auditAfter(after)
	return &Decided{
		Register:   register,
		Version:    r.Version,
		Value:      r.Value,
		AuditTrail: trail,
		Complete:   len(trail) == len(r.AuditTrail),
	}
}

// auditAfter returns the part of the audit trail with versions above the given one.
func (r *RegisterState) auditAfter(version uint64) []AuditEntry {
	if len(r.AuditTrail) == 0 || version >= r.Version {
		return nil
	}
	first := r.AuditTrail[0].Version
	if version < first {
		return slices.Clip(r.AuditTrail)
	}
	return slices.Clip(r.AuditTrail[version-first+1:])
}

// entry returns the newest version as an Entry; its version is 0 if the register has no value.
func (r *RegisterState) entry(register string) Entry {
	e := Entry{
		Register: register,
		Version:  r.Version,
		Value:    r.Value,
	}
	if n := len(r.AuditTrail); n > 0 {
		e.Digest = r.AuditTrail[n-1].Digest
	}
	return e
}

// changeResult returns the result of a change if it is decided. The version Expected+1 determines
// the result of every change that expects the version Expected, so nothing needs to be stored for
// changes with the status Conflict.
func (r *RegisterState) changeResult(c *Change) (res Result, decided bool, err error) {
	digest := Digest(c.Value)
	if v, ok := r.versionByID[c.ID]; ok {
		a := r.AuditTrail[v-r.AuditTrail[0].Version]
		if v != c.Expected+1 || a.Digest != digest {
			return Result{}, true, &ReusedIDError{
				Register: c.Register,
				ID:       c.ID,
				Version:  v,
			}
		}
		return newResult(Accepted, a), true, nil
	}
	if c.Expected >= r.Version {
		return Result{}, false, nil
	}
	oldest := r.AuditTrail[0].Version
	if c.Expected+1 < oldest {
		return Result{}, true, &CompactedError{
			Register: c.Register,
			Expected: c.Expected,
			Oldest:   oldest,
		}
	}
	return newResult(Conflict, r.AuditTrail[c.Expected+1-oldest]), true, nil
}

// newResult returns a result with the version of the winning audit entry.
func newResult(s Status, winner AuditEntry) Result {
	return Result{
		Status:  s,
		Version: winner.Version,
		Digest:  winner.Digest,
		Winner:  winner,
	}
}
