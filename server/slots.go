package server

import (
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/scheduler"
)

const (
	// rebalanceDivisor is the inverse of the part of a queue's surplus that is moved at a time.
	// Other hosts move tasks to the same peer concurrently.
	rebalanceDivisor = 2
	// minRebalance is the smallest surplus, in tasks, that is moved to another queue.
	minRebalance = 2
	// waitResolution is the resolution of the estimated waits that hosts report.
	waitResolution = time.Millisecond
)

// serviceReport is the state of one service on a host: its slots, its queued tasks and the estimated
// wait of a new short task.
type serviceReport struct {
	Free   int           `msgpack:"free"`
	Slots  int           `msgpack:"slots"`
	Queued int           `msgpack:"queued"`
	Wait   time.Duration `msgpack:"wait"`
}

// slotReport is a host's report of its slots to a peer. It is piggybacked on other messages.
type slotReport struct {
	// Incarnation is that of the reporting host. Seq increases with each state that it publishes.
	Incarnation uint64 `msgpack:"incarnation"`
	Seq         uint64 `msgpack:"seq"`
	// Received is the sequence number of the latest task forwarded by the receiver of the report
	// for which the report accounts.
	Received uint64                   `msgpack:"received"`
	Services map[string]serviceReport `msgpack:"services"`
}

// slotState is a published state of the dispatcher. It is immutable.
type slotState struct {
	seq      uint64
	services map[string]serviceReport
	received map[string]uint64
}

// slotPublisher makes the latest published state of the dispatcher available to other goroutines.
type slotPublisher struct {
	incarnation uint64
	state       atomic.Pointer[slotState]
}

// report returns the report for a peer. It is empty before the dispatcher's first step.
func (s *slotPublisher) report(host string) slotReport {
	state := s.state.Load()
	if state == nil {
		return slotReport{}
	}
	return slotReport{
		Incarnation: s.incarnation,
		Seq:         state.seq,
		Received:    state.received[host],
		Services:    state.services,
	}
}

// freeByService returns the number of free slots of each service.
func (s *slotPublisher) freeByService() map[string]int {
	free := map[string]int{}
	if state := s.state.Load(); state != nil {
		for service, r := range state.services {
			free[service] = r.Free
		}
	}
	return free
}

// peerState is the state of the slots of one peer, from its last report and from the tasks that were
// forwarded to it since.
type peerState struct {
	reportedAt  time.Time
	distance    time.Duration
	incarnation uint64
	seq         uint64
	services    map[string]serviceReport
	// pending holds the services of the forwarded tasks, by sequence number, that are neither
	// answered nor accounted for in the last report.
	pending map[uint64]string
	// refused holds the services for which no more free slots of the peer are used until its next
	// report, for example because it refused a task.
	refused map[string]bool
}

// peerSlots holds the state of the slots of all peers. The dispatcher owns it.
type peerSlots struct {
	byHost map[string]*peerState
	// reportTTL is the age above which a report is ignored.
	reportTTL time.Duration
}

func newPeerSlots() *peerSlots {
	return &peerSlots{
		byHost:    map[string]*peerState{},
		reportTTL: slotReportTTL,
	}
}

func (p *peerSlots) get(host string) *peerState {
	s, ok := p.byHost[host]
	if !ok {
		s = &peerState{
			pending: map[uint64]string{},
			refused: map[string]bool{},
		}
		p.byHost[host] = s
	}
	return s
}

// update applies a report of a peer. A report that is older than the last one is ignored.
func (p *peerSlots) update(now time.Time, host string, r slotReport) {
	s := p.get(host)
	if r.Services == nil || r.Incarnation < s.incarnation || r.Incarnation == s.incarnation && r.Seq < s.seq {
		return
	}
	s.reportedAt = now
	s.incarnation = r.Incarnation
	s.seq = r.Seq
	s.services = r.Services
	clear(s.refused)
	for n := range s.pending {
		if n <= r.Received {
			delete(s.pending, n)
		}
	}
}

// invalidate drops the last report of a peer that could not be reached.
func (p *peerSlots) invalidate(host string) { p.get(host).services = nil }

// taskForwarded records that the task with the sequence number n has been forwarded to the peer.
func (p *peerSlots) taskForwarded(host, service string, n uint64) { p.get(host).pending[n] = service }

// taskAnswered records that a forwarded task has ended or was returned.
func (p *peerSlots) taskAnswered(host string, n uint64) { delete(p.get(host).pending, n) }

// markRefused excludes the peer as a target for tasks of the service until its next report.
func (p *peerSlots) markRefused(host, service string) { p.get(host).refused[service] = true }

// report returns the last report of a peer about a service, adjusted for the tasks forwarded since:
// each occupies a free slot, or is queued if none is free. It returns false if there is no valid
// report or the peer has no slots of the service.
func (p *peerSlots) report(now time.Time, host, service string) (serviceReport, bool) {
	s := p.byHost[host]
	if s == nil || s.services == nil || now.Sub(s.reportedAt) > p.reportTTL {
		return serviceReport{}, false
	}
	r, ok := s.services[service]
	if !ok || r.Slots == 0 {
		return serviceReport{}, false
	}
	for _, name := range s.pending {
		if name != service {
			continue
		}
		if r.Free > 0 {
			r.Free--
		} else {
			r.Queued++
		}
	}
	if s.refused[service] {
		r.Free = 0
	}
	return r, true
}

// mostFree returns the nearest peer with free slots of a service, among those for whose distance
// worthwhile returns true, and the number of its free slots. Among peers at the same distance, it
// returns the one with the most free slots. The name is empty if there is none.
func (p *peerSlots) mostFree(now time.Time, service string, worthwhile func(distance time.Duration) bool) (string, int) {
	var best string
	var slots int
	var distance time.Duration
	for host, s := range p.byHost {
		r, ok := p.report(now, host, service)
		if !ok || r.Free <= 0 || !worthwhile(s.distance) {
			continue
		}
		nearer := s.distance < distance
		same := s.distance == distance
		if best == "" || nearer || same && (r.Free > slots || r.Free == slots && host < best) {
			best, slots, distance = host, r.Free, s.distance
		}
	}
	return best, slots
}

// domainFreeSlots returns the number of free slots of the peers of the own failure domain that have
// no queued tasks of the service.
func (p *peerSlots) domainFreeSlots(now time.Time, service string) int {
	n := 0
	for host, s := range p.byHost {
		if r, ok := p.report(now, host, service); ok && s.distance == 0 && r.Queued == 0 {
			n += r.Free
		}
	}
	return n
}

// shortestQueue returns the peer with the fewest queued tasks per slot: of the own failure domain, or
// of any if anyDomain is set. The name is empty if there is none.
func (p *peerSlots) shortestQueue(now time.Time, service string, anyDomain bool) (string, serviceReport) {
	var best string
	var least serviceReport
	for host, s := range p.byHost {
		r, ok := p.report(now, host, service)
		if !ok || s.distance > 0 && !anyDomain || s.refused[service] {
			continue
		}
		// The ratios of queued tasks to slots, both multiplied by the slots of both peers.
		load, leastLoad := r.Queued*least.Slots, least.Queued*r.Slots
		if best == "" || load < leastLoad || load == leastLoad && host < best {
			best, least = host, r
		}
	}
	return best, least
}

// shortestWait returns the shortest estimated wait at a peer, including the round trip.
func (p *peerSlots) shortestWait(now time.Time, service string) time.Duration {
	shortest := scheduler.MaxWait
	for host, s := range p.byHost {
		if r, ok := p.report(now, host, service); ok {
			shortest = min(shortest, r.Wait+legsPerRoundTrip*s.distance)
		}
	}
	return shortest
}

// anyOtherDomain reports whether there is a peer of another failure domain.
func (p *peerSlots) anyOtherDomain() bool {
	for _, s := range p.byHost {
		if s.distance > 0 {
			return true
		}
	}
	return false
}

// tasksToMove returns how many queued tasks to forward to a peer so that the numbers of queued tasks
// per slot converge. A host without slots forwards all of them.
func tasksToMove(own scheduler.Stats, peer serviceReport) int {
	queued := own.ShortQueued + own.LongQueued
	if own.Slots == 0 {
		return queued
	}
	surplus := (queued*peer.Slots - peer.Queued*own.Slots) / (own.Slots + peer.Slots)
	if surplus < minRebalance {
		return 0
	}
	return (surplus + rebalanceDivisor - 1) / rebalanceDivisor
}

// publishState publishes the state of the dispatcher to the other goroutines, and updates the metrics
// at intervals. The dispatcher calls it after each step. A stopping host reports no slots.
func (h *Host) publishState(now time.Time) {
	d := h.dispatcher
	d.stateSeq++
	state := &slotState{
		seq:      d.stateSeq,
		services: make(map[string]serviceReport, len(d.ownedServices)),
		received: make(map[string]uint64, len(d.lastReceived)),
	}
	for host, n := range d.lastReceived {
		state.received[host] = n
	}
	if !h.stopping.Load() {
		for service := range d.ownedServices {
			s := d.queue.Stats(now, service)
			state.services[service] = serviceReport{
				Free:   s.FreeSlots,
				Slots:  s.Slots,
				Queued: s.ShortQueued + s.LongQueued,
				Wait:   d.queue.EstimateWait(now, service, scheduler.Short).Truncate(waitResolution),
			}
		}
	}
	h.slots.state.Store(state)
	if now.Sub(d.lastMetricsUpdate) >= reporter.PublishEvery {
		d.lastMetricsUpdate = now
		evacuated, _, _ := h.evacuations.get()
		h.metrics.update(d.stats, d.queue.Len(), d.runningAttempts, len(d.upstreams), len(evacuated.Domains))
	}
}
