package scheduler

import (
	"math"
	"time"
)

// MaxWait is the largest estimated wait. It is also the estimate for a service without slots.
const MaxWait = time.Hour

const (
	// maxWaitIterations limits the iterations in which EstimateJobWait lengthens its estimate: during
	// a longer wait, other teams add more tasks.
	maxWaitIterations = 8
	// waitToleranceDivisor is the tolerance of EstimateJobWait: it stops once an iteration lengthens
	// the estimate by no more than the estimate divided by this number.
	waitToleranceDivisor = 20
)

// EstimateWait estimates how long a task of the class that is added now waits for a slot, from
// the queued work of its class, the remaining run time of the running tasks, and the number of slots
// for the class.
func (q *Queue) EstimateWait(now time.Time, service string, c Class) time.Duration {
	q.advance(now)
	s, ok := q.services[service]
	if !ok || s.slots == 0 {
		return MaxWait
	}
	if s.canStartNow(now, c) {
		return 0
	}
	return s.estimateSlotWait(now, c, s.queue(c).work)
}

// EstimateJobWait estimates the time until the last task of a new job starts. The tasks must have
// the same team, service and class. The estimate considers the share of the team: tasks that
// other teams have queued and are expected to add start before it, but only up to the shares of
// these teams. The time it takes is proportional to the number of tasks plus the number of teams.
func (q *Queue) EstimateJobWait(now time.Time, tasks ...Task) time.Duration {
	q.advance(now)
	if len(tasks) == 0 {
		return 0
	}
	t := tasks[0]
	s, ok := q.services[t.Service]
	if !ok || s.slots == 0 {
		return MaxWait
	}
	if len(tasks) <= s.freeSlots && s.canStartNow(now, t.Class) && (t.Class != Long || len(tasks) == 1) {
		return 0
	}
	var earlierWork time.Duration // run time of the tasks of the job before its last one
	for _, x := range tasks[1:] {
		earlierWork += max(minTaskCost, x.Estimate)
	}
	c := s.queue(t.Class)
	if s.fifo {
		return s.estimateSlotWait(now, t.Class, c.work+earlierWork)
	}
	own := c.team(t.Team, q.cfg.TeamWeight)
	ownWork := (own.work + earlierWork).Seconds()
	if c.active.len() > 0 {
		// A team with a higher virtual time waits until the other teams have caught up.
		ownWork += own.weight * max(0, own.virtualTime-c.active.top().virtualTime)
	}
	for _, x := range c.teamList {
		x.decayOfferedLoad(now)
	}
	wait := s.estimateSlotWait(now, t.Class, c.work+earlierWork)
	for range maxWaitIterations {
		nextWait := s.estimateSlotWait(now, t.Class, c.workAhead(own, ownWork, wait))
		if nextWait <= wait+wait/waitToleranceDivisor {
			return nextWait
		}
		wait = nextWait
	}
	return wait
}

// workAhead returns the run time of all tasks that start before a task of the team own, if
// ownWork seconds of tasks of its own team start before it and it waits for the given time. Other
// teams contribute what they have queued and are expected to add, up to their shares. The caller has
// applied the decay to the offered load of all teams.
func (c *classQueue) workAhead(own *team, ownWork float64, within time.Duration) time.Duration {
	sum := ownWork
	for _, t := range c.teamList {
		if t != own {
			demand := t.work.Seconds() + t.offeredLoad*within.Seconds()
			sum += min(demand, ownWork*t.weight/own.weight)
		}
	}
	return time.Duration(math.Min(sum, math.MaxInt64/2/float64(time.Second)) * float64(time.Second))
}

// canStartNow reports whether a new task of the class would start immediately.
func (s *service) canStartNow(now time.Time, c Class) bool {
	if s.queue(c).tasks > 0 || s.freeSlots == 0 {
		return false
	}
	if c != Long || s.fifo {
		return true
	}
	return s.longRunning < s.longLimit() || s.canLend(now)
}

// estimateSlotWait estimates the time until a slot of the class becomes free for a task that
// starts after the given queued work.
func (s *service) estimateSlotWait(now time.Time, c Class, work time.Duration) time.Duration {
	slots, running, remaining := s.classSlots(now, c)
	mean := 0.0
	if running > 0 {
		mean = remaining / float64(running)
	}
	// When the task starts, the other slots are still running tasks, on average with the mean
	// remaining run time.
	inProgress := (slots - 1) * mean
	wait := max(0, work.Seconds()+remaining-inProgress) / slots
	return time.Duration(math.Min(wait, MaxWait.Seconds()) * float64(time.Second))
}

// classSlots returns the expected number of slots for the class, the number of tasks that run on
// them, and the remaining run time of these tasks in seconds.
func (s *service) classSlots(now time.Time, c Class) (slots float64, running int, remaining float64) {
	short, long := s.loads[Short].remaining(now), s.loads[Long].remaining(now)
	busy := s.slots - s.freeSlots
	switch {
	case s.fifo:
		return float64(s.slots), busy, short + long
	case c == Long && s.short.tasks > 0:
		// While short tasks are queued, long tasks get no new slots beyond their share.
		return float64(s.longLimit()), s.longRunning, long
	case c == Long:
		return float64(max(s.longLimit(), s.longRunning)), s.longRunning, long
	default:
		return float64(max(1, s.slots-s.longRunning)), max(0, busy-s.longRunning), short
	}
}
