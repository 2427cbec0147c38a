// Package claimer runs one single-decree consensus per request key among the hosts of a
// failure domain, to decide which host may run a submission. A submission that arrives
// more than once, on any hosts and in any order, starts at most once.
//
// Each host of the domain's view has a Table, in memory, with one record for each request
// key. The host that wants to run a submission, its coordinator, writes a Claim to a
// majority of the tables before anything starts. All first claims use ballot 0, which a
// table accepts only if it has no record of the key. A host that finds a claim of a
// coordinator that is no longer in the view prepares a higher ballot on a majority and
// then proposes its own claim with that ballot.
//
// A table answers in a view only after a sync at the view change. Sync fences the members of
// the previous view, which then reject all requests of that view and earlier ones, and merges
// the records of a majority of them into the table of this host.
//
// # Guarantee
//
// A host may start a submission if Claim has returned Granted for the phase started, or if
// Start has returned nil for a claim that was granted in the phase queued. Of all hosts and
// copies of a submission, at most one gets that far until the key is older than the
// retention time. After that, the key is rejected as Expired. This holds for any loss,
// delay and reordering of messages, crashes and view changes, as long as
//
//   - the views come from a register that accepts one successor for each view, and a
//     process that restarts has a higher incarnation and an empty table,
//   - clocks of hosts and clients differ by at most Config.ClockMargin,
//   - no caller starts work under a granted claim after its key has expired.
//
// A submission whose coordinator is lost after tasks may have started is permanently
// Unknown. If the tables of a majority of the previous view cannot be read at a view
// change, keys created before the horizon, a time shortly after the change, are Unknown
// unless their outcome is found.
//
// # Duties of the caller
//
// The caller starts work only after Granted (phase started) or after Start returned nil,
// and checks its lease (leaser.Leaser.Owns or HoldsLease) between that and the start. It
// calls Sync after it has installed a view, until Sync returns no error, and proposes no
// view before that. It answers the requests of other hosts with Table.Handle and calls
// Claimer.Expire regularly.
//
// Unavailable means that no majority answered. This attempt starts nothing, but another
// copy of the submission may run elsewhere: the answer to the caller is "refused" only if
// no other copy can exist, because this host created the key for this very request, and
// "unknown" otherwise. Decision.MaybeRecorded reports whether the attempt may have left a
// record in a table; no other host completes such a record.
//
// A Claimer and a Table are safe for concurrent use. They do not read the clock; callers
// pass the time.
package claimer
