package server

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

// job is one submission that this host coordinates. The dispatcher's goroutine owns the fields of the
// last group. outcome and err are set before done is closed, markStarted before the job is queued,
// and startErr by startOnce; granted and waiters are atomic. The other fields do not change once the
// dispatcher has the job.
type job struct {
	sub      sesamedrift.Submission
	identity string
	try      int
	team     string // the scheduler's name: environment and team
	digest   string
	service  string // the scheduler's name: environment and service
	kind     validator.Kind
	trial    bool   // submitted under the trial document
	version  uint64 // of the environment document
	deadline time.Time
	// orphanTimeout is how long the job continues while no caller waits for it.
	orphanTimeout time.Duration

	// ctx is done when the job has ended, so that its attempts stop.
	ctx    context.Context
	cancel context.CancelFunc

	// markStarted records the claim as started on a majority of the claim tables. It is nil if the
	// claim was granted as started.
	markStarted func() error
	startOnce   sync.Once
	startErr    error

	// claimed is closed after the first attempt to claim the key. granted is set when the claim is
	// granted to this host, by the first attempt or a later one.
	claimed chan struct{}
	granted atomic.Bool

	// done is closed after the outcome or err is set, and after the attempt to record the outcome
	// if it must be recorded.
	done    chan struct{}
	outcome sesamedrift.Outcome
	// err is set in place of an outcome if the submission is rejected, for example because its key
	// has expired.
	err *Error

	// waiters counts the callers that wait for the outcome.
	waiters atomic.Int64

	// Owned by the dispatcher.
	tasks      []jobTask
	remaining  int
	sent       int // attempts that may have started
	finished   bool
	orphanedAt time.Time // when the last waiting caller disconnected
}

// jobTask is the state of one task of a job.
type jobTask struct {
	attempt int
	answer  []byte
}

func newJob(sub sesamedrift.Submission, service string, kind validator.Kind, deadline time.Time) *job {
	ctx, cancel := context.WithCancel(context.Background())
	return &job{
		sub:       sub,
		digest:    sub.Digest(),
		service:   service,
		kind:      kind,
		deadline:  deadline,
		ctx:       ctx,
		cancel:    cancel,
		claimed:   make(chan struct{}),
		done:      make(chan struct{}),
		tasks:     make([]jobTask, len(sub.Payloads)),
		remaining: len(sub.Payloads),
	}
}

// grantedHere reports whether the claim of the job was granted to this host. It returns false until
// the first attempt to claim the key has ended.
func (j *job) grantedHere() bool {
	select {
	case <-j.claimed:
		return j.granted.Load()
	default:
		return false
	}
}

// taskID returns the identifier of a task, which is unique across all hosts.
func (j *job) taskID(index int) string {
	return fmt.Sprintf("%s/%d", j.identity, index)
}

// retryable reports whether a task may be sent again after an attempt that may have started it. That
// holds only for the single task of a job of an idempotent kind.
func (j *job) retryable() bool {
	return j.kind.Idempotent && len(j.tasks) == 1
}

// confirmStart records the claim as started before the first attempt of the job; concurrent attempts
// wait for the record. After an error no attempt of the job may start.
func (j *job) confirmStart() error {
	j.startOnce.Do(func() {
		if j.markStarted != nil {
			j.startErr = j.markStarted()
		}
	})
	return j.startErr
}

// answers returns the answers of all tasks. It must be called only when no task remains.
func (j *job) answers() [][]byte {
	all := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		all[i] = j.tasks[i].answer
	}
	return all
}

// nothingStarted reports whether no task of the job can have started.
func (j *job) nothingStarted() bool { return j.sent == 0 }
