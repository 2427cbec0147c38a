package server

import (
	"context"
	"errors"
	"time"

	"sesamedrift.example/sesamedrift/messenger"
)

// LinkState is the state of the link from one host to another, in this direction only. Tests change it
// to simulate partitions.
type LinkState int

const (
	// LinkOpen delivers messages.
	LinkOpen LinkState = iota
	// LinkRefused fails messages at once as not sent, as refused connections do. Replies to messages
	// that arrived over the opposite link fail at once.
	LinkRefused
	// LinkBlackhole drops messages and replies silently. Connections stay open.
	LinkBlackhole
	// LinkPaused holds messages and replies back, including those of senders that have timed out,
	// and delivers them in any order once the state is no longer LinkPaused.
	LinkPaused
)

// pausedPollInterval is the interval at which the state of a paused link is polled.
const pausedPollInterval = 5 * time.Millisecond

var errLinkCut = errors.New("the way to the peer is cut")

// linkState returns the state of the link to a peer for messages of a kind.
func (h *Host) linkState(host string, kind messenger.Kind) LinkState {
	if h.cfg.Link == nil {
		return LinkOpen
	}
	return h.cfg.Link(host, kind)
}

// awaitLink waits while the link to a host is paused for messages of a kind. It returns false if this
// host has stopped.
func (h *Host) awaitLink(host string, kind messenger.Kind) bool {
	for h.linkState(host, kind) == LinkPaused {
		select {
		case <-time.After(pausedPollInterval):
		case <-h.dispatcher.stopped:
			return false
		}
	}
	return true
}

// call calls a peer, subject to the state of the link. While the link drops messages, it blocks until
// ctx is done, as a call does whose message was lost.
func (h *Host) call(ctx context.Context, p *peer, kind messenger.Kind, body []byte) ([]byte, error) {
	switch h.linkState(p.Host, kind) {
	case LinkOpen:
		return p.conn.Call(ctx, kind, body)
	case LinkPaused:
		return h.callWhenOpen(ctx, p, kind, body)
	case LinkRefused:
		return nil, &messenger.NotSentError{Err: errLinkCut}
	case LinkBlackhole:
		select {
		case <-ctx.Done():
		case <-h.dispatcher.stopped:
		}
		return nil, &messenger.LostError{Err: errLinkCut}
	default:
		panic("server: link state is not known")
	}
}

// callWhenOpen calls a peer once the link is no longer paused, even if ctx is done by then. It returns
// when the call has ended or ctx is done.
func (h *Host) callWhenOpen(ctx context.Context, p *peer, kind messenger.Kind, body []byte) ([]byte, error) {
	type result struct {
		reply []byte
		err   error
	}
	results := make(chan result, 1)
	h.background.Go(func() {
		if !h.awaitLink(p.Host, kind) {
			return
		}
		// The call ends at the latest when the connection is closed.
		reply, err := p.conn.Call(context.WithoutCancel(ctx), kind, body)
		results <- result{
			reply: reply,
			err:   err,
		}
	})
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
	case <-h.dispatcher.stopped:
	}
	return nil, &messenger.LostError{Err: errLinkCut}
}
