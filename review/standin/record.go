package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Record writes what was sent, answered and run to a file, a line each, with the seconds since the
// start. It also keeps which runs are at work. It is safe for concurrent use.
type Record struct {
	startedAt time.Time

	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	active map[sesamedrift.TaskID]map[string]bool
	// overlaps holds the tasks that had two runs at the same time.
	overlaps []sesamedrift.TaskID
	// overloads is the number of starts that brought an executor over its capacity.
	overloads int
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is given by the script
	if err != nil {
		return nil, err
	}
	return &Record{
		startedAt: time.Now(),
		file:      file,
		w:         bufio.NewWriter(file),
		active:    map[sesamedrift.TaskID]map[string]bool{},
	}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *Record) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.w, "%8.4f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Started records the start of a run, after which the executor uses so many thousandths of a core.
func (r *Record) Started(executor string, run sesamedrift.Run, used int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print("%s starts run %d of task %s, uses %d", executor, run.Number, TaskName(run.Task), used)
	if used > capacityCPU {
		r.print("%s is over its capacity of %d", executor, capacityCPU)
		r.overloads++
	}
	if r.active[run.Task] == nil {
		r.active[run.Task] = map[string]bool{}
	}
	r.active[run.Task][executor] = true
	if len(r.active[run.Task]) > 1 {
		r.print("task %s runs twice at the same time", TaskName(run.Task))
		r.overlaps = append(r.overlaps, run.Task)
	}
}

// Ended records the end of a run.
func (r *Record) Ended(executor string, run sesamedrift.Run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print("%s ends run %d of task %s: %s", executor, run.Number, TaskName(run.Task), how)
	delete(r.active[run.Task], executor)
}

// Overlaps returns the tasks that had two runs at the same time.
func (r *Record) Overlaps() []sesamedrift.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]sesamedrift.TaskID{}, r.overlaps...)
}

// Overloads returns the number of starts that brought an executor over its capacity.
func (r *Record) Overloads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overloads
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
