package placer

import (
	"cmp"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/forecaster"
)

// waitingJob is a job with tasks that wait for placement.
type waitingJob struct {
	Job
	key jobKey
	// latestStart is the latest start with which the job meets its objective.
	latestStart time.Time
	// estimate is the expected run time of the longest waiting task.
	estimate time.Duration
	// choice is set by selectVictim.
	choice Choice
	// forecast is the plan for the job in the plan with the number planNumber.
	forecast   forecaster.Forecast
	planNumber uint64
	// plannedStart is the start of the first task in the first plan that contained the job; zero if there
	// was none.
	plannedStart time.Time
}

// newWaitingJob estimates the run time of a job and computes its latest start. The objective is
// SlackFactor times the expected run time of the rest of the job, plus TargetLatency. The latest start
// is a time of placement: the observed overhead of a run is subtracted, because on weak hosts it takes
// a considerable part of the slack of short jobs.
func (p *Placer) newWaitingJob(j Job) *waitingJob {
	w := &waitingJob{
		Job: j,
		key: jobKey{
			entry: j.Entry,
			id:    j.ID,
		},
	}
	for _, t := range j.Tasks {
		w.estimate = max(w.estimate, p.estimate(j.Arrived, &j, t))
	}
	criticalPath := w.estimate + max(0, min(j.RemainingTime, maxEstimate))
	objective := time.Duration(j.SlackFactor*float64(criticalPath)) + j.TargetLatency
	w.latestStart = j.Arrived.Add(objective - criticalPath - p.overhead)
	return w
}

// compareJobs orders jobs that have begun before others, and otherwise by their latest start. If
// RuleLeastLaxity is not enabled, it orders by arrival.
func (p *Placer) compareJobs(a, b *waitingJob) int {
	if !p.enabled(RuleLeastLaxity) {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Entry, b.Entry))
	}
	return cmp.Or(compareBool(b.Started, a.Started), a.latestStart.Compare(b.latestStart), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.Entry, b.Entry))
}

func (p *Placer) insert(w *waitingJob) {
	i, _ := slices.BinarySearchFunc(p.order, w, p.compareJobs)
	p.order = slices.Insert(p.order, i, w)
}

func (p *Placer) remove(w *waitingJob) {
	if i := slices.Index(p.order, w); i >= 0 {
		p.order = slices.Delete(p.order, i, i+1)
	}
}
