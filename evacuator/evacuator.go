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

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"sesamedrift.example/sesamedrift/registrar"
)

// maxAttempts bounds how often an order reads the register and proposes its change, which is
// repeated when a concurrent change was accepted first.
const maxAttempts = 32

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

// with returns the state in which the domain is evacuated, or is not, and its version if that
// changes anything.
func (s State) with(domain string, evacuated bool, version uint64) State {
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

// Evacuator changes the evacuated domains in one register. All fields are required.
type Evacuator struct {
	// Register is the name of the register.
	Register string
	// Read performs a majority read of the register, and Change proposes a change of it; see
	// package registrar.
	Read   func(ctx context.Context, now time.Time, register string) (registrar.Entry, error)
	Change func(ctx context.Context, now time.Time, c registrar.Change) (registrar.Result, error)
}

// UnavailableError reports that the register could not be read or changed, for example because no
// majority of the replicas answered. The order may be in force nevertheless.
type UnavailableError struct {
	// Domain is the domain of the order, or empty for Newest.
	Domain string
	Err    error
}

// Error returns a text with the domain and the cause.
func (e *UnavailableError) Error() string {
	if e.Domain == "" {
		return fmt.Sprintf("the evacuated domains are not known: %v", e.Err)
	}
	return fmt.Sprintf("the order for domain %q is not known to be stored: %v", e.Domain, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

var (
	errNoMajority = errors.New("no majority of the replicas answered")
	errConflict   = errors.New("other orders were stored at the same time")
	errNoVersion  = errors.New("the state has no version")
)

// Begin evacuates a domain. The operator is named in the audit trail. It returns the stored state.
// Errors are of type *UnavailableError, or *UnreadableError if nothing was changed.
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
	for range maxAttempts {
		entry, err := e.Read(ctx, now, e.Register)
		if err != nil {
			return State{}, unavailable(domain, err)
		}
		current, err := Decode(entry)
		if err != nil {
			return State{}, err
		}
		next := current.with(domain, evacuated, entry.Version+1)
		result, err := e.Change(ctx, now, registrar.Change{
			Register: e.Register,
			ID:       uuid.NewString(),
			Who:      who,
			Expected: entry.Version,
			Value:    Encode(next),
		})
		switch {
		case err != nil:
			return State{}, unavailable(domain, err)
		case result.Status == registrar.Accepted:
			return next, nil
		case result.Status == registrar.Unavailable:
			return State{}, unavailable(domain, errNoMajority)
		}
		// Another change was accepted first.
	}
	return State{}, unavailable(domain, errConflict)
}

func unavailable(domain string, err error) error {
	return &UnavailableError{
		Domain: domain,
		Err:    err,
	}
}

// Newest returns the stored state by a majority read. Errors are of type *UnavailableError or *UnreadableError.
func (e *Evacuator) Newest(ctx context.Context, now time.Time) (State, error) {
	entry, err := e.Read(ctx, now, e.Register)
	if err != nil {
		return State{}, unavailable("", err)
	}
	return Decode(entry)
}
