package scheduler

import (
	"math"
	"time"
)

// singleTaskProbeWait is how long a probing upstream is reserved for jobs of a single task. If a
// task fails, its whole job may fail, so tasks of larger jobs are used as probes only after this
// time or when no upstream is serving.
const singleTaskProbeWait = 2 * time.Second

// Next removes the next task from its queue and assigns it a slot of an upstream; the caller then
// starts it there. It reports false if no queued task can start now.
func (q *Queue) Next(now time.Time) (Assignment, bool) {
	q.advance(now)
	for range q.visitOrder {
		q.cursor = (q.cursor + 1) % len(q.visitOrder)
		s := q.visitOrder[q.cursor]
		e, u := q.choose(now, s)
		if u == nil {
			continue
		}
		s.updateCredit(e)
		q.dequeue(e)
		q.start(now, e, u)
		return Assignment{
			Task:     e.task,
			Upstream: u.ID,
		}, true
	}
	return Assignment{}, false
}

// choose returns the next task of a service and its upstream. The upstream is nil if no task can
// start.
func (q *Queue) choose(now time.Time, s *service) (*entry, *upstream) {
	short, long := s.heads()
	if short == nil && long == nil {
		return nil, nil
	}
	e, u := q.chooseBySlots(now, s, short, long)
	if u == nil || s.canRun(u, e, short, long) {
		return e, u
	}
	return s.chooseByCapacity(now, e, short, long)
}

// chooseBySlots chooses by order, shares and free slots, without regard to capacity.
func (q *Queue) chooseBySlots(now time.Time, s *service, short, long *entry) (*entry, *upstream) {
	first := short
	if short == nil || s.slots == 0 && long != nil && s.credit >= long.cost {
		first = long
	}
	if s.slots > 0 && long != nil && s.longGoesFirst(short, long) {
		if u := s.probe(now, long); u != nil && short == nil {
			return long, u
		}
		return long, s.longByScore.top()
	}
	if u := s.probe(now, first); u != nil {
		return first, u
	}
	if s.freeSlots == 0 || short == nil && !s.canLend(now) {
		return nil, nil
	}
	if q.cfg.Policy == FIFORandom {
		return first, s.withFree[q.random.IntN(len(s.withFree))]
	}
	return first, s.byScore.top()
}

// heads returns the next task of each class, or nil if there is none. The FIFO policies have all
// tasks in the short queue.
func (s *service) heads() (short, long *entry) {
	short = s.short.head()
	if s.long != s.short {
		long = s.long.head()
	}
	return short, long
}

// longGoesFirst reports whether the next long task starts before the next short one, because the
// share of long tasks has a free slot. If the share is less than one slot, long tasks get that
// share of the run time instead, as counted by the credit.
func (s *service) longGoesFirst(short, long *entry) bool {
	if s.longRunning >= s.longLimit() || !s.longByScore.top().acceptsLong() {
		return false
	}
	return short == nil || s.longShareSlots() >= 1 || s.credit >= long.cost
}

// canLend reports whether a long task may use a slot beyond the share of long tasks, provided that
// no short task is queued.
func (s *service) canLend(now time.Time) bool {
	return s.freeSlots > s.arrivals.reservedSlots(now)
}

// probe returns a probing upstream on which the task may start, or nil.
func (s *service) probe(now time.Time, e *entry) *upstream {
	if s.probes.len() == 0 {
		return nil
	}
	u := s.probes.top()
	if s.slots == 0 || e.job.isSingleTask(e) || now.Sub(u.idleSince) >= singleTaskProbeWait {
		return u
	}
	return nil
}

// updateCredit updates the credit of long tasks before a task is dequeued. A long task uses up
// credit. A short task adds credit if long tasks are queued, and otherwise resets it.
func (s *service) updateCredit(e *entry) {
	switch {
	case s.long == s.short:
	case e.group.queue == s.long:
		s.credit = max(0, s.credit-e.cost)
	case s.long.tasks > 0:
		s.credit += time.Duration(math.Ceil(float64(e.cost) * s.longShare / (1 - s.longShare)))
		s.credit = min(s.credit, s.long.head().cost)
	default:
		s.credit = 0
	}
}

// dequeue removes a task from its queue and charges its team.
func (q *Queue) dequeue(e *entry) {
	g := e.group
	e.team = g.team
	g.queue.virtualTime = max(g.queue.virtualTime, g.queue.active.top().virtualTime)
	g.team.charge(e.cost)
	g.queue.remove(e)
	q.queued--
	q.removeExpiryIfEmpty(g)
}

func (q *Queue) start(now time.Time, e *entry, u *upstream) {
	q.starts++
	u.lastStart = q.starts
	threshold := e.task.LongThreshold
	if threshold <= 0 {
		threshold = overdueFactor * e.task.Estimate
	}
	e.startedAt = now
	e.expectedEnd = now.Add(e.task.Estimate)
	if threshold > 0 {
		e.overdueAt = now.Add(threshold)
	}
	e.nextChange = e.expectedEnd
	e.job.addRunning(e)
	u.service.markStarted(e.job)
	q.assignSlot(e, u)
}

// Overdue returns the short tasks that have been running for longer than LongThreshold and that an
// earlier call has not returned. The caller can pass them to Reclassify.
func (q *Queue) Overdue(now time.Time) []RunningTask {
	q.advance(now)
	var overdue []RunningTask
	for q.overdue.len() > 0 {
		e := q.overdue.top()
		q.overdue.remove(e)
		if e.task.Class != Long {
			overdue = append(overdue, e.running())
		}
	}
	return overdue
}

// Reclassify changes the class of a queued or running task. A running task keeps its slot. Unknown
// identifiers and classes are ignored.
func (q *Queue) Reclassify(now time.Time, taskID string, c Class) {
	q.advance(now)
	e, ok := q.tasks[taskID]
	if !ok || e.task.Class == c || (c != Short && c != Long) {
		return
	}
	if e.upstream == nil {
		g := e.group
		g.queue.remove(e)
		q.removeExpiryIfEmpty(g)
		e.task.Class = c
		q.enqueue(e)
		return
	}
	u := e.upstream
	u.service.subtractUpstream(u)
	u.service.load(e).remove(e)
	u.removeRunning(e)
	e.task.Class = c
	u.addRunning(e)
	u.service.load(e).add(e)
	u.service.addUpstream(u)
}
