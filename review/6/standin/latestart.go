package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashAfter is the time from an unanswered start order to the crash of the executor, downTime how long that is down. The
	// order is carried out after both.
	crashAfter = 1500 * time.Millisecond
	downTime   = 600 * time.Millisecond
)

// lateOrders holds the start orders that an executor has left unanswered.
type lateOrders struct {
	active atomic.Bool

	mu     sync.Mutex
	bodies [][]byte
}

// intercept takes over start orders while it is active.
func (l *lateOrders) intercept(e *executor, path string, body []byte, _ http.ResponseWriter) bool {
	if path != "/sesamedrift/run-start" || !l.active.Load() {
		return false
	}
	e.rec.add("executor %s leaves a start order unanswered: %s", e.id, body)
	l.mu.Lock()
	l.bodies = append(l.bodies, body)
	l.mu.Unlock()
	time.Sleep(crashAfter)
	panic(http.ErrAbortHandler)
}

// count returns the number of orders.
func (l *lateOrders) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.bodies)
}

// carryOut executes the orders.
func (l *lateOrders) carryOut(e *executor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.bodies {
		status, answer := e.execute(context.Background(), "/sesamedrift/run-start", body)
		e.rec.add("executor %s carries out a start order late: %d %v", e.id, status, answer["reason"])
	}
}

// lateStart checks TWICE. In the disruption, one of seven executors leaves start orders unanswered for a moment, crashes 1.5 s
// later, starts again under its identifier and carries the orders out late.
func lateStart(s *stage) ([]string, error) {
	err := s.begin(3, executorOptions{
		count:    7,
		capacity: 16000,
		guards:   true,
		labels:   sameLabels,
	}, 500)
	if err != nil {
		return nil, err
	}
	e := s.executors[0]
	var late lateOrders
	e.intercept = late.intercept
	var wg sync.WaitGroup
	wg.Go(func() {
		s.traffic(jobSpec{
			count: 14,
			work: work{
				CPU: 1000,
				MS:  6000,
			},
			estimate: 6000,
			wait:     12 * time.Second,
		}, time.Second, 16*time.Second)
	})
	if s.trouble {
		time.Sleep(6 * time.Second)
		late.active.Store(true)
		for waited := time.Duration(0); late.count() == 0; waited += 10 * time.Millisecond {
			if waited > 8*time.Second {
				return nil, fmt.Errorf("executor %s got no start order", e.id)
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(crashAfter)
		late.active.Store(false)
		e.crash(sameLabels(0), downTime, func() { late.carryOut(e) })
	}
	wg.Wait()
	return s.history.overlaps(), nil
}
