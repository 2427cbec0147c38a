package generator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/launcher"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/server"
)

const (
	// maxInFlight bounds the submissions that wait for an answer. Further jobs are sent when
	// earlier ones have been answered; that wait is part of their response time.
	maxInFlight = 4096
	// connectionsPerHost bounds the connections of the callers to one host.
	connectionsPerHost = 512
	startTimeout       = 20 * time.Second
	// maxDeployments bounds the attempts to start a deployment if another process occupies one
	// of its ports.
	maxDeployments = 3
	// drainTimeout bounds the wait for the remaining answers after the duration of a phase.
	drainTimeout = 30 * time.Second
	// settleTime is the wait for late answers and heartbeats before counters are read.
	settleTime       = 300 * time.Millisecond
	progressInterval = 500 * time.Millisecond
)

// Config is the configuration of one run.
type Config struct {
	Scenario Scenario
	Policy   scheduler.Policy
	Seed     uint64
	// Scale divides the number of upstreams, and with it the capacity and the rate of arrivals;
	// 0 and 1 stand for the full number.
	Scale int
	// Progress, if set, is called with a line that replaces the previous one.
	Progress func(line string)
}

// run is the state of one run of a scenario under one policy.
type run struct {
	cfg        Config
	deployment *launcher.Deployment
	checker    *InvariantChecker
	occupancy  *occupancy
	targets    []target
	slots      int

	mu sync.Mutex
	// stopping is the set of base URLs of the hosts whose planned stop has begun.
	stopping map[string]bool
}

// target is a host to which submissions are sent.
type target struct {
	host, domain string
	api          *client.Client
}

// Run starts the deployment of a scenario, runs all phases and returns the measurements. Bounds
// that are missed and violations are part of the result, not errors.
func Run(ctx context.Context, cfg Config) (Result, error) {
	folder, err := os.MkdirTemp("", "sesamedrift-load-")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s := &cfg.Scenario
	upstreams := max(1, upstreamsPerDomain/max(1, cfg.Scale))
	r := &run{
		cfg:       cfg,
		checker:   NewInvariantChecker(slotsPerUpstream),
		occupancy: newOccupancy(),
		slots:     upstreams * slotsPerUpstream * len(s.Domains),
		stopping:  map[string]bool{},
	}
	document, err := s.document(r.slots)
	if err != nil {
		return Result{}, err
	}
	if err := r.deploy(ctx, document, folder, upstreams); err != nil {
		return Result{}, err
	}
	result, err := r.runPhases(ctx)
	if closeErr := r.deployment.Close(); err == nil {
		err = closeErr
	}
	return result, err
}

// deploy starts the hosts and upstreams. It tries again if a port is in use, since the launcher
// chooses free ports before it listens on them and another process may occupy one in between.
func (r *run) deploy(ctx context.Context, document []byte, folder string, upstreams int) error {
	s := &r.cfg.Scenario
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for startAttempt := 1; ; startAttempt++ {
		var err error
		r.deployment, err = launcher.New(ctx, launcher.Config{
			Domains:            s.Domains,
			HostsPerDomain:     s.HostsPerDomain,
			UpstreamsPerDomain: upstreams,
			SlotsPerUpstream:   slotsPerUpstream,
			Service:            s.Service,
			Document:           document,
			Folder:             filepath.Join(folder, strconv.Itoa(startAttempt)),
			Log:                slog.New(slog.DiscardHandler),
			Policy:             r.cfg.Policy,
			Distance:           s.Distance,
			Seed:               r.cfg.Seed,
			OnStart: func(upstream, taskID string, attempt int) {
				now := time.Now()
				r.checker.RecordStart(now, upstream, taskID, attempt)
				r.occupancy.start(now, upstream, taskID)
			},
			OnEnd: func(upstream, taskID string) {
				r.occupancy.end(time.Now(), upstream, taskID)
				r.checker.RecordEnd(upstream)
			},
		})
		if err == nil || startAttempt == maxDeployments || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
}

func (r *run) runPhases(ctx context.Context) (Result, error) {
	result := Result{
		Scenario: r.cfg.Scenario.Name,
		Policy:   r.cfg.Policy,
		Seed:     r.cfg.Seed,
		Slots:    r.slots,
	}
	transport := &http.Transport{
		MaxConnsPerHost:     connectionsPerHost,
		MaxIdleConnsPerHost: connectionsPerHost,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	if err := r.connect(&http.Client{Transport: transport}); err != nil {
		return result, err
	}
	for i := range r.cfg.Scenario.Phases {
		p, err := r.runPhase(ctx, &r.cfg.Scenario.Phases[i])
		if err != nil {
			return result, err
		}
		result.Phases = append(result.Phases, p)
	}
	result.Audit = r.checker.Audit()
	result.Measurements = append(r.cfg.Scenario.measurements(result.Phases), commonMeasurements(&result)...)
	return result, nil
}

// connect creates one client for each host. The client falls back to the other hosts of the
// failure domain if its host does not answer, as a load balancer does.
func (r *run) connect(hc *http.Client) error {
	for _, name := range r.deployment.HostNames() {
		s, err := r.deployment.Settings(name)
		if err != nil {
			return err
		}
		urls := []string{"http://" + s.HTTPAddress}
		for _, url := range r.deployment.URLs(s.Domain) {
			if url != urls[0] {
				urls = append(urls, url)
			}
		}
		api, err := client.New(client.Config{Hosts: urls, HTTPClient: hc})
		if err != nil {
			return err
		}
		r.targets = append(r.targets, target{host: name, domain: s.Domain, api: api})
	}
	return nil
}

// runPhase sends the jobs of a phase at their arrival times, injects its faults and waits for the
// answers.
func (r *run) runPhase(ctx context.Context, p *Phase) (PhaseResult, error) {
	s := &r.cfg.Scenario
	jobs := p.generate(r.cfg.Seed, r.slots, len(r.targets), s.Teams)
	ctx, cancel := context.WithTimeout(ctx, p.Duration+drainTimeout)
	defer cancel()
	before, counters, cpu := r.checker.Audit(), r.deployment.Counters(), cpuTime()
	samples := make([]sample, len(jobs))
	start := time.Now()
	var injections sync.WaitGroup
	faultErrs := make([]error, len(p.Faults))
	for i, f := range p.Faults {
		injections.Go(func() {
			if sleep(ctx, time.Until(start.Add(f.at))) {
				faultErrs[i] = f.inject(ctx, r)
			}
		})
	}
	r.sendJobs(ctx, start, p, jobs, samples)
	injections.Wait()
	elapsed := time.Since(start)
	for _, err := range faultErrs {
		if err != nil {
			return PhaseResult{}, err
		}
	}
	if !sleep(ctx, settleTime) {
		return PhaseResult{}, fmt.Errorf("phase %q: not all jobs were answered in time: %w", p.Name, ctx.Err())
	}
	after := r.checker.Audit()
	result := measure(p, r.slots, jobs, samples)
	result.Elapsed = elapsed
	result.SlotTime = slotTime(samples, r.occupancy.within(start.Add(p.WarmUp), start.Add(p.Duration)),
		(p.Duration-p.WarmUp).Seconds()*float64(r.slots))
	result.Starts = after.Starts - before.Starts
	result.Duplicates = after.Duplicates - before.Duplicates
	result.Counters = subtractCounters(r.deployment.Counters(), counters)
	result.CPU = cpuTime() - cpu
	return result, nil
}

// sendJobs sends each job at its arrival time and returns when all jobs sent have been answered.
// It stores the sample of each job at the index of the job.
func (r *run) sendJobs(ctx context.Context, start time.Time, p *Phase, jobs []Job, samples []sample) {
	semaphore := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	lastProgress := start
	for i := range jobs {
		if !sleep(ctx, time.Until(start.Add(jobs[i].Arrival))) {
			break
		}
		if now := time.Now(); now.Sub(lastProgress) >= progressInterval {
			lastProgress = now
			r.reportProgress(p, now.Sub(start), i, len(jobs))
		}
		semaphore <- struct{}{}
		inFlight.Go(func() {
			samples[i] = r.submit(ctx, start, &jobs[i])
			<-semaphore
		})
	}
	inFlight.Wait()
}

func (r *run) reportProgress(p *Phase, at time.Duration, sent, total int) {
	if r.cfg.Progress == nil {
		return
	}
	a := r.checker.Audit()
	r.cfg.Progress(fmt.Sprintf("%s, %s, phase %q: %.0f of %.0f s, %d of %d jobs sent, %d tasks started, %d violations",
		r.cfg.Scenario.Name, r.cfg.Policy, p.Name, at.Seconds(), p.Duration.Seconds(), sent, total, a.Starts, a.ViolationCount()))
}

// sleep waits for the duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// subtractCounters returns the increase of the counters since an earlier reading.
func subtractCounters(c, earlier server.Counters) server.Counters {
	c.Starts -= earlier.Starts
	c.Forwards -= earlier.Forwards
	c.Rejected -= earlier.Rejected
	c.Lost -= earlier.Lost
	c.Late -= earlier.Late
	c.Complete -= earlier.Complete
	c.Failed -= earlier.Failed
	c.Refused -= earlier.Refused
	c.Unknown -= earlier.Unknown
	c.Cancelled -= earlier.Cancelled
	return c
}
