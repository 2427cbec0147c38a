package emulator

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// Condition is the health of an emulated upstream.
type Condition string

// The conditions of upstreams.
const (
	Healthy Condition = ""
	// Failing: every run fails after failureFraction of its work.
	Failing Condition = "failing"
	// Hanging: runs make no progress.
	Hanging Condition = "hanging"
	// Slow: runs take slowFactor times as long.
	Slow Condition = "slow"
	// Unhealthy: orders to start a run are refused.
	Unhealthy Condition = "unhealthy"
)

const (
	// slowFactor is the factor by which runs take longer on a slow upstream.
	slowFactor = 7
	// failureFraction is the share of its work that a failing run completes.
	failureFraction = 0.25
	// maxEnds is the maximum number of ended runs in one response.
	maxEnds = 500
)

// Upstream is one incarnation of an emulated upstream. It measures its lease on its own clock,
// checks fencing tokens and free capacity, and lists ended runs until they are acknowledged. Its
// methods take the true time as now. The caller sets the exported fields and then calls Start.
type Upstream struct {
	Report discoverer.Upstream
	// ClockRate is the rate of the upstream's clock relative to true time, at most 1.
	ClockRate float64
	// MaxLease is the longest lease that the upstream grants, on its own clock.
	MaxLease time.Duration
	// StopTime is the time from the order to stop a run until the run has ended.
	StopTime time.Duration
	// RunTime returns how long a run takes on a healthy upstream, and whether it fails there
	// too.
	RunTime   func(run sesamedrift.Run, content string) (runTime time.Duration, fails bool)
	Condition Condition
	// Takeovers counts the orders that raised the fencing token, the first one included.
	Takeovers int
	// OnStart and OnEnd, if set, are called when a run starts and when it ends.
	OnStart func(now time.Time, u *Upstream, run sesamedrift.Run)
	OnEnd   func(now time.Time, u *Upstream, run sesamedrift.Run, result leaseholder.RunResult)

	startedAt    time.Time
	fencingToken uint64
	leaseEnd     int64 // end of the lease, which covers all runs, in milliseconds on the upstream's clock
	free         sesamedrift.Resources
	runs         map[sesamedrift.Run]*run
	// highestRun holds, for each task, the highest number of a run that was stopped or has ended here.
	highestRun map[sesamedrift.TaskID]int
	ends       []leaseholder.EndedRun
	endSeq     uint64
}

// run is the state of a running task.
type run struct {
	demand    sesamedrift.Resources
	runTime   time.Duration
	fails     bool
	progress  time.Duration // work done by updatedAt
	updatedAt time.Time
	stopAt    time.Time // when an ordered stop takes effect; zero if none was ordered
}

// Start initializes the upstream at the time now, at which its clock reads 0.
func (u *Upstream) Start(now time.Time) {
	u.startedAt = now
	u.free = u.Report.Capacity
	u.runs = map[sesamedrift.Run]*run{}
	u.highestRun = map[sesamedrift.TaskID]int{}
}

// Clock returns the time on the upstream's clock in milliseconds.
func (u *Upstream) Clock(now time.Time) int64 {
	return int64(float64(now.Sub(u.startedAt).Milliseconds()) * u.ClockRate)
}

func (u *Upstream) speed() float64 {
	switch u.Condition {
	case Hanging:
		return 0
	case Slow:
		return 1.0 / slowFactor
	case Healthy, Failing, Unhealthy:
	}
	return 1
}

// SetCondition changes the condition; runs continue at the new speed.
func (u *Upstream) SetCondition(now time.Time, c Condition) {
	u.Advance(now)
	u.Condition = c
}

// Advance brings the state up to now: runs progress, and end when they are done, fail, are stopped
// or their lease expires.
func (u *Upstream) Advance(now time.Time) {
	if len(u.runs) > 0 && u.Clock(now) > u.leaseEnd {
		for _, id := range u.sortedRuns() {
			u.endRun(now, id, leaseholder.LeaseExpired)
		}
		return
	}
	for _, id := range u.sortedRuns() {
		r := u.runs[id]
		r.progress += time.Duration(float64(now.Sub(r.updatedAt)) * u.speed())
		r.updatedAt = now
		failing := r.fails || u.Condition == Failing
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			u.endRun(now, id, leaseholder.Stopped)
		case failing && float64(r.progress) >= failureFraction*float64(r.runTime):
			u.endRun(now, id, leaseholder.Failed)
		case r.progress >= r.runTime:
			u.endRun(now, id, leaseholder.Done)
		}
	}
}

func (u *Upstream) sortedRuns() []sesamedrift.Run {
	all := make([]sesamedrift.Run, 0, len(u.runs))
	for id := range u.runs {
		all = append(all, id)
	}
	slices.SortFunc(all, func(a, b sesamedrift.Run) int { return a.Task.Compare(b.Task) })
	return all
}

func (u *Upstream) endRun(now time.Time, id sesamedrift.Run, result leaseholder.RunResult) {
	r := u.runs[id]
	delete(u.runs, id)
	u.free = u.free.Plus(r.demand)
	u.highestRun[id.Task] = max(u.highestRun[id.Task], id.Number)
	u.endSeq++
	u.ends = append(u.ends, leaseholder.EndedRun{
		Seq:    u.endSeq,
		Run:    id,
		Result: result,
	})
	if u.OnEnd != nil {
		u.OnEnd(now, u, id, result)
	}
}

// Running returns the active runs in the order of their tasks.
func (u *Upstream) Running() []sesamedrift.Run { return u.sortedRuns() }

// Crash ends all runs as lost. No response will list them, because the incarnation is over.
func (u *Upstream) Crash(now time.Time) {
	for _, id := range u.sortedRuns() {
		u.endRun(now, id, leaseholder.Lost)
	}
}

// NextEnd returns the time at which the next run ends, by itself, by a stop or with the lease, if no
// further order arrives. It reports false if there is no run.
func (u *Upstream) NextEnd(now time.Time) (time.Time, bool) {
	next, found := time.Time{}, false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for _, r := range u.runs {
		if !r.stopAt.IsZero() {
			consider(r.stopAt)
		}
		if speed := u.speed(); speed > 0 {
			work := r.runTime
			if r.fails || u.Condition == Failing {
				work = time.Duration(failureFraction * float64(work))
			}
			consider(r.updatedAt.Add(time.Duration(float64(work-r.progress)/speed) + time.Microsecond))
		}
	}
	if len(u.runs) > 0 {
		remaining := float64(u.leaseEnd-u.Clock(now)+1) / u.ClockRate
		consider(now.Add(time.Duration(remaining * float64(time.Millisecond))))
	}
	return next, found
}

// HandleOrder executes an order and returns the response. Only the response to a lease renewal contains the
// incarnation. It does not wait for the MaxWait of a
// lease renewal: a caller that emulates the long poll calls it again.
func (u *Upstream) HandleOrder(now time.Time, o leaseholder.Order, demand sesamedrift.Resources) leaseholder.Response {
	u.Advance(now)
	a := leaseholder.Response{
		Order:    o,
		Status:   leaseholder.Accepted,
		Clock:    u.Clock(now),
		HasClock: true,
	}
	if o.Token < u.fencingToken {
		return refuse(a, leaseholder.Fenced)
	}
	if o.Token > u.fencingToken {
		u.Takeovers++
	}
	u.fencingToken = o.Token
	maxLeaseEnd := u.Clock(now) + u.MaxLease.Milliseconds()
	expired := o.LeaseUntil > 0 && o.LeaseUntil <= u.Clock(now)
	u.leaseEnd = max(u.leaseEnd, min(o.LeaseUntil, maxLeaseEnd))
	switch o.Kind {
	case leaseholder.StartOrder:
		return u.startRun(now, a, demand, expired)
	case leaseholder.StopOrder:
		u.highestRun[o.Run.Task] = max(u.highestRun[o.Run.Task], o.Run.Number)
		if r := u.runs[o.Run]; r != nil && r.stopAt.IsZero() {
			r.stopAt = now.Add(u.StopTime)
		}
	case leaseholder.RenewOrder:
		a.Incarnation = u.Report.Incarnation
		u.ends = slices.DeleteFunc(u.ends, func(e leaseholder.EndedRun) bool { return e.Seq <= o.AckedSeq })
		a.Ended = slices.Clone(u.ends[:min(len(u.ends), maxEnds)])
		for _, id := range u.sortedRuns() {
			r := u.runs[id]
			a.Running = append(a.Running, leaseholder.ListedRun{
				Run:     id,
				Percent: int(100 * r.progress / r.runTime),
			})
		}
	}
	return a
}

func refuse(a leaseholder.Response, reason leaseholder.Reason) leaseholder.Response {
	a.Status = leaseholder.Refused
	a.Reason = reason
	return a
}

func (u *Upstream) startRun(now time.Time, a leaseholder.Response, demand sesamedrift.Resources, expired bool) leaseholder.Response {
	o := a.Order
	switch {
	case u.runs[o.Run] != nil:
		return a
	case u.Condition == Unhealthy:
		return refuse(a, leaseholder.Unhealthy)
	case o.Run.Number <= u.highestRun[o.Run.Task]:
		return refuse(a, leaseholder.StaleRun)
	case expired:
		return refuse(a, leaseholder.OrderExpired)
	case !demand.Fits(u.free):
		return refuse(a, leaseholder.NoCapacity)
	}
	runTime, fails := u.RunTime(o.Run, o.Content)
	u.free = u.free.Minus(demand)
	u.runs[o.Run] = &run{
		demand:    demand,
		runTime:   runTime,
		fails:     fails,
		updatedAt: now,
	}
	if u.OnStart != nil {
		u.OnStart(now, u, o.Run)
	}
	return a
}
