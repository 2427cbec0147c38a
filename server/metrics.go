package server

import (
	"io"
	"net/http"
	"time"

	registries "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is the time between two hand-overs of metrics to the scraped endpoint.
const reportEvery = time.Second

// Counters are totals since the start of a host.
type Counters struct {
	// Starts counts attempts that were sent to an upstream or to a peer.
	Starts uint64 `json:"starts" msgpack:"starts"`
	// Forwards counts attempts that were sent to a peer.
	Forwards uint64 `json:"forwards" msgpack:"forwards"`
	// Rejected counts attempts that were answered "not started".
	Rejected uint64 `json:"rejected" msgpack:"rejected"`
	// Lost counts attempts whose answer did not come.
	Lost uint64 `json:"lost" msgpack:"lost"`
	// Late counts answers that no caller waited for any more.
	Late uint64 `json:"late" msgpack:"late"`
	// Complete, Failed, Refused, Unknown and Cancelled count outcomes.
	Complete  uint64 `json:"complete" msgpack:"complete"`
	Failed    uint64 `json:"failed" msgpack:"failed"`
	Refused   uint64 `json:"refused" msgpack:"refused"`
	Unknown   uint64 `json:"unknown" msgpack:"unknown"`
	Cancelled uint64 `json:"cancelled" msgpack:"cancelled"`
}

// Add adds the totals of another host.
func (c *Counters) Add(o Counters) {
	c.Starts += o.Starts
	c.Forwards += o.Forwards
	c.Rejected += o.Rejected
	c.Lost += o.Lost
	c.Late += o.Late
	c.Complete += o.Complete
	c.Failed += o.Failed
	c.Refused += o.Refused
	c.Unknown += o.Unknown
	c.Cancelled += o.Cancelled
}

// Wasted returns the attempts that brought nobody an answer.
func (c *Counters) Wasted() uint64 { return c.Rejected + c.Late }

// metrics publishes the state of a host in the text format of Prometheus.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	last    Counters
}

func newMetrics() *metrics {
	// Each host has a registry of its own, since one process may run several hosts.
	registry := registries.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "sesamedrift",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &metrics{
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
	}
}

// update publishes the present state. It is called by the dispatcher only.
func (m *metrics) update(c Counters, queued, running, upstreams int) {
	// A counter is published from its first use on, so that each one is used from the start.
	count := func(name string, now, before uint64) {
		m.scope.Counter(name).Inc(int64(now - before))
	}
	outcome := func(status string, now, before uint64) {
		m.scope.Tagged(map[string]string{"status": status}).Counter("outcomes").Inc(int64(now - before))
	}
	count("task_starts", c.Starts, m.last.Starts)
	count("task_forwards", c.Forwards, m.last.Forwards)
	count("task_rejections", c.Rejected, m.last.Rejected)
	count("task_losses", c.Lost, m.last.Lost)
	count("late_answers", c.Late, m.last.Late)
	outcome("complete", c.Complete, m.last.Complete)
	outcome("failed", c.Failed, m.last.Failed)
	outcome("refused", c.Refused, m.last.Refused)
	outcome("unknown", c.Unknown, m.last.Unknown)
	outcome("cancelled", c.Cancelled, m.last.Cancelled)
	m.last = c
	m.scope.Gauge("tasks_queued").Update(float64(queued))
	m.scope.Gauge("tasks_running").Update(float64(running))
	m.scope.Gauge("upstreams_owned").Update(float64(upstreams))
}

func (m *metrics) close() {
	// Close only stops the reporting goroutine.
	_ = m.closer.Close()
}
