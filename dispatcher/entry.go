package dispatcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/router"
	"sesamedrift.example/sesamedrift/tracker"
)

// Result is the answer to a job.
type Result struct {
	Outcome tracker.Outcome
	Reason  string
	// RetryAfter is when a job that was not run may be sent again; 0 says nothing.
	RetryAfter time.Duration
}

// ErrBusy is returned for a job that was not taken because too much waits already.
var ErrBusy = errors.New("too much waits on this host")

// caller waits for the result of a job: a request to this host, or the relay of another
// domain.
type caller struct {
	// result has room for the result; nil for a relay.
	result chan Result
	relay  string
}

// job is a job that this host tracks.
type job struct {
	tracker *tracker.Tracker
	callers map[caller]bool
	result  Result
	// askedAt is when the placer was last told of tasks that wait; zero if none wait there.
	askedAt time.Time
	// watchAt is when keepers are asked again about runs that were moved; zero for never.
	watchAt time.Time
	// passedTo is the domain that the job was passed on to, or empty.
	passedTo string
	// returnAt is when a job whose way to another domain is lost is placed here again;
	// by then it surely runs nowhere. Zero for never.
	returnAt time.Time
}

// passedOn reports whether the job came from another domain.
func (j *job) passedOn() bool {
	for c := range j.callers {
		if c.relay != "" {
			return true
		}
	}
	return false
}

// Run takes a job and returns its result. It returns early if ctx ends, as it does when the
// caller has gone; the job then ends unless another caller waits for it.
func (h *Host) Run(ctx context.Context, j tracker.Job) (Result, error) {
	c := caller{result: make(chan Result, 1)}
	taken := h.inbox.put(func(now time.Time) { h.submit(now, j, c) })
	if !taken {
		return Result{}, ErrBusy
	}
	select {
	case r := <-c.result:
		return r, nil
	case <-ctx.Done():
		h.inbox.force(func(now time.Time) { h.callerGone(now, j.ID, c) })
		return Result{}, ctx.Err()
	}
}

func (h *Host) submit(now time.Time, tj tracker.Job, c caller) {
	if j := h.jobs[tj.ID]; j != nil {
		j.callers[c] = true
		return
	}
	j := &job{
		tracker: tracker.New(tj),
		callers: map[caller]bool{c: true},
	}
	h.jobs[tj.ID] = j
	h.askPlaces(now, j)
}

func (h *Host) callerGone(now time.Time, id string, c caller) {
	j := h.jobs[id]
	if j == nil || !j.callers[c] {
		return
	}
	delete(j.callers, c)
	if len(j.callers) == 0 {
		j.tracker.End(tracker.Abandoned, "the caller has gone")
		h.settle(now, j)
	}
}

// askPlaces tells the placer of all tasks of a job that need a place.
func (h *Host) askPlaces(now time.Time, j *job) {
	t := j.tracker
	needs := t.Needs()
	if len(needs) == 0 || j.passedTo != "" || !j.returnAt.IsZero() {
		j.askedAt = time.Time{}
		return
	}
	a := ask{
		Job:      t.Job.ID,
		Queue:    t.Job.Queue,
		Service:  t.Job.Service,
		Priority: t.Job.Priority,
		Slack:    t.Job.Slack,
		Target:   t.Job.Target,
		Age:      now.Sub(t.Job.Arrived),
		Left:     t.Job.Deadline.Sub(now),
		Begun:    t.Started(),
		PassedOn: j.passedOn(),
	}
	for _, n := range needs {
		a.Rest = max(a.Rest, t.Rest(n.Step))
		step := t.Job.Steps[n.Step]
		a.Tasks = append(a.Tasks, askedTask{
			Run:         n.Run,
			Demand:      step.Demand,
			Estimate:    step.Estimate,
			Requires:    step.Requires,
			Rack:        step.Rack,
			PerUpstream: step.PerUpstream,
			Avoid:       n.Avoid,
		})
	}
	j.askedAt = now
	h.tell(h.placerAt, kindAsk, a)
}

func (h *Host) receiveGranted(from string, g granted) {
	j := h.jobs[g.Job]
	byKeeper := map[string]*start{}
	for _, p := range g.Places {
		place := tracker.Place{
			Upstream: p.Upstream,
			Keeper:   p.Keeper,
		}
		if j == nil || !j.tracker.Place(p.Run, place) {
			h.tell(from, kindReturn, returned{
				Upstream: p.Upstream,
				Run:      p.Run,
			})
			continue
		}
		s := byKeeper[p.Keeper]
		if s == nil {
			s = &start{Content: j.tracker.Job.Content}
			byKeeper[p.Keeper] = s
		}
		s.Runs = append(s.Runs, runOn(p.Upstream, p.Run, j.tracker.Job.Steps[p.Run.Task.Step].Demand))
	}
	for _, k := range slices.Sorted(maps.Keys(byKeeper)) {
		h.tell(k, kindStart, *byKeeper[k])
	}
}

func (h *Host) receiveRefused(now time.Time, from string, r refused) {
	j := h.jobs[r.Job]
	if j == nil || from != h.placerAt {
		return
	}
	j.askedAt = time.Time{}
	j.result.RetryAfter = r.RetryAfter
	j.tracker.Refuse(r.Reason)
	h.settle(now, j)
}

func (h *Host) receiveRunEnded(now time.Time, m runEnded) {
	j := h.jobs[m.Run.Task.Job]
	if j == nil {
		return
	}
	j.tracker.RunEnded(m.Run, m.How, m.Reason)
	h.settle(now, j)
}

// receiveSuperseded ends a job that its caller has sent again to another host.
func (h *Host) receiveSuperseded(now time.Time, from string, m superseded) {
	j := h.jobs[m.Job]
	if j == nil || from != h.placerAt {
		return
	}
	j.askedAt = time.Time{}
	j.tracker.End(tracker.Abandoned, "the caller has sent the job again to another host")
	h.settle(now, j)
}

// settle answers a job that has ended, and asks for places for one that goes on.
func (h *Host) settle(now time.Time, j *job) {
	outcome, reason, ended := j.tracker.Ended()
	if !ended {
		h.askPlaces(now, j)
		return
	}
	id := j.tracker.Job.ID
	delete(h.jobs, id)
	if !j.askedAt.IsZero() {
		h.tell(h.placerAt, kindWithdraw, withdraw{Job: id})
	}
	for _, a := range j.tracker.Active() {
		h.tell(a.Place.Keeper, kindStop, stop{
			Upstream: a.Place.Upstream,
			Run:      a.Run,
		})
	}
	j.result.Outcome = outcome
	j.result.Reason = reason
	for c := range j.callers {
		h.answer(id, c, j.result)
	}
	if j.passedTo != "" {
		h.tell(h.placerAt, kindDrop, drop{Job: id})
	}
	h.log.Info("job ended", "job", id, "queue", j.tracker.Job.Queue, "outcome", outcome, "reason", reason,
		"took", now.Sub(j.tracker.Job.Arrived))
}

// expireJobs ends jobs whose callers wait no longer, and asks again about runs whose keeper
// has changed.
func (h *Host) expireJobs(now time.Time) {
	for _, j := range h.jobs {
		switch {
		case now.After(j.tracker.Job.Deadline):
			j.tracker.End(tracker.Expired, "the deadline of the caller has passed")
			h.settle(now, j)
		case !j.returnAt.IsZero() && !now.Before(j.returnAt):
			j.returnAt = time.Time{}
			h.askPlaces(now, j)
		case !j.watchAt.IsZero() && !now.Before(j.watchAt):
			h.watchMoved(now, j)
		}
		if !j.askedAt.IsZero() && now.Sub(j.askedAt) >= askAgain {
			h.askPlaces(now, j)
		}
	}
}

// followKeepers asks the new keepers of upstreams about the runs of this host's jobs.
func (h *Host) followKeepers(now time.Time) {
	for _, j := range h.jobs {
		for _, a := range j.tracker.Active() {
			at := h.assigned.Keepers[a.Place.Upstream]
			if at != "" && at != a.Place.Keeper {
				j.tracker.Moved(a.Place.Upstream, at)
				j.watchAt = now
			}
		}
		if !j.watchAt.IsZero() {
			h.watchMoved(now, j)
		}
	}
}

// watchMoved asks the keepers of all active runs of a job how they are. A keeper that knows
// the run already changes nothing.
func (h *Host) watchMoved(now time.Time, j *job) {
	active := j.tracker.Active()
	j.watchAt = time.Time{}
	if len(active) == 0 {
		return
	}
	j.watchAt = now.Add(watchAgain)
	for _, a := range active {
		h.tell(a.Place.Keeper, kindWatch, watch{
			Of: runOn(a.Place.Upstream, a.Run, j.tracker.Job.Steps[a.Step].Demand),
		})
	}
}

// Table returns the queues in force, or nil.
func (h *Host) Table(ctx context.Context) *router.Table {
	result := make(chan *router.Table, 1)
	h.inbox.force(func(time.Time) { result <- h.table })
	select {
	case t := <-result:
		return t
	case <-ctx.Done():
		return nil
	}
}
