package executor

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Headers of the upstream protocol.
const (
	taskHeader    = "Task-Id"
	attemptHeader = "Attempt"
	leaseHeader   = "Task-Lease"
	needsHeader   = "Task-Needs"
)

var (
	errNoSlot       = errors.New("every slot is taken")
	errNoCapacity   = errors.New("the running tasks leave less of the capacity than the task needs")
	errStoppedEarly = errors.New("the task was stopped before it came")
)

// run handles POST /tasks: it runs the task and responds with its answer or an error.
func (e *Executor) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(taskHeader)
	attempt, err := strconv.Atoi(r.Header.Get(attemptHeader))
	if id == "" || err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", "the headers Task-Id and Attempt are needed")
		return
	}
	lease, err := time.ParseDuration(r.Header.Get(leaseHeader))
	if err != nil || lease <= 0 {
		writeError(w, http.StatusBadRequest, "bad-request", "the header Task-Lease must be a duration above zero")
		return
	}
	var needs sesamedrift.Resources
	if text := r.Header.Get(needsHeader); text != "" && json.Unmarshal([]byte(text), &needs) != nil {
		writeError(w, http.StatusBadRequest, "bad-request", "the header Task-Needs must be a JSON object of amounts")
		return
	}
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	w.Header().Set(taskHeader, id)
	w.Header().Set(attemptHeader, strconv.Itoa(attempt))
	x, err := e.begin(r.Context(), id, attempt, lease, needs)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "not-started", err.Error())
		return
	}
	defer e.end(id)
	x.perform(w, payload, Answer{
		Task:     id,
		Attempt:  attempt,
		Upstream: e.cfg.ID,
	})
}

// startedTask is a task that holds a slot.
type startedTask struct {
	ctx     context.Context // ends with the lease or the connection, or when the task is stopped
	faults  Faults
	release <-chan struct{}
}

// begin takes a slot for the task. It returns an error if the task is already running, was
// stopped before, or does not fit the free slots or capacity.
func (e *Executor) begin(ctx context.Context, id string, attempt int, lease time.Duration, needs sesamedrift.Resources) (*startedTask, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.running[id]; ok {
		return nil, errors.New("the task runs here already")
	}
	if e.stoppedEarly(id, attempt) {
		return nil, errStoppedEarly
	}
	if len(e.running) >= e.cfg.Slots {
		e.rejected++
		return nil, errNoSlot
	}
	if !e.cfg.Capacity.Allows(e.usedCapacity().Plus(needs)) {
		e.rejected++
		return nil, errNoCapacity
	}
	ctx, stop := context.WithTimeoutCause(ctx, lease, errLease)
	ctx, cancel := context.WithCancelCause(ctx)
	e.running[id] = &execution{
		RunningTask: RunningTask{
			Task:    id,
			Attempt: attempt,
			Ends:    time.Now().Add(lease),
			Needs:   needs,
		},
		ended: make(chan struct{}),
		cancel: func(cause error) {
			cancel(cause)
			stop()
		},
	}
	if e.cfg.OnStart != nil {
		e.cfg.OnStart(id, attempt)
	}
	return &startedTask{
		ctx:     ctx,
		faults:  e.faults,
		release: e.release,
	}, nil
}

// usedCapacity returns the total resource demand of the running tasks. The caller holds e.mu.
func (e *Executor) usedCapacity() sesamedrift.Resources {
	var sum sesamedrift.Resources
	for _, x := range e.running {
		sum = sum.Plus(x.Needs)
	}
	return sum
}

// end frees the slot of the task and cancels its context.
func (e *Executor) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id].cancel(nil)
	if e.cfg.OnEnd != nil {
		e.cfg.OnEnd(id)
	}
	close(e.running[id].ended)
	delete(e.running, id)
	if len(e.running) == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}

// perform simulates the task and writes the response, which is the answer or an error.
func (x *startedTask) perform(w http.ResponseWriter, payload []byte, answer Answer) {
	var work Payload
	if err := json.Unmarshal(payload, &work); err != nil {
		work = Payload{Echo: string(payload)}
	}
	if x.faults.FailAll {
		writeError(w, http.StatusInternalServerError, "task-failed", "this executor fails every task")
		return
	}
	runTime, err := time.ParseDuration(work.RunTime)
	if work.RunTime != "" && (err != nil || runTime < 0) {
		writeError(w, http.StatusInternalServerError, "task-failed", "run-time is not a duration of zero or more")
		return
	}
	if x.faults.Slowdown > 1 {
		runTime = time.Duration(float64(runTime) * x.faults.Slowdown)
	}
	err = sleep(x.ctx, runTime, x.faults.Hang)
	if err == nil && work.Hold {
		err = x.hold()
	}
	if err != nil {
		writeError(w, http.StatusInternalServerError, "task-stopped", err.Error())
		return
	}
	if work.Fail != "" {
		writeError(w, http.StatusInternalServerError, "task-failed", work.Fail)
		return
	}
	answer.Echo = work.Echo
	writeJSON(w, http.StatusOK, answer)
}

// sleep waits for d, or until ctx ends if hang is set. It returns the cause if ctx ends first.
func sleep(ctx context.Context, d time.Duration, hang bool) error {
	if hang {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// hold waits until POST /release. It returns the cause if the context of the task ends first.
func (x *startedTask) hold() error {
	select {
	case <-x.release:
		return nil
	case <-x.ctx.Done():
		return context.Cause(x.ctx)
	}
}
