package server

import (
	"context"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/validator"
)

// peer is another host that the settings name, with the connection to it.
type peer struct {
	validator.Peer
	conn *messenger.Peer
}

// newPeers returns the peers that the settings name, by host. Each has one connection, which is
// dialled on first use.
func newPeers(cfg Config, local messenger.Hello) map[string]*peer {
	peers := make(map[string]*peer, len(cfg.Settings.Peers))
	for _, p := range cfg.Settings.Peers {
		c := messenger.Config{Local: local}
		if cfg.Delay != nil {
			c.WriteDelay = func() time.Duration { return cfg.Delay(p.Domain) }
		}
		peers[p.Host] = &peer{
			Peer: p,
			conn: messenger.NewPeer(p.Address, c),
		}
	}
	return peers
}

// unknownPeer returns the error for a host that the settings do not name.
func (h *Host) unknownPeer(host string) error {
	names := make([]string, 0, len(h.cfg.Settings.Peers))
	for _, p := range h.cfg.Settings.Peers {
		names = append(names, p.Host+" of "+p.Domain)
	}
	return &sesamedrift.InvalidError{Field: "host", Value: host, Want: sesamedrift.OneOf(names)}
}

// callPeer calls a peer and decodes its reply. Errors are those of messenger.Peer.Call. For an unknown
// host, and for a request that cannot be encoded, the error is *messenger.NotSentError; for a reply
// that cannot be decoded it is *messenger.LostError.
func callPeer[Out any](ctx context.Context, h *Host, host string, kind messenger.Kind, in any) (Out, error) {
	var out Out
	p, ok := h.peers[host]
	if !ok {
		return out, &messenger.NotSentError{Err: h.unknownPeer(host)}
	}
	body, err := messenger.Encode(in)
	if err != nil {
		return out, &messenger.NotSentError{Err: err}
	}
	reply, err := h.call(ctx, p, kind, body)
	if err != nil {
		return out, err
	}
	if err := messenger.Decode(reply, &out); err != nil {
		return out, &messenger.LostError{Err: err}
	}
	return out, nil
}

// sendOneWay queues a one-way message to a peer and does not block. A message that cannot be sent is
// dropped.
func (h *Host) sendOneWay(host string, kind messenger.Kind, in any) {
	p, ok := h.peers[host]
	if !ok {
		return
	}
	switch h.linkState(host, kind) {
	case LinkOpen:
	case LinkPaused:
		h.background.Go(func() {
			if h.awaitLink(host, kind) {
				h.sendOneWay(host, kind, in)
			}
		})
		return
	case LinkRefused, LinkBlackhole:
		return
	}
	body, err := messenger.Encode(in)
	if err != nil {
		panic("server: message cannot be encoded: " + err.Error())
	}
	_ = p.conn.Send(kind, body)
}

// peersIn returns the peers of a failure domain.
func (h *Host) peersIn(domain string) []string {
	var hosts []string
	for _, p := range h.cfg.Settings.Peers {
		if p.Domain == domain {
			hosts = append(hosts, p.Host)
		}
	}
	return hosts
}

// peerDomains returns the failure domain of each peer, by host.
func (h *Host) peerDomains() map[string]string {
	domains := make(map[string]string, len(h.peers))
	for host, p := range h.peers {
		domains[host] = p.Domain
	}
	return domains
}

// serve decodes a request, handles it and encodes the reply.
func serve[In, Out any](body []byte, handle func(In) (Out, error)) ([]byte, error) {
	var in In
	if err := messenger.Decode(body, &in); err != nil {
		return nil, err
	}
	out, err := handle(in)
	if err != nil {
		return nil, err
	}
	return messenger.Encode(out)
}

// handlePeer handles one message of a peer and returns the reply, subject to the state of the link to
// the peer.
func (h *Host) handlePeer(ctx context.Context, from messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
	reply, err := h.handleMessage(ctx, from, kind, body)
	switch h.linkState(from.Host, kind) {
	case LinkOpen:
		return reply, err
	case LinkRefused:
		return nil, errLinkCut
	case LinkBlackhole:
		return nil, messenger.ErrNoReply
	case LinkPaused:
		if !h.awaitLink(from.Host, kind) {
			return nil, messenger.ErrNoReply
		}
		return reply, err
	default:
		panic("server: link state is not known")
	}
}

func (h *Host) handleMessage(ctx context.Context, from messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
	p, ok := h.peers[from.Host]
	if !ok || p.Domain != from.Domain {
		return nil, fmt.Errorf("domain %q: %w", from.Domain, h.unknownPeer(from.Host))
	}
	p.conn.MarkReachable()
	switch kind {
	case messenger.KindHeartbeat:
		return serve(body, h.serveHeartbeat)
	case messenger.KindClaim:
		return serve(body, h.serveClaim)
	case messenger.KindRegisterStep:
		return serve(body, h.serveRegister)
	case messenger.KindRegisterChange:
		return serve(body, func(in registerChange) (registerResult, error) { return h.serveRegisterChange(ctx, in) })
	case messenger.KindRegisterRead:
		return serve(body, func(in registerRead) (registerEntry, error) { return h.serveRegisterRead(ctx, in) })
	case messenger.KindRegisterEntries:
		return serve(body, h.serveEntries)
	case messenger.KindDirectory:
		return serve(body, h.serveDirectory)
	case messenger.KindSubmit:
		return serve(body, func(in request) (response, error) { return h.serveSubmit(ctx, in) })
	case messenger.KindFind:
		return serve(body, func(in lookup) (response, error) { return h.serveFind(ctx, in) })
	case messenger.KindCancel:
		return serve(body, func(in lookup) (response, error) { return h.serveCancel(ctx, in) })
	case messenger.KindCallerDisconnected:
		return serve(body, h.serveRelease)
	case messenger.KindRunTask:
		return serve(body, func(in forwardedTask) (forwardedAnswer, error) { return h.serveRunTask(ctx, in) })
	case messenger.KindStopTask:
		return serve(body, h.serveStopTask)
	case messenger.KindInstallView:
		return serve(body, h.serveInstallView)
	case messenger.KindStatus:
		return serve(body, h.serveStatus)
	default:
		return nil, fmt.Errorf("message kind %d is not known", kind)
	}
}
