// Package replayer simulates the placing of tasks under a scripted load: it drives the code of
// package placer in simulated time, without input or output, to compare placing policies and
// topologies.
//
// A Script describes domains with upstreams, queues with arrivals, and faults. All random choices
// depend on its seed, so that two replays with the same code have the same result, and replays under
// different Options get the same jobs with the same run times. Messages take the latencies that the
// script sets and are not lost.
package replayer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Script is a load with faults; Parse reads one.
type Script struct {
	Name string `json:"name"`
	// GuardsAgainst says which failure the script guards against and how it comes about. It must not
	// be empty.
	GuardsAgainst string `json:"guards"`
	Seed          uint64 `json:"seed"`
	// DurationSeconds is the time during which jobs arrive.
	DurationSeconds float64 `json:"seconds"`
	// IntraDomainLatencyMS and InterDomainLatencyMS are the one-way latencies of messages within a
	// domain and between two domains.
	IntraDomainLatencyMS float64 `json:"near-ms"`
	InterDomainLatencyMS float64 `json:"far-ms"`
	// CallerLatencyMS is the one-way latency between callers and their entry host, which no host knows.
	CallerLatencyMS float64  `json:"caller-ms,omitempty"`
	Domains         []Domain `json:"domains"`
	Queues          []Queue  `json:"queues"`
	Bursts          []Burst  `json:"bursts,omitempty"`
	Faults          []Fault  `json:"troubles,omitempty"`
}

// Domain is a failure domain with its upstreams and the arrivals of its callers.
type Domain struct {
	Name      string          `json:"name"`
	Upstreams []UpstreamGroup `json:"upstreams"`
	// JobsPerSecond is the mean arrival rate. The rate is a sine around it: RateAmplitude is the
	// amplitude as a share of the mean, Period is in seconds, and Phase is a share of the period. A
	// Period of 0 makes the rate constant.
	JobsPerSecond float64 `json:"per-second"`
	RateAmplitude float64 `json:"swing"`
	Period        float64 `json:"period-s"`
	Phase         float64 `json:"phase"`
}

// UpstreamGroup is a number of identical upstreams. CPU is their capacity in thousandths of a core,
// Kind their type of worker and Speed their speed relative to the run times of the script.
type UpstreamGroup struct {
	Count int     `json:"count"`
	CPU   int64   `json:"cpu"`
	Kind  string  `json:"kind"`
	Speed float64 `json:"speed"`
}

// Distribution is a log-normal distribution. Sigma is the standard deviation of the logarithm.
// Values above Max are replaced by Max; a Max of 0 sets no limit. Mean is the mean without the limit.
type Distribution struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"spread"`
	Max   float64 `json:"most"`
}

// Queue describes the jobs of one queue. Each has one step.
type Queue struct {
	Name string `json:"name"`
	// Share is the weight of this queue among all queues in the arrivals of a domain.
	Share    float64 `json:"share"`
	Priority int     `json:"priority"`
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts int `json:"attempts"`
	// The objective of a job, the time within which it should end, is Slack times the longest run
	// time of its tasks plus TargetMS.
	Slack    float64 `json:"slack"`
	TargetMS float64 `json:"target-ms"`
	// Value is the value of a job of mean size that ends within its objective, LateValue that of
	// one that ends within three times its objective.
	Value     float64 `json:"worth"`
	LateValue float64 `json:"late-worth"`
	// WaitMS is how long callers wait after the objective has passed.
	WaitMS    Distribution `json:"wait-ms"`
	Tasks     Distribution `json:"tasks"`
	CPU       Distribution `json:"cpu"`
	RunTimeMS Distribution `json:"work-ms"`
	// TailShare is the share of jobs whose tasks take TailFactor times as long, up to the maximum
	// of RunTimeMS.
	TailShare  float64 `json:"tail"`
	TailFactor float64 `json:"tail-factor"`
	// TaskSigma is the standard deviation of the logarithm of the run times within a job,
	// EstimateSigma that of the callers' estimates.
	TaskSigma     float64 `json:"uneven"`
	EstimateSigma float64 `json:"estimate"`
	// FailureShare is the share of runs that fail on a healthy upstream, AlwaysFailShare the share
	// of jobs all of whose runs fail.
	FailureShare    float64 `json:"fails"`
	AlwaysFailShare float64 `json:"hopeless,omitempty"`
}

// Burst multiplies the arrival rate of one queue, or of all queues if Queue is empty, by Factor.
type Burst struct {
	At              float64 `json:"at-s"`
	DurationSeconds float64 `json:"for-s"`
	Queue           string  `json:"queue,omitempty"`
	Factor          float64 `json:"factor"`
}

// FaultKind is a kind of fault of upstreams.
type FaultKind string

// The kinds of faults.
const (
	// Slow makes runs take Fault.Factor times as long.
	Slow FaultKind = "slow"
	// Failing makes every run fail after a quarter of its run time.
	Failing FaultKind = "failing"
	// Hanging makes runs stall.
	Hanging FaultKind = "hanging"
	// Unresponsive makes upstreams answer nothing; their runs are lost when the lease expires.
	Unresponsive FaultKind = "dark"
)

// Fault is a fault of Count upstreams of one domain, or of Count upstreams of each domain if Domain
// is empty. At is in seconds.
type Fault struct {
	Kind            FaultKind `json:"kind"`
	At              float64   `json:"at-s"`
	DurationSeconds float64   `json:"for-s"`
	Domain          string    `json:"domain,omitempty"`
	Count           int       `json:"count"`
	Factor          float64   `json:"factor,omitempty"`
}

// Parse decodes a script from JSON. It is an error if the name, the text of guards, the duration,
// the domains or the queues are missing.
func Parse(data []byte) (*Script, error) {
	var s Script
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode script: %w", err)
	}
	switch {
	case s.Name == "" || s.GuardsAgainst == "":
		return nil, fmt.Errorf("script %q: want `name` and `guards` to be set", s.Name)
	case s.DurationSeconds <= 0 || len(s.Domains) == 0 || len(s.Queues) == 0:
		return nil, fmt.Errorf("script %q: want `seconds` above 0 and at least one domain and one queue", s.Name)
	}
	return &s, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
