package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/detector"
	"sesamedrift.example/sesamedrift/estimator"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/limiter"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
)

const (
	// commandBuffer is the number of commands that may wait for the dispatcher before post blocks.
	commandBuffer = 4096
	// tickEvery is the interval at which the dispatcher checks for work that cannot finish in time.
	tickEvery = 10 * time.Millisecond
)

var errDispatcherStopped = errors.New("the host has stopped")

// command is a function that runs on the dispatcher's goroutine. It must not block.
type command func(now time.Time)

// dispatcher owns the queue, the run time estimates, the quotas and the health of the upstreams of
// one host. One goroutine runs all its methods, except post and call, which any goroutine may use.
type dispatcher struct {
	now      func() time.Time
	log      *slog.Logger
	commands chan command
	stopped  chan struct{}

	queue      *scheduler.Queue
	runTimes   *estimator.Estimator
	quotas     *limiter.Quotas
	budget     *limiter.RetryBudget
	retryHints *limiter.Jitter
	health     *detector.Detector

	// spillMargin is how much longer than the round trip to another failure domain the estimated
	// wait in this host's queue must be before tasks are forwarded there.
	spillMargin time.Duration

	// attempt runs one attempt on an upstream in the background and posts its result. It must not
	// block.
	attempt func(j *job, index int, run taskRun, u ownedUpstream)
	// forward sends a queued task to a peer in the background and posts its result. n is the
	// sequence number of the forwarded task. It must not block.
	forward func(j *job, t scheduler.Task, run taskRun, host string, n uint64)
	// owns reports whether this host may start tasks on an upstream.
	owns func(now time.Time, upstream string) bool
	// finish records the outcome of a job and returns it to the waiting callers. It must not block.
	finish func(j *job, o sesamedrift.Outcome)
	// afterStep publishes the slot counts after each batch of commands and each tick.
	afterStep func(now time.Time)

	jobs            map[string]*job            // by identity
	upstreams       map[string]*ownedUpstream  // owned upstreams that the queue uses, by name
	peerTasks       map[string]*peerTask       // tasks that peers forwarded here, by task identifier
	runningAttempts int                        // attempts at upstreams and peers
	inFlight        map[string]inFlightAttempt // attempts at own upstreams, by task identifier
	// earlyStops holds when a stop notice arrived before its task, by task identifier.
	earlyStops map[string]time.Time
	orphans    map[string]*job // jobs for which no caller waits, by identity
	// takeovers holds when the pending request for the running tasks of an upstream times out, by
	// upstream.
	takeovers map[string]time.Time
	// evacuated says that no task may be started on the upstreams of this host, because its failure
	// domain is evacuated or because it does not know the evacuations yet. The upstreams then count as
	// leaving.
	evacuated          bool
	evacuatedAt        time.Time                  // when evacuated became true
	weights            map[string]float64         // weights of the teams, by scheduler name
	teams              map[string]map[string]bool // scheduler names of the teams, by environment
	configuredServices map[string]bool            // services of the active documents
	ownedServices      map[string]bool            // services with upstreams here, now or earlier
	noSlotsSince       map[string]time.Time       // when a service was first found without slots here
	// announcedCapacities holds the distinct capacities of the serving upstreams of the failure
	// domain, by service.
	announcedCapacities map[string]map[sesamedrift.Resources]bool
	lastReceived        map[string]uint64 // sequence number of the latest task, by sending peer
	forwardSeq          uint64            // sequence number of the latest task that this host forwarded
	stateSeq            uint64            // sequence number of the latest published state
	lastMetricsUpdate   time.Time         // when the metrics were last updated
	peers               *peerSlots
	stats               Counters
}

// ownedUpstream is an upstream on which this host may start tasks.
type ownedUpstream struct {
	leaser.Announcement
	ctx    context.Context
	cancel context.CancelCauseFunc
	// queueState is the state that was last set in the queue.
	queueState scheduler.State
	// inherited holds the identifiers of tasks that a former owner started and that still run.
	inherited map[string]bool
}

// inFlightAttempt is an attempt that this host sends to an upstream and that has no result yet.
type inFlightAttempt struct {
	upstream  string
	needs     sesamedrift.Resources
	latestEnd time.Time // when the attempt has ended at the latest
}

// peerTask is a task that a peer forwarded to this host.
type peerTask struct {
	run    taskRun
	start  func(u ownedUpstream, run taskRun)
	cancel context.CancelFunc
	placed bool
	// answers receives the result. Its buffer has the size 1, so that the dispatcher never blocks.
	answers chan taskAnswer
}

// post sends a command to the dispatcher. It blocks while the command buffer is full and returns
// false if the dispatcher has stopped.
func (d *dispatcher) post(c command) bool {
	select {
	case d.commands <- c:
		return true
	case <-d.stopped:
		return false
	}
}

// call runs a command on the dispatcher and waits until it has run. It returns
// errDispatcherStopped if the dispatcher has stopped.
func (d *dispatcher) call(c command) error {
	ran := make(chan struct{})
	if !d.post(func(now time.Time) {
		c(now)
		close(ran)
	}) {
		return errDispatcherStopped
	}
	select {
	case <-ran:
		return nil
	case <-d.stopped:
		return errDispatcherStopped
	}
}

// loop runs commands until ctx is done. It places tasks after each batch of commands, so
// that a burst of arrivals causes one placement pass.
func (d *dispatcher) loop(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case c := <-d.commands:
			now := d.now()
			c(now)
			d.runPending(now)
			d.place(now)
		case <-ticker.C:
			now := d.now()
			d.tick(now)
			d.place(now)
		case <-ctx.Done():
			return
		}
		d.afterStep(d.now())
	}
}

func (d *dispatcher) runPending(now time.Time) {
	for range len(d.commands) {
		c := <-d.commands
		c(now)
	}
}

// place starts queued tasks on free slots, first on this host's own upstreams, then on those of
// peers.
func (d *dispatcher) place(now time.Time) {
	for {
		a, ok := d.queue.Next(now)
		if !ok {
			break
		}
		d.start(now, a)
	}
	d.forwardQueued(now)
}

func (d *dispatcher) start(now time.Time, a scheduler.Assignment) {
	u := d.upstreams[a.Upstream]
	if u == nil || !d.owns(now, a.Upstream) {
		// The ownership of the upstream ended after the upstreams were last synchronised.
		d.queue.Done(now, a.Task.ID)
		d.queue.Requeue(now, a.Task)
		d.dropUpstream(now, a.Upstream)
		return
	}
	if v, ok := d.peerTasks[a.Task.ID]; ok {
		v.placed = true
		v.run.Lease = leaseFor(now, a.Task.Deadline, v.run.FullLease)
		d.recordInFlight(now, a, v.run.Lease)
		v.start(*u, v.run)
		return
	}
	j := d.jobs[a.Task.Job]
	run := d.beginAttempt(now, j, a.Task)
	d.recordInFlight(now, a, run.Lease)
	d.attempt(j, a.Task.Index, run, *u)
}

// recordInFlight records an attempt that is about to be sent to an upstream. If this host loses the
// ownership of the upstream and regains it before the attempt arrives there, the upstream does not
// list the task as running; the record then keeps its slot occupied.
func (d *dispatcher) recordInFlight(now time.Time, a scheduler.Assignment, lease time.Duration) {
	d.inFlight[a.Task.ID] = inFlightAttempt{
		upstream:  a.Upstream,
		needs:     a.Task.Demand,
		latestEnd: now.Add(claimTimeout + lease + leaseGrace),
	}
}

// beginAttempt counts a new attempt at a task and returns the run to send to an upstream or peer.
func (d *dispatcher) beginAttempt(now time.Time, j *job, t scheduler.Task) taskRun {
	state := &j.tasks[t.Index]
	state.attempt++
	j.sent++
	d.runningAttempts++
	d.stats.Starts++
	d.budget.RecordStart(now)
	full := j.kind.MaxRunTime.Std()
	return taskRun{
		TaskID:  t.ID,
		Attempt: state.attempt,
		Service: j.service,
		Kind:    j.kind.Name,
		Payload: j.sub.Payloads[t.Index],
		Lease:   leaseFor(now, j.deadline, full),
		// The detector counts a task that used its full lease as a failure.
		FullLease: full,
		Needs:     t.Demand,
	}
}

// leaseFor returns the lease of a task that starts now: the full lease of its kind, but at most the
// time until the deadline, since a later answer reaches no caller.
func leaseFor(now, deadline time.Time, full time.Duration) time.Duration {
	return max(min(full, deadline.Sub(now)), time.Millisecond)
}

// attemptEnded handles the result of an attempt that this host sent to an upstream or forwarded to
// a peer.
func (d *dispatcher) attemptEnded(now time.Time, j *job, index int, a taskAnswer) {
	t := &j.tasks[index]
	id := j.taskID(index)
	d.runningAttempts--
	delete(d.inFlight, id)
	d.recordAttempt(now, j.service, j.kind.Name, j.kind.MaxRunTime.Std(), a)
	if j.finished {
		d.queue.Done(now, id)
		if a.Result == runSucceeded {
			d.stats.Late++
		}
		return
	}
	switch a.Result {
	case runSucceeded:
		d.queue.Done(now, id)
		t.answer = a.Answer
		j.remaining--
		if j.remaining == 0 {
			d.completeJob(j)
		}
	case runFailed:
		d.queue.Done(now, id)
		d.conclude(now, j, sesamedrift.Failed, index, a.Reason)
	case runNotStarted:
		j.sent--
		d.stats.Rejected++
		d.requeue(now, j, index, a)
	case runLost:
		d.stats.Lost++
		if j.retryable() {
			d.retry(now, j, index, a.Reason)
			return
		}
		d.queue.Done(now, id)
		d.conclude(now, j, sesamedrift.Unknown, index, "the upstream was lost while the task ran: "+a.Reason)
	case runStopped:
		d.queue.Done(now, id)
		d.conclude(now, j, sesamedrift.Failed, index, "the task was stopped")
	case runFenced:
		d.queue.Done(now, id)
		d.conclude(now, j, sesamedrift.Unknown, index, "another host may run the submission: "+a.Reason)
	}
}

// handleUnreachable removes an upstream from the queue. It is added again when it has answered a
// request for its running tasks.
func (d *dispatcher) handleUnreachable(now time.Time, a taskAnswer) {
	reporter.Log(context.Background(), d.log, reporter.UpstreamLost, "upstream", a.Upstream, "error", a.Reason)
	d.dropUpstream(now, a.Upstream)
}

// recordAttempt updates the run time estimates and the health of the upstream with the result of an
// attempt. full is the lease of the kind before it is limited by the deadline.
func (d *dispatcher) recordAttempt(now time.Time, service, kind string, full time.Duration, a taskAnswer) {
	if a.Unreachable {
		d.handleUnreachable(now, a)
	}
	if a.LeaseEnded {
		d.runTimes.ObserveRunning(now, service, kind, a.Elapsed)
	}
	switch a.Result {
	case runSucceeded:
		d.runTimes.Observe(now, service, kind, a.Elapsed)
		if d.queue.Unclassified(service, kind) {
			d.queue.ClassifyKind(now, service, kind, d.runTimes.Estimate(now, service, kind).Class)
		}
		d.reportHealth(now, service, kind, a)
	case runFailed, runLost, runNotStarted:
		// A task that ended because its deadline shortened the lease says nothing about the health
		// of its upstream.
		if !a.LeaseEnded || a.Elapsed >= full {
			d.reportHealth(now, service, kind, a)
		}
	case runStopped, runFenced:
	}
}

// requeue queues a task again that was not started. The retry budget counts only attempts at
// upstreams; a task that a peer returned without such an attempt is queued again without it.
func (d *dispatcher) requeue(now time.Time, j *job, index int, a taskAnswer) {
	if a.Upstream != "" {
		d.retry(now, j, index, a.Reason)
		return
	}
	d.queue.Done(now, j.taskID(index))
	d.queue.Requeue(now, d.task(now, j, index))
}

// retry queues a task again if the retry budget allows it. Otherwise it ends the job. A task that can
// no longer meet its deadline is ended by the next tick.
func (d *dispatcher) retry(now time.Time, j *job, index int, reason string) {
	id := j.taskID(index)
	d.queue.Done(now, id)
	if !d.budget.AllowRetry(now) {
		d.concludeUnplaced(now, j, index, "no retry left: "+reason)
		return
	}
	if !d.queue.Requeue(now, d.task(now, j, index)) {
		panic("server: the task " + id + " is queued twice")
	}
}

// concludeUnplaced ends a job of which a task cannot be placed. The outcome is "refused" if no task
// of the job can have started.
func (d *dispatcher) concludeUnplaced(now time.Time, j *job, index int, reason string) {
	switch {
	case j.nothingStarted():
		d.conclude(now, j, sesamedrift.Refused, sesamedrift.NoTask, "not run: "+reason)
	case j.retryable():
		// The earlier attempt of this task may have run.
		d.conclude(now, j, sesamedrift.Unknown, index, reason)
	default:
		d.conclude(now, j, sesamedrift.Failed, index, reason)
	}
}

func (d *dispatcher) completeJob(j *job) {
	d.stats.Complete++
	d.finishJob(j, sesamedrift.Outcome{
		Key:     j.sub.Key.String(),
		Digest:  j.digest,
		Status:  sesamedrift.Complete,
		Task:    sesamedrift.NoTask,
		Answers: j.answers(),
	})
}

// conclude ends a job without an answer: its queued tasks are removed from the queue and its running
// tasks are stopped. It does nothing if the job has ended.
func (d *dispatcher) conclude(now time.Time, j *job, status sesamedrift.Status, index int, reason string) {
	if j.finished {
		return
	}
	o := sesamedrift.IncompleteOutcome(&j.sub, status, reason)
	o.Task = index
	switch status {
	case sesamedrift.Refused:
		d.stats.Refused++
		o.RetryAfter = d.retryAfter(now, j)
	case sesamedrift.Failed:
		d.stats.Failed++
	case sesamedrift.Unknown:
		d.stats.Unknown++
	case sesamedrift.Cancelled:
		d.stats.Cancelled++
	case sesamedrift.Complete:
		panic("server: a job without all answers cannot be complete")
	}
	d.queue.Cancel(now, j.identity)
	d.finishJob(j, o)
}

func (d *dispatcher) finishJob(j *job, o sesamedrift.Outcome) {
	j.finished = true
	j.cancel()
	d.finish(j, o)
}

// dropJob removes a job that has ended. A later job with the same identity stays.
func (d *dispatcher) dropJob(j *job) {
	if d.jobs[j.identity] == j {
		delete(d.jobs, j.identity)
	}
}

// task returns the scheduler's description of a task.
func (d *dispatcher) task(now time.Time, j *job, index int) scheduler.Task {
	e := d.runTimes.Estimate(now, j.service, j.kind.Name)
	return scheduler.Task{
		ID:            j.taskID(index),
		Job:           j.identity,
		Index:         index,
		Team:          j.team,
		Service:       j.service,
		Kind:          j.kind.Name,
		Class:         e.Class,
		Deadline:      j.deadline,
		Estimate:      e.P50,
		P95:           e.P95,
		LongThreshold: e.LongThreshold,
		Unclassified:  e.Samples == 0,
		Demand:        j.kind.Demand,
		JobStarted:    j.sent > 0,
		QueuedAt:      now,
	}
}

// allTasks returns the scheduler's description of every task of a job.
func (d *dispatcher) allTasks(now time.Time, j *job) []scheduler.Task {
	tasks := make([]scheduler.Task, len(j.tasks))
	for i := range j.tasks {
		tasks[i] = d.task(now, j, i)
	}
	return tasks
}

// enqueue adds all tasks of a job to the queue. If the queue rejects them, the job is refused.
func (d *dispatcher) enqueue(now time.Time, j *job) {
	if err := d.queue.Add(now, d.allTasks(now, j)); err != nil {
		d.conclude(now, j, sesamedrift.Refused, sesamedrift.NoTask, "not run: "+err.Error())
	}
}

// tick ends work that cannot finish in time, moves running tasks that exceed their long threshold to
// the long class, and applies changes that come with the passage of time: upstream states, orphan
// timeouts, and services that lost all slots.
func (d *dispatcher) tick(now time.Time) {
	for _, t := range d.queue.Expire(now) {
		if v, ok := d.peerTasks[t.ID]; ok {
			d.withdraw(now, t.ID, v, errExpired)
			continue
		}
		if j, ok := d.jobs[t.Job]; ok {
			d.concludeUnplaced(now, j, t.Index, "the deadline cannot be met")
		}
	}
	for name, u := range d.upstreams {
		if d.upstreamState(now, u) != u.queueState {
			d.refreshUpstream(now, name)
		}
	}
	for _, r := range d.queue.Overdue(now) {
		d.queue.Reclassify(now, r.Task.ID, scheduler.Long)
		d.runTimes.ObserveRunning(now, r.Task.Service, r.Task.Kind, now.Sub(r.StartedAt))
	}
	for id, j := range d.orphans {
		d.checkOrphan(now, id, j)
	}
	for service := range d.ownedServices {
		d.checkSlots(now, service)
	}
	for service := range d.configuredServices {
		if !d.ownedServices[service] {
			d.checkSlots(now, service)
		}
	}
	d.dropEarlyStops(now)
}

// checkOrphan cancels a job for which no caller has waited during its orphan timeout.
func (d *dispatcher) checkOrphan(now time.Time, id string, j *job) {
	switch {
	case j.finished || j.waiters.Load() > 0:
		delete(d.orphans, id)
	case now.Sub(j.orphanedAt) >= j.orphanTimeout:
		delete(d.orphans, id)
		d.conclude(now, j, sesamedrift.Cancelled, sesamedrift.NoTask, "no caller waits for the answer")
	}
}

// markOrphaned starts the orphan timeout of a job that has not ended and for which no caller waits.
func (d *dispatcher) markOrphaned(now time.Time, j *job) {
	if j.waiters.Load() > 0 || j.finished {
		return
	}
	j.orphanedAt = now
	d.orphans[j.identity] = j
}

// reportHealth reports the result of an attempt to the detector and applies a change of the
// upstream's state. Only the owner of an upstream tracks its health, so that results of upstreams
// of peers are ignored.
func (d *dispatcher) reportHealth(now time.Time, service, kind string, a taskAnswer) {
	if d.upstreams[a.Upstream] == nil {
		return
	}
	before := d.health.State(now, a.Upstream)
	d.health.ReportResult(now, a.Upstream, service, kind, a.Result == runSucceeded)
	if a.Result == runSucceeded {
		d.health.Observe(now, a.Upstream, service, kind, a.Elapsed)
	}
	after := d.health.State(now, a.Upstream)
	if before == after {
		return
	}
	if after == detector.Ejected {
		reporter.Log(context.Background(), d.log, reporter.UpstreamEjected, "upstream", a.Upstream, "service", service)
	}
	d.refreshUpstream(now, a.Upstream)
}
