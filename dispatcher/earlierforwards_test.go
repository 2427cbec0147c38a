package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a job with runs in two domains: its caller has sent it again, and the placer that has forwarded the
// first try has been replaced.
func TestForwardOfFormerPlacer(t *testing.T) {
	h := newHarness(t)
	h.addPeer(entryAddress, 3)
	job := h.placeShard()
	request := placementRequest{Job: job, Tasks: []requestedTask{{}}}
	h.deliverFrom(entryAddress, kindPlacementRequest, request)
	h.g.Expect(h.core.placer.WaitingJobs()).To(Equal(1))
	h.deliver(kindForwardedJobs, forwardedJobs{Jobs: []string{job}})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindSuperseded}}))
	h.advance(requeueDelay - TickEvery)
	h.deliverFrom(entryAddress, kindPlacementRequest, request)
	h.g.Expect(h.core.placer.WaitingJobs()).To(BeZero(), "the runs in the other domain may not have ended")
	h.g.Expect(h.sent).To(BeEmpty())
	h.advance(TickEvery)
	h.deliverFrom(entryAddress, kindPlacementRequest, request)
	h.g.Expect(h.sent).To(Equal([]sentMessage{{entryAddress, kindRefused}}), "the placer decides on the job")
}

// Guards against a new placer that does not learn of the forwards of its predecessor.
func TestForwardsAreReported(t *testing.T) {
	h := newHarness(t)
	h.submitForwarded(requeueDelay)
	h.addPeer(entryAddress, 3)
	h.deliver(kindAssignment, assignment{Number: 100, Placers: []string{entryAddress}})
	h.g.Expect(h.sent).To(ContainElement(sentMessage{entryAddress, kindForwardedJobs}))
	h.deliverFrom(entryAddress, kindStatusRequest, statusRequest{})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{entryAddress, kindForwardedJobs}}))
}
