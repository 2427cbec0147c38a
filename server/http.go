package server

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxControlBody bounds the body of announcements and environment documents, in bytes.
	maxControlBody = 1 << 20
	// defaultMaxBody bounds the body of submissions while no document is active, in bytes.
	defaultMaxBody = 8 << 20
)

func (h *Host) routes() http.Handler {
	r := mux.NewRouter()
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/submissions", h.postSubmission).Methods(http.MethodPost)
	v1.HandleFunc("/submissions/{key}", h.getSubmission).Methods(http.MethodGet)
	v1.HandleFunc("/submissions/{key}", h.deleteSubmission).Methods(http.MethodDelete)
	v1.HandleFunc("/upstreams", h.postUpstream).Methods(http.MethodPost)
	v1.HandleFunc("/environments/production/promote", h.requireOperator(h.postPromote)).Methods(http.MethodPost)
	v1.HandleFunc("/environments/{name}", h.getEnvironment).Methods(http.MethodGet)
	v1.HandleFunc("/environments/{name}", h.requireOperator(h.putEnvironment)).Methods(http.MethodPut)
	v1.HandleFunc("/environments/{name}/history", h.getHistory).Methods(http.MethodGet)
	v1.HandleFunc("/domains", h.getDomains).Methods(http.MethodGet)
	v1.HandleFunc("/domains/history", h.getDomainHistory).Methods(http.MethodGet)
	v1.HandleFunc("/domains/{name}/evacuation", h.requireOperator(h.putEvacuation)).Methods(http.MethodPut)
	v1.HandleFunc("/domains/{name}/evacuation", h.requireOperator(h.deleteEvacuation)).Methods(http.MethodDelete)
	v1.HandleFunc("/status", h.getStatus).Methods(http.MethodGet)
	v1.HandleFunc("/ready", h.getReady).Methods(http.MethodGet)
	r.Handle("/metrics", h.metrics.Handler).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFound("no such path: "+r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{
			Status:  http.StatusMethodNotAllowed,
			Code:    "method-not-allowed",
			Message: r.Method + " is not offered on " + r.URL.Path,
		})
	})
	// The headers are set outside the router, since it calls its middleware only for requests that
	// match a route.
	return h.withHostHeaders(r)
}

func (h *Host) withHostHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(client.DomainHeader, h.cfg.Settings.Domain)
		w.Header().Set(client.HostHeader, h.cfg.Settings.Host)
		next.ServeHTTP(w, r)
	})
}

// requireOperator rejects requests without the operator token. If the settings have no operator token,
// all requests are accepted.
func (h *Host) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		want := h.cfg.Settings.OperatorToken
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if want != "" && subtle.ConstantTimeCompare([]byte(want), []byte(given)) != 1 {
			writeError(w, &Error{
				Status:  http.StatusUnauthorized,
				Code:    "unauthorized",
				Message: "the operator token is missing or wrong",
			})
			return
		}
		next(w, r)
	}
}

// submissionBody is the body of POST /v1/submissions.
type submissionBody struct {
	Service         string   `json:"service"`
	Kind            string   `json:"kind"`
	Team            string   `json:"team"`
	Timeout         string   `json:"timeout"`
	DeclaredRunTime string   `json:"declared-run-time"`
	Tasks           [][]byte `json:"tasks"`
}

func (h *Host) postSubmission(w http.ResponseWriter, r *http.Request) {
	h.inFlight.begin()
	defer h.inFlight.end()
	if err := h.checkReady(); err != nil {
		writeError(w, err)
		return
	}
	req, err := h.readSubmission(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := h.submit(r.Context(), req)
	w.Header().Set(sesamedrift.KeyHeader, req.Submission.Key.String())
	w.Header().Set(sesamedrift.KeyCreatedHeader, req.Submission.Key.Created.Format(time.RFC3339Nano))
	writeResponse(w, o, err)
}

func (h *Host) readSubmission(w http.ResponseWriter, r *http.Request) (*request, *Error) {
	environment := r.Header.Get(client.EnvironmentHeader)
	if environment == "" {
		environment = validator.Production
	}
	var body submissionBody
	if err := readJSON(w, r, h.maxBody(environment), &body); err != nil {
		return nil, err
	}
	req := &request{
		Environment: environment,
		Try:         firstTry,
		Submission: sesamedrift.Submission{
			Service:  body.Service,
			Kind:     body.Kind,
			Team:     body.Team,
			Payloads: body.Tasks,
		},
	}
	if err := readOptions(&body, r, h.now(), req); err != nil {
		return nil, err
	}
	return req, nil
}

func readOptions(body *submissionBody, r *http.Request, now time.Time, req *request) *Error {
	if body.Timeout != "" {
		timeout, err := time.ParseDuration(body.Timeout)
		if err != nil || timeout <= 0 || timeout > validator.MaxTimeout {
			return badField(&sesamedrift.InvalidError{
				Field: "timeout",
				Value: body.Timeout,
				Want:  "a duration above 0s and at most " + validator.MaxTimeout.String() + ", such as \"800ms\"",
			})
		}
		req.Submission.Deadline = now.Add(timeout)
	}
	if body.DeclaredRunTime != "" {
		declared, err := time.ParseDuration(body.DeclaredRunTime)
		if err != nil || declared < 0 {
			return badField(&sesamedrift.InvalidError{
				Field: "declared-run-time",
				Value: body.DeclaredRunTime,
				Want:  "a duration of 0s or more, such as \"100ms\"",
			})
		}
		req.Submission.DeclaredRunTime = declared
	}
	if text := r.Header.Get(client.TryHeader); text != "" {
		try, err := strconv.Atoi(text)
		if err != nil || try < firstTry {
			return badField(&sesamedrift.InvalidError{
				Field: client.TryHeader,
				Value: text,
				Want:  "a whole number of 1 or more",
			})
		}
		req.Try = try
	}
	if text := r.Header.Get(sesamedrift.KeyHeader); text != "" {
		key, err := sesamedrift.ParseKey(text, r.Header.Get(sesamedrift.KeyCreatedHeader))
		if err != nil {
			return asBadField(err)
		}
		req.Submission.Key = key
	}
	return nil
}

func (h *Host) readKeyAndTry(r *http.Request) (sesamedrift.Key, int, *Error) {
	key, err := sesamedrift.ParseKey(mux.Vars(r)["key"], r.URL.Query().Get("created"))
	if err != nil {
		return sesamedrift.Key{}, 0, asBadField(err)
	}
	try := firstTry
	if text := r.URL.Query().Get("try"); text != "" {
		if try, err = strconv.Atoi(text); err != nil || try < firstTry {
			return sesamedrift.Key{}, 0, badField(&sesamedrift.InvalidError{
				Field: "try",
				Value: text,
				Want:  "a whole number of 1 or more",
			})
		}
	}
	return key, try, nil
}

func (h *Host) getSubmission(w http.ResponseWriter, r *http.Request) {
	key, try, err := h.readKeyAndTry(r)
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := h.find(r.Context(), key, try)
	writeResponse(w, o, err)
}

func (h *Host) deleteSubmission(w http.ResponseWriter, r *http.Request) {
	key, try, err := h.readKeyAndTry(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := h.cancelByKey(r.Context(), key, try); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]string{"key": key.String()})
}

func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.checkReady(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"ready":  true,
		"domain": h.cfg.Settings.Domain,
		"host":   h.cfg.Settings.Host,
	})
}

func asBadField(err error) *Error {
	var invalid *sesamedrift.InvalidError
	if errors.As(err, &invalid) {
		return badField(invalid)
	}
	return badRequest(err.Error())
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Error{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    "too-large",
			Message: "the body is longer than " + strconv.FormatInt(limit, 10) + " bytes",
		}
	case err != nil:
		return nil, badRequest("the body could not be read: " + err.Error())
	}
	return body, nil
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) *Error {
	body, e := readBody(w, r, limit)
	if e != nil {
		return e
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badRequest("the body is not accepted: " + err.Error())
	}
	if d.More() {
		return badRequest("the body has text after the JSON value")
	}
	return nil
}

func writeResponse(w http.ResponseWriter, o sesamedrift.Outcome, e *Error) {
	if e != nil {
		writeError(w, e)
		return
	}
	w.Header().Set(client.OutcomeHeader, string(o.Status))
	setRetryAfter(w, o.RetryAfter)
	writeJSON(w, o.Status.HTTPStatus(), o)
}

func writeError(w http.ResponseWriter, e *Error) {
	setRetryAfter(w, e.RetryAfter)
	writeJSON(w, e.Status, e)
}

func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("server: response cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(append(body, '\n'))
}
