package courier

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"sesamedrift.example/sesamedrift/messenger"
)

// testHost is a courier with its listener. It records the delivered events.
type testHost struct {
	courier   *Courier
	listener  *messenger.Listener
	stopTicks chan struct{}

	mu       sync.Mutex
	messages []string
	up       int
	down     int
	refusing bool
	// arrived, if it is set, receives a value for each delivered message.
	arrived chan struct{}
}

func newTestHost(t testing.TB, incarnation uint64) *testHost {
	t.Helper()
	return startTestHost(t, incarnation, []string{Feature})
}

// startTestHost starts a host with the given features. Without Feature it receives batches as calls, as
// hosts of earlier releases do.
func startTestHost(t testing.TB, incarnation uint64, features []string) *testHost {
	t.Helper()
	n := &testHost{}
	cfg := messenger.Config{
		Local: messenger.Hello{
			Token:    "token",
			Host:     "host",
			Features: features,
		},
	}
	cfg.Handle = func(_ context.Context, _ messenger.Hello, _ messenger.Kind, body []byte) ([]byte, error) {
		return n.courier.Handle(body)
	}
	ready := make(chan struct{})
	handle := cfg.Handle
	cfg.Handle = func(ctx context.Context, from messenger.Hello, kind messenger.Kind, body []byte) ([]byte, error) {
		<-ready
		return handle(ctx, from, kind, body)
	}
	if len(features) > 0 {
		cfg.Receive = func(_ messenger.Hello, _ messenger.Kind, body []byte) {
			<-ready
			n.courier.Receive(body)
		}
	}
	listener, err := messenger.Listen("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.listener = listener
	n.courier = New(Config{
		Self:        listener.Address(),
		Incarnation: incarnation,
		Watch: Watch{
			HeartbeatEvery: 5 * time.Millisecond,
			SuspectAfter:   20 * time.Second,
		},
		ResendAfter: 500 * time.Millisecond,
		Connection:  cfg,
		Deliver:     n.deliver,
		Now:         time.Now,
	})
	close(ready)
	n.stopTicks = make(chan struct{})
	go func() {
		for {
			select {
			case <-n.stopTicks:
				return
			case now := <-time.After(2 * time.Millisecond):
				n.courier.Tick(now)
			}
		}
	}()
	return n
}

func (n *testHost) deliver(events []Event) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusing {
		return false
	}
	for _, e := range events {
		switch e.Kind {
		case Up:
			n.up++
		case Down:
			n.down++
		case Delivered:
			for _, m := range e.Messages {
				n.messages = append(n.messages, string(m.Body))
				if n.arrived != nil {
					n.arrived <- struct{}{}
				}
			}
		}
	}
	return true
}

func (n *testHost) close() {
	close(n.stopTicks)
	n.courier.Close()
	_ = n.listener.Close()
}

func (n *testHost) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.messages...)
}

func (n *testHost) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.messages)
}

// Guards against messages that are lost or reordered between two couriers, one of which may be of an
// earlier release, and against goroutines that outlive Close.
func TestMessagesBetweenTwoHosts(t *testing.T) {
	for name, features := range map[string][2][]string{
		"same release":            {{Feature}, {Feature}},
		"first host takes calls":  {nil, {Feature}},
		"second host takes calls": {{Feature}, nil},
	} {
		t.Run(name, func(t *testing.T) { testMessagesBetweenTwoHosts(t, features) })
	}
}

func testMessagesBetweenTwoHosts(t *testing.T, features [2][]string) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	a, b := startTestHost(t, 1, features[0]), startTestHost(t, 1, features[1])
	defer a.close()
	defer b.close()
	a.courier.Connect(b.listener.Address())
	message := func(i int) Message { return Message{Body: []byte(fmt.Sprint(i))} }
	g.Eventually(func() bool { return a.courier.Post(b.listener.Address(), message(0)) }, 10*time.Second).Should(BeTrue())
	for i := 1; i < 500; i++ {
		g.Expect(a.courier.Post(b.listener.Address(), message(i))).To(BeTrue())
	}
	g.Eventually(b.received, 10*time.Second).Should(HaveLen(500))
	for i, text := range b.received() {
		g.Expect(text).To(Equal(fmt.Sprint(i)))
	}
	g.Expect(a.courier.Peers()).To(Equal([]string{b.listener.Address()}))
}

// Guards against a message that is lost because its batch is acknowledged although Config.Deliver
// refused the events.
func TestOverloadedReceiver(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestHost(t, 1), newTestHost(t, 1)
	defer a.close()
	defer b.close()
	a.courier.Connect(b.listener.Address())
	g.Eventually(func() bool {
		return a.courier.Post(b.listener.Address(), Message{Body: []byte("first")})
	}, 10*time.Second).Should(BeTrue())
	g.Eventually(b.received, 10*time.Second).Should(HaveLen(1))
	b.mu.Lock()
	b.refusing = true
	b.mu.Unlock()
	g.Expect(a.courier.Post(b.listener.Address(), Message{Body: []byte("second")})).To(BeTrue())
	g.Consistently(b.received, 50*time.Millisecond).Should(HaveLen(1))
	b.mu.Lock()
	b.refusing = false
	b.mu.Unlock()
	g.Eventually(b.received, 20*time.Second).Should(Equal([]string{"first", "second"}))
}
