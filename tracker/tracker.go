// Package tracker implements the state machine of one job on its entry host, the host to which the
// caller is connected.
//
// A Tracker decides which tasks need a placement, how the result of a run affects its task, and
// when the job has ended. A task needs a placement once all tasks of the steps on which its step
// depends are done, and again after each run that ended without success, until the task has failed
// as often as the queue allows. A Tracker does no I/O, reads no clock and is not safe for concurrent
// use.
package tracker

import (
	"fmt"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// staleRunStride is added to the number of a run that an upstream has rejected as stale. Before this
// job arrived, another host may have run the task with numbers up to an unknown one.
const staleRunStride = 100

// Job is a job as the caller has sent it, with the settings of its queue.
type Job struct {
	ID string
	// RequestID identifies the caller's request in the logs; it may be empty.
	RequestID string
	Queue     string
	Service   string
	// Priority orders jobs; those with priority 0 come first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails; at least 1.
	MaxAttempts int
	// SlackFactor and TargetLatency define the objective for the time from the arrival to the end of
	// the job: SlackFactor times its longest chain of dependent tasks, plus TargetLatency.
	SlackFactor   float64
	TargetLatency time.Duration
	// Content is sent to the upstreams that run the tasks.
	Content string
	Steps   []Step
	Arrived time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// Step is a group of tasks with the same demand, estimate and requirements.
type Step struct {
	TaskCount int                   `msgpack:"tasks"`
	Demand    sesamedrift.Resources `msgpack:"demand"`
	// Estimate is the run time of a task as estimated by the caller.
	Estimate time.Duration `msgpack:"estimate"`
	// DependsOn lists the indexes of earlier steps, all of whose tasks must be done first.
	DependsOn []int `msgpack:"after,omitempty"`
	// Requires is a label that the upstream must have, or empty.
	Requires string `msgpack:"requires,omitempty"`
	// Rack is the rack that stores the data of the step, or empty.
	Rack string `msgpack:"rack,omitempty"`
	// MaxPerUpstream limits the tasks of the step that run on one upstream; 0 means no limit.
	MaxPerUpstream int `msgpack:"per-upstream,omitempty"`
}

// Outcome is the way in which a job has ended.
type Outcome string

// The outcomes of jobs.
const (
	// Complete means that all tasks are done.
	Complete Outcome = "complete"
	// Failed means that a task has failed Job.MaxAttempts times.
	Failed Outcome = "failed"
	// NotRun means that the job was refused and that none of its tasks can have started.
	NotRun Outcome = "not-run"
	// Lost means that the job could not be finished. Some of its tasks may have run.
	Lost Outcome = "lost"
	// Expired means that the caller's deadline has passed.
	Expired Outcome = "expired"
	// Abandoned means that the caller disconnected, cancelled the job or sent it to another host.
	Abandoned Outcome = "abandoned"
)

// Location is the upstream of a run and the leaseholder of this upstream.
type Location struct {
	Upstream string
	// Leaseholder is the address of the host that holds the upstream.
	Leaseholder string
}

// PendingTask is a task that needs a placement.
type PendingTask struct {
	Run  sesamedrift.Run
	Step int
	// Avoid is the upstream of the last run of the task, which ended without success, or empty.
	Avoid string
}

// ActiveRun is a run that has a placement and has not ended.
type ActiveRun struct {
	Run      sesamedrift.Run
	Location Location
	Step     int
}

type phase int

const (
	taskBlocked phase = iota // depends on steps that are not done
	taskPending              // needs a placement
	taskActive               // has a placement
	taskDone
)

type task struct {
	id        sesamedrift.TaskID
	step      int
	phase     phase
	runNumber int // number of the last run
	failures  int
	location  Location
	avoid     string
}

func (t *task) currentRun() sesamedrift.Run {
	return sesamedrift.Run{
		Task:   t.id,
		Number: t.runNumber,
	}
}

// Tracker is the state of one job.
type Tracker struct {
	Job Job

	// tasks holds the tasks in the order of steps and indexes, firstTask the index of the first task of each step.
	tasks     []*task
	firstTask []int
	// remaining is the number of tasks that are not done, by step.
	remaining []int
	// remainingTimes holds the results of RemainingTime by step.
	remainingTimes []time.Duration
	// placements is the number of runs that have been placed.
	placements int
	// started is set by MarkStarted, and once a run that may have started has ended.
	started bool
	ended   bool
	outcome Outcome
	reason  string
}

// New returns the Tracker of a job. The steps of the job must depend on earlier steps only. In the steps of the Tracker
// each list of dependencies is sorted and names a step once, so that it is not longer than the list of steps.
func New(j Job) *Tracker {
	j.Steps = normalizeSteps(j.Steps)
	t := &Tracker{
		Job:            j,
		firstTask:      make([]int, len(j.Steps)),
		remaining:      make([]int, len(j.Steps)),
		remainingTimes: remainingTimes(j.Steps),
	}
	for s, step := range j.Steps {
		t.firstTask[s] = len(t.tasks)
		t.remaining[s] = step.TaskCount
		for i := range step.TaskCount {
			t.tasks = append(t.tasks, &task{
				id: sesamedrift.TaskID{
					Job:   j.ID,
					Step:  s,
					Index: i,
				},
				step: s,
			})
		}
	}
	t.unblock()
	return t
}

// normalizeSteps returns the steps with sorted lists of dependencies that name each step once.
func normalizeSteps(steps []Step) []Step {
	normalized := slices.Clone(steps)
	for s := range normalized {
		normalized[s].DependsOn = normalizeDependencies(s, steps[s].DependsOn)
	}
	return normalized
}

func normalizeDependencies(step int, dependsOn []int) []int {
	named := make([]bool, step)
	for _, earlier := range dependsOn {
		if earlier < 0 || earlier >= step {
			panic(fmt.Sprintf("tracker: step %d depends on step %d, which is not an earlier one", step, earlier))
		}
		named[earlier] = true
	}
	var normalized []int
	for earlier, depends := range named {
		if depends {
			normalized = append(normalized, earlier)
		}
	}
	return normalized
}

// remainingTimes returns the estimated time from the end of each step to the end of the job. Each dependency is
// visited once, after those of all steps that follow the dependent step.
func remainingTimes(steps []Step) []time.Duration {
	times := make([]time.Duration, len(steps))
	for later, step := range slices.Backward(steps) {
		for _, earlier := range step.DependsOn {
			times[earlier] = max(times[earlier], step.Estimate+times[later])
		}
	}
	return times
}

// unblock makes the blocked tasks pending whose step no longer depends on unfinished steps.
func (t *Tracker) unblock() {
	for s, step := range t.Job.Steps {
		first := t.firstTask[s]
		if step.TaskCount == 0 || t.tasks[first].phase != taskBlocked || !t.stepReady(s) {
			continue
		}
		for _, k := range t.tasks[first : first+step.TaskCount] {
			k.phase = taskPending
			k.runNumber = 1
		}
	}
}

func (t *Tracker) stepReady(step int) bool {
	for _, earlier := range t.Job.Steps[step].DependsOn {
		if t.remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

// PendingTasks returns the tasks that need a placement now, in the order of steps and indexes. It
// returns none once the job has ended.
func (t *Tracker) PendingTasks() []PendingTask {
	if t.ended {
		return nil
	}
	var pending []PendingTask
	for _, k := range t.tasks {
		if k.phase == taskPending {
			pending = append(pending, PendingTask{
				Run:   k.currentRun(),
				Step:  k.step,
				Avoid: k.avoid,
			})
		}
	}
	return pending
}

// RemainingTime returns the estimated time from the end of a step to the end of the job: the run
// time of the longest chain of steps that depend on it.
func (t *Tracker) RemainingTime(step int) time.Duration { return t.remainingTimes[step] }

// ActiveRuns returns the runs that have a placement and have not ended, in the order of steps and
// indexes.
func (t *Tracker) ActiveRuns() []ActiveRun {
	var all []ActiveRun
	for _, k := range t.tasks {
		if k.phase == taskActive {
			all = append(all, ActiveRun{
				Run:      k.currentRun(),
				Location: k.location,
				Step:     k.step,
			})
		}
	}
	return all
}

// find returns the task whose current run is the given one, or nil.
func (t *Tracker) find(run sesamedrift.Run) *task {
	step := run.Task.Step
	if step < 0 || step >= len(t.firstTask) || run.Task.Index < 0 || run.Task.Index >= t.Job.Steps[step].TaskCount {
		return nil
	}
	k := t.tasks[t.firstTask[step]+run.Task.Index]
	if k.id != run.Task || k.runNumber != run.Number {
		return nil
	}
	return k
}

// Place records the placement of a run. It reports false if the run needs none any more; the caller
// then releases the placement.
func (t *Tracker) Place(run sesamedrift.Run, p Location) bool {
	k := t.find(run)
	if t.ended || k == nil || k.phase != taskPending {
		return false
	}
	k.phase = taskActive
	k.location = p
	t.placements++
	return true
}

// Leaseholder returns the address of the host that holds the upstream of an active run, or "" if
// the run is not active.
func (t *Tracker) Leaseholder(run sesamedrift.Run) string {
	if k := t.find(run); k != nil && k.phase == taskActive {
		return k.location.Leaseholder
	}
	return ""
}

// SetLeaseholder records the host that now holds an upstream. It returns the active runs on this
// upstream if their leaseholder has changed.
func (t *Tracker) SetLeaseholder(upstream, holder string) []ActiveRun {
	var moved []ActiveRun
	for _, k := range t.tasks {
		if k.phase == taskActive && k.location.Upstream == upstream && k.location.Leaseholder != holder {
			k.location.Leaseholder = holder
			moved = append(moved, ActiveRun{
				Run:      k.currentRun(),
				Location: k.location,
				Step:     k.step,
			})
		}
	}
	return moved
}

// RunEnded records the end of a run. It ignores runs that are not the current run of an active task.
// Unless the run succeeded or the job has ended, the task then needs a placement for its next run.
func (t *Tracker) RunEnded(run sesamedrift.Run, result leaseholder.RunResult, reason leaseholder.Reason) {
	k := t.find(run)
	if t.ended || k == nil || k.phase != taskActive {
		return
	}
	// A run that is rejected as stale has not started itself, but one for an earlier submission of the job may have.
	t.started = t.started || result != leaseholder.Rejected || reason == leaseholder.StaleRun
	switch result {
	case leaseholder.Done:
		k.phase = taskDone
		t.remaining[k.step]--
		if t.remaining[k.step] == 0 {
			t.unblock()
			t.finishIfDone()
		}
		return
	case leaseholder.Failed:
		k.failures++
		k.avoid = k.location.Upstream
		if k.failures >= t.Job.MaxAttempts {
			t.Finish(Failed, "task "+k.id.String()+" has failed "+plural(k.failures, "time"))
			return
		}
	case leaseholder.Rejected:
		if reason == leaseholder.StaleRun {
			k.runNumber += staleRunStride
		}
		k.avoid = k.location.Upstream
	case leaseholder.Stopped, leaseholder.LeaseExpired, leaseholder.Broken, leaseholder.Alone, leaseholder.Lost:
		k.avoid = k.location.Upstream
	}
	k.runNumber++
	k.phase = taskPending
}

func (t *Tracker) finishIfDone() {
	for _, n := range t.remaining {
		if n > 0 {
			return
		}
	}
	t.Finish(Complete, "")
}

// Refuse ends a job whose tasks get no placement. The outcome is NotRun if none of them can have
// started, and Lost otherwise.
func (t *Tracker) Refuse(reason string) {
	if t.Started() {
		t.Finish(Lost, reason)
		return
	}
	t.Finish(NotRun, reason)
}

// Finish ends the job with an outcome and its reason, unless it has ended already.
func (t *Tracker) Finish(o Outcome, reason string) {
	if t.ended {
		return
	}
	t.ended = true
	t.outcome = o
	t.reason = reason
}

// Outcome returns the outcome of the job and its reason. Both are empty until the job has ended.
func (t *Tracker) Outcome() (o Outcome, reason string, ended bool) {
	return t.outcome, t.reason, t.ended
}

// RunCount returns the number of runs that have been placed.
func (t *Tracker) RunCount() int { return t.placements }

// MarkStarted records that tasks of the job may have run under another Tracker, so that Started
// reports true.
func (t *Tracker) MarkStarted() { t.started = true }

// Started reports whether any task may have started.
func (t *Tracker) Started() bool {
	if t.started {
		return true
	}
	for _, k := range t.tasks {
		if k.phase == taskActive {
			return true
		}
	}
	return false
}
