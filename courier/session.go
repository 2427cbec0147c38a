package courier

import (
	"time"
)

// Kind identifies the type of a message. The user of the package assigns the numbers.
type Kind uint8

// Message is a unit of delivery. The package does not interpret Body.
type Message struct {
	Kind Kind   `msgpack:"k"`
	Body []byte `msgpack:"b"`
}

// Batch is the body of one call between hosts: a group of messages, or an empty heartbeat.
type Batch struct {
	// From is the address of the sender, Incarnation that of its process.
	From        string `msgpack:"from"`
	Incarnation uint64 `msgpack:"life"`
	// ReceiverIncarnation is the last known incarnation of the receiver, or 0 if none is known.
	ReceiverIncarnation uint64 `msgpack:"to"`
	// Epoch numbers the sessions between the two incarnations.
	Epoch uint64 `msgpack:"epoch"`
	// Seq numbers the batches of a session that carry messages, from 1. An empty batch has the
	// number of the last batch with messages before it.
	Seq      uint64    `msgpack:"seq"`
	Messages []Message `msgpack:"messages"`
}

// Ack acknowledges a batch. If Incarnation and Epoch are ReceiverIncarnation and Epoch of the
// batch, the receiver has applied all batches up to Seq; otherwise the session of the batch has
// ended.
type Ack struct {
	Incarnation uint64 `msgpack:"life"`
	Epoch       uint64 `msgpack:"epoch"`
	Seq         uint64 `msgpack:"seq"`
}

// EventKind is the type of an Event.
type EventKind int

// The kinds of events.
const (
	// Up begins a session.
	Up EventKind = iota
	// Delivered carries messages that the peer has sent.
	Delivered
	// Down ends a session. Messages that were posted in it and not acknowledged may or may not
	// have been delivered.
	Down
)

// Event reports the beginning or end of a session, or messages received in it. The events of one
// peer are in order: Up, any number of Delivered, Down, Up and so on.
type Event struct {
	Kind EventKind
	// Peer is the address of the other host, Incarnation that of its process in this session.
	Peer        string
	Incarnation uint64
	Messages    []Message
}

// Watch says how closely a host observes a peer.
type Watch struct {
	// HeartbeatEvery is the time without an exchange after which an empty batch is sent.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time after which the session ends if nothing is received from the peer, or
	// if the peer does not acknowledge a batch.
	SuspectAfter time.Duration
}

// maxBatchBytes bounds the sum of the message bodies in a batch. A larger message is sent in a
// batch of its own.
const maxBatchBytes = 256 << 10

// Session is the protocol state of one side of the sessions with one other host. It does no I/O
// and is not safe for concurrent use.
//
// Both sides number their sessions by epochs and adopt the higher number. A side that has received
// nothing for the suspicion time, or whose batch was not acknowledged for that time, ends the
// session and moves to the next epoch, which ends the session on the other side. A batch that is
// received after the suspicion time, for example because the process was suspended, ends the session
// instead of being applied: the sender has given it up by then.
//
// An exchange that either side has begun shows both that the other one is reachable. So each side
// sends a heartbeat only if there was no exchange for Watch.HeartbeatEvery, and the two may have
// different watches.
type Session struct {
	// Self is the address of this host, Peer that of the other one.
	Self, Peer string
	// Incarnation is that of this process.
	Incarnation uint64
	// MaxQueue bounds the queued messages. The session ends when the queue is full.
	MaxQueue int

	watch        Watch
	watchedSince time.Time // when watch was set

	peerIncarnation uint64
	epoch           uint64
	up              bool

	queue      []Message
	inFlight   int    // messages at the head of queue that were sent in batch sentSeq
	sentSeq    uint64 // number of the last sent batch with messages
	appliedSeq uint64 // number of the last applied batch of the peer

	lastReceived time.Time // when a batch or an acknowledgement was last received from the peer
	unackedSince time.Time // when the oldest unacknowledged batch was sent; zero if there is none
}

// SetWatch changes the watch. The suspicion time begins anew, so that a session that was watched less
// closely before does not end at once.
func (s *Session) SetWatch(now time.Time, w Watch) {
	if w == s.watch {
		return
	}
	s.watch = w
	s.watchedSince = now
}

// Up reports whether a session is open.
func (s *Session) Up() bool { return s.up }

// PeerIncarnation returns the last known incarnation of the other process, or 0 if none is known.
func (s *Session) PeerIncarnation() uint64 { return s.peerIncarnation }

// Post queues a message. It returns false if no session is open or the queue is full.
func (s *Session) Post(m Message) bool {
	if !s.up || len(s.queue) >= s.MaxQueue {
		return false
	}
	s.queue = append(s.queue, m)
	return true
}

// HasQueued reports whether messages are queued or sent but not acknowledged.
func (s *Session) HasQueued() bool { return len(s.queue) > 0 }

// NextBatch returns the batch to send: the unacknowledged one if there is one, otherwise one with
// the queued messages, or an empty one if none are queued.
func (s *Session) NextBatch(now time.Time) Batch {
	if s.unackedSince.IsZero() {
		s.unackedSince = now
	}
	b := Batch{
		From:                s.Self,
		Incarnation:         s.Incarnation,
		ReceiverIncarnation: s.peerIncarnation,
		Epoch:               s.epoch,
		Seq:                 s.sentSeq,
	}
	if s.inFlight == 0 && len(s.queue) > 0 {
		size := 0
		for _, m := range s.queue {
			size += len(m.Body)
			if s.inFlight > 0 && size > maxBatchBytes {
				break
			}
			s.inFlight++
		}
		s.sentSeq++
		b.Seq = s.sentSeq
	}
	b.Messages = s.queue[:s.inFlight:s.inFlight]
	return b
}

// HandleAck applies the acknowledgement of a batch. It returns Up or Down if it opens or ends a
// session.
func (s *Session) HandleAck(now time.Time, b Batch, a Ack) []Event {
	if b.Epoch != s.epoch || b.ReceiverIncarnation != s.peerIncarnation {
		// The session of the batch has ended.
		return nil
	}
	if a.Incarnation < s.peerIncarnation {
		return nil
	}
	s.lastReceived = now
	s.unackedSince = time.Time{}
	if a.Incarnation != s.peerIncarnation || a.Epoch != s.epoch {
		return s.reset(a.Incarnation, max(a.Epoch, s.epoch))
	}
	if s.inFlight > 0 && a.Seq >= s.sentSeq {
		s.queue = s.queue[s.inFlight:]
		s.inFlight = 0
	}
	return s.open(now)
}

// Receive applies a batch of the other host. It returns the acknowledgement to send and the events
// to deliver.
func (s *Session) Receive(now time.Time, b Batch) (Ack, []Event) {
	if b.Incarnation < s.peerIncarnation {
		return s.ack(), nil
	}
	events := s.CheckTimeout(now)
	if b.Incarnation > s.peerIncarnation || b.Epoch > s.epoch {
		events = append(events, s.reset(b.Incarnation, max(b.Epoch, s.epoch))...)
	}
	s.lastReceived = now
	if b.ReceiverIncarnation != s.Incarnation || b.Epoch < s.epoch {
		// The acknowledgement carries the incarnation and epoch with which the sender begins the
		// next session.
		return s.ack(), events
	}
	if len(b.Messages) > 0 && b.Seq == s.appliedSeq+1 {
		s.appliedSeq = b.Seq
		events = append(events, s.open(now)...)
		delivered := s.event(Delivered)
		delivered.Messages = b.Messages
		events = append(events, delivered)
	}
	return s.ack(), events
}

func (s *Session) ack() Ack {
	return Ack{
		Incarnation: s.Incarnation,
		Epoch:       s.epoch,
		Seq:         s.appliedSeq,
	}
}

// CheckTimeout ends the session if the peer has sent nothing or left a batch unacknowledged for the
// suspicion time, or if the queue is full. It returns the Down event if so.
func (s *Session) CheckTimeout(now time.Time) []Event {
	if !s.up || !s.timedOut(now) && len(s.queue) < s.MaxQueue {
		return nil
	}
	return s.End()
}

func (s *Session) timedOut(now time.Time) bool {
	if now.Sub(s.watchedSince) < s.watch.SuspectAfter {
		return false
	}
	return now.Sub(s.lastReceived) >= s.watch.SuspectAfter || !s.unackedSince.IsZero() && now.Sub(s.unackedSince) >= s.watch.SuspectAfter
}

// UntilHeartbeat returns the time until a heartbeat is due, or 0 if a batch is to be sent now. Of two
// hosts with equal watches, the one with the lower address sends the heartbeats, and the other one
// only if these fail to arrive.
func (s *Session) UntilHeartbeat(now time.Time) time.Duration {
	if !s.up || len(s.queue) > 0 {
		return 0
	}
	wait := s.watch.HeartbeatEvery
	if s.Self > s.Peer {
		wait += wait / 2
	}
	return max(0, wait-now.Sub(s.lastReceived))
}

// End ends the session at once, for example because the peer is known to have stopped. It moves to
// the next epoch even if no session is open, and returns the Down event if one was.
func (s *Session) End() []Event {
	return s.reset(s.peerIncarnation, s.epoch+1)
}

// open begins the session of the current epoch. It returns the Up event, or nil if the session is
// already open.
func (s *Session) open(now time.Time) []Event {
	if s.up {
		return nil
	}
	s.up = true
	s.lastReceived = now
	s.unackedSince = time.Time{}
	return []Event{s.event(Up)}
}

// reset discards the messages and sequence numbers of the session and sets the incarnation of the
// peer and the epoch of the next session. It returns the Down event if a session was open.
func (s *Session) reset(incarnation, epoch uint64) []Event {
	var events []Event
	if s.up {
		events = append(events, s.event(Down))
	}
	s.up = false
	s.peerIncarnation = incarnation
	s.epoch = epoch
	s.unackedSince = time.Time{}
	s.queue = nil
	s.inFlight = 0
	s.sentSeq = 0
	s.appliedSeq = 0
	return events
}

func (s *Session) event(k EventKind) Event {
	return Event{
		Kind:        k,
		Peer:        s.Peer,
		Incarnation: s.peerIncarnation,
	}
}
