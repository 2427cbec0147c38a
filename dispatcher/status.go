package dispatcher

import (
	"context"
	"time"

	"sesamedrift.example/sesamedrift/tracker"
)

// leavePoll is the time between two looks whether a planned stop is finished.
const leavePoll = 20 * time.Millisecond

// do runs a function in the loop and waits for it. It reports false if the host has closed.
func (h *Host) do(f func(now time.Time)) bool {
	done := make(chan struct{})
	h.inbox.force(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// Waiting returns the number of jobs of a queue whose callers are connected to this host
// and of which no task may have begun.
func (h *Host) Waiting(queue string) int {
	n := 0
	h.do(func(time.Time) {
		for _, j := range h.jobs {
			if j.tracker.Job.Queue == queue && !j.tracker.Started() {
				n++
			}
		}
	})
	return n
}

// State returns the state of a job whose callers are connected to this host.
func (h *Host) State(id string) (state string, found bool) {
	h.do(func(time.Time) {
		j := h.jobs[id]
		if j == nil {
			return
		}
		found = true
		state = "queued"
		if j.tracker.Started() {
			state = "running"
		}
	})
	return state, found
}

// Cancel ends a job whose callers are connected to this host.
func (h *Host) Cancel(id string) bool {
	found := false
	h.do(func(now time.Time) {
		if j := h.jobs[id]; j != nil {
			found = true
			j.tracker.End(tracker.Abandoned, "the job was cancelled")
			h.settle(now, j)
		}
	})
	return found
}

// NotReady returns why this host should get no new callers, or "".
func (h *Host) NotReady() string {
	reason := "the host has closed"
	h.do(func(time.Time) {
		switch {
		case h.stopping:
			reason = "the host is stopping"
		case h.table == nil:
			reason = "no document is in force"
		case len(h.assigned.Keepers) == 0:
			reason = "no upstream is known"
		default:
			reason = ""
		}
	})
	return reason
}

// BeginLeave begins a planned stop: the other hosts of the domain take over the placing and
// the upstreams of this host. Jobs of callers that still come are served.
func (h *Host) BeginLeave() {
	h.do(func(now time.Time) {
		h.stopping = true
		for peer, member := range h.up {
			if member {
				h.tell(peer, kindLeaving, leaving{})
			}
		}
		h.choosePlacer(now)
	})
}

// AwaitLeave returns when no job and no upstream is left on this host, or ctx ends.
func (h *Host) AwaitLeave(ctx context.Context) {
	for ctx.Err() == nil {
		left := 0
		h.do(func(time.Time) { left = len(h.jobs) + len(h.keeps) })
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(leavePoll):
		}
	}
}
