package dispatcher

import (
	"errors"
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/tracker"
)

// Result is the answer to the callers of a job.
type Result struct {
	Outcome tracker.Outcome
	Reason  string
	// RetryAfter is the time after which a job that was not run may be sent again; 0 for unknown.
	RetryAfter time.Duration
}

// ErrBusy is returned for a job that was not accepted because too many steps wait for the loop.
var ErrBusy = errors.New("too much waits on this host")

// Caller waits for the result of a job. It is a request to this host or, for a forwarded job, the
// placer of the domain that forwarded it.
type Caller struct {
	// result is called once with the result; nil for a relay.
	result func(Result)
	relay  string // address of that placer, or empty
}

// NewCaller returns a caller whose result is passed to a function, which must not block.
func NewCaller(result func(Result)) *Caller { return &Caller{result: result} }

// job is a job that this host tracks as its entry host.
type job struct {
	tracker *tracker.Tracker
	callers map[*Caller]bool
	result  Result
	// requestedAt is when the last placement request was sent, requestedFrom the placer that it was
	// sent to. requestedAt is zero if no task waits at a placer.
	requestedAt   time.Time
	requestedFrom string
	// shard is the index of the shard to which the placer redirectedBy has redirected the job; otherwise homeShard.
	shard        int
	redirectedBy string
	// watchAt is when watch requests for the active runs are sent again; zero for never.
	watchAt time.Time
	// forwardedVia is the host that relays the job to another domain, or empty.
	forwardedVia string
	// forwardedTo is the domain that the job was last forwarded to, and forward the number of that forward, which
	// differs from those of all others of the job.
	forwardedTo string
	forward     uint64
	// received is the number of the forward by which the job came from another domain; 0 if it did not, or from a
	// host of an earlier release.
	received uint64
	// requeueAt is when a job whose connection to the other domain was lost is placed here again;
	// by then its runs have certainly ended. Until then its result is requested at requestResultAt. Zero for never.
	requeueAt       time.Time
	requestResultAt time.Time
	// recovered is the number of the last forward if the other domain has answered that no task of it has started;
	// otherwise 0.
	recovered uint64
}

// homeShard stands for the home shard of a job.
const homeShard = -1

// isLocal reports whether tasks of the job may run in this domain. A placement for a request that
// was sent twice may arrive after the job was forwarded.
func (j *job) isLocal() bool { return j.forwardedVia == "" && j.requeueAt.IsZero() }

// isForwarded reports whether the job came from another domain.
func (j *job) isForwarded() bool {
	for c := range j.callers {
		if c.relay != "" {
			return true
		}
	}
	return false
}

// relayFrom returns the caller that represents the placer at an address, or nil.
func (j *job) relayFrom(address string) *Caller {
	for c := range j.callers {
		if c.relay == address {
			return c
		}
	}
	return nil
}

// Submit starts tracking a job for a caller. If the host tracks the job already, the caller is
// added to it.
func (c *Core) Submit(now time.Time, submitted tracker.Job, caller *Caller) {
	if j := c.jobs[submitted.ID]; j != nil {
		j.callers[caller] = true
		return
	}
	j := &job{
		tracker: tracker.New(submitted),
		callers: map[*Caller]bool{caller: true},
		shard:   homeShard,
	}
	c.jobs[submitted.ID] = j
	if !c.refuseUnplaceable(now, j) {
		c.requestPlacement(now, j)
	}
}

// CallerGone removes a caller that no longer waits. The job ends with its last caller.
func (c *Core) CallerGone(now time.Time, id string, caller *Caller) {
	j := c.jobs[id]
	if j == nil || !j.callers[caller] {
		return
	}
	delete(j.callers, caller)
	if len(j.callers) == 0 {
		j.tracker.Finish(tracker.Abandoned, "the caller has gone")
		c.advanceJob(now, j)
	}
}

// requestPlacement sends the placer all tasks of a job that need a placement.
func (c *Core) requestPlacement(now time.Time, j *job) {
	t := j.tracker
	pending := t.PendingTasks()
	if len(pending) == 0 || !j.isLocal() {
		j.requestedAt = time.Time{}
		return
	}
	request := placementRequest{
		Job:       t.Job.ID,
		Queue:     t.Job.Queue,
		Service:   t.Job.Service,
		Priority:  t.Job.Priority,
		Slack:     t.Job.SlackFactor,
		Target:    t.Job.TargetLatency,
		Age:       now.Sub(t.Job.Arrived),
		Remaining: t.Job.Deadline.Sub(now),
		Started:   t.Started(),
		Forwarded: j.isForwarded() || j.shard != homeShard,

		RedirectedBy: j.redirectedBy,
		Recovered:    j.recovered,
	}
	for _, p := range pending {
		request.LaterEstimate = max(request.LaterEstimate, t.RemainingTime(p.Step))
		step := t.Job.Steps[p.Step]
		request.Tasks = append(request.Tasks, requestedTask{
			Run:            p.Run,
			Demand:         step.Demand,
			Estimate:       step.Estimate,
			Requires:       step.Requires,
			Rack:           step.Rack,
			MaxPerUpstream: step.MaxPerUpstream,
			Avoid:          p.Avoid,
		})
	}
	shard := j.shard
	if shard == homeShard {
		shard = c.assigned.homeShard(t.Job.ID)
		if c.placer != nil && c.shard != shard && j.isForwarded() && !t.Started() {
			// The other domain has chosen this host for the free capacity of its shard.
			request.Preferred = c.cfg.Self.Address
			if c.placer.Tracks(t.Job.ID) {
				// A new home placer would place the job itself, beside the runs of an earlier submission here. It may not
				// have received an earlier notification.
				delete(c.homesNotified, t.Job.ID)
				c.notifyHomes([]string{t.Job.ID})
			}
		}
	}
	j.requestedAt = now
	j.requestedFrom = c.assigned.placerAt(shard)
	c.send(j.requestedFrom, kindPlacementRequest, request)
}

// followPlacers requests the placement of waiting tasks again if their placer has changed, and tells new placers of the
// forwards of jobs.
func (c *Core) followPlacers(now time.Time, previous *assignment) {
	c.reportForwards(func(placer string) bool { return previous.shardOf(placer) < 0 })
	for _, j := range c.sortedJobs() {
		if len(c.assigned.Placers) != len(previous.Placers) {
			j.shard = homeShard
			j.redirectedBy = ""
		}
		if !j.requestedAt.IsZero() && c.assigned.shardOf(j.requestedFrom) < 0 || len(c.assigned.Placers) != len(previous.Placers) {
			c.requestPlacement(now, j)
		}
	}
}

// receiveRedirect sends the placement request to the placer of another shard.
func (c *Core) receiveRedirect(now time.Time, from string, m redirect) {
	j := c.jobs[m.Job]
	if j == nil || from != j.requestedFrom || !j.isLocal() {
		return
	}
	if shard := c.assigned.shardOf(m.To); shard >= 0 {
		j.shard = shard
		j.redirectedBy = from
		c.requestPlacement(now, j)
	}
}

func (c *Core) receivePlacement(from string, m placement) {
	j := c.jobs[m.Job]
	byLeaseholder := map[string]*startRuns{}
	upstreams := make([]string, 0, len(m.Places))
	for _, placed := range m.Places {
		location := tracker.Location{
			Upstream:    placed.Upstream,
			Leaseholder: placed.Leaseholder,
		}
		if j == nil || !j.isLocal() || !j.tracker.Place(placed.Run, location) {
			c.send(from, kindReleasedPlace, releasedPlace{
				Upstream: placed.Upstream,
				Run:      placed.Run,
			})
			continue
		}
		s := byLeaseholder[placed.Leaseholder]
		if s == nil {
			s = &startRuns{
				Content: j.tracker.Job.Content,
				Number:  m.Number,
			}
			byLeaseholder[placed.Leaseholder] = s
		}
		upstreams = append(upstreams, placed.Upstream)
		s.Runs = append(s.Runs, newStartedRun(placed.Upstream, placed.Run, j.tracker.Job.Steps[placed.Run.Task.Step].Demand))
	}
	if len(upstreams) > 0 {
		attributes := []any{"job", m.Job, "placer", from, "waited", m.Waited, "upstreams", upstreams, "left", m.Remaining}
		if m.PlanError != nil {
			attributes = append(attributes, "plan-error", *m.PlanError)
		}
		c.logEvent(reporter.JobPlaced, attributes...)
	}
	for _, address := range slices.Sorted(maps.Keys(byLeaseholder)) {
		c.send(address, kindStartRuns, *byLeaseholder[address])
	}
}

func (c *Core) receiveRefused(now time.Time, from string, r refused) {
	j := c.jobs[r.Job]
	if j == nil || from != j.requestedFrom || !j.isLocal() || len(j.tracker.PendingTasks()) == 0 {
		return
	}
	j.requestedAt = time.Time{}
	j.result.RetryAfter = r.RetryAfter
	j.tracker.Refuse(r.Reason)
	c.advanceJob(now, j)
}

// receiveRunEnded records the end of a run. It ignores a host that is not the leaseholder of the
// upstream any more, since that host cannot determine the state of the run.
func (c *Core) receiveRunEnded(now time.Time, from string, m runEnded) {
	j := c.jobs[m.Run.Task.Job]
	if j == nil || j.tracker.Leaseholder(m.Run) != from {
		return
	}
	c.stats.Runs[m.Result]++
	if m.Result != leaseholder.Done {
		c.logEvent(reporter.RunEndedBadly, "job", m.Run.Task.Job, "run", m.Run.String(), "upstream", m.Upstream, "how", m.Result, "reason", m.Reason,
			"keeper", from)
	}
	j.tracker.RunEnded(m.Run, m.Result, m.Reason)
	c.advanceJob(now, j)
}

// receiveSuperseded ends a job that its caller has resent to another host.
func (c *Core) receiveSuperseded(now time.Time, from string, m superseded) {
	j := c.jobs[m.Job]
	if j == nil || c.assigned.shardOf(from) < 0 && from != j.forwardedVia {
		return
	}
	c.logEvent(reporter.JobSuperseded, "job", m.Job, "by", from)
	j.requestedAt = time.Time{}
	j.tracker.Finish(tracker.Abandoned, "the caller has sent the job again to another host")
	c.advanceJob(now, j)
}

// Cancel ends a job whose callers are connected to this host. It returns false if there is none.
func (c *Core) Cancel(now time.Time, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	j.tracker.Finish(tracker.Abandoned, "the job was cancelled")
	c.advanceJob(now, j)
	return true
}

// sortedJobs returns the jobs in the order of their identifiers.
func (c *Core) sortedJobs() []*job {
	all := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		all = append(all, c.jobs[id])
	}
	return all
}

// advanceJob sends the result of a job that has ended, or requests placement of the tasks of one
// that has not.
func (c *Core) advanceJob(now time.Time, j *job) {
	outcome, reason, ended := j.tracker.Outcome()
	if !ended {
		c.requestPlacement(now, j)
		return
	}
	id := j.tracker.Job.ID
	delete(c.jobs, id)
	if !j.requestedAt.IsZero() {
		c.send(j.requestedFrom, kindCancelPlacement, cancelPlacement{Job: id})
	}
	for _, a := range j.tracker.ActiveRuns() {
		c.send(a.Location.Leaseholder, kindStopRun, stopRun{
			Upstream: a.Location.Upstream,
			Run:      a.Run,
		})
	}
	j.result.Outcome = outcome
	j.result.Reason = reason
	for caller := range j.callers {
		c.sendResult(id, caller, j.result)
	}
	c.recordForwardEnd(now, j)
	if j.forwardedVia != "" {
		c.send(j.forwardedVia, kindCancelForward, cancelForward{Job: id})
	}
	c.stats.Jobs[outcome]++
	c.stats.JobTimes = addSample(c.stats.JobTimes, now.Sub(j.tracker.Job.Arrived))
	c.logEvent(reporter.JobEnded, "job", id, "request", j.tracker.Job.RequestID, "queue", j.tracker.Job.Queue, "outcome", outcome, "reason", reason,
		"took", now.Sub(j.tracker.Job.Arrived), "runs", j.tracker.RunCount(), "callers", len(j.callers))
}

// tickJobs ends jobs whose deadline has passed, handles jobs whose forward was lost, and resends
// watch and placement requests that are due.
func (c *Core) tickJobs(now time.Time) {
	for _, j := range c.sortedJobs() {
		switch {
		case now.After(j.tracker.Job.Deadline):
			j.tracker.Finish(tracker.Expired, "the deadline of the caller has passed")
			c.advanceJob(now, j)
		case !j.requeueAt.IsZero():
			c.tickLostForward(now, j)
		case !j.watchAt.IsZero() && !now.Before(j.watchAt):
			c.watchRuns(now, j)
		case len(c.assigned.Placers) == 0 && c.refuseUnplaceable(now, j):
		}
		if !j.requestedAt.IsZero() && now.Sub(j.requestedAt) >= placementRetryInterval {
			c.requestPlacement(now, j)
		}
	}
}

// failJobsOn ends the jobs with runs on an upstream that an unreachable host has acquired. The new
// leaseholder stops these runs after the orphan timeout, since no entry host claims them.
func (c *Core) failJobsOn(now time.Time, upstream string) {
	for _, j := range c.sortedJobs() {
		for _, a := range j.tracker.ActiveRuns() {
			if a.Location.Upstream == upstream {
				j.tracker.Finish(tracker.Lost, "this host is cut off from the others of its failure domain")
				c.advanceJob(now, j)
				break
			}
		}
	}
}

// followLeaseholders sends the new leaseholders of upstreams watch requests for the runs of this
// host's jobs.
func (c *Core) followLeaseholders(now time.Time) {
	for _, j := range c.sortedJobs() {
		for _, a := range j.tracker.ActiveRuns() {
			holder := c.assigned.Leaseholders[a.Location.Upstream]
			if holder != "" && holder != a.Location.Leaseholder {
				j.tracker.SetLeaseholder(a.Location.Upstream, holder)
				j.watchAt = now
			}
		}
		if !j.watchAt.IsZero() {
			c.watchRuns(now, j)
		}
	}
}

// watchRuns sends a watch request for each active run of a job to its leaseholder. It has no effect
// on a run that the leaseholder tracks for this host already.
func (c *Core) watchRuns(now time.Time, j *job) {
	active := j.tracker.ActiveRuns()
	j.watchAt = time.Time{}
	if len(active) == 0 {
		return
	}
	j.watchAt = now.Add(watchRetryInterval)
	for _, a := range active {
		c.send(a.Location.Leaseholder, kindWatchRun, watchRun{
			Run: newStartedRun(a.Location.Upstream, a.Run, j.tracker.Job.Steps[a.Step].Demand),
		})
	}
}
