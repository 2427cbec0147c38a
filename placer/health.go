package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

const (
	// minSlownessWeight is the weight of one comparison in the slowness of an upstream after the first
	// few ones. It is low because the sizes of the tasks of one job differ by some tenths.
	minSlownessWeight = 0.15
	// maxSlowness bounds the magnitude of the slowness, so that one stalled task does not distort
	// it for long.
	maxSlowness = 0.7
	// minCooldown is how long an upstream gets no tasks after a failure. The cooldown doubles with
	// each further failure, up to maxCooldown. It starts short because single failures are common,
	// and grows because an upstream that fails all its runs gets more tasks the faster it fails.
	minCooldown = 300 * time.Millisecond
	maxCooldown = 4 * time.Second
	// noCapacityCooldown is how long an upstream gets no tasks after it has rejected one for lack
	// of capacity. It covers the next message of the leaseholder; until then the free capacity that
	// the placer has recorded is outdated.
	noCapacityCooldown = 20 * time.Millisecond
)

// health is the speed and the ejection state of an upstream.
type health struct {
	// slowness is the natural logarithm of the ratio between run times on this upstream and on one
	// of average speed; it is positive for slow upstreams.
	slowness float64
	// comparisons is the number of comparisons in slowness.
	comparisons int
	// cooldownUntil is the end of the period in which the upstream gets no tasks.
	cooldownUntil time.Time
	// probing is set by an ejection. After the cooldown the upstream gets tasks of one job at a time until
	// one has succeeded.
	probing bool
	// consecutiveFailures counts ejections since the last success.
	consecutiveFailures int
	// probeRuns is the number of open runs that were placed while probing.
	probeRuns int
}

// expected returns the run time on this upstream of a task with the given normalized run time.
func (h *health) expected(normalized time.Duration) time.Duration {
	return time.Duration(float64(normalized) * math.Exp(h.slowness))
}

// normalized returns the run time on an upstream of average speed of a task that had the given run
// time on this one.
func (h *health) normalized(runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) * math.Exp(-h.slowness))
}

// recordComparison adjusts the slowness by the logarithm of the ratio between the normalized run
// time of a task here and the mean of its job. The n-th comparison has the weight 1/(n+1) until that
// is less than minSlownessWeight: with a constant weight, a new placer would take an upstream of half
// the usual speed for an average one for its first ten jobs or so.
func (h *health) recordComparison(logRatio float64) {
	h.comparisons++
	h.slowness += max(minSlownessWeight, 1/float64(h.comparisons+1)) * logRatio
	h.slowness = max(-maxSlowness, min(h.slowness, maxSlowness))
}

// recordSuccess ends probing and resets the cooldown, unless the upstream is cooling down.
func (h *health) recordSuccess(now time.Time) {
	if h.probing && now.Before(h.cooldownUntil) {
		// The run began before the failure, so its success does not show a recovery.
		return
	}
	h.consecutiveFailures = 0
	h.probing = false
	h.probeRuns = 0
}

// recordFailure starts a cooldown.
func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.probing = true
	h.probeRuns = 0
	h.cooldownUntil = now.Add(min(minCooldown<<min(h.consecutiveFailures-1, 8), maxCooldown))
}

// eject starts a cooldown of an upstream and adds the decision. It has no effect if RuleEject is
// disabled.
func (p *Placer) eject(now time.Time, u *upstream, cause string) {
	if p.cfg.DisabledRule == RuleEject {
		return
	}
	u.health.recordFailure(now)
	for _, r := range u.runs {
		r.probe = false
	}
	p.decisions = append(p.decisions, Decision{
		Ejection: &Ejection{
			Upstream:            u.ID,
			Duration:            u.health.cooldownUntil.Sub(now),
			Cause:               cause,
			ConsecutiveFailures: u.health.consecutiveFailures,
		},
	})
}

// recordRejection ejects an upstream that has rejected a task. A rejection for lack of capacity is
// not a failure and starts a short cooldown only.
func (p *Placer) recordRejection(now time.Time, u *upstream, reason leaseholder.Reason) {
	if reason != leaseholder.NoCapacity {
		p.eject(now, u, string(reason))
		return
	}
	if until := now.Add(noCapacityCooldown); until.After(u.health.cooldownUntil) {
		u.health.cooldownUntil = until
	}
}

// acceptsTasks reports whether tasks may be placed on the upstream: it is not cooling down, and
// while probing it has no open run.
func (h *health) acceptsTasks(now time.Time) bool {
	return !now.Before(h.cooldownUntil) && (!h.probing || h.probeRuns == 0)
}

// recordProbe counts a run that was placed on the upstream while that is probing.
func (u *upstream) recordProbe(run sesamedrift.Run) {
	if u.health.probing {
		u.health.probeRuns++
		u.runs[run].probe = true
	}
}

// progress is the progress of a run as reported by the leaseholder.
type progress struct {
	// percent is the share of the work that is done. runTime is the run time at the latest report,
	// lastIncrease the run time at the last report with a higher percentage than before.
	percent               int
	runTime, lastIncrease time.Duration
}

// projectedRunTime returns the total run time at the present speed. The percentage must not be 0.
func (p progress) projectedRunTime() time.Duration {
	return time.Duration(float64(p.lastIncrease) * 100 / float64(p.percent))
}

const (
	// stallTimeout is how long the reported progress of a run may stay the same before the run
	// counts as stalled. Progress is reported in whole percent, with the answers to lease
	// renewals, which an upstream delays while no run ends (leaseholder.Config.RenewWait).
	stallTimeout = 250 * time.Millisecond
	// slowFactor is the ratio of projected to expected run time from which on a run counts as
	// slow if no task of its job has succeeded yet.
	slowFactor = 4.0
	// relativeSlowFactor is the ratio from which on a run counts as slow if the expected run time
	// is that of other tasks of its job.
	relativeSlowFactor = 2.5
	// minProgressRunTime is the run time below which the progress of a run is not evaluated.
	minProgressRunTime = 80 * time.Millisecond
	// rescheduleGain is the least ratio of the remaining run time to the run time of a new start
	// elsewhere for which a run is rescheduled.
	rescheduleGain = 1.5
	// rescheduleCost is the time that it takes to stop a run and to start it elsewhere.
	rescheduleCost = 80 * time.Millisecond
)

// RecordProgress records that the given percentage of the work of a run was done after the given
// run time. Reports that arrive out of order, and those of unknown runs, are ignored.
func (p *Placer) RecordProgress(id string, run sesamedrift.Run, percent int, runTime time.Duration) {
	u := p.upstreams[id]
	if u == nil || u.runs[run] == nil || runTime <= u.runs[run].progress.runTime {
		return
	}
	r := &u.runs[run].progress
	if percent > r.percent || r.runTime == 0 {
		r.percent = percent
		r.lastIncrease = runTime
	}
	r.runTime = runTime
}

// checkRuns ejects upstreams with stalled or slow runs, and reschedules those runs for which a new
// start elsewhere is expected to end earlier.
func (p *Placer) checkRuns(now time.Time) {
	if !p.enabled(RuleReschedule) {
		return
	}
	for _, u := range p.sorted {
		var candidates []sesamedrift.Run
		for run, r := range u.runs {
			if r.progress.runTime >= minProgressRunTime {
				candidates = append(candidates, run)
			}
		}
		slices.SortFunc(candidates, compareRuns)
		for _, run := range candidates {
			if r := u.runs[run]; !r.rescheduling && r.expected > 0 {
				p.checkRun(now, u, run, r)
			}
		}
	}
}

func compareRuns(a, b sesamedrift.Run) int {
	return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Number, b.Number))
}

// checkRun does the work of checkRuns for one run.
func (p *Placer) checkRun(now time.Time, u *upstream, run sesamedrift.Run, r *placedRun) {
	h := p.historyOf(now, r.key)
	if h.rescheduled[run.Task] {
		// The task was slow on another upstream as well, so the cause is the task.
		return
	}
	normalized := u.health.normalized(r.expected)
	factor := slowFactor
	if len(h.samples) > 0 {
		normalized = h.meanRunTime()
		factor = relativeSlowFactor
	}
	// An upstream that is slow by its kind is not ejected for that: its runs are compared with the run
	// time that is usual on it. A new start elsewhere is assumed on an upstream of average speed.
	expected := max(u.health.expected(normalized), normalized)
	remaining := time.Duration(math.MaxInt64)
	stalled := r.progress.runTime-r.progress.lastIncrease > stallTimeout
	if !stalled && r.progress.percent > 0 {
		projected := r.progress.projectedRunTime()
		if float64(projected) < factor*float64(expected) {
			return
		}
		remaining = projected - now.Sub(r.placedAt)
	} else if !stalled {
		return
	}
	if stalled || factor == relativeSlowFactor || p.otherJobSlow(u, run) {
		if !now.Before(u.health.cooldownUntil) {
			cause := "slow"
			if stalled {
				cause = "stalled"
			}
			p.eject(now, u, cause)
		}
	} else {
		// Nothing shows that the upstream is slow: the tasks of the job may just be long.
		return
	}
	if float64(remaining) > rescheduleGain*float64(normalized)+float64(rescheduleCost) {
		r.rescheduling = true
		h.rescheduled[run.Task] = true
		p.decisions = append(p.decisions, Decision{
			Job:   run.Task.Job,
			Entry: r.key.entry,
			Stop: &Placement{
				Run:      run,
				Upstream: u.ID,
			},
		})
	}
}

// otherJobSlow reports whether a run of another job on the upstream is slow.
func (p *Placer) otherJobSlow(u *upstream, run sesamedrift.Run) bool {
	for otherRun, r := range u.runs {
		if otherRun.Task.Job == run.Task.Job || r.progress.percent == 0 || r.progress.runTime < minProgressRunTime {
			continue
		}
		if float64(r.progress.projectedRunTime()) >= relativeSlowFactor*float64(r.expected) {
			return true
		}
	}
	return false
}
