package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pingInterval is heartbeat_ms, maxLease hold_max_ms and stopTime stop_ms of the settings.
	pingInterval = 1500 * time.Millisecond
	maxLease     = time.Second
	stopTime     = 50 * time.Millisecond
	// clockStart is the reading of an executor's clock at its start in milliseconds.
	clockStart = 100_000
	// maxEnds is how many ends one response lists.
	maxEnds = 500
)

// work is the content of a job. The provider's executors know the demand and the time of a task from elsewhere.
type work struct {
	// CPU is the demand of a task, MS its time in milliseconds.
	CPU int64 `json:"cpu"`
	MS  int64 `json:"ms"`
	// Requires is the label that the job asks for.
	Requires string `json:"requires,omitempty"`
}

// run is a run of a task that has begun on an executor.
type run struct {
	task   string
	number int
	work   work
	began  time.Time
	ended  time.Time
	how    string
	on     *executor
	timer  *time.Timer
}

// life is one incarnation of an executor.
type life struct {
	born    int64
	labels  []string
	began   time.Time
	token   uint64
	lease   int64 // on the clock of this incarnation
	running map[string]*run
	// listedAt is when the runs were listed for the first time; zero before.
	listedAt time.Time
	// finished holds the highest number of a run of each task that was stopped or has ended.
	finished map[string]int
	ends     []end
	lastEnd  uint64
	changed  chan struct{} // closed at the next end
}

// end is a run that has ended and was not acknowledged.
type end struct {
	seq uint64
	run *run
}

// executor is a stand-in for an executor of the provider, as the pages describe it.
type executor struct {
	id, address, zone, service string
	capacity                   int64
	guards                     bool
	rec                        *record
	controls                   []string
	history                    *history

	// intercept, if set, may take over an order; it then returns true. It is called without the lock.
	intercept func(e *executor, path string, body []byte, w http.ResponseWriter) bool
	// cut is set while the executor is partitioned from the hosts that serve control, down while its process is gone.
	cut, down atomic.Bool

	mu     sync.Mutex
	now    *life
	seq    uint64
	server *http.Server
	// wake makes the next ping leave at once.
	wake chan struct{}
}

// history holds all runs that have begun, on all executors. It is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	runs  []*run
	check func(started *run, onExecutor []*run)
}

// start listens and begins the first incarnation.
func (e *executor) start(labels []string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamedrift/", e.serve)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	e.wake = make(chan struct{}, 1)
	e.begin(labels)
	go func() { _ = e.server.Serve(listener) }()
	go e.pingForever()
	return nil
}

// begin begins an incarnation, which holds and knows nothing of before. Everything that runs ends.
func (e *executor) begin(labels []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.now != nil {
		for _, r := range e.now.running {
			r.timer.Stop()
			e.history.finish(r, "crashed")
		}
		close(e.now.changed)
	}
	e.seq = 0
	e.now = &life{
		born:     time.Now().UnixMilli(),
		labels:   labels,
		began:    time.Now(),
		running:  map[string]*run{},
		finished: map[string]int{},
		changed:  make(chan struct{}),
	}
	e.rec.add("executor %s begins with labels %v, born %d", e.id, labels, e.now.born)
}

// clock returns the reading of the clock of the incarnation.
func (l *life) clock() int64 { return clockStart + time.Since(l.began).Milliseconds() }

// orderBody is the body of an order.
type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// serve handles an order.
func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.down.Load() {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.intercept != nil && e.intercept(e, r.URL.Path, body, w) {
		return
	}
	born := e.born()
	status, answer := e.execute(r.Context(), r.URL.Path, body)
	if e.down.Load() || e.born() != born {
		// The incarnation has crashed with its channels.
		panic(http.ErrAbortHandler)
	}
	respond(w, status, answer)
}

// born returns the start of the present incarnation.
func (e *executor) born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now.born
}

// crash ends the present incarnation; the next one begins with the labels after a time, and sends a ping at once. first, if it is
// set, is called before the next one accepts orders.
func (e *executor) crash(labels []string, after time.Duration, first func()) {
	e.rec.add("executor %s crashes", e.id)
	e.down.Store(true)
	e.begin(labels)
	time.Sleep(after)
	e.begin(labels)
	if first != nil {
		first()
	}
	e.down.Store(false)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func respond(w http.ResponseWriter, status int, answer map[string]any) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// execute carries out an order and returns the response.
func (e *executor) execute(ctx context.Context, path string, body []byte) (int, map[string]any) {
	var o orderBody
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	e.mu.Lock()
	l := e.now
	if o.FencingToken < l.token {
		defer e.mu.Unlock()
		return l.refusal("fence")
	}
	l.token = o.FencingToken
	if o.DeadlineMS > 0 {
		l.extend(o.DeadlineMS)
		e.watchLease(l)
	}
	switch path {
	case "/sesamedrift/run-start":
		defer e.mu.Unlock()
		return e.startRun(l, o)
	case "/sesamedrift/run-stop":
		defer e.mu.Unlock()
		return e.stopRun(l, o)
	case "/sesamedrift/hold":
		return e.hold(ctx, l, o)
	}
	e.mu.Unlock()
	return http.StatusNotFound, map[string]any{}
}

// extend lengthens the lease, up to the longest one.
func (l *life) extend(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+maxLease.Milliseconds()))
}

// watchLease ends all runs once the lease has expired.
func (e *executor) watchLease(l *life) {
	lease := l.lease
	time.AfterFunc(time.Duration(lease-l.clock()+1)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if l.lease != lease || e.now != l {
			return
		}
		for _, r := range l.sortedRuns() {
			e.end(l, r, "lapsed")
		}
	})
}

func (l *life) sortedRuns() []*run {
	all := make([]*run, 0, len(l.running))
	for _, r := range l.running {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

func (l *life) answer() map[string]any {
	return map[string]any{
		"clock_ms": l.clock(),
		"born":     l.born,
	}
}

func (l *life) refusal(reason string) (int, map[string]any) {
	a := l.answer()
	a["reason"] = reason
	return http.StatusConflict, a
}

// startRun begins a run. The caller holds the lock.
func (e *executor) startRun(l *life, o orderBody) (int, map[string]any) {
	var content work
	if err := json.Unmarshal([]byte(o.Spec), &content); err != nil {
		return http.StatusBadRequest, l.answer()
	}
	used := int64(0)
	var present []*run
	for _, r := range l.running {
		used += r.work.CPU
		present = append(present, r)
	}
	switch r := l.running[o.Task]; {
	case r != nil && r.number == o.Run:
		return http.StatusOK, l.answer()
	case r != nil || o.Run <= l.finished[o.Task]:
		return l.refusal("old")
	case o.DeadlineMS > 0 && o.DeadlineMS <= l.clock() || l.lease <= l.clock():
		return l.refusal("late")
	case e.guards && used+content.CPU > e.capacity:
		return l.refusal("room")
	}
	started := &run{
		task:   o.Task,
		number: o.Run,
		work:   content,
		began:  time.Now(),
		on:     e,
	}
	l.running[o.Task] = started
	started.timer = time.AfterFunc(time.Duration(content.MS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.now == l {
			e.end(l, started, "done")
		}
	})
	e.rec.add("start %s run %d on %s, labels %v, %d of %d in use before", o.Task, o.Run, e.id, l.labels, used, e.capacity)
	e.history.begin(started, present)
	return http.StatusOK, l.answer()
}

// stopRun ends a run within stopTime. The caller holds the lock.
func (e *executor) stopRun(l *life, o orderBody) (int, map[string]any) {
	l.finished[o.Task] = max(l.finished[o.Task], o.Run)
	r := l.running[o.Task]
	if r == nil || r.number > o.Run {
		return http.StatusOK, l.answer()
	}
	e.rec.add("stop %s run %d on %s", o.Task, o.Run, e.id)
	time.AfterFunc(stopTime*4/5, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.now == l {
			e.end(l, r, "stopped")
		}
	})
	return http.StatusOK, l.answer()
}

// end records the end of a run. The caller holds the lock.
func (e *executor) end(l *life, r *run, how string) {
	if l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	r.timer.Stop()
	l.finished[r.task] = max(l.finished[r.task], r.number)
	l.lastEnd++
	r.how = how
	l.ends = append(l.ends, end{
		seq: l.lastEnd,
		run: r,
	})
	e.history.finish(r, how)
	e.rec.add("end %s run %d on %s: %s", r.task, r.number, e.id, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// hold forgets acknowledged ends, waits for an end if none is listed, and lists the runs. The caller holds the lock,
// which hold releases.
func (e *executor) hold(ctx context.Context, l *life, o orderBody) (int, map[string]any) {
	kept := l.ends[:0]
	for _, x := range l.ends {
		if x.seq > o.LastSeen {
			kept = append(kept, x)
		}
	}
	l.ends = kept
	if len(l.ends) == 0 && o.WaitMS > 0 {
		changed := l.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running := make([]any, 0, len(l.running))
	for _, r := range l.sortedRuns() {
		done := 100 * time.Since(r.began).Milliseconds() / max(1, r.work.MS)
		running = append(running, []any{r.task, r.number, "", min(done, 99), r.work.CPU})
	}
	ended := make([]any, 0, len(l.ends))
	for _, x := range l.ends[:min(len(l.ends), maxEnds)] {
		ended = append(ended, []any{x.seq, x.run.task, x.run.number, x.run.how, ""})
	}
	if l.listedAt.IsZero() {
		l.listedAt = time.Now()
	}
	a := l.answer()
	a["running"], a["ended"] = running, ended
	return http.StatusOK, a
}

// pingForever reports the executor to one of the hosts that serve control, the next one after a failure.
func (e *executor) pingForever() {
	client := &http.Client{Timeout: time.Second}
	for next := 0; ; {
		if e.cut.Load() || e.down.Load() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if e.ping(client, e.controls[next%len(e.controls)]) {
			select {
			case <-time.After(pingInterval):
			case <-e.wake:
			}
			continue
		}
		next++
		time.Sleep(100 * time.Millisecond)
	}
}

func (e *executor) ping(client *http.Client, control string) bool {
	e.mu.Lock()
	e.seq++
	body, err := json.Marshal(map[string]any{
		"service":           e.service,
		"address":           e.address,
		"zone":              e.zone,
		"version":           "v1",
		"slots":             8,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"capacity": map[string]int64{
			"cpu":    e.capacity,
			"mem_mb": 32768,
			"gpu":    0,
		},
		"labels":   e.now.labels,
		"machine":  "m-" + e.id,
		"clock_ms": e.now.clock(),
		"born":     e.now.born,
		"seq":      e.seq,
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		fmt.Sprintf("http://%s/sesamedrift/Instances.Heartbeat/%s", control, e.id), bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (h *history) begin(r *run, present []*run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
	if h.check != nil {
		h.check(r, present)
	}
}

func (h *history) finish(r *run, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.ended.IsZero() {
		r.ended, r.how = time.Now(), how
	}
}
