package server_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
)

// joinLost submits work at the only owner of the only upstream of ikeja and joins it at
// another host; then the owner dies. If busy is set, every slot is taken before, so that no
// task of the submission starts. It returns the outcome of the joined call.
func (d *deployment) joinLost(s sesamedrift.Submission, busy bool) sesamedrift.Outcome {
	owner, other := "", ""
	for _, host := range d.HostNames() {
		if d.ownedBy(host) == 1 {
			owner = host
		} else {
			other = host
		}
	}
	before := 0
	if busy {
		filler := work("heavy-check", "19s", 8)
		filler.Deadline = time.Now().Add(testTimeout)
		d.goSubmit(owner, filler)
		before = len(filler.Payloads)
		d.g.Eventually(d.starts.total, testTimeout).Should(Equal(before))
	}
	d.goSubmit(owner, s)
	d.g.Eventually(func() int {
		return d.state(owner).Queued + d.starts.total() - before
	}, testTimeout).Should(Equal(len(s.Payloads)))
	joined := d.goSubmit(other, s)
	d.g.Expect(d.KillHost(owner)).To(Succeed())
	if busy {
		// The tasks of the filler would run on.
		d.g.Expect(d.KillUpstream("ikeja-worker-1")).To(Succeed())
		d.g.Expect(d.StartUpstream("ikeja-worker-1", "ikeja", noFaults)).To(Succeed())
	}
	o := <-joined
	for _, host := range d.HostNames() {
		if host != owner {
			again := d.submit(host, s)
			d.g.Expect(again.Status).To(Equal(o.Status), again.Reason+o.Reason)
			d.g.Expect(again.Answers).To(Equal(o.Answers))
		}
	}
	d.g.Expect(d.starts.most()).To(Equal(1))
	return o
}

func oneUpstream(t *testing.T) (*deployment, sesamedrift.Submission) {
	cfg := oneDomain()
	cfg.Upstreams = 1
	d := deploy(t, cfg)
	s := work("heavy-check", "5s", 2)
	s.Key = key("ikeja")
	s.Deadline = time.Now().Add(testTimeout)
	return d, s
}

// Guards against "unknown" for a submission of which nothing started before its coordinator
// died, and against a second start of one of its tasks.
func TestJoinedCallTakesOverQueuedWork(t *testing.T) {
	d, s := oneUpstream(t)
	s.Payloads = work("heavy-check", "10ms", 2).Payloads
	o := d.joinLost(s, true)
	d.g.Expect(o.Status).To(Equal(sesamedrift.Complete), o.Reason)
	d.g.Expect(d.starts.of(s.Key.String())).To(Equal(2))
}

// Guards against a second start of a submission that had started when its coordinator died.
func TestJoinedCallOfStartedWorkIsUnknown(t *testing.T) {
	d, s := oneUpstream(t)
	o := d.joinLost(s, false)
	d.g.Expect(o.Status).To(Equal(sesamedrift.Unknown), o.Reason)
	d.g.Expect(d.starts.of(s.Key.String())).To(Equal(2))
}
