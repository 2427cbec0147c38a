package emulator

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/dispatcher"
	"sesamedrift.example/sesamedrift/tracker"
)

// answerGrace is how long after the deadline of a job its answer may arrive.
const answerGrace = 100 * time.Millisecond

// callerJob is the state of a job at its caller.
type callerJob struct {
	job    tracker.Job
	demand sesamedrift.Resources
	domain string
	// host is the host whose answer the caller waits for, or nil.
	host     *Host
	caller   *dispatcher.Caller
	attempts int
	// mayHaveRun is set once an attempt has ended without an answer or with one that leaves open
	// whether the job ran.
	mayHaveRun bool
	done       bool
}

// scheduleJobs draws all jobs, as a Poisson process for each domain, and schedules their arrivals.
func (w *Simulation) scheduleJobs() {
	for d := range w.cfg.Domains {
		domain := fmt.Sprint("domain-", d)
		at := time.Second
		for n := 0; ; n++ {
			at += time.Duration(w.rng.ExpFloat64() / w.cfg.JobsPerSecond * float64(time.Second))
			if at > w.cfg.Duration {
				break
			}
			j := w.drawJob(fmt.Sprintf("job-%d-%d", d, n))
			j.domain = domain
			w.At(at, func() { w.submit(j) })
		}
	}
}

func (w *Simulation) drawJob(id string) *callerJob {
	tasks := 1 + w.rng.IntN(8)
	demand := sesamedrift.Resources{
		CPU:    5000 + w.rng.Int64N(4000),
		Memory: 64,
	}
	timeout := 2*time.Second + time.Duration(w.rng.Int64N(int64(2*time.Second)))
	estimate := 100 * time.Millisecond
	if w.isLong(id) {
		timeout += 2 * longRunTime
		estimate = longRunTime
	}
	return &callerJob{
		demand: demand,
		job: tracker.Job{
			ID:            id,
			Queue:         "queue",
			Service:       "service",
			MaxAttempts:   3,
			SlackFactor:   1.6,
			TargetLatency: 60 * time.Millisecond,
			Steps: []tracker.Step{{
				TaskCount: tasks,
				Demand:    demand,
				Estimate:  estimate,
			}},
			Deadline: Epoch.Add(timeout),
		},
	}
}

func (w *Simulation) demand(job string) sesamedrift.Resources {
	if j := w.jobs[job]; j != nil {
		return j.demand
	}
	return sesamedrift.Resources{}
}

// jobFraction returns a pseudo-random number from 0 to 1 that depends only on its argument.
func jobFraction(job string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job))
	return float64(h.Sum64()%10000)/10000 + 1e-4
}

// isLong reports whether the tasks of a job run for longRunTime.
func (w *Simulation) isLong(job string) bool { return jobFraction("long "+job) < w.cfg.LongJobShare }

// runTime returns how long a run takes, and false because no run fails on a healthy upstream. All
// runs of a task take equally long, and each task of a short job takes 1 ms longer than the one
// before it.
func (w *Simulation) runTime(run sesamedrift.Run, _ string) (time.Duration, bool) {
	if w.isLong(run.Task.Job) {
		return longRunTime, false
	}
	runTimeMS := 60 * math.Exp(2*jobFraction(run.Task.Job))
	if w.cfg.Disturbances.WideRunTimes {
		runTimeMS = 50 * math.Exp(math.Log(16)*jobFraction(run.Task.Job))
	}
	return time.Duration((runTimeMS + float64(run.Task.Index)) * float64(time.Millisecond)), false
}

// submit sends a job for the first time, and records a violation if it has no answer by its deadline
// although the host that received it is running, was not frozen during the last second and handles messages.
func (w *Simulation) submit(j *callerJob) {
	timeout := j.job.Deadline.Sub(Epoch)
	j.job.Arrived = w.wallTime()
	j.job.Deadline = w.wallTime().Add(timeout)
	w.jobs[j.job.ID] = j
	w.Counts.Sent++
	w.submitOnce(j)
	w.After(timeout+answerGrace, func() {
		if j.done {
			return
		}
		j.done = true
		w.Counts.Unanswered++
		if j.host != nil && j.host.Up() && j.host.frozenUntil < w.Now()-time.Second && j.host.loopBusyUntil < w.Now()-answerGrace {
			w.invariants.recordViolation("job %s got no answer by its deadline from %s", j.job.ID, j.host.Name)
		}
	})
}

// submitOnce sends a job to a random ready host of its domain, or of another domain if its own has
// none or if Config.ResubmitElsewhere says so. If no host is ready, it tries again after resubmitDelay.
func (w *Simulation) submitOnce(j *callerJob) {
	var local, remote []*Host
	for _, n := range w.Hosts {
		switch {
		case !n.Up() || n.core.NotReady() != "":
		case n.Domain == j.domain:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	if w.cfg.Disturbances.ResubmitAnywhere && j.attempts > 0 {
		local = append(local, remote...)
	}
	if len(local) == 0 || w.cfg.ResubmitElsewhere && j.attempts > 0 && len(remote) > 0 {
		local = remote
	}
	if len(local) == 0 {
		w.After(resubmitDelay, func() { w.resubmit(j) })
		return
	}
	n := local[w.rng.IntN(len(local))]
	j.host = n
	j.attempts++
	attempt := j.attempts
	j.caller = dispatcher.NewCaller(func(r dispatcher.Result) {
		// The Core calls this function and must not be called back from here.
		w.After(0, func() { w.handleAnswer(j, attempt, r) })
	})
	job := j.job
	job.Arrived = n.wallTime()
	job.Deadline = job.Deadline.Add(n.clockOffset)
	incarnation := n.incarnation
	n.runInLoop(func() {
		if n.core != nil && n.incarnation == incarnation {
			n.core.Submit(n.wallTime(), job, j.caller)
			n.core.Flush(n.wallTime())
		}
	})
	w.scheduleBreak(j)
}

func (w *Simulation) resubmit(j *callerJob) {
	if !j.done && w.wallTime().Before(j.job.Deadline) {
		w.submitOnce(j)
	}
}

// handleHostCrash makes the callers that wait for a crashed host resend their jobs.
func (w *Simulation) handleHostCrash(n *Host) {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		if j.host == n && !j.done {
			j.host = nil
			j.mayHaveRun = true
			w.After(resubmitDelay, func() { w.resubmit(j) })
		}
	}
}

func (w *Simulation) handleAnswer(j *callerJob, attempt int, r dispatcher.Result) {
	if j.done || attempt != j.attempts || j.host == nil {
		return
	}
	j.host = nil
	switch r.Outcome {
	case tracker.Complete:
		j.done = true
		w.Counts.Complete++
		w.invariants.checkComplete(j)
	case tracker.Failed:
		j.done = true
		w.Counts.Failed++
	case tracker.NotRun:
		j.done = true
		w.Counts.NotRun++
		w.invariants.checkNotRun(j)
	case tracker.Lost, tracker.Expired, tracker.Abandoned:
		w.Counts.Lost++
		j.mayHaveRun = true
		w.After(resubmitDelay, func() { w.resubmit(j) })
	}
}
