// Package discoverer is the membership list and service directory of a process: it keeps the newest
// report of each host and upstream, and returns the changes since a sequence number.
//
// A report of a host or an upstream carries an incarnation and a sequence number within that
// incarnation. A List keeps the newest report of each host or upstream, regardless of the order in
// which reports arrive and of duplicates, so that two lists that have exchanged their changes are
// equal. Reports of an earlier incarnation are ignored, and the state of an upstream never goes
// back within an incarnation.
//
// The types are not safe for concurrent use. They read no clock.
package discoverer

import (
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
)

// State is the life-cycle state of a host or an upstream.
type State string

// The states, in the order in which they follow each other within an incarnation. States may be
// skipped.
const (
	Serving State = "serving"
	// Leaving means that it drains: it accepts no new work.
	Leaving State = "leaving"
	// Gone means that it has stopped.
	Gone State = "gone"
)

var stateOrder = map[State]int{
	Serving: 0,
	Leaving: 1,
	Gone:    2,
}

// Role is the duty of a host in the system.
type Role string

// The roles of hosts.
const (
	// Entry hosts accept jobs of callers.
	Entry Role = "entry"
	// Control hosts store documents and distribute the lists of hosts and upstreams.
	Control Role = "control"
)

// Host is the report of a host about itself.
type Host struct {
	ID     string `msgpack:"id"`
	Domain string `msgpack:"domain"`
	Role   Role   `msgpack:"role"`
	// Address is where the internal protocol is served, as IP:port. It identifies the host: a
	// host that restarts with another address is another host.
	Address string `msgpack:"address"`
	// Incarnation grows with each start of the process, ReportSeq with each change of the report
	// within an incarnation.
	Incarnation uint64 `msgpack:"life"`
	ReportSeq   uint64 `msgpack:"report"`
	State       State  `msgpack:"state"`
	// IsPlacer reports whether the host is a placer of its domain.
	IsPlacer bool `msgpack:"places"`
	// Shards reports whether the host can work in a domain with several shards. Hosts of earlier
	// releases cannot.
	Shards bool `msgpack:"shards,omitempty"`
	// Strength is the processor time that the host may use, in thousandths of a core; 0 if it is not known.
	Strength int64 `msgpack:"strength,omitempty"`
	// ReplicaReady reports whether the host is a replica, or can become one at once.
	ReplicaReady bool `msgpack:"stores"`
}

// Upstream is the report of an upstream about itself.
type Upstream struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"service"`
	// Address is where it accepts orders, as IP:port.
	Address string `msgpack:"address"`
	Domain  string `msgpack:"domain"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `msgpack:"life"`
	// ReportSeq grows with each report of an incarnation.
	ReportSeq uint64                `msgpack:"report"`
	State     State                 `msgpack:"state"`
	Capacity  sesamedrift.Resources `msgpack:"capacity"`
	// WorkerType is the hardware type of the worker, Rack the rack in which it is; either may be
	// empty.
	WorkerType string `msgpack:"kind"`
	Rack       string `msgpack:"rack"`
	// Worker names the machine. Upstreams that are started on it later have other identifiers.
	Worker string `msgpack:"worker"`
	// ColdRemaining is the time from the report for which the upstream remains slow after its failure domain
	// was taken back into service.
	ColdRemaining time.Duration `msgpack:"cold,omitempty"`
	// Stored is set if control hosts have read the report from their disks and the upstream has not reported
	// since they started. The upstream may not exist any more.
	Stored bool `msgpack:"stored,omitempty"`
}

// Key returns the address, which identifies a host.
func (h Host) Key() string { return h.Address }

// Key returns the identifier of the upstream.
func (u Upstream) Key() string { return u.ID }

// merge returns the newer of two reports of one host, and whether it differs from h.
func (h Host) merge(n Host) (Host, bool) {
	if n.Incarnation < h.Incarnation || n.Incarnation == h.Incarnation && n.ReportSeq <= h.ReportSeq {
		return h, false
	}
	return n, n != h
}

// merge returns the newer of two reports of one upstream, and whether it differs from u in more than
// ReportSeq. Within an incarnation, u.State is kept if n.State comes before it, and a report that was received does
// not become a stored one. ColdRemaining differs when the cold time begins, ends or is extended, and not while it
// passes.
func (u Upstream) merge(n Upstream) (Upstream, bool) {
	if n.Incarnation < u.Incarnation || n.Incarnation == u.Incarnation && n.ReportSeq < u.ReportSeq {
		return u, false
	}
	if n.Incarnation == u.Incarnation && stateOrder[n.State] < stateOrder[u.State] {
		n.State = u.State
	}
	if n.Incarnation == u.Incarnation {
		n.Stored = n.Stored && u.Stored
	}
	old := u
	old.ReportSeq = n.ReportSeq
	if 0 < n.ColdRemaining && n.ColdRemaining <= u.ColdRemaining {
		old.ColdRemaining = n.ColdRemaining
	}
	return n, n != old
}

// report is the constraint for the elements of a List: Host or Upstream.
type report[R any] interface {
	Key() string
	merge(n R) (R, bool)
}

// List is a set of reports, one for each key, with a sequence number for each change.
type List[R report[R]] struct {
	entries map[string]*entry[R]
	seq     uint64 // of the last change
}

type entry[R any] struct {
	value      R
	seq        uint64    // of the last change of value
	lastReport time.Time // when Put last received a report, changed or not
}

// NewList returns an empty list.
func NewList[R report[R]]() *List[R] {
	return &List[R]{entries: map[string]*entry[R]{}}
}

// Put merges a report into the list and returns whether that changes the list. In both cases it
// records now as the time of the last report, for Prune.
func (l *List[R]) Put(now time.Time, r R) bool {
	e := l.entries[r.Key()]
	if e == nil {
		e = &entry[R]{value: r}
		l.entries[r.Key()] = e
		e.lastReport = now
		l.seq++
		e.seq = l.seq
		return true
	}
	merged, changed := e.value.merge(r)
	e.lastReport = now
	e.value = merged
	if changed {
		l.seq++
		e.seq = l.seq
	}
	return changed
}

// Get returns the newest report with the key, or false if there is none.
func (l *List[R]) Get(key string) (R, bool) {
	if e := l.entries[key]; e != nil {
		return e.value, true
	}
	var none R
	return none, false
}

// All returns all reports, sorted by key.
func (l *List[R]) All() []R {
	all := make([]R, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e.value)
	}
	slices.SortFunc(all, func(a, b R) int { return strings.Compare(a.Key(), b.Key()) })
	return all
}

// Seq returns the sequence number of the last change, or 0 if there was none.
func (l *List[R]) Seq() uint64 { return l.seq }

// Since returns the reports that changed after the change with sequence number seq, in the order of
// their changes. If seq is above Seq, it comes from another list, and all reports are returned.
func (l *List[R]) Since(seq uint64) []R {
	if seq == l.seq {
		return nil
	}
	if seq > l.seq {
		seq = 0
	}
	var changed []*entry[R]
	for _, e := range l.entries {
		if e.seq > seq {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry[R]) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	values := make([]R, 0, len(changed))
	for _, e := range changed {
		values = append(values, e.value)
	}
	return values
}

// Prune deletes the reports for which stale returns true. Its lastReport is the time at which the
// last report with the same key was put.
func (l *List[R]) Prune(stale func(r R, lastReport time.Time) bool) {
	for key, e := range l.entries {
		if stale(e.value, e.lastReport) {
			delete(l.entries, key)
		}
	}
}
