package placer

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Enqueue adds a job whose tasks wait for placement, and places, forwards or refuses what it can
// immediately. It replaces the waiting tasks that the same entry host has sent for the job before;
// if there are no tasks, it only removes these. A job of the same identifier from another entry
// host is superseded. Runs that are placed already are not enqueued: the entry host has sent the
// request before it received their placement.
func (p *Placer) Enqueue(now time.Time, j Job) {
	key := jobKey{
		entry: j.Entry,
		id:    j.ID,
	}
	isNew := p.jobs[key] == nil && !j.Started
	p.Withdraw(j.Entry, j.ID)
	waiting := slices.DeleteFunc(slices.Clone(j.Tasks), func(t Task) bool { return p.isPlaced(j.Entry, t.Run) })
	j.Started = j.Started || len(waiting) < len(j.Tasks)
	j.Tasks = waiting
	if len(j.Tasks) == 0 {
		return
	}
	w := p.newWaitingJob(j)
	p.supersede(w)
	p.recordDemand(j)
	if isNew && !j.Started {
		p.recordArrival(w)
	}
	if p.closed == "" && !p.feasible(w) {
		_, releases := p.predictReleases(now)
		p.refuse(w, ReasonTooLarge, 0, retryAfter(releases))
		return
	}
	p.jobs[w.key] = w
	p.insert(w)
	p.place(now)
	if p.jobs[w.key] == nil || p.forward(now, w) {
		return
	}
	p.shed(now)
}

// supersede withdraws the job of the same identifier from other entry hosts, and adds a decision
// for each of these hosts. Their runs must end before the tasks are placed again.
func (p *Placer) supersede(w *waitingJob) {
	otherEntries := p.otherRunEntries(&w.Job)
	delete(otherEntries, "")
	for key := range p.jobs {
		if key.id == w.ID && key.entry != w.Entry {
			otherEntries[key.entry] = true
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(otherEntries)) {
		p.Withdraw(entry, w.ID)
		p.decisions = append(p.decisions, Decision{
			Job:        w.ID,
			Entry:      entry,
			Superseded: true,
		})
	}
}

// SupersedeRuns does what Enqueue does for the open runs that tasks of a job have for other entry hosts. It reports
// whether there are any; until they have ended, no other placer may place these tasks.
func (p *Placer) SupersedeRuns(j Job) bool {
	if len(p.otherRunEntries(&j)) == 0 {
		return false
	}
	p.supersede(&waitingJob{Job: j})
	return true
}

// otherRunEntries returns the other entry hosts for which tasks of a job have open runs; "" stands for an unknown one.
func (p *Placer) otherRunEntries(j *Job) map[string]bool {
	entries := map[string]bool{}
	open := map[sesamedrift.TaskID]bool{}
	for _, t := range j.Tasks {
		if p.runCounts[t.Run.Task] > 0 {
			open[t.Run.Task] = true
		}
	}
	if len(open) == 0 {
		return entries
	}
	for _, u := range p.sorted {
		for run, r := range u.runs {
			if run.Task.Job == j.ID && r.key.entry != j.Entry && open[run.Task] {
				entries[r.key.entry] = true
			}
		}
	}
	return entries
}

// demandWeight is the weight of one job in the moving mean of the CPU demand.
const demandWeight = 0.02

// recordDemand adds the demand of the first task of a job to the moving mean.
func (p *Placer) recordDemand(j Job) {
	cpu := float64(j.Tasks[0].Demand.CPU)
	if p.meanCPU == 0 {
		p.meanCPU = cpu
	}
	p.meanCPU += demandWeight * (cpu - p.meanCPU)
}

// feasible reports whether for each task some upstream of the service has enough capacity when it
// is empty. While no upstream of the service is known, it reports true.
func (p *Placer) feasible(w *waitingJob) bool {
	for _, t := range w.Tasks {
		fits, known := false, false
		for _, u := range p.sorted {
			known = known || u.Service == w.Service
			fits = fits || u.Service == w.Service && t.Demand.Fits(u.Capacity)
		}
		if known && !fits {
			return false
		}
	}
	return true
}

// Withdraw removes the waiting tasks of a job. Its runs are not affected.
func (p *Placer) Withdraw(entry, id string) {
	key := jobKey{
		entry: entry,
		id:    id,
	}
	if w := p.jobs[key]; w != nil {
		if !w.Started {
			p.plan.withdraw(w)
		}
		p.drop(w)
	}
}

// drop removes a job from the waiting ones. Its room in the plan stays taken, for the runs of its tasks.
func (p *Placer) drop(w *waitingJob) {
	delete(p.jobs, w.key)
	p.remove(w)
}

// RemoveEntry removes the waiting jobs of an entry host that is lost, and its placements that no
// leaseholder has reported as running.
func (p *Placer) RemoveEntry(now time.Time, entry string) {
	for _, w := range slices.Clone(p.order) {
		if w.Entry == entry {
			p.Withdraw(entry, w.ID)
		}
	}
	for _, u := range p.sorted {
		for run, r := range u.runs {
			if r.key.entry == entry && !r.reported {
				p.removeRun(u, run)
			}
		}
		u.recomputeFree()
	}
	p.place(now)
}

// refuse withdraws a job and adds the decision to refuse it.
func (p *Placer) refuse(w *waitingJob, reason Reason, lateness, retryAfter time.Duration) {
	waiting := len(p.order)
	p.Withdraw(w.Entry, w.ID)
	if reason != ReasonTooLarge && !w.Started {
		p.recordRefusal(w)
	}
	p.decisions = append(p.decisions, Decision{
		Job:         w.ID,
		Entry:       w.Entry,
		Refused:     true,
		Reason:      reason,
		Lateness:    lateness,
		WaitingJobs: waiting,
		UsageShare:  p.usageShare(w.Queue),
		Choice:      w.choice,
		RetryAfter:  retryAfter,
	})
}

// Jobs returns the identifiers of the jobs that wait or have open runs, without duplicates and in no
// particular order.
func (p *Placer) Jobs() []string {
	ids := map[string]bool{}
	for key := range p.jobs {
		ids[key.id] = true
	}
	for task := range p.runCounts {
		ids[task.Job] = true
	}
	return slices.Collect(maps.Keys(ids))
}

// MayTrack reports whether a job waits or has open runs here. In the grace period it reports true, since runs may not
// have been reported yet.
func (p *Placer) MayTrack(now time.Time, id string) bool {
	return now.Before(p.cfg.GraceUntil) || p.Tracks(id)
}

// Tracks reports whether a job is known to wait or to have open runs here.
func (p *Placer) Tracks(id string) bool {
	if len(p.WaitingEntries(id)) > 0 {
		return true
	}
	for task := range p.runCounts {
		if task.Job == id {
			return true
		}
	}
	return false
}

// WaitingEntries returns the entry hosts of which the job with the identifier waits, in the order of
// their addresses.
func (p *Placer) WaitingEntries(id string) []string {
	var entries []string
	for key := range p.jobs {
		if key.id == id {
			entries = append(entries, key.entry)
		}
	}
	slices.Sort(entries)
	return entries
}

// WaitingJobs returns the number of jobs with tasks that wait for placement.
func (p *Placer) WaitingJobs() int { return len(p.order) }
