package launcher

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/server"
)

// link identifies the traffic from one host to another in one direction. If kind is 0 it stands for
// all messages, otherwise for the messages of that kind and the replies to them.
type link struct {
	from, to string
	kind     messenger.Kind
}

// linkStates holds the states of the links that are not open. It is safe for concurrent use.
type linkStates struct {
	mu sync.Mutex // held while states is replaced
	// states points to a map that is replaced as a whole and never modified. It is nil while
	// every link is open.
	states atomic.Pointer[map[link]server.LinkState]
}

func (s *linkStates) state(from, to string, kind messenger.Kind) server.LinkState {
	states := s.states.Load()
	if states == nil {
		return server.LinkOpen
	}
	if state := (*states)[link{from: from, to: to, kind: kind}]; state != server.LinkOpen {
		return state
	}
	return (*states)[link{from: from, to: to}]
}

func (s *linkStates) set(l link, state server.LinkState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[link]server.LinkState{}
	if states := s.states.Load(); states != nil {
		next = maps.Clone(*states)
	}
	next[l] = state
	s.states.Store(&next)
}

// SetLinkState sets the state of the link from one host to another until Heal. It affects messages
// and replies in this direction only.
func (d *Deployment) SetLinkState(from, to string, state server.LinkState) {
	d.links.set(link{from: from, to: to}, state)
}

// HoldMessages delays the messages of a kind from one host to another, and the replies in this
// direction to messages of that kind, until Heal. Other messages are delivered.
func (d *Deployment) HoldMessages(from, to string, kind messenger.Kind) {
	d.links.set(link{from: from, to: to, kind: kind}, server.LinkPaused)
}

// IsolateHost sets the state of the links between a host and all other hosts, in both
// directions. Clients and upstreams can still reach the host.
func (d *Deployment) IsolateHost(name string, state server.LinkState) {
	for _, s := range d.settings {
		if s.Host != name {
			d.SetLinkState(name, s.Host, state)
			d.SetLinkState(s.Host, name, state)
		}
	}
}

// IsolateDomain sets the state of the links between a failure domain and all others, in both
// directions.
func (d *Deployment) IsolateDomain(domain string, state server.LinkState) {
	d.IsolateDomains([]string{domain}, state)
}

// IsolateDomains sets the state of the links between a group of failure domains and all others,
// in both directions. The domains of the group can still reach each other.
func (d *Deployment) IsolateDomains(domains []string, state server.LinkState) {
	for _, inside := range d.settings {
		for _, outside := range d.settings {
			if slices.Contains(domains, inside.Domain) && !slices.Contains(domains, outside.Domain) {
				d.SetLinkState(inside.Host, outside.Host, state)
				d.SetLinkState(outside.Host, inside.Host, state)
			}
		}
	}
}

// Heal opens all links.
func (d *Deployment) Heal() {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	d.links.states.Store(nil)
}
