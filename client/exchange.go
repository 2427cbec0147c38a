package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// Names of the HTTP headers beside those of request keys.
const (
	EnvironmentHeader     = "Sesamedrift-Environment"
	TryHeader             = "Sesamedrift-Try"
	OutcomeHeader         = "Sesamedrift-Outcome"
	DomainHeader          = "Sesamedrift-Domain"
	HostHeader            = "Sesamedrift-Host"
	ChangeIDHeader        = "Change-Id"
	ExpectedVersionHeader = "Expected-Version"
	ChangedByHeader       = "Changed-By"
)

// maxResponseBytes bounds the memory that one answer can take.
const maxResponseBytes = 1 << 30

// exchange is one request, which can be sent to several hosts in turn.
type exchange struct {
	method string
	path   string
	header http.Header
	body   []byte
	// id is the request key or the change identifier, for LostError.
	id string
}

// response is a complete answer of a host.
type response struct {
	host   string
	status int
	header http.Header
	body   []byte
}

// deliver sends the request to the hosts in turn until one may have received it. Errors
// are of type *NotSentError, *LostError or, from a host that is not ready, *APIError.
func (c *Client) deliver(ctx context.Context, hosts []string, x exchange) (response, error) {
	var last error
	for _, host := range hosts {
		r, err := c.send(ctx, host, x)
		if err == nil {
			err = notReady(r)
		}
		if err != nil {
			c.failed(host)
		}
		var lost *LostError
		if err == nil || errors.As(err, &lost) || ctx.Err() != nil {
			return r, err
		}
		last = err
	}
	return response{}, last
}

// send sends the request to one host. Errors are of type *NotSentError or *LostError.
func (c *Client) send(ctx context.Context, host string, x exchange) (response, error) {
	var connected, written atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { written.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, host+x.path, bytes.NewReader(x.body))
	if err != nil {
		return response{}, &NotSentError{Host: host, Err: err}
	}
	// The transport sends a request with an Idempotency-Key again by itself if it can
	// rewind the body.
	request.GetBody = nil
	for name, values := range x.header {
		request.Header[name] = values
	}
	answer, err := c.http.Do(request)
	if err != nil {
		// A host cannot act on a request before its header is written. After the context
		// ended, the writer may not have reported yet what it wrote.
		if written.Load() || connected.Load() && ctx.Err() != nil {
			return response{}, &LostError{Host: host, ID: x.id, Err: err}
		}
		return response{}, &NotSentError{Host: host, Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	r := response{
		host:   host,
		status: answer.StatusCode,
		header: answer.Header,
	}
	if r.body, err = readBody(answer.Body); err != nil {
		return response{}, &LostError{Host: host, ID: x.id, Err: fmt.Errorf("read answer: %w", err)}
	}
	if answer.Header.Get(HostHeader) == "" {
		err = fmt.Errorf("answer %s has no header %s, so it is not from a host", answer.Status, HostHeader)
		return response{}, &LostError{Host: host, ID: x.id, Err: err}
	}
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(OutcomeHeader) != "" {
		c.used(host, answer.Header.Get(DomainHeader))
	}
	return r, nil
}

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("more than %d bytes", maxResponseBytes)
	}
	return body, err
}

// notReady returns the error of a host that is not ready and did nothing, or nil.
func notReady(r response) error {
	if e, ok := r.apiError(); ok && e.Code == CodeNotReady {
		return e
	}
	return nil
}

// apiError returns the error that the answer contains, or false if it contains none.
func (r response) apiError() (*APIError, bool) {
	if r.header.Get(OutcomeHeader) != "" || r.status < http.StatusBadRequest {
		return nil, false
	}
	e := &APIError{}
	err := json.Unmarshal(r.body, e)
	e.Host = r.host
	e.Status = r.status
	e.RetryAfter = r.retryAfter()
	return e, err == nil && e.Code != ""
}

func (r response) retryAfter() time.Duration {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// failure returns the error for an answer that is not the expected one.
func (r response) failure(id string) error {
	if e, ok := r.apiError(); ok {
		return e
	}
	return &LostError{Host: r.host, ID: id, Err: fmt.Errorf("answer with status %d cannot be read", r.status)}
}

// get reads a resource. A read has no effect, so each host is tried once.
func (c *Client) get(ctx context.Context, path string, v any) error {
	r, err := c.fetch(ctx, path, "")
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.failure("")
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return &LostError{Host: r.host, Err: fmt.Errorf("read answer: %w", err)}
	}
	return nil
}

// fetch sends a request without effect to the hosts in turn until one answers. The id, if
// there is one, is that of LostError.
func (c *Client) fetch(ctx context.Context, path, id string) (response, error) {
	var last error
	for _, host := range c.hosts("") {
		r, err := c.deliver(ctx, []string{host}, exchange{
			method: http.MethodGet,
			path:   path,
			id:     id,
		})
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		last = err
	}
	return response{}, last
}
