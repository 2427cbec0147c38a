package dispatcher

import (
	"time"

	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/tracker"
)

// Jobs that find no room are passed on to another failure domain. The entry sends the whole
// job to the placer of its own domain, which relays it to the placer of the other one; that
// host tracks the job like one of its own callers. Only placers keep sessions with other
// domains, so that their number does not grow with the number of hosts.

const (
	// roomEvery is the time between two messages about free room if it has changed,
	// roomAnyway if it has not.
	roomEvery  = 20 * time.Millisecond
	roomAnyway = 100 * time.Millisecond
	// returnAfter is the time from the end of a session over which a job was passed on until
	// it surely runs nowhere: the other side notices within suspectAfter and stops the runs,
	// or they end with a lease that is not renewed.
	returnAfter = suspectAfter + 800*time.Millisecond
)

// relay is a job that this host has passed on for an entry of its domain.
type relay struct {
	entry string
	to    string
}

// neighbour is the placer of another domain.
type neighbour struct {
	domain string
	up     bool
	// told is what it was last told of the room here, toldAt when.
	told   placer.Room
	toldAt time.Time
}

// answer gives a result to a caller.
func (h *Host) answer(id string, c caller, r Result) {
	if c.result != nil {
		c.result <- r
		return
	}
	h.tell(c.relay, kindForwarded, forwarded{
		Job:        id,
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
	})
}

// placerChanged notes that a host of another domain has begun or ceased to place.
func (h *Host) placerChanged(host finder.Host) {
	n := h.neighbours[host.Address]
	switch {
	case host.Places && host.State != finder.Gone && n == nil:
		h.neighbours[host.Address] = &neighbour{domain: host.Domain}
		if h.placer != nil {
			h.courier.Connect(host.Address)
		}
	case (!host.Places || host.State == finder.Gone) && n != nil:
		h.courier.Disconnect(host.Address)
		delete(h.neighbours, host.Address)
	}
}

// connectNeighbours begins the sessions that a placer keeps.
func (h *Host) connectNeighbours() {
	for address := range h.neighbours {
		h.courier.Connect(address)
	}
}

// neighbourOf returns the address of the placer of a domain, or "" if there is no session.
func (h *Host) neighbourOf(domain string) string {
	for address, n := range h.neighbours {
		if n.domain == domain && n.up {
			return address
		}
	}
	return ""
}

// tellRoom tells the other domains of the room in this one.
func (h *Host) tellRoom(now time.Time) {
	if h.placer == nil || len(h.neighbours) == 0 {
		return
	}
	r := h.placer.Room(now)
	for address, n := range h.neighbours {
		since := now.Sub(n.toldAt)
		if !n.up || since < roomEvery || r == n.told && since < roomAnyway {
			continue
		}
		n.told, n.toldAt = r, now
		h.tell(address, kindRoom, room{
			Domain: h.cfg.Self.Domain,
			Room:   r,
		})
	}
}

func (h *Host) receiveRoom(now time.Time, from string, m room) {
	if h.placer == nil {
		return
	}
	if n := h.neighbours[from]; n != nil && n.up {
		h.placer.SetNeighbour(now, m.Domain, m.Room)
	}
}

// neighbourUp and neighbourDown note the sessions with placers of other domains.
func (h *Host) neighbourUp(n *neighbour) { n.up = true }

func (h *Host) neighbourDown(now time.Time, address string, n *neighbour) {
	n.up = false
	if h.placer != nil {
		h.placer.DropNeighbour(n.domain)
	}
	for id, r := range h.relays {
		if r.to == address {
			delete(h.relays, id)
			h.tell(r.entry, kindForwarded, forwarded{
				Job:     id,
				Outcome: tracker.Lost,
				Reason:  "the way to the other failure domain was lost",
			})
		}
	}
	h.dropCallers(now, address)
}

// dropCallers ends the jobs that were passed on by a host that has gone.
func (h *Host) dropCallers(now time.Time, address string) {
	for id, j := range h.jobs {
		if c := (caller{relay: address}); j.callers[c] {
			h.callerGone(now, id, c)
		}
	}
}

// receivePassOn sends a job to the placer to be relayed.
func (h *Host) receivePassOn(now time.Time, from string, m passOn) {
	j := h.jobs[m.Job]
	if j == nil || from != h.placerAt || j.tracker.Started() {
		return
	}
	j.askedAt = time.Time{}
	j.passedTo = m.Domain
	t := &j.tracker.Job
	h.tell(from, kindForward, forward{
		Domain:   m.Domain,
		ID:       t.ID,
		Queue:    t.Queue,
		Service:  t.Service,
		Priority: t.Priority,
		Attempts: t.Attempts,
		Slack:    t.Slack,
		Target:   t.Target,
		Content:  t.Content,
		Steps:    t.Steps,
		Age:      now.Sub(t.Arrived),
		Left:     t.Deadline.Sub(now),
	})
	h.log.Info("job passed on", "job", t.ID, "queue", t.Queue, "domain", m.Domain)
}

// receiveForward relays a job of the own domain, or takes one of another domain.
func (h *Host) receiveForward(now time.Time, from string, m forward) {
	if m.Domain != h.cfg.Self.Domain {
		to := h.neighbourOf(m.Domain)
		if to == "" {
			h.tell(from, kindForwarded, forwarded{
				Job:     m.ID,
				Outcome: tracker.NotRun,
				Reason:  "the other failure domain cannot be reached",
			})
			return
		}
		h.relays[m.ID] = relay{
			entry: from,
			to:    to,
		}
		h.tell(to, kindForward, m)
		return
	}
	h.submit(now, tracker.Job{
		ID:       m.ID,
		Queue:    m.Queue,
		Service:  m.Service,
		Priority: m.Priority,
		Attempts: m.Attempts,
		Slack:    m.Slack,
		Target:   m.Target,
		Content:  m.Content,
		Steps:    m.Steps,
		Arrived:  now.Add(-m.Age),
		Deadline: now.Add(m.Left),
	}, caller{relay: from})
}

// receiveForwarded takes in the result of a job that was passed on.
func (h *Host) receiveForwarded(now time.Time, from string, m forwarded) {
	if r, relayed := h.relays[m.Job]; relayed && r.to == from {
		delete(h.relays, m.Job)
		h.tell(r.entry, kindForwarded, m)
		return
	}
	j := h.jobs[m.Job]
	if j == nil || j.passedTo == "" || from != h.placerAt {
		return
	}
	j.passedTo = ""
	if m.Outcome == tracker.Lost {
		// The other side may not know yet that the way is lost.
		j.tracker.MayHaveRun()
		j.returnAt = now.Add(returnAfter)
		return
	}
	j.result.RetryAfter = m.RetryAfter
	j.tracker.End(m.Outcome, m.Reason)
	h.settle(now, j)
}

// receiveDrop ends a forwarded job that nobody waits for any more.
func (h *Host) receiveDrop(now time.Time, from string, m drop) {
	if r, relayed := h.relays[m.Job]; relayed && r.entry == from {
		delete(h.relays, m.Job)
		h.tell(r.to, kindDrop, m)
		return
	}
	h.callerGone(now, m.Job, caller{relay: from})
}

// returnPassed takes back the jobs that were passed on by way of a placer that is lost.
func (h *Host) returnPassed(now time.Time) {
	for _, j := range h.jobs {
		if j.passedTo != "" {
			j.passedTo = ""
			j.tracker.MayHaveRun()
			j.returnAt = now.Add(returnAfter)
		}
	}
}
