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
	// Values of Announcement.State.
	stateServing = "serving"
	stateLeaving = "leaving"

	// stateUnreachable is a value of announcer.states.
	stateUnreachable = "unreachable"

	announceTimeout = time.Second
	// maxErrorBody bounds the bytes that are read of the body of an error answer.
	maxErrorBody = 64 << 10
	// announcementsPerTTL is large enough that an announcement does not expire if the next
	// two are lost.
	announcementsPerTTL = 3
)

// Announcement is the body of POST /v1/upstreams, with which an upstream registers at a host.
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

// announcer sends the announcements of an executor and logs whether hosts accept them.
type announcer struct {
	*Executor
	hc *http.Client
	// current is the index in Config.Hosts of the host that accepted the last announcement.
	current int
	// states holds the last result by host: empty for accepted, stateUnreachable, or the code
	// of the error. Error texts are not stored, since they may contain port numbers that
	// change.
	states map[string]string
}

// announceUntil sends announcements periodically, and at once on announceNow, until ctx ends.
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
		case <-e.announceNow:
		case <-ctx.Done():
			return
		}
	}
}

// announceOnce sends one announcement. It tries each host once, beginning with the one that
// accepted the last announcement, until one accepts it.
func (a *announcer) announceOnce(ctx context.Context) {
	body, err := json.Marshal(a.announcement())
	if err != nil {
		panic("executor: announcement cannot be encoded: " + err.Error())
	}
	for i := range a.cfg.Hosts {
		n := (a.current + i) % len(a.cfg.Hosts)
		err := post(ctx, a.hc, a.cfg.Hosts[n], body)
		if ctx.Err() != nil {
			return
		}
		a.logState(ctx, a.cfg.Hosts[n], err)
		if err == nil {
			a.current = n
			return
		}
	}
}

// logState logs the result of an announcement to a host if it differs from the previous one.
func (a *announcer) logState(ctx context.Context, host string, err error) {
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

// post sends an announcement to a host. If the answer is not a success, the error is a
// *client.APIError.
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
		// The answer is not from a host, but for example from a proxy.
		api.Code, api.Message = client.Code(strconv.Itoa(resp.StatusCode)), resp.Status
	}
	return api
}
