package emulator

import (
	"context"
	"time"

	"sesamedrift.example/sesamedrift/dispatcher"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/router"
)

// SetEvacuated begins or finishes the evacuation of a domain. The order is acknowledged at once.
func (w *Simulation) SetEvacuated(domain string, evacuated bool) {
	if w.evacuations.Evacuated(domain) == evacuated {
		return
	}
	delete(w.invariants.evacuatedSince, domain)
	if evacuated {
		w.invariants.evacuatedSince[domain] = w.wallTime()
	}
	w.evacuations = w.evacuations.With(domain, evacuated, w.evacuations.Version+1)
	w.logger("world").Info("evacuation", "domain", domain, "evacuated", evacuated)
}

// publishUpdates sends the changes since the last update to each host that can reach a control
// host.
func (w *Simulation) publishUpdates() {
	for _, n := range w.Hosts {
		if n.core == nil || n.frozenUntil > w.Now() || n.loopBusyUntil > w.Now() {
			continue
		}
		reachable := !w.ControlDown && w.linkUp(n.Name, controlName)
		n.core.SetControlReachable(controlName, reachable)
		if !reachable {
			continue
		}
		w.hosts.Put(w.wallTime(), n.core.Self())
		updates := poller.Updates{
			Hosts:           w.hosts.Since(n.seenSeqs[0]),
			Upstreams:       w.upstreams.Since(n.seenSeqs[1]),
			DocumentVersion: w.document.Version,

			Evacuations:      &w.evacuations,
			EvacuationsKnown: true,
		}
		n.seenSeqs[0], n.seenSeqs[1] = w.hosts.Seq(), w.upstreams.Seq()
		n.core.HandleUpdates(n.wallTime(), controlName, updates)
		n.core.Flush(n.wallTime())
	}
}

// documentTimeout is how long a host waits for a document that it fetches.
const documentTimeout = 700 * time.Millisecond

// fetchDocument sends the document of the control hosts, or that of another host, to a host.
func (w *Simulation) fetchDocument(n *Host, from string, version uint64, done func(d dispatcher.FetchedDocument)) {
	source := w.hostByAddress(from)
	name, domain := controlName, n.Domain
	if source != nil {
		name, domain = source.Name, source.Domain
	}
	reachable := w.linkUp(n.Name, name) && w.linkUp(name, n.Name)
	if source == nil && w.ControlDown || source != nil && source.core == nil || !reachable || version > w.document.Version {
		w.After(documentTimeout, func() { done(dispatcher.FetchedDocument{Err: context.DeadlineExceeded}) })
		return
	}
	w.After(2*w.latency(n.Domain, domain), func() {
		done(dispatcher.ParseDocument(w.document, func([]byte) (*router.Document, error) { return w.parsedDocument, nil }))
	})
}

// allUpToDate reports whether all running hosts have received the newest reports of upstreams.
func (w *Simulation) allUpToDate() bool {
	for _, n := range w.Hosts {
		if n.core != nil && n.seenSeqs[1] != w.upstreams.Seq() {
			return false
		}
	}
	return true
}
