package courier

import (
	"context"

	"sesamedrift.example/sesamedrift/messenger"
)

// Hosts of earlier releases send a batch as a call and expect the acknowledgement in the reply.

// Ack is the reply of hosts of earlier releases to a batch, and the reply to their batches. If
// Incarnation and Epoch are ReceiverIncarnation and Epoch of the batch, the receiver has applied all
// batches up to Seq; otherwise the session of the batch has ended.
type Ack struct {
	Incarnation uint64 `msgpack:"life"`
	Epoch       uint64 `msgpack:"epoch"`
	Seq         uint64 `msgpack:"seq"`
}

func (s *Session) ack() Ack {
	return Ack{
		Incarnation: s.Incarnation,
		Epoch:       s.epoch,
		Seq:         s.appliedSeq,
	}
}

// Handle applies a batch that was received as a call and returns the encoded acknowledgement. It
// returns messenger.ErrNoReply if Config.Deliver does not accept earlier events; the sender then sends
// the batch again.
func (c *Courier) Handle(body []byte) ([]byte, error) {
	var b Batch
	if err := messenger.Decode(body, &b); err != nil {
		return nil, err
	}
	ack, applied := c.receive(b)
	if !applied {
		return nil, messenger.ErrNoReply
	}
	return messenger.Encode(ack)
}

// call sends a batch to a host of an earlier release. The reply counts as a batch of that host.
func (c *Courier) call(ctx context.Context, conn *messenger.Peer, b Batch, body []byte) {
	reply, err := conn.Call(ctx, messenger.KindSessionBatch, body)
	var a Ack
	if err != nil || messenger.Decode(reply, &a) != nil {
		return
	}
	p := c.peer(conn.Address())
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deliver(p, p.session.Receive(c.cfg.Now(), Batch{
		From:                conn.Address(),
		Incarnation:         a.Incarnation,
		ReceiverIncarnation: b.Incarnation,
		Epoch:               a.Epoch,
		Applied:             a.Seq,
		HeartbeatAcked:      b.Heartbeat,
	}))
}
