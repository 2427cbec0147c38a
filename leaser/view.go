package leaser

import (
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Member identifies one process of a host and its addresses.
type Member struct {
	// Host is the host name, unique in the whole system.
	Host string `msgpack:"host"`
	// Incarnation grows with each start of the process.
	Incarnation uint64 `msgpack:"incarnation"`
	// Address is the address of the internal protocol.
	Address string `msgpack:"address"`
	// HTTP is the address of the HTTP interface.
	HTTP string `msgpack:"http"`
}

// sameProcess reports whether both have the same host and incarnation.
func (m Member) sameProcess(o Member) bool {
	return m.Host == o.Host && m.Incarnation == o.Incarnation
}

// View is the numbered list of the live hosts of one failure domain. A View is immutable once it
// is returned or installed.
type View struct {
	Domain string `msgpack:"domain"`
	// Number is 1 for the first view of a domain and grows by one with each change.
	Number uint64 `msgpack:"number"`
	// Members is sorted by host and has at most one member per host.
	Members []Member `msgpack:"members"`
	// Horizon is the creation time of request keys before which claims may have been lost.
	Horizon time.Time `msgpack:"horizon"`
	// PreviousMembers holds the members of the view whose number is lower by one. A view with a
	// number above 1 and no previous members is settled as soon as it is installed; only an
	// operator who has made sure that all earlier members have ended may write such a view.
	PreviousMembers []Member `msgpack:"former"`
	// DepartedMembers holds the previous members that stopped working before the view was
	// proposed.
	DepartedMembers []Member `msgpack:"left"`
}

// Majority returns the smallest number of members that is more than half of the view.
func (v View) Majority() int {
	return len(v.Members)/2 + 1
}

// Member returns the member of the host, whatever its incarnation.
func (v View) Member(host string) (Member, bool) {
	return findMember(v.Members, host)
}

// Has reports whether this process is a member; another incarnation of its host does not count.
func (v View) Has(m Member) bool {
	found, ok := findMember(v.Members, m.Host)
	return ok && found.sameProcess(m)
}

// Owner returns the owner of the upstream: the member with the highest rendezvous hash of
// (upstream, host). It returns false if the view has no members.
func (v View) Owner(upstream string) (Member, bool) {
	return ownerOf(v.Members, upstream)
}

func findMember(members []Member, host string) (Member, bool) {
	for _, m := range members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

func ownerOf(members []Member, upstream string) (Member, bool) {
	return sesamedrift.RendezvousNode(upstream, members, func(m Member) string { return m.Host })
}

// blockingSize returns the smallest number of members without which the remaining ones are not a
// majority.
func blockingSize(members int) int {
	if members == 0 {
		return 0
	}
	return members - members/2
}

func sortMembers(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return members
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, Member.sameProcess)
}
