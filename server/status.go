package server

import (
	"net/http"
	"sort"
	"time"

	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/validator"
)

// hostStatus is the status that one host reports of itself.
type hostStatus struct {
	Host        string    `json:"host" msgpack:"host"`
	Domain      string    `json:"domain" msgpack:"domain"`
	Incarnation uint64    `json:"incarnation" msgpack:"incarnation"`
	Ready       bool      `json:"ready" msgpack:"ready"`
	View        uint64    `json:"view" msgpack:"view"`
	Members     []string  `json:"members" msgpack:"members"`
	Horizon     time.Time `json:"horizon" msgpack:"horizon"`
	Lease       bool      `json:"lease" msgpack:"lease"`
	Replica     bool      `json:"replica" msgpack:"replica"`
	Votes       bool      `json:"votes" msgpack:"votes"`
	// JournalError is the error of the write or sync after which a replica stopped voting. It is
	// empty if the journal has not failed.
	JournalError string            `json:"journal-error,omitempty" msgpack:"journal-error"`
	Versions     map[string]uint64 `json:"versions" msgpack:"versions"`
	Queued       int               `json:"queued" msgpack:"queued"`
	Running      int               `json:"running" msgpack:"running"`
	Free         map[string]int    `json:"free" msgpack:"free"`
	Upstreams    []upstreamStatus  `json:"upstreams" msgpack:"upstreams"`
	// Evacuated lists the evacuated failure domains that the host applies. A host that does not know
	// the evacuations starts no tasks.
	Evacuated        []string   `json:"evacuated" msgpack:"evacuated"`
	EvacuationsKnown bool       `json:"evacuations-known" msgpack:"evacuations-known"`
	Trial            trialCount `json:"trial" msgpack:"trial"`
	Counters         Counters   `json:"counters" msgpack:"counters"`
}

// upstreamStatus is the status of one upstream that a host owns.
type upstreamStatus struct {
	Upstream string `json:"upstream" msgpack:"upstream"`
	Service  string `json:"service" msgpack:"service"`
	Address  string `json:"address" msgpack:"address"`
	State    string `json:"state" msgpack:"state"`
	Slots    int    `json:"slots" msgpack:"slots"`
}

// systemStatus is the body of the response to GET /v1/status: the status of this host and of the peers
// that answered.
type systemStatus struct {
	hostStatus
	Hosts []hostStatus `json:"hosts"`
	// Unreachable lists the peers that did not answer.
	Unreachable []string `json:"unreachable"`
	// CutOff says that this host reaches no majority of the replicas that votes, so that it continues
	// with the documents and the view that it has.
	CutOff bool `json:"cut-off"`
}

func (h *Host) serveStatus(empty) (hostStatus, error) { return h.status(), nil }

func (h *Host) getStatus(w http.ResponseWriter, r *http.Request) {
	s := systemStatus{
		hostStatus:  h.status(),
		Hosts:       []hostStatus{},
		Unreachable: []string{},
	}
	answers := h.collectStatus(r.Context())
	reached, replicas := 0, 0
	if s.Votes {
		reached++
	}
	if s.Replica {
		replicas++
	}
	for _, p := range h.cfg.Settings.Peers {
		if p.Replica {
			replicas++
		}
		answer, ok := answers[p.Host]
		if !ok {
			s.Unreachable = append(s.Unreachable, p.Host)
			continue
		}
		if answer.Votes {
			reached++
		}
		s.Hosts = append(s.Hosts, answer)
	}
	s.CutOff = reached <= replicas/2
	writeJSON(w, http.StatusOK, s)
}

func (h *Host) status() hostStatus {
	now := h.now()
	var view leaser.View
	var lease bool
	h.members.withLock(func(l *leaser.Leaser) {
		view = l.View()
		lease = l.HoldsLease(now)
	})
	evacuated, _, known := h.evacuations.get()
	s := hostStatus{
		Host:             h.cfg.Settings.Host,
		Domain:           h.cfg.Settings.Domain,
		Incarnation:      h.cfg.Incarnation,
		Ready:            h.checkReady() == nil,
		View:             view.Number,
		Members:          []string{},
		Horizon:          view.Horizon,
		Lease:            lease,
		Replica:          h.replica != nil,
		Votes:            h.votes(),
		Versions:         h.entries.Versions(),
		Free:             h.slots.freeByService(),
		Upstreams:        []upstreamStatus{},
		Evacuated:        append([]string{}, evacuated.Domains...),
		EvacuationsKnown: known,
	}
	if h.replica != nil && h.replica.Registers().Err() != nil {
		s.JournalError = h.replica.Registers().Err().Error()
	}
	for _, m := range view.Members {
		s.Members = append(s.Members, m.Host)
	}
	if active := h.documents.get(validator.Trial); active != nil {
		s.Trial = h.trials.count(active.Version)
	}
	// The error means that the host has stopped; the fields from the dispatcher are then zero.
	_ = h.dispatcher.call(func(now time.Time) {
		d := h.dispatcher
		s.Queued = d.queue.Len()
		s.Running = d.runningAttempts
		s.Counters = d.stats
		for _, u := range d.upstreams {
			s.Upstreams = append(s.Upstreams, upstreamStatus{
				Upstream: u.Upstream,
				Service:  u.Service,
				Address:  u.Address,
				State:    string(d.upstreamState(now, u)),
				Slots:    u.Slots,
			})
		}
	})
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Upstream < s.Upstreams[j].Upstream })
	return s
}

// OwnedUpstreams returns the number of upstreams on which this host may start tasks. It is 0 after the
// host has stopped.
func (h *Host) OwnedUpstreams() int {
	n := 0
	// The error means that the host has stopped; n is then 0.
	_ = h.dispatcher.call(func(time.Time) { n = len(h.dispatcher.upstreams) })
	return n
}
