package registrar

import (
	"maps"
	"slices"
	"strings"
)

// State is everything that a replica stores.
type State struct {
	// Initial is the replica set before the first change of the register ReplicaSet.
	Initial   []string                  `msgpack:"initial"`
	Registers map[string]*RegisterState `msgpack:"registers"`
	// Epochs counts, for each replica, the starts from an empty folder.
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
	// Trail is in version order without gaps and ends with Version. Elements are never
	// modified, so that copies can share them.
	Trail []AuditEntry `msgpack:"trail"`
	// versions maps the change identifiers of Trail to their versions.
	versions map[string]uint64
}

func newState() State {
	return State{
		Registers: map[string]*RegisterState{},
		Epochs:    map[string]uint64{},
	}
}

// clone returns a copy that shares only what is never modified.
func (s State) clone() State {
	c := State{
		Initial:   s.Initial,
		Registers: make(map[string]*RegisterState, len(s.Registers)),
		Epochs:    maps.Clone(s.Epochs),
	}
	for name, r := range s.Registers {
		d := *r
		d.Trail = slices.Clip(r.Trail)
		d.versions = nil
		c.Registers[name] = &d
	}
	return c
}

// restore rebuilds what is not stored after the state was decoded.
func (s *State) restore() {
	if s.Registers == nil {
		s.Registers = map[string]*RegisterState{}
	}
	if s.Epochs == nil {
		s.Epochs = map[string]uint64{}
	}
	for _, r := range s.Registers {
		trail := r.Trail
		r.Trail = make([]AuditEntry, 0, len(trail))
		r.versions = make(map[string]uint64, len(trail))
		for _, a := range trail {
			r.add(a)
		}
		if r.Accepted != nil {
			r.Accepted = r.Accepted.inUTC()
		}
	}
}

func (v *Vote) inUTC() *Vote {
	c := *v
	c.Proposal.Audit.At = c.Proposal.Audit.At.UTC()
	return &c
}

// get returns the state of a register, which is zero if the register has no state.
func (s State) get(register string) RegisterState {
	if r := s.Registers[register]; r != nil {
		return *r
	}
	return RegisterState{}
}

// at returns the state of a register and creates it if there is none.
func (s *State) at(register string) *RegisterState {
	r := s.Registers[register]
	if r == nil {
		r = &RegisterState{versions: map[string]uint64{}}
		s.Registers[register] = r
	}
	return r
}

// add appends to the trail without a bound.
func (r *RegisterState) add(a AuditEntry) {
	a.At = a.At.UTC()
	r.Trail = append(r.Trail, a)
	r.versions[a.ID] = a.Version
}

func trailLimit(register string) int {
	if strings.HasPrefix(register, viewPrefix) {
		return maxViewTrail
	}
	return maxTrail
}

// learn installs a newer decided version. The caller has checked that it fits.
func (r *RegisterState) learn(d *Decided) {
	if d.Version <= r.Version {
		return
	}
	if d.Trail[0].Version > r.Version+1 {
		r.Trail = nil
		r.versions = map[string]uint64{}
	}
	for _, a := range d.Trail {
		if a.Version > r.Version {
			r.add(a)
		}
	}
	if over := len(r.Trail) - trailLimit(d.Register); over > 0 {
		for _, a := range r.Trail[:over] {
			if r.versions[a.ID] == a.Version {
				delete(r.versions, a.ID)
			}
		}
		r.Trail = r.Trail[over:]
	}
	r.Version = d.Version
	r.Value = d.Value
	r.Promised = Ballot{}
	r.Accepted = nil
}

// since returns what follows a version, or nil if nothing does.
func (r *RegisterState) since(register string, after uint64) *Decided {
	if r.Version <= after {
		return nil
	}
	trail := r.after(after)
	return &Decided{
		Register: register,
		Version:  r.Version,
		Value:    r.Value,
		Trail:    trail,
		Whole:    len(trail) == len(r.Trail),
	}
}

// after returns the part of the trail with versions above the given one.
func (r *RegisterState) after(version uint64) []AuditEntry {
	if len(r.Trail) == 0 || version >= r.Version {
		return nil
	}
	first := r.Trail[0].Version
	if version < first {
		return slices.Clip(r.Trail)
	}
	return slices.Clip(r.Trail[version-first+1:])
}

// entry returns the newest version.
func (r *RegisterState) entry(register string) Entry {
	e := Entry{
		Register: register,
		Version:  r.Version,
		Value:    r.Value,
	}
	if n := len(r.Trail); n > 0 {
		e.Digest = r.Trail[n-1].Digest
	}
	return e
}

// answer returns the answer to a change if it is decided. The decision about the version
// Expected+1 answers every change of the version Expected for good, so nothing needs to
// be stored for changes that lose.
func (r *RegisterState) answer(c *Change) (res Result, known bool, err error) {
	digest := Digest(c.Value)
	if v, ok := r.versions[c.ID]; ok {
		a := r.Trail[v-r.Trail[0].Version]
		if v != c.Expected+1 || a.Digest != digest {
			return Result{}, true, &ReusedError{
				Register: c.Register,
				ID:       c.ID,
				Version:  v,
			}
		}
		return result(Accepted, a), true, nil
	}
	if c.Expected >= r.Version {
		return Result{}, false, nil
	}
	oldest := r.Trail[0].Version
	if c.Expected+1 < oldest {
		return Result{}, true, &ForgottenError{
			Register: c.Register,
			Expected: c.Expected,
			Oldest:   oldest,
		}
	}
	return result(Conflict, r.Trail[c.Expected+1-oldest]), true, nil
}

func result(s Status, winner AuditEntry) Result {
	return Result{
		Status:  s,
		Version: winner.Version,
		Digest:  winner.Digest,
		Winner:  winner,
	}
}
