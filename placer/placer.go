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
	"maps"
	"slices"
	"strings"
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

// jobKey identifies a job by the address of its entry host and its identifier.
type jobKey struct{ entry, id string }

// Placer holds the upstreams, runs and waiting jobs of one shard. Use New.
type Placer struct {
	cfg       Config
	upstreams map[string]*upstream
	sorted    []*upstream // the upstreams by identifier
	jobs      map[jobKey]*waitingJob
	order     []*waitingJob // the waiting jobs in the order of compareJobs
	plan      waitingPlan
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

// upstream is an upstream with its open runs.
type upstream struct {
	Upstream
	usable bool
	// isCold is set until the first tick after ColdUntil.
	isCold bool
	free   sesamedrift.Resources
	runs   map[sesamedrift.Run]*placedRun
	health health
	// planIndex is the index in the plan that was made last.
	planIndex int
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

// SetUpstream adds an upstream or replaces its description. A new upstream gets no tasks until
// SetUsable is called.
func (p *Placer) SetUpstream(u Upstream) {
	known := p.upstreams[u.ID]
	if known == nil {
		known = &upstream{runs: map[sesamedrift.Run]*placedRun{}}
		p.upstreams[u.ID] = known
		i, _ := slices.BinarySearchFunc(p.sorted, u.ID, compareID)
		p.sorted = slices.Insert(p.sorted, i, known)
	}
	p.plan.outdated = p.plan.outdated || known.Upstream != u
	known.Upstream = u
	known.isCold = !u.ColdUntil.IsZero()
	known.recomputeFree()
}

// recomputeFree sets the free capacity from the capacity and the open runs.
func (u *upstream) recomputeFree() {
	u.free = u.Capacity
	for _, r := range u.runs {
		u.free = u.free.Minus(r.demand)
	}
}

// RemoveUpstream removes an upstream and its runs.
func (p *Placer) RemoveUpstream(id string) {
	if u := p.upstreams[id]; u != nil {
		for run := range u.runs {
			p.removeRun(u, run)
		}
	}
	delete(p.upstreams, id)
	p.plan.outdated = true
	if i, found := slices.BinarySearchFunc(p.sorted, id, compareID); found {
		p.sorted = slices.Delete(p.sorted, i, i+1)
	}
}

func compareID(u *upstream, id string) int { return strings.Compare(u.ID, id) }

// SetUsable sets whether tasks may be placed on an upstream. Its runs are not affected.
func (p *Placer) SetUsable(now time.Time, id string, usable bool) {
	if u := p.upstreams[id]; u != nil && u.usable != usable {
		u.usable = usable
		p.plan.outdated = true
		p.place(now)
	}
}

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
	otherEntries := map[string]bool{}
	for key := range p.jobs {
		if key.id == w.ID && key.entry != w.Entry {
			otherEntries[key.entry] = true
		}
	}
	for _, t := range w.Tasks {
		if p.runCounts[t.Run.Task] == 0 {
			continue
		}
		for _, u := range p.sorted {
			for run, r := range u.runs {
				if run.Task == t.Run.Task && r.key.entry != w.Entry && r.key.entry != "" {
					otherEntries[r.key.entry] = true
				}
			}
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

// place searches upstreams for the waiting tasks, in the order of their jobs.
func (p *Placer) place(now time.Time) {
	if len(p.order) == 0 || p.closed != "" {
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
