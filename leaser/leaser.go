package leaser

import (
	"fmt"
	"slices"
	"time"
)

// maxSent is the number of newest heartbeats whose acknowledgements are accepted. A heartbeat
// that is older than these would no longer extend a lease.
const maxSent = 64

// maxPreviousViews bounds the chain of previous views that is kept while their takeover waits
// run. If more views are installed in a row within their waits, a member waits again for
// upstreams that it owned all the time.
const maxPreviousViews = 8

// Config describes one member. New panics if a value is out of range.
type Config struct {
	Self   Member
	Domain string
	// LeaseTime is how long a lease holds after the heartbeat that was acknowledged was sent. It
	// must be above HeartbeatEvery.
	LeaseTime time.Duration
	// HeartbeatEvery is the interval between heartbeats.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time without an acknowledgement after which a member is removed from
	// the next view. It must be above HeartbeatEvery.
	SuspectAfter time.Duration
	// DriftMargin bounds how far two clocks drift apart over LeaseTime + DriftMargin.
	DriftMargin time.Duration
	// FenceAfter allows views that retain too few of the previous members; see the package
	// comment. It must be the same on all hosts of the domain and at least twice LeaseTime; zero
	// disables it.
	FenceAfter time.Duration
}

// Leaser holds the view, the lease and the pending view change of one process.
type Leaser struct {
	cfg     Config
	current *installedView
	leaving bool
	// newestView is the highest view number seen in a message or in the register.
	newestView uint64
	// sent holds the send times of the newest heartbeats of the current view, oldest first. These
	// have a monotonic reading; the copies that acknowledgements return over the network have
	// none.
	sent []time.Time
	// acked holds, for each host, the send time of the newest heartbeat of the current view that
	// the host acknowledged while it was in this view. It is what the lease is computed from.
	acked map[string]time.Time
	// lastResponse is the same for acknowledgements that a host sent in any view; at first it is
	// the time at which the current view was installed. It decides which members are live.
	lastResponse map[string]time.Time
	// confirmed is the send time of the newest read of the register that returned the current
	// view.
	confirmed    time.Time
	joinRequests map[string]joinRequest
	proposals    proposals
}

type joinRequest struct {
	member     Member
	receivedAt time.Time
}

// New returns a Leaser without a view. If the register holds a view, the caller installs it
// before the first call of NextView.
func New(cfg Config) *Leaser {
	if cfg.LeaseTime <= cfg.HeartbeatEvery || cfg.SuspectAfter <= cfg.HeartbeatEvery || cfg.HeartbeatEvery <= 0 {
		panic(fmt.Sprintf("leaser: lease time %v and suspect time %v must be above the heartbeat interval %v, which must be above zero",
			cfg.LeaseTime, cfg.SuspectAfter, cfg.HeartbeatEvery))
	}
	if cfg.FenceAfter != 0 && cfg.FenceAfter < 2*cfg.LeaseTime {
		panic(fmt.Sprintf("leaser: fence time %v must be zero or at least twice the lease time %v", cfg.FenceAfter, cfg.LeaseTime))
	}
	return &Leaser{
		cfg: cfg,
		current: &installedView{
			view: View{
				Domain: cfg.Domain,
			},
		},
		acked:        map[string]time.Time{},
		lastResponse: map[string]time.Time{},
		joinRequests: map[string]joinRequest{},
	}
}

// Install makes v the current view. It ignores a view of another domain and a view whose number
// is not above that of the current one.
func (l *Leaser) Install(now time.Time, v View) {
	if v.Number <= l.current.view.Number || v.Domain != l.cfg.Domain {
		return
	}
	l.current = l.current.next(now, v, l.cfg)
	l.newestView = max(l.newestView, v.Number)
	l.sent = nil
	l.confirmed = time.Time{}
	clear(l.acked)
	for _, m := range v.Members {
		if j, ok := l.joinRequests[m.Host]; ok && j.member.Incarnation <= m.Incarnation {
			delete(l.joinRequests, m.Host)
		}
		// A new member has SuspectAfter to acknowledge its first heartbeat.
		l.lastResponse[m.Host] = now
	}
	for host := range l.lastResponse {
		if _, ok := findMember(v.Members, host); !ok {
			delete(l.lastResponse, host)
		}
	}
	l.proposals.viewInstalled(now)
	l.observeView(now, l.cfg.Self, v.Number)
}

// View returns the current view. Its number is 0 before the first Install.
func (l *Leaser) View() View {
	return l.current.view
}

// NewestViewNumber returns the highest view number seen in a message or in the register. If it is
// above the number of View, the register has a newer view.
func (l *Leaser) NewestViewNumber() uint64 {
	return l.newestView
}

// Recipients returns the processes to send heartbeats to: all other members and, until the view
// is settled, the previous members that are no longer members.
func (l *Leaser) Recipients() []Member {
	var to []Member
	for _, m := range l.current.view.Members {
		if m.Host != l.cfg.Self.Host {
			to = append(to, m)
		}
	}
	if !l.current.settled.IsZero() {
		return to
	}
	for _, m := range l.current.view.PreviousMembers {
		if _, ok := findMember(l.current.view.Members, m.Host); !ok && m.Host != l.cfg.Self.Host {
			to = append(to, m)
		}
	}
	return to
}

// Heartbeat returns the message to send to all Recipients now. Each call counts as a new
// heartbeat.
func (l *Leaser) Heartbeat(now time.Time) Heartbeat {
	if len(l.sent) == maxSent {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
	l.sent = append(l.sent, now)
	return Heartbeat{
		From:   l.cfg.Self,
		View:   l.current.view.Number,
		SentAt: now,
	}
}

// HandleHeartbeat returns the acknowledgement to send to the sender of the heartbeat. It extends
// the lease of the sender only if both processes are in the same view.
func (l *Leaser) HandleHeartbeat(now time.Time, h Heartbeat) Ack {
	l.observeView(now, h.From, h.View)
	return Ack{
		From:          l.cfg.Self,
		ToIncarnation: h.From.Incarnation,
		View:          l.current.view.Number,
		HeartbeatView: h.View,
		SentAt:        h.SentAt,
	}
}

// HandleAck records an acknowledgement. One that belongs to none of the newest heartbeats of this
// process in the current view extends no lease.
func (l *Leaser) HandleAck(now time.Time, a Ack) {
	l.observeView(now, a.From, a.View)
	sent, ok := l.recordedSendTime(a.SentAt)
	if !ok || a.ToIncarnation != l.cfg.Self.Incarnation || a.HeartbeatView != l.current.view.Number {
		return
	}
	m, ok := findMember(l.current.view.Members, a.From.Host)
	if !ok || !m.sameProcess(a.From) {
		return
	}
	if sent.After(l.lastResponse[m.Host]) {
		l.lastResponse[m.Host] = sent
	}
	if a.View == l.current.view.Number && sent.After(l.acked[m.Host]) {
		l.acked[m.Host] = sent
	}
}

// recordedSendTime returns the send time of the heartbeat with its monotonic reading, or false if
// the heartbeat is not among the newest ones of the current view.
func (l *Leaser) recordedSendTime(echoed time.Time) (time.Time, bool) {
	for _, at := range l.sent {
		if at.Equal(echoed) {
			return at, true
		}
	}
	return time.Time{}, false
}

// observeView records that a process is in the view with the given number and so has left all
// lower ones.
func (l *Leaser) observeView(now time.Time, from Member, number uint64) {
	l.newestView = max(l.newestView, number)
	if number >= l.current.view.Number {
		l.current.recordDeparture(now, from)
	}
}

// ConfirmView records that a read of the register, sent at the given time, returned the view with
// this number as the newest. It is needed only with FenceAfter.
func (l *Leaser) ConfirmView(requestedAt time.Time, number uint64) {
	l.newestView = max(l.newestView, number)
	if number == l.current.view.Number && requestedAt.After(l.confirmed) {
		l.confirmed = requestedAt
	}
}

// HoldsLease reports whether this process is a member of the current view and holds a lease in
// it.
func (l *Leaser) HoldsLease(now time.Time) bool {
	if !l.current.view.Has(l.cfg.Self) {
		return false
	}
	votes := l.leaseVotes(now)
	if l.cfg.FenceAfter > 0 && votes < len(l.current.view.Members) && now.Sub(l.confirmed) >= l.cfg.FenceAfter {
		return false
	}
	return votes >= l.current.view.Majority()
}

// leaseVotes counts the members that have acknowledged a heartbeat sent less than LeaseTime ago,
// including this process.
func (l *Leaser) leaseVotes(now time.Time) int {
	n := 0
	for _, m := range l.current.view.Members {
		sent, ok := l.acked[m.Host]
		if m.sameProcess(l.cfg.Self) || ok && now.Sub(sent) < l.cfg.LeaseTime {
			n++
		}
	}
	return n
}

// Settled reports whether no lease of an earlier view can be extended any more.
func (l *Leaser) Settled(now time.Time) bool {
	l.current.settleAfterFence(now, l.cfg)
	return !l.current.settled.IsZero()
}

// Owner returns the owner of the upstream in the current view, whether or not it holds a lease.
// It returns false if there is no view or the view has no members.
func (l *Leaser) Owner(upstream string) (Member, bool) {
	return l.current.view.Owner(upstream)
}

// Owns reports whether this process may start work on the upstream now: it owns the upstream,
// holds a lease, has waited for earlier owners and is not stopping.
func (l *Leaser) Owns(now time.Time, upstream string) bool {
	if l.leaving || !l.HoldsLease(now) {
		return false
	}
	m, ok := l.current.view.Owner(upstream)
	return ok && m.sameProcess(l.cfg.Self) && l.current.takeoverDone(now, upstream, l.cfg)
}
