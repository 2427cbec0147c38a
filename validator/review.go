package validator

import (
	"fmt"
	"time"
)

const (
	// MaxQueuedTasks is the largest number of queued tasks of all services on one host. It bounds the
	// memory of the queue.
	MaxQueuedTasks = 100_000
	// MaxTimeout is the longest timeout that a caller may set for a submission. The default deadline of
	// a kind may be longer.
	MaxTimeout = time.Hour
)

// Review lists entries of an accepted document that have no effect, or that contradict each other, in
// the order of the document. Hosts apply such a document; the findings are for its author.
func Review(e Environment) []Problem {
	c := &checker{}
	reviewServices(c, e)
	reviewTeams(c, e)
	p := e.Promotion
	if p.MinSubmissions == 0 && p.MinSuccessShare > 0 {
		c.add("$.promotion.min-submissions", p.MinSubmissions,
			fmt.Sprintf("without submissions the share of complete ones is 0, which is below `min-success-share` (%v); want 1 or more", p.MinSuccessShare))
	}
	return c.problems
}

// reviewServices adds a finding for each service for which no submission is accepted.
func reviewServices(c *checker, e Environment) {
	for i, s := range e.Services {
		if len(e.TeamNames(s.Name)) == 0 {
			c.add(itemPath("$.services", i)+".name", s.Name, "no team may use the service, so that its kinds are never run")
		}
	}
}

// reviewTeams adds a finding for each burst that the queues of all services of the team shadow.
func reviewTeams(c *checker, e Environment) {
	for i, t := range e.Teams {
		longest := 0
		for _, name := range t.Services {
			if s, ok := e.Service(name); ok {
				longest = max(longest, s.MaxQueue)
			}
		}
		if t.Burst > longest {
			c.add(itemPath("$.teams", i)+".burst", t.Burst,
				fmt.Sprintf("above the largest `max-queue` (%d) of the team's services, so that a burst of this size fits into no queue", longest))
		}
	}
}
