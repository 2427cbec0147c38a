package generator

import (
	"slices"
	"sync"
	"time"
)

// occupancy records the times in which slots of upstreams were occupied, and by which submission.
// It is safe for concurrent use.
type occupancy struct {
	mu      sync.Mutex
	started map[string]time.Time // start times of running tasks, by upstream and task identifier
	uses    []slotUse
}

// slotUse is the period in which one task of a submission occupied a slot.
type slotUse struct {
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
	o.uses = append(o.uses, slotUse{key: key, from: from, to: now})
}

// within returns the slot time used between two times by tasks that have ended, by submission
// key.
func (o *occupancy) within(from, to time.Time) map[string]time.Duration {
	o.mu.Lock()
	uses := slices.Clone(o.uses)
	o.mu.Unlock()
	sums := map[string]time.Duration{}
	for _, u := range uses {
		start, end := u.from, u.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(start) {
			sums[u.key] += end.Sub(start)
		}
	}
	return sums
}
