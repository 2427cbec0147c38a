//go:build !unix

package generator

import "time"

// cpuTime returns zero, since this operating system does not provide getrusage.
func cpuTime() time.Duration { return 0 }
