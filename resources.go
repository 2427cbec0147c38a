package sesamedrift

import (
	"fmt"
	"strings"
)

// Resources are the amounts of resources that a task needs or an upstream has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `msgpack:"cpu" json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int64 `msgpack:"memory" json:"memory,omitempty"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `msgpack:"accelerators" json:"accelerators,omitempty"`
}

// Plus returns r + o for each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPU:          r.CPU + o.CPU,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r - o for each resource. Amounts of the result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		CPU:          r.CPU - o.CPU,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether no amount of r exceeds that of the free capacity.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Allows reports whether tasks whose total demand is needs may run at the same time on an
// upstream with the capacity r. The zero capacity means no bound.
func (r Resources) Allows(needs Resources) bool { return r == Resources{} || needs.Fits(r) }

// CountFitting returns how many tasks with the demand needs fit into the free capacity r
// together, but at most limit.
func (r Resources) CountFitting(needs Resources, limit int) int {
	for _, d := range [...]struct{ free, need int64 }{
		{r.CPU, needs.CPU},
		{r.Memory, needs.Memory},
		{r.Accelerators, needs.Accelerators},
	} {
		if d.need > 0 {
			limit = int(min(int64(limit), max(0, d.free)/d.need))
		}
	}
	return limit
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job string `msgpack:"job"`
	// Occurrence is the number of the repetition of the job, 0 for a job that runs once.
	Occurrence int `msgpack:"occurrence,omitempty"`
	// Step is the index of the step in the job.
	Step int `msgpack:"step,omitempty"`
	// Index is the index of the task in the step.
	Index int `msgpack:"index"`
}

// String returns the job, occurrence, step and index, separated by slashes.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	switch {
	case t.Job != o.Job:
		return strings.Compare(t.Job, o.Job)
	case t.Occurrence != o.Occurrence:
		return t.Occurrence - o.Occurrence
	case t.Step != o.Step:
		return t.Step - o.Step
	default:
		return t.Index - o.Index
	}
}

// Run identifies one run of a task. Each run of a task has a higher number than the runs
// before it.
type Run struct {
	Task   TaskID `msgpack:"task"`
	Number int    `msgpack:"number"`
}

// String returns the task and the number, separated by "#".
func (r Run) String() string {
	return fmt.Sprintf("%s#%d", r.Task, r.Number)
}
