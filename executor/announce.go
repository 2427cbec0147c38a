package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	stateServing = "serving"
	stateLeaving = "leaving"

	announceTimeout = time.Second
	// announcementsPerTTL leaves room for two lost announcements in a row.
	announcementsPerTTL = 3
)

// Announcement is the body of POST /v1/upstreams.
type Announcement struct {
	Upstream    string `json:"upstream"`
	Address     string `json:"address"`
	Service     string `json:"service"`
	Environment string `json:"environment,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	TTL         string `json:"ttl"`
}

func (e *Executor) announceUntil(ctx context.Context) {
	hc := &http.Client{Timeout: announceTimeout}
	defer hc.CloseIdleConnections()
	ticker := time.NewTicker(e.cfg.TTL / announcementsPerTTL)
	defer ticker.Stop()
	next := 0
	for {
		next = e.announceOnce(ctx, hc, next)
		select {
		case <-ticker.C:
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// announceOnce tries each host once, beginning with the one that took the last
// announcement, and returns the index of the host that took this one.
func (e *Executor) announceOnce(ctx context.Context, hc *http.Client, next int) int {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		panic("executor: announcement cannot be encoded: " + err.Error())
	}
	for i := range e.cfg.Hosts {
		n := (next + i) % len(e.cfg.Hosts)
		if post(ctx, hc, e.cfg.Hosts[n]+"/v1/upstreams", body) == nil {
			return n
		}
	}
	return next
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
		State:       e.state,
		TTL:         e.cfg.TTL.String(),
	}
}

func post(ctx context.Context, hc *http.Client, url string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := hc.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announce to %s: status %s", url, resp.Status)
	}
	return nil
}
