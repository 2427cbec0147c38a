//go:build !linux

package messenger

import (
	"syscall"
	"time"
)

// control returns nil: the timeout for unacknowledged data is set on Linux only.
func control(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
