package placer

import (
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
)

// upstream is an upstream with its open runs.
type upstream struct {
	Upstream
	usable bool
	// isCold is set until the first tick after ColdUntil.
	isCold bool
	free   sesamedrift.Resources
	runs   map[sesamedrift.Run]*placedRun
	// stepRuns holds the number of the runs of each step.
	stepRuns map[jobStep]int
	health   health
	// planIndex is the index in the plan that was made last.
	planIndex int
}

// jobStep identifies a step of a job.
type jobStep struct {
	job  string
	step int
}

func stepOf(id sesamedrift.TaskID) jobStep {
	return jobStep{
		job:  id.Job,
		step: id.Step,
	}
}

// SetUpstream adds an upstream or replaces its description. A new upstream gets no tasks until
// SetUsable is called.
func (p *Placer) SetUpstream(u Upstream) {
	known := p.upstreams[u.ID]
	if known == nil {
		known = &upstream{
			runs:     map[sesamedrift.Run]*placedRun{},
			stepRuns: map[jobStep]int{},
		}
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
	delete(p.unreported, id)
	p.plan.outdated = true
	if i, found := slices.BinarySearchFunc(p.sorted, id, compareID); found {
		p.sorted = slices.Delete(p.sorted, i, i+1)
	}
}

// HasUpstream reports whether SetUpstream was called for an upstream that was not removed since.
func (p *Placer) HasUpstream(id string) bool { return p.upstreams[id] != nil }

// AwaitReports lets jobs wait until RecordReport was called for each present upstream and the expected ones, or the
// grace period ends. Until then a job that its caller has sent again may have runs that are not known.
func (p *Placer) AwaitReports(expected ...string) {
	p.unreported = make(map[string]bool, len(p.upstreams))
	for id := range p.upstreams {
		p.unreported[id] = true
	}
	for _, id := range expected {
		p.unreported[id] = true
	}
}

// RecordReport records that the leaseholder of an upstream has reported its state.
func (p *Placer) RecordReport(now time.Time, id string) {
	if p.unreported[id] {
		delete(p.unreported, id)
		p.place(now)
	}
}

func (p *Placer) awaitsReports(now time.Time) bool {
	return len(p.unreported) > 0 && now.Before(p.cfg.GraceUntil)
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
