package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/tracker"
)

// submitForwarded submits a job that the other host, the placer, forwards to another domain.
func (h *harness) submitForwarded(timeout time.Duration) *[]Result {
	results := &[]Result{}
	h.makeOtherPlacer()
	h.core.Submit(h.now, tracker.Job{
		ID:       "j",
		Steps:    []tracker.Step{{TaskCount: 1}},
		Arrived:  h.now,
		Deadline: h.now.Add(timeout),
	}, NewCaller(func(r Result) { *results = append(*results, r) }))
	h.deliver(kindForwardRequest, forwardRequest{Job: "j", Domain: "far"})
	return results
}

// Guards against a job that is held until its deadline after the loss of the host that has forwarded it although it
// cannot be placed again, against one that is answered while a caller who sends it again may find runs of it, and
// against one that is placed again while its runs go on.
func TestForwardingHostLost(t *testing.T) {
	for name, timeout := range map[string]time.Duration{
		"placed again":      time.Minute,
		"deadline too near": requeueDelay,
		"evacuated":         time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			results := h.submitForwarded(timeout)
			h.losePeer(otherAddress, 1)
			if name == "evacuated" {
				h.core.applyEvacuations(h.now, controlAddress, evacuations{State: state(1, "d")})
			}
			h.advance(requeueDelay - resendTime - TickEvery)
			h.g.Expect(*results).To(BeEmpty())
			h.advance(TickEvery)
			if name != "placed again" {
				h.g.Expect(*results).To(ConsistOf(HaveField("Outcome", tracker.Lost)))
				return
			}
			h.advance(resendTime - TickEvery)
			h.g.Expect(h.core.jobs["j"].requestedAt).To(BeZero(), "its runs may not have ended")
			h.advance(TickEvery)
			h.g.Expect(h.core.jobs["j"].requestedAt).NotTo(BeZero())
			h.g.Expect(h.core.jobs["j"].tracker.Started()).To(BeTrue())
		})
	}
}

// Guards against a job that is lost although the other domain has its result, against one that counts as begun although
// nothing of it has started, and against the answer to an earlier forward of the job.
func TestRecoveredResult(t *testing.T) {
	h := newHarness(t)
	results := h.submitForwarded(time.Minute)
	j := h.core.jobs["j"]
	h.deliver(kindForwardResult, forwardResult{Job: "j", Outcome: tracker.Lost})
	h.advance(TickEvery)
	h.g.Expect(h.sent).To(ContainElement(sentMessage{otherAddress, kindResultRequest}))
	answer := recoveredResult{Job: "j", Forward: j.forward - 1, Entry: selfAddress, Outcome: tracker.Complete}
	h.deliver(kindRecoveredResult, answer)
	h.g.Expect(*results).To(BeEmpty())
	answer.Forward, answer.Outcome = j.forward, tracker.Abandoned
	h.deliver(kindRecoveredResult, answer)
	h.g.Expect(h.sent).To(ContainElement(sentMessage{otherAddress, kindPlacementRequest}))
	h.g.Expect(j.tracker.Started()).To(BeFalse())
}

// Guards against a recorded end of a job from another domain that is not certain: tasks of it may have started, or may
// start for another host that the caller has sent the job to.
func TestForwardEndIsRecorded(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"dropped":    func(h *harness) { h.losePeer("far", 1) },
		"superseded": func(h *harness) { h.core.receiveSuperseded(h.now, otherAddress, superseded{Job: "j"}) },
		"begun": func(h *harness) {
			h.core.jobs["j"].tracker.MarkStarted()
			h.losePeer("far", 1)
		},
		// A caller had sent the job to this host, which has forwarded it.
		"forwarded on": func(h *harness) {
			h.core.jobs["j"].forwardedVia = otherAddress
			h.losePeer("far", 1)
		},
		"held": func(h *harness) {
			h.core.forwardLost(h.now, h.core.jobs["j"])
			h.losePeer("far", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeOtherPlacer()
			h.deliverFrom("far", kindForwardedJob, forwardedJob{Domain: "d", ID: "j", Forward: 7, Remaining: time.Minute, Steps: []tracker.Step{{TaskCount: 1}}})
			end(h)
			h.deliverFrom("far", kindResultRequest, resultRequest{Job: "j", Forward: 7, Domain: "d"})
			h.g.Expect(h.sent).To(HaveLen(map[string]int{"dropped": 1}[name]))
		})
	}
}

// Guards against a job that counts as begun although it was not sent: the session has ended, and the event that says
// so has not been handled.
func TestUnsentForward(t *testing.T) {
	h := newHarness(t)
	h.unsent = true
	h.submitForwarded(time.Minute)
	h.losePeer(otherAddress, 1)
	h.g.Expect(h.core.jobs["j"].requestedAt).NotTo(BeZero())
	h.core.remotePlacers["far"] = &remotePlacer{domain: "far"}
	h.core.sessions["far"] = true
	h.deliver(kindForwardedJob, forwardedJob{Domain: "far", ID: "k"})
	h.g.Expect(h.core.relays).To(BeEmpty())
}
