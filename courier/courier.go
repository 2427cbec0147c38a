// Package courier is a reliable message transport between hosts: it keeps a session with each
// peer, in which messages are delivered in order and exactly once.
//
// Messages are sent in batches, which are resent until they are acknowledged. An acknowledgement is
// sent with the next messages in the other direction, or alone a little later, so that most messages
// cost one packet. A session ends on both sides when either process restarts, or when one side has
// received nothing, or no acknowledgement, for Watch.SuspectAfter; messages of a session that has
// ended are never delivered later. Config.Deliver receives an event at the beginning and at
// the end of each session, in order with the messages. When a session ends, the user of the
// package must discard the state that it holds for the peer.
//
// A posted message is sent at once; on a busy host several share a batch, since the goroutine that sends
// them runs later. If nothing was received for Watch.HeartbeatEvery, a heartbeat is sent, so that the
// session also serves as the failure detector between its two hosts. Heartbeats, delayed
// acknowledgements and what is sent again are sent by Tick, for all peers at the same time: each timer
// of its own would wake the process.
package courier

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sesamedrift.example/sesamedrift/messenger"
)

const (
	// maxQueue bounds the messages that are queued for one peer. A peer that leaves so many
	// unacknowledged counts as lost, and its session ends.
	maxQueue = 1 << 16
	// Feature is the feature of messenger.Hello of hosts that receive batches as one-way messages.
	// Hosts of earlier releases receive them as calls and acknowledge them in the reply.
	Feature = "one-way-batches"
)

// Config describes the courier of one host.
type Config struct {
	// Self is the address of this host. Incarnation grows with each start of its process.
	Self        string
	Incarnation uint64
	// Watch is how closely peers are observed unless SetWatch says otherwise.
	Watch Watch
	// ResendAfter is the time after which an unacknowledged batch is sent again over a new
	// connection.
	ResendAfter time.Duration
	// Connection configures the connections to all peers. Its hello must have Feature.
	Connection messenger.Config
	// Deliver receives the events of all sessions. It must not block. If it returns false, the
	// events count as not delivered and are passed to it again, before any later events of the
	// same peer.
	Deliver func(events []Event) bool
	// Now returns the current time.
	Now func() time.Time
}

// Courier holds the sessions of one host. All methods are safe for concurrent use.
type Courier struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the session with one other host and the state of the goroutine that sends its
// batches.
type peer struct {
	conn atomic.Pointer[messenger.Peer]
	// wake makes the goroutine look for a batch to send.
	wake chan struct{}
	// cancel stops the goroutine; it is nil while none runs. Courier.mu guards it.
	cancel context.CancelFunc

	// mu serialises the calls of the session and the delivery of the events that they return.
	mu      sync.Mutex
	session Session
	pending []Event // not accepted by Config.Deliver yet
}

// New returns a courier without peers.
func New(cfg Config) *Courier {
	ctx, cancel := context.WithCancel(context.Background())
	return &Courier{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		peers:  map[string]*peer{},
	}
}

// Connect starts to establish a session with a host and to keep it up, until Disconnect or Close.
func (c *Courier) Connect(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connect(address)
}

// connect returns the peer with the address, after starting its goroutine if none runs. The caller
// holds c.mu.
func (c *Courier) connect(address string) *peer {
	p := c.peers[address]
	if p == nil {
		p = c.newPeer(address)
		c.peers[address] = p
	}
	if p.cancel == nil && c.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(c.ctx)
		p.cancel = cancel
		conn := messenger.NewPeer(address, c.cfg.Connection)
		p.conn.Store(conn)
		c.wg.Go(func() { c.sendBatches(ctx, p, conn) })
	}
	return p
}

func (c *Courier) newPeer(address string) *peer {
	return &peer{
		wake: make(chan struct{}, 1),
		session: Session{
			Self:        c.cfg.Self,
			Peer:        address,
			Incarnation: c.cfg.Incarnation,
			ResendAfter: c.cfg.ResendAfter,
			MaxQueue:    maxQueue,
			watch:       c.cfg.Watch,
		},
	}
}

// SetWatch changes how closely a host is observed. It has no effect on a host that was never
// connected.
func (c *Courier) SetWatch(address string, w Watch) {
	p := c.peer(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	p.session.SetWatch(c.cfg.Now(), w)
	p.mu.Unlock()
	p.wakeSender()
}

// stop ends the goroutine that sends to the peer. The caller holds Courier.mu.
func (p *peer) stop() {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// Disconnect ends the session with a host and stops sending to it, until the host sends a batch or
// Connect is called again. The epoch is kept, so that the answer to the next batch of the host shows
// that the session has ended.
func (c *Courier) Disconnect(address string) {
	c.mu.Lock()
	p := c.peers[address]
	if p != nil {
		p.stop()
	}
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deliver(p, p.session.End())
}

// EndSession ends the session with a host unless its process is newer than the given incarnation. The
// courier keeps trying to begin the next one.
func (c *Courier) EndSession(address string, incarnation uint64) {
	if p := c.peer(address); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.session.PeerIncarnation() <= incarnation {
			c.deliver(p, p.session.End())
			p.wakeSender()
		}
	}
}

func (c *Courier) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[address]
}

// Post queues a message for a host. It returns false if there is no session with the host or its
// queue is full.
func (c *Courier) Post(address string, m Message) bool {
	p := c.peer(address)
	if p == nil {
		return false
	}
	p.mu.Lock()
	posted := p.session.Post(m)
	p.mu.Unlock()
	if posted {
		p.wakeSender()
	}
	return posted
}

// wakeSender makes the goroutine of the peer look for a batch to send.
func (p *peer) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Peers returns the sorted addresses of all hosts that were ever connected, including those that
// were disconnected since.
func (c *Courier) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]string, 0, len(c.peers))
	for address := range c.peers {
		all = append(all, address)
	}
	slices.Sort(all)
	return all
}

// Receive applies a batch that was received as a one-way message. A sender that is not connected is
// connected. A malformed batch, and one that Config.Deliver has no capacity for, is dropped; the sender
// then sends it again.
func (c *Courier) Receive(body []byte) {
	var b Batch
	if messenger.Decode(body, &b) != nil || b.From == "" || b.From == c.cfg.Self {
		return
	}
	c.receive(b)
}

// receive applies a batch. It returns the session's acknowledgement, and false if the batch was
// dropped.
func (c *Courier) receive(b Batch) (Ack, bool) {
	c.mu.Lock()
	p := c.connect(b.From)
	c.mu.Unlock()
	if conn := p.conn.Load(); conn != nil {
		conn.MarkReachable()
	}
	now := c.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.deliver(p, nil) {
		return Ack{}, false
	}
	c.deliver(p, p.session.Receive(now, b))
	if p.session.Due(now) {
		p.wakeSender()
	}
	return p.session.ack(), true
}

// deliver passes the pending events and the given ones to Config.Deliver, in order. It reports
// whether none is pending afterwards. The caller holds p.mu.
func (c *Courier) deliver(p *peer, events []Event) bool {
	p.pending = append(p.pending, events...)
	if len(p.pending) == 0 {
		return true
	}
	if !c.cfg.Deliver(p.pending) {
		return false
	}
	p.pending = nil
	return true
}

// Tick sends what has become due in all sessions and ends those that have timed out. The caller calls it
// several times in each Watch.HeartbeatEvery.
func (c *Courier) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if p.cancel == nil {
			continue
		}
		p.mu.Lock()
		if p.session.Due(now) {
			p.wakeSender()
		}
		p.mu.Unlock()
	}
}

// sendBatches sends batches to one peer until ctx ends.
func (c *Courier) sendBatches(ctx context.Context, p *peer, conn *messenger.Peer) {
	defer func() { _ = conn.Close() }()
	for {
		for ctx.Err() == nil {
			b, resend, found := c.nextBatch(p)
			if !found {
				break
			}
			if resend {
				conn.Reconnect()
			}
			c.send(ctx, p, conn, b)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
	}
}

// nextBatch ends the session if it has timed out, and returns the next batch to send.
func (c *Courier) nextBatch(p *peer) (b Batch, resend, found bool) {
	now := c.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deliver(p, p.session.CheckTimeout(now))
	return p.session.NextBatch(now)
}

// send sends a batch. If that fails, the session sends the batch again after ResendAfter.
func (c *Courier) send(ctx context.Context, p *peer, conn *messenger.Peer, b Batch) {
	body, err := messenger.Encode(b)
	if err != nil {
		panic("courier: encode batch: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ResendAfter)
	defer cancel()
	remote, err := conn.Remote(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.mu.Lock()
		p.session.PeerRefused()
		p.mu.Unlock()
	case err != nil:
	case slices.Contains(remote.Features, Feature):
		// An error means that the connection has ended, so that the batch is lost.
		_ = conn.SendWait(ctx, messenger.KindSessionBatch, body)
	default:
		c.call(ctx, conn, b, body)
	}
}

// Close stops sending to all peers and waits until the goroutines have ended. Peers are not
// notified: their sessions end by timeout. Close delivers no Down events.
func (c *Courier) Close() {
	c.cancel()
	c.wg.Wait()
}
