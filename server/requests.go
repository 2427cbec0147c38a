package server

import (
	"context"
	"sync"
	"time"
)

// requests counts the HTTP requests in flight that submit work.
type requests struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes zero; nil if no call of wait is blocked
}

func (r *requests) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
}

func (r *requests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n--
	if r.n == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// wait returns when no request is in flight or ctx is done.
func (r *requests) wait(ctx context.Context) error {
	r.mu.Lock()
	if r.n == 0 {
		r.mu.Unlock()
		return nil
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// releases holds the cancel functions of the forwarded calls that this host serves, by release
// identifier. The calling host sends that identifier when its caller disconnects.
type releases struct {
	mu   sync.Mutex
	byID map[string]context.CancelFunc
}

func newReleases() *releases {
	return &releases{byID: map[string]context.CancelFunc{}}
}

// begin returns a context that is cancelled when end is called for the identifier, and a function that
// releases the context. An empty identifier is not registered.
func (r *releases) begin(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if id == "" {
		return ctx, cancel
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = cancel
	return ctx, func() { r.end(id) }
}

// end cancels the context with the identifier. It does nothing if there is none.
func (r *releases) end(id string) {
	r.mu.Lock()
	cancel, ok := r.byID[id]
	delete(r.byID, id)
	r.mu.Unlock()
	if ok {
		cancel()
	}
}

// exchanges holds the peers with which this host has an exchange under way, the time of the last
// exchange that each peer began, and the peers that did not answer the last exchange. It is safe for
// concurrent use.
type exchanges struct {
	mu         sync.Mutex
	inProgress map[string]bool
	incomingAt map[string]time.Time
	unanswered map[string]bool
}

func newExchanges() *exchanges {
	return &exchanges{
		inProgress: map[string]bool{},
		incomingAt: map[string]time.Time{},
		unanswered: map[string]bool{},
	}
}

// recordIncoming records an exchange that the peer began.
func (x *exchanges) recordIncoming(host string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incomingAt[host] = now
	delete(x.unanswered, host)
}

// unresponsive reports whether the peer did not answer the last exchange.
func (x *exchanges) unresponsive(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.unanswered[host]
}

// lastIncoming returns the time of the last exchange that the peer began, or the zero time.
func (x *exchanges) lastIncoming(host string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.incomingAt[host]
}

// begin marks an exchange with the peer as under way and returns true. It returns false if one was
// under way already.
func (x *exchanges) begin(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inProgress[host] {
		return false
	}
	x.inProgress[host] = true
	return true
}

// end records the end of an exchange and whether the peer answered it.
func (x *exchanges) end(host string, answered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inProgress, host)
	if answered {
		delete(x.unanswered, host)
	} else {
		x.unanswered[host] = true
	}
}
