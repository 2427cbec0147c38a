package dispatcher

import "time"

// storedReportLifetime is how long after its first update a host uses upstreams of which only a stored report is known.
// It is over three intervals of heartbeats, so that an upstream which exists has reported again.
const storedReportLifetime = 5 * time.Second

// storedReportsExpired reports whether upstreams that have not reported since all control hosts have started count as
// gone. While no control host responds, their reports cannot arrive.
func (c *Core) storedReportsExpired(now time.Time) bool {
	return !c.firstUpdateAt.IsZero() && now.Sub(c.firstUpdateAt) >= storedReportLifetime && len(c.reachableControls) > 0
}

// tickStoredReports assigns the upstreams again when stored reports expire.
func (c *Core) tickStoredReports(now time.Time) {
	if c.storedReportsChecked || !c.storedReportsExpired(now) {
		return
	}
	c.storedReportsChecked = true
	if c.leads() {
		c.assign(now)
	}
}
