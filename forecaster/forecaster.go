// Package forecaster computes a plan of when and where waiting tasks can begin, from the free capacity
// of upstreams and the expected ends of their runs. It has no input or output, reads no clock, and its
// results depend on its arguments only. All times are durations from the time of the plan.
package forecaster

import (
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Upstream describes an upstream at the time of the plan.
type Upstream struct {
	Service    string
	ID         string
	WorkerType string
	Rack       string
	Free       sesamedrift.Resources
	// Slowness is the ratio of run times here to those on an upstream of average speed.
	Slowness float64
	// Until ColdFor, the upstream runs one task at a time, and tasks that begin take ColdFactor times as
	// long. ColdFor is 0 for a warm upstream.
	ColdFor    time.Duration
	ColdFactor float64
	// Releases are the expected ends of the runs on the upstream, in any order.
	Releases []Release
}

// Release is capacity that is expected to become free.
type Release struct {
	After  time.Duration
	Demand sesamedrift.Resources
}

// Task is a waiting task. Its constraints are those of placer.Task.
type Task struct {
	Demand sesamedrift.Resources
	// RunTime is the expected run time on an upstream of average speed.
	RunTime  time.Duration
	Requires string
	Avoid    string
	Step     int
	// MaxPerUpstream bounds the number of tasks of the step that run on one upstream at the same
	// time; 0 means no bound. Only tasks of the same Job count, not those that run already.
	MaxPerUpstream int
}

// Job is a group of tasks that are planned together.
type Job struct {
	Service string
	// NotBefore is the earliest time at which a task may begin.
	NotBefore time.Duration
	// Overhead is the time for which a task takes its room beyond its run time, on any upstream.
	Overhead time.Duration
	Tasks    []Task
}

// Start is the planned start of a task.
type Start struct {
	// Upstream is the index of the upstream, or -1 if no upstream ever has room for the task.
	Upstream int
	After    time.Duration
	End      time.Duration
	Demand   sesamedrift.Resources
}

// Forecast is the plan for one job.
type Forecast struct {
	// Begin is the time at which the first task begins, AllBegun that at which the last one begins,
	// and End that at which the last one ends. Tasks without room do not count.
	Begin, AllBegun, End time.Duration
	// Starts are the starts of the tasks, in their order. They are valid until the next Reset.
	Starts []Start
	// Fits is false if no upstream ever has room for some task.
	Fits bool
}

// Planner holds a plan to which jobs are added one after the other. The zero Planner has no
// upstreams. It reuses its memory, so that plans that are made often allocate little.
type Planner struct {
	upstreams []Upstream
	profiles  []profile
	// candidates holds, for each upstream, the earliest start of the task that is being planned.
	candidates []candidate
	// starts is the memory for Forecast.Starts.
	starts []Start
}

// candidate is the earliest start and end of a task on one upstream. An end of never means that there
// is none.
type candidate struct{ after, end time.Duration }

const never = time.Duration(math.MaxInt64)

// maxRunTime bounds expected run times, so that they do not overflow with the overhead and the cold factor.
const maxRunTime = float64(never / 64)

// Reset begins a plan without jobs. It keeps the slice of upstreams until the next Reset.
func (p *Planner) Reset(upstreams []Upstream) {
	p.upstreams = upstreams
	p.starts = p.starts[:0]
	p.profiles = slices.Grow(p.profiles[:0], len(upstreams))[:len(upstreams)]
	p.candidates = slices.Grow(p.candidates[:0], len(upstreams))[:len(upstreams)]
	for i := range upstreams {
		p.profiles[i].reset(&upstreams[i])
	}
}

// Add plans the tasks of a job behind the jobs that were added before: each task at the place where it
// ends first, which may be a gap between planned tasks.
func (p *Planner) Add(j *Job) Forecast {
	first := len(p.starts)
	f := Forecast{
		Begin: never,
		Fits:  true,
	}
	last := -1
	for i := range j.Tasks {
		t := &j.Tasks[i]
		planned := p.starts[first:]
		if i > 0 && *t == j.Tasks[i-1] {
			// Only the upstream of the task before has a changed profile.
			if last >= 0 {
				p.candidates[last] = p.search(j, t, last, planned)
			}
		} else {
			for u := range p.upstreams {
				p.candidates[u] = p.search(j, t, u, planned)
			}
		}
		last = p.earliest()
		if last < 0 {
			f.Fits = false
			p.starts = append(p.starts, Start{Upstream: -1})
			continue
		}
		c := p.candidates[last]
		p.take(last, c.after, c.end, t.Demand)
		p.starts = append(p.starts, Start{
			Upstream: last,
			After:    c.after,
			End:      c.end,
			Demand:   t.Demand,
		})
		f.Begin = min(f.Begin, c.after)
		f.AllBegun = max(f.AllBegun, c.after)
		f.End = max(f.End, c.end)
	}
	f.Begin = min(f.Begin, f.AllBegun)
	f.Starts = slices.Clip(p.starts[first:])
	return f
}

// Remove gives the room of a job back. The jobs that were added after it keep their starts.
func (p *Planner) Remove(f Forecast) {
	for _, s := range f.Starts {
		if s.Upstream >= 0 {
			p.giveBack(s.Upstream, s.After, s.End, s.Demand)
		}
	}
}

// exclusive is taken in addition to the demand of a task while it runs on a cold upstream. It exceeds every
// capacity, so that no other task fits.
var exclusive = sesamedrift.Resources{CPU: math.MaxInt64 / 4}

// take takes room for a task on an upstream.
func (p *Planner) take(upstream int, from, to time.Duration, demand sesamedrift.Resources) {
	p.profiles[upstream].add(from, to, sesamedrift.Resources{}.Minus(demand))
	if cold := p.upstreams[upstream].ColdFor; from < cold {
		p.profiles[upstream].add(from, min(to, cold), sesamedrift.Resources{}.Minus(exclusive))
	}
}

// giveBack undoes take.
func (p *Planner) giveBack(upstream int, from, to time.Duration, demand sesamedrift.Resources) {
	p.profiles[upstream].add(from, to, demand)
	if cold := p.upstreams[upstream].ColdFor; from < cold {
		p.profiles[upstream].add(from, min(to, cold), exclusive)
	}
}

// HasRoom reports whether an upstream has room for a demand from now on for a duration.
func (p *Planner) HasRoom(upstream int, demand sesamedrift.Resources, d time.Duration) bool {
	for _, s := range p.profiles[upstream] {
		if s.at > 0 && s.at >= d {
			return true
		}
		if !demand.Fits(s.free) {
			return false
		}
	}
	return true
}

// Take takes room on an upstream from now on for a duration, for a task that has begun there.
func (p *Planner) Take(upstream int, demand sesamedrift.Resources, d time.Duration) {
	p.take(upstream, 0, d, demand)
}

// GiveBack undoes Take.
func (p *Planner) GiveBack(upstream int, demand sesamedrift.Resources, d time.Duration) {
	p.giveBack(upstream, 0, d, demand)
}

// earliest returns the index of the candidate with the earliest end, or -1 if there is none.
func (p *Planner) earliest() int {
	best, end := -1, never
	for i := range p.candidates {
		if p.candidates[i].end < end {
			best, end = i, p.candidates[i].end
		}
	}
	return best
}

// search returns the earliest start and end of a task on an upstream. The planned starts are those of
// the earlier tasks of the job.
func (p *Planner) search(j *Job, t *Task, upstream int, planned []Start) candidate {
	u := &p.upstreams[upstream]
	if u.Service != j.Service || t.Avoid != "" && t.Avoid == u.ID || t.Requires != "" && t.Requires != u.WorkerType && t.Requires != u.Rack {
		return candidate{end: never}
	}
	notBefore := j.NotBefore
	if t.MaxPerUpstream > 0 {
		notBefore = max(notBefore, stepFreeAfter(j, t, upstream, planned))
	}
	runTime := min(float64(t.RunTime)*u.Slowness, maxRunTime)
	best := p.profiles[upstream].candidate(t.Demand, max(notBefore, u.ColdFor), time.Duration(runTime)+j.Overhead)
	if notBefore >= u.ColdFor {
		return best
	}
	cold := p.profiles[upstream].candidate(t.Demand, notBefore, time.Duration(runTime*u.ColdFactor)+j.Overhead)
	if cold.after < u.ColdFor && cold.end < best.end {
		return cold
	}
	return best
}

// candidate returns the earliest start and end of a task that takes the time d, not before a given time. It
// returns none if the end is beyond the range of time.Duration.
func (s profile) candidate(demand sesamedrift.Resources, notBefore, d time.Duration) candidate {
	after, ok := s.earliest(demand, notBefore, d)
	if !ok || after > never-d {
		return candidate{end: never}
	}
	return candidate{
		after: after,
		end:   after + d,
	}
}

// stepFreeAfter returns the time from which on fewer than MaxPerUpstream planned tasks of the step run
// on the upstream.
func stepFreeAfter(j *Job, t *Task, upstream int, planned []Start) time.Duration {
	var ends []time.Duration
	for i, s := range planned {
		if s.Upstream == upstream && j.Tasks[i].Step == t.Step {
			ends = append(ends, s.End)
		}
	}
	if len(ends) < t.MaxPerUpstream {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-t.MaxPerUpstream]
}

// profile is the free capacity of an upstream over time. Its steps are in the order of time, the first
// one at 0; the last one lasts for ever.
type profile []step

// step is the free capacity from a time on. Amounts are negative while more than the capacity is taken.
type step struct {
	at   time.Duration
	free sesamedrift.Resources
}

func (s *profile) reset(u *Upstream) {
	*s = append((*s)[:0], step{free: u.Free})
	for _, r := range u.Releases {
		*s = append(*s, step{
			at:   max(r.After, 0),
			free: r.Demand,
		})
	}
	steps := *s
	// The upstreams of a shard run few tasks each, so that sorting by insertion is cheap.
	for i := 2; i < len(steps); i++ {
		for k := i; k > 1 && steps[k].at < steps[k-1].at; k-- {
			steps[k], steps[k-1] = steps[k-1], steps[k]
		}
	}
	n := 0
	for _, r := range steps[1:] {
		free := steps[n].free.Plus(r.free)
		if r.at > steps[n].at {
			n++
		}
		steps[n] = step{
			at:   r.at,
			free: free,
		}
	}
	*s = steps[:n+1]
	if len(u.Releases) > 0 && u.ColdFor > 0 {
		s.add(0, min(steps[n].at, u.ColdFor), sesamedrift.Resources{}.Minus(exclusive))
	}
}

// earliest returns the earliest time, not before a given one, from which on the demand is free for the
// duration d. It reports false if there is none.
func (s profile) earliest(demand sesamedrift.Resources, notBefore, d time.Duration) (time.Duration, bool) {
	start := time.Duration(-1)
	for i := range s {
		if i+1 < len(s) && s[i+1].at <= notBefore {
			continue
		}
		if !demand.Fits(s[i].free) {
			start = -1
			continue
		}
		if start < 0 {
			start = max(s[i].at, notBefore)
		}
		if i+1 < len(s) && s[i+1].at >= start+d {
			break
		}
	}
	return start, start >= 0
}

// add adds an amount to the free capacity between two times.
func (s *profile) add(from, to time.Duration, amount sesamedrift.Resources) {
	first := s.split(from)
	last := s.split(to)
	for i := first; i < last; i++ {
		(*s)[i].free = (*s)[i].free.Plus(amount)
	}
}

// split returns the index of the step that begins at the given time, and inserts it if there is none.
func (s *profile) split(at time.Duration) int {
	i, found := slices.BinarySearchFunc(*s, at, func(a step, at time.Duration) int { return int(a.at - at) })
	if !found {
		*s = slices.Insert(*s, i, step{
			at:   at,
			free: (*s)[i-1].free,
		})
	}
	return i
}
