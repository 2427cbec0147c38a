// Package evacuator stores the set of evacuated failure domains in a register of package registrar.
// No host starts a task in an evacuated domain.
//
// Operators may send an order again, to any replica, and several orders at the same time. Begin and
// Finish return nil once a majority of the replicas has stored a state in which the order is in
// force. The last order that returned nil counts for a domain; after an error, the order may or may
// not be in force. A register value that cannot be read is an error and never counts as the empty state,
// with which tasks would start in evacuated domains.
//
// An Evacuator is safe for concurrent use.
package evacuator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sesamedrift.example/sesamedrift/registrar"
)

// Register is the name of the register that holds the evacuated domains.
const Register = "evacuations"

// State is the set of evacuated failure domains. The zero value stands for the state before the
// first order: no domain is evacuated. A State is shared and must not be modified.
type State struct {
	// Version grows with each change of Domains. Of two states, the one with the higher version is
	// the newer one.
	Version uint64 `msgpack:"version"`
	// Domains are the evacuated domains, sorted and without duplicates.
	Domains []string `msgpack:"domains,omitempty"`
}

// Evacuated reports whether a domain is evacuated.
func (s State) Evacuated(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// With returns the state in which the domain is evacuated, or is not. It has the given version if that
// changes anything.
func (s State) With(domain string, evacuated bool, version uint64) State {
	i, found := slices.BinarySearch(s.Domains, domain)
	if found == evacuated {
		return s
	}
	domains := slices.Clone(s.Domains)
	if evacuated {
		domains = slices.Insert(domains, i, domain)
	} else {
		domains = slices.Delete(domains, i, i+1)
	}
	return State{
		Version: version,
		Domains: domains,
	}
}

// Encode returns the register value of a state.
func Encode(s State) []byte {
	value, err := msgpack.Marshal(s)
	if err != nil {
		panic("evacuator: encode state: " + err.Error())
	}
	return value
}

// Decode returns the state of an entry of the register, or an *UnreadableError. An entry of version 0 has no
// value and holds the empty state.
func Decode(e registrar.Entry) (State, error) {
	if e.Version == 0 && len(e.Value) == 0 {
		return State{}, nil
	}
	var stored struct {
		Version *uint64  `msgpack:"version"`
		Domains []string `msgpack:"domains"`
	}
	reader := bytes.NewReader(e.Value)
	err := msgpack.NewDecoder(reader).Decode(&stored)
	switch {
	case err != nil:
	case stored.Version == nil:
		err = errNoVersion
	case *stored.Version > e.Version:
		err = fmt.Errorf("the state has the later version %d", *stored.Version)
	case reader.Len() > 0:
		err = fmt.Errorf("%d bytes follow the state", reader.Len())
	}
	if err != nil {
		return State{}, &UnreadableError{
			Register: e.Register,
			Version:  e.Version,
			Err:      err,
		}
	}
	slices.Sort(stored.Domains)
	return State{
		Version: *stored.Version,
		Domains: slices.Compact(stored.Domains),
	}, nil
}

// UnreadableError reports that the value of the register holds no state. An order that returns it has
// changed nothing: a new state would revoke the evacuations that cannot be read.
type UnreadableError struct {
	Register string
	// Version is that of the register.
	Version uint64
	Err     error
}

// Error returns a text with the register, its version and the cause.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("version %d of the register %q is unreadable: %v", e.Version, e.Register, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Evacuator changes the evacuated domains in one register.
type Evacuator struct {
	registrar.Store
}

var errNoVersion = errors.New("the state has no version")

// Begin evacuates a domain. The operator is named in the audit trail. It returns the stored state.
// Errors are of type *registrar.UncertainError, or *UnreadableError if nothing was changed.
func (e *Evacuator) Begin(ctx context.Context, now time.Time, who, domain string) (State, error) {
	return e.order(ctx, now, who, domain, true)
}

// Finish takes a domain back into service. The operator is named in the audit trail. It returns the
// stored state. Errors are those of Begin.
func (e *Evacuator) Finish(ctx context.Context, now time.Time, who, domain string) (State, error) {
	return e.order(ctx, now, who, domain, false)
}

// order stores a state in which the domain is evacuated, or is not.
//
// An order that changes nothing stores the same state as a new version of the register. Otherwise an
// opposite order that got no clear answer and has votes of a minority could still be decided after
// this order was acknowledged.
func (e *Evacuator) order(ctx context.Context, now time.Time, who, domain string, evacuated bool) (State, error) {
	var next State
	what := fmt.Sprintf("the order for domain %q is not known to be stored", domain)
	err := e.Update(ctx, now, who, what, func(entry registrar.Entry) ([]byte, error) {
		current, err := Decode(entry)
		if err != nil {
			return nil, err
		}
		next = current.With(domain, evacuated, entry.Version+1)
		return Encode(next), nil
	})
	if err != nil {
		return State{}, err
	}
	return next, nil
}

// Newest returns the stored state by a majority read. Errors are of type *registrar.UncertainError or
// *UnreadableError.
func (e *Evacuator) Newest(ctx context.Context, now time.Time) (State, error) {
	entry, err := e.Store.Newest(ctx, now, "the evacuated domains are not known")
	if err != nil {
		return State{}, err
	}
	return Decode(entry)
}
