package dispatcher

import "time"

// storedReportLifetime is how long a host that hears from control hosts uses upstreams of which only a stored report is
// known. It is over three intervals of heartbeats, so that an upstream which exists has reported again.
const storedReportLifetime = 5 * time.Second

// tickStoredReports assigns the upstreams again once those that have not reported since all control hosts have started
// count as gone. While no control host responds, their reports cannot arrive, so that the time begins anew after that.
func (c *Core) tickStoredReports(now time.Time) {
	if c.storedReportsExpired {
		return
	}
	if c.firstUpdateAt.IsZero() || len(c.reachableControls) == 0 {
		c.controlsHeardSince = time.Time{}
		return
	}
	if c.controlsHeardSince.IsZero() {
		c.controlsHeardSince = now
	}
	if now.Sub(c.controlsHeardSince) < storedReportLifetime {
		return
	}
	c.storedReportsExpired = true
	if c.leads() {
		c.assign(now)
	}
}
