package dispatcher

import "time"

// storedReportLifetime is how long after its first update a host uses upstreams of which only a stored report is known.
// It is over three intervals of heartbeats, so that an upstream which exists has reported again.
const storedReportLifetime = 5 * time.Second

// tickStoredReports assigns the upstreams again once those that have not reported since all control hosts have started
// count as gone. While no control host responds, their reports cannot arrive.
func (c *Core) tickStoredReports(now time.Time) {
	if c.storedReportsExpired || c.firstUpdateAt.IsZero() || now.Sub(c.firstUpdateAt) < storedReportLifetime || len(c.reachableControls) == 0 {
		return
	}
	c.storedReportsExpired = true
	if c.leads() {
		c.assign(now)
	}
}
