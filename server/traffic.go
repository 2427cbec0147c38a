package server

import "sesamedrift.example/sesamedrift/messenger"

// Traffic returns the totals of the internal protocol since the start of this host, over
// the connections that it opened and those that it accepted. HTTP is not included.
func (h *Host) Traffic() messenger.Stats {
	total := h.listener.Stats()
	for _, p := range h.peers {
		s := p.conn.Stats()
		total.FramesIn += s.FramesIn
		total.FramesOut += s.FramesOut
		total.BytesIn += s.BytesIn
		total.BytesOut += s.BytesOut
		total.Connections += s.Connections
		total.Failures += s.Failures
		total.LateReplies += s.LateReplies
		total.Refused += s.Refused
	}
	return total
}
