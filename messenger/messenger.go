// Package messenger implements the RPC protocol between hosts: calls and one-way messages,
// multiplexed over one TCP connection for each direction between two hosts. A Peer sends
// messages to one host; a Listener receives the messages of other hosts.
//
// A frame is a 4-byte big-endian length and a msgpack array [type, id, kind, body]. The
// first frame in each direction is a hello with protocol version, shared token, host,
// failure domain and incarnation. A connection that does not begin with a valid hello,
// or that carries a malformed or oversized frame, is closed. Other connections are not
// affected.
//
// A call is delivered at most once: this package never resends it. The type of its error
// says what the caller may assume:
//
//   - *NotSentError: the handler of the peer did not receive the call and will not receive it.
//   - *LostError: the handler may have received the call, and may still be running.
//   - *RemoteError: the handler has returned an error.
//
// A reply is matched to its call by an identifier that a Peer never uses twice, so that
// late replies are dropped. Messages to one peer are written in the order in which they
// were queued, but handlers run concurrently and may start in any order. One-way messages
// may be lost without an error.
//
// All types are safe for concurrent use.
package messenger

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"time"
)

// ProtocolVersion is the version of the frames and of the hello. Hosts with different
// versions do not connect.
const ProtocolVersion = 1

// Defaults for fields of a Config that are zero.
const (
	DefaultMaxFrame       = 16 << 20
	DefaultQueueSize      = 1024
	DefaultMaxConcurrent  = 1024
	DefaultMaxConnections = 256
	DefaultDialTimeout    = time.Second
	DefaultWriteTimeout   = 2 * time.Second
)

const (
	// minMaxFrame is the smallest MaxFrame in bytes. Every error reply that this package
	// itself creates fits into it.
	minMaxFrame = 1024

	// minBackoff is the backoff after the first failed dial.
	minBackoff = 20 * time.Millisecond
	// maxBackoff bounds the backoff, and thereby the time for which a host that has become
	// reachable again receives no messages, unless Config.MaxBackoff is set.
	maxBackoff = time.Second
)

// Kind identifies the purpose of a message and the format of its body.
type Kind uint16

// Hello identifies one side of a connection. It is the body of the first frame in each
// direction.
type Hello struct {
	// Version is ProtocolVersion. Listen and NewPeer set it.
	Version int `msgpack:"version"`
	// Token is the secret that all hosts share. It is empty in the hello that a
	// Handler receives.
	Token  string `msgpack:"token"`
	Host   string `msgpack:"host"`
	Domain string `msgpack:"domain"`
	// Incarnation grows with each start of the host.
	Incarnation uint64 `msgpack:"incarnation"`
	// Features names parts of the protocol that the host supports beyond those of its first release.
	Features []string `msgpack:"features,omitempty"`
}

// Handler handles a message and returns the body of the reply. The context ends when the
// connection ends or the Listener is closed. The reply to a one-way message is dropped. An
// error that is not a *RemoteError is sent as a *RemoteError with CodeInternal. The handler
// owns body and may change it.
type Handler func(ctx context.Context, from Hello, kind Kind, body []byte) ([]byte, error)

// Config configures a Peer or a Listener.
type Config struct {
	// Local is the hello that this side sends. Its Token must not be empty.
	Local Hello
	// Handle is called for each message that a Listener receives. A Peer does not use it.
	Handle Handler
	// Receive, if it is set, is called instead of Handle for each one-way message that a Listener
	// receives. The calls for the messages of one connection follow each other in the order in which
	// the messages were sent. It must not block.
	Receive func(from Hello, kind Kind, body []byte)
	// MaxFrame is the largest frame in bytes, without its length field. It must be
	// equal on all hosts. Values below 1024 count as 1024.
	MaxFrame int
	// QueueSize is the capacity of the write queue of a connection, in frames.
	QueueSize int
	// MaxConcurrent bounds the handlers that run at the same time for one connection of a
	// Listener. A call beyond it fails with *NotSentError, a one-way message beyond it is
	// dropped.
	MaxConcurrent int
	// MaxConnections bounds the connections of a Listener.
	MaxConnections int
	// DialTimeout bounds the TCP dial, and separately the exchange of hellos.
	DialTimeout time.Duration
	// MaxBackoff bounds the time after a failed dial until a Peer dials again; 1 s if it is zero.
	MaxBackoff time.Duration
	// WriteTimeout bounds each write and, on Linux, the time for which data that was sent may
	// remain unacknowledged at the TCP level.
	WriteTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes on idle connections. Zero disables
	// them.
	KeepAlive time.Duration
	// WriteDelay, if it is set, is called for each frame after the hello and returns the
	// time by which its write is delayed. The order of frames is kept. A delayed frame
	// remains in the write queue and counts towards QueueSize.
	WriteDelay func() time.Duration
	// Jitter returns a number in [0, 1) that randomises the backoff between dials. If it is
	// nil, the global random source is used.
	Jitter func() float64
	// OnReject, if it is set, is called with the remote address and the reason when a
	// Listener closes a connection because of an invalid hello or an invalid frame.
	OnReject func(address string, err error)
}

func (c Config) withDefaults() Config {
	c.Local.Version = ProtocolVersion
	setDefault(&c.MaxFrame, DefaultMaxFrame)
	c.MaxFrame = max(c.MaxFrame, minMaxFrame)
	setDefault(&c.QueueSize, DefaultQueueSize)
	setDefault(&c.MaxConcurrent, DefaultMaxConcurrent)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.MaxBackoff, maxBackoff)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (c *Config) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   c.KeepAlive > 0,
		Idle:     c.KeepAlive,
		Interval: c.KeepAlive,
	}
}

// check returns a *HelloError unless the hello of the other side has the version and the
// token of Local. Digests are compared, so that the duration of the comparison reveals
// neither the token nor its length.
func (c *Config) check(h Hello) error {
	if h.Version != c.Local.Version {
		return &HelloError{Reason: fmt.Sprintf("protocol version %d, want %d", h.Version, c.Local.Version)}
	}
	got, want := sha256.Sum256([]byte(h.Token)), sha256.Sum256([]byte(c.Local.Token))
	if c.Local.Token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return &HelloError{Reason: "wrong token"}
	}
	return nil
}

// ErrNoReply is returned by a Handler so that no reply is sent. The call at the peer then
// waits until its context or the connection ends.
var ErrNoReply = errors.New("the handler sends no reply")

// Codes of errors that this package sends as *RemoteError.
const (
	// CodeInternal is the code of an error of a handler that was not a *RemoteError.
	CodeInternal = "internal"
	// CodeReplyTooLarge is the code for a reply that exceeds MaxFrame. The handler has run.
	CodeReplyTooLarge = "reply-too-large"
)

// NotSentError reports that the handler of the peer did not receive a message and will not
// receive it.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the peer and the reason.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("message to %s was not delivered: %v", e.Address, e.Err)
}

// Unwrap returns the reason.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that no reply was received to a call which the handler of the peer may
// have received.
type LostError struct {
	Address string
	Err     error
}

// Error names the peer and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("no reply from %s to a call that may have been delivered: %v", e.Address, e.Err)
}

// Unwrap returns the reason.
func (e *LostError) Unwrap() error { return e.Err }

// RemoteError is an error that the handler of the peer returned, as sent over the
// connection.
type RemoteError struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

// Error returns the code and the message, separated by a colon.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// MalformedError reports a frame or body that does not follow the format.
type MalformedError struct {
	Reason string
}

// Error describes what is wrong with the frame or body.
func (e *MalformedError) Error() string { return "malformed message: " + e.Reason }

// HelloError reports that the first frame of the other side is not a hello with the same
// protocol version and token.
type HelloError struct {
	Reason string
}

// Error describes what is wrong with the hello.
func (e *HelloError) Error() string { return "invalid hello: " + e.Reason }

// TooLargeError reports a frame whose size in bytes exceeds MaxFrame.
type TooLargeError struct {
	Size, Max int
}

// Error names the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Size, e.Max)
}
