// Package inquirer asks control hosts for news: changes of the lists of hosts and
// upstreams, and newer versions of the operator's document.
//
// An Asker keeps one question open at a control host. The host answers at once if it has
// news, and otherwise after Wait, so that a change travels in the time of one message and an
// idle host sends few of them.
package inquirer

import (
	"context"
	"log/slog"
	"time"

	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// Wait is how long a control host keeps a question if it has no news.
	Wait = 500 * time.Millisecond
	// timeout bounds a question. A busy host with a fraction of a core answers within the
	// time that it adds to Wait.
	timeout = Wait + 400*time.Millisecond
	// dialTimeout bounds the time to connect. A host that loses its power takes the opening
	// packets of connections with it, so that waiting longer does not help.
	dialTimeout = 100 * time.Millisecond
	// pause is the time between two questions to a control host that does not answer. It
	// bounds how long a host waits after both have started, and doubles up to maxPause, since
	// the host may be gone for good.
	pause    = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Question asks for what is newer than the numbers in it.
type Question struct {
	// Self is the host that asks.
	Self finder.Host `msgpack:"self"`
	// Life is the life of the control host that gave the numbers.
	Life      uint64 `msgpack:"life"`
	Hosts     uint64 `msgpack:"hosts"`
	Upstreams uint64 `msgpack:"upstreams"`
	// Version is that of the newest document that the asking host knows.
	Version uint64 `msgpack:"version"`
}

// News is the answer to a question.
type News struct {
	Life uint64 `msgpack:"life"`
	// HostsSeq and UpstreamsSeq are the numbers for the next question.
	HostsSeq     uint64            `msgpack:"hosts-seq"`
	UpstreamsSeq uint64            `msgpack:"upstreams-seq"`
	Hosts        []finder.Host     `msgpack:"hosts"`
	Upstreams    []finder.Upstream `msgpack:"upstreams"`
	// Document is set if it is newer than Version of the question.
	Document Document `msgpack:"document"`
}

// Document is a version of the operator's document as it was published.
type Document struct {
	// Version is 0 if there is no document.
	Version uint64 `msgpack:"version"`
	Content []byte `msgpack:"content"`
}

// Asker asks control hosts on behalf of one host.
type Asker struct {
	// Self returns the present report of the host.
	Self  func() finder.Host
	Token string
	// Apply takes in news and returns the version of the newest known document. It is called
	// by several goroutines.
	Apply func(ctx context.Context, n News) (version uint64)
	// Contact is told when a control host begins or ceases to answer.
	Contact func(address string, answers bool)
	Log     *slog.Logger
}

// Ask keeps asking one control host until ctx is done.
func (a *Asker) Ask(ctx context.Context, address string) {
	self := a.Self()
	peer := messenger.NewPeer(address, messenger.Config{
		Local: messenger.Hello{
			Token:       a.Token,
			Host:        self.ID,
			Domain:      self.Domain,
			Incarnation: self.Life,
		},
		DialTimeout:  dialTimeout,
		WriteTimeout: time.Second,
	})
	defer func() { _ = peer.Close() }()
	q := Question{Self: self}
	contact := false
	rest := pause
	for ctx.Err() == nil {
		n, err := ask(ctx, peer, q)
		if (err == nil) != contact && ctx.Err() == nil {
			contact = err == nil
			a.Contact(address, contact)
			reporter.Log(ctx, a.Log, reporter.ControlContact, "address", address, "answers", contact, "error", err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(rest):
			}
			rest = min(2*rest, maxPause)
			continue
		}
		rest = pause
		q.Self = a.Self()
		q.Version = a.Apply(ctx, n)
		q.Life = n.Life
		q.Hosts = n.HostsSeq
		q.Upstreams = n.UpstreamsSeq
	}
}

// ask asks one question.
func ask(ctx context.Context, peer *messenger.Peer, q Question) (News, error) {
	body, err := messenger.Encode(q)
	if err != nil {
		panic("inquirer: a question cannot be encoded: " + err.Error())
	}
	var n News
	answer, err := peer.CallWithin(ctx, timeout, messenger.KindNews, body)
	if err != nil {
		return n, err
	}
	return n, messenger.Decode(answer, &n)
}
