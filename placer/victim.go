package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usageDecayTime is the time constant with which the usage of queues decays. It is about the duration
	// of a peak of demand.
	usageDecayTime = 2 * time.Second
	// usualDecayTime is the time constant of the usual demand of queues. It covers several periods of 15 s,
	// with which the demand oscillates.
	usualDecayTime = time.Minute
	// servedDecayTime is the time constant of the numbers of jobs that were asked for and refused.
	servedDecayTime = 5 * time.Second
	// burstRise is the ratio of recent to usual arrivals from which on a queue has a burst.
	burstRise = 1.5
	// floorShare is the floor of a queue, as a share of the served share of all queues: below it, jobs of
	// queues with an earlier priority are refused instead.
	floorShare = 0.5
	// maxRefusedRatio is the largest ratio between the refused share of the large jobs of a queue and
	// that of the whole queue, and between the served shares in the other direction. The required ratio
	// is 2; the difference covers the error of the estimated quantiles.
	maxRefusedRatio = 1.3
)

// queue holds the recent usage and demand of one queue.
type queue struct {
	// usage is the sum of the work that was placed, in core-seconds, with exponential decay.
	usage float64
	// priority is that of the latest job.
	priority int
	// recentArrivals and usualArrivals are numbers of jobs, usualWork is the work that they asked for,
	// with decay over usageDecayTime and over usualDecayTime.
	recentArrivals, usualArrivals, usualWork float64
	// asked and refused are the numbers of jobs of each size that have arrived and that were refused,
	// with decay over servedDecayTime.
	asked, refused [sizes]float64
	// logLarge and logLargest are the natural logarithms of the estimated work of the jobs at
	// largeQuantile and largestQuantile; NaN before the first job.
	logLarge, logLargest float64
	// jobs is the number of jobs in these estimates.
	jobs int
}

// size is the class of a job by its work among the jobs of its queue.
type size int

// The sizes.
const (
	usualSize size = iota
	large          // above largeQuantile
	largest        // above largestQuantile
	sizes
)

const (
	largeQuantile   = 0.7
	largestQuantile = 0.9
	// minQuantileStep is the scale of the change of the logarithm of an estimated quantile with each job
	// after the first ones, of which the n-th has the scale 2/(n+1).
	minQuantileStep = 0.03
)

// queueOf returns the usage record of a queue and creates it if there is none.
func (p *Placer) queueOf(name string) *queue {
	q := p.queues[name]
	if q == nil {
		q = &queue{
			logLarge:   math.NaN(),
			logLargest: math.NaN(),
		}
		p.queues[name] = q
	}
	return q
}

// recordUsage adds a task that was placed to the usage of its queue. CPU demand is in thousandths of
// a core.
func (p *Placer) recordUsage(name string, t Task, expected time.Duration) {
	p.queueOf(name).usage += float64(t.Demand.CPU) / 1000 * expected.Seconds()
}

// usageShare returns the share of a queue in the usage of all queues, or 0 if there is none.
func (p *Placer) usageShare(name string) float64 {
	total := 0.0
	for _, q := range p.queues {
		total += q.usage
	}
	if total == 0 {
		return 0
	}
	return p.queueOf(name).usage / total
}

// decayUsage decays the usage and the demand of all queues by the time since the last tick.
func (p *Placer) decayUsage(now time.Time) {
	if p.lastTick.IsZero() {
		p.firstTick = now
	} else {
		elapsed := now.Sub(p.lastTick)
		recent, served, usual := decay(elapsed, usageDecayTime), decay(elapsed, servedDecayTime), decay(elapsed, usualDecayTime)
		for _, q := range p.queues {
			q.usage *= recent
			q.recentArrivals *= recent
			q.usualArrivals *= usual
			q.usualWork *= usual
			for i := range sizes {
				q.asked[i] *= served
				q.refused[i] *= served
			}
		}
	}
	p.lastTick = now
}

// decay returns the factor of a sum with exponential decay after the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// minWork is used for jobs without an estimate, in core-seconds.
const minWork = 1e-6

// work returns the expected work of the waiting tasks of a job, in core-seconds.
func (w *waitingJob) work() float64 {
	cpu := int64(0)
	for _, t := range w.Tasks {
		cpu += t.Demand.CPU
	}
	return max(float64(cpu)/1000*w.estimate.Seconds(), minWork)
}

// recordArrival adds a new job to the demand of its queue.
func (p *Placer) recordArrival(w *waitingJob) {
	q := p.queueOf(w.Queue)
	work := w.work()
	q.priority = w.Priority
	q.recentArrivals++
	q.usualArrivals++
	q.usualWork += work
	q.jobs++
	step := max(minQuantileStep, 2/float64(q.jobs+1))
	q.logLarge = followQuantile(q.logLarge, math.Log(work), largeQuantile, step)
	q.logLargest = followQuantile(q.logLargest, math.Log(work), largestQuantile, step)
	q.asked[q.sizeOf(work)]++
}

// recordRefusal adds a job that was refused for load to those of its queue.
func (p *Placer) recordRefusal(w *waitingJob) {
	q := p.queueOf(w.Queue)
	q.refused[q.sizeOf(w.work())]++
}

// followQuantile moves the estimate of a quantile by one value: of many values, the share that is equal to
// the quantile then lies below the estimate.
func followQuantile(estimate, value, quantile, step float64) float64 {
	switch {
	case math.IsNaN(estimate):
		return value
	case value > estimate:
		return estimate + step*quantile
	default:
		return estimate - step*(1-quantile)
	}
}

func (q *queue) sizeOf(work float64) size {
	switch l := math.Log(work); {
	case l > q.logLargest:
		return largest
	case l > q.logLarge:
		return large
	default:
		return usualSize
	}
}

// refusedShare returns the share of the jobs of the given sizes that was refused lately.
func (q *queue) refusedShare(of ...size) float64 {
	asked, refused := 0.0, 0.0
	for _, i := range of {
		asked += q.asked[i]
		refused += q.refused[i]
	}
	return min(1, refused/max(asked, 1))
}

// spared reports whether so many jobs of a size were refused that others of the queue are refused instead:
// more than maxRefusedRatio times the share of the whole queue, or so many that the served share is less than
// that of the queue by this ratio.
func (q *queue) spared(of size) bool {
	all, ofSize := q.refusedShare(usualSize, large, largest), q.refusedShare(of)
	return ofSize > maxRefusedRatio*all || 1-ofSize < (1-all)/maxRefusedRatio
}

// Choice is the rule by which the queue was selected of which a job was refused.
type Choice string

// The choices.
const (
	// ChoiceBurst means that the arrivals of the queue have risen more than those of the others.
	ChoiceBurst Choice = "burst"
	// ChoicePriority means that the queue has the last priority of those that are above their floor.
	ChoicePriority Choice = "priority"
	// ChoiceUsage means that the queue has used the most capacity lately.
	ChoiceUsage Choice = "usage"
)

// standing is what decides whether a job of a queue is refused.
type standing struct {
	queue      string
	burst      bool
	belowFloor bool
	// priority is 0 for all queues if RulePriority has no effect.
	priority int
	usage    float64
}

// compareStandings orders queues by which is to have a job refused first.
func compareStandings(a, b standing) int {
	return cmp.Or(compareBool(b.burst, a.burst), compareBool(a.belowFloor, b.belowFloor), cmp.Compare(b.priority, a.priority),
		cmp.Compare(b.usage, a.usage), cmp.Compare(a.queue, b.queue))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// standings returns the standings of queues, in the order of compareStandings.
func (p *Placer) standings(now time.Time, names []string) []standing {
	ranked := p.enabled(RulePriority) && p.ranksQueues()
	asked, refused := 0.0, 0.0
	for _, q := range p.queues {
		for i := range sizes {
			asked += q.asked[i]
			refused += q.refused[i]
		}
	}
	floor := floorShare * (1 - refused/max(asked, 1))
	all := make([]standing, 0, len(names))
	for _, name := range names {
		q := p.queueOf(name)
		s := standing{
			queue: name,
			usage: q.usage,
		}
		if ranked {
			s.burst = p.bursts(now, name)
			s.belowFloor = 1-q.refusedShare(usualSize, large, largest) < floor
			s.priority = q.priority
		}
		all = append(all, s)
	}
	slices.SortFunc(all, compareStandings)
	return all
}

// ranksQueues reports whether the queues have different priorities.
func (p *Placer) ranksQueues() bool {
	first := true
	priority := 0
	for _, q := range p.queues {
		if !first && q.priority != priority {
			return true
		}
		first, priority = false, q.priority
	}
	return false
}

// bursts reports whether a queue has a burst: more of its jobs have arrived lately than burstRise times as
// many as usual, and it has used more than its usual share of the capacity. What is usual rises with the
// arrivals of the other queues. The square root is the standard deviation of the number of arrivals.
func (p *Placer) bursts(now time.Time, name string) bool {
	age := now.Sub(p.firstTick)
	// The sums of a placer that is younger than the time constants are incomplete.
	usualToRecent := float64(usageDecayTime) / float64(usualDecayTime) * (1 - decay(age, usageDecayTime)) / (1 - decay(age, usualDecayTime))
	q := p.queueOf(name)
	others, usualOthers, usualWork := 0.0, 0.0, 0.0
	for _, other := range p.queues {
		usualWork += other.usualWork
		if other != q {
			others += other.recentArrivals
			usualOthers += other.usualArrivals * usualToRecent
		}
	}
	usual := q.usualArrivals * usualToRecent
	if usualOthers > 0 {
		usual *= max(1, others/usualOthers)
	}
	return age > 0 && q.recentArrivals > burstRise*usual+math.Sqrt(usual) && p.usageShare(name) > q.usualWork/usualWork
}

// selectVictim returns the job to forward or refuse for the late one at an index of the order, among it and
// those ahead of it that use the same upstreams, or nil if all of them have begun. It is of the first queue by
// compareStandings, and of the jobs of this queue the one with the least slack for its work. A job of which an
// earlier try still runs here has begun: its caller would send it elsewhere while that goes on.
func (p *Placer) selectVictim(now time.Time, lateIndex int) *waitingJob {
	candidates := map[string][]*waitingJob{}
	for _, w := range p.order[:lateIndex+1] {
		if !w.Started && w.Service == p.order[lateIndex].Service && !p.runsLocally(w) {
			candidates[w.Queue] = append(candidates[w.Queue], w)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	s := p.standings(now, slices.Sorted(maps.Keys(candidates)))[0]
	victim := p.queueOf(s.queue).selectJob(now, candidates[s.queue])
	switch {
	case s.burst:
		victim.choice = ChoiceBurst
	case s.priority > 0:
		victim.choice = ChoicePriority
	default:
		victim.choice = ChoiceUsage
	}
	return victim
}

// selectJob returns the job of a queue with the least slack for its work, of the sizes that are not spared
// if there are any.
func (q *queue) selectJob(now time.Time, jobs []*waitingJob) *waitingJob {
	var isSpared [sizes]bool
	for i := range sizes {
		isSpared[i] = q.spared(i)
	}
	slackPerWork := func(w *waitingJob) float64 { return max(w.latestStart.Sub(now).Seconds(), 0) / w.work() }
	return slices.MinFunc(jobs, func(a, b *waitingJob) int {
		return cmp.Or(compareBool(isSpared[q.sizeOf(a.work())], isSpared[q.sizeOf(b.work())]), cmp.Compare(slackPerWork(a), slackPerWork(b)))
	})
}
