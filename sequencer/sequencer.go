// Package sequencer is a discrete-event scheduler, which provides the simulated time of the emulator
// and the replayer. Events run one at a time in the order of their time, and events of the same time
// in the order in which they were scheduled, so that a simulation is deterministic.
package sequencer

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. Only package heap calls it.
func (e *events) Push(x any) {
	v, ok := x.(event)
	if !ok {
		panic("sequencer: push of a value that is not an event")
	}
	*e = append(*e, v)
}

// Pop removes and returns the last event. Only package heap calls it.
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// Sequencer is a simulated clock with a queue of scheduled events. Its zero value is ready to use,
// at time 0. It is not safe for concurrent use; events may schedule further events.
type Sequencer struct {
	now   time.Duration
	queue events
	seq   int
}

// Now returns the simulated time since the start.
func (s *Sequencer) Now() time.Duration { return s.now }

// At schedules do to run at the given time since the start, or at the current time if that is later.
// Either way it runs during Run, after the events that are already scheduled for that time.
func (s *Sequencer) At(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{
		at:  max(s.now, at),
		seq: s.seq,
		do:  do,
	})
}

// After schedules do to run when d has passed.
func (s *Sequencer) After(d time.Duration, do func()) { s.At(s.now+d, do) }

// Every schedules do to run repeatedly at the interval d, for the first time when d has passed.
func (s *Sequencer) Every(d time.Duration, do func()) {
	var repeat func()
	repeat = func() {
		do()
		s.After(d, repeat)
	}
	s.After(d, repeat)
}

// Run runs all events that are due up to and including the given time since the start, and then sets
// the clock to that time. Later events stay scheduled.
func (s *Sequencer) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e, ok := heap.Pop(&s.queue).(event)
		if !ok {
			panic("sequencer: the queue holds a value that is not an event")
		}
		s.now = e.at
		e.do()
	}
	s.now = until
}
