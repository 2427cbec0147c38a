// Package replayer plays a load against the deciding code of package placer, in simulated
// time and without input or output.
//
// A Script describes domains with upstreams, queues with arrivals, and troubles. All random
// choices depend on its seed, so that two runs with the same code are equal, and two ways of
// deciding see the same jobs with the same run times. Messages take the times that the
// script names; orders are not lost.
package replayer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Script is a load.
type Script struct {
	Name string `json:"name"`
	// Guards says which failure the script guards against.
	Guards string `json:"guards"`
	Seed   uint64 `json:"seed"`
	// Seconds is how long jobs arrive.
	Seconds float64 `json:"seconds"`
	// NearMS and FarMS are the times of a message within a domain and between two.
	NearMS   float64   `json:"near-ms"`
	FarMS    float64   `json:"far-ms"`
	Domains  []Domain  `json:"domains"`
	Queues   []Queue   `json:"queues"`
	Bursts   []Burst   `json:"bursts,omitempty"`
	Troubles []Trouble `json:"troubles,omitempty"`
}

// Domain is a failure domain with its callers.
type Domain struct {
	Name      string          `json:"name"`
	Upstreams []UpstreamGroup `json:"upstreams"`
	// PerSecond is the mean number of jobs; it swings by the share Swing with the period.
	PerSecond float64 `json:"per-second"`
	Swing     float64 `json:"swing"`
	Period    float64 `json:"period-s"`
	Phase     float64 `json:"phase"`
}

// UpstreamGroup is a number of equal upstreams.
type UpstreamGroup struct {
	Count int     `json:"count"`
	CPU   int64   `json:"cpu"`
	Kind  string  `json:"kind"`
	Speed float64 `json:"speed"`
}

// Spread is a distribution around a mean: log-normal with the given standard deviation of
// the logarithm, cut off at Most.
type Spread struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Most   float64 `json:"most"`
}

// Queue is a kind of jobs of one step.
type Queue struct {
	Name string `json:"name"`
	// Share is the part of the jobs that are of this kind, in relation to the other queues.
	Share    float64 `json:"share"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Slack    float64 `json:"slack"`
	TargetMS float64 `json:"target-ms"`
	// Worth is what a job of mean size in time is worth to its caller, LateWorth what it is
	// worth up to three times the objective.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late-worth"`
	// WaitMS is for how much longer than the objective callers wait.
	WaitMS Spread `json:"wait-ms"`
	Tasks  Spread `json:"tasks"`
	CPU    Spread `json:"cpu"`
	WorkMS Spread `json:"work-ms"`
	// Tail is the share of jobs whose tasks take TailFactor times as long.
	Tail       float64 `json:"tail"`
	TailFactor float64 `json:"tail-factor"`
	// Uneven is the spread of the tasks of one job, Estimate that of the callers' estimates.
	Uneven   float64 `json:"uneven"`
	Estimate float64 `json:"estimate"`
	// Fails is the share of runs that fail by themselves, Hopeless that of jobs that
	// always fail.
	Fails    float64 `json:"fails"`
	Hopeless float64 `json:"hopeless,omitempty"`
}

// Burst multiplies the arrivals of a queue, or of all if the name is empty.
type Burst struct {
	At     float64 `json:"at-s"`
	For    float64 `json:"for-s"`
	Queue  string  `json:"queue,omitempty"`
	Factor float64 `json:"factor"`
}

// TroubleKind is what goes wrong with upstreams.
type TroubleKind string

// The kinds of troubles.
const (
	// Slow upstreams take Factor times as long.
	Slow TroubleKind = "slow"
	// Failing upstreams fail all runs at once.
	Failing TroubleKind = "failing"
	// Hanging upstreams make no progress.
	Hanging TroubleKind = "hanging"
	// Dark upstreams answer nothing; what ran there is lost after the lease.
	Dark TroubleKind = "dark"
)

// Trouble befalls a number of upstreams of each domain, or of one.
type Trouble struct {
	Kind   TroubleKind `json:"kind"`
	At     float64     `json:"at-s"`
	For    float64     `json:"for-s"`
	Domain string      `json:"domain,omitempty"`
	Count  int         `json:"count"`
	Factor float64     `json:"factor,omitempty"`
}

// Parse decodes and checks a script.
func Parse(data []byte) (*Script, error) {
	var s Script
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("script cannot be read: %w", err)
	}
	switch {
	case s.Name == "" || s.Guards == "":
		return nil, fmt.Errorf("script %q: the name or what it guards against is missing", s.Name)
	case s.Seconds <= 0 || len(s.Domains) == 0 || len(s.Queues) == 0:
		return nil, fmt.Errorf("script %q: no time, no domain or no queue", s.Name)
	}
	return &s, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
