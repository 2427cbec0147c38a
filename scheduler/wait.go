package scheduler

import (
	"math"
	"time"
)

// MaxWait is the estimate of Wait for a service without slots, and its upper bound.
const MaxWait = time.Hour

// Wait estimates how long a task of the class that arrives now waits for a slot: by the
// work that is queued in its class, what is left of the running tasks, and the number
// of slots for the class.
func (q *Queue) Wait(now time.Time, service string, c Class) time.Duration {
	q.advance(now)
	s, ok := q.services[service]
	if !ok || s.slots == 0 {
		return MaxWait
	}
	if s.idleFor(now, c) {
		return 0
	}
	return s.drain(now, c, s.queue(c).work)
}

// WaitFor is Wait for a certain task. A team that has queued less than its share of the
// slots waits only for its own work.
func (q *Queue) WaitFor(now time.Time, t Task) time.Duration {
	all := q.Wait(now, t.Service, t.Class)
	s, ok := q.services[t.Service]
	if !ok || s.slots == 0 || all == 0 || s.fifo {
		return all
	}
	c := s.queue(t.Class)
	own := c.team(t.Team, q.cfg.TeamWeight)
	weights := c.weights
	if !c.active.contains(own) {
		weights += own.weight
	}
	work := time.Duration(float64(own.work) * weights / own.weight)
	return min(all, s.drain(now, t.Class, work))
}

// idleFor reports whether a task of the class would start at once.
func (s *service) idleFor(now time.Time, c Class) bool {
	if s.queue(c).tasks > 0 || s.free == 0 {
		return false
	}
	if c != Long || s.fifo {
		return true
	}
	return s.longRunning < s.longLimit() || s.lends(now)
}

// drain estimates the time until a slot becomes free after the given queued work.
func (s *service) drain(now time.Time, c Class, work time.Duration) time.Duration {
	slots, running, remaining := s.capacity(now, c)
	mean := 0.0
	if running > 0 {
		mean = remaining / float64(running)
	}
	// When the task starts, the other slots are still in the middle of their tasks.
	inProgress := (slots - 1) * mean
	wait := max(0, work.Seconds()+remaining-inProgress) / slots
	return time.Duration(math.Min(wait, MaxWait.Seconds()) * float64(time.Second))
}

// capacity returns the number of slots that the class can expect, the number of tasks on
// them, and the seconds that those have left.
func (s *service) capacity(now time.Time, c Class) (slots float64, running int, remaining float64) {
	short, long := s.loads[Short].remaining(now), s.loads[Long].remaining(now)
	busy := s.slots - s.free
	switch {
	case s.fifo:
		return float64(s.slots), busy, short + long
	case c == Long:
		return float64(max(s.longLimit(), s.longRunning)), s.longRunning, long
	default:
		return float64(max(1, s.slots-s.longRunning)), max(0, busy-s.longRunning), short
	}
}
