package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/poller"
)

// newStoredHarness returns a harness whose host leads its domain and knows one upstream by a stored report.
func newStoredHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{{
		ID:     "u",
		Domain: "d",
		State:  discoverer.Serving,
		Stored: true,
	}}})
	h.core.SetControlReachable(controlAddress, true)
	h.advance(maxDiscoveryTime)
	h.g.Expect(h.core.assigned.Leaseholders).To(HaveKey("u"))
	return h
}

// Guards against upstreams that do not exist any more and are assigned again while no control host responds.
func TestExpiredStoredReportStaysExpired(t *testing.T) {
	h := newStoredHarness(t)
	h.advance(storedReportLifetime)
	h.g.Expect(h.core.assigned.Leaseholders).To(BeEmpty())
	h.core.SetControlReachable(controlAddress, false)
	h.core.assign(h.now)
	h.g.Expect(h.core.assigned.Leaseholders).To(BeEmpty())
}

// Guards against the loss of upstreams in use when a control host responds again, before their reports have had the
// time to arrive.
func TestStoredReportsAreKeptWithoutControlHost(t *testing.T) {
	h := newStoredHarness(t)
	h.core.SetControlReachable(controlAddress, false)
	h.advance(2 * storedReportLifetime)
	h.core.SetControlReachable(controlAddress, true)
	h.advance(storedReportLifetime - TickEvery)
	h.g.Expect(h.core.assigned.Leaseholders).To(HaveKey("u"))
	h.advance(2 * TickEvery)
	h.g.Expect(h.core.assigned.Leaseholders).To(BeEmpty())
}

// Guards against jobs that are held, although the only upstreams known are those of expired stored reports.
func TestExpiredStoredReportIsNoCapacity(t *testing.T) {
	h := newStoredHarness(t)
	h.g.Expect(h.core.knowsCapacity()).To(BeTrue())
	h.advance(storedReportLifetime)
	h.g.Expect(h.core.knowsCapacity()).To(BeFalse())
}
