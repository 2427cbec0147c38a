// Package router maps the host name and path of a request to a queue, as configured by a document.
//
// A Document is validated once with Validate and must not be modified afterwards. A Table is built
// from a valid Document and is immutable. Both are safe for concurrent use.
package router

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Document is one version of the operator's configuration of all queues.
type Document struct {
	// Version is above zero and increases with each change.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue receives the jobs that are sent to one path prefix of one host name, and has the settings
// that apply to them.
type Queue struct {
	Name string
	// Host is a host name without a port, in lower case.
	Host string
	// PathPrefix begins with a slash. No two queues of a document have the same host and prefix.
	PathPrefix string
	// Service is the name of a service of the document.
	Service string
	// DefaultTimeout applies to jobs whose caller sets no timeout; above zero.
	DefaultTimeout time.Duration
	// TargetLatency is part of the objective for the time from the arrival to the end of a job:
	// SlackFactor times its longest chain of dependent tasks, plus TargetLatency.
	TargetLatency time.Duration
	// SlackFactor is at least 1.
	SlackFactor float64
	// Priority orders queues; those with priority 0 come first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails; at least 1.
	MaxAttempts int
}

// Service is a pool of upstreams.
type Service struct {
	Name string
	// EnforcesCapacity means that the upstreams reject tasks that demand more than their free capacity.
	EnforcesCapacity bool
	// MaxConnections limits the connections to one upstream; zero means no limit.
	MaxConnections int
}

// Limits restrict the HTTP requests of callers. For a field that is zero, the default of the server
// applies.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// InvalidError reports the first problem of a document that is not valid.
type InvalidError struct {
	Version uint64
	Reason  string
}

// Error includes the version and the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("document version %d is not valid: %s", e.Version, e.Reason)
}

// Validate returns an *InvalidError if the document cannot be applied, and nil otherwise.
func (d *Document) Validate() error {
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type queueKey struct{ host, prefix string }
	names := make(map[queueKey]string, len(d.Queues))
	if d.Version == 0 {
		return d.invalid("the version is 0")
	}
	for _, q := range d.Queues {
		key := queueKey{
			host:   q.Host,
			prefix: q.PathPrefix,
		}
		other, duplicate := names[key]
		switch {
		case !services[q.Service]:
			return d.invalid("queue %q names the unknown service %q", q.Name, q.Service)
		case duplicate:
			return d.invalid("queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.PathPrefix)
		case q.DefaultTimeout <= 0:
			return d.invalid("queue %q has the timeout %s, which is not above zero", q.Name, q.DefaultTimeout)
		case !strings.HasPrefix(q.PathPrefix, "/"):
			return d.invalid("queue %q has the prefix %q, which does not begin with a slash", q.Name, q.PathPrefix)
		}
		names[key] = q.Name
	}
	return nil
}

func (d *Document) invalid(format string, args ...any) error {
	return &InvalidError{
		Version: d.Version,
		Reason:  fmt.Sprintf(format, args...),
	}
}

// Table is an immutable routing table, built by NewTable.
type Table struct {
	document *Document
	hosts    map[string]*prefixes
}

// prefixes holds the queues of one host name.
type prefixes struct {
	queues map[string]*Queue // by path prefix
	// lengths holds the distinct lengths of the prefixes, the longest first.
	lengths []int
}

// NewTable builds the routing table of a document. The document must be valid, and the table keeps it.
func NewTable(d *Document) *Table {
	t := &Table{
		document: d,
		hosts:    map[string]*prefixes{},
	}
	for i := range d.Queues {
		q := &d.Queues[i]
		p := t.hosts[q.Host]
		if p == nil {
			p = &prefixes{queues: map[string]*Queue{}}
			t.hosts[q.Host] = p
		}
		p.queues[q.PathPrefix] = q
		if !slices.Contains(p.lengths, len(q.PathPrefix)) {
			p.lengths = append(p.lengths, len(q.PathPrefix))
		}
	}
	for _, p := range t.hosts {
		slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
	}
	return t
}

// Document returns the document from which the table was built. It must not be modified.
func (t *Table) Document() *Document { return t.document }

// Find returns the queue with the longest matching path prefix, and the rest of the path after
// that prefix. The host is matched regardless of case; a port is ignored.
func (t *Table) Find(host, path string) (q *Queue, rest string, found bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	p := t.hosts[strings.ToLower(host)]
	if p == nil {
		return nil, "", false
	}
	for _, n := range p.lengths {
		if n > len(path) {
			continue
		}
		if q, ok := p.queues[path[:n]]; ok {
			return q, path[n:], true
		}
	}
	return nil, "", false
}
