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
	"sesamedrift.example/sesamedrift/aligner"
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
	// MinBackoff is the first delay between two polls of an unresponsive upstream; it doubles up
	// to MaxBackoff.
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
	// OrphanTimeout is how long runs of a previous leaseholder continue at most until an entry host
	// claims them with Session.Watch. The caller stops them earlier if it learns that they are nobody's.
	OrphanTimeout time.Duration
}

// RunResult says how a run has ended.
type RunResult string

// Upstreams report the results from Done to Alone; the session itself sets Lost and Rejected, and
// LeaseExpired for an unresponsive upstream.
const (
	Done         RunResult = "done"
	Failed       RunResult = "failed"
	Stopped      RunResult = "stopped"
	LeaseExpired RunResult = "lapsed"
	// Broken and Alone are results of tasks that must run at the same time as others: another one
	// has ended, or the others did not start in time.
	Broken RunResult = "broken"
	Alone  RunResult = "alone"
	// Lost means that the run is not active any more; how it ended is unknown.
	Lost RunResult = "lost"
	// Rejected means that the run never started.
	Rejected RunResult = "rejected"
)

// Reason says why an order or a run was rejected.
type Reason string

// Upstreams reject orders with the reasons from Fenced to Malformed; the session itself rejects
// runs with the others.
const (
	// Fenced means that another leaseholder has used a higher fencing token.
	Fenced Reason = "fenced"
	// StaleRun means that this run or a later one of the task was stopped or has ended there.
	StaleRun Reason = "old-run"
	// OrderExpired means that the lease in the order has already expired.
	OrderExpired Reason = "late-order"
	// NoCapacity means that the free capacity does not cover the demand of the task.
	NoCapacity Reason = "no-room"
	// Unhealthy means that the upstream currently accepts no runs.
	Unhealthy Reason = "unhealthy"
	// Malformed means that the upstream cannot decode the order.
	Malformed Reason = "malformed"
	// Unreachable means that the upstream does not respond; no order was sent.
	Unreachable Reason = "unreachable"
	// LeavingUpstream means that the upstream accepts no new runs; no order was sent.
	LeavingUpstream Reason = "leaving"
	// EvacuatedDomain means that no run may start in the failure domain of the upstream, or that it is not
	// known whether it may; no order was sent.
	EvacuatedDomain Reason = "evacuated"
	// Unconfirmed means that the start order was not answered and has been withdrawn.
	Unconfirmed Reason = "no-answer"
)

// Task is one run of a task that an entry host has requested on the upstream.
type Task struct {
	Run sesamedrift.Run `msgpack:"run"`
	// Entry is the address of the host that is notified when the run ends.
	Entry  string                `msgpack:"entry"`
	Demand sesamedrift.Resources `msgpack:"demand"`
	// Content specifies the work and is passed to the upstream unchanged.
	Content string `msgpack:"content"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	StartOrder OrderKind = "start"
	StopOrder  OrderKind = "stop"
	// RenewOrder renews the lease, acknowledges ended runs and requests the list of runs.
	RenewOrder OrderKind = "hold"
)

// Order is one request to the upstream.
type Order struct {
	Kind OrderKind
	ID   uint64
	// Incarnation is the incarnation of the upstream that the order is for, or 0 for any.
	Incarnation uint64
	Token       uint64
	// LeaseUntil is the time on the upstream's clock until which its runs may continue, in
	// milliseconds; 0 leaves the lease as it is.
	LeaseUntil int64
	Run        sesamedrift.Run // of a start or stop
	Content    string          // of a start
	AckedSeq   uint64          // of a renewal: ended runs up to this sequence number are acknowledged
	MaxWait    time.Duration   // of a renewal: how long the upstream may delay its response
	SentAt     time.Time
	// Timeout is the time after SentAt at which the caller gives up waiting for a response.
	Timeout time.Duration
}

// Status says whether an order was accepted, or why it was not.
type Status string

// The statuses of orders. OtherIncarnation means that the addressed incarnation has ended.
const (
	Accepted         Status = "accepted"
	Refused          Status = "refused"
	NoResponse       Status = "no-answer"
	OtherIncarnation Status = "other-life"
)

// ListedRun is an active run in a response to a renewal.
type ListedRun struct {
	Run sesamedrift.Run
	// Percent is the share of the work that is done.
	Percent int
}

// EndedRun is a run in a response to a renewal that has ended. Seq grows with each run that ends on
// the upstream.
type EndedRun struct {
	Seq    uint64
	Run    sesamedrift.Run
	Result RunResult
}

// Response is the response to an order, or with NoResponse the fact that none arrived in time.
type Response struct {
	Order  Order
	Status Status
	Reason Reason
	// Clock is the time on the upstream's clock in milliseconds, if HasClock is set.
	Clock    int64
	HasClock bool
	// Incarnation is that of the upstream that responded, or 0 if the response does not contain it.
	Incarnation uint64
	Running     []ListedRun
	Ended       []EndedRun
}

// EventKind distinguishes the events of a session.
type EventKind string

// The kinds of events.
const (
	// Ended means that the run has ended with Result.
	Ended EventKind = "ended"
	// Ready means that the upstream responds and its active runs are known.
	Ready EventKind = "ready"
	// Unresponsive means that the upstream does not respond.
	Unresponsive EventKind = "silent"
	// LeaseLost means that another host has become the leaseholder of the upstream.
	LeaseLost EventKind = "overtaken"
	// Replaced means that another upstream has the address.
	Replaced EventKind = "replaced"
	// Restarted means that the upstream has a new incarnation. The caller continues with the Successor of the
	// session.
	Restarted EventKind = "restarted"
)

// Event reports a change to the caller of the session. Task, Result, Reason and Duration are set
// only for Ended.
type Event struct {
	Kind   EventKind
	Task   Task
	Result RunResult
	Reason Reason
	// Duration is the time from the start order to the end; 0 for a run that a previous leaseholder has started.
	Duration time.Duration
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
	stopAckedAt   time.Time // zero if no stop was acknowledged
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

// Start sends the start order of a run. A run that the session tracks already is claimed for the
// entry host of t; a run that cannot be started now is rejected with an Ended event.
func (s *Session) Start(now time.Time, t Task) {
	switch {
	case s.tasks[t.Run] != nil:
		s.tasks[t.Run].claim(t)
		return
	case !s.Ready():
		s.reportRejected(t, Unreachable)
		return
	case s.upstream.State != discoverer.Serving:
		s.reportRejected(t, LeavingUpstream)
		return
	}
	s.tasks[t.Run] = &task{
		Task:       t,
		phase:      startPending,
		phaseSince: now,
		orderedAt:  now,
	}
	o := s.newOrder(now, StartOrder, s.cfg.ResponseTimeout)
	o.Run = t.Run
	o.Content = t.Content
	o.LeaseUntil = s.newLeaseEnd(now)
	s.send(o)
	s.nextRenewalAt = now
}

// claim assigns a run to the entry host that requests it.
func (t *task) claim(wanted Task) {
	t.unclaimed = false
	t.Entry = wanted.Entry
	t.Demand = wanted.Demand
	t.Content = wanted.Content
}

// answered reports whether the upstream has accepted the start order or listed the run.
func (t *task) answered() bool { return t.phase == confirmed }

func (s *Session) reportRejected(t Task, reason Reason) {
	s.events = append(s.events, Event{
		Kind:   Ended,
		Task:   t,
		Result: Rejected,
		Reason: reason,
	})
}

// Watch requests an Ended event for a run that a previous leaseholder has started. It has no effect
// on a session that has lost the lease, since the state of the run is then unknown.
func (s *Session) Watch(now time.Time, t Task) {
	watched := slices.ContainsFunc(s.watches, func(w watch) bool { return w.Run == t.Run })
	switch {
	case s.tasks[t.Run] != nil:
		s.tasks[t.Run].claim(t)
	case s.replaced:
		s.reportWatched(t, Lost)
	case !s.closed && !watched:
		s.watches = append(s.watches, watch{
			Task:        t,
			requestedAt: now,
		})
		s.scheduleRenewal(now)
	}
}

func (s *Session) reportWatched(t Task, result RunResult) {
	s.events = append(s.events, Event{
		Kind:   Ended,
		Task:   t,
		Result: result,
	})
}

// Stop sends the stop order of a run, once it is found if it is only watched. An Ended event reports the end of the run.
func (s *Session) Stop(now time.Time, run sesamedrift.Run) {
	if t := s.tasks[run]; t != nil {
		if !t.stopRequested {
			t.stopRequested = true
			s.sendStop(now, t)
		}
		return
	}
	for i := range s.watches {
		if s.watches[i].Run == run {
			s.watches[i].stopRequested = true
		}
	}
}

// Unclaimed returns the runs that were found at least the given time ago and that no entry host has claimed, without
// those that are being stopped, sorted by run.
func (s *Session) Unclaimed(now time.Time, age time.Duration) []sesamedrift.Run {
	found := s.tasksWhere(func(t *task) bool { return t.unclaimed && !t.stopRequested && now.Sub(t.phaseSince) >= age })
	runs := make([]sesamedrift.Run, 0, len(found))
	for _, t := range found {
		runs = append(runs, t.Run)
	}
	return runs
}

// StopUnclaimed sends the stop order of a run unless an entry host has claimed it, and reports whether it did.
func (s *Session) StopUnclaimed(now time.Time, run sesamedrift.Run) bool {
	t := s.tasks[run]
	if t == nil || !t.unclaimed || t.stopRequested {
		return false
	}
	s.Stop(now, run)
	return true
}

// StopAll stops the runs of an entry host and drops its watches.
func (s *Session) StopAll(now time.Time, entry string) {
	for _, t := range s.sortedTasks() {
		if t.Entry == entry {
			s.Stop(now, t.Run)
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool { return w.Entry == entry })
}

// DisownAll lets the runs of an entry host count as found now: they are stopped unless it claims them again. It
// drops the watches of the entry host.
func (s *Session) DisownAll(now time.Time, entry string) {
	for _, t := range s.tasks {
		if t.Entry == entry && !t.unclaimed {
			t.unclaimed = true
			t.phaseSince = now
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool { return w.Entry == entry })
}

func (s *Session) sortedTasks() []*task {
	return s.tasksWhere(func(*task) bool { return true })
}

// tasksWhere returns the tasks that a function accepts, sorted by run.
func (s *Session) tasksWhere(accept func(t *task) bool) []*task {
	var all []*task
	for _, t := range s.tasks {
		if accept(t) {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *task) int { return compareRuns(a.Run, b.Run) })
	return all
}

func (s *Session) sendStop(now time.Time, t *task) {
	t.stopSentAt = now
	o := s.newOrder(now, StopOrder, s.cfg.ResponseTimeout)
	o.Run = t.Run
	s.send(o)
}

func (s *Session) newOrder(now time.Time, kind OrderKind, timeout time.Duration) Order {
	s.lastOrderID++
	return Order{
		Kind:        kind,
		ID:          s.lastOrderID,
		Incarnation: s.incarnation,
		Token:       s.token,
		SentAt:      now,
		Timeout:     timeout,
	}
}

func (s *Session) send(o Order) {
	s.leaseUntil = max(s.leaseUntil, o.LeaseUntil)
	if o.LeaseUntil > 0 {
		s.leaseOrderedAt = o.SentAt
	}
	s.orders = append(s.orders, o)
}

// newLeaseEnd returns the end of a lease that starts now, or 0 if the clock of the upstream is
// unknown. The upstream's clock is at most its last reading plus the time since that reading was
// requested.
func (s *Session) newLeaseEnd(now time.Time) int64 {
	if !s.clockKnown {
		return 0
	}
	return s.clock + (now.Sub(s.clockRequestedAt) + s.cfg.LeaseTime).Milliseconds()
}

// Tick sends the orders that are due and ends the runs whose lease has expired within the tenure.
func (s *Session) Tick(now time.Time, tenure Tenure) {
	if s.closed {
		return
	}
	if s.pendingRenewals == 0 && !now.Before(s.nextRenewalAt) {
		s.renew(now, s.renewWait())
	} else if !s.extraRenewalAt.IsZero() && !now.Before(s.extraRenewalAt) {
		s.extraRenewalAt = time.Time{}
		s.renew(now, 0)
	}
	for _, t := range s.expiring(now, tenure) {
		if tenure.Until.After(s.expiresAt(t, tenure)) {
			s.assertExpired(now, t, tenure)
			s.end(now, t, LeaseExpired, "")
		}
	}
	s.expireWatches(now, tenure)
	for _, t := range s.tasksWhere(func(t *task) bool { return s.needsStop(now, t) }) {
		t.stopRequested = true
		s.sendStop(now, t)
	}
}

// needsStop reports whether a stop order is due for a run: nobody has claimed it in time, or an earlier
// stop order was not answered.
func (s *Session) needsStop(now time.Time, t *task) bool {
	if !t.stopRequested {
		return t.unclaimed && now.Sub(t.phaseSince) >= s.cfg.OrphanTimeout
	}
	return t.stopAckedAt.IsZero() && t.stopSentAt.IsZero() && s.ready
}

// renewWait returns how long the upstream may delay the response to the next renewal: not at all if
// its state is unknown or it has no runs.
func (s *Session) renewWait() time.Duration {
	if !s.ready || len(s.tasks) == 0 {
		return 0
	}
	return s.cfg.RenewWait
}

func (s *Session) renew(now time.Time, wait time.Duration) {
	o := s.newOrder(now, RenewOrder, wait+s.cfg.ResponseTimeout)
	// An unresponsive upstream may have restarted and number its ends anew, so that it would forget ends that this host
	// has not seen.
	if s.ready {
		o.AckedSeq = s.handledSeq
	}
	o.MaxWait = wait
	// A renewal of an unresponsive upstream does not extend the lease: the upstream may apply it
	// although the response is lost, and the time at which the lease has expired would never be
	// known.
	if len(s.tasks) > 0 && s.ready {
		o.LeaseUntil = s.newLeaseEnd(now)
	}
	s.pendingRenewals++
	s.send(o)
}

// scheduleRenewal schedules an additional renewal, even while another one is in flight.
func (s *Session) scheduleRenewal(at time.Time) {
	if s.extraRenewalAt.IsZero() || at.Before(s.extraRenewalAt) {
		s.extraRenewalAt = at
	}
}

// HandleResponse handles the response to an order, or the fact that none arrived. It must be called
// once for each order.
func (s *Session) HandleResponse(now time.Time, resp Response) {
	if resp.Order.Kind == RenewOrder {
		s.pendingRenewals--
	}
	if s.closed {
		return
	}
	if resp.Incarnation != 0 && resp.Incarnation < s.incarnation {
		// The response of an earlier incarnation was overtaken by one of the present incarnation.
		resp = Response{
			Order:  resp.Order,
			Status: NoResponse,
		}
	}
	if resp.Status != NoResponse && s.checkIncarnation(now, resp) {
		return
	}
	if resp.HasClock {
		s.recordClock(now, resp)
	}
	if resp.Status == Accepted && resp.Order.SentAt.After(s.acceptedAt) {
		s.acceptedAt = resp.Order.SentAt
	}
	if resp.Status == Refused && resp.Reason == Fenced && resp.Order.Token >= s.token {
		s.closed = true
		s.events = append(s.events, Event{Kind: LeaseLost})
		return
	}
	switch resp.Order.Kind {
	case StartOrder:
		s.handleStartResponse(now, resp)
	case StopOrder:
		s.handleStopResponse(now, resp)
	case RenewOrder:
		s.handleRenewResponse(now, resp)
	}
}

func (s *Session) recordClock(now time.Time, resp Response) {
	if s.clockKnown && resp.Order.SentAt.Before(s.clockRequestedAt) {
		return
	}
	s.clock = resp.Clock
	s.clockKnown = true
	s.clockRequestedAt = resp.Order.SentAt
	s.clockReceivedAt = now
}

func (s *Session) handleStartResponse(now time.Time, resp Response) {
	t := s.tasks[resp.Order.Run]
	if t == nil || t.phase != startPending {
		return
	}
	switch resp.Status {
	case Accepted:
		t.phase = confirmed
		t.phaseSince = now
	case Refused:
		s.end(now, t, Rejected, resp.Reason)
	case NoResponse:
		t.phase = unconfirmed
		t.phaseSince = now
		s.scheduleRenewal(now)
	case OtherIncarnation:
	}
}

func (s *Session) handleStopResponse(now time.Time, resp Response) {
	t := s.tasks[resp.Order.Run]
	if t == nil {
		return
	}
	t.stopSentAt = time.Time{}
	if resp.Status == NoResponse {
		return
	}
	t.stopAckedAt = now
	s.scheduleRenewal(now.Add(s.cfg.StopTime + s.cfg.TimerMargin))
}

func (s *Session) handleRenewResponse(now time.Time, resp Response) {
	if resp.Status != Accepted {
		s.handleRenewFailure(now)
		return
	}
	s.failures = 0
	for _, e := range resp.Ended {
		if e.Seq <= s.handledSeq {
			continue
		}
		s.handledSeq = e.Seq
		if t := s.tasks[e.Run]; t != nil {
			s.end(now, t, e.Result, "")
		}
	}
	s.reconcile(now, resp)
	if !s.ready {
		s.ready = true
		s.events = append(s.events, Event{Kind: Ready})
	}
	s.resolveWatches(now, resp)
	s.nextRenewalAt = now
	if len(s.tasks) == 0 {
		// The polls of all idle upstreams are sent at the same time.
		s.nextRenewalAt = now.Add(aligner.Until(now, s.cfg.IdlePollInterval))
	}
}

func (s *Session) handleRenewFailure(now time.Time) {
	if s.pendingRenewals > 0 {
		return
	}
	s.nextRenewalAt = now.Add(min(s.cfg.MinBackoff<<min(s.failures, 10), s.cfg.MaxBackoff))
	if s.failures == 0 {
		s.nextRenewalAt = now
	}
	s.failures++
	if s.ready {
		s.ready = false
		s.events = append(s.events, Event{Kind: Unresponsive})
	}
}

// reconcile compares the active runs that the upstream lists with those that the session tracks.
func (s *Session) reconcile(now time.Time, resp Response) {
	listed := make(map[sesamedrift.Run]bool, len(resp.Running))
	for _, r := range resp.Running {
		listed[r.Run] = true
		t := s.tasks[r.Run]
		if t == nil {
			t = &task{
				Task:       Task{Run: r.Run},
				phase:      confirmed,
				phaseSince: now,
				orderedAt:  now,
				found:      true,
				unclaimed:  true,
			}
			s.tasks[r.Run] = t
			s.leaseUntil = max(s.leaseUntil, resp.Clock+s.cfg.MaxLease.Milliseconds())
		}
		if t.phase != confirmed {
			t.phase = confirmed
			t.phaseSince = now
		}
		t.listed = true
		t.percent = r.Percent
		t.percentAt = now
		if !t.stopAckedAt.IsZero() && resp.Order.SentAt.After(t.stopAckedAt.Add(stopResendFactor*s.cfg.StopTime)) {
			t.stopAckedAt = time.Time{}
		}
	}
	for _, t := range s.tasksWhere(func(t *task) bool { return !listed[t.Run] }) {
		s.handleUnlisted(now, t, resp.Order.SentAt)
	}
}

// handleUnlisted handles a run that is missing in the response to a renewal that was sent at the
// given time.
func (s *Session) handleUnlisted(now time.Time, t *task, sent time.Time) {
	stopEffective := !t.stopAckedAt.IsZero() && sent.After(t.stopAckedAt.Add(s.cfg.StopTime))
	switch {
	case t.phase == confirmed && !sent.Before(t.phaseSince):
		s.end(now, t, Lost, "")
	case t.phase == unconfirmed && stopEffective:
		s.end(now, t, Rejected, Unconfirmed)
	case t.phase == unconfirmed && !t.stopRequested && !sent.Before(t.phaseSince):
		t.stopRequested = true
		s.sendStop(now, t)
	}
}

func (s *Session) end(now time.Time, t *task, result RunResult, reason Reason) {
	delete(s.tasks, t.Run)
	if t.unclaimed {
		return
	}
	e := Event{
		Kind:   Ended,
		Task:   t.Task,
		Result: result,
		Reason: reason,
	}
	if !t.found {
		e.Duration = now.Sub(t.orderedAt)
	}
	s.events = append(s.events, e)
}

// resolveWatches resolves the watches of runs that a response lists, and those that were requested before its renewal
// was sent. If it lists no end of a run, the response to an earlier renewal proves nothing: another leaseholder may have
// started the run since.
func (s *Session) resolveWatches(now time.Time, resp Response) {
	if len(s.watches) == 0 {
		return
	}
	ended := make(map[sesamedrift.Run]RunResult, len(resp.Ended))
	for _, e := range resp.Ended {
		ended[e.Run] = e.Result
	}
	sent := resp.Order.SentAt
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool {
		t := s.tasks[w.Run]
		result, hasEnded := ended[w.Run]
		switch {
		case t != nil:
			t.claim(w.Task)
			if w.stopRequested {
				s.Stop(now, w.Run)
			}
		case hasEnded:
			s.reportWatched(w.Task, result)
		case !sent.Before(w.requestedAt):
			s.reportWatched(w.Task, Lost)
		default:
			return false
		}
		return true
	})
	if len(s.watches) > 0 {
		s.scheduleRenewal(sent)
	}
}
