package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// lostAfter is how long a replica must be unresponsive before a standby replaces it. Control
	// hosts answer each other's polls every half second. A shorter pause of a busy host must not
	// change the replica set.
	lostAfter = 2 * time.Second
	// replicaCheckEvery is the time between two checks of the replica set.
	replicaCheckEvery = 250 * time.Millisecond
	// replicaChangeTimeout bounds one change of the replica set, which takes a round of the quorum
	// protocol for each register.
	replicaChangeTimeout = 3 * time.Second
)

// controlHostState is the state of a control host, as seen from this host.
type controlHostState struct {
	Host discoverer.Host
	// UnresponsiveFor is how long the host has not answered polls; 0 if it answers them.
	UnresponsiveFor time.Duration
}

// lost reports whether a replica on the host is to be replaced.
func (p controlHostState) lost() bool {
	return p.UnresponsiveFor >= lostAfter || p.Host.State != discoverer.Serving
}

// nextReplicas returns the replica set that is to replace the current one, from which it differs by
// one replica, and the reason. It returns nil if the current set is right, or if another host is to
// change it.
//
// The set is to have the wanted number of replicas, spread over the failure domains. A replica whose
// host is unresponsive for lostAfter, or is stopping, is replaced if a standby is ready. While no
// standby is ready, the replica stays in the set: its host may return with its disk, and a smaller
// set tolerates fewer failures. The argument hosts must include all members.
func nextReplicas(self string, members []string, hosts []controlHostState, wanted int) (next []string, reason string) {
	byAddress := map[string]controlHostState{}
	standby := []controlHostState{}
	countByDomain := map[string]int{}
	for _, h := range hosts {
		byAddress[h.Host.Address] = h
	}
	ready := []string{}
	lost := []string{}
	for _, m := range members {
		h := byAddress[m]
		if h.lost() {
			lost = append(lost, m)
			continue
		}
		countByDomain[h.Host.Domain]++
		if h.Host.ReplicaReady {
			ready = append(ready, m)
		}
	}
	// Only the ready replica with the lowest address changes the set, so that concurrent proposals
	// of several hosts do not preempt each other.
	if len(ready) == 0 || slices.Min(ready) != self {
		return nil, ""
	}
	for _, h := range hosts {
		if !h.lost() && h.UnresponsiveFor == 0 && h.Host.ReplicaReady && !slices.Contains(members, h.Host.Address) {
			standby = append(standby, h)
		}
	}
	switch {
	case len(members) > wanted && len(lost) > 0:
		return without(members, lost[0]), "replica lost"
	case len(members) > wanted:
		return without(members, surplusReplica(ready, byAddress, countByDomain)), "more replicas than wanted"
	case len(standby) == 0 || len(members) == wanted && len(lost) == 0:
		return nil, ""
	}
	slices.SortFunc(standby, func(a, b controlHostState) int {
		if n := countByDomain[a.Host.Domain] - countByDomain[b.Host.Domain]; n != 0 {
			return n
		}
		return strings.Compare(a.Host.Address, b.Host.Address)
	})
	reason = "fewer replicas than wanted"
	if len(lost) > 0 {
		reason = "to replace a replica"
	}
	return append(slices.Clone(members), standby[0].Host.Address), reason
}

// surplusReplica returns the replica to remove from a set that is too large: one in the failure
// domain with the most replicas.
func surplusReplica(ready []string, byAddress map[string]controlHostState, countByDomain map[string]int) string {
	return slices.MaxFunc(ready, func(a, b string) int {
		if n := countByDomain[byAddress[a].Host.Domain] - countByDomain[byAddress[b].Host.Domain]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
}

// without returns a copy of members that lacks the address.
func without(members []string, address string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == address })
}

// maintainReplicas checks the replica set regularly and changes it as nextReplicas decides, until ctx
// is done.
func (h *Host) maintainReplicas(ctx context.Context) {
	ticker := time.NewTicker(replicaCheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		votes := h.replica.Votes()
		h.setSelf(func(self *discoverer.Host) { self.ReplicaReady = votes })
		if !votes {
			continue
		}
		members, version := h.replica.Registers().ReplicaSet()
		next, reason := nextReplicas(h.cfg.Self.Address, members, h.controlHosts(h.cfg.Now(), members), h.cfg.Replicas)
		if next == nil {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, replicaChangeTimeout)
		result, err := h.replica.Registers().Change(changeCtx, h.cfg.Now(), registrar.Change{
			Register: registrar.ReplicaSetRegister,
			ID:       uuid.NewString(),
			Who:      h.cfg.Self.ID,
			Expected: version,
			Value:    registrar.EncodeReplicas(next),
		})
		cancel()
		reporter.Log(ctx, h.log, reporter.ReplicasChanged, "from", members, "to", next, "reason", reason,
			"outcome", result.Status, "error", err)
	}
}

// controlHosts returns the states of all known control hosts. Members of the replica set that have
// not reported yet count as serving, and as unresponsive since the start of this host.
func (h *Host) controlHosts(now time.Time, members []string) []controlHostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var hosts []controlHostState
	for _, m := range members {
		if _, known := h.hosts.Get(m); !known {
			hosts = append(hosts, controlHostState{
				Host: discoverer.Host{
					Address: m,
					State:   discoverer.Serving,
				},
				UnresponsiveFor: now.Sub(h.startedAt),
			})
		}
	}
	for _, host := range h.hosts.All() {
		if host.Role != discoverer.Control {
			continue
		}
		p := controlHostState{Host: host}
		if host.Address != h.cfg.Self.Address {
			switch since, unresponsive := h.unresponsiveSince[host.Address]; {
			case unresponsive:
				p.UnresponsiveFor = max(now.Sub(since), 1)
			case !h.responded[host.Address]:
				// No poll of the host has succeeded since this host started.
				p.UnresponsiveFor = now.Sub(h.startedAt)
			}
		}
		hosts = append(hosts, p)
	}
	return hosts
}

// setReachable records that another control host begins or ceases to answer polls.
func (h *Host) setReachable(address string, reachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reachable {
		h.responded[address] = true
		delete(h.unresponsiveSince, address)
		return
	}
	h.unresponsiveSince[address] = h.cfg.Now()
}

// setSelf changes the report of this host and distributes it if it differs from the last one.
func (h *Host) setSelf(change func(self *discoverer.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.self
	change(&next)
	if next == h.self {
		return
	}
	next.ReportSeq++
	h.self = next
	h.hosts.Put(h.cfg.Now(), next)
	h.notifyPollers()
}

// selfReport returns the current report of this host.
func (h *Host) selfReport() discoverer.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// BeginDrain reports to the other hosts that this one is about to stop, so that a standby replaces
// its replica at once. The host keeps running until Close.
func (h *Host) BeginDrain() {
	h.setSelf(func(self *discoverer.Host) { self.State = discoverer.Leaving })
}
