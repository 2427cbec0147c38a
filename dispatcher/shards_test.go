package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/tracker"
)

// shardUpstreams returns upstreams of which every third is half as large again as the others.
func shardUpstreams(n int) []discoverer.Upstream {
	upstreams := make([]discoverer.Upstream, 0, n)
	for i := range n {
		u := discoverer.Upstream{
			ID:       fmt.Sprintf("u-%03d", i),
			Capacity: sesamedrift.Resources{CPU: 16000},
		}
		if i%3 == 2 {
			u.Capacity.CPU = 24000
		}
		upstreams = append(upstreams, u)
	}
	return upstreams
}

func shardMembers(n int) []string {
	members := make([]string, 0, n)
	for i := range n {
		members = append(members, fmt.Sprintf("10.0.0.%02d:1", i))
	}
	return members
}

// changes returns the number of upstreams whose leaseholder or shard differs.
func changes(a, b assignment) int {
	n := 0
	for id := range b.Shards {
		if a.Leaseholders[id] != b.Leaseholders[id] || a.Shards[id] != b.Shards[id] {
			n++
		}
	}
	return n
}

// Guards against a placer whose work grows with the domain: large domains have shards of equal capacity,
// whose placers hold no upstreams and are not the leader.
func TestShardsOfLargeDomain(t *testing.T) {
	g := NewWithT(t)
	upstreams, members := shardUpstreams(108), shardMembers(20)
	a := planAssignment(assignment{}, upstreams, members, nil, true, upstreamsPerShard)
	g.Expect(a.Placers).To(HaveLen(3))
	g.Expect(a.Placers).NotTo(ContainElement(members[0]))
	capacity := make([]int64, 3)
	holders := map[string]map[int]int{}
	for _, u := range upstreams {
		shard := a.Shards[u.ID]
		capacity[shard] += u.Capacity.CPU
		holder := a.Leaseholders[u.ID]
		if holders[holder] == nil {
			holders[holder] = map[int]int{}
		}
		holders[holder][shard]++
		g.Expect(a.placerOf(u.ID)).To(Equal(a.Placers[shard]))
	}
	g.Expect(slices.Max(capacity) - slices.Min(capacity)).To(BeNumerically("<=", 24000))
	g.Expect(holders).To(HaveLen(17))
	mixed := 0
	for holder, counts := range holders {
		g.Expect(a.Placers).NotTo(ContainElement(holder))
		if len(counts) > 1 {
			mixed++
		}
	}
	g.Expect(mixed).To(BeNumerically("<=", 2), "few leaseholders have upstreams of several shards")
}

// Guards against assignments that change more than they must when hosts or upstreams come and go.
func TestAssignmentIsStable(t *testing.T) {
	g := NewWithT(t)
	upstreams, members := shardUpstreams(108), shardMembers(20)
	a := planAssignment(assignment{}, upstreams, members, nil, true, upstreamsPerShard)
	again := planAssignment(a, upstreams, members, nil, true, upstreamsPerShard)
	g.Expect(again.equal(&a)).To(BeTrue())

	withoutLeader := planAssignment(a, upstreams, members[1:], nil, true, upstreamsPerShard)
	g.Expect(withoutLeader.Placers).To(Equal(a.Placers))

	lost := a.Placers[1]
	withoutPlacer := planAssignment(a, upstreams, slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == lost }), nil, true, upstreamsPerShard)
	g.Expect(withoutPlacer.Placers[0]).To(Equal(a.Placers[0]))
	g.Expect(withoutPlacer.Placers[2]).To(Equal(a.Placers[2]))
	g.Expect(withoutPlacer.Shards).To(Equal(a.Shards))
	g.Expect(changes(a, withoutPlacer)).To(BeNumerically("<=", 7), "only the upstreams of the new placer are reassigned")

	fewer := planAssignment(a, upstreams[:90], members, nil, true, upstreamsPerShard)
	g.Expect(fewer.Placers).To(Equal(a.Placers))
	g.Expect(changes(a, fewer)).To(BeNumerically("<=", 17))

	// Half of the hosts are lost at once; shards remain as long as there is a member for each.
	half := planAssignment(a, upstreams, members[10:], nil, true, upstreamsPerShard)
	g.Expect(half.Placers).To(HaveLen(3))
	g.Expect(planAssignment(a, upstreams, members[18:], nil, true, upstreamsPerShard).Placers).To(HaveLen(1))
}

// Guards against shards in domains that are too small for them, and in those with hosts of earlier
// releases, which send all requests to the oldest host.
func TestSingleShard(t *testing.T) {
	g := NewWithT(t)
	members := shardMembers(20)
	for _, a := range []assignment{
		planAssignment(assignment{}, shardUpstreams(16), members[:3], nil, true, upstreamsPerShard),
		planAssignment(assignment{}, shardUpstreams(108), members[:4], nil, true, upstreamsPerShard),
		planAssignment(assignment{}, shardUpstreams(108), members, nil, false, upstreamsPerShard),
	} {
		g.Expect(a.Placers).To(Equal(members[:1]))
		g.Expect(a.homeShard("5c0e7a21d94b36f8")).To(BeZero())
	}
}

// Guards against jobs that are distributed unevenly over the shards.
func TestHomeShards(t *testing.T) {
	g := NewWithT(t)
	a := assignment{Placers: []string{"a", "b", "c"}}
	counts := make([]int, 3)
	for i := range 3000 {
		counts[a.homeShard(fmt.Sprintf("%016x", i*7919))]++
	}
	g.Expect(slices.Min(counts)).To(BeNumerically(">", 900))
}

// placeShard makes this host the placer of the first of two shards. The other host is the placer of the
// second one and the leader. It returns a job whose home is the first shard.
func (h *harness) placeShard() string {
	h.makeOtherPlacer()
	h.deliver(kindAssignment, assignment{
		Placers:      []string{selfAddress, otherAddress},
		Leaseholders: map[string]string{"u-1": otherAddress, "u-2": otherAddress},
		Shards:       map[string]int{"u-1": 0, "u-2": 1},
	})
	h.g.Expect(h.core.placer).NotTo(BeNil())
	return h.jobOfShard(0)
}

// jobOfShard returns a job whose home is the shard.
func (h *harness) jobOfShard(shard int) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("job-", i); h.core.assigned.homeShard(id) == shard {
			return id
		}
	}
}

// Guards against two runs of a job at the same time: a caller has sent it again, and the first try was
// redirected to another shard by this placer or by the one that it has replaced.
func TestResentJobIsRedirected(t *testing.T) {
	request := func(job string) placementRequest {
		return placementRequest{
			Job:   job,
			Tasks: []requestedTask{{}},
		}
	}
	t.Run("by the previous placer", func(t *testing.T) {
		h := newHarness(t)
		job := h.placeShard()
		h.deliver(kindPlacementRequest, request(job))
		h.g.Expect(h.core.placer.WaitingJobs()).To(Equal(1))
		h.deliver(kindRedirectedJobs, redirectedJobs{Jobs: []string{job}})
		h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
		h.g.Expect(h.core.placer.WaitingJobs()).To(BeZero())
		h.deliver(kindPlacementRequest, request(job))
		h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
	})
	t.Run("by this placer", func(t *testing.T) {
		h := newHarness(t)
		job := h.placeShard()
		h.now = h.now.Add(2 * placerGracePeriod)
		h.deliver(kindFreeCapacity, freeCapacity{
			Domain:       "d",
			FreeCapacity: placer.FreeCapacity{Tasks: 50},
		})
		h.deliver(kindPlacementRequest, request(job))
		h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
		h.deliver(kindPlacementRequest, request(job))
		h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
		h.g.Expect(h.core.Stats().Redirected).To(Equal(int64(1)), "the second time the first decision applies")
	})
}

// Guards against a new placer of a home shard that does not know that another placer has runs of a job.
func TestHomesAreNotified(t *testing.T) {
	h := newHarness(t)
	h.placeShard()
	foreign := h.jobOfShard(1)
	redirected := placementRequest{
		Job:          foreign,
		Forwarded:    true,
		RedirectedBy: otherAddress,
		Tasks:        []requestedTask{{}},
	}
	h.deliver(kindPlacementRequest, redirected)
	h.g.Expect(h.sent).To(BeEmpty(), "the placer that has redirected the job knows of it")
	third := "10.0.0.3:1"
	h.addPeer(third, 3)
	h.deliver(kindAssignment, assignment{
		Placers: []string{selfAddress, third},
		Shards:  map[string]int{"u-1": 0, "u-2": 1},
	})
	h.g.Expect(h.sent).To(ContainElement(sentMessage{third, kindRedirectedJobs}))
	h.deliverFrom(third, kindStatusRequest, statusRequest{})
	h.g.Expect(h.sent).To(ContainElement(sentMessage{third, kindRedirectedJobs}), "it may have ignored the first message")
}

// Guards against two runs of a job that another domain forwards to the placer of another shard than that of its home:
// the home placer knows of an earlier submission, or may not know yet, or has redirected that one.
func TestForwardedJobOfAnotherShard(t *testing.T) {
	for _, test := range []struct {
		name       string
		setUp      func(h *harness, job string)
		redirected bool
	}{
		{"first submission", func(*harness, string) {}, true},
		{"redirected", func(h *harness, job string) {
			h.deliver(kindRedirectedJobs, redirectedJobs{Jobs: []string{job}})
		}, true},
		{"waits", func(h *harness, job string) {
			h.deliverFrom(entryAddress, kindPlacementRequest, placementRequest{Job: job, Tasks: []requestedTask{{}}})
		}, false},
		{"runs", func(h *harness, job string) {
			h.core.placer.SetUpstream(placer.Upstream{ID: "u-1"})
			h.deliver(kindUpstreamStatus, upstreamStatus{Upstream: "u-1", Ready: true, Running: []leaseholder.Task{{
				Run:   sesamedrift.Run{Task: sesamedrift.TaskID{Job: job}},
				Entry: entryAddress,
			}}})
		}, false},
		{"new placer", func(h *harness, _ string) { h.now = h.now.Add(-2 * placerGracePeriod) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.addPeer(entryAddress, 3)
			job := h.placeShard()
			test.setUp(h, job)
			h.now = h.now.Add(2 * placerGracePeriod)
			h.deliver(kindPlacementRequest, placementRequest{
				Job:       job,
				Forwarded: true,
				Preferred: otherAddress,
				Remaining: time.Minute,
				Tasks:     []requestedTask{{}},
			})
			if test.redirected {
				h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
			} else {
				h.g.Expect(h.sent).NotTo(ContainElement(sentMessage{otherAddress, kindRedirect}))
			}
		})
	}
}

// Guards against a job from another domain that is placed without asking the placer of its home shard, and against one
// that this placer sends away although the other domain has chosen it for its free capacity.
func TestForwardedJobAsksHomePlacer(t *testing.T) {
	h := newHarness(t)
	h.placeShard()
	job := h.jobOfShard(1)
	h.deliverFrom("far", kindForwardedJob, forwardedJob{Domain: "d", ID: job, Remaining: time.Minute, Steps: []tracker.Step{{TaskCount: 1}}})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindPlacementRequest}}))
	h.deliver(kindRedirect, redirect{Job: job, To: selfAddress})
	h.g.Expect(h.core.jobs[job].requestedFrom).To(Equal(selfAddress))
}

// Guards against two runs of a job from another domain that this placer runs already for an earlier submission: a new
// home placer places the job itself unless it is told first who runs it.
func TestHomeIsNotifiedBeforeRequest(t *testing.T) {
	h := newHarness(t)
	h.addPeer(entryAddress, 3)
	h.placeShard()
	job := h.jobOfShard(1)
	h.deliverFrom(entryAddress, kindPlacementRequest, placementRequest{
		Job:          job,
		Forwarded:    true,
		RedirectedBy: otherAddress,
		Remaining:    time.Minute,
		Tasks:        []requestedTask{{}},
	})
	h.deliverFrom("far", kindForwardedJob, forwardedJob{Domain: "d", ID: job, Remaining: time.Minute, Steps: []tracker.Step{{TaskCount: 1}}})
	third := "10.0.0.3:1"
	h.addPeer(third, 4)
	h.deliver(kindAssignment, assignment{
		Placers:      []string{selfAddress, third},
		Leaseholders: map[string]string{"u-1": otherAddress, "u-2": otherAddress},
		Shards:       map[string]int{"u-1": 0, "u-2": 1},
	})
	h.g.Expect(h.sent).To(Equal([]sentMessage{{third, kindRedirectedJobs}, {third, kindPlacementRequest}}))
}

// Guards against two runs of a task whose job is redirected to the placer of another shard while the task runs in this
// one: the number of shards has grown, and the runs of an earlier submission are spread over both.
func TestRedirectWaitsForRuns(t *testing.T) {
	h := newHarness(t)
	h.addPeer(entryAddress, 3)
	job := h.placeShard()
	h.core.placer.SetUpstream(placer.Upstream{ID: "u-1"})
	run := sesamedrift.Run{Task: sesamedrift.TaskID{Job: job}}
	status := upstreamStatus{Upstream: "u-1", Ready: true, Running: []leaseholder.Task{{Run: run, Entry: entryAddress}}}
	h.deliver(kindUpstreamStatus, status)
	h.deliver(kindRedirectedJobs, redirectedJobs{Jobs: []string{job}})
	request := placementRequest{Job: job, Remaining: time.Minute, Tasks: []requestedTask{{Run: run}}}
	h.deliver(kindPlacementRequest, request)
	h.g.Expect(h.sent).To(Equal([]sentMessage{{entryAddress, kindSuperseded}}))
	h.deliverFrom(entryAddress, kindPlacementRequest, request)
	h.g.Expect(h.sent).To(Equal([]sentMessage{{entryAddress, kindRedirect}}), "its own run has ended")
	status.Running = nil
	h.deliver(kindUpstreamStatus, status)
	h.deliver(kindPlacementRequest, request)
	h.g.Expect(h.sent).To(Equal([]sentMessage{{otherAddress, kindRedirect}}))
}

// Guards against a new placer that places a task while an upstream may run it: the new leaseholder of the upstream has
// not reached it yet, or the upstream does not respond to the leaseholder that knows the run.
func TestNewPlacerAwaitsRuns(t *testing.T) {
	run := sesamedrift.Run{Task: sesamedrift.TaskID{Job: "job"}, Number: 1}
	running := []leaseholder.Task{{Run: run, Entry: entryAddress}}
	for _, test := range []struct {
		name   string
		status upstreamStatus
		placed bool
	}{
		{"ready", upstreamStatus{Ready: true}, true},
		{"lease ended", upstreamStatus{}, true},
		{"acquiring", upstreamStatus{Acquiring: true}, false},
		{"not responding", upstreamStatus{Running: running}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.addPeer(entryAddress, 3)
			h.makeOtherPlacer()
			h.core.HandleUpdates(h.now, controlAddress, poller.Updates{
				Upstreams: []discoverer.Upstream{domainUpstream("u-1"), domainUpstream("u-2")},
			})
			h.deliver(kindAssignment, assignment{
				Placers:      []string{selfAddress},
				Leaseholders: map[string]string{"u-1": otherAddress, "u-2": otherAddress},
				Shards:       map[string]int{"u-1": 0, "u-2": 0},
			})
			h.deliver(kindUpstreamStatus, upstreamStatus{Upstream: "u-1", Ready: true})
			test.status.Upstream = "u-2"
			h.deliver(kindUpstreamStatus, test.status)
			h.deliverFrom(entryAddress, kindPlacementRequest, placementRequest{
				Job:       "job",
				Remaining: time.Minute,
				Tasks:     []requestedTask{{Run: sesamedrift.Run{Task: run.Task, Number: 2}}},
			})
			placed := ContainElement(sentMessage{entryAddress, kindPlacement})
			if !test.placed {
				placed = Not(placed)
			}
			h.g.Expect(h.sent).To(placed)
		})
	}
}

// Guards against a leaseholder that reports an upstream as one without runs before the upstream has listed them.
func TestStatusOfAcquiredUpstream(t *testing.T) {
	h := newFollower(t)
	var reports []upstreamStatus
	post := h.core.effects.Post
	h.core.effects.Post = func(to string, m courier.Message) bool {
		var r upstreamStatus
		if m.Kind == kindUpstreamStatus {
			h.g.Expect(messenger.Decode(m.Body, &r)).To(Succeed())
			reports = append(reports, r)
		}
		return post(to, m)
	}
	h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{domainUpstream("a")}})
	h.assign(1)
	h.deliverFrom(leaderAddress, kindStatusRequest, statusRequest{})
	h.g.Expect(reports).NotTo(BeEmpty())
	h.g.Expect(reports).To(HaveEach(HaveField("Acquiring", true)))
	h.acceptFirstOrder()
	reports = nil
	h.deliverFrom(leaderAddress, kindStatusRequest, statusRequest{})
	h.g.Expect(reports).NotTo(BeEmpty())
	h.g.Expect(reports).To(HaveEach(And(HaveField("Acquiring", false), HaveField("Ready", true))))
}

// Guards against two runs of a task on account of an upstream that a new placer hears of after its leaseholder has
// reported the run, or has not heard of when it places the task.
func TestNewPlacerHearsOfUpstreamLate(t *testing.T) {
	h := newHarness(t)
	h.addPeer(entryAddress, 3)
	h.makeOtherPlacer()
	learn := func(id string) {
		h.core.HandleUpdates(h.now, controlAddress, poller.Updates{Upstreams: []discoverer.Upstream{domainUpstream(id)}})
		h.core.Flush(h.now)
	}
	learn("u-1")
	h.deliver(kindAssignment, assignment{
		Placers:      []string{selfAddress},
		Leaseholders: map[string]string{"u-1": otherAddress, "u-2": otherAddress},
		Shards:       map[string]int{"u-1": 0, "u-2": 0},
	})
	h.deliver(kindUpstreamStatus, upstreamStatus{Upstream: "u-1", Ready: true})
	task := sesamedrift.TaskID{Job: "job"}
	status := upstreamStatus{Upstream: "u-2", Ready: true, Running: []leaseholder.Task{{
		Run:   sesamedrift.Run{Task: task, Number: 1},
		Entry: entryAddress,
	}}}
	h.deliver(kindUpstreamStatus, status)
	placed := ContainElement(sentMessage{entryAddress, kindPlacement})
	h.deliverFrom(entryAddress, kindPlacementRequest, placementRequest{
		Job:       "job",
		Remaining: time.Minute,
		Tasks:     []requestedTask{{Run: sesamedrift.Run{Task: task, Number: 2}}},
	})
	h.g.Expect(h.sent).NotTo(placed)
	learn("u-2")
	h.g.Expect(h.sent).To(ContainElement(sentMessage{otherAddress, kindStatusRequest}))
	h.deliver(kindUpstreamStatus, status)
	h.g.Expect(h.sent).NotTo(placed)
	status.Running = nil
	h.deliver(kindUpstreamStatus, status)
	h.g.Expect(h.sent).To(placed)
}
