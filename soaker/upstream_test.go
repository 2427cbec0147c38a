package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/emulator"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/review/standin"
)

const (
	// capacityCPU and capacityMB are the capacity of an upstream; a task takes half of the cores.
	capacityCPU = 16000
	capacityMB  = 32768
	taskCPU     = 8000
	taskMB      = 64
	// advanceInterval is how exactly runs end at their time.
	advanceInterval = 5 * time.Millisecond
	// lossShare is the share of the answers that are lost, and of those that are delayed, while an
	// upstream has the fault. Delays reach maxDelay.
	lossShare = 0.2
	maxDelay  = 1500 * time.Millisecond
)

// upstream is a worker whose process goes down and up. Each incarnation has the same identifier and
// address.
type upstream struct {
	id, domain, address string
	rack                int
	control             []string
	checker             *checker

	mu   sync.Mutex
	rng  *rand.Rand
	life *life // nil while the upstream is down
	// lossy and cut: answers are lost or delayed; nothing is received or sent.
	lossy, cut bool
	// listener is open while orders wait for the next incarnation; see stop.
	listener *net.TCPListener
	stopped  sync.WaitGroup
	held     bool
}

// life is one incarnation.
type life struct {
	u        *upstream
	born     time.Time
	pingedAt time.Time
	server   *http.Server
	ctx      context.Context
	end      context.CancelFunc
	emulated *emulator.Upstream
	token    uint64        // that of the order in execution
	work     time.Duration // of the run that starts
	lease    time.Time     // end of the lease
	changed  chan struct{} // closed and replaced when a run ends
	ends     []*record     // in the order of their numbers
	seen     int           // how many of them are acknowledged
}

// keptListener leaves the socket open when a server closes it.
type keptListener struct{ *net.TCPListener }

func (l keptListener) Close() error { return l.SetDeadline(time.Unix(1, 0)) }

// start begins an incarnation, whose first ping follows after the given time.
func (u *upstream) start(now time.Time, firstPing time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		// A process that is just being started has a copy of the closed socket until it runs its
		// program.
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", u.address)
		for i := 0; errors.Is(err, syscall.EADDRINUSE) && i < 100; i++ {
			time.Sleep(advanceInterval)
			listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", u.address)
		}
		if err != nil {
			return err
		}
		u.listener = listener.(*net.TCPListener)
	}
	if err := u.listener.SetDeadline(time.Time{}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		u:       u,
		born:    now,
		ctx:     ctx,
		end:     cancel,
		changed: make(chan struct{}),
	}
	l.emulated = &emulator.Upstream{
		Report: discoverer.Upstream{
			ID:          u.id,
			Incarnation: uint64(now.UnixMilli()),
			Capacity: sesamedrift.Resources{
				CPU:    capacityCPU,
				Memory: capacityMB,
			},
		},
		ClockRate: 1,
		MaxLease:  standin.HoldMax,
		StopTime:  standin.StopTime / 2,
		RunTime: func(_ sesamedrift.Run, spec string) (time.Duration, bool) {
			var ms int64
			_, _ = fmt.Sscan(spec, &ms)
			l.work = time.Duration(ms) * time.Millisecond
			return l.work, false
		},
		OnStart: func(at time.Time, _ *emulator.Upstream, run sesamedrift.Run) { u.checker.started(at, l, run) },
		OnEnd: func(at time.Time, _ *emulator.Upstream, run sesamedrift.Run, result leaseholder.RunResult) {
			l.ends = append(l.ends, u.checker.ended(at, l, run, string(result)))
			close(l.changed)
			l.changed = make(chan struct{})
		},
	}
	l.emulated.Start(now)
	l.server = &http.Server{
		Handler:           http.HandlerFunc(l.serve),
		ReadHeaderTimeout: 10 * time.Second,
	}
	u.life = l
	listener := keptListener{u.listener}
	u.stopped.Go(func() { _ = l.server.Serve(listener) })
	u.stopped.Go(func() {
		for wait(ctx, advanceInterval) {
			u.mu.Lock()
			if u.life == l {
				l.emulated.Advance(time.Now())
			}
			u.mu.Unlock()
		}
	})
	u.stopped.Go(func() { l.ping(firstPing) })
	return nil
}

// stop ends the incarnation as a crash does. If queue is true, channels that are opened from now on
// and the orders sent on them wait for the next incarnation. Otherwise they are refused.
func (u *upstream) stop(queue bool) {
	u.mu.Lock()
	l := u.life
	if l != nil {
		u.life = nil
		l.emulated.Advance(time.Now())
		l.emulated.Crash(time.Now())
		l.end()
	}
	if !queue {
		_ = u.listener.Close()
		u.listener = nil
	}
	u.mu.Unlock()
	if l != nil {
		_ = l.server.Close()
		u.stopped.Wait()
	}
}

func (l *life) ping(first time.Duration) {
	u := l.u
	if !wait(l.ctx, first) {
		return
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for seq := 1; ; seq++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,`+
			`"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a","r1-%d"],"clock_ms":%d,"seq":%d,"born":%d,"machine":"m-%s"}`,
			standin.Service, u.address, u.domain, capacityCPU, capacityMB, u.rack, time.Since(l.born).Milliseconds(), seq, l.born.UnixMilli(), u.id)
		u.mu.Lock()
		cut, first := u.cut, u.rng.IntN(len(u.control))
		u.mu.Unlock()
		for i := range u.control {
			if cut || l.pingOnce(client, u.control[(first+i)%len(u.control)], body) == nil {
				break
			}
		}
		u.mu.Lock()
		if seq == 1 {
			l.pingedAt = time.Now()
		}
		u.mu.Unlock()
		if !wait(l.ctx, standin.HeartbeatInterval) {
			return
		}
	}
}

func (l *life) pingOnce(client *http.Client, control, body string) error {
	req, err := http.NewRequestWithContext(l.ctx, http.MethodPost, "http://"+control+"/sesamedrift/Instances.Heartbeat/"+l.u.id, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// order is the JSON form of the calls to an upstream.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

var orderKinds = map[string]leaseholder.OrderKind{
	"/sesamedrift/run-start": leaseholder.StartOrder,
	"/sesamedrift/run-stop":  leaseholder.StopOrder,
	"/sesamedrift/hold":      leaseholder.RenewOrder,
}

var reasons = map[leaseholder.Reason]string{
	leaseholder.Fenced:       "fence",
	leaseholder.StaleRun:     "old",
	leaseholder.OrderExpired: "late",
	leaseholder.NoCapacity:   "room",
}

func (l *life) serve(w http.ResponseWriter, r *http.Request) {
	kind, known := orderKinds[r.URL.Path]
	var body order
	if !known || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o := leaseholder.Order{
		Kind:       kind,
		Token:      body.FencingToken,
		LeaseUntil: body.DeadlineMS,
		AckedSeq:   body.LastSeen,
		Content:    body.Spec,
	}
	if kind != leaseholder.RenewOrder {
		o.Run = parseRun(body.Task, body.Run)
	}
	time.Sleep(standin.LinkDelay)
	until := time.Now().Add(time.Duration(body.WaitMS) * time.Millisecond)
	for {
		response, changed, fate := l.execute(o)
		if fate < 0 || !wait(l.ctx, fate) {
			panic(http.ErrAbortHandler)
		}
		rest := time.Until(until)
		if kind != leaseholder.RenewOrder || len(response.Ended) > 0 || rest <= 0 {
			time.Sleep(standin.LinkDelay)
			l.respond(w, response)
			return
		}
		select {
		case <-changed:
		case <-time.After(rest):
		case <-r.Context().Done():
			return
		}
	}
}

// execute carries out an order. The answer is delayed by the returned time, or lost if it is negative.
func (l *life) execute(o leaseholder.Order) (leaseholder.Response, chan struct{}, time.Duration) {
	u := l.u
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.life != l || u.cut {
		return leaseholder.Response{}, nil, -1
	}
	l.token = o.Token
	response := l.emulated.HandleOrder(now, o, sesamedrift.Resources{
		CPU:    taskCPU,
		Memory: taskMB,
	})
	u.held = true
	if response.Reason != leaseholder.Fenced {
		until := l.born.Add(time.Duration(o.LeaseUntil) * time.Millisecond)
		if longest := now.Add(standin.HoldMax); until.After(longest) {
			until = longest
		}
		if until.After(l.lease) {
			l.lease = until
		}
	}
	if response.Status == leaseholder.Accepted {
		switch o.Kind {
		case leaseholder.StopOrder:
			u.checker.stopOrdered(now, l, o.Run)
		case leaseholder.RenewOrder:
			acked := min(int(o.AckedSeq), len(l.ends))
			u.checker.noted(l.ends[min(l.seen, acked):acked])
			l.seen = max(l.seen, acked)
		case leaseholder.StartOrder:
		}
	}
	var fate time.Duration
	if x := u.rng.Float64(); u.lossy && x < lossShare {
		fate = -1
	} else if u.lossy && x < 2*lossShare {
		fate = time.Duration(u.rng.Int64N(int64(maxDelay)))
	}
	return response, l.changed, fate
}

// respond writes a response. Only those with lists of runs say when the incarnation was born.
func (l *life) respond(w http.ResponseWriter, response leaseholder.Response) {
	body := map[string]any{"clock_ms": response.Clock}
	status := http.StatusOK
	if response.Status == leaseholder.Refused {
		status = http.StatusConflict
		body["reason"] = reasons[response.Reason]
	} else if response.Order.Kind == leaseholder.RenewOrder {
		running, ended := make([]any, 0, len(response.Running)), make([]any, 0, len(response.Ended))
		for _, run := range response.Running {
			running = append(running, []any{standin.TaskName(run.Run.Task), run.Run.Number, "", run.Percent})
		}
		for _, run := range response.Ended {
			ended = append(ended, []any{run.Seq, standin.TaskName(run.Run.Task), run.Run.Number, string(run.Result), ""})
		}
		body["running"], body["ended"], body["born"] = running, ended, l.born.UnixMilli()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// parseRun returns the run with a number of the task with the name ID.K.STEP.INDEX.
func parseRun(name string, number int) sesamedrift.Run {
	fields := strings.Split(name, ".")
	if len(fields) != 4 {
		panic("soaker: the name of a task is " + name)
	}
	run := sesamedrift.Run{
		Task:   sesamedrift.TaskID{Job: fields[0]},
		Number: number,
	}
	for i, target := range []*int{&run.Task.Occurrence, &run.Task.Step, &run.Task.Index} {
		*target, _ = strconv.Atoi(fields[i+1])
	}
	return run
}

// wait returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
