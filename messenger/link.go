package messenger

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes in bytes.
const (
	readBuffer = 16 << 10
	// maxBatch is the size at which a batch of frames is written without adding further
	// frames.
	maxBatch = 64 << 10
	// maxIdleBuffer bounds the capacity of the write buffer that is kept for the next batch.
	maxIdleBuffer = 2 * maxBatch
)

// States of an outgoing frame. Either the writer or the sender of the frame changes the
// state from stateQueued, never both.
const (
	stateQueued int32 = iota
	// stateTaken means that the writer has taken the frame and may have written it.
	stateTaken
	// stateWithdrawn means that the frame will never be written.
	stateWithdrawn
)

var (
	errClosed  = errors.New("closed by this side")
	errGoodbye = errors.New("the peer is stopping")
)

// outgoing is a frame in the write queue of a link.
type outgoing struct {
	frame
	due   time.Time // earliest time of the write; zero if the frame is not delayed
	state atomic.Int32
}

// withdraw prevents the write of the frame. It returns false if the writer has taken the
// frame already.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// link is one established connection. Exactly one goroutine writes to it and one reads from
// it.
type link struct {
	cfg            *Config
	conn           net.Conn
	remote         Hello
	dec            *decoder
	queue          chan *outgoing
	done           chan struct{} // closed by fail
	goodbyeWritten chan struct{} // closed once goodbye is written
	once           sync.Once     // for fail
	err            error         // valid once done is closed
	own            counters      // of this link
	total          *counters     // of all links of the Peer or Listener
}

func newLink(conn net.Conn, cfg *Config, total *counters) *link {
	return &link{
		cfg:            cfg,
		conn:           conn,
		dec:            newDecoder(conn),
		queue:          make(chan *outgoing, cfg.QueueSize),
		done:           make(chan struct{}),
		goodbyeWritten: make(chan struct{}),
		total:          total,
	}
}

// dialHandshake exchanges hellos on the dialing side.
func (l *link) dialHandshake() error {
	return l.handshake(l.sendHello, l.receiveHello)
}

// acceptHandshake exchanges hellos on the accepting side, which sends its hello only after it
// has checked the token in the hello of the dialing side and register has returned no error.
func (l *link) acceptHandshake(register func() error) error {
	return l.handshake(l.receiveHello, register, l.sendHello)
}

// handshake runs the steps within DialTimeout.
func (l *link) handshake(steps ...func() error) error {
	if err := l.conn.SetDeadline(time.Now().Add(l.cfg.DialTimeout)); err != nil {
		return err
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	l.own.connections.Add(1)
	l.total.connections.Add(1)
	return l.conn.SetDeadline(time.Time{})
}

func (l *link) sendHello() error {
	body, err := Encode(l.cfg.Local)
	if err != nil {
		return err
	}
	enc := newEncoder()
	enc.add(frame{
		typ:  frameHello,
		body: body,
	})
	n, err := l.conn.Write(enc.buf.Bytes())
	l.countOut(1, n)
	return err
}

func (l *link) receiveHello() error {
	f, n, err := l.dec.read(maxHelloFrame)
	if err != nil {
		return err
	}
	if f.typ != frameHello {
		return &HelloError{Reason: "the first frame is not a hello"}
	}
	if err := Decode(f.body, &l.remote); err != nil {
		return err
	}
	if err := l.cfg.check(l.remote); err != nil {
		return err
	}
	l.remote.Token = ""
	l.own.in(n)
	l.total.in(n)
	return nil
}

func (l *link) countOut(frames, bytes int) {
	l.own.out(frames, bytes)
	l.total.out(frames, bytes)
}

func (l *link) read() (frame, error) {
	f, n, err := l.dec.read(l.cfg.MaxFrame)
	if err == nil {
		l.own.in(n)
		l.total.in(n)
	}
	return f, err
}

// fail closes the connection. Only the error of the first call is kept.
func (l *link) fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		_ = l.conn.Close()
	})
}

// setDue sets the due time of a frame that is about to be queued.
func (l *link) setDue(o *outgoing) {
	if l.cfg.WriteDelay != nil {
		o.due = time.Now().Add(l.cfg.WriteDelay())
	}
}

// offer queues the frame without blocking. It returns false if the queue is full.
func (l *link) offer(o *outgoing) bool {
	l.setDue(o)
	select {
	case l.queue <- o:
		return true
	default:
		return false
	}
}

// put queues the frame. If the queue is full, it blocks until there is free capacity, and
// returns false if cancel is closed, goodbye is written or the link ends before that.
func (l *link) put(o *outgoing, cancel <-chan struct{}) bool {
	l.setDue(o)
	select {
	case l.queue <- o:
		return true
	default:
	}
	select {
	case l.queue <- o:
		return true
	case <-cancel:
	case <-l.goodbyeWritten:
	case <-l.done:
	}
	return false
}

// write writes queued frames until the link ends or goodbye is written.
func (l *link) write() {
	enc := newEncoder()
	for {
		select {
		case o := <-l.queue:
			last, err := l.writeBatch(enc, o)
			if err != nil {
				l.fail(err)
				return
			}
			if last {
				close(l.goodbyeWritten)
				return
			}
		case <-l.done:
			return
		}
	}
}

// writeBatch writes the frame and those queued after it, up to maxBatch. It reports whether
// the last one was goodbye.
func (l *link) writeBatch(enc *encoder, o *outgoing) (last bool, err error) {
	frames := 0
	for o != nil && !last {
		if !o.due.IsZero() {
			if err := l.await(enc, &frames, o.due); err != nil {
				return false, err
			}
		}
		if o.state.CompareAndSwap(stateQueued, stateTaken) {
			enc.add(o.frame)
			frames++
			last = o.typ == frameGoodbye
		}
		o = nil
		if enc.buf.Len() < maxBatch {
			select {
			case o = <-l.queue:
			default:
			}
		}
	}
	return last, l.flush(enc, &frames)
}

// await writes the frames encoded so far and waits until the due time of the next frame.
// Frames are written in the order of the queue, even if a later one is due earlier.
func (l *link) await(enc *encoder, frames *int, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return nil
	}
	if err := l.flush(enc, frames); err != nil {
		return err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-l.done:
		return l.err
	}
}

// flush writes the encoded frames to the connection and resets the buffer and the number of
// frames.
func (l *link) flush(enc *encoder, frames *int) error {
	if *frames == 0 {
		return nil
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.cfg.WriteTimeout)); err != nil {
		return err
	}
	n, err := l.conn.Write(enc.buf.Bytes())
	l.countOut(*frames, n)
	*frames = 0
	enc.buf.Reset()
	if enc.buf.Cap() > maxIdleBuffer {
		enc.buf = bytes.Buffer{}
	}
	return err
}
