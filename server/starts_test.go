package server_test

import (
	"strings"
	"sync"
)

// starts counts how often each task was started on any upstream.
type starts struct {
	mu      sync.Mutex
	n       map[string]int
	watcher func(upstream string)
}

func (s *starts) note(upstream, taskID string, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n[taskID]++
	if s.watcher != nil {
		s.watcher(upstream)
	}
}

// watch calls f with the upstream of each later start.
func (s *starts) watch(f func(upstream string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watcher = f
}

// total returns the number of starts.
func (s *starts) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.n {
		n += k
	}
	return n
}

// most returns the number of starts of the task that was started most often.
func (s *starts) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, k := range s.n {
		most = max(most, k)
	}
	return most
}

// of returns the number of starts of tasks of the submissions with the key.
func (s *starts) of(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, k := range s.n {
		if strings.HasPrefix(id, key+"@") {
			n += k
		}
	}
	return n
}
