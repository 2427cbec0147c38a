package messenger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errUnsolicited is the reason for closing a connection on which the listener sends
// anything but replies and goodbye.
var errUnsolicited = &MalformedError{Reason: "a frame from the listener is not a reply"}

var errNotQueued = errors.New("the message was not queued before the connection or the wait ended")

var errReconnect = errors.New("the connection was given up for a new one")

var errRefused = errors.New("the peer did not accept the message: it is stopping or too many handlers run")

// Peer sends messages to one other host. It dials when a message is to be sent and there is
// no connection, and keeps the connection open. After a failed dial, messages fail at once
// until the backoff has passed.
type Peer struct {
	address string
	cfg     Config
	stop    context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup
	lastID  atomic.Uint64 // identifier of the last call; none is used twice
	total   counters

	mu       sync.Mutex
	closed   bool
	link     *clientLink // nil if there is no connection
	dial     *dialing    // nil unless an attempt to connect is running
	failures int         // consecutive dials and connections without any reply
	failedAt time.Time
	retryAt  time.Time // no dial before
	lastErr  error
}

// dialing is one attempt to connect. Several calls may wait for it.
type dialing struct {
	done chan struct{}
	link *clientLink // valid once done is closed
	err  error       // valid once done is closed
}

// clientLink is the dialing side of a link. It matches replies to calls.
type clientLink struct {
	*link
	establishedAt time.Time
	// stopping is set if the peer has sent goodbye, before the link ends.
	stopping atomic.Bool

	mu      sync.Mutex
	pending map[uint64]*call // calls that wait for a reply, by identifier
}

// call is a request and the channel for its reply.
type call struct {
	outgoing
	reply chan frame // buffered for the single reply
}

// NewPeer returns a Peer for the host that listens on the address. It does not dial yet.
func NewPeer(address string, cfg Config) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	cfg = cfg.withDefaults()
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	return &Peer{
		address: address,
		cfg:     cfg,
		ctx:     ctx,
		stop:    stop,
	}
}

// Stats returns the counters summed over all connections of the Peer.
func (p *Peer) Stats() Stats { return p.total.stats() }

// Close closes the connection. Calls that wait for a reply fail with *LostError, later ones
// with *NotSentError.
func (p *Peer) Close() error {
	p.mu.Lock()
	p.closed = true
	link := p.link
	p.mu.Unlock()
	p.stop()
	if link != nil {
		link.fail(errClosed)
	}
	p.wg.Wait()
	return nil
}

// Call sends a request and waits for its reply or for the end of ctx. The error is of type
// *NotSentError, *LostError or *RemoteError. The body must not be changed afterwards, since
// it may still be read after Call has returned a *LostError.
func (p *Peer) Call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	if err := p.checkSize(body); err != nil {
		return nil, p.notSent(err)
	}
	if err := ctx.Err(); err != nil {
		return nil, p.notSent(err)
	}
	l, err := p.connect(ctx)
	if err != nil {
		return nil, p.notSent(err)
	}
	c := &call{
		outgoing: outgoing{
			frame: frame{
				typ:  frameRequest,
				id:   p.lastID.Add(1),
				kind: kind,
				body: body,
			},
		},
		reply: make(chan frame, 1),
	}
	l.add(c)
	if !l.put(&c.outgoing, ctx.Done()) {
		l.remove(c.id)
		if err := ctx.Err(); err != nil {
			return nil, p.notSent(err)
		}
		return nil, p.notSent(l.err)
	}
	select {
	case f := <-c.reply:
		return p.result(f)
	case <-ctx.Done():
		return p.endWithoutReply(l, c, ctx.Err())
	case <-l.done:
		return p.endWithoutReply(l, c, l.err)
	}
}

// endWithoutReply returns the result of a call that stopped waiting for its reply because
// of the reason: *NotSentError, *LostError, or the reply if it arrived in the meantime.
func (p *Peer) endWithoutReply(l *clientLink, c *call, reason error) ([]byte, error) {
	if c.withdraw() {
		l.remove(c.id)
		return nil, p.notSent(reason)
	}
	// The reader delivers all replies that precede goodbye before it sets stopping. Hence
	// stopping must be read before the call is removed.
	stopping := l.stopping.Load()
	if l.remove(c.id) {
		if stopping {
			return nil, p.notSent(errGoodbye)
		}
		return nil, &LostError{
			Address: p.address,
			Err:     reason,
		}
	}
	// The reader has removed the call and is delivering its reply.
	return p.result(<-c.reply)
}

// Send queues a one-way message and never blocks. The error is of type *NotSentError; if it
// is nil, the message may still be lost. If there is no connection, Send starts to connect
// and returns an error. The body must not be changed afterwards.
func (p *Peer) Send(kind Kind, body []byte) error {
	if err := p.checkSize(body); err != nil {
		return p.notSent(err)
	}
	l, _, err := p.current()
	if err != nil {
		return p.notSent(err)
	}
	if l == nil {
		return p.notSent(errors.New("not connected yet"))
	}
	o := &outgoing{
		frame: frame{
			typ:  frameOneWay,
			kind: kind,
			body: body,
		},
	}
	if !l.offer(o) {
		return p.notSent(fmt.Errorf("%d messages wait already", p.cfg.QueueSize))
	}
	return nil
}

// SendWait queues a one-way message. If there is no connection, or the write queue is full, it waits
// until ctx ends. The error is of type *NotSentError; if it is nil, the message may still be lost. The
// body must not be changed afterwards.
func (p *Peer) SendWait(ctx context.Context, kind Kind, body []byte) error {
	if err := p.checkSize(body); err != nil {
		return p.notSent(err)
	}
	l, err := p.connect(ctx)
	if err != nil {
		return p.notSent(err)
	}
	o := &outgoing{
		frame: frame{
			typ:  frameOneWay,
			kind: kind,
			body: body,
		},
	}
	if !l.put(o, ctx.Done()) {
		return p.notSent(errNotQueued)
	}
	return nil
}

// Remote returns the hello of the other side of the connection. If there is no connection, it waits for
// one until ctx ends. The error is of type *NotSentError.
func (p *Peer) Remote(ctx context.Context) (Hello, error) {
	l, err := p.connect(ctx)
	if err != nil {
		return Hello{}, p.notSent(err)
	}
	return l.remote, nil
}

// Address returns the address of the other host.
func (p *Peer) Address() string { return p.address }

func (p *Peer) notSent(err error) error {
	return &NotSentError{
		Address: p.address,
		Err:     err,
	}
}

func (p *Peer) checkSize(body []byte) error {
	if size := len(body) + frameOverhead; size > p.cfg.MaxFrame {
		return &TooLargeError{
			Size: size,
			Max:  p.cfg.MaxFrame,
		}
	}
	return nil
}

// result turns a reply frame into the result of a call.
func (p *Peer) result(f frame) ([]byte, error) {
	switch f.typ {
	case frameReply:
		return f.body, nil
	case frameRefusal:
		return nil, p.notSent(errRefused)
	default:
		remote := &RemoteError{}
		if err := Decode(f.body, remote); err != nil {
			remote.Code = CodeInternal
			remote.Message = err.Error()
		}
		return nil, remote
	}
}

// connect returns the connection. If there is none, it dials and waits for the result.
func (p *Peer) connect(ctx context.Context) (*clientLink, error) {
	l, d, err := p.current()
	if l != nil || err != nil {
		return l, err
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// current returns the connection or the running attempt to connect, which it starts if there
// is none. It returns an error if the Peer is closed or the backoff has not passed.
func (p *Peer) current() (*clientLink, *dialing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, errClosed
	case p.link != nil:
		return p.link, nil, nil
	case p.dial != nil:
		return nil, p.dial, nil
	case time.Now().Before(p.retryAt):
		return nil, nil, fmt.Errorf("waiting to dial again: %w", p.lastErr)
	}
	d := &dialing{done: make(chan struct{})}
	p.dial = d
	p.wg.Go(func() { p.dialOnce(d) })
	return nil, d, nil
}

// dialOnce dials, stores the result in d and starts the reader and the writer of the new
// connection.
func (p *Peer) dialOnce(d *dialing) {
	l, err := p.establish()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	p.dial = nil
	if err == nil && p.closed {
		l.fail(errClosed)
		err = errClosed
	}
	if err != nil {
		d.err = err
		p.total.failures.Add(1)
		p.backOff(err)
		return
	}
	d.link = l
	p.link = l
	p.wg.Go(l.write)
	p.wg.Go(func() {
		replies := l.receive()
		p.disconnected(l, replies)
	})
}

func (p *Peer) establish() (*clientLink, error) {
	dialer := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: p.cfg.keepAlive(),
		KeepAlive:       -1, // no probes unless KeepAliveConfig enables them
		Control:         control(p.cfg.WriteTimeout),
	}
	conn, err := dialer.DialContext(p.ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	// Peer.Close interrupts the handshake.
	stop := context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	defer stop()
	l := newLink(conn, &p.cfg, &p.total)
	if err := l.dialHandshake(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &clientLink{
		link:          l,
		establishedAt: time.Now(),
		pending:       map[uint64]*call{},
	}, nil
}

// disconnected removes a connection that has ended. One on which no reply was received, and
// that did not last for the longest backoff, counts as a failed dial, so that the backoff also
// applies to a host that accepts connections and then closes them. There is no backoff after Reconnect,
// whose caller sends its next message at once: one-way messages have no replies.
func (p *Peer) disconnected(l *clientLink, replies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
	}
	if replies || time.Since(l.establishedAt) >= maxBackoff {
		p.failures = 0
		return
	}
	if errors.Is(l.err, errReconnect) {
		return
	}
	p.backOff(l.err)
}

// MarkReachable shortens the backoff: the next dial is allowed at the latest minBackoff after
// the last failure. Call it when a message of the peer arrives over another connection, since
// the peer is then probably reachable.
func (p *Peer) MarkReachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.failedAt.Add(minBackoff); next.Before(p.retryAt) {
		p.retryAt = next
	}
}

// CallWithTimeout is Call with the timeout d. If the timeout passes or ctx ends without a
// reply, it calls Reconnect, so that the next message is sent over a new connection.
func (p *Peer) CallWithTimeout(ctx context.Context, d time.Duration, kind Kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	reply, err := p.Call(ctx, kind, body)
	if err != nil && ctx.Err() != nil {
		p.Reconnect()
	}
	return reply, err
}

// Reconnect closes the present connection, so that the next message is sent over a new one.
// Call it after a timeout: an established connection may permanently transfer no data
// although new connections work.
func (p *Peer) Reconnect() {
	p.mu.Lock()
	link := p.link
	p.link = nil
	p.mu.Unlock()
	if link != nil {
		link.fail(errReconnect)
	}
}

// backOff records a failure and sets the time of the next dial. The backoff doubles with
// each failure and is randomised between half of it and all of it, so that hosts do not dial
// at the same time.
func (p *Peer) backOff(err error) {
	backoff := min(minBackoff<<min(p.failures, 10), p.cfg.MaxBackoff)
	p.failures++
	p.lastErr = err
	spread := time.Duration(p.cfg.Jitter() * float64(backoff/2))
	p.failedAt = time.Now()
	p.retryAt = p.failedAt.Add(backoff/2 + spread)
}

func (l *clientLink) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[c.id] = c
}

// remove removes the call. It reports whether the call was still pending.
func (l *clientLink) remove(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.pending[id]
	delete(l.pending, id)
	return ok
}

// receive reads frames until the link ends. It reports whether any reply was received.
func (l *clientLink) receive() (replies bool) {
	for {
		f, err := l.read()
		if err != nil {
			l.fail(err)
			return replies
		}
		switch f.typ {
		case frameReply, frameError, frameRefusal:
			replies = true
			l.deliver(f)
		case frameGoodbye:
			l.stopping.Store(true)
			l.fail(errGoodbye)
			return replies
		case frameHello, frameRequest, frameOneWay:
			l.fail(errUnsolicited)
			return replies
		}
	}
}

// deliver passes a reply to its call, or counts it as late if the call has ended.
func (l *clientLink) deliver(f frame) {
	l.mu.Lock()
	c, ok := l.pending[f.id]
	delete(l.pending, f.id)
	l.mu.Unlock()
	if !ok {
		l.own.lateReplies.Add(1)
		l.total.lateReplies.Add(1)
		return
	}
	c.reply <- f
}
