// Command 3 kills an edge machine with open jobs and starts it again, in a zone that another machine
// has left before. The clients send their jobs again, to machines of other zones. It checks that no
// task has two runs at the same time.
package main

import (
	"errors"
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
	work  = 6 * time.Second
	limit = 12 * time.Second
	// restartDelay is the time from the end of the process to its next start.
	restartDelay = 500 * time.Millisecond
	// observation is the time after the restart in which the runs are watched.
	observation = 4 * time.Second
	// exitTimeout is above grace_s.
	exitTimeout = 7 * time.Second
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
	// The first three machines are those of one zone. One of them leaves it for good.
	leaving, killed, others := d.Edges[1], d.Edges[2], d.Edges[3:]
	if err := d.Signal(leaving, syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-leaving.Exited():
	case <-time.After(exitTimeout):
		return 0, errors.New("the process did not end after SIGTERM")
	}
	time.Sleep(standin.StableWindow)
	for n := range jobs {
		submitted.Go(func() {
			if _, err := client.Submit(killed, job(n), limit); err != nil {
				time.Sleep(standin.ResendAfter)
				_, _ = client.Submit(others[n%len(others)], job(n), limit)
			}
		})
	}
	if err := d.AwaitRuns(jobs * 9 / 10); err != nil {
		return 0, err
	}
	if standin.Disrupted() {
		if err := d.Signal(killed, syscall.SIGKILL); err != nil {
			return 0, err
		}
		<-killed.Exited()
		time.Sleep(restartDelay)
		if err := d.Restart(killed); err != nil {
			return 0, err
		}
	}
	time.Sleep(observation)
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
