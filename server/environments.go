package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	defaultHistory = 50
	maxHistory     = 1000
	// environmentNames lists the valid environments in errors.
	environmentNames = "one of " + validator.Trial + ", " + validator.Production
)

// toAuditEntry converts an audit entry to the type of the HTTP interface.
func toAuditEntry(a registrar.AuditEntry) client.AuditEntry {
	return client.AuditEntry{
		Register: a.Register,
		ID:       a.ID,
		Who:      a.Who,
		Version:  a.Version,
		Digest:   a.Digest,
		At:       a.ReceivedAt,
		Outcome:  a.Outcome,
	}
}

// changeOptions holds the headers of a request that changes a document.
type changeOptions struct {
	id              string
	who             string
	expectedVersion uint64
}

func readChangeOptions(r *http.Request) (changeOptions, *Error) {
	o := changeOptions{
		id:  r.Header.Get(client.ChangeIDHeader),
		who: r.Header.Get(client.ChangedByHeader),
	}
	var problems []validator.Problem
	if o.id == "" {
		problems = append(problems, validator.Problem{
			Path:    client.ChangeIDHeader,
			Message: "want an identifier, unique for each change; the same when a change is sent again",
		})
	}
	if o.who == "" {
		problems = append(problems, validator.Problem{
			Path:    client.ChangedByHeader,
			Message: "want the name of the operator",
		})
	}
	text := r.Header.Get(client.ExpectedVersionHeader)
	expected, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		problems = append(problems, validator.Problem{
			Path:    client.ExpectedVersionHeader,
			Value:   text,
			Message: "want the version that the change replaces, 0 for the first",
		})
	}
	o.expectedVersion = expected
	if len(problems) > 0 {
		return o, badRequest("the headers of the change are not accepted", problems...)
	}
	return o, nil
}

func environmentName(r *http.Request) (string, *Error) {
	name := mux.Vars(r)["name"]
	if name != validator.Trial && name != validator.Production {
		unknown := &sesamedrift.InvalidError{Field: "environment", Value: name, Want: environmentNames}
		return "", notFound(unknown.Error())
	}
	return name, nil
}

func (h *Host) putEnvironment(w http.ResponseWriter, r *http.Request) {
	name, e := environmentName(r)
	if e != nil {
		writeError(w, e)
		return
	}
	options, e := readChangeOptions(r)
	if e != nil {
		writeError(w, e)
		return
	}
	body, e := readBody(w, r, maxControlBody)
	if e != nil {
		writeError(w, e)
		return
	}
	value, e := checkDocument(name, body)
	if e != nil {
		writeError(w, e)
		return
	}
	h.changeEnvironment(w, r, name, options, value)
}

// checkDocument returns the document in its canonical form, or an error that lists every problem of
// the document.
func checkDocument(name string, body []byte) ([]byte, *Error) {
	document, err := validator.ParseEnvironment(body)
	if err != nil {
		return nil, documentError(err)
	}
	if document.Name != name {
		return nil, badRequest("the document is of another environment", validator.Problem{
			Path:    "$.name",
			Value:   document.Name,
			Message: "want " + name,
		})
	}
	value, err := validator.Canonical(body)
	if err != nil {
		return nil, documentError(err)
	}
	return value, nil
}

// changeEnvironment changes the register of an environment, publishes the new document if the change
// is accepted, and writes the response.
func (h *Host) changeEnvironment(w http.ResponseWriter, r *http.Request, name string, o changeOptions, value []byte) {
	result, err := h.changeRegister(r.Context(), registrar.Change{
		Register: environmentPrefix + name,
		ID:       o.id,
		Who:      o.who,
		Expected: o.expectedVersion,
		Value:    value,
	})
	if err != nil {
		writeError(w, notReady("the change was not decided: "+err.Error()+"; send it again with the same "+client.ChangeIDHeader))
		return
	}
	response := client.ChangeResult{
		Status:    client.ChangeStatus(result.Status),
		Version:   result.Version,
		Digest:    result.Digest,
		InForceOn: []string{},
	}
	reporter.Log(r.Context(), h.log, reporter.ConfigurationChanged,
		"environment", name, "who", o.who, "id", o.id, "status", result.Status, "version", result.Version)
	switch result.Status {
	case registrar.Accepted:
		response.InForceOn = h.publishEntry(r.Context(), registrar.Entry{
			Register: environmentPrefix + name,
			Version:  result.Version,
			Value:    value,
			Digest:   result.Digest,
		})
		slices.Sort(response.InForceOn)
		writeJSON(w, http.StatusOK, response)
	case registrar.Conflict:
		winner := toAuditEntry(result.Winner)
		response.Winner = &winner
		writeJSON(w, http.StatusConflict, response)
	case registrar.Unavailable:
		writeJSON(w, http.StatusServiceUnavailable, response)
	default:
		panic("server: change status " + string(result.Status) + " is not known")
	}
}

func (h *Host) getEnvironment(w http.ResponseWriter, r *http.Request) {
	name, e := environmentName(r)
	if e != nil {
		writeError(w, e)
		return
	}
	register := environmentPrefix + name
	entry := h.entries.Get(register)
	if entry.Version == 0 {
		writeError(w, notFound("no document of the environment "+name+" is in force on this host"))
		return
	}
	response := client.EnvironmentState{
		Version:   entry.Version,
		Digest:    entry.Digest,
		Document:  entry.Value,
		InForceOn: []string{h.cfg.Settings.Host},
	}
	for host, s := range h.collectStatus(r.Context()) {
		if s.Versions[register] >= entry.Version {
			response.InForceOn = append(response.InForceOn, host)
		}
	}
	slices.Sort(response.InForceOn)
	writeJSON(w, http.StatusOK, response)
}

func (h *Host) getHistory(w http.ResponseWriter, r *http.Request) {
	name, e := environmentName(r)
	if e != nil {
		writeError(w, e)
		return
	}
	h.writeHistory(w, r, environmentPrefix+name)
}

// writeHistory writes the entries of a register's audit trail for which the request asks.
func (h *Host) writeHistory(w http.ResponseWriter, r *http.Request, register string) {
	after, e := queryNumber(r, "after", 0)
	if e != nil {
		writeError(w, e)
		return
	}
	limit, e := queryNumber(r, "limit", defaultHistory)
	if e != nil {
		writeError(w, e)
		return
	}
	entries, err := h.registerHistory(r.Context(), register, after, int(min(limit, maxHistory)))
	if err != nil {
		writeError(w, notReady(err.Error()))
		return
	}
	records := make([]client.AuditEntry, 0, len(entries))
	for _, a := range entries {
		records = append(records, toAuditEntry(a))
	}
	writeJSON(w, http.StatusOK, records)
}

func queryNumber(r *http.Request, name string, defaultValue uint64) (uint64, *Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badField(&sesamedrift.InvalidError{
			Field: name,
			Value: text,
			Want:  "a whole number of 0 or more",
		})
	}
	return n, nil
}

func (h *Host) postPromote(w http.ResponseWriter, r *http.Request) {
	options, e := readChangeOptions(r)
	if e != nil {
		writeError(w, e)
		return
	}
	entry, err := h.readRegister(r.Context(), environmentPrefix+validator.Trial)
	switch {
	case err != nil:
		writeError(w, notReady("the trial document could not be read: "+err.Error()))
		return
	case entry.Version == 0:
		writeError(w, notFound("there is no trial document"))
		return
	}
	h.applyEntry(entry)
	if e := h.checkPromotable(r.Context(), entry); e != nil {
		writeError(w, e)
		return
	}
	value, e := asProduction(entry.Value)
	if e != nil {
		writeError(w, e)
		return
	}
	h.changeEnvironment(w, r, validator.Production, options, value)
}

// asProduction returns the trial document with the name of the production environment, in canonical
// form.
func asProduction(trial []byte) ([]byte, *Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(trial, &fields); err != nil {
		return nil, documentError(err)
	}
	fields["name"] = json.RawMessage(`"` + validator.Production + `"`)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, documentError(err)
	}
	return checkDocument(validator.Production, body)
}

// checkPromotable checks the promotion conditions of the trial document. The submissions are counted
// over this host and all peers that answer; the age of the version is that on this host.
func (h *Host) checkPromotable(ctx context.Context, entry registrar.Entry) *Error {
	document, err := validator.ParseEnvironment(entry.Value)
	if err != nil {
		return documentError(err)
	}
	total := h.trials.count(entry.Version)
	for _, s := range h.collectStatus(ctx) {
		if s.Trial.Version == entry.Version {
			total.add(s.Trial)
		}
	}
	p := document.Promotion
	var problems []validator.Problem
	if total.Ended < p.MinSubmissions {
		problems = append(problems, validator.Problem{
			Path:    "$.promotion.min-submissions",
			Value:   strconv.Itoa(total.Ended),
			Message: fmt.Sprintf("want %d submissions that ended under this version", p.MinSubmissions),
		})
	}
	if share := total.share(); share < p.MinSuccessShare {
		problems = append(problems, validator.Problem{
			Path:    "$.promotion.min-success-share",
			Value:   strconv.FormatFloat(share, 'f', 3, 64),
			Message: fmt.Sprintf("want a share of %.3f that were complete", p.MinSuccessShare),
		})
	}
	active := h.documents.get(validator.Trial)
	if active == nil || active.Version != entry.Version || h.now().Sub(active.Since) < p.MinAge.Std() {
		problems = append(problems, validator.Problem{
			Path:    "$.promotion.min-age",
			Message: "want the version in force on this host for " + p.MinAge.Std().String(),
		})
	}
	if len(problems) > 0 {
		return &Error{
			Status:   http.StatusConflict,
			Code:     "not-promotable",
			Message:  "the trial document may not be promoted yet",
			Problems: problems,
		}
	}
	return nil
}

// trials counts the submissions that ended under the newest trial document. It is safe for concurrent
// use.
type trials struct {
	mu    sync.Mutex
	total trialCount
}

// trialCount is the number of submissions that ended under one version of the trial document, and the
// number of those with the outcome "complete".
type trialCount struct {
	Version  uint64 `msgpack:"version" json:"version"`
	Ended    int    `msgpack:"ended" json:"ended"`
	Complete int    `msgpack:"complete" json:"complete"`
}

func (t *trialCount) add(o trialCount) {
	t.Ended += o.Ended
	t.Complete += o.Complete
}

// share returns the share of complete submissions, from 0 to 1. It is 0 if none has ended.
func (t *trialCount) share() float64 {
	if t.Ended == 0 {
		return 0
	}
	return float64(t.Complete) / float64(t.Ended)
}

// record counts a submission that ended under a version of the trial document. A newer version resets
// the counts; submissions of older versions are ignored.
func (t *trials) record(version uint64, o sesamedrift.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.total.Version {
		return
	}
	if version > t.total.Version {
		t.total = trialCount{Version: version}
	}
	t.total.Ended++
	if o.Status == sesamedrift.Complete {
		t.total.Complete++
	}
}

// count returns the counts of a version. They are zero if no submission has ended under it.
func (t *trials) count(version uint64) trialCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total.Version != version {
		return trialCount{Version: version}
	}
	return t.total
}

func documentError(err error) *Error {
	var problems *validator.ProblemsError
	if errors.As(err, &problems) {
		return badRequest("the document is not accepted", problems.Problems...)
	}
	return badRequest("the document is not accepted: " + err.Error())
}

// collectStatus requests the status of every peer concurrently. It returns the status of those that
// answer within exchangeTimeout, by host.
func (h *Host) collectStatus(ctx context.Context) map[string]hostStatus {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	statuses := map[string]hostStatus{}
	for _, p := range h.cfg.Settings.Peers {
		calls.Go(func() {
			s, err := callPeer[hostStatus](ctx, h, p.Host, messenger.KindStatus, empty{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[p.Host] = s
		})
	}
	calls.Wait()
	return statuses
}
