package leaser

import "time"

const (
	// rankDelayDivisor divides SuspectAfter: each process waits for SuspectAfter/rankDelayDivisor
	// longer than the one ranked before it, so that normally a single process proposes.
	rankDelayDivisor = 2
	// joinInterval is the minimum time, in units of SuspectAfter, between the installation or
	// proposal of a view and a proposal that adds hosts. A host that crashes and restarts
	// repeatedly causes at most one view change in this time besides its removal.
	joinInterval = 4
	// joinLifetime is how long, in units of SuspectAfter, a request to join holds.
	joinLifetime = 4
)

// proposals holds the times that limit how often and when this process proposes views.
type proposals struct {
	// changeNeededSince is when the live hosts were first found to differ from the current view
	// and the view could be replaced; zero if this is not the case now.
	changeNeededSince time.Time
	// lastChange is when a view was last proposed or installed.
	lastChange time.Time
	// noLiveMemberSince is when NextView first found no live member of the view, on a process
	// that is not a member; zero if there is one.
	noLiveMemberSince time.Time
}

func (p *proposals) viewInstalled(now time.Time) {
	p.changeNeededSince = time.Time{}
	p.noLiveMemberSince = time.Time{}
	p.lastChange = now
}

// HandleJoin records a request to join the domain. The host repeats the request until it is a
// member. A new incarnation of a member replaces the old one, whose process has ended.
func (l *Leaser) HandleJoin(now time.Time, m Member) {
	if j, ok := l.joinRequests[m.Host]; ok && j.member.Incarnation > m.Incarnation {
		return
	}
	if old, ok := l.current.view.Member(m.Host); ok && old.Incarnation >= m.Incarnation {
		return
	}
	l.joinRequests[m.Host] = joinRequest{
		member:     m,
		receivedAt: now,
	}
	if previous, ok := findMember(l.current.view.PreviousMembers, m.Host); ok && previous.Incarnation < m.Incarnation {
		l.current.recordDeparture(now, m)
	}
}

// NextView returns the view that this process should propose to the register now, if any: the
// current view without the members that have not acknowledged a heartbeat for SuspectAfter, and
// with the hosts that have requested to join. The first live member proposes at once, the others
// one after another with increasing delay. A process that is not a member proposes only when no
// member has been live for SuspectAfter. A proposal is repeated after SuspectAfter if no view was
// installed in the meantime.
//
// The Horizon of the returned view is that of the current one; the caller raises it if the claims
// of a majority of the current view cannot be read.
func (l *Leaser) NextView(now time.Time) (View, bool) {
	if l.leaving {
		return View{}, false
	}
	live, joins := l.live(now), l.joins(now)
	adding := joins
	if len(live) > 0 && !l.proposals.lastChange.IsZero() && now.Sub(l.proposals.lastChange) < joinInterval*l.cfg.SuspectAfter {
		adding = nil
	}
	v := l.successor(append(append([]Member(nil), live...), adding...))
	if sameMembers(v.Members, l.current.view.Members) || !l.mayReplace(now, live, joins) {
		l.proposals.changeNeededSince = time.Time{}
		return View{}, false
	}
	if l.proposals.changeNeededSince.IsZero() {
		l.proposals.changeNeededSince = now
	}
	rank := l.proposalRank(live, joins)
	if now.Sub(l.proposals.changeNeededSince) < time.Duration(rank)*l.cfg.SuspectAfter/rankDelayDivisor ||
		!l.proposals.lastChange.IsZero() && now.Sub(l.proposals.lastChange) < l.cfg.SuspectAfter {
		return View{}, false
	}
	l.proposals.lastChange = now
	return v, true
}

// live returns the members that acknowledged a heartbeat within SuspectAfter, and this process if
// it is a member, without those of which a higher incarnation requests to join.
func (l *Leaser) live(now time.Time) []Member {
	var live []Member
	for _, m := range l.current.view.Members {
		if j, ok := l.joinRequests[m.Host]; ok && j.member.Incarnation > m.Incarnation {
			continue
		}
		if m.sameProcess(l.cfg.Self) || now.Sub(l.lastResponse[m.Host]) < l.cfg.SuspectAfter && m.Host != l.cfg.Self.Host {
			live = append(live, m)
		}
	}
	return live
}

// joins returns the processes that have requested to join, including this one if it is not a
// member, sorted by host. It discards expired requests.
func (l *Leaser) joins(now time.Time) []Member {
	var joins []Member
	if !l.current.view.Has(l.cfg.Self) {
		joins = append(joins, l.cfg.Self)
	}
	for host, j := range l.joinRequests {
		if now.Sub(j.receivedAt) >= joinLifetime*l.cfg.SuspectAfter {
			delete(l.joinRequests, host)
			continue
		}
		if host != l.cfg.Self.Host {
			joins = append(joins, j.member)
		}
	}
	return sortMembers(joins)
}

// proposalRank returns the position of this process in the order in which the processes propose.
func (l *Leaser) proposalRank(live, joins []Member) int {
	order := live
	if len(live) == 0 {
		order = joins
	}
	for i, m := range order {
		if m.sameProcess(l.cfg.Self) {
			return i
		}
	}
	return len(order)
}

// mayReplace reports whether this process may propose a successor of the current view. The view
// must be settled, and enough of its members must remain or have restarted for the successor to
// be settled; FenceAfter lifts the latter for a member. A process that is not a member must have
// found no live member for SuspectAfter.
func (l *Leaser) mayReplace(now time.Time, live, joins []Member) bool {
	member := l.current.view.Has(l.cfg.Self)
	l.current.settleAfterFence(now, l.cfg)
	if l.current.view.Number > 0 && l.current.settled.IsZero() {
		return false
	}
	if !member {
		if len(live) > 0 {
			l.proposals.noLiveMemberSince = time.Time{}
			return false
		}
		if l.proposals.noLiveMemberSince.IsZero() {
			l.proposals.noLiveMemberSince = now
		}
		// When all hosts of a domain start at the same time, this leaves the others time to
		// request to join.
		if now.Sub(l.proposals.noLiveMemberSince) < l.cfg.SuspectAfter {
			return false
		}
	}
	if member && l.cfg.FenceAfter > 0 {
		return true
	}
	n := len(live)
	for _, j := range joins {
		if old, ok := l.current.view.Member(j.Host); ok && old.Incarnation < j.Incarnation {
			n++
		}
	}
	return n >= blockingSize(len(l.current.view.Members))
}

func (l *Leaser) successor(members []Member) View {
	return View{
		Domain:          l.cfg.Domain,
		Number:          l.current.view.Number + 1,
		Members:         sortMembers(members),
		Horizon:         l.current.view.Horizon,
		PreviousMembers: l.current.view.Members,
	}
}

// Leave begins a planned stop. From now on Owns is false; the caller proposes the returned view,
// which lacks this process, to the register. The new owners need no takeover wait if the wait of
// this process was over. A returned view with number 0 means that the current view cannot be
// replaced yet or that this process is not a member; in the first case, and after a conflict in
// the register, the caller calls Leave again.
func (l *Leaser) Leave(now time.Time) View {
	l.leaving = true
	l.current.settleAfterFence(now, l.cfg)
	if !l.current.view.Has(l.cfg.Self) || l.current.settled.IsZero() {
		return View{}
	}
	var others []Member
	for _, m := range l.current.view.Members {
		if !m.sameProcess(l.cfg.Self) {
			others = append(others, m)
		}
	}
	v := l.successor(others)
	if l.current.leasesExpired(now, l.cfg) {
		v.DepartedMembers = []Member{l.cfg.Self}
	}
	return v
}
