package scheduler

import (
	"maps"
	"slices"
	"time"
)

// unclassifiedKind holds the queued and running tasks of a kind whose run time is unknown. One of
// them, the sample, has the class Short, so that a short kind is classified soon. The others have the
// class Long until ClassifyKind: if they were short, a kind with a long run time would fill every
// slot before its first task is overdue.
type unclassifiedKind struct {
	sample *entry          // nil if there is none
	others map[string]bool // identifiers of the other tasks
}

// kindName identifies a kind of a service.
type kindName struct {
	service, kind string
}

// assignClass sets the class of a new task whose kind is unclassified. It has no effect under the
// FIFO policies.
func (q *Queue) assignClass(e *entry) {
	if !e.task.Unclassified || q.cfg.Policy != FairShare {
		return
	}
	name := kindName{service: e.task.Service, kind: e.task.Kind}
	u := q.unclassified[name]
	if u == nil {
		u = &unclassifiedKind{others: map[string]bool{}}
		q.unclassified[name] = u
	}
	if e.task.Class == Short && u.sample == nil {
		u.sample = e
		return
	}
	u.others[e.task.ID] = true
	e.task.Class = Long
}

// removeTask deletes a task that is no longer queued or running from Queue.tasks and
// Queue.unclassified.
func (q *Queue) removeTask(e *entry) {
	delete(q.tasks, e.task.ID)
	if !e.task.Unclassified {
		return
	}
	name := kindName{service: e.task.Service, kind: e.task.Kind}
	u := q.unclassified[name]
	if u == nil {
		return
	}
	delete(u.others, e.task.ID)
	if u.sample == e {
		u.sample = nil
	}
	if u.sample == nil && len(u.others) == 0 {
		delete(q.unclassified, name)
	}
}

// Unclassified reports whether the Queue holds tasks of the kind that were added with
// Task.Unclassified, and ClassifyKind has not been called since.
func (q *Queue) Unclassified(service, kind string) bool {
	return q.unclassified[kindName{service: service, kind: kind}] != nil
}

// ClassifyKind sets the class of the tasks of an unclassified kind, except for the sample task, which
// keeps its class.
func (q *Queue) ClassifyKind(now time.Time, service, kind string, c Class) {
	name := kindName{service: service, kind: kind}
	u := q.unclassified[name]
	if u == nil {
		return
	}
	delete(q.unclassified, name)
	for _, id := range slices.Sorted(maps.Keys(u.others)) {
		q.Reclassify(now, id, c)
	}
}
