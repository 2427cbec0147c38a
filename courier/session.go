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

// Batch is what one host sends to another: a group of messages, or none, with the acknowledgement of
// what it has received.
type Batch struct {
	// From is the address of the sender, Incarnation that of its process.
	From        string `msgpack:"from"`
	Incarnation uint64 `msgpack:"life"`
	// ReceiverIncarnation is the last known incarnation of the receiver, or 0 if none is known.
	ReceiverIncarnation uint64 `msgpack:"to"`
	// Epoch numbers the sessions between the two incarnations.
	Epoch uint64 `msgpack:"epoch"`
	// Seq is the number of this batch if it carries messages. Such batches are numbered from 1 in
	// each session.
	Seq      uint64    `msgpack:"seq"`
	Messages []Message `msgpack:"messages"`
	// Applied is the number of the last batch of the receiver that the sender has applied.
	Applied uint64 `msgpack:"applied,omitempty"`
	// Heartbeat is the number of the last heartbeat of the sender, HeartbeatAcked that of the last one
	// of the receiver that has arrived.
	Heartbeat      uint64 `msgpack:"beat,omitempty"`
	HeartbeatAcked uint64 `msgpack:"beat-acked,omitempty"`
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
	// Ended is set in a Down event if the process of the peer is known to have ended, rather than only
	// not to respond.
	Ended bool
}

// Watch says how closely a host observes a peer.
type Watch struct {
	// HeartbeatEvery is the time without an exchange after which a heartbeat is sent.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time after which the session ends if nothing is received from the peer, or
	// if the peer does not acknowledge a batch.
	SuspectAfter time.Duration
}

const (
	// maxBatchBytes bounds the sum of the message bodies in a batch. A larger message is sent in a
	// batch of its own.
	maxBatchBytes = 256 << 10
	// maxUnacked bounds the batches that are sent before the first of them is acknowledged.
	maxUnacked = 32
	// ackDelay is how long an acknowledgement waits for messages that it can be sent with, and
	// maxUnackedReceived how many batches it waits for. Both are well below what makes the sender
	// send a batch again, or wait.
	ackDelay           = 80 * time.Millisecond
	maxUnackedReceived = maxUnacked / 4
	// attemptInterval is the time between two attempts to begin a session.
	attemptInterval = 100 * time.Millisecond
)

// Session is the protocol state of one side of the sessions with one other host. It does no I/O
// and is not safe for concurrent use.
//
// The caller passes received batches to Receive, and sends the batches that NextBatch returns,
// until it returns none, after each call of another method and when UntilNextBatch has passed.
// Batches may be lost, but those that arrive must arrive in order, unless they are lost again.
//
// Both sides number their sessions by epochs and adopt the higher number. A side that has received
// nothing for the suspicion time, or no acknowledgement of a batch or a heartbeat that it waits for, ends the
// session and moves to the next epoch, which ends the session on the other side. Acknowledged heartbeats keep a session
// whose batches take longer over a slow link: to begin again would take longer still. A batch that is
// received after the suspicion time, for example because the process was suspended, ends the session
// instead of being applied: the sender has given it up by then.
//
// A batch that either side has sent shows the other one that its sender is reachable. So each side
// sends a heartbeat only if it has received nothing for Watch.HeartbeatEvery, and the two may have
// different watches.
type Session struct {
	// Self is the address of this host, Peer that of the other one.
	Self, Peer string
	// Incarnation is that of this process.
	Incarnation uint64
	// ResendAfter is the time after which unacknowledged batches and heartbeats are sent again.
	ResendAfter time.Duration
	// MaxQueue bounds the messages that are queued or not acknowledged. The session ends when there
	// are so many.
	MaxQueue int

	watch        Watch
	watchedSince time.Time // when watch was set

	peerIncarnation uint64
	epoch           uint64
	up              bool
	// refused is set if the peer's machine has refused a connection since the last batch was received:
	// nothing listens at the address, so that the process has ended.
	refused   bool
	attemptAt time.Time // when the next batch is sent while no session is open

	queue []Message // not sent yet
	// unacked holds the batches that were sent and not acknowledged, of which the first onConnection
	// were sent over the present connection. While probing is set, only the first one is sent again.
	unacked      []sentBatch
	onConnection int
	probing      bool
	queued       int       // messages in queue and unacked
	sentSeq      uint64    // number of the last sent batch with messages
	appliedSeq   uint64    // number of the last applied batch of the peer
	ackAt        time.Time // when an acknowledgement is sent at the latest; zero for none
	ackedSeq     uint64    // number of the last batch of the peer that was acknowledged

	heartbeat       uint64 // number of the last heartbeat
	heartbeatAt     time.Time
	heartbeatAcked  uint64 // number of the last heartbeat that the peer has acknowledged
	heartbeatSeen   uint64 // number of the last heartbeat of the peer
	lastReceived    time.Time
	unansweredSince time.Time // since when the peer owes an acknowledgement; zero if it does not
}

// sentBatch holds the messages of a batch that was sent.
type sentBatch struct {
	seq      uint64
	messages []Message
	sentAt   time.Time
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

// PeerRefused records that the peer's machine has refused a connection.
func (s *Session) PeerRefused() { s.refused = true }

// Post queues a message. It returns false if no session is open or the queue is full.
func (s *Session) Post(m Message) bool {
	if !s.up || s.queued >= s.MaxQueue {
		return false
	}
	s.queue = append(s.queue, m)
	s.queued++
	return true
}

// NextBatch returns the batch to send now, or false if there is none. resend reports that earlier
// batches were not acknowledged in time: the connection over which they were sent may be dead.
func (s *Session) NextBatch(now time.Time) (b Batch, resend, found bool) {
	if !s.up {
		if now.Before(s.attemptAt) {
			return Batch{}, false, false
		}
		s.attemptAt = now.Add(attemptInterval)
		s.nextHeartbeatNumber(now)
		return s.newBatch(), false, true
	}
	if s.resendDue(now) {
		s.onConnection = 0
		s.probing = true
		resend = true
	}
	switch {
	case s.mayResend():
		sent := &s.unacked[s.onConnection]
		s.onConnection++
		sent.sentAt = now
		b = s.newBatch()
		b.Seq, b.Messages = sent.seq, sent.messages
		return b, resend, true
	case s.maySend():
		return s.nextMessages(now), false, true
	case s.heartbeatDue(now):
		resend = s.heartbeat > s.heartbeatAcked
		s.nextHeartbeatNumber(now)
		s.expectAnswer(now)
		return s.newBatch(), resend, true
	case !s.ackAt.IsZero() && !now.Before(s.ackAt):
		return s.newBatch(), false, true
	}
	return Batch{}, false, false
}

// nextMessages returns a batch with the queued messages, up to maxBatchBytes.
func (s *Session) nextMessages(now time.Time) Batch {
	n, size := 0, 0
	for _, m := range s.queue {
		size += len(m.Body)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	s.sentSeq++
	s.unacked = append(s.unacked, sentBatch{
		seq:      s.sentSeq,
		messages: s.queue[:n:n],
		sentAt:   now,
	})
	s.onConnection = len(s.unacked)
	s.queue = s.queue[n:]
	s.expectAnswer(now)
	b := s.newBatch()
	b.Seq, b.Messages = s.sentSeq, s.unacked[len(s.unacked)-1].messages
	return b
}

// newBatch returns a batch without messages. It acknowledges everything that was received.
func (s *Session) newBatch() Batch {
	s.ackAt = time.Time{}
	s.ackedSeq = s.appliedSeq
	return Batch{
		From:                s.Self,
		Incarnation:         s.Incarnation,
		ReceiverIncarnation: s.peerIncarnation,
		Epoch:               s.epoch,
		Applied:             s.appliedSeq,
		Heartbeat:           s.heartbeat,
		HeartbeatAcked:      s.heartbeatSeen,
	}
}

// nextHeartbeatNumber makes the next batch a heartbeat, which the peer answers at once.
func (s *Session) nextHeartbeatNumber(now time.Time) {
	s.heartbeat++
	s.heartbeatAt = now
}

func (s *Session) expectAnswer(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// resendDue reports whether the oldest unacknowledged batch is to be sent again.
func (s *Session) resendDue(now time.Time) bool {
	return len(s.unacked) > 0 && s.onConnection > 0 && now.Sub(s.unacked[0].sentAt) >= s.ResendAfter
}

// mayResend reports whether a batch is to be sent over a new connection.
func (s *Session) mayResend() bool {
	return s.onConnection < len(s.unacked) && (!s.probing || s.onConnection == 0)
}

// maySend reports whether new messages may be sent.
func (s *Session) maySend() bool {
	return len(s.queue) > 0 && s.onConnection == len(s.unacked) && len(s.unacked) < maxUnacked && !s.probing
}

// heartbeatDue reports whether a heartbeat is to be sent. Of two hosts with equal watches, the one with
// the lower address sends the heartbeats, and the other one only if these fail to arrive.
func (s *Session) heartbeatDue(now time.Time) bool { return !now.Before(s.nextHeartbeat()) }

func (s *Session) nextHeartbeat() time.Time {
	if s.heartbeat > s.heartbeatAcked {
		return s.heartbeatAt.Add(s.ResendAfter)
	}
	wait := s.watch.HeartbeatEvery
	if s.Self > s.Peer {
		wait += wait / 2
	}
	return s.lastReceived.Add(wait)
}

// UntilNextBatch returns the time until NextBatch or CheckTimeout is to be called again, if no other
// method is called before.
func (s *Session) UntilNextBatch(now time.Time) time.Duration {
	if !s.up {
		return max(0, s.attemptAt.Sub(now))
	}
	next := s.nextHeartbeat()
	earlier := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if !s.ackAt.IsZero() {
		earlier(s.ackAt)
	}
	switch {
	case s.mayResend():
		earlier(now)
	case len(s.unacked) > 0:
		earlier(s.unacked[0].sentAt.Add(s.ResendAfter))
	}
	if s.maySend() {
		earlier(now)
	}
	return max(0, next.Sub(now))
}

// Due reports whether NextBatch or CheckTimeout is to be called.
func (s *Session) Due(now time.Time) bool {
	return s.UntilNextBatch(now) == 0 || s.up && s.timedOut(now)
}

// Receive applies a batch of the other host. It returns the events to deliver.
func (s *Session) Receive(now time.Time, b Batch) []Event {
	if b.Incarnation < s.peerIncarnation {
		return nil
	}
	events := s.CheckTimeout(now)
	if b.Incarnation > s.peerIncarnation || b.Epoch > s.epoch {
		events = append(events, s.reset(b.Incarnation, max(b.Epoch, s.epoch))...)
	}
	s.refused = false
	s.lastReceived = now
	if b.ReceiverIncarnation != s.Incarnation || b.Epoch < s.epoch {
		// The next batch carries the incarnation and epoch with which the sender begins the next
		// session.
		s.attemptAt = now
		s.ackAt = now
		return events
	}
	if !s.up {
		events = append(events, s.open(now))
	}
	s.applyAcks(now, b)
	if b.Heartbeat > s.heartbeatSeen {
		s.heartbeatSeen = b.Heartbeat
		s.ackAt = now
	}
	switch {
	case len(b.Messages) == 0:
	case b.Seq == s.appliedSeq+1:
		s.appliedSeq = b.Seq
		switch {
		case s.appliedSeq-s.ackedSeq >= maxUnackedReceived:
			s.ackAt = now
		case s.ackAt.IsZero():
			s.ackAt = now.Add(ackDelay)
		}
		delivered := s.event(Delivered)
		delivered.Messages = b.Messages
		events = append(events, delivered)
	default:
		// A batch that was sent again, or one after a lost batch. The acknowledgement tells the
		// sender where to continue.
		s.ackAt = now
	}
	return events
}

// applyAcks removes what the peer has acknowledged.
func (s *Session) applyAcks(now time.Time, b Batch) {
	acked := 0
	for acked < len(s.unacked) && s.unacked[acked].seq <= b.Applied {
		s.queued -= len(s.unacked[acked].messages)
		acked++
	}
	progress := acked > 0 || b.HeartbeatAcked > s.heartbeatAcked
	s.unacked = s.unacked[acked:]
	s.onConnection = max(0, s.onConnection-acked)
	s.probing = s.probing && acked == 0
	s.heartbeatAcked = max(s.heartbeatAcked, b.HeartbeatAcked)
	switch {
	case len(s.unacked) == 0 && s.heartbeat == s.heartbeatAcked:
		s.unansweredSince = time.Time{}
	case progress:
		s.unansweredSince = now
	}
}

// CheckTimeout ends the session if the peer has sent nothing or left a batch unacknowledged for the
// suspicion time, or if the queue is full. It returns the Down event if so.
func (s *Session) CheckTimeout(now time.Time) []Event {
	if !s.up || !s.timedOut(now) && s.queued < s.MaxQueue {
		return nil
	}
	return s.End()
}

func (s *Session) timedOut(now time.Time) bool {
	if now.Sub(s.watchedSince) < s.watch.SuspectAfter {
		return false
	}
	return now.Sub(s.lastReceived) >= s.watch.SuspectAfter || !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= s.watch.SuspectAfter
}

// End ends the session at once, for example because the peer is known to have stopped. It moves to
// the next epoch even if no session is open, and returns the Down event if one was.
func (s *Session) End() []Event {
	return s.reset(s.peerIncarnation, s.epoch+1)
}

// open begins the session of the current epoch and returns the Up event. The next batch is sent at once,
// so that the peer begins it too.
func (s *Session) open(now time.Time) Event {
	s.up = true
	s.lastReceived = now
	s.ackAt = now
	return s.event(Up)
}

// reset discards the messages and sequence numbers of the session and sets the incarnation of the
// peer and the epoch of the next session. It returns the Down event if a session was open.
func (s *Session) reset(incarnation, epoch uint64) []Event {
	var events []Event
	if s.up {
		down := s.event(Down)
		down.Ended = s.refused || incarnation > s.peerIncarnation
		events = append(events, down)
	}
	s.up = false
	s.peerIncarnation = incarnation
	s.epoch = epoch
	s.queue, s.unacked = nil, nil
	s.onConnection, s.queued = 0, 0
	s.probing = false
	s.sentSeq, s.appliedSeq, s.ackedSeq = 0, 0, 0
	s.ackAt = time.Time{}
	s.attemptAt = time.Time{}
	s.heartbeat, s.heartbeatAcked, s.heartbeatSeen = 0, 0, 0
	s.unansweredSince = time.Time{}
	return events
}

func (s *Session) event(k EventKind) Event {
	return Event{
		Kind:        k,
		Peer:        s.Peer,
		Incarnation: s.peerIncarnation,
	}
}
