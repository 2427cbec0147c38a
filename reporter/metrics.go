package reporter

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// PublishEvery is the interval at which metrics are published to the scraped endpoint.
const PublishEvery = time.Second

// Metrics is the set of metrics of one host, served in the text format of Prometheus.
type Metrics struct {
	// Scope creates the metrics and records their values.
	Scope tally.Scope
	// Handler serves the published values.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns an empty set, to be closed with Close. Each host has its own registry,
// since one process may run several hosts.
func NewMetrics() *Metrics {
	registry := promclient.NewRegistry()
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

// Close stops the goroutine that publishes the metrics.
func (m *Metrics) Close() {
	// The error is ignored, since closing only stops the goroutine.
	_ = m.closer.Close()
}
