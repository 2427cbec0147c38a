// Package poller is the long-polling client of control hosts: it fetches changes of the lists of
// hosts and upstreams, and learns which version of the operator's document is the newest.
//
// A Poller keeps one request open at each control host that it polls. The control host answers as
// soon as it has updates, and after MaxWait otherwise, so that a change arrives within the latency
// of one message and an idle system sends few messages. Control hosts announce a document by its
// version only, since a host polls all of them; FetchDocument fetches the content from one host.
package poller

import (
	"context"
	"log/slog"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// MaxWait is how long a control host keeps a poll open while it has no updates.
	MaxWait = 500 * time.Millisecond
	// pollTimeout bounds one poll. Within the time that it adds to MaxWait, even a busy control
	// host with a fraction of a core answers.
	pollTimeout = MaxWait + 400*time.Millisecond
	// dialTimeout bounds the time to connect. The SYN packets sent to a host that has lost power
	// are lost, so that waiting longer does not help.
	dialTimeout = 100 * time.Millisecond
	// minBackoff is the backoff after the first shortRetries failed polls. It bounds the delay of the first
	// successful poll once both hosts have started, which may be some seconds apart after a loss of all
	// hosts. Then the backoff doubles up to maxBackoff, since the control host may never return.
	minBackoff   = 50 * time.Millisecond
	shortRetries = 100
	maxBackoff   = 400 * time.Millisecond
)

// backoff returns the time until the next poll after a number of polls that have failed since the last response.
func backoff(failures int) time.Duration {
	if failures <= shortRetries {
		return minBackoff
	}
	return min(minBackoff<<min(failures-shortRetries, 10), maxBackoff)
}

// Request is a poll for the changes after its sequence numbers and version.
type Request struct {
	// Self is the report of the polling host.
	Self discoverer.Host `msgpack:"self"`
	// Incarnation is that of the control host that returned HostsSeq and UpstreamsSeq. Another
	// incarnation ignores them and returns the whole lists.
	Incarnation  uint64 `msgpack:"life"`
	HostsSeq     uint64 `msgpack:"hosts"`
	UpstreamsSeq uint64 `msgpack:"upstreams"`
	// Version is that of the newest document that the control host has announced to the polling
	// host.
	Version uint64 `msgpack:"version"`
	// AnnounceOnly is set by hosts that fetch documents themselves. Hosts of earlier releases leave
	// it out and expect the content in the reply.
	AnnounceOnly bool `msgpack:"announce-only,omitempty"`
	// TakesEvacuations is set by hosts that use the evacuations. Hosts of earlier releases leave it out: they
	// would not say which version they have, and each poll would be answered at once.
	TakesEvacuations bool `msgpack:"takes-evacuations,omitempty"`
	// EvacuationsVersion is the version of the newest state of evacuations that the control host has sent
	// to the polling host. EvacuationsKnown is set if the control host has said that it knows the state.
	EvacuationsVersion uint64 `msgpack:"evacuations-version,omitempty"`
	EvacuationsKnown   bool   `msgpack:"evacuations-known,omitempty"`
}

// Updates is the reply to a Request.
type Updates struct {
	// Incarnation is that of the control host.
	Incarnation uint64 `msgpack:"life"`
	// HostsSeq and UpstreamsSeq are the sequence numbers for the next request.
	HostsSeq     uint64                `msgpack:"hosts-seq"`
	UpstreamsSeq uint64                `msgpack:"upstreams-seq"`
	Hosts        []discoverer.Host     `msgpack:"hosts"`
	Upstreams    []discoverer.Upstream `msgpack:"upstreams"`
	// DocumentVersion is the version of the newest document if that is newer than Version of the
	// request, otherwise 0.
	DocumentVersion uint64 `msgpack:"document-version,omitempty"`
	// Document is set instead if the request does not set AnnounceOnly.
	Document Document `msgpack:"document"`
	// Evacuations are the evacuated domains if their version is newer than EvacuationsVersion of the request
	// and TakesEvacuations is set there, otherwise nil.
	Evacuations *evacuator.State `msgpack:"evacuations,omitempty"`
	// EvacuationsKnown is set if the control host knows the state of evacuations: it may have missed none
	// that was acknowledged. Hosts of earlier releases leave it out, and do not receive it.
	EvacuationsKnown bool `msgpack:"evacuations-known,omitempty"`
}

// Empty reports whether there is no update for the request.
func (u *Updates) Empty(req Request) bool {
	return len(u.Hosts) == 0 && len(u.Upstreams) == 0 && u.DocumentVersion == 0 && u.Document.Version == 0 &&
		u.Evacuations == nil && u.EvacuationsKnown == req.EvacuationsKnown
}

// Poller polls control hosts on behalf of one host. Its fields must be set before Poll is called.
type Poller struct {
	// Self returns the current report of the polling host.
	Self func() discoverer.Host
	// Token is the secret that all hosts share.
	Token string
	// Apply applies the updates of the control host with the address. It is called concurrently if
	// several control hosts are polled.
	Apply func(ctx context.Context, address string, updates Updates)
	// ReachabilityChanged is called when a control host begins or ceases to answer polls. Control
	// hosts count as unreachable before the first answer.
	ReachabilityChanged func(address string, reachable bool)
	Log                 *slog.Logger
}

// Poll polls one control host until ctx is done. It may be called concurrently for several.
func (p *Poller) Poll(ctx context.Context, address string) {
	self := p.Self()
	peer := messenger.NewPeer(address, messenger.Config{
		Local: messenger.Hello{
			Token:       p.Token,
			Host:        self.ID,
			Domain:      self.Domain,
			Incarnation: self.Incarnation,
		},
		DialTimeout: dialTimeout,
		// The time between two polls bounds the number of dials.
		MaxBackoff:   minBackoff,
		WriteTimeout: time.Second,
	})
	defer func() { _ = peer.Close() }()
	req := Request{
		Self:             self,
		AnnounceOnly:     true,
		TakesEvacuations: true,
	}
	reachable := false
	failures := 0
	for ctx.Err() == nil {
		updates, err := poll(ctx, peer, req)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			p.ReachabilityChanged(address, reachable)
			reporter.Log(ctx, p.Log, reporter.ControlContact, "address", address, "answers", reachable, "error", err)
		}
		if err != nil {
			failures++
			messenger.Sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
		p.Apply(ctx, address, updates)
		req.Self = p.Self()
		if updates.Incarnation != req.Incarnation {
			// Another incarnation announces its document and the evacuations anew.
			req.Version = 0
			req.EvacuationsVersion = 0
		}
		if updates.Evacuations != nil {
			req.EvacuationsVersion = max(req.EvacuationsVersion, updates.Evacuations.Version)
		}
		req.EvacuationsKnown = updates.EvacuationsKnown
		req.Version = max(req.Version, updates.DocumentVersion, updates.Document.Version)
		req.Incarnation = updates.Incarnation
		req.HostsSeq = updates.HostsSeq
		req.UpstreamsSeq = updates.UpstreamsSeq
	}
}

// poll sends one request and waits for its reply.
func poll(ctx context.Context, peer *messenger.Peer, req Request) (Updates, error) {
	body, err := messenger.Encode(req)
	if err != nil {
		panic("poller: encode request: " + err.Error())
	}
	var updates Updates
	answer, err := peer.CallWithTimeout(ctx, pollTimeout, messenger.KindUpdates, body)
	if err != nil {
		return updates, err
	}
	return updates, messenger.Decode(answer, &updates)
}
