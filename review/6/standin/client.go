package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The names of the queue and the service that the operator's document has.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
	// resendTime is resend_ms of the settings.
	resendTime = 1300 * time.Millisecond
)

// document returns the operator's document.
func document(version int, guards bool, targetMS int) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name":              "r-3hwrr6x",
			"host":              queueHost,
			"path_prefix":       queuePrefix,
			"kind":              "non_idempotent",
			"timeout_ms":        1500,
			"target_latency_ms": targetMS,
			"priority":          0,
			"service":           serviceName,
			"max_attempts":      3,
			"slack_factor":      1.6,
		}},
		"services": []map[string]any{{
			"name":              serviceName,
			"health_path":       "/healthz",
			"max_conns":         64,
			"protocol":          "h1",
			"tls":               false,
			"enforces_capacity": guards,
			"standby":           false,
		}},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	})
	if err != nil {
		panic("the document cannot be encoded: " + err.Error())
	}
	return body
}

// publish sends the document to one control host after the other until it is acknowledged, or returns false after a time.
func (d *deployment) publish(body []byte, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		address := d.controlAddresses()[i%len(d.controls)]
		status, _ := exchange(client, http.MethodPost, "http://"+address+"/sesamedrift/Config.Replace", "", body, 0)
		d.rec.add("operator sends the document to %s: %s", address, statusText(status))
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// exchange sends a request and returns the status and the body of the response; the status is 0 without a response.
func exchange(client *http.Client, method, url, hostName string, body []byte, wait time.Duration) (int, string) {
	ctx := context.Background()
	if wait > 0 {
		limited, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		ctx = limited
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", "application/json")
	if hostName != "" {
		req.Host = hostName
	}
	if wait > 0 {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return strconv.Itoa(status)
}

// jobSpec describes the jobs of a client.
type jobSpec struct {
	count    int
	work     work
	estimate int64
	wait     time.Duration
	// retries is how often the client sends a job again after no response, a broken channel, 502 or 504.
	retries int
	// layers, if it is set, makes a job of so many layers, each of count steps with one task. A step depends on all steps of
	// the layer before.
	layers int
}

// smallJob is a job of one short task.
var smallJob = jobSpec{
	count: 1,
	work: work{
		CPU: 1000,
		MS:  100,
	},
	estimate: 100,
	wait:     1500 * time.Millisecond,
}

// newJobID returns the identifier of a new job.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// body returns the job on the wire.
func (s jobSpec) body() []byte {
	content, err := json.Marshal(s.work)
	if err != nil {
		panic("a job cannot be encoded: " + err.Error())
	}
	step := map[string]any{
		"count":       s.count,
		"cpu":         s.work.CPU,
		"mem_mb":      64,
		"estimate_ms": s.estimate,
	}
	if s.work.Requires != "" {
		step["requires"] = s.work.Requires
	}
	steps := []any{step}
	if s.layers > 0 {
		steps = s.layeredSteps()
	}
	body, err := json.Marshal(map[string]any{
		"spec":        string(content),
		"best_effort": true,
		"steps":       steps,
	})
	if err != nil {
		panic("a job cannot be encoded: " + err.Error())
	}
	return body
}

// layeredSteps returns the steps of a job with layers.
func (s jobSpec) layeredSteps() []any {
	steps := make([]any, 0, s.layers*s.count)
	for layer := range s.layers {
		for range s.count {
			step := map[string]any{
				"count":       1,
				"cpu":         s.work.CPU,
				"mem_mb":      64,
				"estimate_ms": s.estimate,
			}
			if layer > 0 {
				before := make([]int, 0, s.count)
				for i := range s.count {
					before = append(before, (layer-1)*s.count+i)
				}
				step["depends_on"] = before
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// submit sends a job over a channel of its own, and again as the pages say. It returns the statuses of the attempts.
func (d *deployment) submit(id string, s jobSpec, at int) []int {
	var statuses []int
	for attempt := range s.retries + 1 {
		h := d.entries[(at+attempt)%len(d.entries)]
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		d.rec.add("client sends job %s to %s, attempt %d", id, h.name, attempt+1)
		status, answer := exchange(client, http.MethodPost, "http://"+h.front()+queuePrefix+id, queueHost, s.body(), s.wait)
		d.rec.add("client has job %s from %s: %s %s", id, h.name, statusText(status), answer)
		statuses = append(statuses, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendTime)
	}
	return statuses
}
