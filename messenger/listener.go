package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// acceptBackoff is the time between attempts to accept a connection while they fail, for
	// example because the process has no free file descriptors.
	acceptBackoff = 10 * time.Millisecond
	// lingerTimeout bounds the time in which Shutdown sends goodbye and waits for the peers
	// to close their connections.
	lingerTimeout = time.Second
)

// Listener accepts connections from other hosts and calls the handler for their messages.
type Listener struct {
	cfg      Config
	listener net.Listener
	ctx      context.Context // cancelled by Close
	stop     context.CancelFunc
	wg       sync.WaitGroup // counts all goroutines of the Listener
	total    counters

	mu      sync.Mutex
	closing bool
	running int                // number of handlers whose reply is not queued yet
	idle    chan struct{}      // closed when closing is set and running is 0
	conns   map[net.Conn]*link // the link is nil until the hello of the dialing side is accepted
}

// Listen starts to accept connections on the address, an IP address and a port. Port 0
// selects a free port.
func Listen(address string, cfg Config) (*Listener, error) {
	cfg = cfg.withDefaults()
	if cfg.Local.Token == "" || cfg.Handle == nil {
		return nil, fmt.Errorf("listen on %s: Config.Local.Token and Config.Handle must be set", address)
	}
	lc := net.ListenConfig{
		KeepAlive:       -1, // no probes unless KeepAliveConfig enables them
		KeepAliveConfig: cfg.keepAlive(),
		Control:         control(cfg.WriteTimeout),
	}
	listener, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Listener{
		cfg:      cfg,
		listener: listener,
		ctx:      ctx,
		stop:     stop,
		idle:     make(chan struct{}),
		conns:    map[net.Conn]*link{},
	}
	n.wg.Go(n.accept)
	return n, nil
}

// Address returns the IP address and port on which the Listener accepts connections.
func (n *Listener) Address() string { return n.listener.Addr().String() }

// Stats returns the counters summed over all connections since Listen.
func (n *Listener) Stats() Stats { return n.total.stats() }

// Connections returns the counters of each open connection whose hello was accepted, in no
// particular order.
func (n *Listener) Connections() []ConnectionStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]ConnectionStats, 0, len(n.conns))
	for _, l := range n.conns {
		if l != nil {
			all = append(all, ConnectionStats{
				Remote: l.remote,
				Stats:  l.own.stats(),
			})
		}
	}
	return all
}

// Close closes the listener and all connections, cancels the contexts of all handlers and
// waits until the handlers have returned. The calls that they handled fail with *LostError
// at the peers.
func (n *Listener) Close() error {
	n.stopAccepting()
	// Connections are closed before contexts are cancelled: otherwise a handler could still
	// reply with the error of its cancelled context, which the peer would take for a result.
	n.mu.Lock()
	for conn, l := range n.conns {
		if l != nil {
			l.fail(errClosed)
		}
		_ = conn.Close()
	}
	n.mu.Unlock()
	n.stop()
	n.wg.Wait()
	return nil
}

// Shutdown stops accepting connections and refuses new messages, waits until the running
// handlers have returned and their replies are written, and closes the listener. Calls
// that were not handled fail with *NotSentError at the peers. If ctx ends first, Shutdown
// closes the listener as Close does and returns the error of ctx.
func (n *Listener) Shutdown(ctx context.Context) error {
	n.stopAccepting()
	select {
	case <-n.idle:
	case <-ctx.Done():
		return errors.Join(ctx.Err(), n.Close())
	}
	n.mu.Lock()
	links := make([]*link, 0, len(n.conns))
	for _, l := range n.conns {
		if l != nil {
			links = append(links, l)
		}
	}
	n.mu.Unlock()
	linger, cancel := context.WithTimeout(ctx, lingerTimeout)
	defer cancel()
	for _, l := range links {
		l.put(&outgoing{frame: frame{typ: frameGoodbye}}, linger.Done())
	}
	// Peers close the connection when they read goodbye. Closing it on this side first could
	// reset the connection and lose replies that a peer has not read yet.
	for _, l := range links {
		select {
		case <-l.done:
		case <-linger.Done():
		}
	}
	return errors.Join(ctx.Err(), n.Close())
}

// stopAccepting closes the network listener and makes the Listener refuse new messages.
func (n *Listener) stopAccepting() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return
	}
	n.closing = true
	_ = n.listener.Close()
	if n.running == 0 {
		close(n.idle)
	}
}

func (n *Listener) accept() {
	for {
		conn, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptBackoff):
				continue
			case <-n.ctx.Done():
				return
			}
		}
		n.wg.Go(func() { n.serve(conn) })
	}
}

// serve runs the handshake, the writer and the reader of one connection until it ends.
func (n *Listener) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !n.register(conn, nil) {
		return
	}
	defer n.unregister(conn)
	l := newLink(conn, &n.cfg, &n.total)
	// The dialing side may send calls as soon as it has the hello of this side. The link is
	// registered before that, so that Shutdown sends goodbye to every dialing side that is connected.
	err := l.acceptHandshake(func() error {
		if !n.register(conn, l) {
			return errClosed
		}
		return nil
	})
	if err != nil {
		l.fail(err) // Shutdown may be waiting for the end of the link.
		n.reportRejected(conn, err)
		return
	}
	n.wg.Go(l.write)
	l.fail(n.receive(l))
	n.reportRejected(conn, l.err)
}

// register adds the connection to conns with a nil link, or sets its link once the hello of
// the dialing side is accepted. It returns false if the Listener is closing or has MaxConnections connections.
func (n *Listener) register(conn net.Conn, l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || l == nil && len(n.conns) >= n.cfg.MaxConnections {
		return false
	}
	n.conns[conn] = l
	return true
}

func (n *Listener) unregister(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// reportRejected counts and reports a connection that was closed because of invalid data
// from the other side.
func (n *Listener) reportRejected(conn net.Conn, err error) {
	var malformed *MalformedError
	var large *TooLargeError
	var hello *HelloError
	if !errors.As(err, &malformed) && !errors.As(err, &large) && !errors.As(err, &hello) {
		return
	}
	n.total.failures.Add(1)
	if n.cfg.OnReject != nil {
		n.cfg.OnReject(conn.RemoteAddr().String(), err)
	}
}

// receive reads messages and starts their handlers until the connection ends. It returns the
// reason.
func (n *Listener) receive(l *link) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	slots := make(chan struct{}, n.cfg.MaxConcurrent)
	for {
		f, err := l.read()
		if err != nil {
			return err
		}
		if f.typ != frameRequest && f.typ != frameOneWay {
			return &MalformedError{Reason: "the dialing side sent a frame that is neither a request nor a one-way message"}
		}
		if f.typ == frameOneWay && n.cfg.Receive != nil {
			n.cfg.Receive(l.remote, f.kind, f.body)
			continue
		}
		if !n.takeSlot(slots) {
			l.own.refused.Add(1)
			n.total.refused.Add(1)
			if f.typ == frameRequest {
				l.put(&outgoing{frame: frame{
					typ: frameRefusal,
					id:  f.id,
				}}, nil)
			}
			continue
		}
		n.wg.Go(func() { n.handle(ctx, l, f, slots) })
	}
}

// takeSlot takes a slot for a handler that is about to run. It returns false if all slots are
// in use or the Listener is closing.
func (n *Listener) takeSlot(slots chan struct{}) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	select {
	case slots <- struct{}{}:
		n.running++
		return true
	default:
		return false
	}
}

// freeSlot frees the slot of a handler that has returned.
func (n *Listener) freeSlot(slots chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	<-slots
	n.running--
	if n.closing && n.running == 0 {
		close(n.idle)
	}
}

// handle calls the handler and queues its reply.
func (n *Listener) handle(ctx context.Context, l *link, f frame, slots chan struct{}) {
	defer n.freeSlot(slots)
	body, err := n.cfg.Handle(ctx, l.remote, f.kind, f.body)
	if f.typ == frameOneWay || errors.Is(err, ErrNoReply) {
		return
	}
	reply := frame{
		typ:  frameReply,
		id:   f.id,
		body: body,
	}
	if size := len(body) + frameOverhead; err == nil && size > n.cfg.MaxFrame {
		err = &RemoteError{
			Code:    CodeReplyTooLarge,
			Message: (&TooLargeError{Size: size, Max: n.cfg.MaxFrame}).Error(),
		}
	}
	if err != nil {
		reply.typ = frameError
		reply.body = encodeError(err, n.cfg.MaxFrame)
	}
	l.put(&outgoing{frame: reply}, nil)
}

// encodeError encodes the error of a handler as a *RemoteError. An error that does not fit
// into a frame is replaced by CodeReplyTooLarge without a message.
func encodeError(err error, maxFrame int) []byte {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{
			Code:    CodeInternal,
			Message: err.Error(),
		}
	}
	body, err := Encode(remote)
	if err != nil {
		panic("messenger: an error reply cannot be encoded: " + err.Error())
	}
	if len(body)+frameOverhead > maxFrame {
		return encodeError(&RemoteError{Code: CodeReplyTooLarge}, maxFrame)
	}
	return body
}
