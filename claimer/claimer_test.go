package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

var ctx = context.Background()

// crashPoints are the stages of a submission at which its coordinator, host 0, may crash. setUp
// brings the submission to that stage. ifRunning and ifCrashed are the decisions on a copy that
// another host receives while the coordinator runs, and after it has crashed.
var crashPoints = []struct {
	name                 string
	setUp                func(g *WithT, c *cluster)
	ifRunning, ifCrashed Status
}{
	{"before the claim", func(*WithT, *cluster) {}, Granted, Granted},
	{"after the claim", func(g *WithT, c *cluster) {
		g.Expect(c.claim(0, Queued).Status).To(Equal(Granted))
	}, InProgress, Granted},
	{"before the first start", func(g *WithT, c *cluster) {
		g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	}, InProgress, Unknown},
	{"after the first start", func(g *WithT, c *cluster) {
		g.Expect(c.claim(0, Queued).Status).To(Equal(Granted))
		g.Expect(c.host(0).claimer.Start(ctx, testTime, testKey)).To(Succeed())
	}, InProgress, Unknown},
	{"after the outcome is recorded", func(g *WithT, c *cluster) {
		g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
		g.Expect(c.host(0).claimer.Finish(ctx, testTime, testKey, completeOutcome("seasoned"))).To(Succeed())
	}, Recorded, Recorded},
	{"before the outcome is recorded", func(g *WithT, c *cluster) {
		g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
		c.withLock(func() { c.drop = func(string, Request, bool) bool { return true } })
		var unavailable *UnavailableError
		g.Expect(errors.As(c.host(0).claimer.Finish(ctx, testTime, testKey, completeOutcome("seasoned")), &unavailable)).To(BeTrue())
		c.withLock(func() { c.drop = nil })
	}, InProgress, Unknown},
}

// Guards against a second start, or a wrong outcome, after the coordinator has crashed.
func TestCoordinatorCrashes(t *testing.T) {
	for _, p := range crashPoints {
		t.Run(p.name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(3)
			p.setUp(g, c)
			c.crash(0, 3)
			d := c.claim(1, Started)
			g.Expect(d.Status).To(Equal(p.ifCrashed))
			second := c.claim(2, Started)
			switch p.ifCrashed {
			case Granted:
				g.Expect(second).To(Equal(Decision{
					Status:      InProgress,
					Coordinator: member(1),
				}))
			case Unknown:
				g.Expect(second.Status).To(Equal(Recorded), "the outcome unknown is recorded permanently")
				g.Expect(second.Outcome.Status).To(Equal(sesamedrift.Unknown))
			default:
				g.Expect(second).To(Equal(d))
				g.Expect(d.Outcome).To(Equal(completeOutcome("seasoned")))
			}
		})
	}
}

// Guards against a second start when a copy reaches another host while the coordinator runs.
func TestResubmissionToAnotherHost(t *testing.T) {
	for _, p := range crashPoints {
		t.Run(p.name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(3)
			p.setUp(g, c)
			d := c.claim(1, Started)
			if d.Status == Recorded {
				// The table of the coordinator has the outcome, even if no other table has it.
				g.Expect(p.name).To(HaveSuffix("the outcome is recorded"))
				g.Expect(d.Outcome).To(Equal(completeOutcome("seasoned")))
				return
			}
			g.Expect(d.Status).To(Equal(p.ifRunning))
			if d.Status == InProgress {
				g.Expect(d.Coordinator).To(Equal(member(0)))
			}
		})
	}
}

// Guards against a coordinator that was removed from the view although it runs, and starts a
// submission that another host has taken over.
func TestSuspectedCoordinatorCannotStart(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(0, Queued).Status).To(Equal(Granted))
	c.crash(0, 3)
	c.withLock(func() { c.host(0).down = false })
	g.Expect(c.claim(1, Queued).Status).To(Equal(Granted))
	var unavailable *UnavailableError
	g.Expect(errors.As(c.host(0).claimer.Start(ctx, testTime, testKey), &unavailable)).To(BeTrue(), "host 0 is still in the previous view")
	c.install(3, []leaser.Member{member(1), member(2)}, allMembers(3)...)
	var lost *LostError
	g.Expect(errors.As(c.host(0).claimer.Start(ctx, testTime, testKey), &lost)).To(BeTrue())
	g.Expect(c.host(1).claimer.Start(ctx, testTime, testKey)).To(Succeed())
}

// Guards against a delayed first copy that runs after its resubmission has run, also when the
// records of the key have been removed.
func TestDelayedFirstCopyStartsNothing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(1, Started).Status).To(Equal(Granted))
	g.Expect(c.claim(0, Started).Status).To(Equal(InProgress))
	g.Expect(c.host(1).claimer.Finish(ctx, testTime, testKey, completeOutcome("seasoned"))).To(Succeed())
	g.Expect(c.claim(0, Started).Status).To(Equal(Recorded))
	for _, late := range []time.Duration{testRetention + time.Second, testRetention + time.Hour} {
		c.host(0).claimer.Expire(testTime.Add(late))
		d, err := c.host(0).claimer.Claim(ctx, testTime.Add(late), Claim{
			Key:         testKey,
			Created:     testTime,
			PayloadHash: "a",
			Phase:       Started,
		})
		g.Expect(d.Status, err).To(Equal(Expired))
	}
	g.Expect(c.host(0).table.Len()).To(BeZero())
}

// Guards against a domain that runs a submission again after all its hosts have restarted with
// empty tables, and against one that grants no new claims after that.
func TestAllHostsOfDomainRestart(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	restarted := make([]leaser.Member, 0, 3)
	for _, m := range allMembers(3) {
		m.Incarnation = 2
		c.startProcess(m)
		restarted = append(restarted, m)
	}
	for _, result := range c.install(2, allMembers(3), restarted...) {
		g.Expect(result).To(Equal("false false"), "the sync is incomplete without an error: the table is open with a horizon")
	}
	g.Expect(c.claim(1, Started).Status).To(Equal(Unknown))
	later := testTime.Add(3 * testMargin)
	d, err := c.host(1).claimer.Claim(ctx, later, Claim{
		Key:         "later",
		Created:     later,
		PayloadHash: "a",
		Phase:       Started,
	})
	g.Expect(d.Status, err).To(Equal(Granted))
}

// Guards against a table that answers in a view while a majority of the previous view may still
// accept claims in the previous view.
func TestSyncNeedsFencedPreviousView(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	c.withLock(func() { c.host(1).down, c.host(2).down = true, true })
	g.Expect(c.install(2, allMembers(3), member(0))).To(HaveKeyWithValue(member(0).Host, "false true"))
	g.Expect(c.claim(0, Started)).To(Equal(Decision{
		Status: Unavailable,
		Reason: reasonNoMajority,
	}))
	g.Expect(c.host(0).table.Handle(testTime, leaser.View{
		Number: 1,
	}, Request{
		Type:    TypeLookUp,
		View:    1,
		Created: testTime,
	}).Status).To(Equal(WrongView), "the own table of host 0 is fenced against the previous view")
	c.withLock(func() { c.host(1).down, c.host(2).down = false, false })
	g.Expect(c.claim(1, Started).Status).To(Equal(Granted), "the other members still accept claims in the previous view")
	g.Expect(c.install(2, allMembers(3), member(0))).To(HaveKeyWithValue(member(0).Host, "true false"))
	g.Expect(c.claim(0, Started).Status).To(Equal(Unknown))
}

// Guards against an unavailable claim that is reported to have left no record although it may
// have left one.
func TestUnavailableReportsMaybeRecorded(t *testing.T) {
	for name, tc := range map[string]struct {
		setUp func(c *cluster)
		want  bool
	}{
		"not sent":             {func(c *cluster) { c.host(1).down, c.host(2).down = true, true }, false},
		"request lost":         {func(c *cluster) { c.drop = func(_ string, _ Request, reply bool) bool { return !reply } }, true},
		"reply lost":           {func(c *cluster) { c.drop = func(_ string, _ Request, reply bool) bool { return reply } }, true},
		"other view":           {func(c *cluster) { c.host(1).view.Number, c.host(2).view.Number = 2, 2 }, false},
		"tables full":          {func(c *cluster) { c.host(1).table.MaxClaims, c.host(2).table.MaxClaims = 0, 0 }, false},
		"no view":              {func(c *cluster) { c.host(0).view = leaser.View{} }, false},
		"own table not synced": {func(c *cluster) { c.host(0).table.fence(2); c.host(1).down = true; c.host(2).down = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(3)
			c.withLock(func() { tc.setUp(c) })
			d := c.claim(0, Queued)
			g.Expect(d.Status).To(Equal(Unavailable))
			g.Expect(d.MaybeRecorded).To(Equal(tc.want))
		})
	}
}

// Guards against a refused submission that cannot be claimed again, and one that is granted to two
// hosts after the refusal.
func TestRefusedSubmissionCanBeClaimedAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(0, Queued).Status).To(Equal(Granted))
	g.Expect(c.host(0).claimer.Finish(ctx, testTime, testKey, sesamedrift.Outcome{
		Status: sesamedrift.Refused,
		Reason: "queue is full",
	})).To(Succeed())
	d, err := c.host(1).claimer.Find(ctx, testTime, testKey, testTime)
	g.Expect(d.Status, err).To(Equal(NotFound))
	g.Expect(c.claim(1, Started).Status).To(Equal(Granted))
	g.Expect(c.claim(0, Started).Status).To(Equal(InProgress))
	// The next try of the caller has its own identity, under which it must be found too.
	g.Expect(c.claimKey(0, Started, testKey+"+2", testTime).Status).To(Equal(Granted))
	d, err = c.host(2).claimer.Find(ctx, testTime, testKey+"+2", testTime)
	g.Expect(d.Status, err).To(Equal(InProgress))
}

// Guards against keys that are accepted with another payload, with a creation time in the future,
// or at an age at which other hosts may have removed their records.
func TestInvalidKeysAreRejected(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	for i := range 3 {
		d, err := c.host(i).claimer.Claim(ctx, testTime, Claim{
			Key:         testKey,
			Created:     testTime,
			PayloadHash: "b",
			Phase:       Started,
		})
		g.Expect(d.Status, err).To(Equal(Conflict))
	}
	_, err := c.host(0).claimer.Claim(ctx, testTime, Claim{
		Key:     "future",
		Created: testTime.Add(testMargin + time.Millisecond),
	})
	var future *FutureKeyError
	g.Expect(errors.As(err, &future)).To(BeTrue())
	// The clock of host 0 is behind the clocks of the others, which reject the key.
	d, err := c.host(0).claimer.Claim(ctx, testTime.Add(-time.Second), Claim{
		Key:     "old",
		Created: testTime.Add(-testRetention - time.Millisecond),
		Phase:   Started,
	})
	g.Expect(d.Status, err).To(Equal(Expired))
	c.host(0).table.Expire(testTime.Add(testRetention + testMargin))
	g.Expect(c.host(0).table.Len()).To(Equal(1), "the record is kept for the clock margin")
}

// Guards against answers that use memory without bound, and against an outcome that is reported as
// complete after its answers were evicted.
func TestOldAnswersAreEvicted(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	for i := range 3 {
		c.host(i).table.MaxAnswerBytes = 100
	}
	for i := range 10 {
		key := fmt.Sprintf("order-%d@20261204T090000.000", i)
		g.Expect(c.claimKey(0, Started, key, testTime).Status).To(Equal(Granted))
		g.Expect(c.host(0).claimer.Finish(ctx, testTime, key, completeOutcome("twenty bytes of text"))).To(Succeed())
		// Finish returns once a majority has recorded the outcome; the call to host 1 may still run.
		g.Eventually(func() []Claim { return c.host(1).table.get(key).Claims }).Should(ConsistOf(HaveField("Phase", Done)))
	}
	g.Expect(c.host(0).table.answerBytes).To(BeNumerically("<=", 100))
	d, err := c.host(1).claimer.Find(ctx, testTime, "order-0@20261204T090000.000", testTime)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Status).To(Equal(Recorded))
	g.Expect(d.AnswersEvicted).To(BeTrue())
	g.Expect(d.RecordedStatus).To(Equal(sesamedrift.Complete))
	g.Expect(d.Outcome.Status).To(Equal(sesamedrift.Unknown))
	g.Expect(d.Outcome.Reason).To(Equal(ReasonAnswersEvicted))
	d, _ = c.host(1).claimer.Find(ctx, testTime, "order-9@20261204T090000.000", testTime)
	g.Expect(d.Outcome).To(Equal(completeOutcome("twenty bytes of text")))
}

// Guards against lost records and messages of unbounded size when a table is read in chunks.
func TestSyncInChunks(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	for i := range 50 {
		key := fmt.Sprintf("order-%02d", i)
		g.Expect(c.claimKey(0, Started, key, testTime).Status).To(Equal(Granted))
		g.Expect(c.host(0).claimer.Finish(ctx, testTime, key, completeOutcome("answer"))).To(Succeed())
	}
	for i := range 3 {
		c.host(i).table.ChunkBytes = 200 // four records
	}
	c.withLock(func() { c.calls = 0 })
	g.Expect(c.install(2, allMembers(3), append(allMembers(2), func() leaser.Member {
		m := member(3)
		c.startProcess(m)
		return m
	}())...)).To(HaveKeyWithValue(member(3).Host, "true false"))
	var calls int
	c.withLock(func() { calls = c.calls })
	// The new host reads at least one table of ten chunks or more.
	g.Expect(calls).To(BeNumerically(">=", 10))
	g.Expect(c.host(3).table.Len()).To(Equal(50))
	rec := c.host(3).table.get("order-49")
	g.Expect(rec.Claims[0].Outcome).To(Equal(completeOutcome("answer")))
}

func BenchmarkClaim3Members(b *testing.B) {
	c := newCluster(3)
	for i := 0; b.Loop(); i++ {
		if d := c.claimKey(0, Started, fmt.Sprint("order-", i), testTime); d.Status != Granted {
			b.Fatal(d)
		}
	}
}

// Guards against a horizon that is too early: a member may accept claims in the previous view until
// its fence is confirmed. So only fences that were confirmed before the call of Sync allow a horizon
// computed from the time of the call.
func TestHorizonCoversClaimsUntilPreviousViewIsFenced(t *testing.T) {
	g := NewWithT(t)
	previous := leaser.View{
		Number:  1,
		Members: allMembers(3),
	}
	view := leaser.View{
		Number:  2,
		Members: []leaser.Member{member(0), member(3)},
	}
	states := []tableState{{member: member(0)}, {member: member(1)}, {member: member(2)}}
	for i := range 2 {
		// Processes that have restarted accept no claims in the previous view, but have no records.
		states[i].read = true
		states[i].process = member(i)
		states[i].process.Incarnation = 2
	}
	d := decideSync(testTime, testMargin, view, previous, states, false)
	g.Expect(d.open).To(BeFalse())
	g.Expect(d.fenced).To(HaveLen(2))
	states[0].fencedBefore, states[1].fencedBefore = true, true
	d = decideSync(testTime, testMargin, view, previous, states, false)
	g.Expect(d.open).To(BeTrue())
	g.Expect(d.complete).To(BeFalse())
	g.Expect(d.horizon).To(Equal(testTime.Add(2 * testMargin)))
	// Members that never synced for the previous view have no records of earlier views.
	for i := range states {
		states[i].read = true
		states[i].process = member(i)
		states[i].fencedBefore = false
	}
	g.Expect(decideSync(testTime, testMargin, view, previous, states, false).open).To(BeFalse())
	states[2].synced = 1
	g.Expect(decideSync(testTime, testMargin, view, previous, states, false).complete).To(BeTrue())
}

// Guards against a host that runs a submission twice because it treats the record of its own lost
// claim like that of a claim under which it started nothing.
func TestOwnLostClaimIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(5)
	g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	c.install(2, allMembers(5), allMembers(5)[1:]...)
	var dropped atomic.Int32
	c.withLock(func() {
		c.drop = func(_ string, r Request, _ bool) bool {
			if r.Type != TypeAccept {
				return false
			}
			dropped.Add(1)
			return true
		}
	})
	g.Expect(c.claim(1, Started).Status).To(Equal(Unknown))
	// The claim ends once no majority can accept it; the last request may still be in flight.
	g.Eventually(dropped.Load).Should(BeEquivalentTo(3))
	c.withLock(func() {
		c.drop = nil
		c.host(1).down = true
	})
	remaining := append(allMembers(1), allMembers(5)[2:]...)
	for host, result := range c.install(3, allMembers(5)[1:], remaining...) {
		g.Expect(result).To(Equal("true false"), host)
	}
	var lost *LostError
	g.Expect(errors.As(c.host(0).claimer.Finish(ctx, testTime, testKey, completeOutcome("seasoned")), &lost)).To(BeTrue())
	g.Expect(c.claim(0, Started).Status).To(Equal(Unknown))
	g.Expect(c.claim(2, Started).Status).To(Equal(Recorded))
}

// Guards against a host that runs a submission twice when the TypeAccept request that records it
// as lost reaches one member late, after the claim that sent it has ended.
func TestOwnLostClaimWithLateAccept(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(5)
	g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	c.install(2, allMembers(5), allMembers(5)[1:]...)
	var dropped atomic.Int32
	deliver := make(chan struct{})
	delivered := make(chan struct{})
	c.withLock(func() {
		c.drop = func(to string, r Request, reply bool) bool {
			switch {
			case r.Type != TypeAccept:
				return false
			case to != member(3).Host:
				dropped.Add(1)
				return true
			case reply:
				close(delivered)
			default:
				<-deliver
			}
			return false
		}
	})
	g.Expect(c.claim(1, Started).Status).To(Equal(Unknown))
	g.Eventually(dropped.Load).Should(BeEquivalentTo(2))
	close(deliver)
	<-delivered
	c.withLock(func() {
		c.drop = nil
		c.host(1).down = true
	})
	c.install(3, allMembers(5)[1:], append(allMembers(1), allMembers(5)[2:]...)...)
	var lost *LostError
	g.Expect(errors.As(c.host(0).claimer.Finish(ctx, testTime, testKey, completeOutcome("seasoned")), &lost)).To(BeTrue())
	for range 2 {
		d := c.claim(0, Started)
		g.Expect(d.Status).To(Equal(Recorded))
		g.Expect(d.Outcome.Status).To(Equal(sesamedrift.Unknown))
	}
}

// Guards against a promise that is lost at a view change, or when the coordinator retracts its
// claim: the old coordinator could then start a submission that another host has taken over.
func TestPromisesSurviveRetractAndSync(t *testing.T) {
	g := NewWithT(t)
	view := leaser.View{
		Number:  1,
		Members: allMembers(2),
	}
	claim := Claim{
		Key:         testKey,
		Created:     testTime,
		Coordinator: member(0),
		Phase:       Queued,
	}
	tables := []*Table{NewTable(testRetention), NewTable(testRetention)}
	request := func(t *Table, kind RequestType, ballot uint64) ReplyStatus {
		return t.Handle(testTime, view, Request{
			Type:    kind,
			View:    view.Number,
			Key:     testKey,
			Created: testTime,
			Ballot:  ballot,
			Claim:   claim,
		}).Status
	}
	empty := NewTable(testRetention)
	empty.open(1, time.Time{})
	g.Expect(request(empty, TypePrepare, 1<<40)).To(Equal(Accepted))
	g.Expect(request(empty, TypeClaim, 0)).To(Equal(Exists))
	tables[0].open(1, time.Time{})
	g.Expect(request(tables[0], TypeClaim, 0)).To(Equal(Accepted))
	g.Expect(request(tables[0], TypePrepare, 1<<40)).To(Equal(Accepted))
	tables[0].retract(testKey, member(0))
	r := tableReader{
		view: 2,
	}
	for r.handleReply(tables[1], tables[0].Handle(testTime, view, r.request(tables[1]))) {
	}
	view.Number = 2
	tables[1].open(2, time.Time{})
	claim.Phase = Started
	g.Expect(request(tables[1], TypeMarkStarted, 0)).To(Equal(Exists))
	g.Expect(request(tables[1], TypeClaim, 0)).To(Equal(Exists))
	g.Expect(request(tables[0], TypeClaim, 0)).To(Equal(WrongView), "the first table is fenced against view 1 and not synced for view 2")
}

// Guards against a copy of a submission that arrives after a final refusal and runs: for a refusal
// by Finish, and for one that Claim records without a granted claim before.
func TestLateCopiesGetFinalRefusal(t *testing.T) {
	g := NewWithT(t)
	refusal := sesamedrift.Outcome{
		Status: sesamedrift.Refused,
		Reason: "not run: queue is full",
	}
	c := newCluster(3)
	for i := range 3 {
		c.host(i).claimer.cfg.FinalRefusals = true
	}
	g.Expect(c.claim(0, Queued).Status).To(Equal(Granted))
	g.Expect(c.host(0).claimer.Finish(ctx, testTime, testKey, refusal)).To(Succeed())
	other := Claim{
		Key:         "other",
		Created:     testTime,
		PayloadHash: "a",
		Phase:       Done,
		Outcome:     refusal,
	}
	d, err := c.host(2).claimer.Claim(ctx, testTime, other)
	g.Expect(d.Status, err).To(Equal(Granted))
	other.Phase = Started
	for i := range 3 {
		late := c.claim(i, Started)
		g.Expect(late.Status).To(Equal(Recorded))
		g.Expect(late.Outcome).To(Equal(refusal))
		d, err = c.host(i).claimer.Claim(ctx, testTime, other)
		g.Expect(d.Status, err).To(Equal(Recorded))
	}
}

// Guards against a key whose record was removed under a shorter retention time and that is granted
// again after the retention time was increased.
func TestLongerRetentionDoesNotAcceptRemovedKeys(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	g.Expect(c.claim(0, Started).Status).To(Equal(Granted))
	later := testTime.Add(testRetention + testMargin + time.Second)
	for i := range 3 {
		c.host(i).claimer.Expire(later)
		c.host(i).table.SetRetention(later, 2*testRetention)
	}
	d, err := c.host(1).claimer.Claim(ctx, later, Claim{
		Key:         testKey,
		Created:     testTime,
		PayloadHash: "a",
		Phase:       Started,
	})
	g.Expect(d.Status, err).To(Equal(Unknown))
}
