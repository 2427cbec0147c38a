package server_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/server"
)

// evacuate orders the evacuation of a domain at a host and returns the result.
func (d *deployment) evacuate(host, domain string) client.EvacuationResult {
	r, err := d.at(host).Evacuate(d.ctx, domain, "ana")
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(r.Evacuated).To(BeTrue())
	return r
}

// restore orders the end of the evacuation of a domain at a host.
func (d *deployment) restore(host, domain string) {
	r, err := d.at(host).Restore(d.ctx, domain, "ivo")
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(r.Evacuated).To(BeFalse())
}

// forbidStartsIn makes the test fail if a task is started on an upstream of the domain, and returns a
// function that ends the check.
func (d *deployment) forbidStartsIn(t *testing.T, domain string) func() {
	t.Helper()
	d.starts.watch(func(upstream string) {
		if strings.HasPrefix(upstream, domain+"-") {
			t.Errorf("a task was started on %s", upstream)
		}
	})
	return func() { d.starts.watch(nil) }
}

// Guards against a start in an evacuated domain, a running task that the order stops, a submission
// that is not run elsewhere although another domain has slots, and upstreams that do not serve again
// after the restore.
func TestEvacuatedDomainStartsNothing(t *testing.T) {
	d := deploy(t, largeDomain())
	running := work("booking", "1s", 2)
	running.Key = key("ikeja")
	first := d.goSubmit("ikeja-1", running)
	d.g.Eventually(d.starts.total, testTimeout).Should(Equal(2))
	r := d.evacuate("lekki-1", "ikeja")
	d.g.Expect(r.InForceOn).To(Equal([]string{"apapa-1", "ikeja-1", "ikeja-2", "ikeja-3", "lekki-1"}))
	end := d.forbidStartsIn(t, "ikeja")
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			// The tasks are more than the slots of the other domains.
			s := work("booking", "20ms", 10)
			s.Key = key("ikeja")
			o := d.submit(fmt.Sprintf("ikeja-%d", i%3+1), s)
			d.g.Expect(o.Status).To(BeElementOf(sesamedrift.Complete, sesamedrift.Refused), o.Reason)
			if o.Status == sesamedrift.Refused {
				d.g.Expect(d.starts.forKey(o.Key)).To(BeZero())
			}
		})
	}
	all.Wait()
	d.g.Expect((<-first).Status).To(Equal(sesamedrift.Complete))
	d.g.Expect(d.submit("ikeja-2", work("booking", "10ms", 1)).Status).To(Equal(sesamedrift.Complete))
	end()

	d.restore("ikeja-2", "ikeja")
	d.g.Eventually(d.free, testTimeout).Should(Equal(72))
	d.g.Expect(d.starts.maxPerTask()).To(Equal(1))
}

// Guards against a submission that is held until its deadline, and against a refusal of one that has
// run, when every domain is evacuated.
func TestEveryDomainIsEvacuated(t *testing.T) {
	cfg := oneDomain()
	cfg.HostsPerDomain = []int{1}
	cfg.UpstreamsPerDomain = 1
	d := deploy(t, cfg)
	d.classify("ikeja-1", "booking")
	queued := func() int { return d.state("ikeja-1").Queued }
	s := work("booking", "2s", 12)
	s.Deadline = time.Now().Add(testTimeout)
	first := d.goSubmit("ikeja-1", s)
	d.g.Eventually(queued, testTimeout).Should(Equal(4))
	second := d.goSubmit("ikeja-1", work("booking", "2s", 8))
	d.g.Eventually(queued, testTimeout).Should(Equal(12))
	d.evacuate("ikeja-1", "ikeja")
	o := <-second
	d.g.Expect(o.Status).To(Equal(sesamedrift.Refused), o.Reason)
	d.g.Expect(o.Reason).To(ContainSubstring("evacuated"))
	o = d.submit("ikeja-1", work("booking", "10ms", 1))
	d.g.Expect(o.Status).To(Equal(sesamedrift.Refused), o.Reason)
	d.g.Expect(o.RetryAfter).To(BeNumerically(">", 0))
	d.restore("ikeja-1", "ikeja")
	o = <-first
	d.g.Expect(o.Status).To(Equal(sesamedrift.Complete), o.Reason)
	d.g.Expect(d.starts.maxPerTask()).To(Equal(1))
}

// Guards against an evacuation that a restart of all hosts forgets, one that a host without a disk
// learns only after a start, and one that is lost with the disk of a replica.
func TestEvacuationSurvivesRestarts(t *testing.T) {
	d := deploy(t, largeDomain())
	d.waitForVotes("ikeja-1", "lekki-1", "apapa-1")
	d.evacuate("ikeja-1", "ikeja")
	end := d.forbidStartsIn(t, "ikeja")
	for _, host := range d.HostNames() {
		d.g.Expect(d.KillHost(host)).To(Succeed())
	}
	d.removeDataFolder("ikeja-1")
	for _, host := range d.HostNames() {
		d.g.Expect(d.StartHost(host)).To(Succeed())
	}
	for _, host := range d.HostNames() {
		d.g.Expect(d.WaitHostReady(d.ctx, host)).To(Succeed())
		d.g.Expect(d.state(host).Evacuated).To(Equal([]string{"ikeja"}), host)
	}
	d.waitUntilNewKeysRun("ikeja-2")
	end()
	d.restore("apapa-1", "ikeja")
	d.g.Eventually(d.free, testTimeout).Should(Equal(72))
}

// Guards against a host that is cut off while an order is given and starts tasks after the cut has
// ended.
func TestCutOffDomainLearnsTheEvacuation(t *testing.T) {
	d := deploy(t, largeDomain())
	d.IsolateDomain("ikeja", server.LinkBlackhole)
	r := d.evacuate("lekki-1", "ikeja")
	d.g.Expect(r.InForceOn).To(Equal([]string{"apapa-1", "lekki-1"}))
	// The cut-off domain goes on with the state that it knows.
	d.g.Expect(d.submit("ikeja-1", work("booking", "10ms", 1)).Status).To(Equal(sesamedrift.Complete))
	d.Heal()
	healed := time.Now()
	for _, host := range []string{"ikeja-1", "ikeja-2", "ikeja-3"} {
		d.g.Eventually(func() []string { return d.state(host).Evacuated }, testTimeout).Should(Equal([]string{"ikeja"}), host)
	}
	t.Logf("the domain knows the evacuation %s after the cut", time.Since(healed))
	d.forbidStartsIn(t, "ikeja")
	d.g.Expect(d.submit("ikeja-1", work("booking", "10ms", 1)).Status).To(Equal(sesamedrift.Complete))
}

// Guards against an order that is rejected because others are in progress or because it was given
// before, and against one that is lost among them.
func TestConcurrentOrders(t *testing.T) {
	d := deployReplicas(t)
	var all sync.WaitGroup
	for i := range 8 {
		host := d.HostNames()[i%3]
		all.Go(func() { d.evacuate(host, []string{"lekki", "apapa"}[i%2]) })
	}
	all.Wait()
	e, err := d.at("ikeja-1").Evacuations(d.ctx)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(e.Version).To(Equal(uint64(8)))
	d.g.Expect(e.Domains).To(ConsistOf(client.Domain{Name: "ikeja"},
		client.Domain{Name: "lekki", Evacuated: true}, client.Domain{Name: "apapa", Evacuated: true}))
}

// Guards against an order that is acknowledged although no majority of the replicas has stored it.
func TestOrderWithoutMajorityIsNotAcknowledged(t *testing.T) {
	d := deployReplicas(t)
	for _, host := range []string{"lekki-1", "apapa-1"} {
		d.g.Expect(d.KillHost(host)).To(Succeed())
	}
	_, err := d.at("ikeja-1").Evacuate(d.ctx, "ikeja", "ana")
	d.g.Expect(err).To(MatchError(ContainSubstring("503 not-ready")))
	d.g.Expect(d.state("ikeja-1").Evacuated).To(BeEmpty())
	d.g.Expect(d.StartHost("lekki-1")).To(Succeed())
	d.g.Eventually(func() error {
		_, err := d.at("ikeja-1").Evacuate(d.ctx, "ikeja", "ana")
		return err
	}, testTimeout).Should(Succeed())
}
