package leaseholder

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

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
	// StopRefused means that the upstream has refused the stop order of the run, and done nothing.
	StopRefused EventKind = "stop-refused"
)

// Event reports a change to the caller of the session. Result and Duration are set only for Ended, Task and Reason
// also for StopRefused.
type Event struct {
	Kind   EventKind
	Task   Task
	Result RunResult
	Reason Reason
	// Duration is the time from the start order to the end; 0 for a run that a previous leaseholder has started.
	Duration time.Duration
}
