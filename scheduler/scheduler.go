// Package scheduler implements a fair-share queue of tasks that decides which task starts next
// and on which upstream.
//
// A Queue holds the queued and the running tasks of one host. It guarantees that each added
// task is removed exactly once, by Done, Cancel, Expire, Take or RemoveUpstream; that no
// upstream is assigned more tasks than its slots, connections and capacity allow; and that long
// tasks get their share of the slots, but no more than that share while short tasks are queued.
//
// The tasks of a service may demand different amounts of the capacity of an upstream. If the
// task at the head of a queue finds a free slot but too little free capacity, an upstream is
// reserved for it. Otherwise smaller tasks could use up the capacity each time some becomes free.
//
// The caller passes the current time to each call. It calls Next until it reports false
// whenever a task, a slot or an upstream has been added, and Done for each task that has
// ended. Cancel leaves running tasks on their slots until Done, because an upstream is busy
// until it has stopped them. Every few milliseconds the caller calls Expire, and Overdue followed
// by Reclassify, so that tasks that cannot meet their deadlines or run much longer than
// estimated do not delay others. For admission, it compares EstimateJobWait with the deadline.
// EstimateWait ignores teams and is too short for a team that has queued more than others.
//
// The number of queued tasks is bounded by Config.MaxTasks and ServiceConfig.MaxTasks, the number
// of running tasks by the slots. Services are never removed, so the caller must pass only names of
// configured services. Each decision takes at most logarithmic time in the number of upstreams
// and queued tasks; in addition, Next visits each service and EstimateJobWait each team.
//
// A Queue starts no goroutines, reads no clock and is not safe for concurrent use. Its random
// choices depend on Config.Seed alone. It is held in memory only.
package scheduler

import (
	"math/rand/v2"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Policy is the rule by which tasks are ordered and upstreams are chosen.
type Policy string

// The policies. The two FIFO policies are baselines for comparison.
const (
	// FairShare queues short and long tasks separately and shares the slots between teams.
	FairShare Policy = "sesame"
	// FIFORandom has one queue per service in order of arrival and chooses a random upstream
	// with a free slot.
	FIFORandom Policy = "fifo-random"
	// FIFOLeastLoaded has one queue per service in order of arrival and chooses the upstream
	// with the largest weighted share of free slots.
	FIFOLeastLoaded Policy = "fifo-least-loaded"
)

const (
	// defaultLongShare is used if Config.LongShare is not between 0 and 1.
	defaultLongShare = 0.25
	// defaultMaxTasks is used if Config.MaxTasks is not above zero.
	defaultMaxTasks = 100_000
)

// Config holds the settings of a Queue.
type Config struct {
	// MaxTasks is the largest number of queued tasks; 100,000 if it is not above zero.
	MaxTasks int
	// LongShare is the share of the slots that long tasks are entitled to; 0.25 unless it
	// is between 0 and 1.
	LongShare float64
	// Policy is FairShare if it is empty.
	Policy Policy
	// Seed determines all random choices.
	Seed uint64
	// TeamWeight returns the weight of a team. If it is nil or the result is not above zero,
	// the weight is 1. A change of the weight takes effect when the team next queues a task.
	TeamWeight func(team string) float64
}

// ServiceConfig holds settings of one service that override those of Config.
type ServiceConfig struct {
	// MaxTasks is the largest number of queued tasks of the service. If it is not above zero,
	// only Config.MaxTasks applies.
	MaxTasks int
	// LongShare replaces Config.LongShare if it is between 0 and 1.
	LongShare float64
	// MinDemand has the smallest amount of each resource that a task of the service may demand.
	// An upstream with a capacity counts as having at most the slots that such tasks could use.
	MinDemand sesamedrift.Resources
}

// Queue holds the queued and running tasks of one host. New creates it.
type Queue struct {
	cfg          Config
	random       *rand.Rand
	services     map[string]*service
	visitOrder   []*service // all services, in the order in which Next visits them
	cursor       int        // index in visitOrder of the service that Next visited last
	upstreams    map[string]*upstream
	tasks        map[string]*entry // queued and running, by task identifier
	jobs         map[string]*job
	unclassified map[kindName]*unclassifiedKind
	expiry       heap[*group] // jobs with a deadline, by latest start
	timeline     heap[*entry] // running tasks, by the next time at which their state changes
	overdue      heap[*entry] // running tasks past their long threshold, for the next Overdue
	queued       int
	starts       uint64 // number of starts by Next
}

// New returns an empty Queue. It replaces settings that are out of range by their defaults.
func New(cfg Config) *Queue {
	if cfg.LongShare <= 0 || cfg.LongShare >= 1 {
		cfg.LongShare = defaultLongShare
	}
	if cfg.MaxTasks <= 0 {
		cfg.MaxTasks = defaultMaxTasks
	}
	if cfg.Policy == "" {
		cfg.Policy = FairShare
	}
	return &Queue{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		services:     map[string]*service{},
		upstreams:    map[string]*upstream{},
		tasks:        map[string]*entry{},
		jobs:         map[string]*job{},
		unclassified: map[kindName]*unclassifiedKind{},
		expiry: heap[*group]{
			less:     func(a, b *group) bool { return a.latestStart.Before(b.latestStart) },
			position: func(g *group) *int { return &g.expiryPosition },
		},
		timeline: heap[*entry]{
			less:     func(a, b *entry) bool { return a.nextChange.Before(b.nextChange) },
			position: func(e *entry) *int { return &e.position },
		},
		overdue: heap[*entry]{
			less: func(a, b *entry) bool {
				if !a.overdueAt.Equal(b.overdueAt) {
					return a.overdueAt.Before(b.overdueAt)
				}
				return a.task.ID < b.task.ID
			},
			position: func(e *entry) *int { return &e.overduePosition },
		},
	}
}

// Len returns the number of queued tasks.
func (q *Queue) Len() int { return q.queued }

// FreeSlots returns the number of free slots of the serving upstreams of the service.
// Probing upstreams are not counted, since only selected tasks are started on them.
func (q *Queue) FreeSlots(service string) int {
	if s, ok := q.services[service]; ok {
		return s.freeSlots
	}
	return 0
}

// ConfigureService changes the settings of a service. Tasks that are already queued or running
// beyond the new limits stay.
func (q *Queue) ConfigureService(now time.Time, service string, c ServiceConfig) {
	q.advance(now)
	s := q.service(service)
	for _, u := range q.upstreams {
		if u.service == s {
			s.subtractUpstream(u)
		}
	}
	s.maxTasks = c.MaxTasks
	s.minDemand = c.MinDemand
	s.longShare = q.cfg.LongShare
	if c.LongShare > 0 && c.LongShare < 1 {
		s.longShare = c.LongShare
	}
	// The order of longByScore depends on the share.
	for _, u := range s.byScore.items {
		s.longByScore.remove(u)
	}
	for _, u := range s.byScore.items {
		s.longByScore.push(u)
	}
	for _, u := range q.upstreams {
		if u.service == s {
			s.addUpstream(u)
		}
	}
}

// Stats describes the current load of a service.
type Stats struct {
	ShortQueued, LongQueued   int
	ShortRunning, LongRunning int // on serving upstreams; tasks added by Occupy count as short
	Slots, FreeSlots          int // of serving upstreams
	ReservedSlots             int // slots kept free for short tasks when long tasks exceed their share
}

// Stats returns the current load of a service. The FIFO policies count all queued tasks as short.
func (q *Queue) Stats(now time.Time, service string) Stats {
	q.advance(now)
	s, ok := q.services[service]
	if !ok {
		return Stats{}
	}
	st := Stats{
		ShortQueued:   s.short.tasks,
		ShortRunning:  s.slots - s.freeSlots - s.longRunning,
		LongRunning:   s.longRunning,
		Slots:         s.slots,
		FreeSlots:     s.freeSlots,
		ReservedSlots: s.arrivals.reservedSlots(now),
	}
	if s.long != s.short {
		st.LongQueued = s.long.tasks
	}
	return st
}

func (q *Queue) service(name string) *service {
	s, ok := q.services[name]
	if !ok {
		s = newService(q.cfg)
		q.services[name] = s
		q.visitOrder = append(q.visitOrder, s)
	}
	return s
}

// advance applies the state changes that are due at the given time: it frees slots whose Occupy
// time has passed, and marks running tasks that exceed their estimates or long thresholds.
func (q *Queue) advance(now time.Time) {
	for q.timeline.len() > 0 {
		e := q.timeline.top()
		if e.nextChange.After(now) {
			return
		}
		if e.occupied {
			q.releaseSlot(e)
			continue
		}
		q.timeline.remove(e)
		if !e.pastEstimate {
			e.upstream.service.load(e).movePastEstimate(e)
			e.pastEstimate = true
		}
		switch {
		case e.overdueAt.IsZero():
		case e.overdueAt.After(now):
			e.nextChange = e.overdueAt
			q.timeline.push(e)
		default:
			q.overdue.push(e)
		}
	}
}
