package controller

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/reporter"
)

func reportedUpstream(id string, state discoverer.State) discoverer.Upstream {
	return discoverer.Upstream{
		ID:          id,
		Service:     "s",
		Address:     "127.0.0.1:1",
		Domain:      "d",
		Incarnation: 1,
		ReportSeq:   1,
		State:       state,
	}
}

// startStoring runs storeUpstreams until the test ends. It has returned before the folder of the test is removed.
func startStoring(t *testing.T, h *Host) {
	ctx := t.Context()
	var wg sync.WaitGroup
	wg.Go(func() { h.storeUpstreams(ctx) })
	t.Cleanup(wg.Wait)
}

// Guards against a loss of all control hosts after which upstreams are known only as they report again, against stored
// reports that count as received, and against a leaving upstream that serves again after the loss.
func TestReportsSurviveARestart(t *testing.T) {
	c := newCluster(t, 1)
	defer c.close()
	c.start(0, true)
	for _, u := range []discoverer.Upstream{
		reportedUpstream("a", discoverer.Serving),
		reportedUpstream("b", discoverer.Serving),
		reportedUpstream("b", discoverer.Leaving),
		reportedUpstream("c", discoverer.Gone),
	} {
		c.hosts[0].ReportUpstream(u)
	}
	c.g.Eventually(func() ([]discoverer.Upstream, error) {
		return readUpstreams(filepath.Join(c.folders[0], upstreamsFile))
	}).
		WithTimeout(waitLimit).Should(HaveLen(2))
	c.stop(0)
	c.start(0, false)
	h := c.hosts[0]
	for id, state := range map[string]discoverer.State{"a": discoverer.Serving, "b": discoverer.Leaving} {
		u, known := h.Upstream(id)
		c.g.Expect(known).To(BeTrue())
		c.g.Expect(u.Stored).To(BeTrue())
		c.g.Expect(u.State).To(Equal(state))
	}
	_, known := h.Upstream("c")
	c.g.Expect(known).To(BeFalse())
	seq := h.upstreams.Seq()
	h.ReportUpstream(reportedUpstream("a", discoverer.Serving))
	u, _ := h.Upstream("a")
	c.g.Expect(u.Stored).To(BeFalse())
	c.g.Expect(h.upstreams.Seq()).To(Equal(seq+1), "other hosts learn that the upstream has reported")
}

// Guards against a file that grows with upstreams which do not exist any more.
func TestStoredReports(t *testing.T) {
	g := NewWithT(t)
	stored := reportedUpstream("stored", discoverer.Serving)
	stored.Stored = true
	unnumbered := reportedUpstream("unnumbered", discoverer.Serving)
	unnumbered.Incarnation = 0
	received := reportedUpstream("received", discoverer.Serving)
	all := []discoverer.Upstream{received, stored, unnumbered, reportedUpstream("gone", discoverer.Gone)}
	g.Expect(upstreamsToStore(all, time.Second)).To(Equal([]discoverer.Upstream{received, stored}))
	g.Expect(upstreamsToStore(all, storedLifetime)).To(Equal([]discoverer.Upstream{received}))
}

// Guards against stored reports that cannot be read and are left out without notice, or that keep the host from
// starting, and against a warning at the first start.
func TestReportsNotRead(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), upstreamsFile)
	load := func() (count int, lines string) {
		var log strings.Builder
		h := &Host{
			log:       slog.New(slog.NewTextHandler(&log, nil)),
			stored:    upstreamStore{path: path},
			upstreams: discoverer.NewList[discoverer.Upstream](),
		}
		h.loadUpstreams(time.Now())
		return len(h.upstreams.All()), log.String()
	}
	unread := And(ContainSubstring("event=%d", reporter.ReportsNotRead.ID), ContainSubstring(path))
	count, lines := load()
	g.Expect(count).To(BeZero())
	g.Expect(lines).To(BeEmpty())
	g.Expect(writeUpstreams(path, []discoverer.Upstream{reportedUpstream("a", discoverer.Serving)})).To(Succeed())
	count, lines = load()
	g.Expect(count).To(Equal(1))
	g.Expect(lines).To(BeEmpty())
	written, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	changed := bytes.Clone(written)
	changed[len(changed)/2] ^= 1
	for _, damaged := range [][]byte{{}, []byte("damaged"), written[:len(written)-1], changed} {
		g.Expect(os.WriteFile(path, damaged, 0o600)).To(Succeed())
		count, lines = load()
		g.Expect(count).To(BeZero())
		g.Expect(lines).To(unread)
	}
	g.Expect(os.Remove(path)).To(Succeed())
	g.Expect(os.Mkdir(path, 0o700)).To(Succeed())
	_, lines = load()
	g.Expect(lines).To(unread)
}

// Guards against reports that are not stored until the next change because a write has failed for a while.
func TestFailedWriteIsRepeated(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), "missing")
	h := &Host{
		cfg:       Config{Now: time.Now},
		log:       slog.New(slog.DiscardHandler),
		stored:    newUpstreamStore(folder),
		upstreams: discoverer.NewList[discoverer.Upstream](),
	}
	h.upstreams.Put(time.Now(), reportedUpstream("a", discoverer.Serving))
	failed := h.storeNow()
	startStoring(t, h)
	g.Eventually(failed).WithTimeout(waitLimit).Should(BeClosed())
	g.Expect(h.stored.path).NotTo(BeAnExistingFile())
	g.Expect(os.Mkdir(folder, 0o700)).To(Succeed())
	g.Eventually(h.stored.path).WithTimeout(waitLimit).Should(BeAnExistingFile())
}

// Guards against a leaving upstream that is acknowledged before its report is stored: the report has arrived from
// another control host just before.
func TestLeavingUpstreamIsStoredBeforeAnswer(t *testing.T) {
	g := NewWithT(t)
	metrics := reporter.NewMetrics()
	defer metrics.Close()
	h := &Host{
		cfg:       Config{Now: time.Now, Metrics: metrics},
		log:       slog.New(slog.DiscardHandler),
		stored:    newUpstreamStore(t.TempDir()),
		upstreams: discoverer.NewList[discoverer.Upstream](),
		updated:   make(chan struct{}),
	}
	leaving := reportedUpstream("a", discoverer.Leaving)
	h.applyUpdates(t.Context(), "", poller.Updates{Upstreams: []discoverer.Upstream{leaving}})
	written := h.recordUpstream(leaving)
	g.Expect(written).NotTo(BeNil())
	startStoring(t, h)
	g.Eventually(written).WithTimeout(waitLimit).Should(BeClosed())
	g.Expect(readUpstreams(h.stored.path)).To(HaveLen(1))
	g.Expect(h.recordUpstream(leaving)).To(BeNil(), "it is stored")
}

// Guards against reports of upstreams that do not exist any more and that return after each loss of power, since no
// report has changed after their lifetime.
func TestUnconfirmedReportsLeaveTheFile(t *testing.T) {
	g := NewWithT(t)
	h := &Host{
		cfg:       Config{Now: time.Now},
		log:       slog.New(slog.DiscardHandler),
		stored:    newUpstreamStore(t.TempDir()),
		upstreams: discoverer.NewList[discoverer.Upstream](),
		startedAt: time.Now().Add(time.Second - storedLifetime),
	}
	stored := reportedUpstream("a", discoverer.Serving)
	stored.Stored = true
	h.upstreams.Put(time.Now(), stored)
	written := h.storeNow()
	startStoring(t, h)
	g.Eventually(written).WithTimeout(waitLimit).Should(BeClosed())
	g.Expect(readUpstreams(h.stored.path)).To(HaveLen(1))
	g.Eventually(func() ([]discoverer.Upstream, error) { return readUpstreams(h.stored.path) }).WithTimeout(waitLimit).Should(BeEmpty())
}
