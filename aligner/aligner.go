// Package aligner aligns periodic work. Timers that expire at the same instants wake a process once
// for all of them, and hosts whose heartbeats leave at the same instants wake the host that receives
// them once.
package aligner

import "time"

// Until returns the time from now until the next multiple of the interval on the wall clock. It is
// above zero and at most the interval.
func Until(now time.Time, interval time.Duration) time.Duration {
	// Truncate works on the wall clock only after the monotonic clock reading is stripped.
	wall := now.Round(0)
	return wall.Truncate(interval).Add(interval).Sub(wall)
}
