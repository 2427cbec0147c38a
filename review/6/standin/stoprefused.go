package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unhealthyTime is how long the executor is unhealthy, and lateBy for how long a start order stalls there. The lease that the
	// order asks for has not expired then.
	unhealthyTime = 5 * time.Second
	lateBy        = 450 * time.Millisecond
)

// stopRefused checks TWICE. In the disruption, one of seven executors is unhealthy: of its start orders, every second one
// stalls before it is carried out; of its stop orders, two in five fail with 503, and it has then done nothing.
func stopRefused(s *stage) ([]string, error) {
	err := s.begin(3, executorOptions{
		count:    7,
		capacity: 16000,
		guards:   true,
		labels:   sameLabels,
	}, 500)
	if err != nil {
		return nil, err
	}
	ill := s.executors[0]
	var unhealthy atomic.Bool
	ill.intercept = unhealthyOrders(&unhealthy)
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
		}, time.Second, 20*time.Second)
	})
	if s.trouble {
		time.Sleep(6 * time.Second)
		s.rec.add("executor %s is unhealthy", ill.id)
		unhealthy.Store(true)
		time.Sleep(unhealthyTime)
		unhealthy.Store(false)
		s.rec.add("executor %s is healthy again", ill.id)
	}
	wg.Wait()
	return s.history.overlaps(), nil
}

// unhealthyOrders returns the function that takes over orders of an executor while it is unhealthy.
func unhealthyOrders(unhealthy *atomic.Bool) func(e *executor, path string, body []byte, w http.ResponseWriter) bool {
	var starts, stops atomic.Int64
	return func(e *executor, path string, body []byte, w http.ResponseWriter) bool {
		if !unhealthy.Load() {
			return false
		}
		var o orderBody
		if err := json.Unmarshal(body, &o); err != nil {
			return false
		}
		switch {
		case path == "/sesamedrift/run-start" && starts.Add(1)%2 == 1:
			e.rec.add("executor %s stalls the start of %s run %d", e.id, o.Task, o.Run)
			time.Sleep(lateBy)
			status, answer := e.execute(context.Background(), path, body)
			e.rec.add("executor %s carries out the start of %s run %d: %d %v", e.id, o.Task, o.Run, status, answer["reason"])
			respond(w, status, answer)
			return true
		case path == "/sesamedrift/run-stop" && failsStop(stops.Add(1)):
			e.rec.add("executor %s fails the stop of %s run %d with 503", e.id, o.Task, o.Run)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		return false
	}
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func (h *history) overlaps() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range h.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	var found []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if common := overlap(a, b); common > 0 {
					found = append(found, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s at the same time, for %s", task, a.number, a.on.id,
						b.number, b.on.id, common.Round(time.Millisecond)))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

// overlap returns for how long two runs were at work at the same time, the second of which has begun later.
func overlap(a, b *run) time.Duration {
	now := time.Now()
	until := func(r *run) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	end := until(a)
	if until(b).Before(end) {
		end = until(b)
	}
	return end.Sub(b.began)
}

// failsStop reports whether the stop order with a number fails: two in five do.
func failsStop(n int64) bool { return n%5 == 1 || n%5 == 2 }
