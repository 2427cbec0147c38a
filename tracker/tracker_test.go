package tracker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func newJob(attempts int, steps ...Step) *Tracker {
	return New(Job{
		ID:          "j",
		MaxAttempts: attempts,
		Steps:       steps,
		Arrived:     start,
		Deadline:    start.Add(time.Second),
	})
}

func newRun(step, index, number int) sesamedrift.Run {
	return sesamedrift.Run{
		Task: sesamedrift.TaskID{
			Job:   "j",
			Step:  step,
			Index: index,
		},
		Number: number,
	}
}

var testLocation = Location{
	Upstream:    "u",
	Leaseholder: "k",
}

func outcome(t *Tracker) Outcome {
	o, _, _ := t.Outcome()
	return o
}

// Guards against a step that starts before the steps on which it depends are done.
func TestStepWaitsForDependencies(t *testing.T) {
	g := NewWithT(t)
	tr := newJob(2, Step{TaskCount: 2}, Step{
		TaskCount: 1,
		DependsOn: []int{0},
	})
	g.Expect(tr.PendingTasks()).To(HaveLen(2))
	for i := range 2 {
		g.Expect(tr.Place(newRun(0, i, 1), testLocation)).To(BeTrue())
	}
	tr.RunEnded(newRun(0, 0, 1), leaseholder.Done, "")
	g.Expect(tr.PendingTasks()).To(BeEmpty())
	tr.RunEnded(newRun(0, 1, 1), leaseholder.Done, "")
	g.Expect(tr.PendingTasks()).To(ConsistOf(HaveField("Run", newRun(1, 0, 1))))
	g.Expect(tr.Place(newRun(1, 0, 1), testLocation)).To(BeTrue())
	tr.RunEnded(newRun(1, 0, 1), leaseholder.Done, "")
	g.Expect(outcome(tr)).To(Equal(Complete))
}

// Guards against more failed runs of a task than MaxAttempts, and against lost or stopped runs that
// count as failed.
func TestMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	tr := newJob(2, Step{TaskCount: 1})
	for number, result := range []leaseholder.RunResult{leaseholder.Failed, leaseholder.Lost, leaseholder.LeaseExpired, leaseholder.Stopped} {
		g.Expect(tr.Place(newRun(0, 0, number+1), testLocation)).To(BeTrue())
		tr.RunEnded(newRun(0, 0, number+1), result, "")
		g.Expect(tr.PendingTasks()).To(HaveLen(1))
	}
	g.Expect(tr.Place(newRun(0, 0, 5), testLocation)).To(BeTrue())
	tr.RunEnded(newRun(0, 0, 5), leaseholder.Failed, "")
	g.Expect(outcome(tr)).To(Equal(Failed))
}

// Guards against the outcome "not run" for a job of which a task may have started.
func TestNotRunOnlyIfNothingStarted(t *testing.T) {
	g := NewWithT(t)
	rejected := newJob(2, Step{TaskCount: 1})
	rejected.Place(newRun(0, 0, 1), testLocation)
	rejected.RunEnded(newRun(0, 0, 1), leaseholder.Rejected, leaseholder.NoCapacity)
	rejected.Refuse("busy")
	g.Expect(outcome(rejected)).To(Equal(NotRun))

	running := newJob(2, Step{TaskCount: 2})
	running.Place(newRun(0, 0, 1), testLocation)
	running.Refuse("busy")
	g.Expect(outcome(running)).To(Equal(Lost))

	expired := newJob(2, Step{TaskCount: 1})
	expired.Place(newRun(0, 0, 1), testLocation)
	expired.RunEnded(newRun(0, 0, 1), leaseholder.LeaseExpired, "")
	expired.Refuse("busy")
	g.Expect(outcome(expired)).To(Equal(Lost))

	stale := newJob(2, Step{TaskCount: 1})
	stale.Place(newRun(0, 0, 1), testLocation)
	stale.RunEnded(newRun(0, 0, 1), leaseholder.Rejected, leaseholder.StaleRun)
	stale.Refuse("busy")
	g.Expect(outcome(stale)).To(Equal(Lost), "a run for an earlier submission may have started")

	elsewhere := newJob(2, Step{TaskCount: 1})
	elsewhere.MarkStarted()
	elsewhere.Refuse("busy")
	g.Expect(outcome(elsewhere)).To(Equal(Lost))
}

// Guards against a next run number that the upstream rejects as stale again. Runs of the same job on
// another host may have used higher numbers before.
func TestStaleRunRejected(t *testing.T) {
	g := NewWithT(t)
	tr := newJob(2, Step{TaskCount: 1})
	tr.Place(newRun(0, 0, 1), testLocation)
	tr.RunEnded(newRun(0, 0, 1), leaseholder.Rejected, leaseholder.StaleRun)
	g.Expect(tr.PendingTasks()).To(ConsistOf(HaveField("Run", newRun(0, 0, 2+staleRunStride))))
}
