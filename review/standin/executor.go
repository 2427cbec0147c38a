package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/emulator"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// Service is the service of all executors.
const Service = "huvo11a"

// capacityCPU and capacityMB are the capacity of an executor, taskMB the memory of a task.
const (
	capacityCPU = 16000
	capacityMB  = 32768
	taskMB      = 64
)

// Executor is an executor with the project's own emulated upstream behind the wire format of
// PROTOCOL.md. The spec of a task holds its work in milliseconds and its demand in thousandths of a
// core.
type Executor struct {
	ID   string
	Zone string

	record  *Record
	address string
	server  *http.Server
	born    int64

	mu       sync.Mutex
	emulated *emulator.Upstream
	// used is the demand of the runs at work, demands that of each.
	used    int64
	demands map[sesamedrift.Run]int64
}

// orderBody is the JSON form of the calls to an executor.
type orderBody struct {
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

func (d *Deployment) newExecutor(id, zone string, index int, guarded bool) (*Executor, error) {
	address := fmt.Sprint(d.newAddress(), ":", executorPort)
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Executor{
		ID:      id,
		Zone:    zone,
		record:  d.record,
		address: address,
		born:    time.Now().UnixMilli(),
		demands: map[sesamedrift.Run]int64{},
	}
	room := int64(capacityCPU)
	if !guarded {
		room = math.MaxInt64
	}
	e.emulated = &emulator.Upstream{
		Report: discoverer.Upstream{
			ID:       id,
			Capacity: sesamedrift.Resources{CPU: room, Memory: capacityMB},
		},
		ClockRate: 1,
		MaxLease:  HoldMax,
		StopTime:  StopTime / 2,
		RunTime: func(_ sesamedrift.Run, spec string) (time.Duration, bool) {
			work, _ := parseSpec(spec)
			return work, false
		},
		OnStart: func(_ time.Time, _ *emulator.Upstream, run sesamedrift.Run) {
			e.used += e.demands[run]
			d.record.Started(e.ID, run, e.used)
		},
		OnEnd: func(_ time.Time, _ *emulator.Upstream, run sesamedrift.Run, result leaseholder.RunResult) {
			e.used -= e.demands[run]
			d.record.Ended(e.ID, run, string(result))
		},
	}
	e.emulated.Start(time.Now())
	e.server = &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = e.server.Serve(listener) }()
	d.stopped.Go(func() { d.advance(e) })
	d.stopped.Go(func() { d.report(e, index) })
	return e, nil
}

// advance ends runs at their time.
func (d *Deployment) advance(e *Executor) {
	for sleep(d.ctx, 5*time.Millisecond) {
		e.mu.Lock()
		e.emulated.Advance(time.Now())
		e.mu.Unlock()
	}
}

// report sends the pings of an executor. If a core machine does not answer, the next one is called.
func (d *Deployment) report(e *Executor, index int) {
	for seq := 1; ; seq++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,`+
			`"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-%d"],"clock_ms":%d,"seq":%d,"born":%d,"machine":"m-%s"}`,
			Service, e.address, e.Zone, index/8, time.Now().UnixMilli()-e.born, seq, e.born, e.ID)
		for attempt := range d.Cores {
			core := d.Cores[(index+attempt)%len(d.Cores)]
			status, err := post(d.ctx, "http://"+core.Control()+"/sesamedrift/Instances.Heartbeat/"+e.ID, body)
			if err == nil && status == http.StatusOK {
				break
			}
		}
		if !sleep(d.ctx, HeartbeatInterval) {
			return
		}
	}
}

// held reports whether an edge machine holds the executor.
func (e *Executor) held() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.emulated.Takeovers > 0
}

// Running returns the runs that are at work.
func (e *Executor) Running() []sesamedrift.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.emulated.Advance(time.Now())
	return e.emulated.Running()
}

func (e *Executor) serve(w http.ResponseWriter, r *http.Request) {
	kind, known := orderKinds[r.URL.Path]
	var body orderBody
	if !known || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
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
		task, err := parseTask(body.Task)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		o.Run = sesamedrift.Run{
			Task:   task,
			Number: body.Run,
		}
	}
	time.Sleep(LinkDelay)
	until := time.Now().Add(time.Duration(body.WaitMS) * time.Millisecond)
	for {
		e.mu.Lock()
		_, cpu := parseSpec(body.Spec)
		if kind == leaseholder.StartOrder {
			e.demands[o.Run] = cpu
		}
		response := e.emulated.HandleOrder(time.Now(), o, sesamedrift.Resources{CPU: cpu, Memory: taskMB})
		e.mu.Unlock()
		if kind != leaseholder.RenewOrder || len(response.Ended) > 0 || !time.Now().Before(until) {
			time.Sleep(LinkDelay)
			e.respond(w, response)
			return
		}
		if !sleep(r.Context(), time.Millisecond) {
			return
		}
	}
}

// parseSpec returns the work and the demand that a spec holds.
func parseSpec(spec string) (work time.Duration, cpu int64) {
	var ms int64
	if _, err := fmt.Sscan(spec, &ms, &cpu); err != nil {
		return 0, 0
	}
	return time.Duration(ms) * time.Millisecond, cpu
}

// parseTask decodes the name ID.K.STEP.INDEX of a task.
func parseTask(name string) (sesamedrift.TaskID, error) {
	var task sesamedrift.TaskID
	fields := strings.Split(name, ".")
	if len(fields) != 4 {
		return task, fmt.Errorf("%q is not the name of a task", name)
	}
	task.Job = fields[0]
	for i, target := range []*int{&task.Occurrence, &task.Step, &task.Index} {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil {
			return task, err
		}
		*target = n
	}
	return task, nil
}

// TaskName returns the name ID.K.STEP.INDEX of a task.
func TaskName(t sesamedrift.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

func (e *Executor) respond(w http.ResponseWriter, response leaseholder.Response) {
	body := map[string]any{
		"clock_ms": response.Clock,
		"born":     e.born,
	}
	status := http.StatusOK
	if response.Status == leaseholder.Refused {
		status = http.StatusConflict
		body["reason"] = reasons[response.Reason]
	} else if response.Order.Kind == leaseholder.RenewOrder {
		running, ended := make([]any, 0, len(response.Running)), make([]any, 0, len(response.Ended))
		for _, run := range response.Running {
			running = append(running, []any{TaskName(run.Run.Task), run.Run.Number, "", run.Percent})
		}
		for _, run := range response.Ended {
			ended = append(ended, []any{run.Seq, TaskName(run.Run.Task), run.Run.Number, string(run.Result), ""})
		}
		body["running"], body["ended"] = running, ended
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
