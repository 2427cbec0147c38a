package leaser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
)

const (
	// tombstoneTime is how long the incarnation of an expired upstream is kept after its TTL has
	// passed.
	tombstoneTime = 10 * time.Minute
	// minCompactLength is the number of changes up to which the log is not compacted.
	minCompactLength = 1024
	// refreshDivisor divides the TTL: an announcement that differs only in its time is added to
	// the change log if the logged one is older by at least TTL/refreshDivisor.
	refreshDivisor = 2
)

// UpstreamState is the state that an upstream announces, or Expired.
type UpstreamState string

// The states of an upstream.
const (
	// Serving means that the upstream accepts work.
	Serving UpstreamState = "serving"
	// Leaving means that the upstream is draining and gets no new work. An incarnation does not
	// return from Leaving to Serving.
	Leaving UpstreamState = "leaving"
	// Expired means that the upstream was not announced within its TTL. It occurs only in changes
	// that directories exchange.
	Expired UpstreamState = "gone"
)

// Announcement is the state of one upstream, as sent by the upstream or by another directory.
type Announcement struct {
	Upstream string `msgpack:"upstream"`
	Address  string `msgpack:"address"`
	Service  string `msgpack:"service"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `msgpack:"incarnation"`
	Slots       int    `msgpack:"slots"`
	Connections int    `msgpack:"connections"`
	// Capacity bounds the total resource demand of the tasks that run at the same time. The zero
	// value stands for no bound.
	Capacity sesamedrift.Resources `msgpack:"capacity"`
	State    UpstreamState         `msgpack:"state"`
	// TTL is how long the announcement is valid after ReceivedAt.
	TTL time.Duration `msgpack:"ttl"`
	// ReceivedAt is when a host received the announcement from the upstream itself, by the clock
	// of that host. Zero stands for the time at which HandleAnnouncement is called.
	ReceivedAt time.Time `msgpack:"at"`
}

// differs reports whether a and b differ in anything but ReceivedAt.
func (a Announcement) differs(b Announcement) bool {
	a.ReceivedAt = b.ReceivedAt
	return a != b
}

// StaleIncarnationError reports an announcement of an incarnation that has been replaced by a
// higher one.
type StaleIncarnationError struct {
	Upstream    string
	Incarnation uint64
	Newest      uint64
}

// Error returns a text with the upstream, the announced incarnation and the highest incarnation.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("upstream %q announced incarnation %d after incarnation %d", e.Upstream, e.Incarnation, e.Newest)
}

type entry struct {
	Announcement
	seq uint64
	// loggedAt is the ReceivedAt of the announcement when it was last added to the change log.
	loggedAt time.Time
}

type change struct {
	seq      uint64
	upstream string
}

// Directory lists the upstreams that have been announced to one host, with a log of its changes.
// Hosts synchronise their directories by passing the changes of ChangesSince to
// HandleAnnouncement of the other directory. An announcement that returns to the directory that
// it came from changes nothing, so that an upstream that is no longer announced expires on all
// hosts.
type Directory struct {
	entries map[string]*entry
	// log has the newest change of each entry, and superseded changes that have not been
	// compacted yet, in the order of seq.
	log []change
	seq uint64
	// droppedSeq is the highest sequence number among the changes of deleted entries.
	droppedSeq uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		entries: map[string]*entry{},
	}
}

// HandleAnnouncement applies an announcement of an upstream or a change from another directory.
// It reports whether anything but the time of the announcement changed. An announcement that is
// older than the recorded one or has expired changes nothing. If the incarnation is lower than
// the recorded one, the error is a *StaleIncarnationError.
func (d *Directory) HandleAnnouncement(now time.Time, a Announcement) (changed bool, err error) {
	if a.ReceivedAt.IsZero() {
		a.ReceivedAt = now
	}
	old, exists := d.entries[a.Upstream]
	switch {
	case exists && a.Incarnation < old.Incarnation:
		return false, &StaleIncarnationError{
			Upstream:    a.Upstream,
			Incarnation: a.Incarnation,
			Newest:      old.Incarnation,
		}
	case a.State == Expired:
		if !exists || old.State == Expired || a.Incarnation == old.Incarnation && a.ReceivedAt.Before(old.ReceivedAt) {
			return false, nil
		}
		a.Address, a.Service = old.Address, old.Service
	case !a.ReceivedAt.Add(a.TTL).After(now):
		return false, nil
	case !exists:
		old = &entry{}
		d.entries[a.Upstream] = old
	case a.Incarnation == old.Incarnation:
		if !a.ReceivedAt.After(old.ReceivedAt) {
			return false, nil
		}
		if old.State == Leaving {
			a.State = Leaving
		}
	}
	changed = a.differs(old.Announcement)
	old.Announcement = a
	if changed || a.ReceivedAt.Sub(old.loggedAt) >= a.TTL/refreshDivisor {
		d.appendChange(old)
	}
	return changed, nil
}

// appendChange adds the current state of e to the log as the newest change.
func (d *Directory) appendChange(e *entry) {
	d.seq++
	e.seq = d.seq
	e.loggedAt = e.ReceivedAt
	d.log = append(d.log, change{
		seq:      e.seq,
		upstream: e.Upstream,
	})
	if len(d.log) > max(minCompactLength, 2*len(d.entries)) {
		d.log = slices.DeleteFunc(d.log, func(c change) bool { return !d.isCurrent(c) })
	}
}

// isCurrent reports whether c is the newest change of its upstream.
func (d *Directory) isCurrent(c change) bool {
	e, ok := d.entries[c.upstream]
	return ok && e.seq == c.seq
}

// Expire marks the upstreams that were not announced within their TTL as expired, with a change
// for each, and returns their last announcements, sorted by name. It deletes upstreams whose TTL
// ended more than tombstoneTime ago.
func (d *Directory) Expire(now time.Time) []Announcement {
	var expired []Announcement
	for name, e := range d.entries {
		switch {
		case now.Before(e.ReceivedAt.Add(e.TTL)):
		case e.State != Expired:
			expired = append(expired, e.Announcement)
		case !now.Before(e.ReceivedAt.Add(e.TTL + tombstoneTime)):
			d.droppedSeq = max(d.droppedSeq, e.seq)
			delete(d.entries, name)
		}
	}
	sortAnnouncements(expired)
	for _, a := range expired {
		e := d.entries[a.Upstream]
		e.State = Expired
		d.appendChange(e)
	}
	return expired
}

// ChangesSince returns the newest state of each upstream that changed after the sequence number,
// in the order of the changes, and the sequence number to pass to the next call. If later changes
// have been dropped from the log, or the number is above that of the newest change, it returns
// the state of all upstreams in the directory.
func (d *Directory) ChangesSince(seq uint64) (changes []Announcement, next uint64) {
	if seq < d.droppedSeq || seq > d.seq {
		seq = 0
	}
	first, _ := slices.BinarySearchFunc(d.log, seq+1, func(c change, s uint64) int {
		if c.seq < s {
			return -1
		}
		return int(min(c.seq-s, 1))
	})
	for _, c := range d.log[first:] {
		if d.isCurrent(c) {
			changes = append(changes, d.entries[c.upstream].Announcement)
		}
	}
	return changes, d.seq
}

// Seq returns the sequence number of the newest change, or 0 if there is none.
func (d *Directory) Seq() uint64 {
	return d.seq
}

// Get returns the announcement of the upstream, or false if the upstream has expired or was never
// announced.
func (d *Directory) Get(upstream string) (Announcement, bool) {
	e, ok := d.entries[upstream]
	if !ok || e.State == Expired {
		return Announcement{}, false
	}
	return e.Announcement, true
}

// All returns the announcements of the upstreams that have not expired, sorted by name.
func (d *Directory) All() []Announcement {
	all := make([]Announcement, 0, len(d.entries))
	for _, e := range d.entries {
		if e.State != Expired {
			all = append(all, e.Announcement)
		}
	}
	sortAnnouncements(all)
	return all
}

func sortAnnouncements(a []Announcement) {
	slices.SortFunc(a, func(x, y Announcement) int { return strings.Compare(x.Upstream, y.Upstream) })
}
