// Package placer decides where the tasks of jobs run, which of them wait, and which jobs
// are rejected, for all upstreams of one failure domain.
//
// A Placer is told of upstreams, of jobs and of the ends of runs, and returns decisions. It
// has no input or output, reads no clock, makes no random choices and is not safe for
// concurrent use. It is lost with its process: another host begins with an empty one and is
// told again what waits and what runs.
package placer

import (
	"cmp"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/keeper"
)

// Upstream is what the placer needs to know of an upstream.
type Upstream struct {
	ID       string
	Service  string
	Kind     string
	Rack     string
	Capacity sesamedrift.Resources
}

// Job is a job with tasks that need a place.
type Job struct {
	ID string
	// Entry is the address of the host that tracks the job. Jobs with the same identifier
	// on two hosts are two jobs.
	Entry    string
	Queue    string
	Service  string
	Priority int
	Slack    float64
	Target   time.Duration
	Arrived  time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Tasks    []Task
}

// Task is a task that needs a place.
type Task struct {
	Run    sesamedrift.Run
	Demand sesamedrift.Resources
	// Estimate is the caller's idea of the run time.
	Estimate time.Duration
	Requires string
	Rack     string
	// PerUpstream bounds the tasks of the step on one upstream; 0 stands for no bound.
	PerUpstream int
	// Avoid is an upstream on which the task should not run again, or empty.
	Avoid string
}

// Grant gives a task a place.
type Grant struct {
	Run      sesamedrift.Run
	Upstream string
}

// Decision is about one job: some of its tasks were given places, or it is refused.
type Decision struct {
	Job    string
	Entry  string
	Grants []Grant
	// Refused says that the waiting tasks of the job get no place, for Reason.
	Refused bool
	Reason  string
	// RetryAfter is when a caller may send a refused job again.
	RetryAfter time.Duration
}

// Reasons of refusals.
const (
	ReasonDeadline = "the job cannot end before its deadline"
	ReasonTooLarge = "no upstream is large enough for a task of the job"
	ReasonNoPool   = "no upstream of the service is known"
)

type jobKey struct{ entry, id string }

// Placer is the state of one failure domain.
type Placer struct {
	upstreams map[string]*upstream
	jobs      map[jobKey]*Job
	// order holds the jobs with waiting tasks, the next to be placed first.
	order     []*Job
	decisions []Decision
}

type upstream struct {
	Upstream
	usable bool
	free   sesamedrift.Resources
	runs   map[sesamedrift.Run]*placed
}

type placed struct {
	demand sesamedrift.Resources
	queue  string
	entry  string
	at     time.Time
	// reported says that the keeper has listed the run.
	reported bool
}

// New returns a placer that knows no upstream.
func New() *Placer {
	return &Placer{
		upstreams: map[string]*upstream{},
		jobs:      map[jobKey]*Job{},
	}
}

// Drain returns the decisions since the last call.
func (p *Placer) Drain() []Decision {
	d := p.decisions
	p.decisions = nil
	return d
}

// SetUpstream makes an upstream known or changes it. A new one is not usable.
func (p *Placer) SetUpstream(u Upstream) {
	k := p.upstreams[u.ID]
	if k == nil {
		k = &upstream{runs: map[sesamedrift.Run]*placed{}}
		p.upstreams[u.ID] = k
	}
	k.Upstream = u
	k.count()
}

func (u *upstream) count() {
	u.free = u.Capacity
	for _, r := range u.runs {
		u.free = u.free.Minus(r.demand)
	}
}

// DropUpstream forgets an upstream with all that runs there.
func (p *Placer) DropUpstream(id string) { delete(p.upstreams, id) }

// SetUsable says whether tasks may be placed on an upstream.
func (p *Placer) SetUsable(id string, usable bool) {
	if u := p.upstreams[id]; u != nil {
		u.usable = usable
	}
}

// Usable reports whether tasks may be placed on an upstream.
func (p *Placer) Usable(id string) bool {
	u := p.upstreams[id]
	return u != nil && u.usable
}

// Report takes in everything that runs on an upstream, as its keeper knows it. Grants that
// the keeper cannot know of yet are kept.
func (p *Placer) Report(now time.Time, id string, running []keeper.Task) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	known := make(map[sesamedrift.Run]bool, len(running))
	for _, t := range running {
		known[t.Run] = true
		r := u.runs[t.Run]
		if r == nil {
			r = &placed{at: now}
			u.runs[t.Run] = r
		}
		r.demand = t.Demand
		r.entry = t.Entry
		r.reported = true
	}
	for run, r := range u.runs {
		if !known[run] && (r.reported || now.Sub(r.at) > unreportedFor) {
			delete(u.runs, run)
		}
	}
	u.count()
}

// unreportedFor is how long a granted place is kept for a run that the keeper does not
// list. It covers the way over the entry host to the keeper, with one batch sent again.
const unreportedFor = time.Second

// Ask adds the waiting tasks of a job, or replaces them.
func (p *Placer) Ask(now time.Time, j Job) {
	p.Withdraw(j.Entry, j.ID)
	if len(j.Tasks) == 0 {
		return
	}
	p.jobs[jobKey{j.Entry, j.ID}] = &j
	at, _ := slices.BinarySearchFunc(p.order, &j, compareJobs)
	p.order = slices.Insert(p.order, at, &j)
	p.place(now)
}

func compareJobs(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.Entry, b.Entry),
	)
}

// Withdraw forgets the waiting tasks of a job.
func (p *Placer) Withdraw(entry, id string) {
	key := jobKey{entry, id}
	if j := p.jobs[key]; j != nil {
		delete(p.jobs, key)
		p.order = slices.DeleteFunc(p.order, func(o *Job) bool { return o == j })
	}
}

// Return gives back a place that will not be used.
func (p *Placer) Return(now time.Time, id string, run sesamedrift.Run) {
	p.free(id, run)
	p.place(now)
}

func (p *Placer) free(id string, run sesamedrift.Run) *placed {
	u := p.upstreams[id]
	if u == nil {
		return nil
	}
	r := u.runs[run]
	if r != nil {
		delete(u.runs, run)
		u.free = u.free.Plus(r.demand)
	}
	return r
}

// Ended takes in the end of a run.
func (p *Placer) Ended(now time.Time, id string, run sesamedrift.Run, how keeper.How, took time.Duration) {
	p.free(id, run)
	_, _ = how, took
	p.place(now)
}

// Leave forgets the jobs of an entry host, and the places that it was given but has not
// used yet.
func (p *Placer) Leave(now time.Time, entry string) {
	for key := range p.jobs {
		if key.entry == entry {
			p.Withdraw(entry, key.id)
		}
	}
	for _, u := range p.upstreams {
		for run, r := range u.runs {
			if r.entry == entry && !r.reported {
				delete(u.runs, run)
			}
		}
		u.count()
	}
	p.place(now)
}

// Tick rejects jobs that cannot be served any more, and places what can be placed.
func (p *Placer) Tick(now time.Time) {
	for _, j := range slices.Clone(p.order) {
		if now.Add(longest(j)).After(j.Deadline) {
			p.refuse(j, ReasonDeadline)
		}
	}
	p.place(now)
}

func longest(j *Job) time.Duration {
	var most time.Duration
	for _, t := range j.Tasks {
		most = max(most, t.Estimate)
	}
	return most
}

func (p *Placer) refuse(j *Job, reason string) {
	p.Withdraw(j.Entry, j.ID)
	p.decisions = append(p.decisions, Decision{
		Job:        j.ID,
		Entry:      j.Entry,
		Refused:    true,
		Reason:     reason,
		RetryAfter: time.Second,
	})
}

// Waiting returns the number of jobs of a queue of which no task was given a place.
func (p *Placer) Waiting() int { return len(p.order) }

// place gives places to waiting tasks in the order of their jobs.
func (p *Placer) place(now time.Time) {
	for _, j := range slices.Clone(p.order) {
		p.placeJob(now, j)
	}
}

func (p *Placer) placeJob(now time.Time, j *Job) {
	var grants []Grant
	var left []Task
	for _, t := range j.Tasks {
		u := p.best(j, t)
		if u == nil {
			left = append(left, t)
			continue
		}
		u.runs[t.Run] = &placed{
			demand: t.Demand,
			queue:  j.Queue,
			entry:  j.Entry,
			at:     now,
		}
		u.free = u.free.Minus(t.Demand)
		grants = append(grants, Grant{
			Run:      t.Run,
			Upstream: u.ID,
		})
	}
	if len(grants) == 0 {
		return
	}
	j.Tasks = left
	p.decisions = append(p.decisions, Decision{
		Job:    j.ID,
		Entry:  j.Entry,
		Grants: grants,
	})
	if len(left) == 0 {
		p.Withdraw(j.Entry, j.ID)
	}
}

// best returns the upstream with the least room that is large enough for the task, or nil.
func (p *Placer) best(j *Job, t Task) *upstream {
	var best *upstream
	for _, u := range p.upstreams {
		if !u.usable || u.Service != j.Service || u.ID == t.Avoid || !t.Demand.Fits(u.free) {
			continue
		}
		if t.Requires != "" && t.Requires != u.Kind && t.Requires != u.Rack {
			continue
		}
		if best == nil || u.free.CPU < best.free.CPU || u.free.CPU == best.free.CPU && u.ID < best.ID {
			best = u
		}
	}
	return best
}
