package server

import (
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/limiter"
	"sesamedrift.example/sesamedrift/scheduler"
)

// waitMarginDivisor is the inverse of the part of the estimated wait for other jobs that is added as
// a margin before the wait is compared with the deadline. Teams and hosts differ in the work that
// they add after the estimate. Under overload, the queue is as long as admission allows, so that
// a job that waits longer than estimated would be accepted and miss its deadline.
const waitMarginDivisor = 4

// admission is the decision on a new submission.
type admission struct {
	Admitted bool
	// StartsNow says that this host has a free slot for every task.
	StartsNow  bool
	Reason     string
	RetryAfter time.Duration
}

func (a admission) refusal(j *job) sesamedrift.Outcome {
	o := sesamedrift.IncompleteOutcome(&j.sub, sesamedrift.Refused, "not run: "+a.Reason)
	o.RetryAfter = a.RetryAfter
	return o
}

// admit decides whether a new job is accepted. A refused job does not use its team's quota.
func (d *dispatcher) admit(now time.Time, j *job) admission {
	e := d.runTimes.Estimate(now, j.service, j.kind.Name)
	wait := d.estimateWait(now, j)
	refuse := func(check limiter.DeadlineCheck, reason string) admission {
		d.stats.Refused++
		return admission{
			Reason:     reason,
			RetryAfter: d.retryHints.RetryAfter(now, max(check.RetryAfter, wait)),
		}
	}
	if d.health.KindFails(j.service, j.kind.Name) && !d.health.AllowProbe(now, j.service, j.kind.Name) {
		return refuse(limiter.DeadlineCheck{}, "every upstream fails this kind at present")
	}
	if d.tooLarge(j) {
		return refuse(limiter.DeadlineCheck{}, "no upstream of the failure domain has the capacity that a task needs")
	}
	if d.noDomainLeft(now, j.service) {
		return refuse(limiter.DeadlineCheck{}, errNoDomain.Error())
	}
	forecast := limiter.Forecast{
		Wait:    wait + d.waitUncertainty(now, j, wait),
		P50:     e.P50,
		P95:     e.P95,
		Samples: e.Samples,
	}
	if check := limiter.CheckDeadline(now, j.deadline, forecast); !check.Admitted {
		return refuse(check, "the deadline cannot be met by the present estimate")
	}
	if q := d.quotas.Admit(now, j.team, len(j.tasks)); !q.Admitted {
		return refuse(limiter.DeadlineCheck{RetryAfter: q.RetryAfter}, "the quota of the team is used up")
	}
	return admission{
		Admitted:  true,
		StartsNow: d.queue.FreeSlots(j.service) >= len(j.tasks),
	}
}

// tooLarge reports whether upstreams of the job's service are announced, but none of them could run a
// task of the job even if it were idle.
func (d *dispatcher) tooLarge(j *job) bool {
	for capacity := range d.announcedCapacities[j.service] {
		if capacity.Allows(j.kind.Demand) {
			return false
		}
	}
	return len(d.announcedCapacities[j.service]) > 0
}

// estimateWait estimates the time until the last task of a new job starts. The hosts of a failure
// domain balance their queues, so that the wait in this host's queue is that of the domain. The wait
// at the peer with the shortest queue is not used, since every host would count on it at the same
// time; only a host without slots of its own uses it.
func (d *dispatcher) estimateWait(now time.Time, j *job) time.Duration {
	if d.peers.domainFreeSlots(now, j.service) >= len(j.tasks) {
		return 0
	}
	wait := d.queue.EstimateJobWait(now, d.allTasks(now, j)...)
	if wait >= scheduler.MaxWait {
		wait = d.peers.shortestWait(now, j.service)
	}
	if wait >= scheduler.MaxWait && (len(d.announcedCapacities[j.service]) > 0 || d.awaitsOtherDomains(now)) {
		// The owners of the announced upstreams, or the other domains, have not reported their slots yet.
		return 0
	}
	if host, free := d.peers.mostFree(now, j.service, anyDistance); host != "" && free >= len(j.tasks) {
		wait = min(wait, legsPerRoundTrip*d.peers.get(host).distance)
	}
	return wait
}

// waitUncertainty returns the margin to add to an estimated wait. It is based on the wait of the job's
// first task only: the further wait, for slots that the job's own tasks occupy, does not depend on
// other jobs.
func (d *dispatcher) waitUncertainty(now time.Time, j *job, wait time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	return min(wait, d.queue.EstimateJobWait(now, d.task(now, j, 0))) / waitMarginDivisor
}

func anyDistance(time.Duration) bool { return true }

// retryAfter returns the delay after which a refused submission may be sent again.
func (d *dispatcher) retryAfter(now time.Time, j *job) time.Duration {
	e := d.runTimes.Estimate(now, j.service, j.kind.Name)
	return d.retryHints.RetryAfter(now, d.queue.EstimateWait(now, j.service, e.Class))
}
