package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/leaser"
)

// newUpstreamServer serves an upstream whose tasks never end. stop responds to the orders to stop a task, which are
// numbered from 1.
func newUpstreamServer(t *testing.T, stop func(w http.ResponseWriter, n int64)) (leaser.Announcement, *atomic.Int64) {
	var stops atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			stop(w, stops.Add(1))
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return leaser.Announcement{
		Upstream: "worker-0",
		Address:  server.Listener.Addr().String(),
	}, &stops
}

// runAndCancel runs a task until its context is cancelled, and returns its answer and the time after that.
func runAndCancel(t *testing.T, u leaser.Announcement, lease time.Duration) (taskAnswer, time.Duration) {
	r := newRunner(1024, 4)
	defer r.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := time.Now()
	time.AfterFunc(50*time.Millisecond, func() {
		cancelled = time.Now()
		cancel()
	})
	a := r.run(ctx, time.Now, u, taskRun{
		TaskID:  "a",
		Attempt: 1,
		Lease:   lease,
	})
	return a, time.Since(cancelled)
}

// Guards against a slot that is used again while its task runs on, because the upstream has refused the order to stop it.
func TestSlotIsKeptUntilStopIsConfirmed(t *testing.T) {
	for _, confirmation := range []int{http.StatusNoContent, http.StatusNotFound} {
		t.Run(fmt.Sprint(confirmation), func(t *testing.T) {
			g := NewWithT(t)
			u, stops := newUpstreamServer(t, func(w http.ResponseWriter, n int64) {
				w.WriteHeader(map[int64]int{
					1: http.StatusServiceUnavailable,
					2: http.StatusInternalServerError,
					3: http.StatusTooManyRequests,
					4: confirmation,
				}[n])
			})
			a, _ := runAndCancel(t, u, time.Minute)
			g.Expect(a.Result).To(Equal(runStopped))
			g.Expect(stops.Load()).To(BeEquivalentTo(4))
		})
	}
}

// Guards against a slot that is used again before the lease of its task has ended, or never, when the upstream confirms
// no stop.
func TestSlotIsKeptUntilLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	const lease = 400 * time.Millisecond
	u, _ := newUpstreamServer(t, func(w http.ResponseWriter, _ int64) { w.WriteHeader(http.StatusServiceUnavailable) })
	a, waited := runAndCancel(t, u, lease)
	g.Expect(a.Result).To(Equal(runStopped))
	g.Expect(waited).To(BeNumerically(">", lease-100*time.Millisecond))
	g.Expect(waited).To(BeNumerically("<", lease+leaseGrace+stopTimeout))
}

// Guards against the outcome "failed" for a task that may have succeeded, and against "not run" for one that may have
// started: only the errors that the protocol defines say what became of the task.
func TestErrorsOfUpstreams(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		result runResult
	}{
		{
			status: http.StatusServiceUnavailable,
			body:   `{"code": "not-started", "message": "no free slot"}`,
			result: runNotStarted,
		},
		{
			status: http.StatusInternalServerError,
			body:   `{"code": "task-failed", "message": "no"}`,
			result: runFailed,
		},
		{
			status: http.StatusInternalServerError,
			body:   `{"code": "task-stopped", "message": "the lease has ended"}`,
			result: runFailed,
		},
		{
			status: http.StatusBadRequest,
			body:   `{"code": "bad-request", "message": "the header Task-Lease must be a duration above zero"}`,
			result: runFailed,
		},
		{
			status: http.StatusInternalServerError,
			result: runLost,
		},
		{
			status: http.StatusBadGateway,
			body:   "<html>bad gateway</html>",
			result: runLost,
		},
		{
			status: http.StatusServiceUnavailable,
			body:   `{"code": "overloaded"}`,
			result: runLost,
		},
		{
			status: http.StatusInternalServerError,
			body:   `{"code": "not-started"}`,
			result: runLost,
		},
		{
			status: http.StatusGatewayTimeout,
			result: runLost,
		},
		{
			status: http.StatusTooManyRequests,
			result: runLost,
		},
	} {
		t.Run(fmt.Sprint(test.status, test.body), func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			r := newRunner(1024, 4)
			defer r.close()
			a := r.run(t.Context(), time.Now, leaser.Announcement{
				Upstream: "worker-0",
				Address:  server.Listener.Addr().String(),
			}, taskRun{
				TaskID:  "a",
				Attempt: 1,
				Lease:   time.Second,
			})
			g.Expect(a.Result).To(Equal(test.result), a.Reason)
		})
	}
}
