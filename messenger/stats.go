package messenger

import "sync/atomic"

// Stats counts what passed over connections, hellos included.
type Stats struct {
	FramesIn  uint64
	FramesOut uint64
	// BytesIn and BytesOut include the length fields.
	BytesIn  uint64
	BytesOut uint64
	// Connections counts the connections that were established.
	Connections uint64
	// Failures counts failed dials of a Peer, and connections that a Listener has
	// rejected or closed because of what arrived on them.
	Failures uint64
	// LateReplies counts replies to calls that had already ended.
	LateReplies uint64
	// Refused counts the messages that a Listener did not hand to its handler.
	Refused uint64
}

// Add adds the counters of other connections.
func (s *Stats) Add(o Stats) {
	s.FramesIn += o.FramesIn
	s.FramesOut += o.FramesOut
	s.BytesIn += o.BytesIn
	s.BytesOut += o.BytesOut
	s.Connections += o.Connections
	s.Failures += o.Failures
	s.LateReplies += o.LateReplies
	s.Refused += o.Refused
}

type counters struct {
	framesIn, framesOut   atomic.Uint64
	bytesIn, bytesOut     atomic.Uint64
	connections, failures atomic.Uint64
	lateReplies, refused  atomic.Uint64
}

func (c *counters) in(bytes int) {
	c.framesIn.Add(1)
	c.bytesIn.Add(uint64(bytes))
}

func (c *counters) out(frames, bytes int) {
	c.framesOut.Add(uint64(frames))
	c.bytesOut.Add(uint64(bytes))
}

func (c *counters) stats() Stats {
	return Stats{
		FramesIn:    c.framesIn.Load(),
		FramesOut:   c.framesOut.Load(),
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
		Connections: c.connections.Load(),
		Failures:    c.failures.Load(),
		LateReplies: c.lateReplies.Load(),
		Refused:     c.refused.Load(),
	}
}

// ConnectionStats counts what passed over one connection of a Listener.
type ConnectionStats struct {
	// Remote is the hello of the peer, without the token.
	Remote Hello
	Stats  Stats
}
