package server

import (
	"context"
	"errors"
	"time"

	"sesamedrift.example/sesamedrift/messenger"
)

// Link is the state of the way from one host to another.
type Link int

const (
	// LinkOpen delivers messages.
	LinkOpen Link = iota
	// LinkRefused fails messages at once as not sent, as refused connections do. Replies to
	// messages that arrived before are lost at once.
	LinkRefused
	// LinkSilent loses messages and replies without a sign; connections stay.
	LinkSilent
	// LinkHeld keeps messages and replies, also of senders that have given up, and delivers
	// them in any order once the way is open.
	LinkHeld
)

// heldPoll is how often a kept message looks whether its way is open.
const heldPoll = 5 * time.Millisecond

var errLinkCut = errors.New("the way to the peer is cut")

// linkTo returns the state of the way to a peer for a kind of messages.
func (h *Host) linkTo(host string, kind messenger.Kind) Link {
	if h.cfg.Link == nil {
		return LinkOpen
	}
	return h.cfg.Link(host, kind)
}

// released waits while messages to a host are kept. It returns false if this host has
// stopped.
func (h *Host) released(host string, kind messenger.Kind) bool {
	for h.linkTo(host, kind) == LinkHeld {
		select {
		case <-time.After(heldPoll):
		case <-h.dispatcher.stopped:
			return false
		}
	}
	return true
}

// call calls a peer over the way to it. On a silent way it waits for the end of ctx, like a
// call whose message was lost.
func (h *Host) call(ctx context.Context, p *peer, kind messenger.Kind, body []byte) ([]byte, error) {
	switch h.linkTo(p.Host, kind) {
	case LinkOpen:
		return p.conn.Call(ctx, kind, body)
	case LinkHeld:
		return h.callHeld(ctx, p, kind, body)
	case LinkRefused:
		return nil, &messenger.NotSentError{Err: errLinkCut}
	case LinkSilent:
		select {
		case <-ctx.Done():
		case <-h.dispatcher.stopped:
		}
		return nil, &messenger.LostError{Err: errLinkCut}
	default:
		panic("server: link state is not known")
	}
}

// callHeld makes a call once the way is open, even if ctx has ended by then.
func (h *Host) callHeld(ctx context.Context, p *peer, kind messenger.Kind, body []byte) ([]byte, error) {
	type result struct {
		reply []byte
		err   error
	}
	results := make(chan result, 1)
	h.background.Go(func() {
		if !h.released(p.Host, kind) {
			return
		}
		// The call ends with the connection at the latest.
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
