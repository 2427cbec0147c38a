package commander

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/launcher"
)

//go:embed demo.json
var demoDocument []byte

const (
	demoTimeout  = 30 * time.Second
	demoJobs     = 120
	demoInterval = 25 * time.Millisecond
	// resubmitEvery is the distance, in jobs, between two jobs that are submitted twice.
	resubmitEvery = 10
)

func (c *commandLine) demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three failure domains with hosts and upstreams in this process, and break some of them",
		Description: "Runs a mix of jobs and resubmissions, kills a host and an upstream on the way, and prints a\n" +
			"table of outcomes. The exit code is not zero if an invariant broke.\n\n" +
			"Example:\n   sesamedrift demo",
		Flags: []cli.Flag{jsonFlag},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return c.demo(ctx, cmd.Bool("json"))
		},
	}
}

// demoRun collects the results of a demo. The exported fields are its JSON output.
type demoRun struct {
	mu         sync.Mutex
	starts     map[string]int // number of starts by task id
	Outcomes   map[sesamedrift.Status]int
	Errors     int
	Violations []string
	overheads  []time.Duration // of complete jobs
}

func (r *demoRun) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// taskStarted counts the starts of a task. Tasks of the kind "booking" must start at most once,
// since the kind is not idempotent.
func (r *demoRun) taskStarted(_, taskID string, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[taskID]++
}

func (c *commandLine) demo(ctx context.Context, asJSON bool) error {
	folder, err := os.MkdirTemp("", "sesamedrift-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	run := &demoRun{
		starts:   map[string]int{},
		Outcomes: map[sesamedrift.Status]int{},
	}
	d, err := launcher.New(ctx, launcher.Config{
		Domains:            []string{"ikeja", "lekki", "apapa"},
		HostsPerDomain:     []int{3, 2, 2},
		UpstreamsPerDomain: 4,
		SlotsPerUpstream:   8,
		Service:            "reseason-desk",
		Document:           demoDocument,
		Folder:             folder,
		Log:                slog.New(slog.DiscardHandler),
		OnStart:            run.taskStarted,
		Seed:               1,
	})
	if err != nil {
		return err
	}
	jobErr := run.submitJobs(ctx, d)
	counters := d.Counters()
	if err := errors.Join(jobErr, d.Close()); err != nil {
		return err
	}
	run.checkStarts()
	if asJSON {
		return errors.Join(c.printJSON(run), run.violationError())
	}
	c.printf("%-12s %6s\n", "outcome", "jobs")
	for _, s := range sesamedrift.Statuses {
		c.printf("%-12s %6d\n", s, run.Outcomes[s])
	}
	c.printf("%-12s %6d\n", "errors", run.Errors)
	c.printf("%-12s %6d\n", "violations", len(run.Violations))
	c.printf("task starts %d, forwarded %d, rejected %d, lost %d\n",
		counters.Starts, counters.Forwards, counters.Rejected, counters.Lost)
	slices.Sort(run.overheads)
	if n := len(run.overheads); n > 0 {
		c.printf("time beyond the run time: median %s, 99th percentile %s\n",
			run.overheads[n/2].Round(10*time.Microsecond), run.overheads[n*99/100].Round(10*time.Microsecond))
	}
	return run.violationError()
}

func (r *demoRun) violationError() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return &exitError{
		code:    sesamedrift.ExitError,
		message: "invariant violated: " + r.Violations[0],
	}
}

// checkStarts adds a violation for each task that started more than once. It is called after the
// run.
func (r *demoRun) checkStarts() {
	for id, n := range r.starts {
		if n > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("task %s started %d times", id, n))
		}
	}
}

// submitJobs submits jobs to all failure domains in turn and waits for their outcomes. During the
// run it kills a host and, later, an upstream.
func (r *demoRun) submitJobs(ctx context.Context, d *launcher.Deployment) error {
	domains := []string{"ikeja", "lekki", "apapa"}
	clients := make([]*client.Client, len(domains))
	for i, domain := range domains {
		api, err := d.Client(domain)
		if err != nil {
			return err
		}
		clients[i] = api
	}
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for n := range demoJobs {
		switch n {
		case demoJobs / 3:
			if err := d.KillHost("ikeja-2"); err != nil {
				return err
			}
		case demoJobs / 2:
			if err := d.KillUpstream("lekki-worker-1"); err != nil {
				return err
			}
		}
		i := n % len(clients)
		jobs.Go(func() { r.submitJob(ctx, clients[i], clients[(i+1)%len(clients)], n) })
		time.Sleep(demoInterval)
	}
	return nil
}

// submitJob submits job n. Each job whose number is a multiple of resubmitEvery is at the same time
// submitted a second time, with the same key, to another failure domain.
func (r *demoRun) submitJob(ctx context.Context, api, other *client.Client, n int) {
	kind, runTime := "check", 60*time.Millisecond
	if n%3 == 0 {
		kind, runTime = "booking", 90*time.Millisecond
	}
	payload := fmt.Appendf(nil, `{"run-time":%q,"echo":"job-%d"}`, runTime, n)
	tasks := 1 + n%4
	s := sesamedrift.Submission{
		Service:  "reseason-desk",
		Kind:     kind,
		Team:     "counter",
		Payloads: slices.Repeat([][]byte{payload}, tasks),
	}
	var err error
	if s.Key, err = api.NewKey(ctx); err != nil {
		r.addError()
		return
	}
	var resubmission sync.WaitGroup
	if n%resubmitEvery == 0 {
		resubmission.Go(func() { r.resubmit(ctx, other, s) })
	}
	start := time.Now()
	o, err := api.Submit(ctx, s)
	took := time.Since(start)
	resubmission.Wait()
	if err != nil {
		r.addError()
		return
	}
	r.recordOutcome(o, tasks, took-runTime)
}

func (r *demoRun) resubmit(ctx context.Context, api *client.Client, s sesamedrift.Submission) {
	o, err := api.Submit(ctx, s)
	if err == nil && o.Status == sesamedrift.Complete && len(o.Answers) != len(s.Payloads) {
		r.addViolation("resubmission of %s has a partial answer", s.Key)
	}
}

func (r *demoRun) addError() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Errors++
}

// recordOutcome counts an outcome. The overhead is the time that the job took beyond the run time
// of its tasks.
func (r *demoRun) recordOutcome(o sesamedrift.Outcome, tasks int, overhead time.Duration) {
	if o.Status == sesamedrift.Complete && len(o.Answers) != tasks {
		r.addViolation("%s has %d answers for %d tasks", o.Key, len(o.Answers), tasks)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[o.Status]++
	if o.Status == sesamedrift.Complete {
		r.overheads = append(r.overheads, overhead)
	}
}
