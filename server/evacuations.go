package server

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/validator"
)

// evacuations holds the evacuated failure domains that this host applies. The zero value is that of a
// host that has just started: the evacuations are not known. It is safe for concurrent use.
type evacuations struct {
	mu sync.RWMutex
	// version is the version of the register from which state was decoded, 0 if there is none.
	version uint64
	state   evacuator.State
	// unreadable is the version of the newest entry that could not be read, 0 if there is none.
	unreadable uint64
	// known is set once state was at least as new as a majority read of the register since the start
	// of this host, either its own or that of a peer. A replica that has just started may have missed
	// the last orders, so that the state in its journal does not suffice.
	known bool
}

// apply replaces the state by that of a newer entry. It reports whether the entry was newer. If a newer
// entry cannot be read, apply returns an error and the state remains as it is.
func (e *evacuations) apply(entry registrar.Entry) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry.Version <= e.version {
		return false, nil
	}
	state, err := evacuator.Decode(entry)
	if err != nil {
		e.unreadable = max(e.unreadable, entry.Version)
		return false, err
	}
	e.version = entry.Version
	e.state = state
	return true, nil
}

// markKnown marks the evacuations as known if the state has the given version of the register or a
// newer one, and if no newer entry was unreadable. It reports whether they were not known before.
func (e *evacuations) markKnown(version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known || e.version < version || e.version < e.unreadable {
		return false
	}
	e.known = true
	return true
}

// get returns the state, the version of its register, and whether the evacuations are known.
func (e *evacuations) get() (state evacuator.State, version uint64, known bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.state, e.version, e.known
}

// allowStarts reports whether tasks may be started on the upstreams of a failure domain.
func (e *evacuations) allowStarts(domain string) bool {
	state, _, known := e.get()
	return known && !state.Evacuated(domain)
}

// applyEvacuations applies an entry of the register of the evacuations.
func (h *Host) applyEvacuations(ctx context.Context, e registrar.Entry) {
	newer, err := h.evacuations.apply(e)
	if err != nil {
		reporter.Log(ctx, h.log, reporter.EvacuationsUnreadable, "version", e.Version, "error", err)
	}
	if !newer {
		return
	}
	state, version, _ := h.evacuations.get()
	reporter.Log(ctx, h.log, reporter.EvacuationsInForce,
		"version", version, "domains", state.Domains, "own", state.Evacuated(h.cfg.Settings.Domain))
	h.dispatcher.post(h.syncEvacuation)
}

// confirmEvacuations marks the evacuations as known if this host has the given version of their
// register or a newer one.
func (h *Host) confirmEvacuations(version uint64) {
	if h.evacuations.markKnown(version) {
		reporter.Log(context.Background(), h.log, reporter.EvacuationsLearned, "version", version)
		h.dispatcher.post(h.syncEvacuation)
	}
}

// syncEvacuation updates the states of the upstreams after the evacuations have changed. It is a
// command of the dispatcher.
func (h *Host) syncEvacuation(now time.Time) {
	d := h.dispatcher
	evacuated := !h.evacuations.allowStarts(h.cfg.Settings.Domain)
	if evacuated && !d.evacuated {
		d.evacuatedAt = now
	}
	d.evacuated = evacuated
	for name := range d.upstreams {
		d.refreshUpstream(now, name)
	}
	h.syncUpstreams(now)
}

// readEvacuations reads the register of the evacuations, and repeats the read until this host knows them or
// ctx is done. Later orders arrive with the exchanges and heartbeats of peers.
func (h *Host) readEvacuations(ctx context.Context) {
	for {
		if entry, err := h.readRegister(ctx, evacuator.Register); err == nil {
			h.applyEntry(entry)
			h.confirmEvacuations(entry.Version)
			if _, _, known := h.evacuations.get(); known {
				return
			}
		}
		if !messenger.Sleep(ctx, h.cfg.Settings.HeartbeatEvery.Std()) {
			return
		}
	}
}

// allDomains returns the failure domains that may be evacuated or restored, sorted: those of the
// active document and of the settings, and those that are evacuated although neither names them any
// more.
func (h *Host) allDomains() []string {
	state, _, _ := h.evacuations.get()
	all := slices.Concat(h.domains(), state.Domains, []string{h.cfg.Settings.Domain})
	for _, p := range h.cfg.Settings.Peers {
		all = append(all, p.Domain)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (h *Host) putEvacuation(w http.ResponseWriter, r *http.Request) {
	h.orderEvacuation(w, r, evacuationOrder{
		name:  "evacuate",
		store: (*evacuator.Evacuator).Begin,
		event: reporter.EvacuationBegun,
	})
}

func (h *Host) deleteEvacuation(w http.ResponseWriter, r *http.Request) {
	h.orderEvacuation(w, r, evacuationOrder{
		name:  "restore",
		store: (*evacuator.Evacuator).Finish,
		event: reporter.EvacuationFinished,
	})
}

// evacuationOrder is one of the two orders that an operator gives.
type evacuationOrder struct {
	// name begins the identifiers of the changes that store the order.
	name string
	// store is the method that stores the order.
	store func(e *evacuator.Evacuator, ctx context.Context, now time.Time, who, domain string) (evacuator.State, error)
	// event is logged after the order was stored.
	event reporter.Event
}

// orderEvacuation stores an order of an operator, publishes the new state and writes the response. The
// name of the order and the domain are part of the identifier of the change, so that the audit trail
// shows them.
func (h *Host) orderEvacuation(w http.ResponseWriter, r *http.Request, order evacuationOrder) {
	domain := mux.Vars(r)["name"]
	if all := h.allDomains(); !slices.Contains(all, domain) {
		unknown := &sesamedrift.InvalidError{
			Field: "domain",
			Value: domain,
			Want:  sesamedrift.OneOf(all),
		}
		writeError(w, notFound(unknown.Error()))
		return
	}
	who := r.Header.Get(client.ChangedByHeader)
	if who == "" {
		writeError(w, badRequest("the headers of the order are not accepted", validator.Problem{
			Path:    client.ChangedByHeader,
			Message: "want the name of the operator",
		}))
		return
	}
	var stored registrar.Entry
	e := &evacuator.Evacuator{Store: registrar.Store{
		Register: evacuator.Register,
		Read: func(ctx context.Context, _ time.Time, register string) (registrar.Entry, error) {
			return h.readRegister(ctx, register)
		},
		Change: func(ctx context.Context, _ time.Time, c registrar.Change) (registrar.Result, error) {
			c.ID = order.name + "-" + domain + "-" + c.ID
			result, err := h.changeRegister(ctx, c)
			stored = registrar.Entry{
				Register: c.Register,
				Version:  result.Version,
				Value:    c.Value,
				Digest:   result.Digest,
			}
			return result, err
		},
	}}
	ctx, cancel := context.WithTimeout(r.Context(), registerChangeTimeout)
	defer cancel()
	state, err := order.store(e, ctx, h.now(), who, domain)
	if err != nil {
		reporter.Log(ctx, h.log, reporter.EvacuationNotStored, "order", order.name, "who", who, "domain", domain, "error", err)
		message := err.Error()
		var unreadable *evacuator.UnreadableError
		if !errors.As(err, &unreadable) {
			message += "; send it again"
		}
		writeError(w, notReady(message))
		return
	}
	reporter.Log(ctx, h.log, order.event, "who", who, "domain", domain, "version", stored.Version)
	response := client.EvacuationResult{
		Domain:    domain,
		Evacuated: state.Evacuated(domain),
		Version:   stored.Version,
		InForceOn: h.publishEntry(r.Context(), stored),
	}
	slices.Sort(response.InForceOn)
	writeJSON(w, http.StatusOK, response)
}

func (h *Host) getDomains(w http.ResponseWriter, r *http.Request) {
	state, version, known := h.evacuations.get()
	if !known {
		writeError(w, notReady("the host does not know the evacuations yet"))
		return
	}
	response := client.Evacuations{
		Version:   version,
		InForceOn: []string{h.cfg.Settings.Host},
	}
	for _, name := range h.allDomains() {
		response.Domains = append(response.Domains, client.Domain{
			Name:      name,
			Evacuated: state.Evacuated(name),
		})
	}
	for host, s := range h.collectStatus(r.Context()) {
		if s.EvacuationsKnown && s.Versions[evacuator.Register] >= version {
			response.InForceOn = append(response.InForceOn, host)
		}
	}
	slices.Sort(response.InForceOn)
	writeJSON(w, http.StatusOK, response)
}

func (h *Host) getDomainHistory(w http.ResponseWriter, r *http.Request) {
	h.writeHistory(w, r, evacuator.Register)
}
