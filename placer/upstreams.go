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
	health health
	// planIndex is the index in the plan that was made last.
	planIndex int
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
