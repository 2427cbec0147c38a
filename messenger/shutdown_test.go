package messenger

import (
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// hookedConn calls afterWrite after its first write.
type hookedConn struct {
	net.Conn
	once       sync.Once
	afterWrite func()
}

func (c *hookedConn) Write(b []byte) (int, error) {
	defer c.once.Do(c.afterWrite)
	return c.Conn.Write(b)
}

// Guards against a *LostError for a call that was not handled, because no goodbye is sent if
// Shutdown begins when the listener has sent its hello but does not read requests yet.
func TestShutdownAfterHello(t *testing.T) {
	g := NewWithT(t)
	n := listen(t, config("a", echo))
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = accepting.Close() }()
	p := peer(t, accepting.Addr().String(), config("b", nil))
	var wg sync.WaitGroup
	wg.Go(func() {
		conn, err := accepting.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		n.serve(&hookedConn{Conn: conn, afterWrite: func() {
			n.stopAccepting()
			g.Eventually(p.Stats, time.Minute).Should(HaveField("FramesOut", uint64(2)), "hello and call")
			wg.Go(func() { g.Expect(n.Shutdown(t.Context())).To(Succeed()) })
		}})
	})
	g.Expect(callError(t.Context(), p, KindRunTask)).To(beNotSent())
	wg.Wait()
}
