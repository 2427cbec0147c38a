package placer

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

// Placement is a run and the upstream on which it is placed.
type Placement struct {
	Run      sesamedrift.Run
	Upstream string
}

// Decision is a decision about a job, or an Ejection. Exactly one of Placements, ForwardTo,
// Refused, Stop, Ejection and Superseded is set.
type Decision struct {
	Job   string
	Entry string
	// Placements are the placements of some or all of the waiting tasks.
	Placements []Placement
	// Waited is how long the job has waited, and RemainingTasks how many of its tasks still wait.
	// They are set with Placements.
	Waited         time.Duration
	RemainingTasks int
	// Planned is set with the first Placements of a job that had been planned before. PlanError is the
	// time from its actual start to the planned one; it is negative if the job begins later than planned.
	Planned   bool
	PlanError time.Duration
	// ForwardTo is the address of the placer to which the job should be forwarded, or empty.
	ForwardTo string
	// Refused is set if the waiting tasks of the job will not be placed, for Reason.
	Refused bool
	Reason  Reason
	// Lateness is by how much a refused job was predicted to begin too late, WaitingJobs the number
	// of jobs that waited, and UsageShare the share of its queue in the work that was placed lately.
	Lateness    time.Duration
	WaitingJobs int
	UsageShare  float64
	// Choice is why a job of this queue was refused and not one of another; empty if there was no choice.
	Choice Choice
	// RetryAfter is the time after which the caller of a refused job may send it again.
	RetryAfter time.Duration
	// Stop is a run to be stopped, and its upstream. The entry host then enqueues the task again.
	Stop *Placement
	// Ejection is the ejection of an upstream.
	Ejection *Ejection
	// Superseded is set if the caller has sent the job again to another entry host, which tracks
	// it from now on.
	Superseded bool
}

// Ejection reports that an upstream gets no tasks for Duration.
type Ejection struct {
	Upstream string
	Duration time.Duration
	Cause    string
	// ConsecutiveFailures is the number of ejections since the last success on the upstream.
	ConsecutiveFailures int
}

// Reason is why a job is refused. Callers receive its text.
type Reason string

// The reasons of refusals.
const (
	// ReasonDeadline means that the job cannot end before its caller stops waiting.
	ReasonDeadline Reason = "the job cannot end before its deadline"
	// ReasonOverload means that the job cannot begin in time because of the work ahead of it.
	ReasonOverload Reason = "too much work waits"
	// ReasonTooLarge means that a task of the job needs more than the whole capacity of any
	// upstream of its service.
	ReasonTooLarge Reason = "no upstream is large enough for a task of the job"
	// ReasonEvacuated means that no task may start in the failure domain.
	ReasonEvacuated Reason = "the failure domain is evacuated"
	// ReasonEvacuationsUnknown means that the host has just started and does not know yet whether its
	// failure domain is evacuated.
	ReasonEvacuationsUnknown Reason = "it is not known yet whether the failure domain is evacuated"
)
