package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

const token = "secret"

// Guards against goroutines that are still running after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func config(host string, handle Handler) Config {
	return Config{
		Local: Hello{
			Token:       token,
			Host:        host,
			Domain:      "ikeja",
			Incarnation: 7,
		},
		Handle: handle,
	}
}

func echo(_ context.Context, _ Hello, _ Kind, body []byte) ([]byte, error) { return body, nil }

func listen(t testing.TB, cfg Config) *Listener {
	t.Helper()
	n, err := Listen("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func peer(t testing.TB, address string, cfg Config) *Peer {
	t.Helper()
	p := NewPeer(address, cfg)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// pair returns a Listener with the handler and a Peer that sends to it.
func pair(t testing.TB, handle Handler) (*Listener, *Peer) {
	t.Helper()
	n := listen(t, config("a", handle))
	return n, peer(t, n.Address(), config("b", nil))
}

// blockUntilDone returns a handler that sends to started when it starts and runs until its
// context ends.
func blockUntilDone(started chan<- struct{}) Handler {
	return func(ctx context.Context, _ Hello, _ Kind, _ []byte) ([]byte, error) {
		started <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// callError sends a call without a body and returns its error.
func callError(ctx context.Context, p *Peer, kind Kind) error {
	_, err := p.Call(ctx, kind, nil)
	return err
}

// expectReply sends a call and expects the reply want.
func expectReply(t *testing.T, p *Peer, kind Kind, body, want string) {
	t.Helper()
	g := NewWithT(t)
	reply, err := p.Call(t.Context(), kind, []byte(body))
	g.Expect(err).NotTo(HaveOccurred(), body)
	g.Expect(string(reply)).To(Equal(want))
}

// fakeListener accepts connections and returns its address. The script reads and writes the
// frames; it runs once for each connection, after the hellos.
func fakeListener(t *testing.T, script func(l *link)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			cfg := config("fake", nil).withDefaults()
			l := newLink(conn, &cfg, &counters{})
			if err := l.acceptHandshake(func() error { return nil }); err == nil {
				script(l)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

func encodeFrames(frames ...frame) []byte {
	enc := newEncoder()
	for _, f := range frames {
		enc.add(f)
	}
	return enc.buf.Bytes()
}

func writeFrames(l *link, frames ...frame) { _, _ = l.conn.Write(encodeFrames(frames...)) }

// beErrorOf matches errors whose chain contains an error of type E.
func beErrorOf[E error]() OmegaMatcher {
	return WithTransform(func(err error) bool {
		var e E
		return errors.As(err, &e)
	}, BeTrue())
}

var beNotSent, beLost = beErrorOf[*NotSentError], beErrorOf[*LostError]

// Guards against changed bodies, a token that is passed to handlers, error codes that are
// not passed on, and frames that are not counted.
func TestCall(t *testing.T) {
	g := NewWithT(t)
	n, p := pair(t, func(_ context.Context, from Hello, kind Kind, body []byte) ([]byte, error) {
		switch kind {
		case KindStatus:
			return fmt.Appendf(nil, "%q %s %s %d", from.Token, from.Host, from.Domain, from.Incarnation), nil
		case KindCancel:
			return nil, &RemoteError{Code: "gone", Message: "no such key"}
		case KindFind:
			return nil, errors.New("broken")
		case KindSubmit:
			return make([]byte, DefaultMaxFrame), nil
		default:
			return body, nil
		}
	})
	ctx := t.Context()
	expectReply(t, p, KindStatus, "", `"" b ikeja 7`)
	big := make([]byte, DefaultMaxFrame-frameOverhead)
	big[len(big)-1] = 1
	body, err := p.Call(ctx, KindRunTask, big)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(big))
	_, err = p.Call(ctx, KindRunTask, append(big, 1))
	g.Expect(err).To(beNotSent())
	for kind, want := range map[Kind]RemoteError{
		KindCancel: {Code: "gone", Message: "no such key"},
		KindFind:   {Code: CodeInternal, Message: "broken"},
	} {
		g.Expect(callError(ctx, p, kind)).To(Equal(&want))
	}
	var remote *RemoteError
	g.Expect(errors.As(callError(ctx, p, KindSubmit), &remote)).To(BeTrue())
	g.Expect(remote.Code).To(Equal(CodeReplyTooLarge))
	g.Expect(p.Send(KindHeartbeat, nil)).To(Succeed())
	g.Eventually(func() uint64 { return n.Stats().FramesIn }).Should(Equal(uint64(7)))
	g.Expect(p.Stats().FramesOut).To(Equal(uint64(7)))
	g.Expect(p.Stats().FramesIn).To(Equal(uint64(6)))
	g.Expect(p.Stats().BytesOut).To(Equal(n.Stats().BytesIn))
	g.Expect(n.Connections()).To(HaveLen(1))
	g.Expect(n.Connections()[0].Stats).To(Equal(n.Stats()))
}

// Guards against a connection that affects others, or stays open, after it has sent data
// that violates the protocol.
func TestInvalidConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	var rejected atomic.Int64
	cfg := config("a", echo)
	cfg.MaxFrame = 8192
	cfg.OnReject = func(string, error) { rejected.Add(1) }
	n := listen(t, cfg)
	healthy := peer(t, n.Address(), config("b", nil))
	hello := func(version int, token string) frame {
		body, err := Encode(Hello{
			Version: version,
			Token:   token,
		})
		g.Expect(err).NotTo(HaveOccurred())
		return frame{typ: frameHello, body: body}
	}
	valid := encodeFrames(hello(ProtocolVersion, token))
	afterHello := func(sent ...byte) []byte { return append(slices.Clip(valid), sent...) }
	for name, sent := range map[string][]byte{
		"http":            []byte("GET / HTTP/1.1\r\n\r\n"),
		"wrong token":     encodeFrames(hello(ProtocolVersion, "other")),
		"no token":        encodeFrames(hello(ProtocolVersion, "")),
		"other version":   encodeFrames(hello(ProtocolVersion+1, token)),
		"no hello":        encodeFrames(frame{typ: frameRequest, id: 1}),
		"not msgpack":     {0, 0, 0, 1, 0xc1},
		"empty frame":     afterHello(0, 0, 0, 0),
		"oversized":       afterHello(0, 0, 0x20, 1),
		"reply":           afterHello(encodeFrames(frame{typ: frameReply, id: 1})...),
		"second hello":    afterHello(valid...),
		"unknown type":    afterHello(encodeFrames(frame{typ: 8})...),
		"nested too deep": encodeFrames(frame{typ: frameHello, body: bytes.Repeat([]byte{0x91}, 2000)}),
		"oversized hello": {0, 0, 0x10, 1},
	} {
		before := rejected.Load()
		conn, err := net.Dial("tcp", n.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(sent)
		g.Expect(err).NotTo(HaveOccurred(), name)
		// The listener closes the connection and sends at most its hello before.
		for err == nil {
			_, err = conn.Read(make([]byte, 1024))
		}
		g.Eventually(rejected.Load).Should(Equal(before+1), name)
		g.Expect(conn.Close()).To(Succeed())
		expectReply(t, healthy, KindStatus, name, name)
	}
	g.Expect(healthy.Stats().Connections).To(Equal(uint64(1)))
	g.Expect(n.Stats().Failures).To(Equal(uint64(13)))
}

// Guards against calls over a connection whose dialing side has the wrong token.
func TestWrongToken(t *testing.T) {
	g := NewWithT(t)
	n := listen(t, config("a", func(context.Context, Hello, Kind, []byte) ([]byte, error) {
		t.Error("the handler was called")
		return nil, nil
	}))
	cfg := config("b", nil)
	cfg.Local.Token = "other"
	g.Expect(callError(t.Context(), peer(t, n.Address(), cfg), KindStatus)).To(beNotSent())
	_, err := Listen("127.0.0.1:0", Config{Handle: echo})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a peer that is not dialed again after it has restarted, and against an
// error other than *NotSentError while it is down.
func TestPeerDown(t *testing.T) {
	g := NewWithT(t)
	n, p := pair(t, echo)
	address := n.Address()
	g.Expect(n.Close()).To(Succeed())
	for range 10 {
		g.Expect(callError(t.Context(), p, KindStatus)).To(beNotSent())
		g.Expect(p.Send(KindStatus, nil)).To(beNotSent())
	}
	n, err := Listen(address, config("a", echo))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = n.Close() }()
	g.Eventually(func() error { return callError(t.Context(), p, KindStatus) }).WithTimeout(10 * time.Second).Should(Succeed())
	g.Expect(p.Close()).To(Succeed())
	g.Expect(callError(t.Context(), p, KindStatus)).To(beNotSent())
}

// Guards against a message that is lost with the connection that was given up for it, or that is not sent because of a
// backoff. The sender would give up the next connection, too, and the message would never arrive.
func TestSendAfterReconnect(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{}, 1)
	_, p := pair(t, func(context.Context, Hello, Kind, []byte) ([]byte, error) {
		received <- struct{}{}
		return nil, nil
	})
	for range 20 {
		p.Reconnect()
		g.Expect(p.SendWait(t.Context(), KindHeartbeat, nil)).To(Succeed())
		g.Eventually(received).WithTimeout(time.Second).Should(Receive())
	}
}

// Guards against the longest backoff after a single failed dial: a connection that has worked ends the series of
// failures also if it is given up.
func TestReconnectEndsFailures(t *testing.T) {
	g := NewWithT(t)
	_, p := pair(t, func(context.Context, Hello, Kind, []byte) ([]byte, error) { return nil, nil })
	failures := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.failures
	}
	p.mu.Lock()
	p.failures = 9
	p.mu.Unlock()
	g.Expect(callError(t.Context(), p, KindStatus)).To(Succeed())
	p.Reconnect()
	g.Eventually(failures).WithTimeout(time.Second).Should(BeZero())
}

// Guards against *NotSentError for a call whose handler is running when the connection, the
// Listener, the Peer or the context ends.
func TestCallIsLost(t *testing.T) {
	for name, end := range map[string]func(n *Listener, p *Peer, cancel func()){
		"connection": func(_ *Listener, p *Peer, _ func()) { p.link.fail(errors.New("cut")) },
		"listener":   func(n *Listener, _ *Peer, _ func()) { _ = n.Close() },
		"peer":       func(_ *Listener, p *Peer, _ func()) { _ = p.Close() },
		"context":    func(_ *Listener, _ *Peer, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			started := make(chan struct{})
			n, p := pair(t, blockUntilDone(started))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() {
				<-started
				end(n, p, cancel)
			})
			g.Expect(callError(ctx, p, KindRunTask)).To(beLost())
			wg.Wait()
		})
	}
}

// Guards against a reply that is delivered to another call: a late reply and one to an unknown
// call arrive before the right one, and a duplicate after it.
func TestLateRepliesAreDropped(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{})
	p := peer(t, fakeListener(t, func(l *link) {
		first, _ := l.read()
		received <- struct{}{}
		second, _ := l.read()
		late := frame{typ: frameReply, id: first.id, body: []byte("late")}
		unknown := frame{typ: frameReply, id: 1 << 40, body: []byte("unknown")}
		right := frame{typ: frameReply, id: second.id, body: []byte("right")}
		writeFrames(l, late, unknown, right, right)
		third, _ := l.read()
		writeFrames(l, frame{typ: frameReply, id: third.id, body: []byte("third")})
		_, _ = l.read()
	}), config("b", nil))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	g.Expect(callError(ctx, p, KindStatus)).To(beLost())
	expectReply(t, p, KindStatus, "", "right")
	expectReply(t, p, KindStatus, "", "third")
	g.Expect(p.Stats().LateReplies).To(Equal(uint64(3)))
	_ = p.Close()
}

// Guards against *LostError for calls that a goodbye or a refusal reports as not handled, and
// against *NotSentError for calls whose connection ends without either.
func TestGoodbyeDistinguishesNotSentFromLost(t *testing.T) {
	for last, want := range map[frameType]OmegaMatcher{
		frameGoodbye: beNotSent(),
		frameRefusal: beNotSent(),
		frameHello:   beLost(), // invalid after the handshake
		0:            beLost(), // the connection is closed without a frame
	} {
		g := NewWithT(t)
		p := peer(t, fakeListener(t, func(l *link) {
			f, _ := l.read()
			if last != 0 {
				writeFrames(l, frame{typ: last, id: f.id})
			}
		}), config("b", nil))
		g.Expect(callError(t.Context(), p, KindRunTask)).To(want, "frame type %d", last)
		_ = p.Close()
	}
}

// Guards against a Shutdown that interrupts a running handler, accepts a further call, or
// does not return when its context ends.
func TestShutdown(t *testing.T) {
	g := NewWithT(t)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	cfg := config("a", func(_ context.Context, _ Hello, _ Kind, body []byte) ([]byte, error) {
		started <- struct{}{}
		<-finish
		return body, nil
	})
	cfg.MaxConcurrent = 1
	n := listen(t, cfg)
	p := peer(t, n.Address(), config("b", nil))
	var wg sync.WaitGroup
	wg.Go(func() { expectReply(t, p, KindRunTask, "running", "running") })
	<-started
	other := peer(t, n.Address(), config("c", nil))
	link, err := other.connect(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(callError(t.Context(), p, KindRunTask)).To(beNotSent(), "beyond MaxConcurrent")
	g.Expect(n.Stats().Refused).To(Equal(uint64(1)))
	wg.Go(func() { g.Expect(n.Shutdown(t.Context())).To(Succeed()) })
	g.Eventually(func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.closing
	}).Should(BeTrue())
	for _, from := range []*Peer{other, peer(t, n.Address(), config("d", nil))} {
		g.Expect(callError(t.Context(), from, KindRunTask)).To(beNotSent(), "while stopping")
	}
	close(finish)
	wg.Wait()
	g.Expect(started).To(BeEmpty())
	g.Eventually(link.stopping.Load, time.Minute).Should(BeTrue(), "goodbye did not arrive")

	n, p = pair(t, blockUntilDone(started))
	wg.Go(func() { g.Expect(callError(t.Context(), p, KindRunTask)).To(beLost()) })
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(n.Shutdown(ctx)).To(MatchError(context.Canceled))
	wg.Wait()
}

// Guards against delayed frames that are reordered, that are written after their call has
// failed with *NotSentError, or that make Send block.
func TestWriteDelay(t *testing.T) {
	g := NewWithT(t)
	const frames = 200
	order := make(chan uint64, frames)
	address := fakeListener(t, func(l *link) {
		for {
			f, err := l.read()
			if err != nil {
				return
			}
			order <- f.id
			writeFrames(l, frame{typ: frameReply, id: f.id})
		}
	})
	cfg := config("b", nil)
	random := rand.New(rand.NewPCG(1, 2))
	cfg.WriteDelay = func() time.Duration { return time.Duration(random.IntN(1000)) * time.Microsecond }
	p := peer(t, address, cfg)
	l, err := p.connect(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	for id := range uint64(frames) {
		g.Expect(l.offer(&outgoing{frame: frame{typ: frameRequest, id: id}})).To(BeTrue())
	}
	for id := range uint64(frames) {
		g.Expect(<-order).To(Equal(id))
	}
	_ = p.Close()

	cfg.WriteDelay = func() time.Duration { return time.Hour }
	cfg.QueueSize = 2
	p = peer(t, address, cfg)
	_, err = p.connect(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { g.Expect(callError(ctx, p, KindRunTask)).To(beNotSent()) })
	g.Eventually(func() error { return p.Send(KindHeartbeat, nil) }).Should(beNotSent())
	cancel()
	wg.Wait()
	_ = p.Close()
	g.Expect(order).To(BeEmpty())
}

// Guards against a call that is handled twice, or that is handled but fails with
// *NotSentError, while connections break and Listeners stop at random times.
func TestAtMostOnce(t *testing.T) {
	g := NewWithT(t)
	const callers, calls, restarts = 8, 150, 30
	var handled [callers * calls]atomic.Int32
	handle := func(_ context.Context, _ Hello, _ Kind, body []byte) ([]byte, error) {
		var id int
		if err := Decode(body, &id); err != nil {
			return nil, err
		}
		handled[id].Add(1)
		return body, nil
	}
	n := listen(t, config("a", handle))
	address := n.Address()
	cfg := config("b", nil)
	cfg.Jitter = func() float64 { return 0 }
	p := peer(t, address, cfg)
	var results [callers * calls]error
	var wg sync.WaitGroup
	for c := range callers {
		random := rand.New(rand.NewPCG(3, uint64(c)))
		wg.Go(func() {
			for i := range calls {
				id := c*calls + i
				body, _ := Encode(id)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(2000))*time.Microsecond)
				answer, err := p.Call(ctx, KindRunTask, body)
				cancel()
				results[id] = err
				if err != nil {
					// Gives the Peer time to connect, so that not all calls fail during the backoff.
					time.Sleep(time.Duration(random.IntN(3000)) * time.Microsecond)
				}
				if err == nil && string(answer) != string(body) {
					t.Errorf("call %d received the reply of another call", id)
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(4, 0))
	for range restarts {
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		if random.IntN(2) == 0 {
			g.Expect(n.Close()).To(Succeed())
		} else {
			g.Expect(n.Shutdown(t.Context())).To(Succeed())
		}
		var err error
		n, err = Listen(address, config("a", handle))
		g.Expect(err).NotTo(HaveOccurred())
	}
	wg.Wait()
	g.Expect(n.Close()).To(Succeed())
	for id, err := range results {
		times := handled[id].Load()
		g.Expect(times).To(BeNumerically("<=", 1), "call %d", id)
		var notSent *NotSentError
		if errors.As(err, &notSent) {
			g.Expect(times).To(BeZero(), "call %d: %v", id, err)
		}
		if err == nil {
			g.Expect(times).To(Equal(int32(1)), "call %d", id)
		}
	}
}
