package messenger

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, for which
// package syscall has no constant. The value of the option is in milliseconds.
const tcpUserTimeout = 18

// control returns a Control function for net.Dialer and net.ListenConfig that makes the
// kernel close a connection whose data remains unacknowledged for the timeout. Without it, a
// connection transfers no data after the end of a network partition until the next
// retransmission, which may take minutes.
func control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
