package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// handOver checks LIMIT on executors that do not guard their capacity, under a little more load than they have room for.
// The disruption stops one entry host after the other gracefully and starts it again.
func handOver(s *stage) ([]string, error) {
	var broken []string
	s.history.check = func(started *run, present []*run) {
		used := started.work.CPU
		for _, r := range present {
			used += r.work.CPU
		}
		if used > started.on.capacity {
			broken = append(broken, fmt.Sprintf("LIMIT: %s run %d starts on %s, with %d of %d in use then", started.task, started.number,
				started.on.id, used, started.on.capacity))
		}
	}
	err := s.begin(4, executorOptions{
		count:    6,
		capacity: 16000,
		labels:   sameLabels,
	}, 2000)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	// 2 tasks of 8 cores and 0.8 s each 0.12 s are 13.3 tasks at a time; there is room for 12.
	wg.Go(func() {
		s.traffic(jobSpec{
			count: 2,
			work: work{
				CPU: 8000,
				MS:  800,
			},
			estimate: 800,
			wait:     4 * time.Second,
			retries:  1,
		}, 120*time.Millisecond, 40*time.Second)
	})
	if s.trouble {
		for _, h := range s.d.entries[1:] {
			time.Sleep(6 * time.Second)
			select {
			case <-h.signal(syscall.SIGTERM):
			case <-time.After(6 * time.Second):
				<-h.signal(syscall.SIGKILL)
			}
			time.Sleep(500 * time.Millisecond)
			if err := h.start(false); err != nil {
				return nil, err
			}
		}
	}
	wg.Wait()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if len(s.history.runs) < 100 {
		return nil, fmt.Errorf("only %d tasks have started", len(s.history.runs))
	}
	return broken, nil
}
