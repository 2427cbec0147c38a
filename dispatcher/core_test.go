package dispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/router"
	"sesamedrift.example/sesamedrift/tracker"
)

var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	selfAddress  = "10.0.0.1:1"
	otherAddress = "10.0.0.2:1"
	// controlAddress is that of a control host in another domain.
	controlAddress = "10.1.0.9:1"
)

// sentMessage is a message that the Core has posted to another host.
type sentMessage struct {
	to   string
	kind courier.Kind
}

// harness drives one Core; the test simulates its peers.
type harness struct {
	g       *WithT
	core    *Core
	now     time.Time
	sent    []sentMessage
	applied []uint64 // versions of the documents
	fetches []documentFetch
	orders  []pendingOrder
	// watches holds the last watch of each host, ended the incarnations of sessions that were ended.
	watches map[string]courier.Watch
	ended   map[string]uint64
	// unsent makes posts fail, as without a session.
	unsent bool
}

// pendingOrder is an order that the Core has sent.
type pendingOrder struct {
	leaseholder.Order
	done func(now time.Time, resp leaseholder.Response)
}

// documentFetch is a fetch that the Core has started.
type documentFetch struct {
	from    string
	version uint64
	done    func(now time.Time, d FetchedDocument)
}

// parseTestDocument accepts any content but "broken".
func parseTestDocument(content []byte) (*router.Document, error) {
	if string(content) == "broken" {
		return nil, &router.InvalidError{
			Version: 9,
			Reason:  "it is broken",
		}
	}
	return &router.Document{Version: 1}, nil
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		g:       NewWithT(t),
		now:     startTime,
		watches: map[string]courier.Watch{},
		ended:   map[string]uint64{},
	}
	h.core = NewCore(CoreConfig{
		Self:        entryHost(selfAddress, 2),
		LeaseConfig: LeaseConfig(time.Second, 50*time.Millisecond),
		Parse:       parseTestDocument,
		Log:         slog.New(slog.DiscardHandler),
	}, Effects{
		Post: func(to string, m courier.Message) bool {
			if h.unsent {
				return false
			}
			h.sent = append(h.sent, sentMessage{
				to:   to,
				kind: m.Kind,
			})
			return true
		},
		Connect:      func(string) {},
		Disconnect:   func(string) {},
		Watch:        func(address string, w courier.Watch) { h.watches[address] = w },
		EndSession:   func(address string, incarnation uint64) { h.ended[address] = incarnation },
		StartPolling: func(string) {},
		StopPolling:  func(string) {},
		SelfChanged:  func(discoverer.Host) {},
		Order: func(_ discoverer.Upstream, o leaseholder.Order, done func(time.Time, leaseholder.Response)) {
			h.orders = append(h.orders, pendingOrder{
				Order: o,
				done:  done,
			})
		},
		FetchDocument: func(address string, version uint64, done func(now time.Time, d FetchedDocument)) {
			h.fetches = append(h.fetches, documentFetch{
				from:    address,
				version: version,
				done:    done,
			})
		},
		DocumentApplied: func(d FetchedDocument) { h.applied = append(h.applied, d.Version) },
	}, startTime, nil)
	return h
}

func entryHost(address string, incarnation uint64) discoverer.Host {
	return discoverer.Host{
		ID:          address,
		Domain:      "d",
		Role:        discoverer.Entry,
		Address:     address,
		Incarnation: incarnation,
		State:       discoverer.Serving,
	}
}

// advance lets time pass, in which the Core is called as often as by a host.
func (h *harness) advance(d time.Duration) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.now = h.now.Add(min(TickEvery, until.Sub(h.now)))
		h.core.Tick(h.now)
	}
}

// applyUpdates applies updates with the other host and the content of a document of the given
// version, as control hosts of earlier releases send them. It returns the version of the active
// document.
func (h *harness) applyUpdates(version uint64, content string) uint64 {
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Hosts: []discoverer.Host{entryHost(otherAddress, 1)},
		Document: poller.Document{
			Version: version,
			Content: []byte(content),
		},
	})
	return h.core.Stats().DocumentVersion
}

// announce applies an announcement of a document by a control host.
func (h *harness) announce(control string, version uint64) {
	h.core.HandleUpdates(h.now, control, poller.Updates{DocumentVersion: version})
}

// answerFetch passes the result of the oldest fetch to the Core and returns where it was sent.
func (h *harness) answerFetch(d FetchedDocument) string {
	f := h.fetches[0]
	h.fetches = h.fetches[1:]
	f.done(h.now, d)
	return f.from
}

// document returns a valid document that was fetched.
func document(version uint64) FetchedDocument {
	return ParseDocument(poller.Document{
		Version: version,
		Content: []byte("document"),
	}, parseTestDocument)
}

// deliver passes a message of the other host to the Core and clears the list of sent messages.
func (h *harness) deliver(kind courier.Kind, v any) { h.deliverFrom(otherAddress, kind, v) }

// deliverFrom passes a message of a host to the Core and clears the list of sent messages.
func (h *harness) deliverFrom(from string, kind courier.Kind, v any) {
	body, err := messenger.Encode(v)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.sent = nil
	h.core.HandleSessionEvent(h.now, courier.Event{
		Kind: courier.Delivered,
		Peer: from,
		Messages: []courier.Message{{
			Kind: kind,
			Body: body,
		}},
	})
	h.core.Flush(h.now)
}

// makeOtherPlacer completes discovery with the other host, which has the lower incarnation and so
// becomes the leader and the only placer.
func (h *harness) makeOtherPlacer() {
	h.applyUpdates(1, "document")
	h.core.HandleSessionEvent(h.now, courier.Event{
		Kind: courier.Up,
		Peer: otherAddress,
	})
	h.advance(maxDiscoveryTime)
	h.core.Flush(h.now)
	h.g.Expect(h.core.leaderAddress).To(Equal(otherAddress))
	sent := h.sent
	h.deliver(kindAssignment, assignment{Placers: []string{otherAddress}})
	h.sent = append(sent, h.sent...)
}

// Guards against a job that runs in two domains: a placement for a request that was sent twice may
// arrive after the job was forwarded.
func TestPlacementAfterForward(t *testing.T) {
	h := newHarness(t)
	h.makeOtherPlacer()
	var results []Result
	h.core.Submit(h.now, tracker.Job{
		ID:          "j",
		MaxAttempts: 1,
		Steps:       []tracker.Step{{TaskCount: 1}},
		Arrived:     h.now,
		Deadline:    h.now.Add(time.Minute),
	}, NewCaller(func(r Result) { results = append(results, r) }))
	h.deliver(kindForwardRequest, forwardRequest{
		Job:    "j",
		Domain: "far",
	})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindForwardedJob}}))
	h.deliver(kindPlacement, placement{
		Job: "j",
		Places: []placedRun{{
			Run: sesamedrift.Run{
				Task:   sesamedrift.TaskID{Job: "j"},
				Number: 1,
			},
			Upstream:    "u",
			Leaseholder: otherAddress,
		}},
	})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindReleasedPlace}}))
	h.deliver(kindRefused, refused{Job: "j"})
	h.g.Expect(results).To(BeEmpty(), "a refusal after the forward is ignored")
	h.deliver(kindForwardResult, forwardResult{
		Job:     "j",
		Outcome: tracker.Complete,
	})
	h.g.Expect(results).To(ConsistOf(HaveField("Outcome", tracker.Complete)))
}

// Guards against a job that is forwarded back to the domain that waits for it here: a caller has sent it to this host
// before and then to that domain.
func TestJobIsNotForwardedBack(t *testing.T) {
	h := newHarness(t)
	h.makeOtherPlacer()
	h.submitTask("j")
	h.deliverFrom("far", kindForwardedJob, forwardedJob{Domain: "d", ID: "j"})
	h.deliver(kindForwardRequest, forwardRequest{
		Job:    "j",
		Domain: "far",
	})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindPlacementRequest}}))
}

// Guards against a job that is forwarded to two domains, each of which runs it: the placer has received
// the placement request twice and has decided on each.
func TestJobIsForwardedOnce(t *testing.T) {
	h := newHarness(t)
	h.makeOtherPlacer()
	h.core.Submit(h.now, tracker.Job{
		ID:          "j",
		MaxAttempts: 1,
		Steps:       []tracker.Step{{TaskCount: 1}},
		Arrived:     h.now,
		Deadline:    h.now.Add(time.Minute),
	}, NewCaller(func(Result) {}))
	h.advance(placementRetryInterval)
	h.deliver(kindForwardRequest, forwardRequest{
		Job:    "j",
		Domain: "far",
	})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindForwardedJob}}))
	h.deliver(kindForwardRequest, forwardRequest{
		Job:    "j",
		Domain: "farther",
	})
	h.g.Expect(h.sent).To(BeEmpty())
}

// Guards against replacing the active document by an older or an invalid one.
func TestDocumentVersionNeverDecreases(t *testing.T) {
	h := newHarness(t)
	h.g.Expect(h.applyUpdates(5, "document")).To(Equal(uint64(5)))
	h.g.Expect(h.applyUpdates(3, "document")).To(Equal(uint64(5)))
	h.g.Expect(h.applyUpdates(9, "broken")).To(Equal(uint64(5)))
	h.g.Expect(h.applyUpdates(10, "document")).To(Equal(uint64(10)))
	h.g.Expect(h.applied).To(Equal([]uint64{5, 10}))
}

// addPeer adds a host of the domain with which there is a session.
func (h *harness) addPeer(address string, incarnation uint64) {
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Hosts: []discoverer.Host{entryHost(address, incarnation)}})
	h.core.HandleSessionEvent(h.now, courier.Event{
		Kind:        courier.Up,
		Peer:        address,
		Incarnation: incarnation,
	})
	h.core.Flush(h.now)
}

// losePeer ends the session with a host.
func (h *harness) losePeer(address string, incarnation uint64) {
	h.core.HandleSessionEvent(h.now, courier.Event{
		Kind:        courier.Down,
		Peer:        address,
		Incarnation: incarnation,
	})
	h.core.Flush(h.now)
}

// Guards against heartbeats between all pairs of hosts, whose number per host grows with the domain:
// a host that is no monitor watches the monitors closely and all others distantly, and learns of the
// loss of these from the leader.
func TestWatchesOfLargeDomain(t *testing.T) {
	h := newHarness(t)
	h.core.SetControlReachable(controlAddress, true)
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", 10+i) }
	for i := range 12 {
		h.addPeer(address(i), uint64(10+i))
	}
	// Host 0 is the oldest, this host the youngest.
	h.core.self.Incarnation = 50
	h.core.hosts.Put(h.now, h.core.self)
	h.core.reorganize(h.now)
	closely := 0
	for i := range 12 {
		if w, set := h.watches[address(i)]; !set || w == CloseWatch {
			closely++
		}
	}
	h.g.Expect(closely).To(Equal(monitorCount))
	h.advance(maxDiscoveryTime)
	h.g.Expect(h.core.leaderAddress).To(Equal(address(0)))
	notice := lostHosts{
		Hosts: []lostHost{{
			Address:     address(9),
			Incarnation: 19,
		}},
	}
	h.deliverFrom(address(1), kindLostHosts, notice)
	h.g.Expect(h.ended).To(BeEmpty(), "only the leader reports losses")
	h.deliverFrom(address(0), kindLostHosts, notice)
	h.g.Expect(h.ended).To(Equal(map[string]uint64{address(9): 19}))

	// After the loss of a monitor all others are watched closely until they would have been lost.
	h.losePeer(address(0), 10)
	h.g.Expect(h.core.leaderAddress).To(Equal(address(1)))
	for i := 1; i < 12; i++ {
		h.g.Expect(h.watches[address(i)]).To(Equal(CloseWatch))
	}
	h.advance(CloseWatch.SuspectAfter + lossGatherDelay)
	h.g.Expect(h.watches[address(9)]).To(Equal(DistantWatch))
}

// Guards against a host that is cut off and acquires the upstreams of the monitors, whose loss it
// detects before that of the other hosts.
func TestIsolatedHostOfLargeDomain(t *testing.T) {
	h := newHarness(t)
	for i := range 8 {
		h.addPeer(fmt.Sprintf("10.0.0.%d:1", 10+i), uint64(10+i))
	}
	h.core.self.Incarnation = 50
	h.core.hosts.Put(h.now, h.core.self)
	h.core.reorganize(h.now)
	h.advance(maxDiscoveryTime)
	for i := range monitorCount {
		h.losePeer(fmt.Sprintf("10.0.0.%d:1", 10+i), uint64(10+i))
	}
	h.advance(lossGatherDelay)
	h.g.Expect(h.core.leaderAddress).To(Equal("10.0.0.10:1"), "it waits until the others are lost too")
	for i := monitorCount; i < 8; i++ {
		h.losePeer(fmt.Sprintf("10.0.0.%d:1", 10+i), uint64(10+i))
	}
	h.advance(CloseWatch.SuspectAfter)
	h.g.Expect(h.core.isolated(h.now)).To(BeTrue())
}

// Guards against a loss that only the leader has detected: it tells all other hosts.
func TestLeaderReportsLosses(t *testing.T) {
	h := newHarness(t)
	h.core.SetControlReachable(controlAddress, true)
	for i := range 3 {
		h.addPeer(fmt.Sprintf("10.0.0.%d:1", 10+i), uint64(10+i))
	}
	h.advance(maxDiscoveryTime)
	h.g.Expect(h.core.leaderAddress).To(Equal(selfAddress))
	h.sent = nil
	h.losePeer("10.0.0.11:1", 11)
	h.g.Expect(h.sent).To(ContainElements(sentMessage{"10.0.0.10:1", kindLostHosts}, sentMessage{"10.0.0.12:1", kindLostHosts}))
}

// Guards against upstreams without a leaseholder: the leader assigns them to a host that has restarted and ignores
// assignments until it has chosen its leader.
func TestUpstreamsAreAssignedToJoinedHosts(t *testing.T) {
	h := newHarness(t)
	h.core.SetControlReachable(controlAddress, true)
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Upstreams: []discoverer.Upstream{domainUpstream("a"), domainUpstream("b"), domainUpstream("c"), domainUpstream("d")},
	})
	const peer = "10.0.0.10:1"
	h.addPeer(peer, 10)
	h.advance(maxDiscoveryTime)
	h.g.Expect(countByHolder(h.core.assigned.Leaseholders)).To(Equal(map[string]int{selfAddress: 2, peer: 2}))
	h.losePeer(peer, 10)
	h.g.Expect(countByHolder(h.core.assigned.Leaseholders)).To(Equal(map[string]int{selfAddress: 4}))
	h.addPeer(peer, 11)
	h.advance(time.Second)
	h.g.Expect(countByHolder(h.core.assigned.Leaseholders)).To(Equal(map[string]int{selfAddress: 4}))
	h.deliverFrom(peer, kindJoin, join{})
	h.g.Expect(countByHolder(h.core.assigned.Leaseholders)).To(Equal(map[string]int{selfAddress: 2, peer: 2}))
}

// leaderAddress is that of the leader of a host that newFollower returns.
const leaderAddress = "10.0.0.10:1"

// newFollower returns the harness of a host that follows a leader.
func newFollower(t *testing.T) *harness {
	h := newHarness(t)
	h.core.SetControlReachable(controlAddress, true)
	h.addPeer(leaderAddress, 1)
	h.advance(maxDiscoveryTime)
	return h
}

// assign lets the leader assign upstream a to this host.
func (h *harness) assign(number uint64) {
	h.deliverFrom(leaderAddress, kindAssignment, assignment{
		Number:       number,
		Placers:      []string{leaderAddress},
		Shards:       map[string]int{"a": 0},
		Leaseholders: map[string]string{"a": selfAddress},
	})
}

// acceptFirstOrder accepts the oldest order in the name of the first incarnation of its upstream, which lists the given
// runs, and returns it.
func (h *harness) acceptFirstOrder(running ...leaseholder.ListedRun) pendingOrder {
	first := h.orders[0]
	first.done(h.now, leaseholder.Response{
		Order:       first.Order,
		Status:      leaseholder.Accepted,
		Incarnation: 1,
		Running:     running,
	})
	return first
}

// Guards against an upstream without a leaseholder: the leader assigns it to a host that has not heard of it yet.
func TestUpstreamIsHeldOnceItIsKnown(t *testing.T) {
	h := newFollower(t)
	h.assign(1)
	h.g.Expect(h.core.Holds("a")).To(BeFalse())
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Upstreams: []discoverer.Upstream{domainUpstream("a")},
	})
	h.advance(0)
	h.g.Expect(h.core.Holds("a")).To(BeTrue())
}

// Guards against a leaseholder that rejects all starts, since a leader that has missed assignments numbers its own from below.
func TestStartsAfterLowerAssignment(t *testing.T) {
	h := newFollower(t)
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Upstreams: []discoverer.Upstream{domainUpstream("a")},
	})
	h.assign(9)
	h.assign(4)
	h.core.Flush(h.now)
	h.acceptFirstOrder()
	h.orders = nil
	h.deliverFrom(leaderAddress, kindStartRuns, startRuns{
		Runs:   []startedRun{{Upstream: "a"}},
		Number: 4,
	})
	h.core.Flush(h.now)
	h.g.Expect(h.orders).To(ContainElement(HaveField("Kind", leaseholder.StartOrder)))
}

// Guards against a host that resumes and acquires an upstream which another one holds meanwhile, because the upstream has
// restarted.
func TestResumedHostDoesNotReopenUpstreams(t *testing.T) {
	h := newHarness(t)
	h.core.SetControlReachable(controlAddress, true)
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
		Upstreams: []discoverer.Upstream{domainUpstream("a")},
	})
	h.advance(maxDiscoveryTime)
	h.core.Flush(h.now)
	first := h.acceptFirstOrder()
	h.core.Flush(h.now)
	h.orders = nil
	h.now = h.now.Add(time.Second)
	restarted := domainUpstream("a")
	restarted.Incarnation = 2
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{restarted}})
	h.core.Flush(h.now)
	h.g.Expect(h.orders).To(BeEmpty())
	h.advance(maxSettleTime)
	h.core.Flush(h.now)
	h.g.Expect(h.orders).NotTo(BeEmpty())
	h.g.Expect(h.orders[0].Token).To(BeNumerically(">", first.Token))
}

// Guards against a leader that steps down and has its successor undo its own assignment, and against a leader that
// returns and undoes that of a host which has led meanwhile.
func TestFormerLeaderJoins(t *testing.T) {
	const peer = "10.0.0.10:1"
	for _, test := range []struct {
		name string
		// later is the difference of the numbers of the assignments of the peer and of this host.
		later   int
		adopted bool
	}{
		{"steps down", -1, false},
		{"same assignment", 0, false},
		{"has led meanwhile", 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.core.SetControlReachable(controlAddress, true)
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
				Upstreams: []discoverer.Upstream{domainUpstream("a"), domainUpstream("b")},
			})
			h.addPeer(peer, 10)
			h.advance(maxDiscoveryTime)
			before := h.core.assigned
			swapped := map[string]string{
				"a": before.Leaseholders["b"],
				"b": before.Leaseholders["a"],
			}
			h.deliverFrom(peer, kindJoin, join{
				Leaseholders: swapped,
				Number:       uint64(int(before.Number) + test.later),
			})
			if test.adopted {
				h.g.Expect(h.core.assigned.Leaseholders).To(Equal(swapped))
			} else {
				h.g.Expect(h.core.assigned.Leaseholders).To(Equal(before.Leaseholders))
			}
		})
	}
}

// Guards against runs that outlive the time after which callers of a killed host resend their jobs, since the wait
// for claims begins anew with each leaseholder, and against runs of a suspended host that are stopped before it
// can claim them.
func TestOrphansAreStoppedOnceDisclaimed(t *testing.T) {
	const lost, peer = "10.0.0.10:1", "10.0.0.11:1"
	for _, test := range []struct {
		name  string
		ended bool
		// wait is the time from the discovery of a run until claims are requested.
		wait time.Duration
	}{
		{"killed", true, claimDelay},
		{"suspended", false, orphanTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.core.SetControlReachable(controlAddress, true)
			h.addPeer(lost, 10)
			h.addPeer(peer, 11)
			h.advance(maxDiscoveryTime)
			h.core.HandleSessionEvent(h.now, courier.Event{
				Kind:        courier.Down,
				Peer:        lost,
				Incarnation: 10,
				Ended:       test.ended,
			})
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{domainUpstream("u")}})
			h.core.Flush(h.now)
			h.g.Expect(h.orders).To(HaveLen(1))
			foundAt := h.now
			run := sesamedrift.Run{
				Task:   sesamedrift.TaskID{Job: "j"},
				Number: 1,
			}
			h.orders[0].done(h.now, leaseholder.Response{
				Order:       h.orders[0].Order,
				Status:      leaseholder.Accepted,
				HasClock:    true,
				Incarnation: 1,
				Running:     []leaseholder.ListedRun{{Run: run}},
			})
			h.orders, h.sent = nil, nil
			request := sentMessage{peer, kindClaimRequest}
			for h.now.Before(foundAt.Add(time.Second)) && !slices.Contains(h.sent, request) && h.stops() == 0 {
				h.advance(TickEvery)
				h.core.Flush(h.now)
			}
			h.g.Expect(h.now.Sub(foundAt)).To(BeNumerically("~", test.wait, TickEvery))
			if !test.ended {
				return
			}
			h.g.Expect(h.stops()).To(BeZero(), "the other host may claim the run")
			h.deliverFrom(peer, kindClaimAnswer, claimAnswer{Number: h.core.lastClaimRound})
			h.g.Expect(h.stops()).To(Equal(1))
		})
	}
}

// stops returns the number of stop orders that the Core has sent.
func (h *harness) stops() int {
	n := 0
	for _, o := range h.orders {
		if o.Kind == leaseholder.StopOrder {
			n++
		}
	}
	return n
}

// domainUpstream returns a serving upstream of the domain.
func domainUpstream(id string) discoverer.Upstream {
	return discoverer.Upstream{
		ID:          id,
		Domain:      "d",
		Incarnation: 1,
		State:       discoverer.Serving,
	}
}

// Guards against a document that is fetched from each host which announces it: large documents then
// fill the link of an entry host for longer than its sessions last.
func TestDocumentIsFetchedOnce(t *testing.T) {
	h := newHarness(t)
	controls := []string{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1", "10.1.0.4:1", "10.1.0.5:1"}
	for _, control := range controls {
		h.announce(control, 5)
	}
	h.g.Expect(h.fetches).To(HaveLen(1))
	// While a fetch is in flight, newer versions wait, and only the newest is fetched then.
	h.announce(controls[1], 6)
	h.announce(controls[2], 7)
	h.g.Expect(h.fetches).To(HaveLen(1))
	h.answerFetch(document(5))
	h.g.Expect(h.fetches).To(HaveLen(1))
	h.g.Expect(h.fetches[0].version).To(Equal(uint64(7)))
	h.g.Expect(h.answerFetch(document(7))).To(Equal(controls[2]))
	h.announce(controls[3], 7)
	h.core.Tick(h.now)
	h.g.Expect(h.fetches).To(BeEmpty())
	h.g.Expect(h.applied).To(Equal([]uint64{5, 7}))
}

// Guards against a document that is not fetched because one source does not answer, no longer has it
// or has one that is not valid.
func TestDocumentIsFetchedFromNextSource(t *testing.T) {
	h := newHarness(t)
	near := entryHost("10.0.0.7:1", 1)
	near.Role = discoverer.Control
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Hosts: []discoverer.Host{near}})
	h.announce(near.Address, 5)
	h.announce(controlAddress, 5)
	h.g.Expect(h.answerFetch(FetchedDocument{Err: context.DeadlineExceeded})).To(Equal(near.Address), "the control host of the domain comes first")
	h.core.Tick(h.now)
	h.g.Expect(h.answerFetch(FetchedDocument{Err: &messenger.RemoteError{}})).To(Equal(controlAddress))
	h.core.Tick(h.now)
	h.g.Expect(h.fetches).To(BeEmpty(), "a source that has failed is left alone for a while")
	h.advance(documentRetryInterval)
	invalid := ParseDocument(poller.Document{
		Version: 5,
		Content: []byte("broken"),
	}, parseTestDocument)
	h.g.Expect(h.answerFetch(invalid)).To(Equal(near.Address))
	h.core.Tick(h.now)
	h.g.Expect(h.fetches).To(BeEmpty(), "an invalid document is not fetched again")
	h.announce(controlAddress, 6)
	h.answerFetch(document(6))
	h.g.Expect(h.applied).To(Equal([]uint64{6}))
}

// Guards against a session start that costs more the more hosts and upstreams there are: the lists
// and the document are sent only to a host that has none.
func TestSessionStartSendsNoLists(t *testing.T) {
	h := newHarness(t)
	h.makeOtherPlacer()
	h.g.Expect(h.sent).NotTo(ContainElement(sentMessage{otherAddress, kindSnapshot}))
	h.g.Expect(h.sent).NotTo(ContainElement(sentMessage{otherAddress, kindSnapshotRequest}), "a control host has sent the lists")
	h.g.Expect(h.sent).To(ContainElement(sentMessage{otherAddress, kindAnnouncement}))
	h.deliver(kindSnapshotRequest, snapshotRequest{})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindSnapshot}}))

	started := newHarness(t)
	started.core.HandleSessionEvent(started.now, courier.Event{
		Kind: courier.Up,
		Peer: otherAddress,
	})
	started.g.Expect(started.sent).To(Equal([]sentMessage{{otherAddress, kindSnapshotRequest}}))
	started.deliver(kindAnnouncement, announcement{
		Self:            entryHost(otherAddress, 1),
		DocumentVersion: 4,
	})
	started.g.Expect(started.answerFetch(document(4))).To(Equal(otherAddress))
}

// Guards against a crash by malformed or unknown messages from a faulty host.
func TestMalformedMessages(t *testing.T) {
	h := newHarness(t)
	h.makeOtherPlacer()
	for kind := range courier.Kind(40) {
		for _, body := range [][]byte{nil, {0xc1}, {0x93, 1, 2}, []byte("text")} {
			h.core.HandleSessionEvent(h.now, courier.Event{
				Kind: courier.Delivered,
				Peer: otherAddress,
				Messages: []courier.Message{{
					Kind: kind,
					Body: body,
				}},
			})
			h.core.Flush(h.now)
		}
	}
	h.g.Expect(h.core.NotReady()).To(Equal("no upstream is known"))
}

// Guards against reassigning upstreams without need, and against loads above an even share, rounded
// up.
func TestBalance(t *testing.T) {
	g := NewWithT(t)
	upstreams := map[string]int{"a": 0, "b": 0, "c": 0, "d": 0, "e": 0, "f": 0, "g": 0}
	first := balance(upstreams, nil, []string{"x", "y"}, nil)
	g.Expect(countByHolder(first)).To(Equal(map[string]int{"x": 4, "y": 3}))
	g.Expect(balance(upstreams, first, []string{"x", "y"}, nil)).To(Equal(first))
	third := balance(upstreams, first, []string{"x", "y", "z"}, nil)
	g.Expect(countByHolder(third)).To(Equal(map[string]int{"x": 3, "y": 3, "z": 1}))
	reassigned := 0
	for id, holder := range third {
		if first[id] != holder {
			reassigned++
		}
	}
	g.Expect(reassigned).To(Equal(1))
	g.Expect(countByHolder(balance(upstreams, third, []string{"z"}, nil))).To(Equal(map[string]int{"z": 7}))
}

// countByHolder returns the number of upstreams of each leaseholder.
func countByHolder(leaseholders map[string]string) map[string]int {
	counts := map[string]int{}
	for _, holder := range leaseholders {
		counts[holder]++
	}
	return counts
}
