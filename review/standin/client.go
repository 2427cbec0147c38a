package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Host and Prefix select the queue of the manifest.
const (
	Host   = "nony24.example"
	Prefix = "/lohu930/"
)

// Manifest returns a manifest with one queue, whose route has the given time limit. guarded says
// whether the executors enforce their capacity.
func Manifest(timeout time.Duration, guarded bool) string {
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-3hwrr6x","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":%d,`+
		`"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":3,"slack_factor":1.6}],`+
		`"services":[{"name":%q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":%t,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		Host, Prefix, timeout.Milliseconds(), Service, Service, guarded)
}

// Front is an address for clients: a machine or the provider.
type Front interface {
	Front() string
	String() string
}

// Client sends jobs to edge machines. Each request uses a channel of its own.
type Client struct {
	record *Record
	http   *http.Client
}

// NewClient returns a client.
func NewClient(record *Record) *Client {
	return &Client{
		record: record,
		http: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// JobID returns the identifier of job n.
func JobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// Job is a job of one task.
type Job struct {
	ID string
	// Work is the work of the task, CPU its demand in thousandths of a core.
	Work time.Duration
	CPU  int64
}

// Submit hands in a job and returns the status of the response, or an error if there is none until
// the client's time limit.
func (c *Client) Submit(to Front, j Job, limit time.Duration) (int, error) {
	body := fmt.Sprintf(`{"spec":"%d %d","best_effort":true,"steps":[{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`,
		j.Work.Milliseconds(), j.CPU, j.CPU, j.Work.Milliseconds())
	return c.send(to, http.MethodPost, j.ID, body, limit)
}

// Cancel cancels a job and returns the status of the response.
func (c *Client) Cancel(to Front, id string, limit time.Duration) (int, error) {
	return c.send(to, http.MethodDelete, id, "", limit)
}

func (c *Client) send(to Front, method, id, body string, limit time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Front()+Prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	c.record.Printf("client sends %s %s to %s", method, id, to)
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.Printf("client gets no answer to %s %s from %s: %v", method, id, to, err)
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	c.record.Printf("client gets %d to %s %s from %s: %s", resp.StatusCode, method, id, to, answer)
	return resp.StatusCode, err
}
