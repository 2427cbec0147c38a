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

// Names of the HTTP headers of the interface, except for those of request keys.
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

// maxResponseBytes bounds the size of the body of an answer, and thereby the memory for it.
const maxResponseBytes = 1 << 30

// exchange is a request that can be sent to several hosts in turn.
type exchange struct {
	method string
	path   string
	header http.Header
	body   []byte
	// id is the request key or the change identifier, which LostError.ID returns.
	id string
}

// response is the answer of a host, whose body has been read completely.
type response struct {
	host   string
	status int
	header http.Header
	body   []byte
}

// deliver sends the request to the hosts in turn until one may have received it or answered.
// Errors are of type *NotSentError, *LostError or, if the last host is not ready, *APIError.
func (c *Client) deliver(ctx context.Context, hosts []string, x exchange) (response, error) {
	var last error
	for _, host := range hosts {
		r, err := c.send(ctx, host, x)
		if err == nil {
			err = notReady(r)
		}
		if err != nil {
			c.recordFailure(host)
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
	// Without GetBody the transport cannot rewind the body. Otherwise it would resend a
	// request that has an Idempotency-Key header when a reused connection breaks.
	request.GetBody = nil
	for name, values := range x.header {
		request.Header[name] = values
	}
	answer, err := c.http.Do(request)
	if err != nil {
		// A request whose header was not written has no effect. If the context has ended, the
		// transport may have written the header without having called WroteHeaders yet.
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
		return response{}, &LostError{Host: host, ID: x.id, Err: fmt.Errorf("read body of the answer: %w", err)}
	}
	if answer.Header.Get(HostHeader) == "" {
		err = fmt.Errorf("answer %s has no header %s, so it is not from a host", answer.Status, HostHeader)
		return response{}, &LostError{Host: host, ID: x.id, Err: err}
	}
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(OutcomeHeader) != "" {
		c.recordAnswer(host, answer.Header.Get(DomainHeader))
	}
	return r, nil
}

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("the body is longer than %d bytes", maxResponseBytes)
	}
	return body, err
}

// notReady returns the error of a host that did not process the request because it is not
// ready, or nil.
func notReady(r response) error {
	if e, ok := r.apiError(); ok && e.Code == CodeNotReady {
		return e
	}
	return nil
}

// apiError returns the error in the answer. It returns false if the answer is an outcome or a
// success, or has no error code.
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

// answerError returns the error for an answer that the caller cannot use: the *APIError in
// it, or else a *LostError.
func (r response) answerError(id string) error {
	if e, ok := r.apiError(); ok {
		return e
	}
	return &LostError{Host: r.host, ID: id, Err: fmt.Errorf("the answer with HTTP status %d has neither the expected result nor an error code", r.status)}
}

// get reads the resource at path into v. It tries each host once, even after a *LostError,
// since reads have no effect.
func (c *Client) get(ctx context.Context, path string, v any) error {
	r, err := c.fetch(ctx, path, "")
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.answerError("")
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return &LostError{Host: r.host, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// fetch sends a GET request to the hosts in turn until one answers. The id is that of
// LostError and may be empty.
func (c *Client) fetch(ctx context.Context, path, id string) (response, error) {
	return c.deliverToAny(ctx, exchange{
		method: http.MethodGet,
		path:   path,
		id:     id,
	})
}

// deliverToAny sends a request to the hosts in turn until one answers. Unlike deliver, it also goes on
// after a *LostError, so that the request must have the same effect if it is delivered several times.
func (c *Client) deliverToAny(ctx context.Context, x exchange) (response, error) {
	var last error
	for _, host := range c.hosts("") {
		r, err := c.deliver(ctx, []string{host}, x)
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		last = err
	}
	return response{}, last
}
