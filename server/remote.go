package server

import (
	"context"
	"errors"
	"time"

	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
)

// forwardedTask is the message that forwards a queued task to a peer.
type forwardedTask struct {
	Run      taskRun       `msgpack:"run"`
	Team     string        `msgpack:"team"`
	Class    string        `msgpack:"class"`
	Estimate time.Duration `msgpack:"estimate"`
	P95      time.Duration `msgpack:"slow"`
	// LongThreshold is the run time above which the task is classified as long.
	LongThreshold time.Duration `msgpack:"long-after"`
	// JobStarted says that an attempt at a task of the job was sent before.
	JobStarted bool `msgpack:"begun"`
	// Remaining is the time that remained until the deadline when the task was sent.
	Remaining time.Duration `msgpack:"left"`
	// Deadline is the deadline by the clock of the sender. A task that arrives later than the
	// deadline plus the clock margin is not started. It is zero if the sender runs a version
	// without this field.
	Deadline time.Time `msgpack:"until"`
	// From is the sending host, and Number is a sequence number that increases with each task that
	// the host forwards, across restarts as well.
	From   string `msgpack:"from"`
	Number uint64 `msgpack:"number"`
}

// forwardedAnswer is the result of a forwarded task, with a report of the peer's slots.
type forwardedAnswer struct {
	Answer taskAnswer `msgpack:"answer"`
	Slots  slotReport `msgpack:"slots"`
}

// taskNotice notifies a peer that it must stop a forwarded task.
type taskNotice struct {
	TaskID string `msgpack:"task-id"`
}

// noSlotsGracePeriod is how long queued tasks of peers stay here while this host has no slots of
// their service.
const noSlotsGracePeriod = 100 * time.Millisecond

// otherDomainGracePeriod is how long after an evacuation came into force jobs stay queued although no
// other domain reports slots. A host may learn the evacuation from a peer of its domain first. By the end
// of the period, every host of another domain that can be reached has answered an exchange, even if the
// one before was lost.
const otherDomainGracePeriod = exchangeEvery + exchangeTimeout

// peerTaskReturnDelay is how long a task of a peer stays queued here before it is returned to its
// host because another host has free slots. Without the delay, 9 % of the starts of the scenario
// counter were preceded by a rejected dispatch.
const peerTaskReturnDelay = 100 * time.Millisecond

// earlyStopRetention is how long a stop notice that arrived before its task is kept. A task is not
// forwarded again after its stop notice.
const earlyStopRetention = 10 * time.Second

// legsPerRoundTrip is the number of one-way latencies by which forwarding delays a task.
const legsPerRoundTrip = 2

// forwardQueued forwards queued tasks to peers with free slots, and some to peers of the own failure
// domain with shorter queues. A peer of another failure domain gets a task only if the estimated
// wait here exceeds the round trip by more than spillMargin.
func (d *dispatcher) forwardQueued(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	for service := range d.configuredServices {
		if d.queued(now, service) > 0 {
			d.forwardToFreeSlots(now, service)
		}
		if d.queued(now, service) > 0 {
			d.balance(now, service)
		}
	}
}

func (d *dispatcher) queued(now time.Time, service string) int {
	s := d.queue.Stats(now, service)
	return s.ShortQueued + s.LongQueued
}

// forwardToFreeSlots forwards tasks to free slots of peers. Tasks that peers forwarded here are
// returned to them instead, since only the coordinator of a job forwards its tasks.
func (d *dispatcher) forwardToFreeSlots(now time.Time, service string) {
	wait := d.queue.EstimateWait(now, service, scheduler.Short)
	worthwhile := func(distance time.Duration) bool {
		return distance == 0 || wait > legsPerRoundTrip*distance+d.spillMargin
	}
	for {
		host, n := d.peers.mostFree(now, service, worthwhile)
		if host == "" {
			return
		}
		sent, kept := d.forwardTasks(now, host, service, n)
		returned := d.returnPeerTasks(now, kept)
		if returned > 0 {
			// The slots are reserved for the coordinators of the returned tasks.
			d.peers.markRefused(host, service)
		}
		if sent+returned < n {
			return
		}
	}
}

// returnPeerTasks returns to their hosts those of the tasks that have been queued here for at least
// peerTaskReturnDelay, and reports their number. Tasks that arrived later often start here at once.
func (d *dispatcher) returnPeerTasks(now time.Time, tasks []scheduler.Task) int {
	returned := 0
	for _, t := range tasks {
		if now.Sub(t.QueuedAt) >= peerTaskReturnDelay {
			d.withdraw(now, t.ID, d.peerTasks[t.ID], errSlotsElsewhere)
			returned++
		}
	}
	return returned
}

// balance forwards queued tasks to the peer of the own failure domain with the fewest queued tasks
// per slot. In an evacuated domain, no peer has slots, and the tasks go to the queues of other domains.
func (d *dispatcher) balance(now time.Time, service string) {
	host, r := d.peers.shortestQueue(now, service, d.evacuated)
	if host == "" {
		return
	}
	n := tasksToMove(d.queue.Stats(now, service), r)
	if d.evacuated {
		// The rest is forwarded in the next steps, by then perhaps to another peer.
		n = min(n, r.Slots)
	}
	if n == 0 {
		return
	}
	if sent, _ := d.forwardTasks(now, host, service, n); sent == 0 {
		// The tasks at the head of the queue came from peers and are not forwarded again.
		d.peers.markRefused(host, service)
	}
}

// forwardTasks takes the first n queued tasks of a service and forwards those of this host's jobs to a
// peer. It returns the number of forwarded tasks. The other tasks came from peers; they stay queued
// and are returned as kept.
func (d *dispatcher) forwardTasks(now time.Time, host, service string, n int) (sent int, kept []scheduler.Task) {
	for _, t := range d.queue.Take(now, service, n) {
		if _, ok := d.peerTasks[t.ID]; ok {
			d.queue.Requeue(now, t)
			kept = append(kept, t)
			continue
		}
		d.forwardTask(now, host, t)
		sent++
	}
	return sent, kept
}

func (d *dispatcher) forwardTask(now time.Time, host string, t scheduler.Task) {
	j := d.jobs[t.Job]
	run := d.beginAttempt(now, j, t)
	d.stats.Forwards++
	d.forwardSeq++
	d.peers.taskForwarded(host, t.Service, d.forwardSeq)
	d.forward(j, t, run, host, d.forwardSeq)
}

// forwardTask forwards a task to a peer in the background and posts the result to the dispatcher,
// which calls it.
func (h *Host) forwardTask(j *job, t scheduler.Task, run taskRun, host string, n uint64) {
	h.background.Go(func() {
		a := h.forwardAndWait(j, t, run, host, n)
		h.dispatcher.post(func(now time.Time) {
			h.dispatcher.peers.taskAnswered(host, n)
			h.dispatcher.attemptEnded(now, j, t.Index, a)
		})
	})
}

func (h *Host) forwardAndWait(j *job, t scheduler.Task, run taskRun, host string, n uint64) taskAnswer {
	if err := j.confirmStart(); err != nil {
		return fenced(err)
	}
	remaining := j.deadline.Sub(h.now())
	ctx, cancel := context.WithTimeout(j.ctx, remaining+leaseGrace+answerMargin)
	defer cancel()
	reply, err := callPeer[forwardedAnswer](ctx, h, host, messenger.KindRunTask, forwardedTask{
		Run:           run,
		Team:          t.Team,
		Class:         string(t.Class),
		Estimate:      t.Estimate,
		P95:           t.P95,
		LongThreshold: t.LongThreshold,
		JobStarted:    t.JobStarted,
		Remaining:     remaining,
		Deadline:      j.deadline,
		From:          h.cfg.Settings.Host,
		Number:        n,
	})
	var notSent *messenger.NotSentError
	switch {
	case errors.As(err, &notSent):
		h.dispatcher.post(func(time.Time) { h.dispatcher.peers.invalidate(host) })
		return notStarted(err)
	case err != nil && j.ctx.Err() != nil:
		h.sendOneWay(host, messenger.KindStopTask, taskNotice{TaskID: run.TaskID})
		return taskAnswer{Result: runStopped}
	case err != nil:
		return taskAnswer{Result: runLost, Reason: err.Error()}
	case reply.Answer.isEmpty():
		return taskAnswer{Result: runLost, Reason: "the reply of " + host + " has no answer"}
	}
	h.dispatcher.post(func(now time.Time) {
		h.dispatcher.peers.update(now, host, reply.Slots)
		if reply.Answer.Result == runNotStarted {
			h.dispatcher.peers.markRefused(host, t.Service)
		}
	})
	return reply.Answer
}

func notStarted(err error) taskAnswer {
	return taskAnswer{
		Result: runNotStarted,
		Reason: err.Error(),
	}
}

// serveRunTask queues a task of a peer and replies when the task has ended or is returned.
func (h *Host) serveRunTask(ctx context.Context, in forwardedTask) (forwardedAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := &peerTask{
		run:     in.Run,
		cancel:  cancel,
		answers: make(chan taskAnswer, 1),
	}
	v.start = func(u ownedUpstream, run taskRun) {
		h.background.Go(func() {
			a := h.attemptOn(ctx, u, run)
			h.dispatcher.post(func(now time.Time) { h.dispatcher.peerTaskEnded(now, v, a) })
		})
	}
	if !in.Deadline.IsZero() {
		in.Remaining = min(in.Remaining, in.Deadline.Add(h.cfg.Settings.ClockMargin.Std()).Sub(h.now()))
	}
	if err := h.dispatcher.call(func(now time.Time) { h.dispatcher.addPeerTask(now, in, v) }); err != nil {
		return forwardedAnswer{Answer: notStarted(err)}, nil
	}
	select {
	case a := <-v.answers:
		return forwardedAnswer{
			Answer: a,
			Slots:  h.slots.report(in.From),
		}, nil
	case <-h.dispatcher.stopped:
		return forwardedAnswer{}, errDispatcherStopped
	}
}

// addPeerTask queues a task of a peer. A task that cannot be queued is answered "not started" at
// once.
func (d *dispatcher) addPeerTask(now time.Time, in forwardedTask, v *peerTask) {
	d.lastReceived[in.From] = max(d.lastReceived[in.From], in.Number)
	if _, ok := d.peerTasks[in.Run.TaskID]; ok {
		v.answers <- notStarted(errDuplicateTask)
		return
	}
	t := scheduler.Task{
		ID:            in.Run.TaskID,
		Job:           in.Run.TaskID,
		Team:          in.Team,
		Service:       in.Run.Service,
		Kind:          in.Run.Kind,
		Class:         scheduler.Class(in.Class),
		Deadline:      now.Add(in.Remaining),
		Estimate:      in.Estimate,
		P95:           in.P95,
		LongThreshold: in.LongThreshold,
		Demand:        in.Run.Needs,
		JobStarted:    in.JobStarted,
		QueuedAt:      now,
	}
	if _, stopped := d.earlyStops[t.ID]; stopped {
		delete(d.earlyStops, t.ID)
		v.answers <- notStarted(errWithdrawn)
		return
	}
	if in.Remaining <= 0 {
		v.answers <- notStarted(errExpired)
		return
	}
	if d.queue.Stats(now, t.Service).Slots == 0 {
		v.answers <- notStarted(errNoSlots)
		return
	}
	if !d.queue.FitsAnyUpstream(t.Service, t.Demand) {
		v.answers <- notStarted(errInsufficientCapacity)
		return
	}
	if err := d.queue.Add(now, []scheduler.Task{t}); err != nil {
		v.answers <- notStarted(err)
		return
	}
	d.peerTasks[t.ID] = v
}

var (
	errDuplicateTask        = errors.New("the peer runs the task already")
	errNoSlots              = errors.New("the peer owns no upstream of the service")
	errInsufficientCapacity = errors.New("no upstream of the peer has the capacity for the task")
	errExpired              = errors.New("the deadline cannot be met at the peer")
	errWithdrawn            = errors.New("the task was withdrawn")

	errSlotsElsewhere = errors.New("another host has free slots")
)

// withdraw removes a queued task of a peer and answers it "not started".
func (d *dispatcher) withdraw(now time.Time, id string, v *peerTask, reason error) {
	d.queue.Cancel(now, id)
	delete(d.peerTasks, id)
	v.answers <- notStarted(reason)
}

// checkSlots returns queued tasks of peers if this host no longer has slots of the service, as in a
// planned stop, so that the peers can place the tasks elsewhere. It does so only after
// noSlotsGracePeriod, since a host may be without slots briefly during a view change.
func (d *dispatcher) checkSlots(now time.Time, service string) {
	if d.queue.Stats(now, service).Slots > 0 {
		delete(d.noSlotsSince, service)
		return
	}
	since, ok := d.noSlotsSince[service]
	if !ok {
		d.noSlotsSince[service] = now
		return
	}
	if now.Sub(since) < noSlotsGracePeriod {
		return
	}
	for id, v := range d.peerTasks {
		if !v.placed && v.run.Service == service {
			d.withdraw(now, id, v, errNoSlots)
		}
	}
	if d.noDomainLeft(now, service) {
		d.refuseQueued(now, service)
	}
}

// noDomainLeft reports whether the failure domain is evacuated and no other one has slots of a service.
func (d *dispatcher) noDomainLeft(now time.Time, service string) bool {
	return d.evacuated && !d.awaitsOtherDomains(now) && d.peers.shortestWait(now, service) >= scheduler.MaxWait
}

// awaitsOtherDomains reports whether the evacuation has come into force so recently that other domains
// may have slots although none has reported them.
func (d *dispatcher) awaitsOtherDomains(now time.Time) bool {
	return d.evacuated && now.Sub(d.evacuatedAt) < otherDomainGracePeriod && d.peers.anyOtherDomain()
}

// refuseQueued refuses the jobs of this host with queued tasks of a service of which nothing has
// started. The other jobs stay queued until they can no longer meet their deadlines, since the end of
// a job would stop its running tasks.
func (d *dispatcher) refuseQueued(now time.Time, service string) {
	for _, t := range d.queue.Take(now, service, d.queued(now, service)) {
		if j, ok := d.jobs[t.Job]; ok && j.nothingStarted() {
			d.concludeUnplaced(now, j, t.Index, errNoDomain.Error())
			continue
		}
		d.queue.Requeue(now, t)
	}
}

// errNoDomain is the reason for which a job of an evacuated failure domain is refused.
var errNoDomain = errors.New("the failure domain is evacuated, and no other one reports slots of the service")

// peerTaskEnded frees the slot of a peer's task, answers the peer and records the attempt.
func (d *dispatcher) peerTaskEnded(now time.Time, v *peerTask, a taskAnswer) {
	d.queue.Done(now, v.run.TaskID)
	delete(d.peerTasks, v.run.TaskID)
	delete(d.inFlight, v.run.TaskID)
	v.answers <- a
	d.recordAttempt(now, v.run.Service, v.run.Kind, v.run.FullLease, a)
}

func (h *Host) serveStopTask(in taskNotice) (empty, error) {
	h.dispatcher.post(func(now time.Time) { h.dispatcher.stopPeerTask(now, in.TaskID) })
	return empty{}, nil
}

// stopPeerTask stops a task of a peer. Messages of one peer are handled concurrently, so that the
// notice may arrive before the task; it is then kept for earlyStopRetention.
func (d *dispatcher) stopPeerTask(now time.Time, id string) {
	v, ok := d.peerTasks[id]
	switch {
	case !ok:
		d.earlyStops[id] = now
	case v.placed:
		v.cancel()
	default:
		d.withdraw(now, id, v, errWithdrawn)
	}
}

// dropEarlyStops removes stop notices whose tasks have not arrived within earlyStopRetention.
func (d *dispatcher) dropEarlyStops(now time.Time) {
	for id, at := range d.earlyStops {
		if now.Sub(at) >= earlyStopRetention {
			delete(d.earlyStops, id)
		}
	}
}

// runLocally runs an attempt on an upstream of this host in the background and posts the result to
// the dispatcher, which calls it.
func (h *Host) runLocally(j *job, index int, run taskRun, u ownedUpstream) {
	h.background.Go(func() {
		var a taskAnswer
		if err := j.confirmStart(); err != nil {
			a = fenced(err)
		} else {
			a = h.attemptOn(j.ctx, u, run)
		}
		h.dispatcher.post(func(now time.Time) { h.dispatcher.attemptEnded(now, j, index, a) })
	})
}

func fenced(err error) taskAnswer {
	return taskAnswer{
		Result: runFenced,
		Reason: err.Error(),
	}
}

var (
	errNotOwner  = errors.New("the upstream has another owner")
	errEvacuated = errors.New("the failure domain is evacuated")
)

// attemptOn runs an attempt on an upstream until it ends, or until ctx or the context of the upstream
// is done. It checks first that this host still owns the upstream and that its failure domain is not
// evacuated: either may have changed after the dispatcher placed the task, for example while the claim
// was marked as started.
func (h *Host) attemptOn(ctx context.Context, u ownedUpstream, run taskRun) taskAnswer {
	if !h.members.owns(h.now(), u.Upstream) {
		return notStarted(errNotOwner)
	}
	if !h.evacuations.allowStarts(h.cfg.Settings.Domain) {
		return notStarted(errEvacuated)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(u.ctx, func() { cancel(context.Cause(u.ctx)) })
	defer stop()
	a := h.runner.run(ctx, h.now, u.Announcement, run)
	if a.Result == runStopped && errors.Is(context.Cause(ctx), errUpstreamRestarted) {
		a.Result = runLost
		a.Reason = errUpstreamRestarted.Error()
	}
	return a
}

// recordStopFailure logs and counts a request to stop a task that an upstream has not confirmed.
func (h *Host) recordStopFailure(upstream, task string, err error) {
	reporter.Log(context.Background(), h.log, reporter.TaskNotStopped, "upstream", upstream, "task", task, "error", err)
	h.dispatcher.post(func(time.Time) { h.dispatcher.stats.UnconfirmedStops++ })
}

// errUpstreamRestarted is the cause with which attempts on an upstream are cancelled that announced a
// new incarnation.
var errUpstreamRestarted = errors.New("the upstream restarted")
