package registrar

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// recordsPerSnapshot is the number of records after which a snapshot replaces them. It bounds the
// time to apply them after a restart.
const recordsPerSnapshot = 1000

// Config describes one replica.
type Config struct {
	// ID is the name of this replica, an element of Replicas.
	ID string
	// Replicas is the replica set at the first start. A replica with state uses the set in its
	// state instead.
	Replicas []string
	// Append stores a record. The record must be durable when Append returns nil.
	Append func([]byte) error
	// Snapshot stores a state that replaces all earlier records and snapshots. The state must be
	// durable when Snapshot returns nil.
	Snapshot func([]byte) error
	// RecoveredSnapshot and RecoveredRecords are the newest stored snapshot and the records stored
	// after it. Every replica that has ever voted has a snapshot; a replica without one counts as
	// empty.
	RecoveredSnapshot []byte
	RecoveredRecords  [][]byte
	// Empty indicates that state was or may have been lost. The recovered state is then ignored,
	// and the replica does not vote before Repair has succeeded.
	Empty bool
	// Bootstrap indicates that the set has never run. It has an effect only on an empty replica;
	// see the package comment.
	Bootstrap bool
	// Rewrite makes New store the recovered state again, as a snapshot, before the replica votes.
	Rewrite bool
	// Call sends a request to another replica and returns the reply. It must be safe for concurrent
	// use, return when ctx is done and have a timeout of its own, because a call to a replica that
	// does not respond may outlive the method that made it. Requests may be delivered more than
	// once.
	Call func(ctx context.Context, replica string, r Request) (Reply, error)
	// OnDecided, if set, is called after a newer decided version is stored on this replica. Calls
	// do not overlap, hold no lock and have increasing versions for each register. OnDecided must
	// not block. It is not called for recovered versions.
	OnDecided func(Entry)
}

// Registrar is one replica with its proposer. All methods are safe for concurrent use.
type Registrar struct {
	cfg Config
	// ctx is cancelled by Close. Calls that outlive the method that started them use it.
	ctx    context.Context
	cancel context.CancelFunc
	// callsMu guards closed, so that no call is started after Close has begun to wait.
	callsMu sync.Mutex
	closed  bool
	calls   sync.WaitGroup
	// learnCalls counts the broadcasts of decisions that are not finished.
	learnCalls sync.WaitGroup

	// stepMu is held from the evaluation of a step until its record is stored and applied.
	stepMu               sync.Mutex
	recordsSinceSnapshot int

	// mu guards replica and storageErr. Both are modified only while stepMu is held too.
	mu         sync.RWMutex
	replica    Replica
	storageErr error

	// repairMu is held during Repair.
	repairMu sync.Mutex

	// roundMu guards roundLocks and random. roundLocks holds a lock for each register, so that this
	// replica runs at most one round at a time for a register.
	roundMu    sync.Mutex
	roundLocks map[string]chan struct{}
	random     *rand.Rand

	// notifyMu guards notifyQueue, notified and notifying. notifyQueue holds the names of the
	// registers for which Config.OnDecided is due, notified the newest version of each with which
	// it was called. notifying is set while a goroutine calls it.
	notifyMu    sync.Mutex
	notifyQueue []string
	notified    map[string]uint64
	notifying   bool
}

// New returns a replica with the recovered state. Errors are of type *InvalidError,
// *CorruptionError and, with Config.Rewrite, *StorageError.
func New(cfg Config) (*Registrar, error) {
	if err := validateReplicas(cfg.Replicas); err != nil {
		return nil, err
	}
	if !slices.Contains(cfg.Replicas, cfg.ID) {
		return nil, &InvalidError{
			Field: "id",
			Value: cfg.ID,
			Want:  "an element of the replica set",
		}
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(cfg.ID))
	g := &Registrar{
		cfg: cfg,
		replica: Replica{
			ID:        cfg.ID,
			State:     newState(),
			Bootstrap: cfg.Bootstrap,
			Replicas:  cfg.Replicas,
		},
		recordsSinceSnapshot: len(cfg.RecoveredRecords),
		roundLocks:           map[string]chan struct{}{},
		notified:             map[string]uint64{},
		random:               rand.New(rand.NewPCG(seed.Sum64(), 0)),
	}
	if !cfg.Empty && len(cfg.RecoveredSnapshot) > 0 {
		if err := g.loadRecoveredState(); err != nil {
			return nil, err
		}
	}
	g.cfg.RecoveredSnapshot, g.cfg.RecoveredRecords = nil, nil
	if cfg.Rewrite && g.replica.Ready {
		if err := g.snapshot(g.replica.State); err != nil {
			return nil, &StorageError{Err: err}
		}
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// loadRecoveredState installs the recovered snapshot and applies the recovered records to it.
// Errors are of type *CorruptionError.
func (g *Registrar) loadRecoveredState() error {
	var s State
	if err := msgpack.Unmarshal(g.cfg.RecoveredSnapshot, &s); err != nil {
		return &CorruptionError{
			Record: -1,
			Err:    err,
		}
	}
	if err := validateReplicas(s.InitialReplicas); err != nil {
		return &CorruptionError{
			Record: -1,
			Err:    err,
		}
	}
	g.replica.Install(s)
	for i, data := range g.cfg.RecoveredRecords {
		var r Record
		err := msgpack.Unmarshal(data, &r)
		if err == nil {
			err = g.replica.Apply(&r)
		}
		if err != nil {
			return &CorruptionError{
				Record: i,
				Err:    err,
			}
		}
	}
	// A damaged value would decide the reads of this replica, as the others do not send a version that it has.
	for name, r := range g.replica.State.Registers {
		if e := r.entry(name); e.Digest != "" && e.Digest != Digest(e.Value) {
			return &CorruptionError{
				Record: -1,
				Err:    fmt.Errorf("register %q: version %d does not match its digest", name, e.Version),
			}
		}
	}
	return nil
}

// Close first waits, for at most learnTimeout, until the decisions of this proposer have been sent
// to the other replicas. Otherwise, if this replica is removed permanently, the others might never
// learn that its last change of the replica set was decided. Close then cancels all other calls and
// waits until they have returned. No new calls are started, and changes get the result Unavailable.
func (g *Registrar) Close() {
	g.callsMu.Lock()
	g.closed = true
	g.callsMu.Unlock()
	g.learnCalls.Wait()
	g.cancel()
	g.calls.Wait()
}

// Ready reports whether the replica votes. If it does not, it is empty and Repair must be called,
// or Err returns an error and the replica must be created again.
func (g *Registrar) Ready() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.replica.Ready && g.storageErr == nil
}

// Err returns the *StorageError after which the replica stopped voting, or nil.
func (g *Registrar) Err() error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.storageErr
}

// Handle takes the protocol step of a request and returns the reply, which reflects only stored
// state. The status is ReplyUnavailable if the replica is empty or its storage has failed.
func (g *Registrar) Handle(_ time.Time, r Request) Reply {
	defer g.flushNotifications()
	return g.step(r)
}

// step takes the protocol step of a request of another replica or of this proposer.
func (g *Registrar) step(r Request) Reply {
	if r.Kind == KindRead {
		g.mu.RLock()
		defer g.mu.RUnlock()
		if g.storageErr != nil {
			return g.unavailableReply(r)
		}
		return g.replica.Read(r)
	}
	reply, learnedRegister := g.stepAndStore(r)
	if learnedRegister != "" {
		g.queueNotification(learnedRegister)
	}
	return reply
}

// stepAndStore takes a step, stores its record and applies it. It returns the name of the register
// of which a newer version was learned, or "".
func (g *Registrar) stepAndStore(r Request) (reply Reply, learnedRegister string) {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
	if g.Err() != nil {
		return g.unavailableReply(r), ""
	}
	g.mu.RLock()
	reply, record := g.replica.Step(r)
	g.mu.RUnlock()
	if record == nil {
		return reply, ""
	}
	data, err := msgpack.Marshal(record)
	if err == nil {
		err = g.cfg.Append(data)
	}
	if err != nil {
		g.stopVoting(err)
		return g.unavailableReply(r), ""
	}
	g.mu.Lock()
	err = g.replica.Apply(record)
	if err == nil && record.Kind == recordLearn {
		learnedRegister = record.Register
	}
	g.mu.Unlock()
	if err != nil {
		panic("registrar: apply the record of a step: " + err.Error())
	}
	g.recordsSinceSnapshot++
	if g.recordsSinceSnapshot >= recordsPerSnapshot {
		g.mu.RLock()
		state := g.replica.State.clone()
		g.mu.RUnlock()
		if err := g.snapshot(state); err != nil {
			g.stopVoting(err)
		}
	}
	return reply, learnedRegister
}

// snapshot stores the state as a snapshot.
func (g *Registrar) snapshot(s State) error {
	data, err := msgpack.Marshal(&s)
	if err != nil {
		return err
	}
	if err := g.cfg.Snapshot(data); err != nil {
		return err
	}
	g.recordsSinceSnapshot = 0
	return nil
}

// stopVoting records the first storage error. The replica does not vote from then on.
func (g *Registrar) stopVoting(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storageErr == nil {
		g.storageErr = &StorageError{Err: err}
	}
}

func (g *Registrar) unavailableReply(r Request) Reply {
	return Reply{
		Status: ReplyUnavailable,
		Kind:   r.Kind,
		From:   g.cfg.ID,
		Ballot: r.Ballot,
	}
}

// flushNotifications calls Config.OnDecided for the registers in the queue. It is called at the end
// of every method that may have learned a version, after all locks are released. If another
// goroutine is already making these calls, that goroutine makes the new ones too, so that calls
// neither overlap nor change their order.
func (g *Registrar) flushNotifications() {
	g.notifyMu.Lock()
	defer g.notifyMu.Unlock()
	if g.notifying {
		return
	}
	g.notifying = true
	for len(g.notifyQueue) > 0 {
		register := g.notifyQueue[0]
		g.notifyQueue = g.notifyQueue[1:]
		e := g.ReadLocal(register)
		if e.Version <= g.notified[register] {
			continue
		}
		g.notified[register] = e.Version
		g.notifyMu.Unlock()
		g.cfg.OnDecided(e)
		g.notifyMu.Lock()
	}
	g.notifying = false
}

// queueNotification adds a register to the queue of flushNotifications.
func (g *Registrar) queueNotification(register string) {
	if g.cfg.OnDecided == nil {
		return
	}
	g.notifyMu.Lock()
	defer g.notifyMu.Unlock()
	if !slices.Contains(g.notifyQueue, register) {
		g.notifyQueue = append(g.notifyQueue, register)
	}
}

// ReadLocal returns the newest version that this replica has stored; it sends no messages. The
// version may be out of date but never decreases.
func (g *Registrar) ReadLocal(register string) Entry {
	s := g.registerState(register)
	return s.entry(register)
}

// registerState returns the state of a register. Its audit trail and value are shared and must not
// be modified.
func (g *Registrar) registerState(name string) RegisterState {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.replica.State.get(name)
}

// History returns at most limit audit entries with versions above after, oldest first.
func (g *Registrar) History(register string, after uint64, limit int) []AuditEntry {
	s := g.registerState(register)
	trail := s.auditAfter(after)
	return slices.Clone(trail[:min(len(trail), max(limit, 0))])
}

// Versions returns the newest stored version of each register that has a value.
func (g *Registrar) Versions() map[string]uint64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	versions := map[string]uint64{}
	for name, s := range g.replica.State.Registers {
		if s.Version > 0 {
			versions[name] = s.Version
		}
	}
	return versions
}

// Entries returns the newest version of each register whose version is higher than in
// knownVersions, sorted by name.
func (g *Registrar) Entries(knownVersions map[string]uint64) []Entry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var entries []Entry
	for name, s := range g.replica.State.Registers {
		if s.Version > knownVersions[name] {
			entries = append(entries, s.entry(name))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Register < b.Register {
			return -1
		}
		return 1
	})
	return entries
}

// ReplicaSet returns the newest replica set that this replica has learned, and its version. For an
// empty replica it is Config.Replicas with version 0.
func (g *Registrar) ReplicaSet() ([]string, uint64) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if !g.replica.Ready {
		return g.cfg.Replicas, 0
	}
	return g.replica.State.ReplicaSet()
}
