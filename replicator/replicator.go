// Package replicator runs one replica of the registers of package registrar in a data folder. It
// opens the journal and recovers the registers from it. It repairs them from the other replicas
// if the folder was lost or corrupted, and synchronises them to fetch missed changes. After a
// failed write it reopens the journal, as after a crash, and stores the recovered state in a new
// file before the replica votes again.
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
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// attemptTimeout bounds one attempt to repair the replica and one synchronisation with the
	// other replicas.
	attemptTimeout = 5 * time.Second
	// defaultRepairEvery is the time between attempts to repair an empty replica.
	defaultRepairEvery = time.Second
	// defaultSyncEvery is the time between synchronisations with the other replicas.
	defaultSyncEvery = 2 * time.Second
)

// Config describes a replica.
type Config struct {
	// ID, Replicas, Bootstrap, Call and OnDecided are as in registrar.Config. Open also calls
	// OnDecided, which must be set, with the recovered entries.
	ID        string
	Replicas  []string
	Bootstrap bool
	Call      func(ctx context.Context, replica string, r registrar.Request) (registrar.Reply, error)
	OnDecided func(registrar.Entry)
	// Folder holds the journal; it is created if it does not exist.
	Folder string
	// ConfigureJournal, if set, may change how the journal writes and syncs.
	ConfigureJournal func(cfg *journaler.Config)
	// RepairEvery is the time between attempts to repair an empty replica or to reopen the
	// journal; 1 s if it is zero. SyncEvery is the time between synchronisations with the other
	// replicas; 2 s if it is zero.
	RepairEvery, SyncEvery time.Duration
	Log                    *slog.Logger
	Now                    func() time.Time
}

// Replica is an open replica.
type Replica struct {
	cfg             Config
	registers       atomic.Pointer[registrar.Registrar]
	journal         *journaler.Journal // used by Open, Run and Close only
	failureReported atomic.Bool        // set once the current failure of the journal is logged
}

// Open opens the journal and the registers. The caller then calls Run, and Close after Run has
// returned.
func Open(cfg Config) (*Replica, error) {
	if cfg.RepairEvery <= 0 {
		cfg.RepairEvery = defaultRepairEvery
	}
	if cfg.SyncEvery <= 0 {
		cfg.SyncEvery = defaultSyncEvery
	}
	r := &Replica{cfg: cfg}
	if err := r.open(cfg.Bootstrap, false); err != nil {
		return nil, err
	}
	return r, nil
}

// open opens the journal and the registers. If rewrite is set, the recovered state is stored
// again: after a failed write, what was read from the file may not be on the disk.
func (r *Replica) open(bootstrap, rewrite bool) error {
	journal, recovery, corrupted, err := r.openJournal()
	if err != nil {
		return err
	}
	if recovery.TornBytes > 0 {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalTornTail, "bytes", recovery.TornBytes)
	}
	cfg := registrar.Config{
		ID:                r.cfg.ID,
		Replicas:          r.cfg.Replicas,
		Append:            func(record []byte) error { return r.reportFailure(journal.Append(record)) },
		Snapshot:          func(state []byte) error { return r.reportFailure(journal.Snapshot(state)) },
		RecoveredSnapshot: recovery.Snapshot,
		RecoveredRecords:  recovery.Records,
		Empty:             recovery.Snapshot == nil,
		Bootstrap:         bootstrap && !corrupted,
		Rewrite:           rewrite,
		Call:              r.cfg.Call,
		OnDecided:         r.cfg.OnDecided,
	}
	registers, err := registrar.New(cfg)
	var corruption *registrar.CorruptionError
	if errors.As(err, &corruption) {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalDamaged, "error", err)
		cfg.Empty = true
		cfg.Bootstrap = false
		registers, err = registrar.New(cfg)
	}
	if err != nil {
		return fmt.Errorf("recover registers: %w", errors.Join(err, journal.Close()))
	}
	r.journal = journal
	r.registers.Store(registers)
	for _, e := range registers.Entries(nil) {
		r.cfg.OnDecided(e)
	}
	return nil
}

// Registers returns the registers of the replica. The caller must not keep the result, because it
// is replaced when the journal is reopened.
func (r *Replica) Registers() *registrar.Registrar { return r.registers.Load() }

// Votes reports whether the replica takes part in decisions. It does not while it is empty or its
// journal has failed.
func (r *Replica) Votes() bool { return r.Registers().Ready() }

// reportFailure logs the first error of the journal and returns err unchanged.
func (r *Replica) reportFailure(err error) error {
	if err != nil && !r.failureReported.Swap(true) {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalFailed, "error", err)
	}
	return err
}

// openJournal opens the journal. If the journal is corrupted, its file is renamed and the replica
// starts empty, to be repaired from the others; the third result is then true.
func (r *Replica) openJournal() (*journaler.Journal, journaler.Recovery, bool, error) {
	if err := os.MkdirAll(r.cfg.Folder, 0o750); err != nil {
		return nil, journaler.Recovery{}, false, fmt.Errorf("create data folder: %w", err)
	}
	cfg := journaler.Config{Dir: r.cfg.Folder}
	if r.cfg.ConfigureJournal != nil {
		r.cfg.ConfigureJournal(&cfg)
	}
	journal, recovery, err := journaler.Open(cfg)
	var corruption *journaler.CorruptionError
	if errors.As(err, &corruption) {
		reporter.Log(context.Background(), r.cfg.Log, reporter.JournalDamaged, "error", err)
		journal, recovery, err = journaler.Reset(cfg)
	}
	if err != nil {
		return nil, journaler.Recovery{}, false, fmt.Errorf("open journal: %w", err)
	}
	return journal, recovery, corruption != nil, nil
}

// Run repairs the replica if it is empty, then synchronises it with the other replicas, and
// reopens the journal after a failed write, until ctx is done.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.repair(ctx)
		for r.Registers().Err() == nil && r.waitForSync(ctx) {
			syncCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			// The error is ignored: replicas that could not be reached are contacted again in the
			// next synchronisation.
			_ = r.Registers().Sync(syncCtx, r.cfg.Now())
			cancel()
		}
		if r.Registers().Err() != nil {
			r.reopen(ctx)
		}
	}
}

// waitForSync waits until the next synchronisation is due. It returns false if ctx is done or the
// journal has failed, which it checks every RepairEvery.
func (r *Replica) waitForSync(ctx context.Context) bool {
	for remaining := r.cfg.SyncEvery; remaining > 0 && r.Registers().Err() == nil; remaining -= r.cfg.RepairEvery {
		if !messenger.Sleep(ctx, min(remaining, r.cfg.RepairEvery)) {
			return false
		}
	}
	return r.Registers().Err() == nil
}

// reopen opens the journal and the registers again, and retries until that succeeds or ctx is
// done.
func (r *Replica) reopen(ctx context.Context) {
	r.Registers().Close()
	// The error is that of the failed write, which was logged.
	_ = r.journal.Close()
	for messenger.Sleep(ctx, r.cfg.RepairEvery) {
		// Without Bootstrap: if the disk was lost during the first start, the other replicas
		// repair this one.
		err := r.open(false, true)
		if err == nil {
			r.failureReported.Store(false)
			reporter.Log(ctx, r.cfg.Log, reporter.JournalReopened)
			return
		}
		if !r.failureReported.Swap(true) {
			reporter.Log(ctx, r.cfg.Log, reporter.JournalFailed, "error", err)
		}
	}
}

// repair repairs the replica if it is empty, and retries until that succeeds or ctx is done.
func (r *Replica) repair(ctx context.Context) {
	for !r.Registers().Ready() && r.Registers().Err() == nil {
		repairCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := r.Registers().Repair(repairCtx, r.cfg.Now())
		cancel()
		if err == nil {
			reporter.Log(ctx, r.cfg.Log, reporter.ReplicaRepaired)
			return
		}
		if !messenger.Sleep(ctx, r.cfg.RepairEvery) {
			return
		}
	}
}

// Close ends the calls to other replicas and closes the journal.
func (r *Replica) Close() {
	r.Registers().Close()
	_ = r.reportFailure(r.journal.Close())
}
