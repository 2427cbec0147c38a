package dispatcher

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/courier"
)

const (
	entryAddress  = "10.0.0.3:1"
	remoteAddress = "10.2.0.1:1"
)

// relayJob makes this host a placer that has relayed the job "j" of an entry host to another domain.
func relayJob(t *testing.T) *harness {
	h := newHarness(t)
	h.addPeer(entryAddress, 3)
	h.core.applyAssignment(h.now, assignment{Placers: []string{selfAddress}})
	h.core.remotePlacers[remoteAddress] = &remotePlacer{domain: "far"}
	h.core.HandleSessionEvent(h.now, courier.Event{Kind: courier.Up, Peer: remoteAddress})
	h.deliverFrom(entryAddress, kindForwardedJob, forwardedJob{Domain: "far", ID: "j"})
	h.g.Expect(h.core.relays).To(HaveKey("j"))
	return h
}

// requestAgain sends the placement request of another try of the job, and reports whether the placer decides on it.
func (h *harness) requestAgain(m placementRequest) bool {
	m.Job, m.Remaining = "j", time.Minute
	m.Tasks = make([]requestedTask, 1)
	h.deliverFrom(entryAddress, kindPlacementRequest, m)
	return h.core.placer.WaitingJobs() > 0 || slices.Contains(h.sent, sentMessage{entryAddress, kindRefused})
}

// Guards against a job with runs in two domains: its caller has disconnected and sent it again while the other domain
// still stops its runs.
func TestCancelledForwardIsAwaited(t *testing.T) {
	h := relayJob(t)
	h.deliverFrom(entryAddress, kindCancelForward, cancelForward{Job: "j"})
	h.advance(cancelForwardTime - TickEvery)
	h.g.Expect(h.requestAgain(placementRequest{})).To(BeFalse())
	h.advance(TickEvery)
	h.g.Expect(h.requestAgain(placementRequest{})).To(BeTrue())
}
