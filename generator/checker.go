package generator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/executor"
)

const (
	// leaveLimit is the time after its announcement for which a leaving upstream may still
	// receive new tasks.
	leaveLimit = 2 * time.Second
	// maxViolations bounds the number of violations that are described; all are counted.
	maxViolations = 20
)

// Violation is the name of an invariant that was violated.
type Violation string

// The invariants that are checked in every run, with their numbers in docs/design.md, section 1.1.
const (
	ViolationStartedTwice Violation = "started-twice"   // P1, P5
	ViolationAnswer       Violation = "answer"          // P2, P3
	ViolationRefused      Violation = "refused-but-ran" // P4
	ViolationLeaving      Violation = "leaving"         // P6
	ViolationInterrupted  Violation = "interrupted"     // P7
	ViolationSlots        Violation = "slots"
	ViolationUnsubmitted  Violation = "unasked"
)

// Violations lists the names of all invariants that are checked.
var Violations = []Violation{ViolationStartedTwice, ViolationAnswer, ViolationRefused, ViolationLeaving, ViolationInterrupted, ViolationSlots, ViolationUnsubmitted}

// submissionState is the record of one submission in an InvariantChecker.
type submissionState struct {
	tasks int
	// retryable allows several starts of the only task, each with its own attempt.
	retryable bool
	starts    map[int][]int // attempts by task
	refused   bool
}

// InvariantChecker checks the invariants against the events that are recorded. It is safe for
// concurrent use.
type InvariantChecker struct {
	slots int

	mu          sync.Mutex
	submissions map[string]*submissionState // by key
	running     map[string]int              // by upstream
	leaving     map[string]time.Time
	counts      map[Violation]int
	examples    []string
	starts      int
	duplicates  int
}

// NewInvariantChecker returns a checker for upstreams that each have the given number of slots.
func NewInvariantChecker(slots int) *InvariantChecker {
	return &InvariantChecker{
		slots:       slots,
		submissions: map[string]*submissionState{},
		running:     map[string]int{},
		leaving:     map[string]time.Time{},
		counts:      map[Violation]int{},
	}
}

// RecordSubmission records a submission. It must be called before the submission is sent.
func (c *InvariantChecker) RecordSubmission(key string, tasks int, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submissions[key] = &submissionState{
		tasks:     tasks,
		retryable: idempotent && tasks == 1,
		starts:    map[int][]int{},
	}
}

// RecordStart records the start of a task on an upstream and checks it.
func (c *InvariantChecker) RecordStart(now time.Time, upstream, taskID string, attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.running[upstream]++
	if n := c.running[upstream]; n > c.slots {
		c.addViolation(ViolationSlots, "upstream %s runs %d tasks on %d slots", upstream, n, c.slots)
	}
	if since, ok := c.leaving[upstream]; ok && now.Sub(since) > leaveLimit {
		c.addViolation(ViolationLeaving, "upstream %s received task %s %s after it announced that it leaves", upstream, taskID, now.Sub(since))
	}
	key, index, ok := splitTask(taskID)
	s := c.submissions[key]
	if !ok || s == nil || index >= s.tasks {
		c.addViolation(ViolationUnsubmitted, "upstream %s started task %s, which was not submitted", upstream, taskID)
		return
	}
	if s.refused {
		c.addViolation(ViolationRefused, "task %s started on %s after the submission was refused", taskID, upstream)
	}
	earlier := s.starts[index]
	s.starts[index] = append(earlier, attempt)
	if len(earlier) == 0 {
		return
	}
	c.duplicates++
	if !s.retryable || slices.Contains(earlier, attempt) {
		c.addViolation(ViolationStartedTwice, "task %s started again on %s, attempts %v", taskID, upstream, s.starts[index])
	}
}

// splitTask returns the key of the submission and the index of the task from a task identifier,
// which has the form key@id/index. The id, which contains the number of the try, is dropped, so
// that starts in different tries of one submission count as starts of the same task.
func splitTask(taskID string) (string, int, bool) {
	slash := strings.LastIndexByte(taskID, '/')
	at := strings.IndexByte(taskID, '@')
	if slash < 0 || at < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(taskID[slash+1:])
	return taskID[:at], index, err == nil && index >= 0
}

// RecordEnd records that a task ended on an upstream, which frees a slot.
func (c *InvariantChecker) RecordEnd(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[upstream]--
}

// RecordLeaving records that an upstream announces that it leaves.
func (c *InvariantChecker) RecordLeaving(now time.Time, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[upstream] = now
}

// RecordOutcome records the outcome that a caller received for the submission with the key and
// checks it. It is called for each caller of the submission.
func (c *InvariantChecker) RecordOutcome(key string, o sesamedrift.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.submissions[key]
	switch {
	case s == nil:
		c.addViolation(ViolationAnswer, "submission %s has an outcome but was not submitted", key)
	case o.Key != key:
		c.addViolation(ViolationAnswer, "submission %s received the outcome of %s", key, o.Key)
	case o.Status == sesamedrift.Complete:
		c.checkAnswers(key, s, o.Answers)
	case len(o.Answers) > 0:
		c.addViolation(ViolationAnswer, "submission %s has the outcome %s but %d answers", key, o.Status, len(o.Answers))
	case o.Status == sesamedrift.Refused:
		s.refused = true
		if len(s.starts) > 0 {
			c.addViolation(ViolationRefused, "submission %s was refused, but %d of its tasks started", key, len(s.starts))
		}
	}
}

func (c *InvariantChecker) checkAnswers(key string, s *submissionState, answers [][]byte) {
	if len(answers) != s.tasks {
		c.addViolation(ViolationAnswer, "submission %s has %d answers for %d tasks", key, len(answers), s.tasks)
		return
	}
	for i, body := range answers {
		var a executor.Answer
		if err := json.Unmarshal(body, &a); err != nil {
			c.addViolation(ViolationAnswer, "submission %s has an answer for task %d that is not valid JSON: %v", key, i, err)
			continue
		}
		if want := echo(key, i); a.Echo != want {
			c.addViolation(ViolationAnswer, "submission %s has answer %q for task %d, want %q", key, a.Echo, i, want)
		}
		if len(s.starts[i]) == 0 {
			c.addViolation(ViolationAnswer, "submission %s has an answer for task %d, which did not start", key, i)
		}
	}
}

// echo returns the value that a task is sent and that its answer must repeat.
func echo(key string, index int) string { return fmt.Sprintf("%s#%d", key, index) }

// RecordViolation records a violation that a caller detected.
func (c *InvariantChecker) RecordViolation(v Violation, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(v, format, args...)
}

func (c *InvariantChecker) addViolation(v Violation, format string, args ...any) {
	c.counts[v]++
	if len(c.examples) < maxViolations {
		c.examples = append(c.examples, string(v)+": "+fmt.Sprintf(format, args...))
	}
}

// Audit is a summary of the starts and violations that an InvariantChecker recorded.
type Audit struct {
	// Starts counts the starts of tasks on upstreams; Duplicates counts those of tasks that had
	// started before.
	Starts     int `json:"starts"`
	Duplicates int `json:"duplicates"`
	// Violations counts the violations by invariant; invariants without violations are absent.
	Violations map[Violation]int `json:"violations"`
	// Examples describes the first violations, at most 20.
	Examples []string `json:"examples,omitempty"`
}

// ViolationCount returns the number of violations of all invariants.
func (a *Audit) ViolationCount() int {
	n := 0
	for _, count := range a.Violations {
		n += count
	}
	return n
}

// Audit returns a snapshot of the summary.
func (c *InvariantChecker) Audit() Audit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Audit{
		Starts:     c.starts,
		Duplicates: c.duplicates,
		Violations: maps.Clone(c.counts),
		Examples:   slices.Clone(c.examples),
	}
}
