// Package sequencer is the simulated time of the emulator and the replayer: what is to happen
// is done in the order of its time, and in the order in which it was planned if the times are
// equal, so that a play is the same each time.
//
// A Sequencer is not safe for concurrent use. Its zero value is ready, at time 0.
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

// Push adds an event; it is called by package heap.
func (e *events) Push(x any) {
	v, ok := x.(event)
	if !ok {
		panic("sequencer: only events are pushed")
	}
	*e = append(*e, v)
}

// Pop removes the last event; it is called by package heap.
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// Sequencer holds what is to happen.
type Sequencer struct {
	now   time.Duration
	queue events
	seq   int
}

// Now returns the time since the beginning.
func (s *Sequencer) Now() time.Duration { return s.now }

// At does something at a time after the beginning, or now if that has passed.
func (s *Sequencer) At(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{
		at:  max(s.now, at),
		seq: s.seq,
		do:  do,
	})
}

// After does something after a time.
func (s *Sequencer) After(d time.Duration, do func()) { s.At(s.now+d, do) }

// Every does something again and again, with a time before each.
func (s *Sequencer) Every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.After(d, again)
	}
	s.After(d, again)
}

// Run lets time pass until the given time after the beginning.
func (s *Sequencer) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e, ok := heap.Pop(&s.queue).(event)
		if !ok {
			panic("sequencer: only events are queued")
		}
		s.now = e.at
		e.do()
	}
	s.now = until
}
