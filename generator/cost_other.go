//go:build !unix

package generator

import "time"

// processorTime returns zero, since the system does not say.
func processorTime() time.Duration { return 0 }
