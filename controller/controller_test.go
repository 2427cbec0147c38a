package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/publisher"
	"sesamedrift.example/sesamedrift/reporter"
)

// waitLimit is the timeout of all waits. Nothing takes so long in a run without a fault.
const waitLimit = 30 * time.Second

// nextPort is the port of the next control host.
var nextPort = 21000

// cluster is the control hosts of one system, which run in this process on loopback addresses.
type cluster struct {
	t               *testing.T
	g               *WithT
	addresses       []string
	folders         []string
	hosts           []*Host
	metrics         *reporter.Metrics
	lastIncarnation uint64
	// diskFails makes the syncs of the journals of all hosts fail.
	diskFails atomic.Bool
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t:       t,
		g:       NewWithT(t),
		hosts:   make([]*Host, n),
		metrics: reporter.NewMetrics(),
	}
	// The hosts bind their ports later. The address is derived from the process ID and the ports
	// are below the range for outgoing connections, so that no other process binds them before.
	pid := os.Getpid()
	for range n {
		c.addresses = append(c.addresses, fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&127, pid>>8&255, pid&255, nextPort))
		c.folders = append(c.folders, t.TempDir())
		nextPort++
	}
	return c
}

func (c *cluster) start(i int, bootstrap bool) { c.startWithSeeds(i, bootstrap, c.addresses) }

func (c *cluster) startWithSeeds(i int, bootstrap bool, seeds []string) {
	c.lastIncarnation++
	h, err := New(Config{
		Self: discoverer.Host{
			ID:          fmt.Sprint("core-", i),
			Domain:      fmt.Sprint("d", i),
			Role:        discoverer.Control,
			Address:     c.addresses[i],
			Incarnation: c.lastIncarnation,
			State:       discoverer.Serving,
		},
		Seeds:     seeds,
		Token:     "token",
		Folder:    c.folders[i],
		Bootstrap: bootstrap,
		Journal: func(cfg *journaler.Config) {
			cfg.Sync = func(f *os.File) error {
				if c.diskFails.Load() {
					return syscall.EIO
				}
				return f.Sync()
			}
		},
		Replicas: 3,
		Log:      slog.New(slog.DiscardHandler),
		Metrics:  c.metrics,
		Now:      time.Now,
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.hosts[i] = h
}

func (c *cluster) stop(i int) {
	c.hosts[i].Close()
	c.hosts[i] = nil
}

func (c *cluster) close() {
	for i, h := range c.hosts {
		if h != nil {
			c.stop(i)
		}
	}
	c.metrics.Close()
}

func (c *cluster) publish(i int, version uint64) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	return c.hosts[i].Publish(ctx, "ana", publisher.Document{
		Version: version,
		Content: []byte(fmt.Sprint("document ", version)),
	})
}

// newest returns the version that Newest of a host returns, or 0 after an error.
func (c *cluster) newest(i int) uint64 {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
	defer cancel()
	d, err := c.hosts[i].Newest(ctx)
	if err != nil {
		return 0
	}
	return d.Version
}

func (c *cluster) eventuallyNewest(i int, version uint64) {
	c.t.Helper()
	c.g.Eventually(func() uint64 { return c.newest(i) }).WithTimeout(waitLimit).Should(Equal(version))
}

// Guards against acknowledged documents that are lost when processes stop or one disk is lost,
// against answers without a majority, and against goroutines that outlive Close.
func TestDocumentsSurvive(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, ignore)
	c := newCluster(t, 3)
	defer c.close()
	for i := range 3 {
		c.start(i, true)
	}
	c.g.Eventually(func() error { return c.publish(0, 5) }).WithTimeout(waitLimit).Should(Succeed())
	c.g.Eventually(func() error { return c.publish(1, 4) }).WithTimeout(waitLimit).Should(Succeed(), "an older version is acknowledged")
	for i := range 3 {
		c.eventuallyNewest(i, 5)
	}

	// One replica of three suffices neither for a change nor for a read.
	c.stop(1)
	c.stop(2)
	c.g.Expect(c.publish(0, 6)).NotTo(Succeed())
	c.g.Expect(c.newest(0)).To(BeZero())

	// The change that failed may or may not be stored; acknowledged versions are.
	c.stop(0)
	c.start(0, false)
	c.start(1, false)
	c.g.Eventually(func() uint64 { return c.newest(0) }).WithTimeout(waitLimit).Should(BeNumerically(">=", 5))
	c.g.Eventually(func() error { return c.publish(1, 7) }).WithTimeout(waitLimit).Should(Succeed())

	// An empty replica is repaired from the others before it votes. Then another disk may be lost.
	c.g.Expect(os.RemoveAll(c.folders[2])).To(Succeed())
	c.start(2, false)
	c.eventuallyNewest(2, 7)
	c.stop(0)
	c.g.Expect(os.RemoveAll(c.folders[0])).To(Succeed())
	c.eventuallyNewest(2, 7)
	c.g.Expect(c.publish(2, 8)).To(Succeed())
	c.start(0, false)
	c.eventuallyNewest(0, 8)
}

// Guards against updates that do not reach polling hosts, and against polls without updates that
// are not answered.
func TestUpdates(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	h := c.hosts[0]
	self := discoverer.Host{
		ID:          "entry",
		Domain:      "d",
		Role:        discoverer.Entry,
		Address:     "127.0.0.1:9",
		Incarnation: 1,
		State:       discoverer.Serving,
	}
	poll := func(req poller.Request) poller.Updates {
		req.Self = self
		return h.handlePoll(t.Context(), req)
	}
	first := poll(poller.Request{})
	c.g.Expect(first.Hosts).To(ContainElements(self, HaveField("Role", discoverer.Control)))
	next := poller.Request{
		Incarnation:  first.Incarnation,
		HostsSeq:     first.HostsSeq,
		UpstreamsSeq: first.UpstreamsSeq,
	}
	answered := make(chan poller.Updates, 1)
	go func() { answered <- poll(next) }()
	u := discoverer.Upstream{
		ID:          "u",
		Domain:      "d",
		Address:     "127.0.0.1:8",
		Incarnation: 1,
		ReportSeq:   1,
		State:       discoverer.Serving,
	}
	h.ReportUpstream(u)
	var updates poller.Updates
	c.g.Eventually(answered).WithTimeout(waitLimit).Should(Receive(&updates))
	c.g.Expect(updates.Upstreams).To(Equal([]discoverer.Upstream{u}))
	known, found := h.Upstream("u")
	c.g.Expect(found).To(BeTrue())
	c.g.Expect(known).To(Equal(u))

	c.g.Eventually(func() error { return c.publish(0, 3) }).WithTimeout(waitLimit).Should(Succeed())
	c.g.Expect(poll(next).Document.Version).To(Equal(uint64(3)))
	next.Version = 3
	next.UpstreamsSeq = updates.UpstreamsSeq
	c.g.Expect(poll(next)).To(HaveField("Document.Version", BeZero()))
	next.Version = 0
	next.AnnounceOnly = true
	c.g.Expect(poll(next)).To(And(HaveField("DocumentVersion", uint64(3)), HaveField("Document.Version", BeZero())))
	next.Version = 3
	// Sequence numbers of another incarnation of the control host are ignored.
	next.Incarnation++
	c.g.Expect(poll(next).Upstreams).To(HaveLen(1))
}

// Guards against updates that wake every host of a large system: entry hosts receive reports of the
// upstreams of their own domain, and of the placers among the entry hosts of other domains.
func TestUpdatesOfOtherDomains(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	h := c.hosts[0]
	report := func(id, domain string, isPlacer bool) discoverer.Host {
		return discoverer.Host{
			ID:          id,
			Domain:      domain,
			Role:        discoverer.Entry,
			Address:     id,
			Incarnation: 1,
			State:       discoverer.Serving,
			IsPlacer:    isPlacer,
		}
	}
	h.ReportUpstream(discoverer.Upstream{
		ID:     "near",
		Domain: "d",
	})
	h.ReportUpstream(discoverer.Upstream{
		ID:     "far",
		Domain: "e",
	})
	for _, host := range []discoverer.Host{report("e-1", "e", false), report("e-2", "e", true)} {
		h.handlePoll(t.Context(), poller.Request{Self: host})
	}
	former := report("e-2", "e", false)
	former.ReportSeq = 1
	h.handlePoll(t.Context(), poller.Request{Self: former})
	updates := h.handlePoll(t.Context(), poller.Request{Self: report("d-1", "d", false)})
	c.g.Expect(updates.Upstreams).To(ConsistOf(HaveField("ID", "near")))
	c.g.Expect(updates.Hosts).To(ConsistOf(HaveField("ID", "d-1"), HaveField("ID", "core-0"), former), "a host that was a placer is reported as none")
	control := report("core-9", "e", false)
	control.Role = discoverer.Control
	c.g.Expect(h.handlePoll(t.Context(), poller.Request{Self: control}).Upstreams).To(HaveLen(2))
}

// Guards against a document that a host cannot fetch from a control host, and against a version that
// the control host does not have.
func TestFetchDocument(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	c.g.Eventually(func() error { return c.publish(0, 3) }).WithTimeout(waitLimit).Should(Succeed())
	peer := messenger.NewPeer(c.addresses[0], messenger.Config{
		Local: messenger.Hello{
			Token: "token",
			Host:  "entry",
		},
	})
	defer func() { _ = peer.Close() }()
	fetch := func(version uint64) (poller.Document, error) {
		return poller.FetchDocument(t.Context(), peer, waitLimit, version)
	}
	c.g.Eventually(func() error {
		_, err := fetch(3)
		return err
	}).WithTimeout(waitLimit).Should(Succeed())
	d, err := fetch(2)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(string(d.Content)).To(Equal("document 3"))
	_, err = fetch(4)
	var refusal *messenger.RemoteError
	c.g.Expect(errors.As(err, &refusal)).To(BeTrue())
}
