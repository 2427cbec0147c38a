package placer

import (
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/forecaster"
)

const (
	// capacityTTL is the age up to which the reported free capacity of another placer is used.
	capacityTTL = 300 * time.Millisecond
	// forwardReserve is the number of tasks for which another placer must have free capacity left
	// for its own jobs after a job was forwarded to it.
	forwardReserve = 2
	// forwardDelay is how long a job waits before it is forwarded to a placer that had no free
	// capacity when the job arrived but has some now. A delay of 0 or 60 ms earns less value than
	// 20 ms in the mean of six load scripts.
	forwardDelay = 20 * time.Millisecond
	// maxForwardedBusy is the number of tasks that are forwarded to a placer with waiting jobs for each of
	// its reports.
	maxForwardedBusy = 16
)

// FreeCapacity is the report that placers send to each other.
type FreeCapacity struct {
	// Tasks is the number of tasks of mean CPU demand that can start immediately.
	Tasks int `msgpack:"places"`
	// WaitingJobs is the number of jobs with tasks that wait for placement.
	WaitingJobs int `msgpack:"waiting"`
	// Closed is set by a placer that places nothing. Hosts of earlier releases leave it out.
	Closed bool `msgpack:"closed,omitempty"`
	// StartsAfter is the time after which a task of mean CPU demand, of the service of the first waiting
	// job, is planned to be able to begin behind the waiting jobs. It is 0 if no job waits or nothing is
	// planned, and in reports of earlier releases.
	StartsAfter time.Duration `msgpack:"starts,omitempty"`
}

// accepting reports whether jobs may be forwarded to a placer with the free capacity.
func (c FreeCapacity) accepting() bool {
	return !c.Closed && c.WaitingJobs == 0 && c.Tasks > forwardReserve
}

// Differs reports whether the free capacity differs from an earlier report so much that other placers
// may decide differently. At peak load the exact numbers change with each run, while no placer accepts
// jobs.
func (c FreeCapacity) Differs(earlier FreeCapacity) bool {
	if !c.accepting() || !earlier.accepting() {
		return c.accepting() != earlier.accepting() || c.Closed != earlier.Closed
	}
	difference := max(c.Tasks, earlier.Tasks) - min(c.Tasks, earlier.Tasks)
	return difference > max(c.Tasks, earlier.Tasks)/4
}

// otherPlacer is the last report of another placer.
type otherPlacer struct {
	capacity   FreeCapacity
	nearby     bool
	receivedAt time.Time
	// forwardedTasks is the number of tasks that were forwarded there since the report.
	forwardedTasks int
}

// SetOtherCapacity records the free capacity that another placer reports, and forwards or refuses
// waiting jobs on that basis. A placer of the same failure domain is nearby.
func (p *Placer) SetOtherCapacity(now time.Time, address string, nearby bool, capacity FreeCapacity) {
	p.otherPlacers[address] = &otherPlacer{
		capacity:   capacity,
		nearby:     nearby,
		receivedAt: now,
	}
	if len(p.order) > 0 {
		p.shed(now)
	}
}

// RemoveOther discards the report of another placer, so that no jobs are forwarded there until the
// next report. Callers use it for unreachable placers.
func (p *Placer) RemoveOther(address string) { delete(p.otherPlacers, address) }

// FreeCapacity returns the report for other placers. Ejected, probing and cold upstreams count as full.
// Tasks is 0 until the first job was enqueued, since the mean demand is not known before.
func (p *Placer) FreeCapacity(now time.Time) FreeCapacity {
	capacity := FreeCapacity{WaitingJobs: len(p.order)}
	if p.closed != "" {
		capacity.Closed = true
		return capacity
	}
	for _, u := range p.sorted {
		if !u.usable || !u.health.acceptsTasks(now) || u.health.probing || u.isCold {
			continue
		}
		if p.meanCPU > 0 {
			// The free capacity is negative after an upstream has become smaller.
			capacity.Tasks += int(float64(max(u.free.CPU, 0)) / p.meanCPU)
		}
	}
	capacity.StartsAfter = p.startsAfter(now)
	return capacity
}

// startsAfter returns the value for FreeCapacity.StartsAfter.
func (p *Placer) startsAfter(now time.Time) time.Duration {
	if len(p.order) == 0 || p.plan.number == 0 || !p.enabled(RulePlan) {
		return 0
	}
	first := p.order[0]
	f := p.plan.Add(&forecaster.Job{
		Service:   first.Service,
		NotBefore: now.Sub(p.plan.madeAt),
		Overhead:  p.overhead,
		Tasks: []forecaster.Task{{
			Demand:  sesamedrift.Resources{CPU: int64(p.meanCPU)},
			RunTime: first.estimate,
		}},
	})
	p.plan.Remove(f)
	if !f.Fits {
		return 0
	}
	return max(f.Begin-now.Sub(p.plan.madeAt), time.Millisecond)
}

// forwardTarget returns the address of the placer with the most free capacity for a job that has not
// begun, or "" if none has enough. Nearby placers come first: a job that is forwarded to another
// domain is sent there whole. It returns "" during the grace period: a new placer does not know yet
// which jobs have runs on its upstreams. For a closed shard see closedTarget.
func (p *Placer) forwardTarget(now time.Time, w *waitingJob) string {
	if w.Forwarded || w.Started || now.Before(p.cfg.GraceUntil) {
		return ""
	}
	if p.closed != "" {
		if p.runsLocally(w) {
			return ""
		}
		return p.closedTarget(now)
	}
	if !p.enabled(RuleForward) {
		return ""
	}
	best, nearby, maxFree := "", false, 0
	for address, other := range p.otherPlacers {
		free := other.capacity.Tasks - other.forwardedTasks
		if now.Sub(other.receivedAt) > capacityTTL || !other.capacity.accepting() || free < len(w.Tasks)+forwardReserve {
			continue
		}
		if best == "" || other.nearby && !nearby ||
			other.nearby == nearby && (free > maxFree || free == maxFree && address < best) {
			best, nearby, maxFree = address, other.nearby, free
		}
	}
	if best == "" || p.runsLocally(w) {
		return ""
	}
	return best
}

// forwardBusy forwards a job that would be refused here to a nearby placer that has waiting jobs but expects
// to begin it in time. It reports false if there is none.
func (p *Placer) forwardBusy(now time.Time, w *waitingJob) bool {
	if w.Forwarded || w.Started || !p.enabled(RuleForward) || p.runsLocally(w) {
		return false
	}
	best, earliest := "", time.Duration(0)
	for address, other := range p.otherPlacers {
		after := other.capacity.StartsAfter
		if !other.nearby || now.Sub(other.receivedAt) > capacityTTL || after == 0 || other.forwardedTasks+len(w.Tasks) > maxForwardedBusy ||
			now.Add(after).After(w.latestStart) {
			continue
		}
		if best == "" || after < earliest || after == earliest && address < best {
			best, earliest = address, after
		}
	}
	if best == "" {
		return false
	}
	p.sendForward(w, best)
	return true
}

// runsLocally reports whether a task of the job has a run on the upstreams of this placer. That is the case when
// the caller has sent the job again and runs of the earlier try have not ended.
func (p *Placer) runsLocally(w *waitingJob) bool {
	for _, t := range w.Tasks {
		if p.runCounts[t.Run.Task] > 0 {
			return true
		}
	}
	return false
}

// forward withdraws a job and adds the decision to forward it to another placer. It reports false if
// none has enough free capacity.
func (p *Placer) forward(now time.Time, w *waitingJob) bool {
	address := p.forwardTarget(now, w)
	if address == "" {
		return false
	}
	p.sendForward(w, address)
	return true
}

// sendForward withdraws a job and adds the decision to forward it.
func (p *Placer) sendForward(w *waitingJob, address string) {
	p.otherPlacers[address].forwardedTasks += len(w.Tasks)
	p.Withdraw(w.Entry, w.ID)
	p.decisions = append(p.decisions, Decision{
		Job:       w.ID,
		Entry:     w.Entry,
		ForwardTo: address,
	})
}

// forwardWaiting forwards jobs that have waited for forwardDelay to placers that can start them
// immediately.
func (p *Placer) forwardWaiting(now time.Time) {
	for _, w := range slices.Clone(p.order) {
		if now.Sub(w.Arrived) >= forwardDelay {
			p.forward(now, w)
		}
	}
}
