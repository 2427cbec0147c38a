package server

import (
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/messenger"
)

// Counters are totals since the start of a host.
type Counters struct {
	// Starts counts attempts that were sent to an upstream or to a peer.
	Starts uint64 `json:"starts" msgpack:"starts"`
	// Forwards counts attempts that were sent to a peer.
	Forwards uint64 `json:"forwards" msgpack:"forwards"`
	// Rejected counts attempts that certainly did not start the task.
	Rejected uint64 `json:"rejected" msgpack:"rejected"`
	// Lost counts attempts that may have started the task and whose answer was lost.
	Lost uint64 `json:"lost" msgpack:"lost"`
	// UnconfirmedStops counts requests to stop a task that the upstream has not confirmed.
	UnconfirmedStops uint64 `json:"unconfirmed-stops" msgpack:"unconfirmed-stops"`
	// Late counts answers that arrived after their job had ended.
	Late uint64 `json:"late" msgpack:"late"`
	// Complete, Failed, Refused, Unknown and Cancelled count the jobs with the outcome.
	Complete  uint64 `json:"complete" msgpack:"complete"`
	Failed    uint64 `json:"failed" msgpack:"failed"`
	Refused   uint64 `json:"refused" msgpack:"refused"`
	Unknown   uint64 `json:"unknown" msgpack:"unknown"`
	Cancelled uint64 `json:"cancelled" msgpack:"cancelled"`
}

// counterMetrics lists the totals with the names of the metrics that publish them.
var counterMetrics = []struct {
	metric string
	// status is the label of the metric "outcomes"; it is empty for the other metrics.
	status sesamedrift.Status
	total  func(c *Counters) *uint64
}{
	{metric: "task_starts", total: func(c *Counters) *uint64 { return &c.Starts }},
	{metric: "task_forwards", total: func(c *Counters) *uint64 { return &c.Forwards }},
	{metric: "task_rejections", total: func(c *Counters) *uint64 { return &c.Rejected }},
	{metric: "task_losses", total: func(c *Counters) *uint64 { return &c.Lost }},
	{metric: "task_stops_unconfirmed", total: func(c *Counters) *uint64 { return &c.UnconfirmedStops }},
	{metric: "late_answers", total: func(c *Counters) *uint64 { return &c.Late }},
	{metric: "outcomes", status: sesamedrift.Complete, total: func(c *Counters) *uint64 { return &c.Complete }},
	{metric: "outcomes", status: sesamedrift.Failed, total: func(c *Counters) *uint64 { return &c.Failed }},
	{metric: "outcomes", status: sesamedrift.Refused, total: func(c *Counters) *uint64 { return &c.Refused }},
	{metric: "outcomes", status: sesamedrift.Unknown, total: func(c *Counters) *uint64 { return &c.Unknown }},
	{metric: "outcomes", status: sesamedrift.Cancelled, total: func(c *Counters) *uint64 { return &c.Cancelled }},
}

// Add adds the totals of another host to c.
func (c *Counters) Add(o Counters) {
	for _, f := range counterMetrics {
		*f.total(c) += *f.total(&o)
	}
}

// Wasted returns the number of attempts that were rejected or answered too late.
func (c *Counters) Wasted() uint64 { return c.Rejected + c.Late }

// Counters returns the totals since the start of the host, or zeros after the host has stopped.
func (h *Host) Counters() Counters {
	var c Counters
	// The error means that the host has stopped; its totals are then no longer available.
	_ = h.dispatcher.call(func(time.Time) { c = h.dispatcher.stats })
	return c
}

// Traffic returns the totals of the internal protocol since the start of this host, over
// the connections that it opened and those that it accepted. HTTP is not included.
func (h *Host) Traffic() messenger.Stats {
	total := h.listener.Stats()
	for _, p := range h.peers {
		total.Add(p.conn.Stats())
	}
	return total
}
