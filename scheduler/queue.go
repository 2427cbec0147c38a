package scheduler

import "time"

// Add queues all of the tasks, or none of them and returns a *FullError or *DuplicateError.
// Tasks of the same service must be adjacent in the slice.
func (q *Queue) Add(now time.Time, tasks []Task) error {
	q.advance(now)
	if err := q.checkLimits(tasks); err != nil {
		return err
	}
	entries := make([]entry, len(tasks))
	for i, t := range tasks {
		if _, known := q.tasks[t.ID]; known {
			for _, added := range tasks[:i] {
				delete(q.tasks, added.ID)
			}
			return &DuplicateError{ID: t.ID}
		}
		entries[i].task = t
		q.tasks[t.ID] = &entries[i]
	}
	for i := range entries {
		e := &entries[i]
		if e.task.QueuedAt.IsZero() {
			e.task.QueuedAt = now
		}
		q.admit(e)
		e.group.team.addOfferedLoad(now, e.cost)
		if e.task.Class == Short {
			q.service(e.task.Service).arrivals.add(now, 1)
		}
	}
	return nil
}

// checkLimits returns a *FullError if adding the tasks would exceed a limit.
func (q *Queue) checkLimits(tasks []Task) error {
	if q.queued+len(tasks) > q.cfg.MaxTasks {
		return &FullError{
			Queued:   q.queued,
			Added:    len(tasks),
			MaxTasks: q.cfg.MaxTasks,
		}
	}
	added := 0
	for i, t := range tasks {
		if i > 0 && t.Service != tasks[i-1].Service {
			added = 0
		}
		added++
		s, ok := q.services[t.Service]
		if ok && s.maxTasks > 0 && s.queued()+added > s.maxTasks {
			return &FullError{
				Service:  t.Service,
				Queued:   s.queued(),
				Added:    len(tasks),
				MaxTasks: s.maxTasks,
			}
		}
	}
	return nil
}

// admit sets the class and the cost of a new entry, adds it to its job and queues it.
func (q *Queue) admit(e *entry) {
	if e.task.Class != Long {
		e.task.Class = Short
	}
	q.assignClass(e)
	e.cost = max(minTaskCost, e.task.Estimate)
	name := e.task.Job
	if name == "" {
		name = e.task.ID
	}
	j, ok := q.jobs[name]
	if !ok {
		j = &job{id: name}
		q.jobs[name] = j
	}
	j.size++
	j.started = j.started || e.task.JobStarted
	e.job = j
	q.queued++
	q.enqueue(e)
}

func (q *Queue) enqueue(e *entry) {
	s := q.service(e.task.Service)
	g := s.queue(e.task.Class).insert(e, q.cfg.TeamWeight)
	if e.job.started {
		s.prioritise(g)
	}
	switch {
	case g.deadline.IsZero():
	case q.expiry.contains(g):
		q.expiry.fix(g)
	default:
		q.expiry.push(g)
	}
}

// removeExpiryIfEmpty removes a group from Queue.expiry if its last task has been removed.
func (q *Queue) removeExpiryIfEmpty(g *group) {
	if g.position == 0 {
		q.expiry.remove(g)
	}
}

// Cancel removes and returns the queued tasks of a job, and returns its running tasks as well.
// These keep their slots until Done. The time it takes is proportional to the number of tasks of
// the job.
func (q *Queue) Cancel(now time.Time, jobID string) (queued []Task, running []RunningTask) {
	q.advance(now)
	j, ok := q.jobs[jobID]
	if !ok {
		return nil, nil
	}
	queued = q.removeQueued(j, nil)
	for _, e := range j.running {
		running = append(running, e.running())
	}
	return queued, running
}

// removeQueued removes the queued tasks of a job and appends them to tasks.
func (q *Queue) removeQueued(j *job, tasks []Task) []Task {
	for len(j.groups) > 0 {
		g := j.groups[0]
		g.queue.removeGroup(g)
		q.expiry.remove(g)
		for _, e := range g.tasks.items {
			tasks = append(tasks, e.task)
			q.removeTask(e)
			q.queued--
		}
	}
	q.removeJobIfFinished(j)
	return tasks
}

// Expire removes and returns the queued tasks that can no longer meet their deadlines, given the
// larger of Estimate and P95, and the other queued tasks of the same jobs, since a job is complete
// only with all its tasks. Running tasks of these jobs stay until Done; Cancel returns them.
func (q *Queue) Expire(now time.Time) []Task {
	q.advance(now)
	var expired []Task
	for q.expiry.len() > 0 {
		g := q.expiry.top()
		if !g.latestStart.Before(now) {
			break
		}
		// The task with the longest run time may have started since the last update.
		g.updateLatestStart()
		if !g.latestStart.Before(now) {
			q.expiry.fix(g)
			continue
		}
		expired = q.removeQueued(g.job, expired)
	}
	return expired
}

// Take removes and returns the next tasks of the service, at most n, so that another host can run
// them. While short tasks are queued, long tasks are removed in proportion to LongShare. In any
// case, at most max(1, LongShare * n) of the removed tasks are long.
func (q *Queue) Take(now time.Time, service string, n int) []Task {
	q.advance(now)
	s, ok := q.services[service]
	if !ok || n <= 0 {
		return nil
	}
	maxLong := max(1, int(float64(n)*s.longShare))
	var tasks []Task
	for len(tasks) < n {
		e, long := s.heads()
		if long != nil && maxLong > 0 && (e == nil || s.credit >= long.cost) {
			e = long
			maxLong--
		}
		if e == nil {
			break
		}
		s.updateCredit(e)
		q.dequeue(e)
		e.task.JobStarted = e.job.started
		s.markStarted(e.job)
		q.removeTask(e)
		q.removeJobIfFinished(e.job)
		tasks = append(tasks, e.task)
	}
	return tasks
}

// Requeue queues a task again that Take removed, at its old position within its team, and refunds
// the team. It ignores the limits of the queue, because the task was added before. It reports false
// if the task is already queued or running.
func (q *Queue) Requeue(now time.Time, t Task) bool {
	q.advance(now)
	if _, known := q.tasks[t.ID]; known {
		return false
	}
	e := &entry{task: t}
	q.tasks[t.ID] = e
	q.admit(e)
	e.group.team.charge(-e.cost)
	return true
}
