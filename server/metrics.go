package server

import (
	"sesamedrift.example/sesamedrift/reporter"
)

// metrics publishes the counters and the load of a host. last holds the published totals.
type metrics struct {
	*reporter.Metrics
	last Counters
}

func newMetrics() *metrics { return &metrics{Metrics: reporter.NewMetrics()} }

// update publishes the totals and the present numbers of queued tasks, running attempts, owned
// upstreams and evacuated failure domains. It is called by the dispatcher only.
func (m *metrics) update(c Counters, queued, running, upstreams, evacuated int) {
	// A counter is exported only after its first use. Unchanged ones are therefore incremented by 0,
	// so that all of them are exported from the start.
	for _, f := range counterMetrics {
		scope := m.Scope
		if f.status != "" {
			scope = scope.Tagged(map[string]string{"status": string(f.status)})
		}
		scope.Counter(f.metric).Inc(int64(*f.total(&c) - *f.total(&m.last)))
	}
	m.last = c
	m.Scope.Gauge("tasks_queued").Update(float64(queued))
	m.Scope.Gauge("tasks_running").Update(float64(running))
	m.Scope.Gauge("upstreams_owned").Update(float64(upstreams))
	m.Scope.Gauge("domains_evacuated").Update(float64(evacuated))
}
