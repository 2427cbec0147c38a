package messenger

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds, which package syscall
// does not name.
const tcpUserTimeout = 18

// control returns a function that makes the kernel end a connection whose data remains
// unacknowledged for the time given. Without it a connection over which a partition has
// passed stays silent until the next retransmission, which may take minutes.
func control(unacknowledged time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
