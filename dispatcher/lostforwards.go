package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/tracker"
)

// The result of a forwarded job arrives over the sessions over which the job was forwarded. If one of them ends, the
// other domain stops the runs, and the entry host holds the job until they have certainly ended. Meanwhile it asks the
// other domain for the result through the present placers: the job may have ended before its runs were stopped, or none
// of its tasks may have started. Otherwise the job is then placed again. If that is not possible, it is answered as
// lost, but so that a caller who sends it again does not find runs of it.

const (
	// requeueDelay is the time from the end of a session over which a job was forwarded until its
	// runs have certainly ended. The other side detects the loss within SuspectAfter and stops the
	// runs, or they end with a lease that is not renewed. If the other host has crashed, new
	// leaseholders find the runs after SuspectAfter and stop them as orphans; the leaseholder may
	// change once more meanwhile.
	requeueDelay = 2*SuspectAfter + cancelForwardTime + 200*time.Millisecond
	// resendTime is the least time after which callers send a job again that was answered as lost.
	resendTime = 1300 * time.Millisecond
	// resultRequestInterval is the time between two requests for the result of a job.
	resultRequestInterval = 300 * time.Millisecond
	// resultRetention is how long the end of a forwarded job is kept. The entry host may detect the loss of a
	// session SuspectAfter after the job has ended, and asks until requeueDelay after that.
	resultRetention = requeueDelay + 2*SuspectAfter
)

// endedForward is the end of a job that another domain has forwarded to this host.
type endedForward struct {
	forward uint64
	// result has the outcome Abandoned if no task of the job has started.
	result Result
	until  time.Time
}

// recordForwardEnd records the end of a job from another domain if it is certain that no task of it may start or run
// any more.
func (c *Core) recordForwardEnd(now time.Time, j *job) {
	dropped := j.result.Outcome == tracker.Abandoned && len(j.callers) == 0 && j.isLocal() && !j.tracker.Started()
	switch {
	case j.received == 0:
	case dropped || j.result.Outcome == tracker.Complete || j.result.Outcome == tracker.Failed || j.result.Outcome == tracker.NotRun:
		c.endedForwards[j.tracker.Job.ID] = endedForward{
			forward: j.received,
			result:  j.result,
			until:   now.Add(resultRetention),
		}
	}
}

// pruneEndedForwards forgets the ends of forwarded jobs for which no entry host asks any more.
func (c *Core) pruneEndedForwards(now time.Time) {
	maps.DeleteFunc(c.endedForwards, func(_ string, e endedForward) bool { return !now.Before(e.until) })
}

// forwardLost handles the loss of a forwarded job, or of a session over which it was forwarded. Tasks of the job may
// have started, and the other side may not have detected the loss yet.
func (c *Core) forwardLost(now time.Time, j *job) {
	j.forwardedVia = ""
	j.requeueAt = now.Add(requeueDelay)
	j.requestResultAt = now
}

// tickLostForward places a held job again once its runs have certainly ended, ends it if that will not be possible,
// and asks for its result until then.
func (c *Core) tickLostForward(now time.Time, j *job) {
	placeable := c.closedFor() != placer.ReasonEvacuated && j.requeueAt.Before(j.tracker.Job.Deadline)
	switch {
	case !placeable && !now.Before(j.requeueAt.Add(-resendTime)):
		j.tracker.Finish(tracker.Lost, "the job was lost in another failure domain")
		c.advanceJob(now, j)
	case !now.Before(j.requeueAt):
		j.requeueAt = time.Time{}
		j.tracker.MarkStarted()
		c.requestPlacement(now, j)
	case !now.Before(j.requestResultAt):
		j.requestResultAt = now.Add(resultRequestInterval)
		// Each placer has a session with one placer of the other domain.
		for _, address := range c.assigned.Placers {
			c.send(address, kindResultRequest, resultRequest{
				Job:     j.tracker.Job.ID,
				Forward: j.forward,
				Domain:  j.forwardedTo,
			})
		}
	}
}

// receiveResultRequest relays a request from the own domain, or answers one of another domain if the job has ended
// here. An entry host repeats a request without an answer.
func (c *Core) receiveResultRequest(from string, m resultRequest) {
	if m.Domain != c.cfg.Self.Domain {
		m.Entry = from
		for _, address := range slices.Sorted(maps.Keys(c.remotePlacers)) {
			if c.remotePlacers[address].domain == m.Domain && c.sessions[address] {
				c.send(address, kindResultRequest, m)
			}
		}
		return
	}
	if e, ended := c.endedForwards[m.Job]; ended && e.forward == m.Forward {
		c.send(from, kindRecoveredResult, recoveredResult{
			Job:        m.Job,
			Forward:    m.Forward,
			Entry:      m.Entry,
			Outcome:    e.result.Outcome,
			Reason:     e.result.Reason,
			RetryAfter: e.result.RetryAfter,
		})
	}
}

// receiveRecoveredResult relays the end of a forwarded job to its entry host. There the job ends, or is placed again
// at once if none of its tasks has started.
func (c *Core) receiveRecoveredResult(now time.Time, m recoveredResult) {
	if m.Entry != c.cfg.Self.Address {
		c.send(m.Entry, kindRecoveredResult, m)
		return
	}
	j := c.jobs[m.Job]
	if j == nil || j.requeueAt.IsZero() || j.forward != m.Forward {
		return
	}
	j.requeueAt = time.Time{}
	if m.Outcome == tracker.Abandoned {
		j.recovered = j.forward
	} else {
		j.result.RetryAfter = m.RetryAfter
		j.tracker.Finish(m.Outcome, m.Reason)
	}
	c.advanceJob(now, j)
}
