package replayer

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// jobOutcome is the way in which a job has ended.
type jobOutcome int

const (
	served jobOutcome = iota
	failedJob
	refusedJob
	unserved
)

// windowSeconds is the length of the time windows, by arrival, of which the worst are reported.
const windowSeconds = 2

// Count holds the outcomes of a group of jobs. Jobs that always fail count in Jobs only.
type Count struct {
	Jobs    int
	InTime  int
	Late    int
	Refused int
	Failed  int
	// Unserved jobs were answered after more than three times their objective, or not at all.
	Unserved int
	// PossibleValue is the value if all jobs had ended in time, EarnedValue the value of those that
	// ended in time or late.
	PossibleValue float64
	EarnedValue   float64
}

// ValueShare returns the earned share of the possible value, or 1 if no value was possible.
func (c *Count) ValueShare() float64 {
	if c.PossibleValue == 0 {
		return 1
	}
	return c.EarnedValue / c.PossibleValue
}

// Result is the result of one replay. Its maps are keyed by the names of queues and domains; a job
// counts in the window in which it arrived.
type Result struct {
	Total  Count
	Queues map[string]*Count
	// Largest counts the tenth of the jobs of each queue with the most work, Large the fifth with the
	// most work below these.
	Large, Largest map[string]*Count
	Domains        map[string]*Count
	Windows        []*Count
	// Starts is the number of runs that have started.
	Starts int
	// Rejected is the number of starts for which the upstream had too little free capacity,
	// Forwarded that of jobs sent to another placer, Rescheduled that of runs stopped by a placer
	// to be placed again.
	Rejected    int
	Forwarded   int
	Rescheduled int
	// WastedCoreSeconds is the work, in core-seconds, of runs that failed or were stopped.
	WastedCoreSeconds float64

	script *Script
}

func newResult(s *Script) *Result {
	r := &Result{
		Queues:  map[string]*Count{},
		Large:   map[string]*Count{},
		Largest: map[string]*Count{},
		Domains: map[string]*Count{},
		script:  s,
	}
	for i := range s.Queues {
		r.Queues[s.Queues[i].Name] = &Count{}
		r.Large[s.Queues[i].Name] = &Count{}
		r.Largest[s.Queues[i].Name] = &Count{}
	}
	for i := range s.Domains {
		r.Domains[s.Domains[i].Name] = &Count{}
	}
	for range int(math.Ceil(s.DurationSeconds / windowSeconds)) {
		r.Windows = append(r.Windows, &Count{})
	}
	return r
}

func (r *Result) count(j *job, outcome jobOutcome, took time.Duration) {
	for _, c := range []*Count{
		&r.Total,
		r.Queues[j.queue.Name],
		r.Domains[r.script.Domains[j.domain].Name],
		r.Windows[int(j.arrival.Seconds()/windowSeconds)],
	} {
		c.count(j, outcome, took)
	}
	switch {
	case j.largest:
		r.Largest[j.queue.Name].count(j, outcome, took)
	case j.large:
		r.Large[j.queue.Name].count(j, outcome, took)
	}
}

func (c *Count) count(j *job, outcome jobOutcome, took time.Duration) {
	c.Jobs++
	if j.alwaysFails {
		return
	}
	c.PossibleValue += j.value * j.queue.Value
	switch {
	case outcome == refusedJob:
		c.Refused++
	case outcome == failedJob:
		c.Failed++
	case outcome == served && took <= j.objective:
		c.InTime++
		c.EarnedValue += j.value * j.queue.Value
	case outcome == served && took <= 3*j.objective:
		c.Late++
		c.EarnedValue += j.value * j.queue.LateValue
	default:
		c.Unserved++
	}
}

// WorstWindowShare returns the mean of ValueShare over the two windows in which it is lowest.
func (r *Result) WorstWindowShare() float64 {
	first, second := 1.0, 1.0
	for _, w := range r.Windows {
		switch share := w.ValueShare(); {
		case share < first:
			first, second = share, first
		case share < second:
			second = share
		}
	}
	return (first + second) / 2
}

// String returns a table of the outcomes, in total and for each queue and domain.
func (r *Result) String() string {
	var b strings.Builder
	line := func(name string, c *Count) {
		fmt.Fprintf(&b, "%-16s %6d %6.3f in time %6.3f late %6.3f refused %6.3f failed %6.3f unserved %6.3f\n", name, c.Jobs, c.ValueShare(),
			share(c.InTime, c), share(c.Late, c), share(c.Refused, c), share(c.Failed, c), share(c.Unserved, c))
	}
	line("all", &r.Total)
	for i := range r.script.Queues {
		line(r.script.Queues[i].Name, r.Queues[r.script.Queues[i].Name])
	}
	for i := range r.script.Domains {
		line(r.script.Domains[i].Name, r.Domains[r.script.Domains[i].Name])
	}
	fmt.Fprintf(&b, "worst windows %.3f, starts %d, rejected %d, forwarded %d, rescheduled %d, wasted %.1f core-seconds\n", r.WorstWindowShare(), r.Starts,
		r.Rejected, r.Forwarded, r.Rescheduled, r.WastedCoreSeconds)
	return b.String()
}

func share(n int, c *Count) float64 { return float64(n) / float64(max(1, c.Jobs)) }
