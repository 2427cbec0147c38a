package dispatcher

import "time"

// A host that has just started has no placer to send jobs to. Jobs that could not be served once there is one are refused
// at once; the others wait for the first assignment, but not for long. Nothing of these jobs has run.

const (
	// assignmentWait is how long a job waits for the first assignment: the longest time until a host that has received
	// updates chooses the leader, and one batch to or from it that is lost.
	assignmentWait = maxDiscoveryTime + ResendAfter
	// unplacedRetryAfter is the time after which callers of refused jobs may send them again. Hosts that start together
	// place jobs before that.
	unplacedRetryAfter = time.Second
	// noUpstreamReason is the reason of the refusal if there is no upstream.
	noUpstreamReason = "no upstream is known"
)

// unplaceable returns why a job cannot be placed at present, or "".
func (c *Core) unplaceable(now time.Time, j *job) string {
	switch {
	case len(c.assigned.Placers) > 0:
		// The placer decides.
		return ""
	case !c.knowsCapacity():
		return noUpstreamReason
	case now.Sub(j.tracker.Job.Arrived) >= assignmentWait:
		return "no placer is known"
	default:
		return ""
	}
}

// knowsCapacity reports whether an upstream of the domain is known that does not count as gone, or a placer of another
// domain.
func (c *Core) knowsCapacity() bool {
	return len(c.assigned.Leaseholders) > 0 || len(c.remotePlacers) > 0 || len(c.domainUpstreams()) > 0
}

// refuseUnplaceable refuses a job without runs that cannot be placed at present, and reports whether it did.
func (c *Core) refuseUnplaceable(now time.Time, j *job) bool {
	reason := c.unplaceable(now, j)
	if reason == "" || j.tracker.Started() || !j.isLocal() {
		return false
	}
	j.requestedAt = time.Time{}
	j.result.RetryAfter = unplacedRetryAfter
	j.tracker.Refuse(reason)
	c.advanceJob(now, j)
	return true
}
