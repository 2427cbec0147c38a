package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// diskLostAtFirstStart checks that requests are served. All hosts start within 0.3 s. In the disruption, one control host
// loses its disk 0.15 s after the first start, and comes back with an empty one.
func diskLostAtFirstStart(s *stage) ([]string, error) {
	d, err := newDeployment(s.rec, s.folder, 2)
	if err != nil {
		return nil, err
	}
	s.d = d
	lost, last := d.controls[0], d.controls[2]
	for _, h := range d.all() {
		if h == last {
			continue
		}
		if err := h.start(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(150 * time.Millisecond)
	if s.trouble {
		<-lost.signal(syscall.SIGKILL)
		if err := os.RemoveAll(lost.dataFolder()); err != nil {
			return nil, err
		}
		s.rec.add("host %s has lost its disk", lost.name)
	}
	time.Sleep(100 * time.Millisecond)
	if err := last.start(true); err != nil {
		return nil, err
	}
	if s.trouble {
		time.Sleep(time.Second)
		if err := lost.start(false); err != nil {
			return nil, err
		}
	}
	err = s.startExecutors(executorOptions{
		count:    2,
		capacity: 16000,
		guards:   true,
		labels:   sameLabels,
	})
	if err != nil {
		return nil, err
	}
	acknowledged := d.publish(document(7, true, 500), 60*time.Second)
	time.Sleep(3 * time.Second)
	for i := range 10 {
		if statuses := d.submit(newJobID(), smallJob, i); statuses[0] == http.StatusOK {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("Fault: no request is served 60 s after all machines are back; the document was acknowledged: %t", acknowledged)}, nil
}
