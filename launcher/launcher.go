// Package launcher runs a whole deployment, hosts and simulated upstreams, in one process.
//
// It is used by demonstrations, load tests and system tests. The hosts are real: they exchange
// messages over TCP on the loopback interface and store their data in folders. A Deployment is
// safe for concurrent use; Close must be called once.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/executor"
	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/server"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// OperatorToken authorises changes of environment documents in every deployment.
	OperatorToken = "loopback-operator-token"
	// PeerToken authenticates the hosts of every deployment to each other.
	PeerToken = "loopback-peer-token-0001"

	defaultTTL   = 3 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Config describes a deployment.
type Config struct {
	// Domains are the names of the failure domains.
	Domains []string
	// HostsPerDomain is the number of hosts of each failure domain, in the order of Domains. The
	// first host of each of the first three domains, or of the first domain if there are fewer
	// than three, is a replica and has a data folder.
	HostsPerDomain []int
	// UpstreamsPerDomain is the number of upstreams of each failure domain.
	UpstreamsPerDomain int
	SlotsPerUpstream   int
	// Capacity is the capacity of each upstream; the zero value stands for unlimited.
	Capacity sesamedrift.Resources
	// Service is the name of the service that all upstreams offer.
	Service string
	// Document is the environment document to apply, as JSON.
	Document []byte
	// Folder is the parent of the data folders of the hosts.
	Folder string
	Log    *slog.Logger
	Policy scheduler.Policy
	// Distance is the one-way latency that is added between two failure domains.
	Distance time.Duration
	// OnStart, if set, is called whenever a task starts on any upstream.
	OnStart func(upstream, taskID string, attempt int)
	// OnEnd, if set, is called whenever a task ends on any upstream.
	OnEnd func(upstream, taskID string)
	// TTL is how long an announcement of an upstream is valid; 0 stands for 3 s.
	TTL time.Duration
	// Seed is the base of the random seeds of the hosts.
	Seed uint64
	// ConfigureSettings, if set, may change the settings of a host before they are used.
	ConfigureSettings func(s *validator.Settings)
	// ConfigureJournal, if set, may change the journal configuration of a host, such as how it
	// writes and syncs.
	ConfigureJournal func(host string, cfg *journaler.Config)
}

// Deployment is a running set of hosts and upstreams.
type Deployment struct {
	cfg      Config
	settings []validator.Settings

	mu          sync.Mutex
	hosts       map[string]*server.Host
	upstreams   map[string]*executor.Executor
	incarnation uint64
	// endedCounters is the sum of the counters of the hosts that were killed or stopped.
	endedCounters server.Counters

	links linkStates
}

// New starts the hosts, applies the document and starts the upstreams. It returns when every
// host accepts submissions and every upstream has an owner. If it fails or ctx ends first, it
// closes everything that it has started.
func New(ctx context.Context, cfg Config) (*Deployment, error) {
	if len(cfg.Domains) == 0 || len(cfg.HostsPerDomain) != len(cfg.Domains) {
		return nil, errors.New("launcher: want one or more failure domains and a number of hosts for each")
	}
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	d := &Deployment{
		cfg:       cfg,
		hosts:     map[string]*server.Host{},
		upstreams: map[string]*executor.Executor{},
	}
	var err error
	if d.settings, err = planSettings(cfg); err != nil {
		return nil, err
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	for _, s := range d.settings {
		if err := d.StartHost(s.Host); err != nil {
			return err
		}
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	for _, domain := range d.cfg.Domains {
		for i := range d.cfg.UpstreamsPerDomain {
			if err := d.StartUpstream(UpstreamName(domain, i), domain, executor.Faults{}); err != nil {
				return err
			}
		}
	}
	return d.waitReady(ctx)
}

// StartHost starts a configured host that does not run, as a new incarnation.
func (d *Deployment) StartHost(name string) error {
	s, err := d.Settings(name)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.incarnation++
	incarnation := d.incarnation
	d.mu.Unlock()
	h, err := server.New(server.Config{
		Settings:    s,
		Incarnation: incarnation,
		Log:         d.cfg.Log,
		Now:         time.Now,
		Policy:      d.cfg.Policy,
		Delay:       d.delay(s.Domain),
		Seed:        d.cfg.Seed + incarnation,
		Link:        func(to string, kind messenger.Kind) server.LinkState { return d.links.state(name, to, kind) },
		Journal: func(j *journaler.Config) {
			if d.cfg.ConfigureJournal != nil {
				d.cfg.ConfigureJournal(name, j)
			}
		},
	})
	if err != nil {
		return fmt.Errorf("launcher: host %q: %w", name, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts[name] = h
	return nil
}

func (d *Deployment) delay(from string) func(domain string) time.Duration {
	if d.cfg.Distance == 0 {
		return nil
	}
	return func(domain string) time.Duration {
		if domain == from {
			return 0
		}
		return d.cfg.Distance
	}
}

// Settings returns the settings of a host, running or not. The error for an unknown name is a
// *sesamedrift.InvalidError.
func (d *Deployment) Settings(name string) (validator.Settings, error) {
	for _, s := range d.settings {
		if s.Host == name {
			return s, nil
		}
	}
	return validator.Settings{}, &sesamedrift.InvalidError{Field: "host", Value: name, Want: sesamedrift.OneOf(d.HostNames())}
}

// HostNames returns the names of all configured hosts, running or not.
func (d *Deployment) HostNames() []string {
	names := make([]string, 0, len(d.settings))
	for _, s := range d.settings {
		names = append(names, s.Host)
	}
	return names
}

// URLs returns the base URLs of all hosts of a failure domain, running or not. An empty domain
// stands for all domains.
func (d *Deployment) URLs(domain string) []string {
	var urls []string
	for _, s := range d.settings {
		if domain == "" || s.Domain == domain {
			urls = append(urls, "http://"+s.HTTPAddress)
		}
	}
	return urls
}

// Client returns a client for the hosts of a failure domain that has the operator token. An
// empty domain stands for all domains.
func (d *Deployment) Client(domain string) (*client.Client, error) {
	return client.New(client.Config{
		Hosts:         d.URLs(domain),
		OperatorToken: OperatorToken,
	})
}

// removeHost removes a host from the running hosts and adds its counters to endedCounters.
func (d *Deployment) removeHost(name string) (*server.Host, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[name]
	if !ok {
		return nil, fmt.Errorf("launcher: host %q is not running", name)
	}
	delete(d.hosts, name)
	d.endedCounters.Add(h.Counters())
	return h, nil
}

// KillHost closes a host at once, as a crash would: requests in flight are interrupted and
// nothing is handed over.
func (d *Deployment) KillHost(name string) error {
	h, err := d.removeHost(name)
	if err != nil {
		return err
	}
	h.Kill()
	return nil
}

// StopHost performs a planned stop of a host. If ctx ends first it returns an error; the host
// is closed in any case.
func (d *Deployment) StopHost(ctx context.Context, name string) error {
	h, err := d.removeHost(name)
	if err != nil {
		return err
	}
	return h.Stop(ctx)
}

// StartUpstream starts a simulated upstream, with the given faults, in a failure domain.
func (d *Deployment) StartUpstream(name, domain string, f executor.Faults) error {
	d.mu.Lock()
	d.incarnation++
	incarnation := d.incarnation
	d.mu.Unlock()
	cfg := executor.Config{
		ID:          name,
		Address:     "127.0.0.1:0",
		Hosts:       d.URLs(domain),
		Service:     d.cfg.Service,
		Incarnation: incarnation,
		Slots:       d.cfg.SlotsPerUpstream,
		Connections: 64,
		Capacity:    d.cfg.Capacity,
		TTL:         d.cfg.TTL,
		Faults:      f,
	}
	if d.cfg.OnStart != nil {
		cfg.OnStart = func(taskID string, attempt int) { d.cfg.OnStart(name, taskID, attempt) }
	}
	if d.cfg.OnEnd != nil {
		cfg.OnEnd = func(taskID string) { d.cfg.OnEnd(name, taskID) }
	}
	e, err := executor.New(cfg)
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams[name] = e
	return nil
}

// Upstream returns a running upstream, or nil if no upstream with this name is running.
func (d *Deployment) Upstream(name string) *executor.Executor {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[name]
}

// KillUpstream closes an upstream at once; it does not announce that it leaves.
func (d *Deployment) KillUpstream(name string) error {
	d.mu.Lock()
	e, ok := d.upstreams[name]
	delete(d.upstreams, name)
	d.mu.Unlock()
	if !ok {
		return fmt.Errorf("launcher: upstream %q is not running", name)
	}
	return e.Close()
}

// apply sends the document to the hosts until they accept it.
func (d *Deployment) apply(ctx context.Context) error {
	api, err := d.Client("")
	if err != nil {
		return err
	}
	document, err := validator.ParseEnvironment(d.cfg.Document)
	if err != nil {
		return err
	}
	return poll(ctx, func() error {
		r, err := api.Apply(ctx, client.Change{
			Environment: document.Name,
			ID:          "launcher",
			Who:         "launcher",
			Document:    d.cfg.Document,
		})
		if err == nil && r.Status != client.ChangeAccepted {
			err = fmt.Errorf("launcher: apply the document: status %s", r.Status)
		}
		return err
	})
}

// waitReady waits until every host accepts submissions and every upstream has an owner.
func (d *Deployment) waitReady(ctx context.Context) error {
	for _, s := range d.settings {
		if err := d.WaitHostReady(ctx, s.Host); err != nil {
			return err
		}
	}
	return poll(ctx, func() error {
		owned := d.OwnedUpstreams()
		if want := len(d.cfg.Domains) * d.cfg.UpstreamsPerDomain; owned < want {
			return fmt.Errorf("launcher: %d of %d upstreams have an owner", owned, want)
		}
		return nil
	})
}

func (d *Deployment) runningHosts() []*server.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make([]*server.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// OwnedUpstreams returns the number of upstreams on which the running hosts may start tasks.
func (d *Deployment) OwnedUpstreams() int {
	owned := 0
	for _, h := range d.runningHosts() {
		owned += h.OwnedUpstreams()
	}
	return owned
}

// Counters returns the totals over all hosts. The counters of a host that was killed or stopped
// are read just before it ends.
func (d *Deployment) Counters() server.Counters {
	d.mu.Lock()
	total := d.endedCounters
	d.mu.Unlock()
	for _, h := range d.runningHosts() {
		total.Add(h.Counters())
	}
	return total
}

// WaitHostReady waits until a host accepts submissions or ctx is done.
func (d *Deployment) WaitHostReady(ctx context.Context, name string) error {
	s, err := d.Settings(name)
	if err != nil {
		return err
	}
	api, err := client.New(client.Config{Hosts: []string{"http://" + s.HTTPAddress}})
	if err != nil {
		return err
	}
	return poll(ctx, func() error {
		_, err := api.Ready(ctx)
		return err
	})
}

// poll repeats f until it succeeds or ctx is done.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return errors.Join(ctx.Err(), err)
		}
	}
}

// Close kills all running hosts, then closes the running upstreams.
func (d *Deployment) Close() error {
	d.mu.Lock()
	hosts, upstreams := d.hosts, d.upstreams
	d.hosts, d.upstreams = map[string]*server.Host{}, map[string]*executor.Executor{}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(h.Kill)
	}
	wg.Wait()
	var err error
	for _, e := range upstreams {
		err = errors.Join(err, e.Close())
	}
	return err
}

// UpstreamName returns the name of the upstream of a failure domain with index i, from 0.
func UpstreamName(domain string, i int) string {
	return fmt.Sprintf("%s-worker-%d", domain, i+1)
}
