package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/executor"
)

// roleVariable holds the work of a helper process, as JSON. Upstreams and callers run in
// processes of their own, so that getrusage of the benchmark counts the hosts alone.
const roleVariable = "SESAMEDRIFT_BENCHMARK_ROLE"

// role is the work of one helper process.
type role struct {
	// Domains holds the base URLs of the hosts of each failure domain.
	Domains map[string][]string
	// Upstreams is the number of upstreams of each failure domain, or zero for callers.
	Upstreams int
	Slots     int
	TTL       time.Duration
	// Callers submit jobs one after another until the time is over.
	Callers int
	Tasks   int
	RunTime time.Duration
	For     time.Duration
	Teams   int
}

// report is what a helper process says at its end.
type report struct {
	Jobs, Tasks int
	Other       map[string]int // outcomes other than complete
	P50, P99    time.Duration
	CPU         time.Duration
}

func TestMain(m *testing.M) {
	if text := os.Getenv(roleVariable); text != "" {
		var r role
		if err := json.Unmarshal([]byte(text), &r); err != nil {
			panic(err)
		}
		if err := json.NewEncoder(os.Stdout).Encode(r.run()); err != nil {
			panic(err)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func (r *role) run() report {
	if r.Upstreams > 0 {
		return r.serve()
	}
	return r.call()
}

// serve runs upstreams until the standard input ends.
func (r *role) serve() report {
	for domain, hosts := range r.Domains {
		for i := range r.Upstreams {
			_, err := executor.New(executor.Config{
				ID:          fmt.Sprintf("%s-worker-%d", domain, i+1),
				Address:     "127.0.0.1:0",
				Hosts:       append(slices.Clone(hosts[i%len(hosts):]), hosts[:i%len(hosts)]...),
				Service:     "work",
				Incarnation: 1,
				Slots:       r.Slots,
				Connections: 64,
				TTL:         r.TTL,
			})
			if err != nil {
				panic(err)
			}
			// Spreads the announcements over their interval.
			time.Sleep(r.TTL / 3 / time.Duration(r.Upstreams*len(r.Domains)+1))
		}
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	return report{CPU: processorTime()}
}

// call submits jobs from all callers.
func (r *role) call() report {
	total := report{Other: map[string]int{}}
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	end := time.Now().Add(r.For)
	hosts := slices.Concat(slices.Collect(mapValues(r.Domains))...)
	var api *client.Client
	for i := range r.Callers {
		// One client keeps up to 64 connections.
		if i%32 == 0 {
			var err error
			n := i / 32 % len(hosts)
			if api, err = client.New(client.Config{Hosts: hosts[n : n+1]}); err != nil {
				panic(err)
			}
		}
		all.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				o, err := api.Submit(context.Background(), r.submission(i))
				mu.Lock()
				switch {
				case err != nil:
					total.Other[err.Error()]++
				case o.Status != sesamedrift.Complete:
					total.Other[string(o.Status)+": "+o.Reason]++
				default:
					total.Jobs++
					total.Tasks += r.Tasks
					took = append(took, time.Since(began))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if len(took) > 0 {
		slices.Sort(took)
		total.P50, total.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	total.CPU = processorTime()
	return total
}

func mapValues(m map[string][]string) func(yield func([]string) bool) {
	return func(yield func([]string) bool) {
		for _, v := range m {
			if !yield(v) {
				return
			}
		}
	}
}

func (r *role) submission(caller int) sesamedrift.Submission {
	s := sesamedrift.Submission{
		Service:  "work",
		Kind:     "task",
		Team:     fmt.Sprintf("team-%d", caller%max(1, r.Teams)),
		Deadline: time.Now().Add(30 * time.Second),
	}
	for range r.Tasks {
		s.Payloads = append(s.Payloads, fmt.Appendf(nil, `{"run-time":%q}`, r.RunTime))
	}
	return s
}

// helper is a running helper process.
type helper struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out io.ReadCloser
}

// startHelper runs the test binary in a role.
func startHelper(b *testing.B, r role) *helper {
	b.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	h := &helper{cmd: exec.CommandContext(b.Context(), os.Args[0], "-test.run=^$")}
	h.cmd.Env = append(os.Environ(), roleVariable+"="+string(text))
	h.cmd.Stderr = os.Stderr
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		b.Fatal(err)
	}
	if h.out, err = h.cmd.StdoutPipe(); err != nil {
		b.Fatal(err)
	}
	if err := h.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	return h
}

// wait tells the process that it may end and returns its report.
func (h *helper) wait(b *testing.B) report {
	b.Helper()
	var r report
	if err := h.in.Close(); err != nil {
		b.Fatal(err)
	}
	if err := json.NewDecoder(h.out).Decode(&r); err != nil {
		b.Fatal(err)
	}
	if err := h.cmd.Wait(); err != nil {
		b.Fatal(err)
	}
	return r
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
