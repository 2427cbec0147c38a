package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

// Headers of the upstream protocol.
const (
	taskIDHeader    = "Task-Id"
	attemptHeader   = "Attempt"
	taskLeaseHeader = "Task-Lease"
	serviceHeader   = "Service"
	kindHeader      = "Kind"
	needsHeader     = "Task-Needs"
)

const (
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamIdleTimeout = 90 * time.Second
	// leaseGrace is how long a host waits for the answer of a task after the task's lease has
	// ended at the upstream.
	leaseGrace = 250 * time.Millisecond
	// stopTimeout bounds the request that stops a task.
	stopTimeout = time.Second
	// minStopDelay is the first delay between two requests to stop a task; it doubles up to maxStopDelay.
	minStopDelay = 20 * time.Millisecond
	maxStopDelay = 500 * time.Millisecond
	// maxErrorBody is the number of bytes that are read of an upstream's error response.
	maxErrorBody = 16 << 10
)

// runResult is the result of one attempt at one task.
type runResult int

const (
	// runSucceeded: the upstream answered, and the answer belongs to this attempt.
	runSucceeded runResult = iota
	// runFailed: the upstream ran the task, and it failed.
	runFailed
	// runNotStarted: the upstream certainly did not start the task.
	runNotStarted
	// runLost: the task may have started, and its answer is lost.
	runLost
	// runStopped: this host has stopped the task. The upstream has confirmed that, or the lease of the task has ended.
	runStopped
	// runFenced: the claim no longer allows this host to start the task.
	runFenced
)

// taskRun describes one attempt at one task.
type taskRun struct {
	TaskID  string        `msgpack:"task-id"`
	Attempt int           `msgpack:"attempt"`
	Service string        `msgpack:"service"`
	Kind    string        `msgpack:"kind"`
	Payload []byte        `msgpack:"payload"`
	Lease   time.Duration `msgpack:"lease"`
	// FullLease is the longest run time of the kind. Lease is shorter if the deadline comes first.
	FullLease time.Duration `msgpack:"full-lease"`
	// Needs is the resource demand of the task.
	Needs sesamedrift.Resources `msgpack:"needs"`
}

// runningTask is a task that an upstream lists as running. Ends is when it ends at the latest.
type runningTask struct {
	Ends  time.Time
	Needs sesamedrift.Resources
}

// taskAnswer is the result of one attempt.
type taskAnswer struct {
	Result   runResult `msgpack:"result"`
	Answer   []byte    `msgpack:"answer"`
	Reason   string    `msgpack:"reason"`
	Upstream string    `msgpack:"upstream"`
	// Unreachable says that the connection to the upstream failed.
	Unreachable bool `msgpack:"unreachable"`
	// LeaseEnded says that the upstream stopped the task because its lease ended.
	LeaseEnded bool          `msgpack:"lease-ended"`
	Elapsed    time.Duration `msgpack:"took"`
}

// isEmpty reports whether the answer is that of a reply without one. The first result is also the zero value, but each
// answer of an upstream names it.
func (a *taskAnswer) isEmpty() bool { return a.Result == runSucceeded && a.Upstream == "" }

// runner sends tasks to upstreams. It is safe for concurrent use.
type runner struct {
	http      *http.Client
	maxAnswer int64
	sent      atomic.Int64
	rejected  atomic.Int64
	// closing is closed by endStops, after which requests to stop a task are not repeated.
	closing  chan struct{}
	endStops func()
	// stopFailed is called for each request to stop a task that the upstream has not confirmed.
	stopFailed func(upstream, task string, err error)
}

func newRunner(maxAnswer int64, connections int) *runner {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	closing := make(chan struct{})
	return &runner{
		maxAnswer:  maxAnswer,
		closing:    closing,
		endStops:   sync.OnceFunc(func() { close(closing) }),
		stopFailed: func(string, string, error) {},
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     connections,
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     upstreamIdleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (r *runner) close() { r.http.CloseIdleConnections() }

// run performs one attempt and returns when the upstream has answered, or when leaseGrace has passed
// since the end of the lease. If ctx is done before the answer, the task is stopped at the upstream.
func (r *runner) run(ctx context.Context, now func() time.Time, u leaser.Announcement, t taskRun) taskAnswer {
	started := now()
	answer := r.attempt(ctx, u, t)
	answer.Upstream = u.Upstream
	answer.Elapsed = now().Sub(started)
	if answer.Result == runLost && ctx.Err() != nil {
		answer.Result = runStopped
		r.stop(ctx, now, u, t, started.Add(t.Lease+leaseGrace))
	}
	return answer
}

func (r *runner) attempt(ctx context.Context, u leaser.Announcement, t taskRun) taskAnswer {
	ctx, cancel := context.WithTimeout(ctx, t.Lease+leaseGrace)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Headers that were written may have reached the upstream; the task may have started then.
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
	})
	target := "http://" + u.Address + "/tasks"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(t.Payload))
	if err != nil {
		return taskAnswer{Result: runNotStarted, Reason: err.Error()}
	}
	req.Header.Set(taskIDHeader, t.TaskID)
	req.Header.Set(attemptHeader, strconv.Itoa(t.Attempt))
	req.Header.Set(taskLeaseHeader, t.Lease.String())
	req.Header.Set(serviceHeader, t.Service)
	req.Header.Set(kindHeader, t.Kind)
	if t.Needs != (sesamedrift.Resources{}) {
		needs, err := json.Marshal(t.Needs)
		if err != nil {
			return taskAnswer{Result: runNotStarted, Reason: err.Error()}
		}
		req.Header.Set(needsHeader, string(needs))
	}
	// Without GetBody the transport does not retry the request.
	req.GetBody = nil
	r.sent.Add(1)
	resp, err := r.http.Do(req)
	if err != nil {
		a := taskAnswer{
			Result:      runLost,
			Reason:      err.Error(),
			Unreachable: ctx.Err() == nil,
		}
		if !wrote.Load() {
			a.Result = runNotStarted
		}
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(resp, t)
}

func (r *runner) read(resp *http.Response, t taskRun) taskAnswer {
	if resp.StatusCode != http.StatusOK {
		return r.readError(resp)
	}
	if resp.Header.Get(taskIDHeader) != t.TaskID || resp.Header.Get(attemptHeader) != strconv.Itoa(t.Attempt) {
		return taskAnswer{Result: runLost, Reason: "the upstream's answer belongs to another attempt"}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxAnswer+1))
	if err != nil {
		return taskAnswer{Result: runLost, Reason: fmt.Sprintf("the upstream's answer broke off: %v", err)}
	}
	if int64(len(body)) > r.maxAnswer {
		return taskAnswer{Result: runFailed, Reason: fmt.Sprintf("the upstream's answer is longer than %d bytes", r.maxAnswer)}
	}
	// Answers are kept for the retention time. The clone drops the unused capacity of the buffer
	// that io.ReadAll returns.
	return taskAnswer{Result: runSucceeded, Answer: bytes.Clone(body)}
}

// upstreamError is the status and the code of an error response.
type upstreamError struct {
	status int
	code   string
}

// definedErrors holds the results of the errors that the upstream protocol defines. Any other one, perhaps of a program
// between host and upstream, leaves open whether the task has run.
var definedErrors = map[upstreamError]runResult{
	{
		status: http.StatusServiceUnavailable,
		code:   "not-started",
	}: runNotStarted,
	{
		status: http.StatusInternalServerError,
		code:   "task-failed",
	}: runFailed,
	{
		status: http.StatusInternalServerError,
		code:   "task-stopped",
	}: runFailed,
	{
		status: http.StatusBadRequest,
		code:   "bad-request",
	}: runFailed,
}

func (r *runner) readError(resp *http.Response) taskAnswer {
	var e struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil || json.Unmarshal(body, &e) != nil {
		e.Message = "no error of an upstream"
	}
	result, defined := definedErrors[upstreamError{
		status: resp.StatusCode,
		code:   e.Code,
	}]
	switch {
	case !defined:
		return taskAnswer{Result: runLost, Reason: fmt.Sprintf("status %s: %s", resp.Status, e.Message)}
	case result == runNotStarted:
		r.rejected.Add(1)
	}
	return taskAnswer{
		Result:     result,
		Reason:     e.Message,
		LeaseEnded: e.Code == "task-stopped",
	}
}

// stop requests the upstream to stop the task until the upstream confirms it, the lease of the task has ended, or the host
// stops. A restarted upstream is asked once: it does not run the task unless the attempt reaches it late.
func (r *runner) stop(ctx context.Context, now func() time.Time, u leaser.Announcement, t taskRun, ends time.Time) {
	for delay := minStopDelay; ; delay = min(2*delay, maxStopDelay) {
		err := r.requestStop(u, t)
		if err == nil {
			return
		}
		r.stopFailed(u.Upstream, t.TaskID, err)
		remaining := ends.Sub(now())
		if remaining <= 0 || errors.Is(context.Cause(ctx), errUpstreamRestarted) {
			return
		}
		select {
		case <-time.After(min(delay, remaining)):
		case <-r.closing:
			return
		}
	}
}

// requestStop returns nil if the upstream confirms that the task does not run.
func (r *runner) requestStop(u leaser.Announcement, t taskRun) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	target := "http://" + u.Address + "/tasks/" + url.PathEscape(t.TaskID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	req.Header.Set(attemptHeader, strconv.Itoa(t.Attempt))
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotFound {
		return errors.New("status " + resp.Status)
	}
	return nil
}

// listRunning returns the tasks that run on the upstream, by identifier.
func (r *runner) listRunning(ctx context.Context, u leaser.Announcement) (map[string]runningTask, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/tasks", nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("list of running tasks: status " + resp.Status)
	}
	var tasks []struct {
		Task  string                `json:"task"`
		Ends  time.Time             `json:"ends"`
		Needs sesamedrift.Resources `json:"needs"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&tasks); err != nil {
		return nil, fmt.Errorf("list of running tasks: %w", err)
	}
	running := make(map[string]runningTask, len(tasks))
	for _, t := range tasks {
		running[t.Task] = runningTask{
			Ends:  t.Ends,
			Needs: t.Needs,
		}
	}
	return running, nil
}
