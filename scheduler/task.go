package scheduler

import (
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/estimator"
)

// Class is the class of a task by its run time.
type Class = estimator.Class

// The classes of tasks.
const (
	Short = estimator.Short
	Long  = estimator.Long
)

// overdueFactor is the multiple of the estimate after which a task without LongThreshold is
// overdue. Half of all tasks run longer than a median, so the factor is above 1.
const overdueFactor = 3

// minTaskCost is the lowest cost that a team is charged for a task. Without it, a team whose
// tasks have no estimate would never use up its share.
const minTaskCost = time.Millisecond

// Task is one task of a job.
type Task struct {
	// ID is unique among the queued and running tasks of a Queue.
	ID string
	// Job is the identifier of the job; if it is empty, the task is a job of its own.
	Job string
	// Index is the position of the task in the job.
	Index               int
	Team, Service, Kind string
	// Class is treated as Short unless it is Long.
	Class Class
	// Deadline is the time after which the answer is useless; the zero time means no deadline.
	// The earliest deadline of the tasks of a job applies to all of them.
	Deadline time.Time
	// Estimate is the expected run time.
	Estimate time.Duration
	// P95 is the 95th percentile of the run time. Expire uses it instead of Estimate if it is
	// larger.
	P95 time.Duration
	// LongThreshold is the run time after which Queue.Overdue returns a short task; 3 times the
	// estimate if it is not above zero. A task with neither is never overdue.
	LongThreshold time.Duration
	// Unclassified means that the run time of the kind is unknown. Until ClassifyKind is called,
	// one task of the kind is short and all its other queued and running tasks are long.
	Unclassified bool
	// Demand is the part of the upstream's capacity that the task uses, in addition to a slot.
	Demand sesamedrift.Resources
	// JobStarted means that another task of the job has been started or removed by Take.
	JobStarted bool
	// QueuedAt is the time at which the task was first queued; Add sets it if it is zero.
	QueuedAt time.Time
}

// conservativeRunTime returns the run time with which Expire decides whether the task can meet
// its deadline.
func (t *Task) conservativeRunTime() time.Duration { return max(t.Estimate, t.P95) }

// Assignment is the start of a task on an upstream, as decided by Next.
type Assignment struct {
	Task     Task
	Upstream string
}

// RunningTask is a task that runs, with its upstream and start time.
type RunningTask struct {
	Task      Task
	Upstream  string
	StartedAt time.Time
}

// FullError reports that no tasks were added because the queue would exceed its limit.
type FullError struct {
	// Service is empty if the limit is that of the whole Queue.
	Service                 string
	Queued, Added, MaxTasks int
}

// Error states the limit and the numbers of queued and of added tasks.
func (e *FullError) Error() string {
	queue := "queue"
	if e.Service != "" {
		queue = fmt.Sprintf("queue of service %q", e.Service)
	}
	return fmt.Sprintf("%s holds %d of at most %d tasks: no room for %d more", queue, e.Queued, e.MaxTasks, e.Added)
}

// DuplicateError reports that no tasks were added because one of them is already queued or
// running.
type DuplicateError struct {
	ID string
}

// Error includes the identifier of the task.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("task %q is already queued or running", e.ID)
}

// entry is a task that is queued (group is set) or running (upstream is set).
type entry struct {
	task     Task
	cost     time.Duration // estimated run time that the team is charged
	job      *job
	group    *group
	upstream *upstream
	// position is the heap position in the group while queued, in Queue.timeline while running.
	position int

	// The fields below are for running tasks.
	startedAt        time.Time
	expectedEnd      time.Time // start time plus estimate
	overdueAt        time.Time // start time plus long threshold; zero if there is none
	nextChange       time.Time // time of the next state change that advance applies
	pastEstimate     bool
	occupied         bool // added by Occupy, without a job or team
	team             *team
	jobPosition      int
	upstreamPosition int
	overduePosition  int
}

func (e *entry) running() RunningTask {
	return RunningTask{
		Task:      e.task,
		Upstream:  e.upstream.ID,
		StartedAt: e.startedAt,
	}
}

// job holds the queued and running tasks of one job.
type job struct {
	id      string
	size    int      // number of added tasks
	started bool     // a task has been started or removed by Take
	groups  []*group // queued tasks, one group for each classQueue and team
	running []*entry
}

// isSingleTask reports whether e is the only task of the job that this Queue has received. A task
// with an index above 0 belongs to a larger job, of which another host may have the other tasks.
func (j *job) isSingleTask(e *entry) bool { return j.size == 1 && e.task.Index == 0 }

func (j *job) addRunning(e *entry) {
	e.jobPosition = len(j.running)
	j.running = append(j.running, e)
}

func (j *job) removeRunning(e *entry) {
	last := len(j.running) - 1
	moved := j.running[last]
	j.running[e.jobPosition] = moved
	moved.jobPosition = e.jobPosition
	j.running[last] = nil
	j.running = j.running[:last]
}

func (j *job) removeGroup(g *group) {
	for i, x := range j.groups {
		if x == g {
			j.groups = append(j.groups[:i], j.groups[i+1:]...)
			return
		}
	}
}
