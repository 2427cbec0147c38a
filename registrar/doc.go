// Package registrar implements replicated, versioned registers: a small set of replicas (hosts
// with a disk) decides each version of a register by Paxos and stores the register's current value
// with an audit trail of its versions.
//
// # Guarantees
//
// Each version of a register is decided once, by ballots among a majority of the replicas. Of all
// changes that expect the same version exactly one is accepted. The result of a change depends
// only on the decided version Expected+1, so it is the same through every replica and after every
// restart. Read returns a version that is at least as new as every change whose result was
// returned before. ReadLocal may return an older version, but its versions never decrease while the
// process runs or after a restart with the stored state. A replica sends the reply to a protocol
// step only after the record of the step is durable.
//
// The guarantees hold while messages are lost, delayed, reordered or delivered twice, while
// processes crash and restart, and while fewer than a majority of the replicas have lost their
// data folders at the same time. They do not depend on clocks; times are only recorded in the
// audit trail. A read or a change succeeds only if a majority of the replicas votes and can be
// reached. Forged messages and undetected corruption of stored state are not covered: the journal
// and the transport must detect corruption.
//
// # Duties of the caller
//
// Append and Snapshot must be durable when they return nil. The recovered state must be complete:
// if the data folder is missing, corrupt or was restored from a copy, the caller starts the
// replica with Config.Empty. An empty replica does not vote; the caller calls Repair until it
// succeeds. Repair copies the state of a majority of the set, not counting the replica
// itself (of all other replicas if these are fewer). Once it has succeeded, another replica may
// lose its state.
//
// After a failed Append or Snapshot the replica never votes again. The caller creates a new
// Registrar from the recovered state with Config.Rewrite, or restarts the process.
//
// The caller calls Sync from time to time on replicas, and uses Versions, Entries and Cache to
// copy entries to hosts without a disk.
//
// If the result of a change is Unavailable, or no result arrives, the caller sends the change
// again with the same identifier, expected version and value. It must not use the identifier for
// another change.
//
// # First start
//
// The operator sets Config.Bootstrap on all replicas of a set that has never run, and removes it
// after the first start. A bootstrapping replica starts when each other replica of the set has
// answered that it waits for the same start or has started without data, so all replicas must
// be running at the first start. Bootstrap has no effect on a replica that has its state. If
// Bootstrap is set by mistake on a replica that has lost its data folder while another replica
// holds data, the replica is repaired as without Bootstrap. The only harmful mistake is to set
// Bootstrap while a majority has lost its data folders and no remaining replica holds data:
// the registers then start again from version 0. Without Bootstrap such a set does not start at
// all. If a majority of the data folders is lost but another replica holds data, Bootstrap does
// not start the set either.
//
// # Replica set
//
// The register ReplicaSetRegister holds the set of replicas as JSON (EncodeReplicas). Before
// its first change the set is the one that was configured at the first start. From then on
// Config.Replicas is only the list of replicas to which an empty replica sends its first repair
// request. A change adds or removes one replica.
//
// Decided versions survive a change of the set for two reasons. First, any majority of the set
// before the change and any majority of the set after it have a member in common, and a replica
// votes only in rounds of the newest set that it has learned. A round in the new set therefore
// receives every vote that counted in the old one. Second, before the set is changed again,
// the proposer runs a round for every register in the current set. A majority of the current set
// then has every version that was decided in older sets, and the same argument holds for the next
// change.
//
// A replica to be added is started with Config.Empty and repaired before or after the change; a
// removed one is stopped after the change.
//
// # Bounds
//
// The audit trail of a register holds its last 10,000 versions, that of a register whose
// name begins with "view-" its last 100. The audit trail is also the only record of change
// identifiers: a change that is sent again after more newer versions than the trail holds gets
// a *CompactedError. A change with the status Conflict leaves no audit entry. A reply to a
// repair or to a replica that catches up carries complete audit trails, about 2 MB for a full one;
// the transport must accept messages of that size. Values and audit entries are shared between
// calls and must not be modified.
package registrar
