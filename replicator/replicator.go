// Package replicator runs a replica of the registers in a data folder: it opens the
// journal, recovers the registers from it, repairs them from the other replicas if the
// folder was lost or damaged, and fetches what the replica has missed.
//
// A Replica is safe for concurrent use.
package replicator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// roundTimeout bounds one try to repair the replica and one exchange with the others.
	roundTimeout = 5 * time.Second
	// defaultRepairEvery is the time between two tries to repair an empty replica.
	defaultRepairEvery = time.Second
	// defaultSyncEvery is the time between two exchanges of a replica with the others.
	defaultSyncEvery = 2 * time.Second
)

// Config describes a replica.
type Config struct {
	// ID, Replicas, Bootstrap, Call and Learned are as in registrar.Config.
	ID        string
	Replicas  []string
	Bootstrap bool
	Call      func(ctx context.Context, replica string, r registrar.Request) (registrar.Reply, error)
	Learned   func(registrar.Entry)
	// Folder holds the journal; it is created if it does not exist.
	Folder string
	// Journal, if set, may change how the journal writes and syncs.
	Journal func(cfg *journaler.Config)
	// RepairEvery and SyncEvery are the times between two tries to repair an empty replica
	// and between two exchanges with the others; 1 s and 2 s if they are zero.
	RepairEvery, SyncEvery time.Duration
	Log                    *slog.Logger
	Now                    func() time.Time
}

// Replica is an open replica.
type Replica struct {
	cfg       Config
	registers *registrar.Registrar
	journal   *journaler.Journal
	failed    atomic.Bool // set once the failure of the journal is reported
}

// Open opens the journal and the registers. The caller then calls Run.
func Open(cfg Config) (*Replica, error) {
	if cfg.RepairEvery <= 0 {
		cfg.RepairEvery = defaultRepairEvery
	}
	if cfg.SyncEvery <= 0 {
		cfg.SyncEvery = defaultSyncEvery
	}
	r := &Replica{cfg: cfg}
	journal, recovery, damaged, err := r.openJournal()
	if err != nil {
		return nil, err
	}
	r.journal = journal
	if recovery.TornBytes > 0 {
		reporter.Log(context.Background(), cfg.Log, reporter.JournalTornTail, "bytes", recovery.TornBytes)
	}
	registers := registrar.Config{
		ID:          cfg.ID,
		Replicas:    cfg.Replicas,
		Append:      func(record []byte) error { return r.stored(journal.Append(record)) },
		Snapshot:    func(state []byte) error { return r.stored(journal.Snapshot(state)) },
		Snapshotted: recovery.Snapshot,
		Records:     recovery.Records,
		Empty:       recovery.Snapshot == nil,
		Bootstrap:   cfg.Bootstrap && !damaged,
		Call:        cfg.Call,
		Learned:     cfg.Learned,
	}
	r.registers, err = registrar.New(registers)
	var unreadable *registrar.DamageError
	if errors.As(err, &unreadable) {
		reporter.Log(context.Background(), cfg.Log, reporter.JournalDamaged, "error", err)
		registers.Empty = true
		registers.Bootstrap = false
		r.registers, err = registrar.New(registers)
	}
	if err != nil {
		return nil, fmt.Errorf("registers: %w", errors.Join(err, journal.Close()))
	}
	for _, e := range r.registers.Entries(nil) {
		cfg.Learned(e)
	}
	return r, nil
}

// Registers returns the registers of the replica.
func (r *Replica) Registers() *registrar.Registrar { return r.registers }

// Votes reports whether the replica takes part in decisions.
func (r *Replica) Votes() bool { return r.registers.Ready() && r.registers.Failed() == nil }

// stored returns the error of a journal's method and reports the first one.
func (r *Replica) stored(err error) error {
	if err != nil && !r.failed.Swap(true) {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalFailed, "error", err)
	}
	return err
}

// openJournal opens the journal. A damaged one is kept aside, and the replica starts
// empty, to be repaired from the others; the third result says so.
func (r *Replica) openJournal() (*journaler.Journal, journaler.Recovery, bool, error) {
	if err := os.MkdirAll(r.cfg.Folder, 0o750); err != nil {
		return nil, journaler.Recovery{}, false, fmt.Errorf("data folder: %w", err)
	}
	cfg := journaler.Config{Dir: r.cfg.Folder}
	if r.cfg.Journal != nil {
		r.cfg.Journal(&cfg)
	}
	journal, recovery, err := journaler.Open(cfg)
	var damaged *journaler.DamageError
	if errors.As(err, &damaged) {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalDamaged, "error", err)
		journal, recovery, err = journaler.StartOver(cfg)
	}
	if err != nil {
		return nil, journaler.Recovery{}, false, fmt.Errorf("journal: %w", err)
	}
	return journal, recovery, damaged != nil, nil
}

// Run repairs the replica if it is empty, and then fetches what it has missed, until ctx
// is done or the replica can store nothing any more.
func (r *Replica) Run(ctx context.Context) {
	r.repair(ctx)
	for sleep(ctx, r.cfg.SyncEvery) && r.registers.Failed() == nil {
		round, cancel := context.WithTimeout(ctx, roundTimeout)
		// A replica that cannot be reached is asked again in the next round.
		_ = r.registers.Sync(round, r.cfg.Now())
		cancel()
	}
}

func (r *Replica) repair(ctx context.Context) {
	for !r.registers.Ready() && r.registers.Failed() == nil {
		round, cancel := context.WithTimeout(ctx, roundTimeout)
		err := r.registers.Repair(round, r.cfg.Now())
		cancel()
		if err == nil {
			reporter.Log(ctx, r.cfg.Log, reporter.ReplicaRepaired)
			return
		}
		if !sleep(ctx, r.cfg.RepairEvery) {
			return
		}
	}
}

// Close ends the calls to other replicas and closes the journal.
func (r *Replica) Close() {
	r.registers.Close()
	_ = r.stored(r.journal.Close())
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
