package client

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	defaultBackoff     = 50 * time.Millisecond
	maxBackoff         = time.Second
	defaultAnswerGrace = time.Second
	idleConnections    = 64 // per host
)

// Config describes a client.
type Config struct {
	// Hosts are the base URLs of one or more hosts, for example "http://127.0.0.1:8080".
	Hosts []string
	// HTTPClient sends the requests. If it is nil, a client with its own connection pool is
	// used. Redirects are never followed.
	HTTPClient *http.Client
	// OperatorToken authorises Apply, Promote, Evacuate and Restore.
	OperatorToken string
	// Environment is the environment of the submissions, validator.Trial or
	// validator.Production. Empty means production.
	Environment string
	// Now returns the current time. If it is nil, time.Now is used.
	Now func() time.Time
	// MaxResubmissions is the number of times that a submission which may have been delivered
	// is sent again with the same key. Zero means that only the caller sends it again.
	MaxResubmissions int
	// Backoff is the upper bound of the random wait before the first resubmission. It doubles
	// for each further one, up to one second. Zero means 50ms.
	Backoff time.Duration
	// AnswerGrace is the time after the deadline of a submission for which the client still
	// waits for its outcome. Zero means 1s.
	AnswerGrace time.Duration
	// Sleep waits for the duration, or returns an error when the context ends first. If it is
	// nil, a timer is used.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client sends requests to the hosts of one system. Create it with New.
type Client struct {
	cfg  Config
	http *http.Client

	mu      sync.Mutex
	current int               // index in cfg.Hosts of the host to try first
	domains map[string]string // failure domains of hosts by base URL
}

// New checks the configuration and returns a client. It does not connect to a host yet.
// Errors are of type *sesamedrift.InvalidError.
func New(cfg Config) (*Client, error) {
	if len(cfg.Hosts) == 0 {
		return nil, &sesamedrift.InvalidError{Field: "hosts", Value: "", Want: "the base URL of at least one host"}
	}
	cfg.Hosts = slices.Clone(cfg.Hosts)
	for i, host := range cfg.Hosts {
		u, err := url.Parse(host)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" {
			return nil, &sesamedrift.InvalidError{Field: "hosts", Value: host, Want: "a URL such as http://127.0.0.1:8080"}
		}
		cfg.Hosts[i] = u.Scheme + "://" + u.Host
	}
	switch cfg.Environment {
	case "", validator.Trial, validator.Production:
	default:
		return nil, environmentError(cfg.Environment)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Backoff <= 0 {
		cfg.Backoff = defaultBackoff
	}
	if cfg.AnswerGrace <= 0 {
		cfg.AnswerGrace = defaultAnswerGrace
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	return &Client{
		cfg:     cfg,
		http:    newHTTPClient(cfg.HTTPClient),
		domains: map[string]string{},
	}, nil
}

// newHTTPClient returns a client that does not follow redirects, since following one
// would send a submission a second time.
func newHTTPClient(base *http.Client) *http.Client {
	var c http.Client
	if base != nil {
		c = *base
	} else if transport, ok := http.DefaultTransport.(*http.Transport); ok {
		own := transport.Clone()
		own.MaxIdleConnsPerHost = idleConnections
		c.Transport = own
	}
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backoff returns a random wait (full jitter) before resubmission n, where the first is 1.
func (c *Client) backoff(n int) time.Duration {
	bound := c.cfg.Backoff
	for range n - 1 {
		bound = min(2*bound, maxBackoff)
	}
	return rand.N(bound) + 1
}

// hosts returns all hosts in the order in which to try them: first the one that answered
// last. The host to avoid is the last one.
func (c *Client) hosts(avoid string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := append(slices.Clone(c.cfg.Hosts[c.current:]), c.cfg.Hosts[:c.current]...)
	if i := slices.Index(ordered, avoid); i >= 0 {
		ordered = append(slices.Delete(ordered, i, i+1), avoid)
	}
	return ordered
}

// recordFailure makes the next host the first to try if the failed host is the first.
func (c *Client) recordFailure(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Hosts[c.current] == host {
		c.current = (c.current + 1) % len(c.cfg.Hosts)
	}
}

// recordAnswer makes the host the first to try and stores its failure domain.
func (c *Client) recordAnswer(host, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = max(0, slices.Index(c.cfg.Hosts, host))
	if domain != "" {
		c.domains[host] = domain
	}
}

// knownDomain returns the failure domain of the first host to try, or "" if it is not known
// yet.
func (c *Client) knownDomain() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domains[c.cfg.Hosts[c.current]]
}

// NewKey returns a new unique key whose home domain is the failure domain of the host that
// answered last. If that domain is not known yet, NewKey calls Ready; its errors are those of
// Ready.
func (c *Client) NewKey(ctx context.Context) (sesamedrift.Key, error) {
	domain := c.knownDomain()
	if domain == "" {
		ready, err := c.Ready(ctx)
		if err != nil {
			return sesamedrift.Key{}, err
		}
		domain = ready.Domain
	}
	return sesamedrift.NewKey(c.cfg.Now(), domain), nil
}

// Readiness is the answer of a host that accepts submissions.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Domain string `json:"domain"`
	Host   string `json:"host"`
}

// Ready returns the first host that accepts submissions. Later requests try it first.
func (c *Client) Ready(ctx context.Context) (Readiness, error) {
	var ready Readiness
	err := c.get(ctx, "/v1/ready", &ready)
	if err == nil && (!ready.Ready || ready.Domain == "") {
		err = fmt.Errorf("host %q is not ready or its answer names no failure domain", ready.Host)
	}
	if err != nil {
		return Readiness{}, err
	}
	return ready, nil
}

// Status returns the status object of the first host that answers, which is the one that
// answered last if it can be reached.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var status json.RawMessage
	if err := c.get(ctx, "/v1/status", &status); err != nil {
		return nil, err
	}
	return status, nil
}
