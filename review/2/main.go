// Command 2 freezes an edge machine with open jobs for less than a second, up to three times, and checks that no task
// has two runs at the same time.
package main

import (
	"os"
	"sync"
	"syscall"
	"time"

	"sesamedrift.example/sesamedrift/review/standin"
)

const (
	// jobs is the number of jobs, each of one task. They take two thirds of the room of a zone.
	jobs = 160
	// work is the work of a task; clients wait for limit.
	work  = 20 * time.Second
	limit = 30 * time.Second
	// freezes is how often the machine is frozen at most, until the rule is broken.
	freezes = 3
	// freeze is the time for which the machine stands still.
	freeze = 700 * time.Millisecond
	// calm is the time from the start of the tasks to the freeze, observation the time after it.
	calm        = time.Second
	observation = 3500 * time.Millisecond
)

func main() {
	os.Exit(standin.RunScript(os.Args[1], run))
}

func run(record *standin.Record) (int, error) {
	d, err := standin.Start(record, standin.AjaraForge(), limit, true)
	if err != nil {
		return 0, err
	}
	client := standin.NewClient(record)
	var submitted sync.WaitGroup
	defer submitted.Wait()
	defer d.Close()
	// The machine that started first.
	frozen := d.Edges[0]
	for n := range jobs {
		submitted.Go(func() { _, _ = client.Submit(frozen, job(n), limit) })
	}
	if err := d.AwaitRuns(jobs * 9 / 10); err != nil {
		return 0, err
	}
	time.Sleep(calm)
	for range freezes {
		if standin.Disrupted() {
			if err := d.Signal(frozen, syscall.SIGSTOP); err != nil {
				return 0, err
			}
			time.Sleep(freeze)
			if err := d.Signal(frozen, syscall.SIGCONT); err != nil {
				return 0, err
			}
		}
		time.Sleep(observation)
		if len(record.Overlaps()) > 0 {
			break
		}
	}
	return len(record.Overlaps()), nil
}

// job returns job n.
func job(n int) standin.Job {
	return standin.Job{
		ID:   standin.JobID(n),
		Work: work,
		CPU:  1000,
	}
}
