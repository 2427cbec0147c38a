package emulator

import (
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
)

const (
	// drainGrace is how long runs may still start on a draining upstream after all hosts have
	// received its report.
	drainGrace = 2 * time.Second
	// evacuationGrace is how long after an order tasks may still start in an evacuated domain whose hosts reach
	// control hosts.
	evacuationGrace = 5 * time.Second
	// orphanTimeout is how long after the deadline of an ended job a run of it may continue without
	// having been stopped.
	orphanTimeout = 4 * time.Second
	// maxViolations is the maximum number of violations that are kept.
	maxViolations = 20
)

// invariantChecker records what upstreams and callers observe, and the violations that follow from
// it.
type invariantChecker struct {
	w          *Simulation
	violations []string
	// running maps each running task to its upstream.
	running   map[sesamedrift.TaskID]*Upstream
	completed map[sesamedrift.TaskID]bool
	// startedJobs holds the jobs of which a run has started, refusedJobs those that were answered as
	// not run.
	startedJobs map[string]bool
	refusedJobs map[string]bool
	// drainingSince holds when all hosts had received the report of a draining upstream.
	drainingSince map[*Upstream]time.Time
	// evacuatedSince holds when domains were evacuated or, if that is later, when a running host of the domain
	// was last frozen or without contact to control hosts.
	evacuatedSince map[string]time.Time
	runs           int
	// lastStart holds the time of the last start in each domain.
	lastStart map[string]time.Duration
}

func newInvariantChecker(w *Simulation) *invariantChecker {
	return &invariantChecker{
		w:              w,
		running:        map[sesamedrift.TaskID]*Upstream{},
		completed:      map[sesamedrift.TaskID]bool{},
		startedJobs:    map[string]bool{},
		refusedJobs:    map[string]bool{},
		drainingSince:  map[*Upstream]time.Time{},
		evacuatedSince: map[string]time.Time{},
		lastStart:      map[string]time.Duration{},
	}
}

func (c *invariantChecker) recordViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.4f s: ", c.w.Now().Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *invariantChecker) runStarted(now time.Time, u *Upstream, run sesamedrift.Run) {
	c.runs++
	c.w.logger(u.Report.ID).Info("run began", "run", run)
	if other := c.running[run.Task]; other != nil {
		c.recordViolation("task %s started on %s (run %d) while it already runs on %s", run.Task, u.Report.ID, run.Number, other.Report.ID)
	}
	c.running[run.Task] = u
	c.startedJobs[run.Task.Job] = true
	if c.refusedJobs[run.Task.Job] {
		c.recordViolation("task %s started after its job was answered as not run", run.Task)
	}
	c.lastStart[u.Report.Domain] = c.w.Now()
	if since, evacuated := c.evacuatedSince[u.Report.Domain]; evacuated && now.Sub(since) > evacuationGrace {
		c.recordViolation("task %s started on %s, %s after the evacuation of its domain", run.Task, u.Report.ID, now.Sub(since))
	}
	if since, draining := c.drainingSince[u]; draining && now.Sub(since) > drainGrace {
		c.recordViolation("task %s started on %s, %s after all hosts received its draining report", run.Task, u.Report.ID, now.Sub(since))
	}
}

func (c *invariantChecker) runEnded(_ time.Time, u *Upstream, run sesamedrift.Run, result leaseholder.RunResult) {
	c.w.logger(u.Report.ID).Info("run ended", "run", run, "how", result)
	if c.running[run.Task] == u {
		delete(c.running, run.Task)
	}
	if result == leaseholder.Done {
		c.completed[run.Task] = true
	}
}

// checkComplete checks that every task of a job that was answered as complete has completed.
func (c *invariantChecker) checkComplete(j *callerJob) {
	for i := range j.job.Steps[0].TaskCount {
		task := sesamedrift.TaskID{
			Job:   j.job.ID,
			Index: i,
		}
		if !c.completed[task] {
			c.recordViolation("job %s was answered as complete, but task %d has not completed", j.job.ID, i)
		}
	}
}

// checkNotRun checks that no run of a job has started if all its attempts were answered as not run.
// Jobs with an earlier attempt of unknown outcome are exempt: the host that answers has no record of
// an attempt at a host that crashed.
func (c *invariantChecker) checkNotRun(j *callerJob) {
	if j.mayHaveRun {
		return
	}
	c.refusedJobs[j.job.ID] = true
	if c.startedJobs[j.job.ID] {
		c.recordViolation("job %s was answered as not run, but a run of it has started", j.job.ID)
	}
}

// checkPeriodic records which hosts may not know of an evacuation and when the report of a draining upstream has reached all hosts, and checks
// that no run continues for more than orphanTimeout after the deadline of a job that has ended.
// Upstreams that delay orders are exempt, because they also delay stops.
func (c *invariantChecker) checkPeriodic() {
	for _, n := range c.w.Hosts {
		if _, evacuated := c.evacuatedSince[n.Domain]; evacuated && n.core != nil &&
			(c.w.ControlDown || !c.w.linkUp(n.Name, controlName) || n.frozenUntil > c.w.Now()) {
			c.evacuatedSince[n.Domain] = c.w.wallTime()
		}
	}
	for _, s := range c.w.Upstreams {
		if s.current == nil {
			continue
		}
		if _, known := c.drainingSince[s.current]; !known && s.current.Report.State == discoverer.Leaving && c.w.allUpToDate() {
			c.drainingSince[s.current] = c.w.wallTime()
		}
		for id, r := range s.current.runs {
			j := c.w.jobs[id.Task.Job]
			if j != nil && j.done && c.w.wallTime().After(j.job.Deadline.Add(orphanTimeout)) && r.stopAt.IsZero() && s.delayedOrderShare == 0 {
				c.recordViolation("run %s continues more than %s after the deadline of its ended job", id, orphanTimeout)
			}
		}
	}
}
