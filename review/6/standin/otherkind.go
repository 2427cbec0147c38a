package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// knownAfter is the time from the first response of an incarnation that lists its runs after which its starts are checked.
// A start order that was on its way when the executor crashed is not the fault of its sender.
const knownAfter = 500 * time.Millisecond

// executorOfOtherKind checks ROUTE for jobs that require a label. The disruption cuts one executor off from the hosts
// that serve control, not from the entry hosts; it crashes behind the cut and starts again under its identifier, as
// another kind.
func executorOfOtherKind(s *stage) ([]string, error) {
	var broken []string
	s.history.check = func(started *run, _ []*run) {
		l := started.on.now
		if slices.Contains(l.labels, started.work.Requires) || l.listedAt.IsZero() || time.Since(l.listedAt) < knownAfter {
			return
		}
		broken = append(broken, fmt.Sprintf("ROUTE: %s run %d, which requires %q, starts on %s with the labels %v", started.task, started.number,
			started.work.Requires, started.on.id, l.labels))
	}
	err := s.begin(3, executorOptions{
		count:    8,
		capacity: 16000,
		guards:   true,
		labels: func(i int) []string {
			if i < 4 {
				return []string{"a", "r1-1"}
			}
			return []string{"b", "r1-2"}
		},
	}, 500)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		s.traffic(jobSpec{
			count: 4,
			work: work{
				CPU:      4000,
				MS:       200,
				Requires: "a",
			},
			estimate: 200,
			wait:     1500 * time.Millisecond,
		}, 100*time.Millisecond, 15*time.Second)
	})
	if s.trouble {
		e := s.executors[0]
		time.Sleep(4 * time.Second)
		e.cut.Store(true)
		s.rec.add("executor %s is cut off from the hosts that serve control", e.id)
		time.Sleep(time.Second)
		e.crash([]string{"b", "r1-1"}, 500*time.Millisecond, nil)
		time.Sleep(3500 * time.Millisecond)
		e.cut.Store(false)
		s.rec.add("the cut has ended")
	}
	wg.Wait()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return broken, nil
}
