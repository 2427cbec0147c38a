package main

import (
	"sync"
	"time"
)

func sameLabels(int) []string { return []string{"a", "r1-1"} }

// traffic submits a job at every interval until a time, to one entry host after the other, and waits for all answers.
func (s *stage) traffic(spec jobSpec, interval, length time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for i := 0; time.Now().Before(until); i++ {
		wg.Go(func() { s.d.submit(newJobID(), spec, i) })
		time.Sleep(interval)
	}
	wg.Wait()
}
