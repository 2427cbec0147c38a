package validator

import (
	"fmt"
	"math"
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
	reviewDomains(c, e)
	reviewServices(c, e)
	reviewTeams(c, e)
	reviewLimits(c, e)
	p := e.Promotion
	if p.MinSubmissions == 0 && p.MinSuccessShare > 0 {
		c.add("$.promotion.min-submissions", p.MinSubmissions,
			fmt.Sprintf("without submissions the share of complete ones is 0, which is below `min-success-share` (%v); want 1 or more", p.MinSuccessShare))
	}
	return c.problems
}

// reviewDomains adds a finding for each pair of domains without a distance. Hosts tell their own domain
// from the others by the distance 0.
func reviewDomains(c *checker, e Environment) {
	for i, from := range e.Domains {
		for _, to := range e.Domains[i+1:] {
			if d := from.Distance[to.Name]; d == 0 {
				c.add(fieldPath(itemPath("$.domains", i)+".distance", to.Name), d,
					"0 is the distance within a domain, so that hosts place tasks as if both domains were one; want more than 0")
			}
		}
	}
}

// reviewServices adds a finding for each service for which no submission is accepted, and for each
// value of a service that hosts do not apply or never reach.
func reviewServices(c *checker, e Environment) {
	for i, s := range e.Services {
		path := itemPath("$.services", i)
		if len(e.TeamNames(s.Name)) == 0 {
			c.add(path+".name", s.Name, "no team may use the service, so that its kinds are never run")
		}
		for j, k := range s.Kinds {
			if longest := k.maxTimeout(); k.MaxRunTime.Std() > longest {
				c.add(itemPath(path+".kinds", j)+".max-run-time", k.MaxRunTime,
					fmt.Sprintf("above the longest deadline of a submission of the kind (%s), at which its tasks are ended", longest))
			}
		}
		if s.LongShare == 0 || s.LongShare == 1 {
			c.add(path+".long-share", s.LongShare,
				"hosts use their default instead of a share of 0 or 1; want a share between them")
		}
		if s.MaxQueue > MaxQueuedTasks {
			c.add(path+".max-queue", s.MaxQueue,
				fmt.Sprintf("above the largest number of queued tasks of all services on one host (%d), which is reached first", MaxQueuedTasks))
		}
	}
}

// maxTimeout returns the longest relative deadline that a submission of the kind can have.
func (k Kind) maxTimeout() time.Duration { return max(MaxTimeout, k.Deadline.Std()) }

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

// reviewLimits adds a finding for each limit that another value of the document defeats.
func reviewLimits(c *checker, e Environment) {
	l := e.Limits
	if smallest, ok := smallestBody(e, l.MaxTasks); ok && l.MaxBody < smallest {
		c.add("$.limits.max-body", l.MaxBody,
			fmt.Sprintf("below the smallest body of a job of `max-tasks` (%d) tasks (%d bytes), so that no such job is accepted", l.MaxTasks, smallest))
	}
	// Hosts take the share from the production document, also for submissions to trial.
	if path := firstIdempotent(e); e.Name == Production && l.RetryShare == 0 && path != "" {
		c.add("$.limits.retry-share", l.RetryShare, "no task is sent again, so that `idempotent` has no effect, as at "+path)
	}
	var longest time.Duration
	for _, s := range e.Services {
		for _, k := range s.Kinds {
			longest = max(longest, k.maxTimeout())
		}
	}
	if l.DisconnectGrace.Std() > longest {
		c.add("$.limits.receiver-grace", l.DisconnectGrace,
			fmt.Sprintf("above the longest deadline of a submission (%s), so that none is cancelled because its caller disconnected", longest))
	}
}

// smallestBody returns the length of the shortest HTTP request body with the given number of tasks, or
// false if no team may use a service. Empty payloads are accepted.
func smallestBody(e Environment, tasks int) (int64, bool) {
	names := math.MaxInt
	for _, s := range e.Services {
		for _, team := range e.TeamNames(s.Name) {
			for _, k := range s.Kinds {
				names = min(names, len(s.Name)+len(k.Name)+len(team))
			}
		}
	}
	if names == math.MaxInt {
		return 0, false
	}
	payloads := tasks*len(`"",`) - len(`,`)
	return int64(len(`{"service":"","kind":"","team":"","tasks":[]}`) + names + payloads), true
}

// firstIdempotent returns the path of the first kind that is idempotent, or "".
func firstIdempotent(e Environment) string {
	for i, s := range e.Services {
		for j, k := range s.Kinds {
			if k.Idempotent {
				return itemPath(itemPath("$.services", i)+".kinds", j)
			}
		}
	}
	return ""
}
