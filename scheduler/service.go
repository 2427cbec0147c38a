package scheduler

import (
	"time"

	"sesamedrift.example/sesamedrift"
)

// startedJobSlotDivisor determines which started jobs come before the order of the teams: those with
// at most as many queued tasks as the slots of the service divided by this number.
const startedJobSlotDivisor = 4

// service holds the upstreams and the queues of one service. The sums and heaps cover the serving
// upstreams, except for probes.
type service struct {
	longShare   float64
	minDemand   sesamedrift.Resources
	reservation reservation
	maxTasks    int // zero if only Config.MaxTasks applies
	fifo        bool
	short       *classQueue
	long        *classQueue // the same queue as short for the FIFO policies

	slots       int
	freeSlots   int
	longRunning int
	byScore     heap[*upstream]
	longByScore heap[*upstream] // upstreams that accept long tasks come first
	withFree    []*upstream     // serving upstreams with a free slot, for random choices
	probes      heap[*upstream] // probing upstreams with a free slot, the longest idle one first

	// credit is the run time that long tasks have earned while short tasks were started. It is
	// used where the share of long tasks is less than one slot.
	credit   time.Duration
	arrivals arrivals
	loads    map[Class]*load
}

func newService(cfg Config) *service {
	s := &service{
		longShare: cfg.LongShare,
		fifo:      cfg.Policy != FairShare,
		byScore: heap[*upstream]{
			less:     betterUpstream,
			position: func(u *upstream) *int { return &u.scorePosition },
		},
		longByScore: heap[*upstream]{
			less: func(a, b *upstream) bool {
				if a.acceptsLong() != b.acceptsLong() {
					return a.acceptsLong()
				}
				return betterUpstream(a, b)
			},
			position: func(u *upstream) *int { return &u.longPosition },
		},
		probes: heap[*upstream]{
			less: func(a, b *upstream) bool {
				if !a.idleSince.Equal(b.idleSince) {
					return a.idleSince.Before(b.idleSince)
				}
				return a.ID < b.ID
			},
			position: func(u *upstream) *int { return &u.probePosition },
		},
		loads: map[Class]*load{
			Short: {},
			Long:  {},
		},
	}
	s.short = newClassQueue(s.fifo)
	s.long = s.short
	if !s.fifo {
		s.long = newClassQueue(false)
	}
	return s
}

// queued returns the number of queued tasks of both classes.
func (s *service) queued() int {
	if s.long == s.short {
		return s.short.tasks
	}
	return s.short.tasks + s.long.tasks
}

func (s *service) queue(c Class) *classQueue {
	if c == Long {
		return s.long
	}
	return s.short
}

// markStarted records that a task of the job has been started or removed by Take, and prioritises
// the queued tasks of the job.
func (s *service) markStarted(j *job) {
	j.started = true
	for _, g := range j.groups {
		s.prioritise(g)
	}
}

// prioritise places the queued tasks of a started job before the order of the teams. Jobs that
// would fill a large part of the slots at once stay in that order, so that other teams do not wait
// for all of their tasks.
func (s *service) prioritise(g *group) {
	if !s.fifo && g.tasks.len() <= s.slots/startedJobSlotDivisor && !g.queue.startedJobs.contains(g) {
		g.queue.startedJobs.push(g)
	}
}

// subtractUpstream subtracts an upstream from the sums before it changes.
func (s *service) subtractUpstream(u *upstream) {
	s.probes.remove(u)
	if !s.byScore.contains(u) {
		return
	}
	s.slots -= u.limit()
	s.freeSlots -= u.freeSlots
	s.longRunning -= u.longRunning
	// The upstream stays in byScore and longByScore; addUpstream fixes its position or removes it.
}

// addUpstream adds an upstream to the sums, heaps and lists again after it has changed.
func (s *service) addUpstream(u *upstream) {
	limit := u.limit()
	u.freeSlots = max(0, limit-len(u.running))
	if u.bounded() {
		u.freeSlots = u.freeCapacity().CountFitting(s.minDemand, u.freeSlots)
	}
	u.score = 0
	if limit > 0 {
		u.score = u.Weight * float64(u.freeSlots) / float64(limit)
	}
	s.listFree(u)
	if u.State == Probing && u.freeSlots > 0 {
		s.probes.push(u)
	}
	if !u.serving() {
		s.byScore.remove(u)
		s.longByScore.remove(u)
		return
	}
	s.slots += limit
	s.freeSlots += u.freeSlots
	s.longRunning += u.longRunning
	if s.byScore.contains(u) {
		s.byScore.fix(u)
		s.longByScore.fix(u)
	} else {
		s.byScore.push(u)
		s.longByScore.push(u)
	}
}

// listFree adds the upstream to withFree or removes it, according to its free slots.
func (s *service) listFree(u *upstream) {
	hasFree, listed := u.serving() && u.freeSlots > 0, u.freePosition > 0
	switch {
	case hasFree && !listed:
		s.withFree = append(s.withFree, u)
		u.freePosition = len(s.withFree)
	case !hasFree && listed:
		last := len(s.withFree) - 1
		moved := s.withFree[last]
		s.withFree[u.freePosition-1] = moved
		moved.freePosition = u.freePosition
		s.withFree[last] = nil
		s.withFree = s.withFree[:last]
		u.freePosition = 0
	}
}

// removeUpstream removes an upstream from the heaps and lists. The caller has called
// subtractUpstream before.
func (s *service) removeUpstream(u *upstream) {
	s.byScore.remove(u)
	s.longByScore.remove(u)
	u.freeSlots = 0
	s.listFree(u)
}

// longLimit returns the number of slots that long tasks are entitled to.
func (s *service) longLimit() int { return max(1, s.longShareSlots()) }

// longShareSlots returns longLimit without the minimum of one slot.
func (s *service) longShareSlots() int { return int(float64(s.slots) * s.longShare) }

// load holds the sums from which the remaining run time of the running tasks of a class is
// computed. Times are seconds since the Unix epoch as floating-point numbers, because sums of
// integer nanoseconds would overflow.
type load struct {
	tasks        int     // tasks that have not passed their estimates
	endTimes     float64 // sum of their expected ends
	pastEstimate float64 // sum of the estimates of the other tasks
}

func (s *service) load(e *entry) *load {
	if e.task.Class == Long {
		return s.loads[Long]
	}
	return s.loads[Short]
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

func (l *load) add(e *entry) {
	if e.pastEstimate {
		l.pastEstimate += e.task.Estimate.Seconds()
		return
	}
	l.tasks++
	l.endTimes += unixSeconds(e.expectedEnd)
}

func (l *load) remove(e *entry) {
	if e.pastEstimate {
		l.pastEstimate = max(0, l.pastEstimate-e.task.Estimate.Seconds())
		return
	}
	l.tasks--
	l.endTimes -= unixSeconds(e.expectedEnd)
	if l.tasks == 0 {
		l.endTimes = 0 // drops rounding errors
	}
}

// movePastEstimate moves a task that has run for longer than its estimate to the sum
// pastEstimate. Such a task is expected to run for the length of its estimate once more.
func (l *load) movePastEstimate(e *entry) {
	l.remove(e)
	l.pastEstimate += e.task.Estimate.Seconds()
}

// remaining returns the expected remaining run time of all tasks, in seconds.
func (l *load) remaining(now time.Time) float64 {
	return max(0, l.endTimes-float64(l.tasks)*unixSeconds(now)) + l.pastEstimate
}
