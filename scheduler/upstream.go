package scheduler

import (
	"math"
	"time"

	"sesamedrift.example/sesamedrift"
)

// State determines how many new tasks are started on an upstream.
type State string

// The states of an upstream.
const (
	// Serving upstreams run tasks on all their slots. An empty state is treated as Serving.
	Serving State = "serving"
	// Leaving upstreams are draining: they finish their running tasks and get no new ones.
	Leaving State = "leaving"
	// Ejected upstreams get no new tasks because runs on them have failed.
	Ejected State = "ejected"
	// Probing upstreams run one task at a time, which shows whether they have recovered.
	Probing State = "probing"
)

// Upstream holds the settings and the state of an upstream, as passed to SetUpstream.
type Upstream struct {
	// ID is unique in a Queue. Later calls of SetUpstream do not change the Service.
	ID, Service string
	// Slots and Connections both limit the number of tasks that run at the same time.
	Slots, Connections int
	// Capacity limits the sum of the demands of the running tasks. The zero value means no limit;
	// otherwise the upstream has none of the resources that are zero.
	Capacity sesamedrift.Resources
	// Weight is multiplied by the share of free slots when upstreams are compared; 1 if it is not
	// a finite number above zero.
	Weight float64
	State  State
}

type upstream struct {
	Upstream
	service     *service
	running     []*entry              // including tasks added by Occupy
	used        sesamedrift.Resources // sum of the demands of the running tasks
	longRunning int                   // running tasks of class Long
	freeSlots   int                   // free slots in the current state
	score       float64               // share of free slots, weighted
	lastStart   uint64                // value of Queue.starts at the latest start on this upstream
	idleSince   time.Time             // time of the latest Done or change of State

	// Indexes plus one in the heaps of the service and in withFree; zero if not contained.
	scorePosition, longPosition, probePosition, freePosition int
}

// limit returns the number of tasks that may run at the same time in the current state.
func (u *upstream) limit() int {
	n := max(0, min(u.Slots, u.Connections))
	if u.bounded() {
		n = u.Capacity.CountFitting(u.service.minDemand, n)
	}
	switch u.State {
	case Leaving, Ejected:
		return 0
	case Probing:
		return min(1, n)
	default:
		return n
	}
}

// longLimit returns the number of slots that long tasks may use while short tasks are queued.
func (u *upstream) longLimit() int {
	return max(1, int(float64(u.limit())*u.service.longShare))
}

func (u *upstream) acceptsLong() bool { return u.freeSlots > 0 && u.longRunning < u.longLimit() }

func (u *upstream) serving() bool { return u.State == Serving }

func (u *upstream) addRunning(e *entry) {
	e.upstreamPosition = len(u.running)
	u.running = append(u.running, e)
	u.used = u.used.Plus(e.task.Demand)
	if e.task.Class == Long {
		u.longRunning++
	}
}

func (u *upstream) removeRunning(e *entry) {
	last := len(u.running) - 1
	moved := u.running[last]
	u.running[e.upstreamPosition] = moved
	moved.upstreamPosition = e.upstreamPosition
	u.running[last] = nil
	u.running = u.running[:last]
	u.used = u.used.Minus(e.task.Demand)
	if e.task.Class == Long {
		u.longRunning--
	}
}

// betterUpstream reports whether a is preferred to b: the one with the higher score or, if these
// are equal, the one on which a task was started less recently.
func betterUpstream(a, b *upstream) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	if a.lastStart != b.lastStart {
		return a.lastStart < b.lastStart
	}
	return a.ID < b.ID
}

// SetUpstream adds or changes an upstream. Tasks that run on it continue. If it now has fewer
// slots than running tasks, no task is started on it until enough of them have ended.
func (q *Queue) SetUpstream(now time.Time, u Upstream) {
	q.advance(now)
	if !(u.Weight > 0) || math.IsInf(u.Weight, 0) {
		u.Weight = 1
	}
	if u.State == "" {
		u.State = Serving
	}
	x, ok := q.upstreams[u.ID]
	if !ok {
		x = &upstream{
			Upstream:  u,
			service:   q.service(u.Service),
			idleSince: now,
		}
		q.upstreams[u.ID] = x
	} else {
		x.service.subtractUpstream(x)
		u.Service = x.Service
		if x.State != u.State {
			x.idleSince = now
		}
		x.Upstream = u
	}
	x.service.addUpstream(x)
}

// RemoveUpstream removes an upstream and its running tasks from the Queue and returns these tasks,
// except for those added by Occupy.
func (q *Queue) RemoveUpstream(now time.Time, id string) []RunningTask {
	q.advance(now)
	u, ok := q.upstreams[id]
	if !ok {
		return nil
	}
	var lost []RunningTask
	for len(u.running) > 0 {
		e := u.running[len(u.running)-1]
		if !e.occupied {
			lost = append(lost, e.running())
		}
		q.chargeRunTime(now, e)
		q.releaseSlot(e)
	}
	u.service.subtractUpstream(u)
	u.service.removeUpstream(u)
	delete(q.upstreams, id)
	return lost
}

// Occupy marks a slot and the demanded resources of an upstream as used by a task that an earlier
// owner of the upstream started, until Done or the given time. It reports false and does nothing if
// the upstream is unknown, the time has passed, or the task is already queued or running.
func (q *Queue) Occupy(now time.Time, upstream, taskID string, demand sesamedrift.Resources, until time.Time) bool {
	q.advance(now)
	u, ok := q.upstreams[upstream]
	if _, known := q.tasks[taskID]; !ok || known || !until.After(now) {
		return false
	}
	e := &entry{
		task: Task{
			ID:      taskID,
			Service: u.Service,
			Class:   Short,
			Demand:  demand,
		},
		startedAt:   now,
		expectedEnd: until,
		nextChange:  until,
		occupied:    true,
	}
	q.tasks[taskID] = e
	q.assignSlot(e, u)
	return true
}

// Done removes a running task and frees its slot. Identifiers of other tasks are ignored.
func (q *Queue) Done(now time.Time, taskID string) {
	q.advance(now)
	e, ok := q.tasks[taskID]
	if !ok || e.upstream == nil {
		return
	}
	e.upstream.idleSince = now
	q.chargeRunTime(now, e)
	q.releaseSlot(e)
}

// chargeRunTime replaces the estimated cost that the team was charged for a task by the run time.
func (q *Queue) chargeRunTime(now time.Time, e *entry) {
	if !e.occupied {
		e.team.charge(max(minTaskCost, now.Sub(e.startedAt)) - e.cost)
	}
}

// assignSlot records that a task runs on an upstream.
func (q *Queue) assignSlot(e *entry, u *upstream) {
	u.service.subtractUpstream(u)
	e.upstream = u
	u.addRunning(e)
	u.service.addUpstream(u)
	u.service.load(e).add(e)
	q.timeline.push(e)
}

// releaseSlot removes a running task and frees its slot.
func (q *Queue) releaseSlot(e *entry) {
	u := e.upstream
	u.service.subtractUpstream(u)
	u.removeRunning(e)
	u.service.addUpstream(u)
	u.service.load(e).remove(e)
	q.timeline.remove(e)
	q.overdue.remove(e)
	q.removeTask(e)
	if e.job != nil {
		e.job.removeRunning(e)
		q.removeJobIfFinished(e.job)
	}
	e.upstream = nil
}

func (q *Queue) removeJobIfFinished(j *job) {
	if len(j.running) == 0 && len(j.groups) == 0 {
		delete(q.jobs, j.id)
	}
}
