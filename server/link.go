package server

import (
	"context"
	"errors"

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
)

var errLinkCut = errors.New("the way to the peer is cut")

// linkTo returns the state of the way to a peer.
func (h *Host) linkTo(host string) Link {
	if h.cfg.Link == nil {
		return LinkOpen
	}
	return h.cfg.Link(host)
}

// link returns the error of a call on a way that is cut. On a silent one it waits for the
// end of ctx, like a call whose message was lost.
func (h *Host) link(ctx context.Context, host string) error {
	switch h.linkTo(host) {
	case LinkOpen:
		return nil
	case LinkRefused:
		return &messenger.NotSentError{Err: errLinkCut}
	case LinkSilent:
		select {
		case <-ctx.Done():
		case <-h.dispatcher.stopped:
		}
		return &messenger.LostError{Err: errLinkCut}
	default:
		panic("server: link state is not known")
	}
}
