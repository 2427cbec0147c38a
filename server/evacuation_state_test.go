package server

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/validator"
)

// Guards against a host that has just started and starts tasks before it knows the evacuations: with
// the state of its own journal, with that of a peer that does not know them either, or with one that
// is older than that of a peer.
func TestHostStartsNothingBeforeItKnowsTheEvacuations(t *testing.T) {
	g := NewWithT(t)
	var e evacuations
	g.Expect(e.apply(registrar.Entry{Version: 2, Value: evacuator.Encode(evacuator.State{})})).To(BeTrue())
	g.Expect(e.allowStarts("ikeja")).To(BeFalse())

	h := newIsolatedHost(t, 1)
	h.exchanges = newExchanges()
	h.evacuations.known = false
	h.receivePeerState("ikeja-2", slotReport{}, map[string]uint64{"env-trial": 0})
	g.Expect(h.exchangedVersions()).NotTo(HaveKey(evacuator.Register))
	h.pullingEntries.Store(true) // as if a fetch were under way
	h.receivePeerState("ikeja-2", slotReport{}, map[string]uint64{evacuator.Register: 1})
	g.Expect(h.evacuations.allowStarts("ikeja")).To(BeFalse())
	a := h.attemptOn(t.Context(), *h.dispatcher.upstreams["worker-0"], taskRun{})
	g.Expect(a).To(Equal(notStarted(errEvacuated)))

	value := evacuator.Encode(evacuator.State{Version: 1, Domains: []string{"lekki"}})
	_, err := h.serveEntries(exchange{
		Versions: map[string]uint64{evacuator.Register: 1},
		Entries: []registrar.Entry{{
			Register: evacuator.Register,
			Version:  1,
			Value:    value,
			Digest:   registrar.Digest(value),
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.evacuations.allowStarts("ikeja")).To(BeTrue())
	g.Expect(h.evacuations.allowStarts("lekki")).To(BeFalse())
	g.Expect(h.exchangedVersions()).To(HaveKeyWithValue(evacuator.Register, uint64(1)))
}

// Guards against an unreadable state that counts as empty: a host that knows the evacuations drops them, or one that
// has read none knows them.
func TestUnreadableEvacuations(t *testing.T) {
	g := NewWithT(t)
	unreadable := registrar.Entry{Version: 2, Value: []byte("unreadable")}
	var read, started evacuations
	g.Expect(read.apply(registrar.Entry{Version: 1, Value: evacuator.Encode(evacuator.State{Version: 1, Domains: []string{"ikeja"}})})).To(BeTrue())
	g.Expect(read.markKnown(1)).To(BeTrue())
	for _, e := range []*evacuations{&read, &started} {
		_, err := e.apply(unreadable)
		g.Expect(err).To(HaveOccurred())
		g.Expect(e.markKnown(0)).To(BeFalse(), "a peer that knows an older state does not suffice")
		g.Expect(e.markKnown(2)).To(BeFalse())
		g.Expect(e.allowStarts("ikeja")).To(BeFalse())
	}
	g.Expect(read.allowStarts("lekki")).To(BeTrue())
	g.Expect(started.apply(registrar.Entry{Version: 3, Value: evacuator.Encode(evacuator.State{Version: 1})})).To(BeTrue())
	g.Expect(started.markKnown(3)).To(BeTrue())
}

// Guards against a host without slots that keeps its tasks, since its domain is evacuated, while the
// hosts of other domains have queued tasks as well, and against one that otherwise moves tasks there.
func TestEvacuatedHostUsesQueuesOfOtherDomains(t *testing.T) {
	g := NewWithT(t)
	p := newPeerSlots()
	p.get(peerName).distance = time.Millisecond
	p.update(start, peerName, reportOf(1, 0, 0, 30))
	host, _ := p.shortestQueue(start, testService, true)
	g.Expect(host).To(Equal(peerName))
	host, _ = p.shortestQueue(start, testService, false)
	g.Expect(host).To(BeEmpty())
}

// Guards against a host that refuses a job because no other domain has reported slots yet: it may have
// learned the evacuation from a peer of its domain, before the first exchange after a cut.
func TestEvacuatedHostAwaitsReportsOfOtherDomains(t *testing.T) {
	g := NewWithT(t)
	d := newTestDispatcher()
	d.peers = newPeerSlots()
	d.evacuated, d.evacuatedAt = true, start
	j := newJob(sesamedrift.Submission{Payloads: make([][]byte, 2)}, testService, validator.Kind{Name: "check"}, start.Add(time.Minute))
	g.Expect(d.noDomainLeft(start, testService)).To(BeTrue(), "there is no other domain")

	d.peers.get(peerName).distance = time.Millisecond
	g.Expect(d.noDomainLeft(start, testService)).To(BeFalse())
	g.Expect(d.estimateWait(start, j)).To(BeZero())
	late := start.Add(otherDomainGracePeriod)
	g.Expect(d.noDomainLeft(late, testService)).To(BeTrue(), "no domain has reported slots")
	g.Expect(d.estimateWait(late, j)).To(Equal(scheduler.MaxWait))
	d.peers.update(late, peerName, reportOf(1, 0, 0, 30))
	g.Expect(d.noDomainLeft(late, testService)).To(BeFalse())
}
