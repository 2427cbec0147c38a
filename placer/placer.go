// Package placer schedules the tasks of jobs on a shard of the upstreams of a failure domain: all of
// them in a small domain, and a part in a large one. It decides on which upstream a task runs, which
// tasks wait, and which jobs are refused or forwarded to another placer, of the same failure domain or
// of another one.
//
// The caller reports upstreams, jobs, and the progress and the ends of runs to a Placer, calls
// Tick periodically, and carries out the decisions that TakeDecisions returns. A Placer has no
// input or output, reads no clock, makes no random choices and is not safe for concurrent use. Its
// state is lost with the process: the host that replaces it starts with an empty Placer and
// receives the waiting tasks and the runs again.
//
// The rules, each with the load that it is for:
//
//   - Jobs wait in the order of the latest time at which they can begin and still meet their
//     objective, least laxity first (order.go). While demand varies, jobs that can wait are
//     served after those that cannot. Jobs that have begun go first, since a job ends with its
//     last task.
//   - A job is refused as soon as a plan of the runs and of the jobs ahead of it shows that it cannot
//     end in time (shed.go, plan.go). Under overload, waiting would make all jobs late. Jobs of a queue with a burst are
//     refused first, then those of the last priority above its floor, then those of the queue that
//     has used the most capacity lately (victim.go), so that a burst on one queue takes no capacity
//     from the others.
//   - Tasks go to the upstream with the least free capacity that fits them, best fit (fit.go), so
//     that at peak load free capacity for large tasks is not fragmented. While much capacity is
//     free, they go to the fastest upstream instead. Where slow upstreams would make jobs late, tasks
//     go to the fullest upstream on which they are in time, and wait for one if need be.
//   - Upstreams on which runs fail, stall or are slow are ejected for a while, and their stalled
//     or slow runs are rescheduled (health.go).
//   - Jobs for which there is no free capacity are forwarded to a placer that has some (forward.go).
//     That levels the load between shards and between failure domains.
//   - In an evacuated failure domain nothing is placed, and waiting jobs go to other domains (closed.go).
package placer

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/estimator"
)

// Policy is the set of rules that a Placer applies.
type Policy string

// The policies.
const (
	// Objective applies all rules of the package comment.
	Objective Policy = "objective"
	// FIFO places jobs in the order of their arrival, on the upstream with the most free
	// capacity, and refuses them when they can no longer meet their deadline. It is the baseline
	// that Objective is compared with.
	FIFO Policy = "first-come"
)

// Rule is a rule of the policy Objective that can be disabled to measure its effect.
type Rule string

// The rules.
const (
	// RuleShed refuses jobs that would begin too late as soon as that is predicted, while their
	// callers can still send them elsewhere. Without it they are refused when their deadline can
	// no longer be met.
	RuleShed Rule = "shed"
	// RulePlan predicts when jobs begin from a plan of each upstream (package forecaster). Without it
	// RuleShed uses the sum of the free CPU of all upstreams, which large tasks cannot use.
	RulePlan Rule = "plan"
	// RuleReserve reserves capacity for the first waiting jobs with large tasks that cannot begin. Jobs behind them are
	// placed only where they do not delay them. Without it small tasks take the room for large ones.
	RuleReserve Rule = "reserve"
	// RuleForward forwards jobs to placers with free capacity.
	RuleForward Rule = "pass"
	// RuleReschedule stops runs that are stalled or slow and places them again elsewhere.
	RuleReschedule Rule = "move"
	// RuleEject ejects upstreams on which runs fail.
	RuleEject Rule = "rest"
	// RuleCorrectEstimates corrects callers' estimates by the observed run times of their queue.
	RuleCorrectEstimates Rule = "learn"
	// RuleBinPack places tasks on the fullest upstream that fits them, so that capacity for large
	// tasks stays free on others. Without it they go to the emptiest upstream.
	RuleBinPack Rule = "pack"
	// RuleLeastLaxity orders waiting jobs by the latest time at which they can begin and still meet
	// their objective. Without it they are ordered by arrival.
	RuleLeastLaxity Rule = "slack"
	// RuleSpeed places tasks on upstreams on which they are expected to end within the objective of
	// their job, and lets them wait for such an upstream until their latest start. It has effect for
	// jobs whose slack factor is less than the run time factor of the slowest upstream: other jobs are
	// in time on any upstream if they begin at once.
	RuleSpeed Rule = "speed"
	// RulePriority refuses jobs of queues with a burst first and then of those with the last priority,
	// down to a floor. It has effect if the queues have different priorities. Without it, jobs of the
	// queue with the highest usage are refused.
	RulePriority Rule = "priority"
)

// Rules returns all rules in the order of their declaration.
func Rules() []Rule {
	return []Rule{RuleShed, RulePlan, RuleReserve, RuleForward, RuleReschedule, RuleEject, RuleCorrectEstimates, RuleBinPack, RuleLeastLaxity, RuleSpeed, RulePriority}
}

// Config holds the settings of a Placer.
type Config struct {
	// Policy is Objective if it is empty.
	Policy Policy
	// DisabledRule is a rule that Objective does not apply, or empty.
	DisabledRule Rule
	// GraceUntil is the end of the grace period, in which no job is forwarded, or refused because
	// of load: a new placer does not know all upstreams yet.
	GraceUntil time.Time
}

// jobKey identifies a job by the address of its entry host and its identifier.
type jobKey struct{ entry, id string }

// Placer holds the upstreams, runs and waiting jobs of one shard. Use New.
type Placer struct {
	cfg       Config
	upstreams map[string]*upstream
	sorted    []*upstream // the upstreams by identifier
	// unreported holds the upstreams for whose reports AwaitReports waits.
	unreported map[string]bool
	jobs       map[jobKey]*waitingJob
	order      []*waitingJob // the waiting jobs in the order of compareJobs
	plan       waitingPlan
	// reservations is the plan of the runs and the reserved starts. It is valid while reserving is set,
	// which is during a call of place.
	reservations waitingPlan
	reserving    bool
	queues       map[string]*queue
	histories    map[jobKey]*jobHistory
	runTimes     *estimator.Estimator
	otherPlacers map[string]*otherPlacer
	// searches counts the searches through all upstreams for one that fits a task.
	searches int
	// runCounts holds the number of open runs of each task. A task with an open run is not placed.
	runCounts map[sesamedrift.TaskID]int
	// meanCPU is the moving mean of the CPU demand of a task, over enqueued jobs.
	meanCPU float64
	// overhead is the moving mean of the time that a run takes from its placement to the report of its
	// end, less its run time.
	overhead time.Duration
	// closed is why the shard is closed since closedSince; empty if it is open.
	closed      Reason
	closedSince time.Time
	decisions   []Decision
	firstTick   time.Time
	lastTick    time.Time
	nextSweep   time.Time
}

// New returns a Placer without upstreams or jobs.
func New(cfg Config) *Placer {
	if cfg.Policy == "" {
		cfg.Policy = Objective
	}
	return &Placer{
		cfg:          cfg,
		upstreams:    map[string]*upstream{},
		jobs:         map[jobKey]*waitingJob{},
		queues:       map[string]*queue{},
		histories:    map[jobKey]*jobHistory{},
		runTimes:     estimator.New(estimator.Config{HalfLife: runTimeHalfLife}),
		otherPlacers: map[string]*otherPlacer{},
		runCounts:    map[sesamedrift.TaskID]int{},
	}
}

// enabled reports whether the policy applies a rule on waiting or placing. RuleEject and
// RuleCorrectEstimates depend on DisabledRule alone.
func (p *Placer) enabled(r Rule) bool { return p.cfg.Policy == Objective && p.cfg.DisabledRule != r }

// TakeDecisions returns the decisions since the last call, in the order in which they were made.
func (p *Placer) TakeDecisions() []Decision {
	d := p.decisions
	p.decisions = nil
	return d
}

// Tick does the work that depends on time: it checks the progress of runs, places tasks on
// upstreams whose cooldown has ended, and forwards or refuses jobs that can no longer begin in time.
func (p *Placer) Tick(now time.Time) {
	p.decayUsage(now)
	p.updateCold(now)
	if p.closed == "" {
		p.checkRuns(now)
	}
	p.place(now)
	p.shed(now)
	p.expireHistories(now)
}

// place searches upstreams for the waiting tasks, in the order of their jobs.
func (p *Placer) place(now time.Time) {
	if len(p.order) == 0 || p.closed != "" || p.awaitsReports(now) {
		return
	}
	// Under load hundreds of jobs wait, and after an event few of them fit. Jobs whose tasks all
	// need more than the largest free capacity are skipped without a search.
	maxFree := p.maxFreeCPU(now)
	reserved := 0
	order := slices.Clone(p.order)
	// Free capacity only shrinks here, so the index of the last job that may fit only decreases.
	lastFit := len(order) - 1
	var largest largestCapacities
	for i, w := range order {
		if w.anyTaskFits(maxFree) {
			p.placeJob(now, w)
			if len(w.Tasks) == 0 {
				p.drop(w)
			}
			maxFree = p.maxFreeCPU(now)
		}
		// A reservation matters only to jobs that could be placed now.
		for lastFit > i && !order[lastFit].anyTaskFits(maxFree) {
			lastFit--
		}
		if lastFit <= i {
			break
		}
		if reserved < maxReservations && p.enabled(RuleReserve) && p.jobs[w.key] == w && needsReservation(w, largest.of(p, w.Service)) {
			p.reserveLater(now, w)
			reserved++
		}
	}
	p.reserving = false
}

// anyTaskFits reports whether a task of the job needs at most the given CPU capacity.
func (w *waitingJob) anyTaskFits(cpu int64) bool {
	for i := range w.Tasks {
		if w.Tasks[i].Demand.CPU <= cpu {
			return true
		}
	}
	return false
}

// placeJob places those waiting tasks of a job for which there is an upstream. If a job has not
// begun and not all of its tasks can be placed, it is forwarded instead if another placer has free
// capacity for all of them: the job ends with its last task.
func (p *Placer) placeJob(now time.Time, w *waitingJob) {
	var selected []*upstream
	var remaining []Task
	var unplaced *Task
	for i, t := range w.Tasks {
		var u *upstream
		if unplaced == nil || !t.sameConstraints(unplaced) {
			u = p.selectUpstream(now, w, t)
		}
		selected = append(selected, u)
		if u == nil {
			remaining = append(remaining, t)
			if p.runCounts[t.Run.Task] == 0 {
				unplaced = &w.Tasks[i]
			}
			continue
		}
		p.reserve(now, w, t, u)
	}
	if len(remaining) == len(w.Tasks) {
		return
	}
	if len(remaining) > 0 && p.cfg.Policy == Objective && p.forwardTarget(now, w) != "" {
		p.unreserve(w, selected)
		p.forward(now, w)
		return
	}
	var placements []Placement
	for i, u := range selected {
		if u == nil {
			continue
		}
		t := w.Tasks[i]
		u.recordProbe(t.Run)
		p.historyOf(now, w.key).openRuns++
		p.recordUsage(w.Queue, t, u.runs[t.Run].expected)
		placements = append(placements, Placement{
			Run:      t.Run,
			Upstream: u.ID,
		})
	}
	w.Tasks = remaining
	planned := !w.Started && !w.plannedStart.IsZero()
	planError := time.Duration(0)
	if planned {
		planError = w.plannedStart.Sub(now)
	}
	if !w.Started {
		w.Started = true
		p.remove(w)
		p.insert(w)
	}
	p.decisions = append(p.decisions, Decision{
		Job:            w.ID,
		Entry:          w.Entry,
		Placements:     placements,
		Waited:         now.Sub(w.Arrived),
		RemainingTasks: len(remaining),
		Planned:        planned,
		PlanError:      planError,
	})
}
