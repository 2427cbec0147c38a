// Package leaser implements the membership and lease protocol of a failure domain: it decides
// which hosts the domain consists of, and which of them may start work on which upstream.
//
// The hosts of a domain form a numbered View, which changes only through a register that accepts
// one successor for each view. Every upstream has exactly one owner in a view: the member with
// the highest rendezvous hash. A member may start work on an upstream that it owns only while it
// holds a lease: a majority of the members has acknowledged, in the same view, heartbeats that it
// sent less than LeaseTime ago.
//
// # Guarantee
//
// Owns is never true on two processes for one upstream at the same time, for any loss, delay,
// duplication or reordering of messages, and for any one-way partitions, crashes and restarts, as
// long as
//
//   - the register accepts at most one view for each number,
//   - the clocks of two hosts drift apart by less than DriftMargin over the time LeaseTime +
//     DriftMargin (the clocks need not show the same time),
//   - only one process runs under a host name, with a higher incarnation at each start.
//
// Three rules give this guarantee. First, a member never extends a lease in a lower view than its
// own: its acknowledgement carries the number of its own view and counts only if that is the view
// of the heartbeat. Second, after a view change a member waits before it starts work on an
// upstream that it did not own before. The wait is LeaseTime + DriftMargin and begins when the
// view is settled on this member: when enough members of the previous view (View.PreviousMembers)
// are known to have installed the new view that the remaining ones are not a majority. Third, a
// view is proposed only when the current one is settled, so that all views before the current one
// have ended.
//
// A view that retains too few of the previous members to be settled, for example one of three, is
// therefore proposed only when the missing hosts have restarted with a higher incarnation, or if
// Config.FenceAfter is set. With FenceAfter, a member that lacks acknowledgements of some members
// of its view loses its lease FenceAfter after the register last confirmed the view
// (ConfirmView). A view then counts as settled FenceAfter plus the clock drift over this time
// after the first member of the previous view is known to have left that view.
//
// # Duties of the caller
//
// Every HeartbeatEvery the caller sends Heartbeat to all Recipients. It passes received messages
// to HandleHeartbeat and HandleAck, reads the register when NewestViewNumber is above the number
// of View, and proposes the view that NextView returns to the register with the number of the
// current view as the expected version. It calls Owns immediately before it starts work. A
// process that is not a member sends a request to join to all hosts of the domain every
// HeartbeatEvery; they pass it to HandleJoin.
//
// A Leaser reads no clock and is not safe for concurrent use. The same holds for a Directory,
// which lists the announced upstreams and their changes.
package leaser
