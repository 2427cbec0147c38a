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
	for _, f := range published {
		scope := m.scope
		if f.status != "" {
			scope = scope.Tagged(map[string]string{"status": string(f.status)})
		}
		scope.Counter(f.metric).Inc(int64(*f.total(&c) - *f.total(&m.last)))
	}
	m.last = c
	m.scope.Gauge("tasks_queued").Update(float64(queued))
	m.scope.Gauge("tasks_running").Update(float64(running))
	m.scope.Gauge("upstreams_owned").Update(float64(upstreams))
}

func (m *metrics) close() {
	// Close only stops the reporting goroutine.
	_ = m.closer.Close()
}
