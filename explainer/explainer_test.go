package explainer

import (
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against a story that lacks a decision about the job, that is out of order, or that
// tells of upstreams and times that have nothing to do with it.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	logs, err := os.ReadFile("testdata/refused.log")
	g.Expect(err).NotTo(HaveOccurred())
	lines, err := Explain(strings.NewReader(string(logs)), "a9899465119f6347")
	g.Expect(err).NotTo(HaveOccurred())
	var b strings.Builder
	g.Expect(Write(&b, lines)).To(Succeed())
	if *update {
		g.Expect(os.WriteFile("testdata/refused.golden", []byte(b.String()), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile("testdata/refused.golden")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.String()).To(Equal(string(want)))
}

// Guards against a story about nothing.
func TestUnknownJob(t *testing.T) {
	g := NewWithT(t)
	logs, err := os.ReadFile("testdata/refused.log")
	g.Expect(err).NotTo(HaveOccurred())
	lines, err := Explain(strings.NewReader(string(logs)), "ffffffffffffffff")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(BeEmpty())
	_, err = Explain(strings.NewReader(strings.Repeat("x", maxLine+1)), "a")
	g.Expect(err).To(MatchError(ContainSubstring("logs cannot be read")))
}
