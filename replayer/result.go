package replayer

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// ending is how a job has ended.
type ending int

const (
	served ending = iota
	failedJob
	refusedJob
	unserved
)

// windowSeconds is the length of the windows in which the worst is looked for.
const windowSeconds = 2

// Count is what became of some jobs.
type Count struct {
	Jobs    int
	InTime  int
	Late    int
	Refused int
	Failed  int
	// Unserved jobs were answered too late to be of use, or not at all.
	Unserved int
	Owed     float64
	Earned   float64
}

// Share returns earned over owed worth.
func (c *Count) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// Result is what came out of a play.
type Result struct {
	Total   Count
	Queues  map[string]*Count
	Domains map[string]*Count
	Windows []*Count
	Starts  int
	// Rejected starts found no room on the upstream, Passed jobs went to another domain,
	// Moved runs were stopped to be placed again.
	Rejected int
	Passed   int
	Moved    int
	// Wasted is the work, in core-seconds, that brought nobody an answer.
	Wasted float64

	script *Script
}

func newResult(s *Script) *Result {
	r := &Result{
		Queues:  map[string]*Count{},
		Domains: map[string]*Count{},
		script:  s,
	}
	for i := range s.Queues {
		r.Queues[s.Queues[i].Name] = &Count{}
	}
	for i := range s.Domains {
		r.Domains[s.Domains[i].Name] = &Count{}
	}
	for range int(math.Ceil(s.Seconds / windowSeconds)) {
		r.Windows = append(r.Windows, &Count{})
	}
	return r
}

func (r *Result) count(j *job, how ending, took time.Duration) {
	for _, c := range []*Count{
		&r.Total,
		r.Queues[j.queue.Name],
		r.Domains[r.script.Domains[j.domain].Name],
		r.Windows[int(j.at.Seconds()/windowSeconds)],
	} {
		c.count(j, how, took)
	}
}

func (c *Count) count(j *job, how ending, took time.Duration) {
	c.Jobs++
	if j.hopless {
		return
	}
	c.Owed += j.worth * j.queue.Worth
	switch {
	case how == refusedJob:
		c.Refused++
	case how == failedJob:
		c.Failed++
	case how == served && took <= j.objective:
		c.InTime++
		c.Earned += j.worth * j.queue.Worth
	case how == served && took <= 3*j.objective:
		c.Late++
		c.Earned += j.worth * j.queue.LateWorth
	default:
		c.Unserved++
	}
}

// Worst returns the mean share of the two worst windows.
func (r *Result) Worst() float64 {
	first, second := 1.0, 1.0
	for _, w := range r.Windows {
		switch share := w.Share(); {
		case share < first:
			first, second = share, first
		case share < second:
			second = share
		}
	}
	return (first + second) / 2
}

// String returns a table.
func (r *Result) String() string {
	var b strings.Builder
	line := func(name string, c *Count) {
		fmt.Fprintf(&b, "%-16s %6d %6.3f in time %6.3f late %6.3f refused %6.3f failed %6.3f unserved %6.3f\n", name, c.Jobs, c.Share(),
			share(c.InTime, c), share(c.Late, c), share(c.Refused, c), share(c.Failed, c), share(c.Unserved, c))
	}
	line("all", &r.Total)
	for i := range r.script.Queues {
		line(r.script.Queues[i].Name, r.Queues[r.script.Queues[i].Name])
	}
	for i := range r.script.Domains {
		line(r.script.Domains[i].Name, r.Domains[r.script.Domains[i].Name])
	}
	fmt.Fprintf(&b, "worst windows %.3f, starts %d, rejected %d, passed on %d, moved %d, wasted %.1f core-seconds\n", r.Worst(), r.Starts,
		r.Rejected, r.Passed, r.Moved, r.Wasted)
	return b.String()
}

func share(n int, c *Count) float64 { return float64(n) / float64(max(1, c.Jobs)) }
