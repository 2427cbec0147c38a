package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/tracker"
)

// newLeaseholder returns the harness of a host that holds upstream a, in a deployment with evacuations if
// evacuateWithin is set.
func newLeaseholder(t *testing.T, evacuateWithin time.Duration) *harness {
	h := newFollower(t)
	h.core.cfg.EvacuateWithin = evacuateWithin
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{domainUpstream("a")}})
	h.assign(1)
	h.core.Flush(h.now)
	h.acceptFirstOrder()
	h.orders = nil
	return h
}

// starts reports whether a start order that the leader's host requests reaches the upstream. A start that does
// not is rejected.
func (h *harness) starts(index int) bool {
	h.deliverFrom(leaderAddress, kindStartRuns, startRuns{
		Runs: []startedRun{{
			Upstream: "a",
			Run: sesamedrift.Run{
				Task:   sesamedrift.TaskID{Index: index},
				Number: 1,
			},
		}},
		Number: 1,
	})
	h.core.Flush(h.now)
	started := false
	for _, o := range h.orders {
		started = started || o.Kind == leaseholder.StartOrder && o.Run.Task.Index == index
	}
	if !started {
		h.g.Expect(h.sent).To(ContainElements(sentMessage{leaderAddress, kindRunEnded}, sentMessage{leaderAddress, kindReleasedPlace}))
	}
	return started
}

func state(version uint64, domains ...string) evacuator.State {
	return evacuator.State{
		Version: version,
		Domains: domains,
	}
}

// Guards against starts in an evacuated domain that a placer that has not learned the evacuation has placed, against an older state
// that replaces a newer one, and against hosts without contact to control hosts that do not learn the state.
func TestStartsInEvacuatedDomain(t *testing.T) {
	h := newLeaseholder(t, 0)
	h.g.Expect(h.starts(0)).To(BeTrue(), "nothing is held back without evacuations")
	for i, step := range []struct {
		state  evacuator.State
		starts bool
	}{
		{state(2, "other"), true},
		{state(4, "d", "other"), false},
		{state(3), false},
		{state(5, "other"), true},
	} {
		before := h.core.evacuations.State.Version
		h.sent = nil
		h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Evacuations: &step.state})
		passedOn := ContainElement(sentMessage{leaderAddress, kindEvacuations})
		if step.state.Version < before {
			passedOn = Not(passedOn)
		}
		h.g.Expect(h.sent).To(passedOn)
		h.g.Expect(h.starts(1+i)).To(Equal(step.starts), "step %d", i)
	}
	h.deliverFrom(leaderAddress, kindEvacuations, evacuations{State: state(6, "d")})
	h.g.Expect(h.starts(9)).To(BeFalse())
	h.g.Expect(h.core.Stats()).To(And(HaveField("EvacuationRejections", int64(3)), HaveField("EvacuatedDomains", 1)))
	h.g.Expect(h.core.held["a"].session.Ready()).To(BeTrue())
	h.orders = nil
	h.advance(idlePollInterval)
	h.core.Flush(h.now)
	h.g.Expect(h.core.Holds("a")).To(BeTrue())
}

// Guards against a host that has restarted and starts tasks before it knows that its domain is evacuated.
func TestStartsBeforeEvacuationsAreKnown(t *testing.T) {
	for name, tell := range map[string]func(h *harness){
		"control host": func(h *harness) {
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{EvacuationsKnown: true})
		},
		"peer": func(h *harness) {
			h.deliverFrom(leaderAddress, kindAnnouncement, announcement{Evacuations: evacuations{Known: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseholder(t, 5*time.Second)
			h.g.Expect(h.starts(0)).To(BeFalse())
			h.deliverFrom(leaderAddress, kindAnnouncement, announcement{})
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{})
			h.g.Expect(h.starts(1)).To(BeFalse(), "neither a peer that does not know them nor a control host of an earlier release counts")
			tell(h)
			h.g.Expect(h.starts(2)).To(BeTrue())
		})
	}
}

// Guards against jobs that wait in an evacuated domain, and against jobs from other domains that are not
// answered as not run.
func TestJobsInEvacuatedDomain(t *testing.T) {
	h := newHarness(t)
	h.applyUpdates(1, "document")
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{domainUpstream("a")}})
	h.advance(maxDiscoveryTime)
	h.g.Expect(h.core.leads()).To(BeTrue())
	h.advance(placerGracePeriod)
	remote := entryHost("10.2.0.1:1", 1)
	remote.Domain, remote.IsPlacer = "far", true
	evacuated := state(1, "d")
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Hosts:       []discoverer.Host{remote},
		Evacuations: &evacuated,
	})
	h.core.HandleSessionEvent(h.now, courier.Event{
		Kind: courier.Up,
		Peer: remote.Address,
	})
	results := map[string]Result{}
	submit := func(id string) {
		h.core.Submit(h.now, tracker.Job{
			ID:          id,
			MaxAttempts: 1,
			Steps:       []tracker.Step{{TaskCount: 1}},
			Arrived:     h.now,
			Deadline:    h.now.Add(time.Minute),
		}, NewCaller(func(r Result) { results[id] = r }))
		h.core.Flush(h.now)
	}
	submit("refused")
	h.g.Expect(results).To(HaveKeyWithValue("refused", Result{
		Outcome:    tracker.NotRun,
		Reason:     string(placer.ReasonEvacuated),
		RetryAfter: placer.ClosedRetryAfter,
	}))

	h.deliverFrom(remote.Address, kindFreeCapacity, freeCapacity{
		Domain:       "far",
		FreeCapacity: placer.FreeCapacity{WaitingJobs: 5},
	})
	submit("forwarded")
	h.g.Expect(h.sent).To(ContainElement(sentMessage{remote.Address, kindForwardedJob}))
	h.deliverFrom(remote.Address, kindForwardResult, forwardResult{
		Job:     "forwarded",
		Outcome: tracker.Complete,
	})
	h.g.Expect(results).To(HaveKeyWithValue("forwarded", HaveField("Outcome", tracker.Complete)))

	h.deliverFrom(remote.Address, kindForwardedJob, forwardedJob{
		Domain:    "d",
		ID:        "from-far",
		Steps:     []tracker.Step{{TaskCount: 1}},
		Remaining: time.Minute,
	})
	h.g.Expect(h.sent).To(ContainElement(sentMessage{remote.Address, kindForwardResult}))
	h.g.Expect(h.core.jobs).To(BeEmpty())
	h.g.Expect(h.orders).NotTo(ContainElement(HaveField("Kind", leaseholder.StartOrder)))
	h.g.Expect(h.core.NotReady()).To(BeEmpty(), "hosts of the domain still take callers")
}
