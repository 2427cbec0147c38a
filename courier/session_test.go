package courier

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func newSession(self, peer string, incarnation uint64) *Session {
	return &Session{
		Self:        self,
		Peer:        peer,
		Incarnation: incarnation,
		ResendAfter: 200 * time.Millisecond,
		MaxQueue:    100,
		watch:       testWatch,
	}
}

var testWatch = Watch{
	HeartbeatEvery: 100 * time.Millisecond,
	SuspectAfter:   500 * time.Millisecond,
}

// pair is the sessions of two hosts whose batches and acknowledgements may be lost.
type pair struct {
	g     *WithT
	now   time.Time
	hosts [2]*Session
	// received holds the messages that were delivered since the last event Up.
	received [2][]string
	ups      [2]int
	downs    [2]int
}

func newPair(t *testing.T) *pair {
	return &pair{
		g:   NewWithT(t),
		now: start,
		hosts: [2]*Session{
			newSession("a", "b", 1),
			newSession("b", "a", 1),
		},
	}
}

func (p *pair) record(at int, events []Event) {
	for _, e := range events {
		switch e.Kind {
		case Up:
			p.ups[at]++
			p.received[at] = nil
		case Down:
			p.downs[at]++
		case Delivered:
			p.g.Expect(p.ups[at]).To(Equal(p.downs[at]+1), "messages are delivered only within a session")
			for _, m := range e.Messages {
				p.received[at] = append(p.received[at], string(m.Body))
			}
		}
	}
}

// send sends all batches that a host has to send now, of which lost are lost. It returns their number.
func (p *pair) send(from int, lost func() bool) int {
	n := 0
	for {
		b, _, found := p.hosts[from].NextBatch(p.now)
		if !found {
			return n
		}
		n++
		p.g.Expect(n).To(BeNumerically("<", 1000), "a host sends without end")
		if !lost() {
			p.record(1-from, p.hosts[1-from].Receive(p.now, b))
		}
	}
}

func never() bool  { return false }
func always() bool { return true }

func (p *pair) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for i, s := range p.hosts {
		p.record(i, s.CheckTimeout(p.now))
	}
}

// settle exchanges batches without losses until neither host has any to send within a second, after
// which both sessions are up and all messages are acknowledged.
func (p *pair) settle() {
	for range 100 {
		p.advance(10 * time.Millisecond)
		p.send(0, never)
		p.send(1, never)
	}
}

func post(s *Session, text string) bool {
	return s.Post(Message{Body: []byte(text)})
}

// Guards against messages that are lost, duplicated or reordered when batches are lost, and against
// messages of an ended session that are delivered in the next one.
func TestMessagesArriveOnceInOrder(t *testing.T) {
	for seed := range uint64(50) {
		p := newPair(t)
		random := rand.New(rand.NewPCG(seed, 0))
		p.settle()
		sent := [2][]string{}
		sessions := [2]int{}
		delivered := 0
		for i := range 600 {
			p.advance(time.Duration(random.Int64N(int64(80 * time.Millisecond))))
			for at, s := range p.hosts {
				if p.ups[at] != sessions[at] {
					sessions[at] = p.ups[at]
					sent[at] = nil
				}
				text := fmt.Sprintf("%d-%d-%d", at, p.ups[at], i)
				if random.IntN(3) == 0 && post(s, text) {
					sent[at] = append(sent[at], text)
				}
			}
			lossy := random.IntN(4) == 0
			p.send(random.IntN(2), func() bool { return lossy && random.IntN(2) == 0 })
			for at := range p.hosts {
				got, all := p.received[1-at], sent[at]
				delivered += len(got)
				sameSession := p.ups[0] == p.ups[1] && p.hosts[at].Up() && p.hosts[1-at].Up() && sessions[at] == p.ups[at]
				if sameSession && len(got) <= len(all) && !slices.Equal(got, all[:len(got)]) {
					t.Fatalf("seed %d: host %d has sent %q, and %q were delivered", seed, at, all, got)
				}
				for k := 1; k < len(got); k++ {
					if got[k] == got[k-1] {
						t.Fatalf("seed %d: %q was delivered twice", seed, got[k])
					}
				}
			}
		}
		p.g.Expect(delivered).To(BeNumerically(">", 100), "seed %d", seed)
	}
}

// Guards against messages that are not sent again after a loss, and against a connection that transfers
// nothing and is not replaced.
func TestLostBatchesAreResent(t *testing.T) {
	p := newPair(t)
	p.settle()
	for i := range 5 {
		p.g.Expect(post(p.hosts[0], fmt.Sprint(i))).To(BeTrue())
		p.g.Expect(p.send(0, func() bool { return i >= 1 && i <= 3 })).To(Equal(1), "messages are sent without waiting for acknowledgements")
	}
	p.g.Expect(p.received[1]).To(Equal([]string{"0"}), "a batch after a lost one is not applied")
	p.send(1, never)
	p.advance(p.hosts[0].ResendAfter)
	_, resend, found := p.hosts[0].NextBatch(p.now)
	p.g.Expect(found).To(BeTrue())
	p.g.Expect(resend).To(BeTrue())
	for found {
		var b Batch
		b, _, found = p.hosts[0].NextBatch(p.now)
		p.g.Expect(b.Messages).To(BeEmpty(), "the others wait until the first one is acknowledged over the new connection")
	}
	p.advance(p.hosts[0].ResendAfter)
	p.send(0, never)
	p.g.Expect(p.received[1]).To(Equal([]string{"0", "1"}))
	p.send(1, never)
	p.g.Expect(p.send(0, never)).To(Equal(3))
	p.g.Expect(p.received[1]).To(Equal([]string{"0", "1", "2", "3", "4"}))
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
}

// Guards against acknowledgements that are packets of their own although messages go in both directions.
func TestAcknowledgementsTravelWithMessages(t *testing.T) {
	p := newPair(t)
	p.settle()
	batches := 0
	for range 50 {
		for i, s := range p.hosts {
			p.g.Expect(post(s, "x")).To(BeTrue())
			batches += p.send(i, never)
			p.advance(time.Millisecond)
		}
	}
	p.g.Expect(batches).To(Equal(100))
	p.g.Expect(post(p.hosts[0], "last")).To(BeTrue())
	p.send(0, never)
	p.g.Expect(p.send(1, never)).To(BeZero())
	p.g.Expect(p.hosts[1].UntilNextBatch(p.now)).To(Equal(ackDelay))
	p.advance(ackDelay)
	p.g.Expect(p.send(1, never)).To(Equal(1))
}

// Guards against a host that continues a session which the other one has ended.
func TestTimeoutEndsBothSides(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.g.Expect(p.ups).To(Equal([2]int{1, 1}))
	p.g.Expect(post(p.hosts[0], "lost")).To(BeTrue())
	// What host 1 sends is lost; it still receives the batches of host 0.
	for range 6 {
		p.advance(100 * time.Millisecond)
		p.send(0, never)
		p.send(1, always)
	}
	p.g.Expect(p.hosts[0].Up()).To(BeFalse())
	p.settle()
	p.g.Expect(p.downs).To(Equal([2]int{1, 1}))
	p.g.Expect(p.hosts[0].Up()).To(BeTrue())
	p.g.Expect(p.hosts[1].Up()).To(BeTrue())
	p.g.Expect(p.received[1]).To(BeEmpty(), "a message of the ended session is not delivered")
}

// Guards against a restarted process that is mistaken for the previous one at the same address.
func TestRestartEndsSession(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.g.Expect(post(p.hosts[1], "for the previous process")).To(BeTrue())
	p.hosts[0] = newSession("a", "b", 2)
	p.ups[0], p.downs[0] = 0, 0
	p.settle()
	p.g.Expect(p.downs[1]).To(Equal(1))
	p.g.Expect(p.hosts[0].Up()).To(BeTrue())
	p.g.Expect(p.hosts[1].Up()).To(BeTrue())
	p.g.Expect(p.received[0]).To(BeEmpty())
}

// Guards against a host that is suspended or cut off and taken for one whose process has ended, so that its runs are
// stopped at once.
func TestDownSaysWhetherPeerHasEnded(t *testing.T) {
	for _, test := range []struct {
		name string
		// lose makes host 1 lose host 0.
		lose  func(p *pair) []Event
		ended bool
	}{
		{"silence", func(p *pair) []Event {
			return p.hosts[1].CheckTimeout(p.now.Add(testWatch.SuspectAfter))
		}, false},
		{"refused connection", func(p *pair) []Event {
			p.hosts[1].PeerRefused()
			return p.hosts[1].CheckTimeout(p.now.Add(testWatch.SuspectAfter))
		}, true},
		{"refused connection before the last batch", func(p *pair) []Event {
			p.hosts[1].PeerRefused()
			p.settle()
			return p.hosts[1].CheckTimeout(p.now.Add(testWatch.SuspectAfter))
		}, false},
		{"restart", func(p *pair) []Event {
			b, _, _ := newSession("a", "b", 2).NextBatch(p.now)
			return p.hosts[1].Receive(p.now, b)
		}, true},
		{"next session", func(p *pair) []Event {
			p.hosts[0].End()
			b, _, _ := p.hosts[0].NextBatch(p.now)
			return p.hosts[1].Receive(p.now, b)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(t)
			p.settle()
			events := test.lose(p)
			p.g.Expect(events).NotTo(BeEmpty())
			p.g.Expect(events[0].Kind).To(Equal(Down))
			p.g.Expect(events[0].Ended).To(Equal(test.ended))
		})
	}
}

// Guards against a disconnect that does not reach the peer, which would keep sending batches that
// are never applied.
func TestEndReachesPeer(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.record(0, p.hosts[0].End())
	p.send(0, never)
	p.g.Expect(p.downs).To(Equal([2]int{1, 1}))
	p.settle()
	p.g.Expect(post(p.hosts[1], "new")).To(BeTrue())
	p.settle()
	p.g.Expect(p.received[0]).To(Equal([]string{"new"}))
}

// Guards against two hosts that both send heartbeats, and against a session that ends although the
// heartbeats of one side arrive and are answered.
func TestOneSideSendsHeartbeats(t *testing.T) {
	p := newPair(t)
	p.settle()
	beats := [2]uint64{p.hosts[0].heartbeat, p.hosts[1].heartbeat}
	sent := 0
	for range 300 {
		p.advance(10 * time.Millisecond)
		sent += p.send(0, never) + p.send(1, never)
	}
	p.g.Expect(p.hosts[0].heartbeat - beats[0]).To(BeNumerically("~", 30, 2))
	p.g.Expect(p.hosts[1].heartbeat).To(Equal(beats[1]))
	p.g.Expect(sent).To(BeNumerically("~", 60, 4), "heartbeats and answers")
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
	// The other side takes over while the batches of the first one are lost.
	for range 40 {
		p.advance(10 * time.Millisecond)
		p.send(0, always)
		p.send(1, never)
	}
	p.g.Expect(p.hosts[1].heartbeat).To(BeNumerically(">", beats[1]))
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
}

// Guards against a host that is watched closely from now on and counts as lost at once, since nothing
// was exchanged with it for longer than its new suspicion time.
func TestWatchMoreClosely(t *testing.T) {
	p := newPair(t)
	for _, s := range p.hosts {
		s.SetWatch(p.now, Watch{
			HeartbeatEvery: time.Second,
			SuspectAfter:   2500 * time.Millisecond,
		})
	}
	p.settle()
	p.g.Expect(post(p.hosts[1], "x")).To(BeTrue())
	p.send(1, never)
	p.advance(ackDelay)
	p.send(0, never)
	p.advance(900 * time.Millisecond)
	p.g.Expect(p.hosts[0].UntilNextBatch(p.now)).To(Equal(time.Second - 900*time.Millisecond - ackDelay))
	p.hosts[0].SetWatch(p.now, testWatch)
	p.advance(0)
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
	p.g.Expect(p.hosts[0].UntilNextBatch(p.now)).To(BeZero())
	p.advance(testWatch.SuspectAfter)
	p.g.Expect(p.downs).To(Equal([2]int{1, 0}))
}

// Guards against a batch that is applied although its sender has given it up: the receiving process
// was suspended while the batch waited for it.
func TestBatchAfterSuspension(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.g.Expect(post(p.hosts[0], "start a run")).To(BeTrue())
	b, _, _ := p.hosts[0].NextBatch(p.now)
	// Host 1 is suspended; host 0 ends the session meanwhile.
	p.now = p.now.Add(testWatch.SuspectAfter)
	p.record(0, p.hosts[0].CheckTimeout(p.now))
	p.record(1, p.hosts[1].Receive(p.now, b))
	p.g.Expect(p.downs).To(Equal([2]int{1, 1}))
	p.g.Expect(p.received[1]).To(BeEmpty())
	p.settle()
	p.g.Expect(p.received[1]).To(BeEmpty())
}

// Guards against unbounded memory use while a peer acknowledges nothing.
func TestFullQueueEndsSession(t *testing.T) {
	p := newPair(t)
	p.settle()
	for range 100 {
		p.g.Expect(post(p.hosts[0], "x")).To(BeTrue())
	}
	p.g.Expect(post(p.hosts[0], "too much")).To(BeFalse())
	p.advance(time.Millisecond)
	p.g.Expect(p.hosts[0].Up()).To(BeFalse())
}
