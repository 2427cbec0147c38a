package reporter

import (
	"io"
	"net/http"
	"time"

	registries "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// PublishEvery is the time between two hand-overs of metrics to the scraped endpoint.
const PublishEvery = time.Second

// Metrics is the set of metrics of one host, served in the text format of Prometheus.
type Metrics struct {
	// Scope takes the values.
	Scope tally.Scope
	// Handler serves them.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns an empty set. Each host has a registry of its own, since one process may
// run several hosts.
func NewMetrics() *Metrics {
	registry := registries.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "sesamedrift",
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, PublishEvery)
	return &Metrics{
		Scope:   scope,
		Handler: r.HTTPHandler(),
		closer:  closer,
	}
}

// Close stops the goroutine that hands metrics over.
func (m *Metrics) Close() {
	// Closing only stops the goroutine.
	_ = m.closer.Close()
}
