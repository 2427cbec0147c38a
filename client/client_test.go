package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/validator"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// fakeHost is an HTTP server that completes submissions with their payloads as answers, and
// counts them.
type fakeHost struct {
	*httptest.Server
	submissions atomic.Int64
	lastKey     atomic.Value
	// alter, if it is set, changes the outcome before it is sent.
	alter func(*sesamedrift.Outcome)
	// handle, if it is set, may answer submission n instead. It reports whether it did.
	handle func(w http.ResponseWriter, r *http.Request, n int64) bool
	down   atomic.Bool
}

func newFakeHost(t *testing.T, domain string) *fakeHost {
	t.Helper()
	h := &fakeHost{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if h.down.Load() {
			reply(w, http.StatusServiceUnavailable, map[string]any{"code": "not-ready", "message": "stopping"})
			return
		}
		reply(w, http.StatusOK, Readiness{Ready: true, Domain: domain, Host: domain + "-1"})
	})
	mux.HandleFunc("POST /v1/submissions", h.submission)
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(DomainHeader, domain)
		w.Header().Set(HostHeader, domain+"-1")
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	return h
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (h *fakeHost) submission(w http.ResponseWriter, r *http.Request) {
	n := h.submissions.Add(1)
	h.lastKey.Store(r.Header.Get(sesamedrift.KeyHeader))
	var body SubmissionRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	if h.handle != nil && h.handle(w, r, n) {
		return
	}
	s := sesamedrift.Submission{
		Service:  body.Service,
		Kind:     body.Kind,
		Team:     body.Team,
		Payloads: body.Tasks,
	}
	o := sesamedrift.Outcome{
		Key:     r.Header.Get(sesamedrift.KeyHeader),
		Digest:  s.Digest(),
		Status:  sesamedrift.Complete,
		Task:    sesamedrift.NoTask,
		Answers: body.Tasks,
	}
	if h.alter != nil {
		h.alter(&o)
	}
	w.Header().Set(OutcomeHeader, string(o.Status))
	w.Header().Set(sesamedrift.KeyHeader, o.Key)
	w.Header().Set(sesamedrift.KeyCreatedHeader, r.Header.Get(sesamedrift.KeyCreatedHeader))
	reply(w, o.Status.HTTPStatus(), o)
}

// drop is a fakeHost.handle that closes the connection without an answer after it has read
// the whole request.
func drop(w http.ResponseWriter, r *http.Request, _ int64) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
	return true
}

// errorAnswer returns a fakeHost.handle that answers with the status and the error code.
func errorAnswer(status int, code Code) func(http.ResponseWriter, *http.Request, int64) bool {
	return func(w http.ResponseWriter, _ *http.Request, _ int64) bool {
		w.Header().Set("Retry-After", "3")
		reply(w, status, map[string]any{"code": code, "message": "test"})
		return true
	}
}

func newTestClient(t *testing.T, resubmissions int, hosts ...*fakeHost) *Client {
	t.Helper()
	cfg := Config{
		Now:              func() time.Time { return start },
		MaxResubmissions: resubmissions,
		Sleep:            func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	}
	for _, h := range hosts {
		cfg.Hosts = append(cfg.Hosts, h.URL)
	}
	c, err := New(cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

func submission() sesamedrift.Submission {
	return sesamedrift.Submission{
		Service:  "reseason-desk",
		Kind:     "booking",
		Team:     "counter",
		Deadline: start.Add(time.Minute),
		Payloads: [][]byte{[]byte("pan 1"), {0, 0xff}, {}},
	}
}

// expectError expects an error of type E in the chain of err and returns it.
func expectError[E error](g *WithT, err error) E {
	var e E
	g.Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e
}

// Guards against answers that the client changes, and against keys whose home domain is not
// the failure domain of the host.
func TestSubmitReturnsOwnAnswers(t *testing.T) {
	g := NewWithT(t)
	h := newFakeHost(t, "ikeja")
	o, err := newTestClient(t, 0, h).Submit(t.Context(), submission())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Answers).To(Equal(submission().Payloads))
	g.Expect(o.Key).To(HavePrefix("ikeja."))
}

// Guards against returning the answer to another request to the caller (invariant P3 of
// docs/design.md).
func TestAnswersToOtherRequestsAreMismatches(t *testing.T) {
	cases := map[string]struct {
		field string
		alter func(*sesamedrift.Outcome)
	}{
		"answer to another key": {"key", func(o *sesamedrift.Outcome) { o.Key = "ikeja.another" }},
		"other submission":      {"digest", func(o *sesamedrift.Outcome) { o.Digest = (&sesamedrift.Submission{}).Digest() }},
		"too few answers":       {"answers", func(o *sesamedrift.Outcome) { o.Answers = o.Answers[:2] }},
		"too many answers":      {"answers", func(o *sesamedrift.Outcome) { o.Answers = append(o.Answers, nil) }},
		"answers of a failed job": {"answers", func(o *sesamedrift.Outcome) {
			o.Status, o.Reason, o.Task = sesamedrift.Failed, "broken", 1
		}},
		"task out of range": {"task", func(o *sesamedrift.Outcome) { o.Task = 3 }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newFakeHost(t, "ikeja")
			h.alter = tc.alter
			_, err := newTestClient(t, 3, h).Submit(t.Context(), submission())
			mismatch := expectError[*MismatchError](g, err)
			g.Expect(mismatch.Field).To(Equal(tc.field))
			g.Expect(h.submissions.Load()).To(Equal(int64(1)))
		})
	}
}

// Guards against a second layer of retries: the client must return a refusal without a retry.
func TestRefusalsAreNotRetried(t *testing.T) {
	g := NewWithT(t)
	a, b := newFakeHost(t, "ikeja"), newFakeHost(t, "lekki")
	a.alter = func(o *sesamedrift.Outcome) {
		o.Status, o.Reason, o.Answers, o.RetryAfter = sesamedrift.Refused, "queue full", nil, 1200*time.Millisecond
	}
	o, err := newTestClient(t, 3, a, b).Submit(t.Context(), submission())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Status).To(Equal(sesamedrift.Refused))
	g.Expect(o.RetryAfter).To(Equal(1200 * time.Millisecond))
	g.Expect(a.submissions.Load() + b.submissions.Load()).To(Equal(int64(1)))
}

// Guards against a submission that fails although another host is ready, and against a
// *LostError although no host received it.
func TestHostDownBeforeDelivery(t *testing.T) {
	g := NewWithT(t)
	down, stopping, up := newFakeHost(t, "ikeja"), newFakeHost(t, "ikeja"), newFakeHost(t, "lekki")
	down.Close()
	stopping.handle = errorAnswer(http.StatusServiceUnavailable, CodeNotReady)
	o, err := newTestClient(t, 0, down, stopping, up).Submit(t.Context(), submission())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Status).To(Equal(sesamedrift.Complete))

	_, err = newTestClient(t, 3, down).Submit(t.Context(), submission())
	_ = expectError[*NotSentError](g, err)
	var lost *LostError
	g.Expect(errors.As(err, &lost)).To(BeFalse())
}

// Guards against a submission that the client or the HTTP transport resends after it may have
// been delivered. The transport resends requests with an Idempotency-Key header when a reused
// connection breaks.
func TestHostDownAfterDelivery(t *testing.T) {
	g := NewWithT(t)
	a, b := newFakeHost(t, "ikeja"), newFakeHost(t, "ikeja")
	a.handle = func(w http.ResponseWriter, r *http.Request, n int64) bool {
		return n > 1 && drop(w, r, n)
	}
	c := newTestClient(t, 0, a, b)
	_, err := c.Submit(t.Context(), submission())
	g.Expect(err).NotTo(HaveOccurred())

	s := submission()
	s.Key, err = c.NewKey(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Submit(t.Context(), s)
	lost := expectError[*LostError](g, err)
	g.Expect(lost.ID).To(Equal(s.Key.String()))
	g.Expect(lost.Host).To(Equal(a.URL))
	g.Expect(a.submissions.Load()).To(Equal(int64(2)))
	g.Expect(b.submissions.Load()).To(BeZero())

	o, err := c.Resubmit(t.Context(), s, lost.Host)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Key).To(Equal(s.Key.String()))
	g.Expect(b.lastKey.Load()).To(Equal(s.Key.String()))
}

// Guards against a resubmission under another key, and against more than MaxResubmissions.
func TestResubmissionsKeepTheKey(t *testing.T) {
	g := NewWithT(t)
	a, b := newFakeHost(t, "ikeja"), newFakeHost(t, "lekki")
	a.handle = drop
	b.handle = func(w http.ResponseWriter, r *http.Request, n int64) bool { return n == 1 && drop(w, r, n) }
	_, err := newTestClient(t, 1, a, b).Submit(t.Context(), submission())
	lost := expectError[*LostError](g, err)
	g.Expect(a.submissions.Load() + b.submissions.Load()).To(Equal(int64(2)))
	g.Expect(a.lastKey.Load()).To(Equal(lost.ID))
	g.Expect(b.lastKey.Load()).To(Equal(lost.ID))

	_, err = newTestClient(t, 1, a, b).Submit(t.Context(), submission())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against an error that means "not run" for a submission which an earlier delivery may
// have started (invariant P4 of docs/design.md).
func TestLaterFailureDoesNotHideALostDelivery(t *testing.T) {
	unreachable := newFakeHost(t, "lekki")
	unreachable.Close()
	rejecting := newFakeHost(t, "lekki")
	rejecting.handle = errorAnswer(http.StatusGone, CodeKeyExpired)
	for name, second := range map[string]*fakeHost{"not sent": unreachable, "error answer": rejecting} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first := newFakeHost(t, "ikeja")
			first.handle = drop
			_, err := newTestClient(t, 1, first, second).Submit(t.Context(), submission())
			var lost *LostError
			var notSent *NotSentError
			var api *APIError
			g.Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
			g.Expect(errors.As(err, &notSent)).To(BeFalse())
			g.Expect(errors.As(err, &api)).To(BeFalse())
		})
	}
}

// Guards against returning partial answers (invariant P2 of docs/design.md) and answers that
// are not from a host.
func TestUnreadableAnswersAreLost(t *testing.T) {
	cases := map[string]func(http.ResponseWriter, *http.Request, int64) bool{
		"truncated body": func(w http.ResponseWriter, _ *http.Request, _ int64) bool {
			w.Header().Set(OutcomeHeader, "complete")
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte(`{"status":"complete"`))
			return true
		},
		"truncated JSON": func(w http.ResponseWriter, _ *http.Request, _ int64) bool {
			w.Header().Set(OutcomeHeader, "complete")
			_, _ = w.Write([]byte(`{"status":"complete"`))
			return true
		},
		"error of a load balancer": func(w http.ResponseWriter, _ *http.Request, _ int64) bool {
			w.Header().Del(HostHeader)
			reply(w, http.StatusServiceUnavailable, map[string]any{"code": "not-ready"})
			return true
		},
		"redirect": func(w http.ResponseWriter, r *http.Request, _ int64) bool {
			http.Redirect(w, r, "/v1/submissions", http.StatusTemporaryRedirect)
			return true
		},
	}
	for name, handle := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, other := newFakeHost(t, "ikeja"), newFakeHost(t, "lekki")
			h.handle = handle
			_, err := newTestClient(t, 0, h, other).Submit(t.Context(), submission())
			_ = expectError[*LostError](g, err)
			g.Expect(h.submissions.Load() + other.submissions.Load()).To(Equal(int64(1)))
		})
	}
}

// Guards against errors of the HTTP interface that are returned without their code or retry
// hint.
func TestErrorAnswers(t *testing.T) {
	g := NewWithT(t)
	h := newFakeHost(t, "ikeja")
	h.handle = errorAnswer(http.StatusGone, CodeKeyExpired)
	_, err := newTestClient(t, 3, h).Submit(t.Context(), submission())
	api := expectError[*APIError](g, err)
	g.Expect(api.Code).To(Equal(CodeKeyExpired))
	g.Expect(api.RetryAfter).To(Equal(3 * time.Second))
	g.Expect(h.submissions.Load()).To(Equal(int64(1)))
}

// Guards against requests that do not follow docs/http.md.
func TestRequestFormats(t *testing.T) {
	g := NewWithT(t)
	key := sesamedrift.NewKey(start, "ikeja")
	var seen []string
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		for _, name := range []string{"Authorization", ChangeIDHeader, ExpectedVersionHeader, ChangedByHeader} {
			if r.Header.Get(name) != "" {
				seen = append(seen, name+": "+r.Header.Get(name))
			}
		}
		w.Header().Set(HostHeader, "ikeja-1")
		switch {
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusAccepted)
		case r.URL.Path == "/v1/submissions/"+key.String():
			w.Header().Set(OutcomeHeader, "unknown")
			reply(w, http.StatusGatewayTimeout, sesamedrift.Outcome{Key: key.String(), Status: sesamedrift.Unknown, Reason: "host lost", Task: -1})
		case r.Method == http.MethodPut:
			reply(w, http.StatusConflict, ChangeResult{Status: ChangeConflict, Version: 8, Winner: &AuditEntry{ID: "other"}})
		case r.Method == http.MethodPost:
			reply(w, http.StatusUnauthorized, APIError{Code: CodeUnauthorized})
		case r.URL.Path == "/v1/environments/trial":
			reply(w, http.StatusOK, EnvironmentState{Version: 8, Document: json.RawMessage(`{}`)})
		case r.URL.Path == "/v1/environments/trial/history":
			reply(w, http.StatusOK, []AuditEntry{{ID: "x", Version: 3, At: start}})
		default:
			reply(w, http.StatusOK, map[string]int{"queued": 2})
		}
	}))
	defer h.Close()
	c, err := New(Config{Hosts: []string{h.URL + "/"}, OperatorToken: "secret"})
	g.Expect(err).NotTo(HaveOccurred())
	ctx := t.Context()

	o, err := c.Wait(ctx, key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Status).To(Equal(sesamedrift.Unknown))
	_, err = c.WaitTry(ctx, key, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Cancel(ctx, key)).To(Succeed())
	result, err := c.Apply(ctx, Change{Environment: validator.Trial, ID: "c-1", ExpectedVersion: 7, Who: "ada", Document: []byte(`{"a":1}`)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Status).To(Equal(ChangeConflict))
	g.Expect(result.Winner.ID).To(Equal("other"))
	_, err = c.Promote(ctx, Change{ID: "c-2", ExpectedVersion: 1, Who: "ada"})
	_ = expectError[*APIError](g, err)
	state, err := c.Environment(ctx, validator.Trial)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state.Version).To(Equal(uint64(8)))
	g.Expect(c.History(ctx, validator.Trial, 2, 10)).To(HaveLen(1))
	g.Expect(c.Status(ctx)).To(MatchJSON(`{"queued":2}`))

	path := "/v1/submissions/" + key.String() + "?created=2026-03-02T08%3A00%3A00.000Z"
	g.Expect(seen).To(Equal([]string{
		"GET " + path + " ",
		"GET " + path + "&try=2 ",
		"DELETE " + path + " ",
		`PUT /v1/environments/trial {"a":1}`,
		"Authorization: Bearer secret", "Change-Id: c-1", "Expected-Version: 7", "Changed-By: ada",
		"POST /v1/environments/production/promote ",
		"Authorization: Bearer secret", "Change-Id: c-2", "Expected-Version: 1", "Changed-By: ada",
		"GET /v1/environments/trial ",
		"GET /v1/environments/trial/history?after=2&limit=10 ",
		"GET /v1/status ",
	}))
}

// Guards against statuses or error codes that docs/http.md does not list with their HTTP
// status.
func TestHTTPPageNamesAllResults(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../docs/http.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, s := range sesamedrift.Statuses {
		g.Expect(string(page)).To(ContainSubstring("| `%s` | %d |", s, s.HTTPStatus()))
	}
	for _, s := range []ChangeStatus{ChangeAccepted, ChangeConflict, ChangeUnavailable} {
		g.Expect(string(page)).To(ContainSubstring("| `%s` | %d |", s, s.httpStatus()))
	}
	for code, status := range map[Code]int{
		CodeBadRequest:       http.StatusBadRequest,
		CodeUnauthorized:     http.StatusUnauthorized,
		CodeNotFound:         http.StatusNotFound,
		CodeMethodNotAllowed: http.StatusMethodNotAllowed,
		CodeKeyConflict:      http.StatusConflict,
		CodeVersionConflict:  http.StatusConflict,
		CodeNotPromotable:    http.StatusConflict,
		CodeKeyExpired:       http.StatusGone,
		CodeTooLarge:         http.StatusRequestEntityTooLarge,
		CodeNotReady:         http.StatusServiceUnavailable,
	} {
		g.Expect(string(page)).To(ContainSubstring("| %d | `%s` |", status, code))
	}
}

// Guards against a backoff that is not positive or exceeds its upper bound, which doubles up
// to maxBackoff.
func TestBackoffIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newTestClient(t, 0, newFakeHost(t, "ikeja"))
	for n := 1; n < 100; n++ {
		g.Expect(c.backoff(n)).To(And(BeNumerically(">", 0), BeNumerically("<=", min(maxBackoff, defaultBackoff<<min(n-1, 10)))), strconv.Itoa(n))
	}
}

// Guards against requests without the headers for the number of the try and for the
// environment, which a host would process as the first try or as one for production.
func TestTryAndEnvironmentAreSent(t *testing.T) {
	g := NewWithT(t)
	h := newFakeHost(t, "ikeja")
	var seen http.Header
	h.handle = func(_ http.ResponseWriter, r *http.Request, _ int64) bool {
		seen = r.Header.Clone()
		return false
	}
	c := newTestClient(t, 0, h)
	s := submission()
	s.Key = sesamedrift.NewKey(start, "ikeja")

	_, err := c.Submit(t.Context(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seen).NotTo(HaveKey(TryHeader))
	g.Expect(seen).NotTo(HaveKey(EnvironmentHeader))

	c.cfg.Environment = validator.Trial
	_, err = c.SubmitTry(t.Context(), s, 3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seen.Get(TryHeader)).To(Equal("3"))
	g.Expect(seen.Get(EnvironmentHeader)).To(Equal("trial"))
}

// Guards against sending a try below 1, a later try without the key of the first, or a
// submission for an environment whose name is misspelt.
func TestTryAndEnvironmentAreChecked(t *testing.T) {
	g := NewWithT(t)
	h := newFakeHost(t, "ikeja")
	c := newTestClient(t, 0, h)
	_, err := c.SubmitTry(t.Context(), submission(), 0)
	g.Expect(expectError[*sesamedrift.InvalidError](g, err).Field).To(Equal("try"))
	_, err = c.SubmitTry(t.Context(), submission(), 2)
	g.Expect(expectError[*sesamedrift.InvalidError](g, err).Field).To(Equal("key"))
	_, err = New(Config{Hosts: []string{h.URL}, Environment: "staging"})
	g.Expect(expectError[*sesamedrift.InvalidError](g, err).Field).To(Equal("environment"))
	g.Expect(h.submissions.Load()).To(BeZero())
}

// Guards against an order that is given up, although it may be sent again, when the connection to one
// host breaks, against a wrong method or path, and against an answer that is taken for an
// acknowledgement although the host has stored nothing.
func TestOrdersAreSentToTheNextHost(t *testing.T) {
	g := NewWithT(t)
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	var seen []string
	status := http.StatusOK
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = append(seen, r.Method+" "+r.URL.EscapedPath()+" "+r.Header.Get("Authorization")+" "+r.Header.Get(ChangedByHeader))
		w.Header().Set(HostHeader, "ikeja-1")
		reply(w, status, EvacuationResult{Domain: "lekki", Evacuated: r.Method == http.MethodPut, Version: 4})
	}))
	defer h.Close()
	c, err := New(Config{Hosts: []string{broken.URL, h.URL}, OperatorToken: "secret"})
	g.Expect(err).NotTo(HaveOccurred())
	result, err := c.Evacuate(t.Context(), "lekki", "ada")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal(EvacuationResult{Domain: "lekki", Evacuated: true, Version: 4}))
	status = http.StatusAccepted
	_, err = c.Restore(t.Context(), "a/b", "ada")
	_ = expectError[*LostError](g, err)
	g.Expect(seen).To(Equal([]string{
		"PUT /v1/domains/lekki/evacuation Bearer secret ada",
		"DELETE /v1/domains/a%2Fb/evacuation Bearer secret ada",
	}))
}
