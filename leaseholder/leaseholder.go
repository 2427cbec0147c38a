// Package leaseholder implements the protocol by which a host holds one upstream under a lease: it
// orders runs to start and stop, renews the lease, and reports how runs have ended.
//
// A Session makes the decisions and does no I/O. The caller sends the orders that TakePending
// returns, passes each response, or the fact that none arrived, to HandleResponse exactly once,
// and calls Tick periodically. The Session guarantees:
//
//   - Exactly one Ended event for each task that was started or watched, unless the session
//     closes. After this event the run certainly does not run on this upstream and will not
//     start there.
//   - A run counts as ended only if the upstream has reported its end, no longer lists it
//     after it was listed or stopped, or if the lease has certainly expired: even on the slowest clock
//     that an upstream may have, and within a Tenure, so that no other host has renewed it. A run that an
//     incarnation has listed also ends with that incarnation. A run that none has listed may have been
//     started by the next one, which must be asked (Session.Successor).
//   - A run whose start order was not answered counts as never started only if the upstream has accepted a stop order of it.
//     A refused order has had no effect.
//   - The fencing token of the session never decreases, so that delayed orders of a previous
//     leaseholder have no effect.
//
// A renewal also polls the upstream: its response lists the active runs and those that have ended.
//
// A Session is not safe for concurrent use. It reads no clock: the current time is an
// argument, and the time on the upstream's clock is taken from its responses.
package leaseholder

import (
	"cmp"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
)

// stopResendFactor is the multiple of Config.StopTime after which an acknowledged stop whose run
// is still listed is sent again.
const stopResendFactor = 4

// Config holds the time settings of a session.
type Config struct {
	// LeaseTime is how long runs may continue without a renewal. It is shorter than MaxLease.
	LeaseTime time.Duration
	// MaxLease is the longest lease that upstreams grant; a previous leaseholder may have
	// requested it.
	MaxLease time.Duration
	// RenewWait is how long an upstream may delay the response to a renewal if no run ends.
	// Together with ResponseTimeout it is shorter than LeaseTime.
	RenewWait time.Duration
	// ResponseTimeout is the time after which an order counts as unanswered. For a renewal,
	// RenewWait is added to it.
	ResponseTimeout time.Duration
	// IdlePollInterval is the time between two polls of an upstream without runs.
	IdlePollInterval time.Duration
	// MinBackoff is the first delay between two polls of an unresponsive upstream, and between two stop orders that are
	// refused; it doubles up to MaxBackoff.
	MinBackoff, MaxBackoff time.Duration
	// StopTime is how long an upstream takes to end a run that was stopped.
	StopTime time.Duration
	// MaxClockDrift is the fraction by which the clock of an upstream may run slow.
	MaxClockDrift float64
	// MaxOrderDelay is how long after it was sent an order that was not answered may still be executed, also by the next
	// incarnation of the upstream.
	MaxOrderDelay time.Duration
	// TimerMargin is added to the time at which a lease has expired and to StopTime, since timers
	// may fire late.
	TimerMargin time.Duration
	// MaxEnds is the largest number of ended runs that a response lists; the others follow once these are acknowledged.
	// 0 means no bound.
	MaxEnds int
	// OrphanTimeout is how long runs of a previous leaseholder continue at most until an entry host
	// claims them with Session.Watch. The caller stops them earlier if it learns that they are nobody's.
	OrphanTimeout time.Duration
}

type phase int

const (
	// startPending means that the start order is in flight.
	startPending phase = iota
	// confirmed means that the upstream has accepted the start or lists the run.
	confirmed
	// unconfirmed means that the start order was not answered.
	unconfirmed
)

// task is a run that the session tracks.
type task struct {
	Task
	phase phase
	// phaseSince is when the current phase began.
	phaseSince time.Time
	orderedAt  time.Time
	// found is set for runs that a previous leaseholder has started.
	found bool
	// listed is set once the incarnation of the session has listed the run. Until then it is not known which
	// incarnation has executed the start order.
	listed bool
	// unclaimed is set for runs that the session has not started itself, until an entry host
	// claims them.
	unclaimed bool
	// percent is the share of the work that was done at percentAt.
	percent   int
	percentAt time.Time

	stopRequested bool
	stopSentAt    time.Time // zero if no stop order is in flight
	stopAckedAt   time.Time // zero if no stop order was accepted
	// stopRetryAt is the time from which on a stop order that was not accepted is sent again, stopRefusals the number of
	// refusals in sequence.
	stopRetryAt  time.Time
	stopRefusals int
}

// watch is the request of an entry host for the end of a run that the session does not track.
type watch struct {
	Task
	requestedAt time.Time
	// stopRequested is set if the run is to be stopped if it is found.
	stopRequested bool
	// inherited is set for runs that this host has ordered before the upstream restarted. No other host has been the
	// leaseholder since, as far as the tenure shows, so that the lease of the run is bounded.
	inherited bool
	// answered is set for an inherited run whose start order was accepted.
	answered bool
}

// Session is the state of one held upstream.
type Session struct {
	cfg         Config
	upstream    discoverer.Upstream
	token       uint64
	incarnation uint64 // 0 until a response has contained it

	tasks map[sesamedrift.Run]*task
	// watches holds the unresolved watches. The response to the first renewal that is sent after
	// a watch was requested resolves it. The successor of a closed session takes them over.
	watches []watch

	ready bool
	// acquired is set once the upstream has listed its runs.
	acquired bool
	// closed is set when the lease is lost or the upstream has a new incarnation; replaced only if another
	// upstream has its address, so that all runs have ended.
	closed      bool
	replaced    bool
	handledSeq  uint64 // sequence number of the last ended run that was handled
	lastOrderID uint64
	failures    int // consecutive failed renewals

	pendingRenewals int       // renewals in flight
	nextRenewalAt   time.Time // when the next renewal is sent if none is in flight
	extraRenewalAt  time.Time // when one is sent in addition to those in flight; zero for never

	clock            int64 // upstream's clock in the newest response that contained it
	clockKnown       bool
	clockRequestedAt time.Time // when the order of that response was sent
	clockReceivedAt  time.Time // when that response arrived
	acceptedAt       time.Time // when the newest accepted order was sent
	leaseUntil       int64     // latest lease end that may have been ordered, on the upstream's clock
	leaseOrderedAt   time.Time // when the newest order with a lease end was sent

	orders []Order
	events []Event
}

// New returns a session that acquires the upstream with a fencing token. An upstream that has seen
// a higher token rejects the orders of the session.
func New(cfg Config, now time.Time, u discoverer.Upstream, token uint64) *Session {
	return &Session{
		cfg:           cfg,
		upstream:      u,
		token:         token,
		tasks:         map[sesamedrift.Run]*task{},
		nextRenewalAt: now,
	}
}

// TakePending returns and clears the orders to send and the events since the last call.
func (s *Session) TakePending() ([]Order, []Event) {
	orders, events := s.orders, s.events
	s.orders, s.events = nil, nil
	return orders, events
}

// Upstream returns the newest report about the upstream.
func (s *Session) Upstream() discoverer.Upstream { return s.upstream }

// Token returns the fencing token of the session.
func (s *Session) Token() uint64 { return s.token }

// Incarnation returns the incarnation of the upstream, or 0 until a response has contained it.
func (s *Session) Incarnation() uint64 { return s.incarnation }

// Ready reports whether the upstream responds and the session is not closed.
func (s *Session) Ready() bool { return s.ready && !s.closed }

// Acquired reports whether the upstream has listed its runs to the session.
func (s *Session) Acquired() bool { return s.acquired }

// Busy reports whether Tick has more to do than to poll the upstream at IdlePollInterval.
func (s *Session) Busy() bool { return !s.closed && len(s.tasks)+len(s.watches) > 0 }

// OwnsRuns reports whether there are runs of the session, or of its predecessor, that have not ended as far as is known.
func (s *Session) OwnsRuns() bool {
	return len(s.tasks) > 0 || slices.ContainsFunc(s.watches, func(w watch) bool { return w.inherited })
}

// Tasks returns the runs that are or may be active, with their progress, sorted by run.
func (s *Session) Tasks() []Progress {
	all := make([]Progress, 0, len(s.tasks))
	for _, t := range s.tasks {
		all = append(all, Progress{
			Task:    t.Task,
			RunTime: t.percentAt.Sub(t.orderedAt),
			Percent: t.percent,
		})
	}
	slices.SortFunc(all, func(a, b Progress) int { return compareRuns(a.Task.Run, b.Task.Run) })
	return all
}

// Progress is the latest known progress of a run.
type Progress struct {
	Task Task
	// Percent is the share of the work that was done after the run had been active for RunTime.
	// RunTime is zero or negative if the upstream has not listed the run yet.
	Percent int
	RunTime time.Duration
}

func compareRuns(a, b sesamedrift.Run) int {
	return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Number, b.Number))
}
