package placer

import (
	"slices"
	"time"
)

const (
	// roomValid is how long what another domain has said of its room is believed.
	roomValid = 300 * time.Millisecond
	// roomKept is the number of places of another domain that are left to its own jobs.
	roomKept = 2
	// passAfter is how long a job that no other domain had room for when it came waits before
	// it goes to one that has room again. Of 0, 20 and 60 ms, 20 ms gave the highest worth in
	// the mean of six load scripts.
	passAfter = 20 * time.Millisecond
)

// Room is what a domain tells others of its free capacity.
type Room struct {
	// Places is the number of tasks of usual size that find room at once.
	Places int `msgpack:"places"`
	// Waiting is the number of jobs that wait.
	Waiting int `msgpack:"waiting"`
}

// neighbour is another failure domain.
type neighbour struct {
	room Room
	at   time.Time
	// passed is the number of tasks that were passed on since.
	passed int
}

// SetNeighbour takes in what another domain says of its room.
func (p *Placer) SetNeighbour(now time.Time, domain string, r Room) {
	p.neighbours[domain] = &neighbour{
		room: r,
		at:   now,
	}
	if len(p.order) > 0 {
		p.relieve(now)
	}
}

// DropNeighbour forgets a domain that cannot be reached.
func (p *Placer) DropNeighbour(domain string) { delete(p.neighbours, domain) }

// Room returns the free capacity of this domain in places for tasks of the usual demand.
func (p *Placer) Room(now time.Time) Room {
	r := Room{Waiting: len(p.order)}
	for _, u := range p.sorted {
		if !u.usable || !u.health.takes(now) || u.health.trial {
			continue
		}
		if p.usual > 0 {
			r.Places += int(float64(u.free.CPU) / p.usual)
		}
	}
	return r
}

// neighbourFor returns the domain with the most room for a job that has not begun, or "" if
// none has enough. A new placer does not know yet which jobs run here, so that it passes none on.
func (p *Placer) neighbourFor(now time.Time, w *waiting) string {
	if w.PassedOn || w.Begun || now.Before(p.cfg.Quiet) || !p.applies(RulePass) {
		return ""
	}
	best, most := "", len(w.Tasks)+roomKept
	for domain, n := range p.neighbours {
		if now.Sub(n.at) > roomValid || n.room.Waiting > 0 {
			continue
		}
		left := n.room.Places - n.passed
		if left > most || left == most && (best == "" || domain < best) {
			best, most = domain, left
		}
	}
	if best == "" || p.runsHere(w) {
		return ""
	}
	return best
}

// runsHere reports whether a task of the job runs in this domain, as after its caller has sent
// it again while the former try has not ended yet.
func (p *Placer) runsHere(w *waiting) bool {
	for _, t := range w.Tasks {
		if p.inUse[t.Run.Task] > 0 {
			return true
		}
	}
	return false
}

// passOn sends a job to another domain. It reports false if none has enough room.
func (p *Placer) passOn(now time.Time, w *waiting) bool {
	domain := p.neighbourFor(now, w)
	if domain == "" {
		return false
	}
	p.neighbours[domain].passed += len(w.Tasks)
	p.Withdraw(w.Entry, w.ID)
	p.decisions = append(p.decisions, Decision{
		Job:    w.ID,
		Entry:  w.Entry,
		PassTo: domain,
	})
	return true
}

// spread passes on jobs that wait though another domain has room for them at once.
func (p *Placer) spread(now time.Time) {
	for _, w := range slices.Clone(p.order) {
		if now.Sub(w.Arrived) >= passAfter {
			p.passOn(now, w)
		}
	}
}
