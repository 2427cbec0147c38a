package placer

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

// Upstream describes an upstream. WorkerType and Rack are those of the worker on which it runs; a
// task may require either.
type Upstream struct {
	ID         string
	Service    string
	WorkerType string
	Rack       string
	Capacity   sesamedrift.Resources
	// ColdUntil is the time until which the upstream is slow after its failure domain was taken back into
	// service; zero for one that is not. It gets one task at a time, and warm upstreams come first.
	ColdUntil time.Time
}

// Job is a job with tasks to be placed.
type Job struct {
	ID string
	// Entry is the address of the entry host that tracks the job. Jobs with the same identifier on
	// two hosts are two jobs.
	Entry   string
	Queue   string
	Service string
	// Priority orders jobs with the same latest start, lower values first.
	Priority int
	// The objective is a latency of SlackFactor times the estimated run time of the job, plus
	// TargetLatency.
	SlackFactor   float64
	TargetLatency time.Duration
	Arrived       time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// RemainingTime is the estimated run time of the steps that follow the waiting tasks.
	RemainingTime time.Duration
	// Started is set if other tasks of the job run or have run.
	Started bool
	// Forwarded is set if another placer has forwarded the job. It is not forwarded again.
	Forwarded bool
	Tasks     []Task
}

// Task is a task to be placed.
type Task struct {
	Run    sesamedrift.Run
	Demand sesamedrift.Resources
	// Estimate is the run time that the caller expects; 0 if it gives none.
	Estimate time.Duration
	// Requires is the worker type or the rack on which the task must run, or empty.
	Requires string
	// Rack is the rack with the data of the step, or empty. It does not affect the placement.
	Rack string
	// MaxPerUpstream bounds the number of tasks of the step on one upstream; 0 means no bound.
	MaxPerUpstream int
	// Avoid is an upstream on which the task is not placed again, or empty.
	Avoid string
}
