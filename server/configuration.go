package server

import (
	"context"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// environmentPrefix is the name prefix of the registers that hold environment documents.
	environmentPrefix = "env-"
	// exchangeEvery is the interval of exchanges with each host of another failure domain.
	exchangeEvery = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// activeDocument is an environment document that this host applies. It is immutable. Since is when
// this host activated it.
type activeDocument struct {
	Version  uint64
	Digest   string
	Document validator.Environment
	Since    time.Time
}

// exchangedRegisters are the registers whose entries hosts pass on to each other. Views are not among
// them, since hosts read them from the replicas.
var exchangedRegisters = []string{
	environmentPrefix + validator.Trial,
	environmentPrefix + validator.Production,
	evacuator.Register,
}

// documentStore holds the active documents. It is safe for concurrent use.
type documentStore struct {
	mu            sync.RWMutex
	byEnvironment map[string]*activeDocument
}

func (d *documentStore) get(name string) *activeDocument {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byEnvironment[name]
}

// set makes a document the active one of its environment and returns true. It returns false if the
// active document has the same or a newer version.
func (d *documentStore) set(name string, active *activeDocument) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.byEnvironment[name]; old != nil && old.Version >= active.Version {
		return false
	}
	d.byEnvironment[name] = active
	return true
}

// exchange is the request and the reply of an exchange between two hosts: the slots and the register
// versions of the sender, and entries that the receiver may not have.
type exchange struct {
	Host     string            `msgpack:"host"`
	Slots    slotReport        `msgpack:"slots"`
	Versions map[string]uint64 `msgpack:"versions"`
	Entries  []registrar.Entry `msgpack:"entries"`
}

// environment returns the active document of an environment, or an error if there is no such
// environment or no active document.
func (h *Host) environment(name string) (*activeDocument, *Error) {
	if name != validator.Trial && name != validator.Production {
		return nil, badField(&sesamedrift.InvalidError{
			Field: client.EnvironmentHeader,
			Value: name,
			Want:  environmentNames,
		})
	}
	if active := h.documents.get(name); active != nil {
		return active, nil
	}
	return nil, notReady("no document of the environment " + name + " is in force")
}

// domains returns the names of the failure domains that the active production document lists, or
// those of the trial document if there is none. Without a document it returns the own domain.
func (h *Host) domains() []string {
	for _, name := range []string{validator.Production, validator.Trial} {
		if active := h.documents.get(name); active != nil {
			return active.Document.DomainNames()
		}
	}
	return []string{h.cfg.Settings.Domain}
}

// applyEntry applies an entry of a register that a replica has decided or a peer has sent. An entry
// that is not newer than the known one is ignored.
func (h *Host) applyEntry(e registrar.Entry) {
	if !h.entries.Update(e) {
		return
	}
	ctx := context.Background()
	switch e.Register {
	case environmentPrefix + validator.Trial, environmentPrefix + validator.Production:
		h.activateDocument(ctx, e)
	case evacuator.Register:
		h.applyEvacuations(ctx, e)
	case viewPrefix + h.cfg.Settings.Domain:
		h.background.Go(func() { h.installEntry(ctx, e) })
	}
}

// activateDocument parses the document of an entry and makes it the active one. An invalid document
// is logged and ignored.
func (h *Host) activateDocument(ctx context.Context, e registrar.Entry) {
	document, err := validator.ParseEnvironment(e.Value)
	if err != nil {
		reporter.Log(ctx, h.log, reporter.ConfigurationRejected, "register", e.Register, "version", e.Version, "error", err)
		return
	}
	active := &activeDocument{
		Version:  e.Version,
		Digest:   e.Digest,
		Document: document,
		Since:    h.now(),
	}
	if !h.documents.set(document.Name, active) {
		return
	}
	reporter.Log(ctx, h.log, reporter.ConfigurationInForce, "environment", document.Name, "version", e.Version, "digest", e.Digest)
	if document.Name == validator.Production {
		h.claimTable.SetRetention(h.now(), document.Limits.Retention.Std())
	}
	h.dispatcher.post(func(now time.Time) { h.dispatcher.configure(now, document, h.cfg.Settings.Domain, h.peerDomains()) })
}

// receivePeerState applies the slots that a peer reported, and fetches its entries if one of the
// reported versions is newer than that of this host.
func (h *Host) receivePeerState(host string, r slotReport, versions map[string]uint64) {
	h.receiveSlotReport(host, r)
	h.receiveEvacuationVersion(versions)
	for _, register := range exchangedRegisters {
		if versions[register] > h.entries.Get(register).Version {
			h.pullEntries(host)
			return
		}
	}
}

// receiveEvacuationVersion marks the evacuations as known if a peer that knows them has no newer
// version of them than this host. The versions of a peer that does not know them lack the register.
func (h *Host) receiveEvacuationVersion(versions map[string]uint64) {
	if v, ok := versions[evacuator.Register]; ok {
		h.confirmEvacuations(v)
	}
}

// exchangedVersions returns the versions of the exchanged registers that this host has. The register
// of the evacuations is included only if this host knows the evacuations, and then also with the
// version 0.
func (h *Host) exchangedVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, name := range []string{validator.Trial, validator.Production} {
		if e := h.entries.Get(environmentPrefix + name); e.Version > 0 {
			versions[e.Register] = e.Version
		}
	}
	if _, version, known := h.evacuations.get(); known {
		versions[evacuator.Register] = version
	}
	return versions
}

// pullEntries fetches newer entries from a peer in the background, unless a fetch is already under
// way.
func (h *Host) pullEntries(host string) {
	if !h.pullingEntries.CompareAndSwap(false, true) {
		return
	}
	h.background.Go(func() {
		defer h.pullingEntries.Store(false)
		// The next message of the peer triggers another fetch if this one fails.
		_, _ = h.exchangeWith(context.Background(), host, nil)
	})
}

// exchangeWith sends this host's versions and the entries in push to a peer, applies the entries of
// the reply, and returns the versions of the peer.
func (h *Host) exchangeWith(ctx context.Context, host string, push []registrar.Entry) (map[string]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := callPeer[exchange](ctx, h, host, messenger.KindRegisterEntries, exchange{
		Host:     h.cfg.Settings.Host,
		Slots:    h.slots.report(host),
		Versions: h.exchangedVersions(),
		Entries:  push,
	})
	if err != nil {
		return nil, err
	}
	for _, e := range reply.Entries {
		h.applyEntry(e)
	}
	h.receiveSlotReport(host, reply.Slots)
	h.receiveEvacuationVersion(reply.Versions)
	return reply.Versions, nil
}

// receiveSlotReport applies a peer's report of its slots. An empty report is ignored.
func (h *Host) receiveSlotReport(host string, r slotReport) {
	if r.Services != nil {
		h.dispatcher.post(func(now time.Time) { h.dispatcher.peers.update(now, host, r) })
	}
}

func (h *Host) serveEntries(in exchange) (exchange, error) {
	for _, e := range in.Entries {
		h.applyEntry(e)
	}
	h.exchanges.recordIncoming(in.Host, h.now())
	h.receivePeerState(in.Host, in.Slots, in.Versions)
	return exchange{
		Host:     h.cfg.Settings.Host,
		Slots:    h.slots.report(in.Host),
		Versions: h.exchangedVersions(),
		Entries:  h.entriesNewerThan(in.Versions),
	}, nil
}

// entriesNewerThan returns the entries of the exchanged registers that are newer here than the given
// versions.
func (h *Host) entriesNewerThan(versions map[string]uint64) []registrar.Entry {
	var newer []registrar.Entry
	for _, register := range exchangedRegisters {
		if e := h.entries.Get(register); e.Version > versions[register] {
			newer = append(newer, e)
		}
	}
	return newer
}

// exchangeLoop exchanges register versions and slot reports with the hosts of other failure domains
// until ctx is done. Hosts of the own domain are included until a production document is active;
// later their heartbeats carry the same.
func (h *Host) exchangeLoop(ctx context.Context) {
	for {
		for _, p := range h.cfg.Settings.Peers {
			if p.Domain == h.cfg.Settings.Domain && h.documents.get(validator.Production) != nil {
				continue
			}
			if h.now().Sub(h.exchanges.lastIncoming(p.Host)) < exchangeEvery {
				// The exchange that the peer began has updated both hosts.
				continue
			}
			if h.exchanges.begin(p.Host) {
				h.background.Go(func() {
					// An exchange that fails is repeated in the next round.
					_, err := h.exchangeWith(ctx, p.Host, nil)
					h.exchanges.end(p.Host, err == nil)
				})
			}
		}
		if !messenger.Sleep(ctx, exchangeEvery) {
			return
		}
	}
}

// publishEntry applies an entry and sends it to every other host. It returns the hosts, including
// this one, that have this or a newer version of the register.
func (h *Host) publishEntry(ctx context.Context, e registrar.Entry) []string {
	h.applyEntry(e)
	type answer struct {
		host string
		ok   bool
	}
	answers := make(chan answer, len(h.cfg.Settings.Peers))
	for _, p := range h.cfg.Settings.Peers {
		h.background.Go(func() {
			versions, err := h.exchangeWith(ctx, p.Host, []registrar.Entry{e})
			answers <- answer{
				host: p.Host,
				ok:   err == nil && versions[e.Register] >= e.Version,
			}
		})
	}
	hosts := []string{h.cfg.Settings.Host}
	for range h.cfg.Settings.Peers {
		if a := <-answers; a.ok {
			hosts = append(hosts, a.host)
		}
	}
	return hosts
}
