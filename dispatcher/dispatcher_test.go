package dispatcher

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a domain that never gets more than one shard, because its hosts do not report that they
// can work with several.
func TestHostReportsThatItHandlesShards(t *testing.T) {
	g := NewWithT(t)
	self := entryHost("127.0.0.1:0", 1)
	self.Shards = false
	h, err := New(Config{
		Self:  self,
		Token: "token",
		Log:   slog.New(slog.DiscardHandler),
		Now:   time.Now,
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer h.Close()
	g.Expect(h.selfReport().Shards).To(BeTrue())
}
