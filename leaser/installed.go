package leaser

import "time"

// installedView is a view that this process has installed, and what is known about the end of the
// views before it.
type installedView struct {
	view View
	at   time.Time
	// settled is when enough previous members were known to have installed the view; zero before
	// that. From then on no lease of an earlier view can be extended.
	settled time.Time
	// departed holds the hosts of previous members that have left the earlier views: they have
	// installed this view or a later one, or have restarted.
	departed map[string]bool
	// firstDeparture is when the first entry of departed was recorded.
	firstDeparture time.Time
	// previous is the view before, if this process was a member of it. It shows which upstreams
	// this process owned before, so that it does not wait for them again.
	previous *installedView
}

// next returns the state after v has replaced the view of s.
func (s *installedView) next(now time.Time, v View, cfg Config) *installedView {
	n := &installedView{
		view:     v,
		at:       now,
		departed: map[string]bool{},
	}
	if len(v.PreviousMembers) == 0 {
		n.settled = now
	}
	if s.view.Number == 0 || s.view.Number+1 != v.Number || !s.view.Has(cfg.Self) {
		return n
	}
	n.previous = s
	if s.settled.IsZero() {
		// A replaced view was settled on the member that proposed its successor.
		s.settled = now
	}
	if s.leasesExpired(now, cfg) {
		s.previous = nil
	}
	depth := 1
	for p := s; p.previous != nil; p = p.previous {
		if depth++; depth > maxPreviousViews {
			p.previous = nil
			break
		}
	}
	return n
}

// recordDeparture records that the process has left all views before this one.
func (s *installedView) recordDeparture(now time.Time, from Member) {
	previous, ok := findMember(s.view.PreviousMembers, from.Host)
	if !ok || from.Incarnation < previous.Incarnation || s.departed[from.Host] {
		return
	}
	s.departed[from.Host] = true
	if s.firstDeparture.IsZero() {
		s.firstDeparture = now
	}
	if s.settled.IsZero() && len(s.departed) >= blockingSize(len(s.view.PreviousMembers)) {
		s.settled = now
	}
}

// settleAfterFence marks the view as settled once the fence time has passed: by then all members
// of earlier views, which the register no longer confirms, have lost their leases.
func (s *installedView) settleAfterFence(now time.Time, cfg Config) {
	if cfg.FenceAfter == 0 || !s.settled.IsZero() || s.firstDeparture.IsZero() {
		return
	}
	// Clock drift grows in proportion to the measured time, so DriftMargin is scaled from
	// LeaseTime to FenceAfter.
	margin := time.Duration(float64(cfg.DriftMargin) * float64(cfg.FenceAfter) / float64(cfg.LeaseTime))
	if now.Sub(s.firstDeparture) >= cfg.FenceAfter+margin {
		s.settled = now
	}
}

// leasesExpired reports whether all leases of earlier views have expired.
func (s *installedView) leasesExpired(now time.Time, cfg Config) bool {
	if s.view.Number == 1 {
		return true
	}
	s.settleAfterFence(now, cfg)
	return !s.settled.IsZero() && now.Sub(s.settled) >= cfg.LeaseTime+cfg.DriftMargin
}

// takeoverDone reports whether no other process can still start work on the upstream, which this
// process owns in the view.
func (s *installedView) takeoverDone(now time.Time, upstream string, cfg Config) bool {
	if s.leasesExpired(now, cfg) {
		return true
	}
	previousOwner, ok := ownerOf(s.view.PreviousMembers, upstream)
	if !ok {
		return false
	}
	if m, departed := findMember(s.view.DepartedMembers, previousOwner.Host); departed && m.sameProcess(previousOwner) {
		return true
	}
	return previousOwner.sameProcess(cfg.Self) && s.previous != nil && s.previous.takeoverDone(now, upstream, cfg)
}
