package scheduler

import (
	"math"
	"time"
)

// pruneThreshold is the smallest number of teams at which idle teams are removed.
const pruneThreshold = 256

// offeredLoadWindow is the time constant of the average of a team's offered load. Load fluctuates
// within seconds.
const offeredLoadWindow = 2 * time.Second

// classQueue holds the queued tasks of one class of one service. Teams are ordered by
// virtual time, which grows by the cost of each task that a team starts, divided by the weight
// of the team. Jobs of a team are ordered by deadline, and tasks of a job by run time, longest
// first, so that the job as a whole ends early. Small started jobs come before this order;
// their teams are charged for them and wait longer with their later tasks.
type classQueue struct {
	fifo     bool
	teams    map[string]*team
	teamList []*team     // all teams, in a fixed order
	active   heap[*team] // teams with queued tasks
	// startedJobs holds, by deadline, the jobs that come before the order of the teams because some
	// of their tasks have started: if a job is not completed, the work on these tasks is lost.
	startedJobs heap[*group]
	virtualTime float64 // lowest one of the active teams at the latest start, in seconds
	tasks       int
	work        time.Duration // sum of the costs of the queued tasks
	pruneAt     int           // number of teams at which the next call of prune is due
}

// team is the state of one team in one classQueue.
type team struct {
	queue       *classQueue
	name        string
	weight      float64
	virtualTime float64 // in seconds
	jobs        heap[*group]
	work        time.Duration
	// offeredLoad is the cost of the tasks added per second, in seconds, averaged over
	// offeredLoadWindow.
	offeredLoad   float64
	offeredLoadAt time.Time
	// position is the index in classQueue.active plus one.
	position int
}

// group holds the queued tasks of one job in one classQueue.
type group struct {
	queue       *classQueue
	team        *team
	job         *job
	deadline    time.Time
	queuedAt    time.Time
	latestStart time.Time // of the longest task; too early once that task has been removed
	tasks       heap[*entry]
	work        time.Duration
	position    int // in team.jobs
	// startedPosition is the position in classQueue.startedJobs, expiryPosition that in Queue.expiry.
	startedPosition int
	expiryPosition  int
}

func newClassQueue(fifo bool) *classQueue {
	return &classQueue{
		fifo:  fifo,
		teams: map[string]*team{},
		active: heap[*team]{
			less: func(a, b *team) bool {
				if a.virtualTime != b.virtualTime {
					return a.virtualTime < b.virtualTime
				}
				return a.name < b.name
			},
			position: func(t *team) *int { return &t.position },
		},
		startedJobs: heap[*group]{
			less:     earlierDeadline,
			position: func(g *group) *int { return &g.startedPosition },
		},
		pruneAt: pruneThreshold,
	}
}

// head returns the next task to start, or nil.
func (c *classQueue) head() *entry {
	if c.active.len() == 0 {
		return nil
	}
	if c.startedJobs.len() > 0 {
		return c.startedJobs.top().tasks.top()
	}
	return c.active.top().jobs.top().tasks.top()
}

// team returns the state of a team, creating it if needed, and updates the weight.
func (c *classQueue) team(name string, weight func(string) float64) *team {
	if c.fifo {
		name = ""
	}
	w := 1.0
	if weight != nil && !c.fifo {
		if x := weight(name); x > 0 {
			w = x
		}
	}
	if t, ok := c.teams[name]; ok {
		t.weight = w
		return t
	}
	if len(c.teams) >= c.pruneAt {
		c.prune()
	}
	t := &team{
		queue:  c,
		name:   name,
		weight: w,
		jobs: heap[*group]{
			less:     earlierDeadline,
			position: func(g *group) *int { return &g.position },
		},
	}
	if c.fifo {
		t.jobs.less = earlierQueued
	}
	c.teams[name] = t
	c.teamList = append(c.teamList, t)
	return t
}

// prune removes idle teams, except for those whose virtual time is ahead of that of the queue: a
// team that is added again starts at the virtual time of the queue. The cost is amortised over
// the teams added since the last call.
func (c *classQueue) prune() {
	kept := c.teamList[:0]
	for _, t := range c.teamList {
		if t.jobs.len() == 0 && t.virtualTime <= c.virtualTime {
			delete(c.teams, t.name)
		} else {
			kept = append(kept, t)
		}
	}
	clear(c.teamList[len(kept):])
	c.teamList = kept
	c.pruneAt = max(pruneThreshold, 2*len(c.teams))
}

// earlierDeadline orders jobs by deadline; jobs without one come last. Ties are broken by the time
// of queueing and the job identifier, so that a task passed to Requeue gets its old position.
func earlierDeadline(a, b *group) bool {
	switch {
	case a.deadline.Equal(b.deadline):
		return earlierQueued(a, b)
	case a.deadline.IsZero() || b.deadline.IsZero():
		return b.deadline.IsZero()
	default:
		return a.deadline.Before(b.deadline)
	}
}

func earlierQueued(a, b *group) bool {
	if !a.queuedAt.Equal(b.queuedAt) {
		return a.queuedAt.Before(b.queuedAt)
	}
	return a.job.id < b.job.id
}

func longerTask(a, b *entry) bool {
	if x, y := a.task.conservativeRunTime(), b.task.conservativeRunTime(); x != y {
		return x > y
	}
	return a.task.Index < b.task.Index
}

// insert queues a task and returns its group, with updated deadline and latest start.
func (c *classQueue) insert(e *entry, weight func(string) float64) *group {
	t := c.team(e.task.Team, weight)
	g := e.job.group(c, t)
	if g == nil {
		g = &group{
			queue:    c,
			team:     t,
			job:      e.job,
			deadline: e.task.Deadline,
			queuedAt: e.task.QueuedAt,
			tasks: heap[*entry]{
				less:     longerTask,
				position: func(e *entry) *int { return &e.position },
			},
		}
		e.job.groups = append(e.job.groups, g)
		t.jobs.push(g)
	} else if g.merge(e.task) {
		t.jobs.fix(g)
		if c.startedJobs.contains(g) {
			c.startedJobs.fix(g)
		}
	}
	e.group = g
	g.tasks.push(e)
	g.updateLatestStart()
	g.work += e.cost
	t.work += e.cost
	c.work += e.cost
	c.tasks++
	if !c.active.contains(t) {
		t.virtualTime = max(t.virtualTime, c.virtualTime)
		c.active.push(t)
	}
	return g
}

// addOfferedLoad adds the cost of a queued task to the average.
func (t *team) addOfferedLoad(now time.Time, cost time.Duration) {
	t.decayOfferedLoad(now)
	t.offeredLoad += cost.Seconds() / offeredLoadWindow.Seconds()
}

// decayOfferedLoad applies the decay of the average up to the given time.
func (t *team) decayOfferedLoad(now time.Time) {
	elapsed := now.Sub(t.offeredLoadAt)
	if elapsed <= 0 {
		return
	}
	t.offeredLoadAt = now
	if t.offeredLoad > 0 {
		t.offeredLoad *= math.Exp(-elapsed.Seconds() / offeredLoadWindow.Seconds())
	}
}

// merge applies an earlier deadline or time of queueing of a task and reports whether the group
// has changed.
func (g *group) merge(t Task) bool {
	changed := false
	if !t.Deadline.IsZero() && (g.deadline.IsZero() || t.Deadline.Before(g.deadline)) {
		g.deadline = t.Deadline
		changed = true
	}
	if t.QueuedAt.Before(g.queuedAt) {
		g.queuedAt = t.QueuedAt
		changed = true
	}
	return changed
}

// updateLatestStart recomputes the latest start from the first task, which has the longest run time.
func (g *group) updateLatestStart() {
	g.latestStart = g.deadline.Add(-g.tasks.top().task.conservativeRunTime())
}

func (j *job) group(c *classQueue, t *team) *group {
	for _, g := range j.groups {
		if g.queue == c && g.team == t {
			return g
		}
	}
	return nil
}

// remove removes a task, and its group if that is then empty.
func (c *classQueue) remove(e *entry) {
	g := e.group
	if g.tasks.len() == 1 {
		c.removeGroup(g)
		return
	}
	g.tasks.remove(e)
	g.work -= e.cost
	g.team.work -= e.cost
	c.work -= e.cost
	c.tasks--
	e.group = nil
}

// removeGroup removes a group with all its tasks. The tasks stay in the heap of the group for the
// caller.
func (c *classQueue) removeGroup(g *group) {
	t := g.team
	t.jobs.remove(g)
	c.startedJobs.remove(g)
	t.work -= g.work
	c.work -= g.work
	c.tasks -= g.tasks.len()
	for _, e := range g.tasks.items {
		e.group = nil
		e.position = 0
	}
	g.job.removeGroup(g)
	if t.jobs.len() == 0 {
		c.active.remove(t)
	}
}

// charge adds run time to the virtual time of a team. A negative run time is a refund.
func (t *team) charge(d time.Duration) {
	if t.queue.fifo {
		return
	}
	t.virtualTime += d.Seconds() / t.weight
	if t.queue.active.contains(t) {
		t.queue.active.fix(t)
	}
}
