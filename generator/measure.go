package generator

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/server"
)

const (
	// ratioUnit is the number of histogram units for a ratio of 1.
	ratioUnit = 10000
	// histogramDigits is the number of significant decimal digits of the histograms.
	histogramDigits = 3
	maxRecorded     = int64(time.Hour / time.Microsecond)
	// expiredReason is the start of the reason with which a host refuses a job that it admitted
	// but whose deadline passed in the queue. The reason of a refusal on arrival starts alike,
	// but also names the estimate.
	expiredReason = "not run: the deadline cannot be met"
)

// Result is the result of one run of a scenario under one policy.
type Result struct {
	Scenario     string           `json:"scenario"`
	Policy       scheduler.Policy `json:"policy"`
	Seed         uint64           `json:"seed"`
	Slots        int              `json:"slots"`
	Measurements []Measurement    `json:"figures"`
	Phases       []PhaseResult    `json:"phases"`
	Audit        Audit            `json:"audit"`
}

// PhaseResult is the result of one phase. Counts of jobs cover only the arrivals after the
// warm-up.
type PhaseResult struct {
	Name string `json:"name"`
	// Load is the configured mean of the offered work as a multiple of the capacity; Offered is
	// that of the arrivals that were generated.
	Load     float64                    `json:"load"`
	Offered  float64                    `json:"offered"`
	Outcomes map[sesamedrift.Status]int `json:"outcomes"`
	// Failures counts jobs without an outcome, by reason.
	Failures map[string]int `json:"failures"`
	Jobs     int            `json:"jobs"`
	// Goodput is the work of the jobs that were answered in time, as a multiple of the capacity.
	Goodput float64 `json:"goodput"`
	// Accepted counts the jobs that were not refused on arrival. Late counts the accepted jobs
	// that were not answered completely within their deadline. Expired counts the late jobs
	// that were refused because their deadline passed in the queue.
	Accepted int `json:"accepted"`
	Late     int `json:"late"`
	Expired  int `json:"expired"`
	// LateByReason counts the late jobs by outcome, with the reason of the outcome.
	LateByReason map[string]int `json:"late-by"`
	// SlotTime is the share of the capacity that jobs used, by their outcome; see slotTime.
	SlotTime map[string]float64 `json:"slot-time"`
	// LostAnswers counts the submissions and resubmissions whose answer was lost.
	LostAnswers int `json:"lost-answers"`
	// RefusedWithoutHint counts the refused jobs without a retry hint, which is the time after
	// which the caller should send the job again.
	RefusedWithoutHint int `json:"unhinted"`

	Starts     int             `json:"starts"`
	Duplicates int             `json:"duplicates"`
	Counters   server.Counters `json:"counters"`
	CPU        time.Duration   `json:"cpu"`
	Elapsed    time.Duration   `json:"took"`

	// Response holds the response times of complete short jobs in microseconds. Ratio holds their
	// ratios to the ideal response time, the run time of the longest task, in units of
	// 1/ratioUnit.
	Response *hdrhistogram.Histogram `json:"-"`
	Ratio    *hdrhistogram.Histogram `json:"-"`
	// RetryHints holds the retry hints of refused jobs in microseconds.
	RetryHints *hdrhistogram.Histogram `json:"-"`
	// Lag holds the delays from the scheduled to the actual sending of jobs in microseconds. Large
	// values show that the machine lacked CPU time.
	Lag *hdrhistogram.Histogram `json:"-"`
}

// WastedMessages returns the number of messages that led to no answer for a caller: rejected
// dispatches, answers that no caller waited for, and repeated starts. There are no probes to
// count, since hosts send none.
func (p *PhaseResult) WastedMessages() float64 {
	return float64(p.Counters.Wasted()) + float64(p.Duplicates)
}

// response returns a percentile, from 0 to 100, of the response times of short jobs.
func (p *PhaseResult) response(quantile float64) time.Duration {
	return time.Duration(p.Response.ValueAtQuantile(quantile)) * time.Microsecond
}

func (p *PhaseResult) ratio(quantile float64) float64 {
	return float64(p.Ratio.ValueAtQuantile(quantile)) / ratioUnit
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, histogramDigits) }

func record(h *hdrhistogram.Histogram, value int64) {
	// RecordValue fails only for values out of range, and the value is clamped to the range.
	_ = h.RecordValue(min(max(value, 1), maxRecorded))
}

// measure returns the part of a phase's result that follows from what the callers observed.
func measure(p *Phase, slots int, jobs []Job, samples []sample) PhaseResult {
	result := PhaseResult{
		Name:         p.Name,
		Load:         p.Load(),
		Outcomes:     map[sesamedrift.Status]int{},
		Failures:     map[string]int{},
		LateByReason: map[string]int{},
		Response:     newHistogram(),
		Ratio:        newHistogram(),
		RetryHints:   newHistogram(),
		Lag:          newHistogram(),
	}
	var offeredWork, inTimeWork time.Duration
	for i := range jobs {
		j, s := &jobs[i], &samples[i]
		inTime := s.status == sesamedrift.Complete && s.ended-j.Arrival <= j.Kind.Deadline
		if inTime && s.ended >= p.WarmUp && s.ended < p.Duration {
			inTimeWork += j.TotalRunTime()
		}
		if j.Arrival < p.WarmUp {
			continue
		}
		offeredWork += j.TotalRunTime()
		result.addJob(j, s, inTime)
	}
	capacity := (p.Duration - p.WarmUp).Seconds() * float64(slots)
	result.Offered = offeredWork.Seconds() / capacity
	result.Goodput = inTimeWork.Seconds() / capacity
	return result
}

// Keys of PhaseResult.SlotTime: slot time of jobs that were answered in time, slot time of jobs of
// an earlier phase, and unused slot time. The other keys are outcomes of jobs; see
// sample.outcome.
const (
	slotTimeInTime       = "answered in time"
	slotTimeEarlierPhase = "earlier phase"
	slotTimeIdle         = "idle"
)

// slotTime returns the share of the capacity that jobs used, by the outcome of the job. The map
// used holds the slot time by submission key; capacity is in slot seconds.
func slotTime(samples []sample, used map[string]time.Duration, capacity float64) map[string]float64 {
	categories := make(map[string]string, len(samples))
	for i := range samples {
		s := &samples[i]
		categories[s.key] = slotTimeInTime
		if s.late || s.status != sesamedrift.Complete {
			categories[s.key] = s.outcome()
		}
	}
	shares := map[string]float64{slotTimeIdle: 1}
	for key, duration := range used {
		category, ok := categories[key]
		if !ok {
			category = slotTimeEarlierPhase
		}
		shares[category] += duration.Seconds() / capacity
		shares[slotTimeIdle] -= duration.Seconds() / capacity
	}
	return shares
}

// outcome returns the status and the reason of a job without details that differ between jobs, such
// as the URL in the error of an HTTP request. It serves as a key for counts.
func (s *sample) outcome() string {
	switch s.status {
	case "":
		return "no outcome: " + s.failure
	case sesamedrift.Complete:
		return string(s.status)
	default:
		reason, _, _ := strings.Cut(s.reason, ": Post")
		return string(s.status) + ": " + reason
	}
}

// addJob adds the sample of a job that arrived after the warm-up to the counts and histograms.
func (p *PhaseResult) addJob(j *Job, s *sample, inTime bool) {
	p.Jobs++
	p.LostAnswers += s.lostAnswers
	record(p.Lag, (s.sent - j.Arrival).Microseconds())
	if s.status == "" {
		p.Failures[s.failure]++
	} else {
		p.Outcomes[s.status]++
	}
	expired := s.status == sesamedrift.Refused && strings.HasPrefix(s.reason, expiredReason) &&
		!strings.Contains(s.reason, "estimate")
	if expired {
		p.Expired++
	}
	if s.status == sesamedrift.Refused {
		if s.retryAfter > 0 {
			record(p.RetryHints, s.retryAfter.Microseconds())
		} else {
			p.RefusedWithoutHint++
		}
	}
	if s.status != sesamedrift.Refused || expired {
		p.Accepted++
		if !inTime {
			p.Late++
			p.LateByReason[s.outcome()]++
			s.late = true
		}
	}
	if s.status == sesamedrift.Complete && !j.Kind.Long {
		response := s.ended - j.Arrival
		record(p.Response, response.Microseconds())
		record(p.Ratio, int64(float64(response)/float64(j.LongestRunTime())*ratioUnit))
	}
}
