//go:build unix

package generator

import (
	"syscall"
	"time"
)

// cpuTime returns the user and system CPU time of this process, or zero if getrusage fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
