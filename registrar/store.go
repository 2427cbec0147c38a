package registrar

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// maxUpdateAttempts bounds how often Update reads the register and proposes its change, which is
// repeated when a concurrent change was accepted first.
const maxUpdateAttempts = 32

// Store is one register that several operators change at the same time. All fields are required.
type Store struct {
	// Register is the name of the register.
	Register string
	// Read performs a majority read of the register, and Change proposes a change of it; see
	// Registrar.
	Read   func(ctx context.Context, now time.Time, register string) (Entry, error)
	Change func(ctx context.Context, now time.Time, c Change) (Result, error)
}

// UncertainError reports that a register could not be read or changed, for example because no
// majority of the replicas answered. A change may have been stored nevertheless.
type UncertainError struct {
	// What says what is not certain.
	What string
	Err  error
}

// Error returns a text with the uncertainty and the cause.
func (e *UncertainError) Error() string { return e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

var (
	errNoMajority = errors.New("no majority of the replicas answered")
	errConflict   = errors.New("other changes were stored at the same time")
)

// Newest returns the entry of the register by a majority read. The error is an *UncertainError with the
// argument what.
func (s Store) Newest(ctx context.Context, now time.Time, what string) (Entry, error) {
	entry, err := s.Read(ctx, now, s.Register)
	if err != nil {
		return Entry{}, &UncertainError{
			What: what,
			Err:  err,
		}
	}
	return entry, nil
}

// Update replaces the value of the register by the one that next returns for the current entry, and repeats that
// if another change was accepted first. It changes nothing if next returns no value or an error, which Update
// returns. The argument who is named in the audit trail. Other errors are of type *UncertainError with the
// argument what.
func (s Store) Update(ctx context.Context, now time.Time, who, what string, next func(Entry) ([]byte, error)) error {
	uncertain := func(err error) error {
		return &UncertainError{
			What: what,
			Err:  err,
		}
	}
	for range maxUpdateAttempts {
		entry, err := s.Newest(ctx, now, what)
		if err != nil {
			return err
		}
		value, err := next(entry)
		if err != nil || value == nil {
			return err
		}
		// Each attempt needs a new identifier, because a rejected change can no longer be accepted.
		result, err := s.Change(ctx, now, Change{
			Register: s.Register,
			ID:       uuid.NewString(),
			Who:      who,
			Expected: entry.Version,
			Value:    value,
		})
		switch {
		case err != nil:
			return uncertain(err)
		case result.Status == Accepted:
			return nil
		case result.Status == Unavailable:
			return uncertain(errNoMajority)
		}
	}
	return uncertain(errConflict)
}
