package dispatcher

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/router"
)

// Control hosts and peers announce the version of the document that they have. A host fetches the
// newest version once, from one of them. Documents have up to 256 KB, which takes a link of 25 Mbit/s
// 80 ms: a copy from each control host and from each new session would fill the link of a host for
// longer than its peers wait for a heartbeat.

const (
	// documentTimeout bounds one fetch. It allows for a link that is busy with other traffic.
	documentTimeout = 700 * time.Millisecond
	// documentRetryInterval is the least time between two fetches from a host that does not answer.
	documentRetryInterval = 200 * time.Millisecond
	// documentFailureMemory is how long a host that did not answer is asked only if no other host
	// has the version.
	documentFailureMemory = time.Second
)

// FetchedDocument is a document that was fetched and parsed, or the reason why not.
type FetchedDocument struct {
	poller.Document
	// Table holds the queues of the document; nil if it is invalid or was not received.
	Table *router.Table
	// Invalid is the reason why a document that was received cannot be used.
	Invalid error
	// Err is set if no document was received.
	Err error
}

// ParseDocument parses a document.
func ParseDocument(d poller.Document, parse func(content []byte) (*router.Document, error)) FetchedDocument {
	parsed, err := parse(d.Content)
	if err != nil {
		return FetchedDocument{
			Document: d,
			Invalid:  err,
		}
	}
	return FetchedDocument{
		Document: d,
		Table:    router.NewTable(parsed),
	}
}

// documentFetcher is the state of fetching documents.
type documentFetcher struct {
	// announced holds the newest version that each host has announced, failedAt when the last fetch
	// from a host has failed.
	announced map[string]uint64
	failedAt  map[string]time.Time
	// fetching is set while a fetch is in flight.
	fetching bool
	// invalid is the newest version that was received and is not valid.
	invalid uint64
}

func newDocumentFetcher() documentFetcher {
	return documentFetcher{
		announced: map[string]uint64{},
		failedAt:  map[string]time.Time{},
	}
}

// announceDocument records that a host has a version of the document, and fetches it if it is newer.
func (c *Core) announceDocument(now time.Time, from string, version uint64) {
	if version > c.documents.announced[from] {
		c.documents.announced[from] = version
		c.fetchDocument(now)
	}
}

// fetchDocument starts to fetch the newest announced document unless it is active or another fetch
// is in flight.
func (c *Core) fetchDocument(now time.Time) {
	f := &c.documents
	if f.fetching {
		return
	}
	newest := uint64(0)
	for _, version := range f.announced {
		newest = max(newest, version)
	}
	if newest <= max(c.published.Version, f.invalid) {
		return
	}
	source, found := c.documentSource(now, newest)
	if !found {
		return
	}
	f.fetching = true
	c.effects.FetchDocument(source, newest, func(now time.Time, d FetchedDocument) { c.documentFetched(now, source, d) })
}

// documentSource returns the host from which to fetch a version: one that has not failed lately,
// preferably a host of this domain, and preferably a control host. Each host orders equal sources
// differently, which spreads the load.
func (c *Core) documentSource(now time.Time, version uint64) (address string, found bool) {
	var sources []string
	least := math.MaxInt
	for _, address := range slices.Sorted(maps.Keys(c.documents.announced)) {
		failedAt, failed := c.documents.failedAt[address]
		if c.documents.announced[address] < version || failed && now.Sub(failedAt) < documentRetryInterval {
			continue
		}
		cost := c.sourceCost(address)
		if failed && now.Sub(failedAt) < documentFailureMemory {
			cost += failedSourceCost
		}
		if cost < least {
			least, sources = cost, nil
		}
		if cost == least {
			sources = append(sources, address)
		}
	}
	return sesamedrift.RendezvousNode(c.cfg.Self.Address, sources, func(address string) string { return address })
}

// The costs of sources add up, so that each one counts for more than those below it together.
const (
	entrySourceCost  = 1
	remoteSourceCost = 2
	failedSourceCost = 4
)

// sourceCost returns the cost of fetching from a host that has not failed.
func (c *Core) sourceCost(address string) int {
	host, known := c.hosts.Get(address)
	cost := 0
	if !known || host.Role != discoverer.Control {
		cost += entrySourceCost
	}
	if !known || host.Domain != c.cfg.Self.Domain {
		cost += remoteSourceCost
	}
	return cost
}

// documentFetched applies a fetched document. If the source has failed, Tick starts the next fetch;
// a source that no longer has the version is forgotten until it announces one again.
func (c *Core) documentFetched(now time.Time, source string, d FetchedDocument) {
	c.documents.fetching = false
	var refusal *messenger.RemoteError
	switch {
	case errors.As(d.Err, &refusal):
		delete(c.documents.announced, source)
	case d.Err != nil:
		c.documents.failedAt[source] = now
	default:
		delete(c.documents.failedAt, source)
		c.applyDocument(d)
		c.fetchDocument(now)
		return
	}
	c.logEvent(reporter.DocumentFetchFailed, "from", source, "error", d.Err)
}

// applyDocument applies a newer document. An invalid one is logged, and the current one stays
// active.
func (c *Core) applyDocument(d FetchedDocument) {
	if d.Version <= max(c.published.Version, c.documents.invalid) {
		return
	}
	if d.Invalid != nil {
		c.documents.invalid = d.Version
		c.logEvent(reporter.ConfigurationRejected, "version", d.Version, "error", d.Invalid)
		return
	}
	c.published = d.Document
	c.table = d.Table
	c.effects.DocumentApplied(d)
	c.logEvent(reporter.ConfigurationInForce, "version", d.Version, "queues", len(d.Table.Document().Queues))
}
