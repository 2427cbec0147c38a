package keeper

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/finder"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

var testConfig = Config{
	Lease:    600 * time.Millisecond,
	Wait:     150 * time.Millisecond,
	Answer:   100 * time.Millisecond,
	Idle:     time.Second,
	Retry:    50 * time.Millisecond,
	MaxRetry: 500 * time.Millisecond,
	StopTime: 50 * time.Millisecond,
	Drift:    0.02,
	Margin:   10 * time.Millisecond,
	Adopt:    time.Second,
}

func run(index, number int) sesamedrift.Run {
	return sesamedrift.Run{
		Task: sesamedrift.TaskID{
			Job:   "j",
			Index: index,
		},
		Number: number,
	}
}

func taskOf(index, number int) Task {
	return Task{
		Run:    run(index, number),
		Entry:  "entry",
		Demand: sesamedrift.Resources{CPU: 1000},
	}
}

// bed drives one session and answers its orders by hand.
type bed struct {
	g   *WithT
	s   *Session
	now time.Time
	// events holds what the session has told and was not yet looked at.
	events []Event
	orders []Order
}

func newBed(t *testing.T) *bed {
	b := &bed{
		g:   NewWithT(t),
		now: start,
	}
	b.s = New(testConfig, start, finder.Upstream{
		ID:    "u",
		Life:  1,
		State: finder.Serving,
	}, 7)
	return b
}

// after lets time pass and takes what the session has decided.
func (b *bed) after(d time.Duration) {
	b.now = b.now.Add(d)
	b.s.Tick(b.now, true)
	orders, events := b.s.Drain()
	b.orders = append(b.orders, orders...)
	b.events = append(b.events, events...)
}

// next takes the oldest order of a kind that has no answer yet.
func (b *bed) next(kind OrderKind) Order {
	b.after(0)
	for i, o := range b.orders {
		if o.Kind == kind {
			b.orders = append(b.orders[:i:i], b.orders[i+1:]...)
			return o
		}
	}
	b.g.Expect(b.orders).To(ContainElement(HaveField("Kind", kind)))
	return Order{}
}

func (b *bed) answer(a Answer) {
	a.Life = 1
	a.HasClock = true
	a.Clock = b.now.Sub(start).Milliseconds()
	b.s.Answered(b.now, a)
	b.after(0)
}

// held answers the next hold with lists.
func (b *bed) held(running []Running, ended []End) {
	b.answer(Answer{
		Order:   b.next(HoldOrder),
		Status:  Accepted,
		Running: running,
		Ended:   ended,
	})
}

func (b *bed) unheard(o Order) {
	b.s.Answered(b.now, Answer{
		Order:  o,
		Status: NotHeard,
	})
	b.after(0)
}

func (b *bed) told() []Event {
	events := b.events
	b.events = nil
	return events
}

func listed(r sesamedrift.Run) []Running {
	return []Running{{Run: r}}
}

// Guards against two runs of one task: a keeper that was overtaken knows nothing of what
// runs now, and must not say that a run has ended.
func TestOvertakenSessionSaysNothingOfRuns(t *testing.T) {
	b := newBed(t)
	b.held(nil, nil)
	b.told()
	b.after(time.Second)
	b.answer(Answer{
		Order:  b.next(HoldOrder),
		Status: Refused,
		Reason: Fenced,
	})
	b.g.Expect(b.told()).To(ConsistOf(HaveField("Kind", Overtaken)))
	b.s.Watch(b.now, taskOf(0, 1))
	b.after(time.Second)
	b.g.Expect(b.told()).To(BeEmpty())
}
