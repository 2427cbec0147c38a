package dispatcher

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/tracker"
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
	h.deliverFrom(entryAddress, kindForwardedJob, forwardedJob{Domain: "far", ID: "j", Forward: 7})
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

// Guards against a job with runs in two domains: its caller has sent it again while its entry host waits for the end of
// its runs, since the session with the other domain has ended. The entry host may place it at once if none has started.
func TestLostForwardIsAwaited(t *testing.T) {
	h := relayJob(t)
	h.losePeer(remoteAddress, 0)
	h.advance(requeueDelay - TickEvery)
	h.g.Expect(h.requestAgain(placementRequest{})).To(BeFalse())
	h.g.Expect(h.requestAgain(placementRequest{Recovered: 6})).To(BeFalse())
	h.g.Expect(h.requestAgain(placementRequest{Recovered: 7})).To(BeTrue())
}

// Guards against another wait for the runs of a forward none of which has started, and against a job that counts as
// recovered after it was forwarded again.
func TestRecoveredJobIsPlacedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.submitForwarded(time.Minute)
	j := h.core.jobs["j"]
	h.deliver(kindForwardResult, forwardResult{Job: "j", Outcome: tracker.Lost})
	h.deliver(kindRecoveredResult, recoveredResult{Job: "j", Forward: j.forward, Entry: selfAddress, Outcome: tracker.Abandoned})
	h.g.Expect(j.recovered).To(Equal(j.forward))
	h.deliver(kindForwardRequest, forwardRequest{Job: "j", Domain: "far"})
	h.g.Expect(j.recovered).To(BeZero())
}

// Guards against a list of cancelled forwards that grows on a host that is no placer any more.
func TestCancelledForwardsOfFormerPlacer(t *testing.T) {
	h := relayJob(t)
	h.core.endPlacing(h.now)
	h.deliverFrom(entryAddress, kindCancelForward, cancelForward{Job: "j"})
	h.advance(cancelForwardTime)
	h.g.Expect(h.core.cancelledForwards).To(BeEmpty())
}

// Guards against the answer "not run" for a job whose earlier try may still run in another domain, the placers of which
// are not known any more.
func TestLostForwardIsNotRefused(t *testing.T) {
	h := relayJob(t)
	h.losePeer(remoteAddress, 0)
	delete(h.core.remotePlacers, remoteAddress)
	h.g.Expect(h.requestAgain(placementRequest{})).To(BeFalse())
	h.g.Expect(h.sent).To(BeEmpty())
}
