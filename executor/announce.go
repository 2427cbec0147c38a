package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	stateServing = "serving"
	stateLeaving = "leaving"

	stateUnreachable = "unreachable"

	announceTimeout = time.Second
	// maxErrorBody bounds what is read of an answer that is an error.
	maxErrorBody = 64 << 10
	// announcementsPerTTL leaves room for two lost announcements in a row.
	announcementsPerTTL = 3
)

// Announcement is the body of POST /v1/upstreams.
type Announcement struct {
	Upstream    string                `json:"upstream"`
	Address     string                `json:"address"`
	Service     string                `json:"service"`
	Environment string                `json:"environment,omitempty"`
	Incarnation uint64                `json:"incarnation"`
	Slots       int                   `json:"slots"`
	Connections int                   `json:"connections"`
	Capacity    sesamedrift.Resources `json:"capacity,omitzero"`
	State       string                `json:"state"`
	TTL         string                `json:"ttl"`
}

// announcer sends the announcements of an executor and logs what becomes of them.
type announcer struct {
	*Executor
	hc *http.Client
	// next is the index of the host that took the last announcement.
	next int
	// states holds the last state at each host: empty for accepted, unreachable, or the code
	// of the error. Reasons are not compared, since they may contain changing ports.
	states map[string]string
}

func (e *Executor) announceUntil(ctx context.Context) {
	a := announcer{
		Executor: e,
		hc:       &http.Client{Timeout: announceTimeout},
		states:   map[string]string{},
	}
	defer a.hc.CloseIdleConnections()
	ticker := time.NewTicker(e.cfg.TTL / announcementsPerTTL)
	defer ticker.Stop()
	for {
		a.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// announceOnce tries each host once, beginning with the one that took the last
// announcement, until one takes this one.
func (a *announcer) announceOnce(ctx context.Context) {
	body, err := json.Marshal(a.announcement())
	if err != nil {
		panic("executor: announcement cannot be encoded: " + err.Error())
	}
	for i := range a.cfg.Hosts {
		n := (a.next + i) % len(a.cfg.Hosts)
		err := post(ctx, a.hc, a.cfg.Hosts[n], body)
		if ctx.Err() != nil {
			return
		}
		a.note(ctx, a.cfg.Hosts[n], err)
		if err == nil {
			a.next = n
			return
		}
	}
}

// note logs the state of a host if it has changed.
func (a *announcer) note(ctx context.Context, host string, err error) {
	state := ""
	var api *client.APIError
	switch {
	case errors.As(err, &api):
		state = string(api.Code)
	case err != nil:
		state = stateUnreachable
	}
	if a.states[host] == state {
		return
	}
	a.states[host] = state
	if err == nil {
		reporter.Log(ctx, a.cfg.Log, reporter.AnnouncementAccepted, "upstream", a.cfg.ID, "host", host)
		return
	}
	reporter.Log(ctx, a.cfg.Log, reporter.AnnouncementRejected, "upstream", a.cfg.ID, "host", host, "reason", err.Error())
}

func (e *Executor) announcement() Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Announcement{
		Upstream:    e.cfg.ID,
		Address:     e.Address(),
		Service:     e.cfg.Service,
		Environment: e.cfg.Environment,
		Incarnation: e.cfg.Incarnation,
		Slots:       e.cfg.Slots,
		Connections: e.cfg.Connections,
		Capacity:    e.cfg.Capacity,
		State:       e.state,
		TTL:         e.cfg.TTL.String(),
	}
}

// post sends an announcement. An answer that is not a success is a *client.APIError.
func post(ctx context.Context, hc *http.Client, host string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/upstreams", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := hc.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	api := &client.APIError{
		Host:   host,
		Status: resp.StatusCode,
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(api) != nil || api.Code == "" {
		// The answer does not come from a host, but from something in between.
		api.Code, api.Message = client.Code(strconv.Itoa(resp.StatusCode)), resp.Status
	}
	return api
}
