package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// layers and layerWidth are the size of the large job.
	layers     = 20
	layerWidth = 3
	// processorTicks is the number of clock ticks in a second in which the operating system counts processor time.
	processorTicks = 100
	// busyShare is the share of a core above which a process counts as not handing back the processor, over half a minute in
	// which it is asked for a few small jobs. It is below 1, so that it also serves where there are fewer cores than hosts.
	busyShare = 0.25
)

// layeredJob checks that the hosts hand back the processor and serve requests. The disruption is one large job, in which
// each task needs all tasks of the layer before.
func layeredJob(s *stage) ([]string, error) {
	err := s.begin(3, executorOptions{
		count:    4,
		capacity: 16000,
		guards:   true,
		labels:   sameLabels,
	}, 500)
	if err != nil {
		return nil, err
	}
	before := s.servedByHost(3)
	s.rec.add("served before, by host: %v", before)
	if len(before) < len(s.d.entries) {
		return nil, fmt.Errorf("not all hosts serve requests: %v", before)
	}
	if s.trouble {
		s.d.submit(newJobID(), jobSpec{
			work: work{
				CPU: 1000,
				MS:  50,
			},
			estimate: 50,
			wait:     4 * time.Second,
			retries:  2,
			layers:   layers,
			count:    layerWidth,
		}, 0)
		time.Sleep(5 * time.Second)
	}
	usedBefore := map[string]time.Duration{}
	began := time.Now()
	for _, h := range s.d.entries {
		usedBefore[h.name] = h.processorTime()
	}
	after := s.servedByHost(10)
	s.rec.add("served after, by host: %v", after)
	var broken []string
	for _, h := range s.d.entries {
		share := (h.processorTime() - usedBefore[h.name]).Seconds() / time.Since(began).Seconds()
		s.rec.add("host %s has used %.0f %% of a core for %s", h.name, 100*share, time.Since(began).Round(time.Second))
		if after[h.name] == 0 && share > busyShare {
			broken = append(broken, fmt.Sprintf("Fault: %s does not hand back the processor and serves no request", h.name))
		}
	}
	return broken, nil
}

// servedByHost submits small jobs to each entry host and returns how many were answered with success, by host.
func (s *stage) servedByHost(each int) map[string]int {
	served := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, h := range s.d.entries {
		wg.Go(func() {
			for range each {
				statuses := s.d.submit(newJobID(), smallJob, i)
				if statuses[0] == http.StatusOK {
					mu.Lock()
					served[h.name]++
					mu.Unlock()
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return served
}

// processorTime returns the processor time that the process of a host has used, or 0 if it cannot be read.
func (h *host) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.pid()))
	if err != nil {
		return 0
	}
	// The 14th and the 15th field are the times in user and in kernel mode. The second one is the name, in parentheses.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0
	}
	return time.Duration(user+system) * time.Second / processorTicks
}
