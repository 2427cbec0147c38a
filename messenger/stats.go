package messenger

import "sync/atomic"

// Stats counts frames, bytes and events of connections. Hellos are included.
type Stats struct {
	FramesIn  uint64
	FramesOut uint64
	// BytesIn and BytesOut include the length fields.
	BytesIn  uint64
	BytesOut uint64
	// Connections counts the connections that were established.
	Connections uint64
	// Failures counts failed dials of a Peer, and connections that a Listener has
	// closed because of an invalid hello or an invalid frame.
	Failures uint64
	// LateReplies counts the replies that a Peer received to calls that had already ended.
	LateReplies uint64
	// Refused counts the messages for which a Listener did not call its handler, because it
	// was stopping or MaxConcurrent handlers were running.
	Refused uint64
}

// Add adds each counter of o to that of s.
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

// ConnectionStats holds the counters of one open connection of a Listener.
type ConnectionStats struct {
	// Remote is the hello of the peer, without the token.
	Remote Hello
	Stats  Stats
}
