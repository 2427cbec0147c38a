package generator

import (
	"slices"
	"sync"
	"time"
)

// occupancy records when slots of upstreams were in use, and by which submission. It is
// safe for concurrent use.
type occupancy struct {
	mu      sync.Mutex
	started map[string]time.Time // running tasks, by upstream and task identifier
	uses    []use
}

// use is the time for which one task held a slot.
type use struct {
	key      string
	from, to time.Time
}

func newOccupancy() *occupancy { return &occupancy{started: map[string]time.Time{}} }

func (o *occupancy) start(now time.Time, upstream, taskID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started[upstream+" "+taskID] = now
}

func (o *occupancy) end(now time.Time, upstream, taskID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := upstream + " " + taskID
	from, ok := o.started[id]
	if !ok {
		return
	}
	delete(o.started, id)
	key, _, _ := splitTask(taskID)
	o.uses = append(o.uses, use{key: key, from: from, to: now})
}

// within returns the slot time between two times, by submission.
func (o *occupancy) within(from, to time.Time) map[string]time.Duration {
	o.mu.Lock()
	uses := slices.Clone(o.uses)
	o.mu.Unlock()
	sums := map[string]time.Duration{}
	for _, u := range uses {
		first, last := u.from, u.to
		if first.Before(from) {
			first = from
		}
		if last.After(to) {
			last = to
		}
		if last.After(first) {
			sums[u.key] += last.Sub(first)
		}
	}
	return sums
}
