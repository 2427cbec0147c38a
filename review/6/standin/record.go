package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is given by whoever starts the script
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(),
		file:  file,
		out:   bufio.NewWriter(file),
	}, nil
}

// since returns the time since the beginning of the record in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// add writes one line, which begins with the time.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.since(time.Now()), line)
}

// close writes what is buffered and closes the file.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
