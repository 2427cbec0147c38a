package controller

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
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
	c.g.Eventually(func() int { return len(readUpstreams(filepath.Join(c.folders[0], upstreamsFile))) }).
		WithTimeout(waitLimit).Should(Equal(2))
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

// Guards against a file that grows with upstreams which do not exist any more, and against a damaged file that keeps the
// host from starting.
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

	path := filepath.Join(t.TempDir(), upstreamsFile)
	g.Expect(readUpstreams(path)).To(BeEmpty())
	g.Expect(os.WriteFile(path, []byte("damaged"), 0o600)).To(Succeed())
	g.Expect(readUpstreams(path)).To(BeEmpty())
}
