package soaker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/review/standin"
)

// record is what is known of a run.
type record struct {
	run              sesamedrift.Run
	life             *life
	token            uint64
	work             time.Duration
	beganAt, endedAt time.Time
	stopAt           time.Time
	how              string
	noted            bool
}

// pair is two runs of a task at the same time.
type pair struct{ first, second *record }

// checker records the runs of all upstreams. It is safe for concurrent use.
type checker struct {
	startedAt time.Time

	mu     sync.Mutex
	active map[sesamedrift.TaskID][]*record
	pairs  []pair
	runs   int
	// began holds the jobs of which a run has started.
	began map[string]bool
}

func (c *checker) started(now time.Time, l *life, run sesamedrift.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &record{
		run:     run,
		life:    l,
		token:   l.token,
		work:    l.work,
		beganAt: now,
	}
	c.runs++
	c.began[run.Task.Job] = true
	for _, other := range c.active[run.Task] {
		c.pairs = append(c.pairs, pair{
			first:  other,
			second: r,
		})
	}
	c.active[run.Task] = append(c.active[run.Task], r)
}

// find returns the active record of a run on an incarnation, or nil.
func (c *checker) find(l *life, run sesamedrift.Run) (*record, int) {
	for i, r := range c.active[run.Task] {
		if r.life == l && r.run == run {
			return r, i
		}
	}
	return nil, 0
}

func (c *checker) stopOrdered(now time.Time, l *life, run sesamedrift.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, _ := c.find(l, run); r != nil && r.stopAt.IsZero() {
		r.stopAt = now
	}
}

func (c *checker) ended(now time.Time, l *life, run sesamedrift.Run, how string) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, i := c.find(l, run)
	r.endedAt, r.how = now, how
	// The experiment itself may get no processor time for a while: the run has ended when it was due.
	due := map[string]time.Time{
		"done":    r.beganAt.Add(r.work),
		"lapsed":  l.lease,
		"stopped": r.stopAt.Add(standin.StopTime / 2),
	}[how]
	if !due.IsZero() && due.Before(now) {
		r.endedAt = due
	}
	active := c.active[run.Task]
	active[i] = active[len(active)-1]
	c.active[run.Task] = active[:len(active)-1]
	return r
}

// noted records that ends were acknowledged.
func (c *checker) noted(ends []*record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range ends {
		r.noted = true
	}
}

// overlaps returns the pairs whose runs were at work at the same time.
func (c *checker) overlaps() []pair {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.pairs), func(p pair) bool {
		ended := func(r *record, at time.Time) bool { return !r.endedAt.IsZero() && !r.endedAt.After(at) }
		return ended(p.first, p.second.beganAt) || ended(p.second, p.first.beganAt)
	})
}

// logs is what the logs of entry hosts say: which host took an upstream with a token, and how it
// took runs for ended.
type logs struct {
	holders map[string]string
	results map[string]string
	counts  map[string]int
}

// readLogs reads the logs of the entry hosts in a folder.
func readLogs(folder string) (logs, error) {
	l := logs{
		holders: map[string]string{},
		results: map[string]string{},
		counts:  map[string]int{},
	}
	names, err := filepath.Glob(filepath.Join(folder, "edge-*.log"))
	if err != nil {
		return l, err
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return l, err
		}
		host := strings.TrimSuffix(filepath.Base(name), ".log")
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			l.add(host, lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return l, err
		}
		_ = file.Close()
	}
	return l, nil
}

func (l logs) add(host string, line []byte) {
	var event struct {
		Msg      string
		Upstream string
		Token    json.Number
		Run      string
		How      string
	}
	if json.Unmarshal(line, &event) != nil {
		return
	}
	l.counts[event.Msg]++
	switch event.Msg {
	case "upstream-taken":
		l.holders[fmt.Sprint(event.Upstream, " ", event.Token)] = host
	case "run-ended-badly":
		l.results[event.Run+" "+event.Upstream] += event.How + " at " + host + " "
	}
}

// describe returns a pair in the form of the record of the incident, with the age of the
// incarnation at the start of the run and at its first ping.
func (c *checker) describe(p pair, l logs) string {
	form := func(r *record) string {
		stop := "-"
		if !r.stopAt.IsZero() {
			stop = fmt.Sprintf("%.3f", r.stopAt.Sub(c.startedAt).Seconds())
		}
		how, ended := r.how, fmt.Sprintf("%.3f", r.endedAt.Sub(c.startedAt).Seconds())
		if r.endedAt.IsZero() {
			how, ended = "runs", "-"
		}
		u := r.life.u
		u.mu.Lock()
		ping := "-"
		if !r.life.pingedAt.IsZero() {
			ping = fmt.Sprintf("%.3f", r.life.pingedAt.Sub(r.life.born).Seconds())
		}
		u.mu.Unlock()
		id := fmt.Sprintf("%s/%d/%d/%d#%d", r.run.Task.Job, r.run.Task.Occurrence, r.run.Task.Step, r.run.Task.Index, r.run.Number)
		return fmt.Sprintf("run %d on %s (%s) by %s: %.3f to %s, stop %s, %s, noted %t, age %.3f, first ping at age %s, host says %q",
			r.run.Number, u.id, u.domain, l.holders[fmt.Sprint(u.id, " ", r.token)], r.beganAt.Sub(c.startedAt).Seconds(), ended,
			stop, how, r.noted, r.beganAt.Sub(r.life.born).Seconds(), ping, strings.TrimSpace(l.results[id+" "+u.id]))
	}
	return fmt.Sprintf("task %s\n    %s\n    %s", standin.TaskName(p.first.run.Task), form(p.first), form(p.second))
}
