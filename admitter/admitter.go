// Package admitter limits the number of open connections of an HTTP server.
//
// A host has a limited number of file descriptors and a limited amount of memory. Callers that open
// connections and send nothing must not keep out callers with requests. So when a new connection
// exceeds the limit, the connection that has been idle for longest is closed: one that has not
// begun its first request, or that waits for its next. Connections with a request in progress are
// never closed; if all others have one, the new connection is closed. The caller of a closed
// connection sees it end before any response, and may connect again.
package admitter

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Admitter limits the connections of one server, whose http.Server.ConnState must be set to the
// method ConnState. It is safe for concurrent use.
type Admitter struct {
	maxConns int
	// onClosed is called with the remote address of each connection closed because of the limit.
	onClosed func(remote string)

	mu sync.Mutex
	// conns maps each open connection to its element of idle, or to nil while a request is in
	// progress on it.
	conns map[net.Conn]*list.Element
	// idle holds the connections without a request, the longest idle first.
	idle *list.List
}

// New returns an Admitter that allows maxConns connections, or 1 if maxConns is less. onClosed is
// called with the remote address of each connection closed because of the limit; it may be nil.
func New(maxConns int, onClosed func(remote string)) *Admitter {
	if onClosed == nil {
		onClosed = func(string) {}
	}
	return &Admitter{
		maxConns: max(1, maxConns),
		onClosed: onClosed,
		conns:    map[net.Conn]*list.Element{},
		idle:     list.New(),
	}
}

// OpenConnections returns the number of open connections.
func (a *Admitter) OpenConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// ConnState records the new state of a connection and closes a connection if there are too many. It
// is the ConnState hook of http.Server.
func (a *Admitter) ConnState(conn net.Conn, state http.ConnState) {
	victim := a.update(conn, state)
	if victim == nil {
		return
	}
	remote := victim.RemoteAddr().String()
	// An error of closing is ignored: the connection is not used any more.
	_ = victim.Close()
	a.onClosed(remote)
}

// update records the new state of a connection and returns the connection to close, or nil. The
// returned connection is no longer counted.
func (a *Admitter) update(conn net.Conn, state http.ConnState) net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.conns[conn]; e != nil {
		a.idle.Remove(e)
	}
	switch state {
	case http.StateActive:
		a.conns[conn] = nil
	case http.StateNew, http.StateIdle:
		a.conns[conn] = a.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		delete(a.conns, conn)
	}
	if state != http.StateNew || len(a.conns) <= a.maxConns {
		return nil
	}
	// The list is not empty, since the new connection is idle itself. It is the last element.
	e := a.idle.Front()
	victim := a.idle.Remove(e).(net.Conn)
	delete(a.conns, victim)
	return victim
}
