// Package executor implements a simulated upstream: it announces itself to the hosts of its
// failure domain and runs tasks by sleeping for the run time that their payload names.
//
// It follows the upstream protocol of docs/design.md: a task ends no later than its lease, a
// task for which there is no free slot is refused with the code "not-started", and an
// answer repeats the task identifier and the attempt. Faults can be changed at run time. All
// methods are safe for concurrent use.
package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sesamedrift.example/sesamedrift"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxPayload        = 8 << 20 // bytes
	// leaveGrace is the time for which hosts may still send tasks after the executor has
	// announced that it is leaving (invariant P6 of docs/design.md).
	leaveGrace = 2 * time.Second
	// stopRetention is the time for which the stop of a task that was not running is kept.
	stopRetention = 10 * time.Second
)

// Faults are faults that an executor simulates. The zero value simulates none.
type Faults struct {
	// Slowdown is a factor for run times. Values of 1 and below have no effect.
	Slowdown float64
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// Hang makes every task run until its lease ends or it is stopped.
	Hang bool
}

// Config configures an executor.
type Config struct {
	// ID is the name of the upstream.
	ID string
	// Address is the IP address and port to listen on. Port 0 selects a free port.
	Address string
	// Hosts are the base URLs of the hosts of the same failure domain.
	Hosts   []string
	Service string
	// Environment is trial or production. Empty means production.
	Environment string
	// Incarnation must grow with each start of an executor with the same ID.
	Incarnation uint64
	// Slots is the number of tasks that may run at the same time.
	Slots int
	// Connections is the announced limit of connections that a host opens to the executor.
	Connections int
	// Capacity bounds the total resource demand of the running tasks. The zero value means no
	// bound.
	Capacity sesamedrift.Resources
	// TTL is the time for which an announcement is valid.
	TTL    time.Duration
	Faults Faults
	// Log receives events 5005 and 5006. If it is nil, nothing is logged.
	Log *slog.Logger
	// OnStart, if it is set, is called at each start of a task.
	OnStart func(taskID string, attempt int)
	// OnEnd, if it is set, is called at each end of a task, before its slot is free.
	OnEnd func(taskID string)
}

// Payload is the JSON payload of a task for an executor. A task with any other payload ends
// at once, and its answer echoes the payload.
type Payload struct {
	// RunTime is a duration such as "250ms". Empty means zero.
	RunTime string `json:"run-time"`
	// Hold makes the task run until POST /release after its run time has passed.
	Hold bool `json:"hold,omitempty"`
	// Fail, if it is not empty, makes the task fail with this reason after its run time.
	Fail string `json:"fail,omitempty"`
	// Echo is copied to the answer.
	Echo string `json:"echo,omitempty"`
}

// Answer is the body of the response to a task that succeeded.
type Answer struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Upstream string `json:"upstream"`
	Echo     string `json:"echo,omitempty"`
}

// RunningTask describes one running task in the reply to GET /tasks.
type RunningTask struct {
	Task    string    `json:"task"`
	Attempt int       `json:"attempt"`
	Ends    time.Time `json:"ends"`
	// Needs is the resource demand of the task.
	Needs sesamedrift.Resources `json:"needs,omitzero"`
}

// execution is a running task and the means to stop it.
type execution struct {
	RunningTask
	cancel context.CancelCauseFunc
	ended  chan struct{} // closed when the slot is freed
}

var (
	errStopped = errors.New("stopped by a host")
	errLease   = errors.New("lease ended")
)

// Executor is a running simulated upstream. Create it with New.
type Executor struct {
	cfg         Config
	listener    net.Listener
	http        *http.Server
	stop        context.CancelFunc
	wg          sync.WaitGroup
	announceNow chan struct{}

	mu       sync.Mutex
	faults   Faults
	state    string
	running  map[string]*execution
	rejected int           // number of tasks refused for lack of a free slot or of capacity
	stopped  []stopNotice  // stops of tasks that were not running, oldest first
	idle     chan struct{} // closed and replaced whenever running becomes empty
	release  chan struct{} // closed and replaced by POST /release
}

// New starts an executor, which listens, serves tasks and announces itself until Close. Errors
// about the configuration are of type *sesamedrift.InvalidError.
func New(cfg Config) (*Executor, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("executor %q: %w", cfg.ID, err)
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Executor{
		cfg:         cfg,
		listener:    listener,
		stop:        stop,
		announceNow: make(chan struct{}, 1),
		faults:      cfg.Faults,
		state:       stateServing,
		running:     map[string]*execution{},
		idle:        make(chan struct{}),
		release:     make(chan struct{}),
	}
	e.http = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	e.wg.Go(func() {
		// Serve returns ErrServerClosed after Close.
		_ = e.http.Serve(listener)
	})
	e.wg.Go(func() { e.announceUntil(ctx) })
	return e, nil
}

func (c *Config) check() error {
	for field, n := range map[string]int{"slots": c.Slots, "connections": c.Connections} {
		if n < 1 {
			return &sesamedrift.InvalidError{
				Field: field,
				Value: strconv.Itoa(n),
				Want:  "a whole number of 1 or more",
			}
		}
	}
	if c.Capacity.CPU < 0 || c.Capacity.Memory < 0 || c.Capacity.Accelerators < 0 {
		return &sesamedrift.InvalidError{
			Field: "capacity",
			Value: fmt.Sprintf("%+v", c.Capacity),
			Want:  "amounts of 0 or more",
		}
	}
	if c.TTL <= 0 {
		return &sesamedrift.InvalidError{
			Field: "ttl",
			Value: c.TTL.String(),
			Want:  "a duration above 0s",
		}
	}
	return nil
}

// Address returns the IP address and port on which tasks are served.
func (e *Executor) Address() string { return e.listener.Addr().String() }

// SetFaults sets the faults for tasks that start after the call.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Rejected returns the number of tasks that were refused because no slot was free or the free
// capacity was too small.
func (e *Executor) Rejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejected
}

// Leave announces that the executor is leaving, and drains it. It returns when the grace period
// for hosts to apply the announcement has passed and all running tasks have been answered, or
// with an error when ctx is done. Tasks that arrive in the meantime are still run.
func (e *Executor) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.state = stateLeaving
	e.mu.Unlock()
	grace := time.NewTimer(leaveGrace)
	defer grace.Stop()
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
	select {
	case <-grace.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		e.mu.Lock()
		n, idle := len(e.running), e.idle
		e.mu.Unlock()
		if n == 0 {
			// Shutdown waits until the responses of the last tasks are written.
			return e.http.Shutdown(ctx)
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close stops the executor without draining it, like a crash: the connections of running tasks
// are closed.
func (e *Executor) Close() error {
	e.stop()
	err := e.http.Close()
	e.wg.Wait()
	return err
}

func (e *Executor) routes() http.Handler {
	// Task identifiers contain slashes, which are escaped in paths.
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/tasks", e.run).Methods(http.MethodPost)
	r.HandleFunc("/tasks", e.list).Methods(http.MethodGet)
	r.HandleFunc("/tasks/{id}", e.stopTask).Methods(http.MethodDelete)
	r.HandleFunc("/release", e.releaseTasks).Methods(http.MethodPost)
	return r
}

// releaseTasks ends the hold of all tasks that are running.
func (e *Executor) releaseTasks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	close(e.release)
	e.release = make(chan struct{})
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Executor) list(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	tasks := make([]RunningTask, 0, len(e.running))
	for _, x := range e.running {
		tasks = append(tasks, x.RunningTask)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, tasks)
}

// stopNotice records a request to stop a task that was not running at that time.
type stopNotice struct {
	task    string
	attempt int
	at      time.Time
}

// recordStop records the stop of a task that is not running. The request to stop a task may
// arrive before the request to run it. Since the host reuses the slot at once, the task must
// then not start.
func (e *Executor) recordStop(now time.Time, task string, attempt int) {
	for len(e.stopped) > 0 && now.Sub(e.stopped[0].at) > stopRetention {
		e.stopped = e.stopped[1:]
	}
	e.stopped = append(e.stopped, stopNotice{
		task:    task,
		attempt: attempt,
		at:      now,
	})
}

// stoppedEarly reports whether the attempt was stopped before the request to run it arrived.
func (e *Executor) stoppedEarly(task string, attempt int) bool {
	return slices.ContainsFunc(e.stopped, func(s stopNotice) bool { return s.task == task && attempt <= s.attempt })
}

func (e *Executor) stopTask(w http.ResponseWriter, r *http.Request) {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	e.mu.Lock()
	x, ok := e.running[id]
	if attempt, err := strconv.Atoi(r.Header.Get(attemptHeader)); !ok && err == nil {
		e.recordStop(time.Now(), id, attempt)
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "not-running", "the task does not run here")
		return
	}
	x.cancel(errStopped)
	// The host reuses the slot as soon as it receives the response, so that the task must have
	// ended before.
	select {
	case <-x.ended:
	case <-r.Context().Done():
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the connection is closed, so that no error can be sent either.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]string{"code": code, "message": message})
}
