// Command standin plays the scenarios of the cases 6 to 10, and executor-of-other-kind, which is no case. It starts the
// project's hosts as separate processes on loopback addresses, plays the executors, the clients, the operator and the
// platform, and checks one rule by what these see.
//
// Usage: review-standin2 SCENARIO RECORD, in the root of the repository. The variable TROUBLE=0 leaves the disruption out. The
// exit code is 0 if the rule held, 1 if it was broken and 2 if the scenario could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit bounds the time of a scenario.
const timeLimit = 110 * time.Second

// scenario is one case. It returns what broke the rule, if anything, or an error if it could not run.
type scenario func(s *stage) (broken []string, err error)

var scenarios = map[string]scenario{
	"layered-job":              layeredJob,
	"stop-refused":             stopRefused,
	"late-start":               lateStart,
	"disk-lost-at-first-start": diskLostAtFirstStart,
	"hand-over":                handOver,
	"executor-of-other-kind":   executorOfOtherKind,
}

// stage is what a scenario plays on.
type stage struct {
	rec     *record
	folder  string
	trouble bool
	history *history

	d         *deployment
	executors []*executor
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin2 SCENARIO RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standin2:", err)
		return exitFailed
	}
	defer func() { _ = rec.close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standin2:", err)
		return exitFailed
	}
	s := &stage{
		rec:     rec,
		folder:  folder,
		trouble: os.Getenv("TROUBLE") != "0",
		history: &history{},
	}
	rec.add("scenario %s, disruption %t", os.Args[1], s.trouble)
	broken, err := s.run(scenarios[os.Args[1]])
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(folder, filepath.Clean(keep)) //nolint:gosec // for whoever looks into a failure
	}
	_ = os.RemoveAll(folder)
	if err != nil {
		rec.add("the scenario could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	for _, b := range broken {
		rec.add("BROKEN %s", b)
	}
	fmt.Printf("%d breaks of the rule\n", len(broken))
	if len(broken) > 0 {
		fmt.Println("the first:", broken[0])
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}

// run plays a scenario and ends the processes that it has started. It gives up after timeLimit, or on a signal to end.
func (s *stage) run(play scenario) ([]string, error) {
	type outcome struct {
		broken []string
		err    error
	}
	result := make(chan outcome, 1)
	go func() {
		broken, err := play(s)
		result <- outcome{
			broken: broken,
			err:    err,
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	o := outcome{}
	select {
	case o = <-result:
	case <-time.After(timeLimit):
		o.err = fmt.Errorf("the scenario has taken more than %s", timeLimit)
	case got := <-interrupted:
		o.err = fmt.Errorf("the scenario was ended by the signal %s", got)
	}
	if s.d != nil {
		s.d.stopAll()
	}
	return o.broken, o.err
}

// executorOptions describes the executors of a stage.
type executorOptions struct {
	count    int
	capacity int64
	guards   bool
	labels   func(i int) []string
}

// begin starts the hosts and the executors and has the document acknowledged and in force.
func (s *stage) begin(entries int, o executorOptions, targetMS int) error {
	d, err := newDeployment(s.rec, s.folder, entries)
	if err != nil {
		return err
	}
	s.d = d
	if err := d.startAll(); err != nil {
		return err
	}
	if err := s.startExecutors(o); err != nil {
		return err
	}
	if !d.publish(document(7, o.guards, targetMS), 10*time.Second) {
		return fmt.Errorf("the document was not acknowledged")
	}
	// As on the provider, traffic begins some seconds after the machines.
	time.Sleep(5 * time.Second)
	return nil
}

func (s *stage) startExecutors(o executorOptions) error {
	for i := range o.count {
		e := &executor{
			id:       fmt.Sprintf("i-%08x", 0x7f3a9100+i),
			address:  fmt.Sprintf("%s:%d", s.d.address(101+i), s.d.front+5),
			zone:     s.d.zones[0],
			service:  serviceName,
			capacity: o.capacity,
			guards:   o.guards,
			rec:      s.rec,
			controls: s.d.controlAddresses(),
			history:  s.history,
		}
		if err := e.start(o.labels(i)); err != nil {
			return err
		}
		s.executors = append(s.executors, e)
	}
	return nil
}
