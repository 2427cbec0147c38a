package courier

import (
	"fmt"
	"math/rand/v2"
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

// exchange sends one batch from a host. The batch or its acknowledgement may be lost.
func (p *pair) exchange(from int, batchLost, answerLost bool) {
	b := p.hosts[from].NextBatch(p.now)
	if batchLost {
		return
	}
	ack, events := p.hosts[1-from].Receive(p.now, b)
	p.record(1-from, events)
	if !answerLost {
		p.record(from, p.hosts[from].HandleAck(p.now, b, ack))
	}
}

func (p *pair) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for i, s := range p.hosts {
		p.record(i, s.CheckTimeout(p.now))
	}
}

// settle exchanges ten batches in each direction without losses, after which both sessions are up
// and no message is queued.
func (p *pair) settle() {
	for range 10 {
		p.exchange(0, false, false)
		p.exchange(1, false, false)
	}
}

func post(s *Session, text string) bool {
	return s.Post(Message{Body: []byte(text)})
}

// Guards against messages that are lost, duplicated or reordered when batches and acknowledgements
// are lost, and against messages of an ended session that are delivered in the next one.
func TestMessagesArriveOnceInOrder(t *testing.T) {
	for seed := range uint64(50) {
		p := newPair(t)
		random := rand.New(rand.NewPCG(seed, 0))
		p.settle()
		sent := [2][]string{}
		sessions := [2]int{}
		for i := range 400 {
			p.advance(time.Duration(random.Int64N(int64(120 * time.Millisecond))))
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
			loss := random.IntN(3)
			p.exchange(random.IntN(2), loss == 0, loss == 1)
			for at := range p.hosts {
				got, all := p.received[1-at], sent[at]
				if len(got) > 0 && p.ups[0] == p.ups[1] && len(got) <= len(all) && p.hosts[at].Up() && p.hosts[1-at].Up() && sessions[at] == p.ups[at] {
					p.g.Expect(all[:len(got)]).To(BeComparableTo(append([]string{}, got...)), "seed %d", seed)
				}
				for k := 1; k < len(got); k++ {
					p.g.Expect(got[k]).NotTo(Equal(got[k-1]), "seed %d", seed)
				}
			}
		}
	}
}

// Guards against a host that continues a session which the other one has ended.
func TestTimeoutEndsBothSides(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.g.Expect(p.ups).To(Equal([2]int{1, 1}))
	p.g.Expect(post(p.hosts[0], "lost")).To(BeTrue())
	// Only the acknowledgements to host 0 are lost: host 1 still receives its batches.
	for range 6 {
		p.advance(100 * time.Millisecond)
		p.exchange(0, false, true)
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

// Guards against a disconnect that does not reach the peer, which would keep sending batches that
// are never applied.
func TestEndReachesPeer(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.record(0, p.hosts[0].End())
	p.exchange(1, false, false)
	p.g.Expect(p.downs).To(Equal([2]int{1, 1}))
	p.settle()
	p.g.Expect(post(p.hosts[1], "new")).To(BeTrue())
	p.settle()
	p.g.Expect(p.received[0]).To(Equal([]string{"new"}))
}

// Guards against two hosts that both send heartbeats, and against a session that ends although the
// heartbeats of one side are exchanged.
func TestOneSideSendsHeartbeats(t *testing.T) {
	p := newPair(t)
	p.settle()
	sent := [2]int{}
	for range 300 {
		p.advance(10 * time.Millisecond)
		for i, s := range p.hosts {
			if s.UntilHeartbeat(p.now) == 0 {
				sent[i]++
				p.exchange(i, false, false)
			}
		}
	}
	p.g.Expect(sent).To(Equal([2]int{30, 0}))
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
	// The other side takes over while the batches of the first one are lost.
	sent = [2]int{}
	for range 40 {
		p.advance(10 * time.Millisecond)
		for i, s := range p.hosts {
			if s.UntilHeartbeat(p.now) == 0 {
				sent[i]++
				p.exchange(i, i == 0, false)
			}
		}
	}
	p.g.Expect(sent[1]).To(BeNumerically(">=", 2))
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
	p.advance(900 * time.Millisecond)
	p.g.Expect(p.hosts[0].UntilHeartbeat(p.now)).To(Equal(100 * time.Millisecond))
	p.hosts[0].SetWatch(p.now, testWatch)
	p.advance(0)
	p.g.Expect(p.downs).To(Equal([2]int{0, 0}))
	p.g.Expect(p.hosts[0].UntilHeartbeat(p.now)).To(BeZero())
	p.advance(testWatch.SuspectAfter)
	p.g.Expect(p.downs).To(Equal([2]int{1, 0}))
}

// Guards against a batch that is applied although its sender has given it up: the receiving process
// was suspended while the batch waited for it.
func TestBatchAfterSuspension(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.g.Expect(post(p.hosts[0], "start a run")).To(BeTrue())
	b := p.hosts[0].NextBatch(p.now)
	// Host 1 is suspended; host 0 ends the session meanwhile.
	p.now = p.now.Add(testWatch.SuspectAfter)
	p.record(0, p.hosts[0].CheckTimeout(p.now))
	_, events := p.hosts[1].Receive(p.now, b)
	p.record(1, events)
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
