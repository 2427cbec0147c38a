package server_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
)

// untilFreshKeysRun waits until the horizon of a domain that has lost the majority of its
// memory is over. Until then a key may be one from before, so that its outcome is unknown.
func (d *deployment) untilFreshKeysRun(host string) {
	d.g.Eventually(func() sesamedrift.Status {
		o := d.submit(host, work("booking", "10ms", 1))
		d.g.Expect(o.Status).To(BeElementOf(sesamedrift.Complete, sesamedrift.Unknown), o.Reason)
		return o.Status
	}, testTimeout).Should(Equal(sesamedrift.Complete))
}

// Guards against a domain of two hosts that serves nothing after one of them died.
func TestTwoHostDomainLosesOne(t *testing.T) {
	t.Parallel()
	for _, host := range []string{"ikeja-1", "ikeja-2"} {
		t.Run(host, func(t *testing.T) {
			cfg := largeDomain()
			cfg.Hosts = []int{2, 1, 1}
			d := deploy(t, cfg)
			d.g.Expect(d.KillHost(host)).To(Succeed())
			rest := map[string]string{"ikeja-1": "ikeja-2", "ikeja-2": "ikeja-1"}[host]
			d.g.Eventually(func() int { return d.ownedBy(rest) }, testTimeout).Should(Equal(3))
			d.untilFreshKeysRun(rest)
			o := d.submit(rest, work("booking", "10ms", 24))
			d.g.Expect(o.Status).To(Equal(sesamedrift.Complete), o.Reason)
			d.g.Expect(d.starts.most()).To(Equal(1))
		})
	}
}

// Guards against a start, and against "not run" for a possible resubmission, by the rest
// of a two-host domain that reaches neither its other host nor the replicas.
func TestTwoHostDomainLosesOneWhileCutOff(t *testing.T) {
	t.Parallel()
	for name, how := range cutModes {
		t.Run(name, func(t *testing.T) {
			cfg := largeDomain()
			cfg.Hosts = []int{2, 1, 1}
			d := deploy(t, cfg)
			d.CutDomain("ikeja", how)
			d.g.Expect(d.KillHost("ikeja-2")).To(Succeed())
			d.g.Eventually(func() bool { return d.state("ikeja-1").Lease }, testTimeout).Should(BeFalse())
			before := d.starts.total()
			for range 5 {
				fresh := work("booking", "10ms", 1)
				fresh.Deadline = time.Now().Add(2 * time.Second)
				o := d.post("ikeja-1", fresh, 1)
				d.g.Expect(o.Status).To(Equal(sesamedrift.Refused), o.Reason)
				fresh.Key = key("ikeja")
				o = d.post("ikeja-1", fresh, 1)
				d.g.Expect(o.Status).To(Equal(sesamedrift.Unknown), o.Reason)
			}
			d.g.Expect(d.starts.total()).To(Equal(before))
			d.Heal()
			d.g.Eventually(func() int { return d.ownedBy("ikeja-1") }, testTimeout).Should(Equal(3))
			d.untilFreshKeysRun("ikeja-1")
		})
	}
}
