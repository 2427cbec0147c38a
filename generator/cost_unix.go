//go:build unix

package generator

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that the process has used, or zero if the
// system does not say.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
