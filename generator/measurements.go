package generator

import (
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift"
)

// Bounds of docs/design.md, section 1.2, and the percentiles that are reported.
const (
	maxMedianRatio                   = 1.05 // response time over ideal, median
	maxTailRatio                     = 1.5  // response time over ideal, 99th percentile
	maxBlocking                      = 1.25 // 99th percentile of short work with over without long work
	minGoodput                       = 0.95 // at boundedLoad, as a multiple of the capacity
	maxLateShare                     = 0.05 // of the accepted jobs, at boundedLoad
	maxWasted                        = 0.05 // wasted messages per task start
	boundedLoad                      = 3    // offered load as a multiple of the capacity
	minFlatness                      = 0.95 // goodput under overload over goodput at the lowest load
	medianPercentile, tailPercentile = 50, 99
	maxPercentile                    = 100
	microsPerMilli                   = 1000
)

// Relation is the comparison of a measurement with its bound.
type Relation string

// The relations. NoBound marks a measurement without a bound.
const (
	NoBound Relation = ""
	AtMost  Relation = "<="
	AtLeast Relation = ">="
)

// Measurement is a measured value with its bound, if it has one.
type Measurement struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit,omitempty"`
	Relation Relation `json:"relation,omitempty"`
	Bound    float64  `json:"bound,omitempty"`
}

// WithinBound reports whether the measurement satisfies its bound. It is true without a bound.
func (m *Measurement) WithinBound() bool {
	switch m.Relation {
	case AtMost:
		return m.Value <= m.Bound
	case AtLeast:
		return m.Value >= m.Bound
	case NoBound:
	}
	return true
}

func unbounded(name, unit string, value float64) Measurement {
	return Measurement{Name: name, Unit: unit, Value: value}
}

func atMost(name string, value, bound float64) Measurement {
	return Measurement{Name: name, Value: value, Relation: AtMost, Bound: bound}
}

func atLeast(name string, value, bound float64) Measurement {
	return Measurement{Name: name, Value: value, Relation: AtLeast, Bound: bound}
}

// share returns part divided by whole, or 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func milliseconds(name string, d time.Duration) Measurement {
	return unbounded(name, "ms", float64(d)/float64(time.Millisecond))
}

func counterMeasurements(phases []PhaseResult) []Measurement {
	p := &phases[0]
	return []Measurement{
		atMost("response over ideal, median", p.ratio(medianPercentile), maxMedianRatio),
		atMost("response over ideal, 99th percentile", p.ratio(tailPercentile), maxTailRatio),
		unbounded("offered load", "", p.Offered),
		unbounded("goodput over capacity", "", p.Goodput),
		unbounded("late share of accepted", "", share(float64(p.Late), float64(p.Accepted))),
	}
}

func previewMeasurements(phases []PhaseResult) []Measurement {
	without, with := &phases[0], &phases[1]
	return []Measurement{
		atMost("short work, 99th percentile, with over without long work",
			share(float64(with.response(tailPercentile)), float64(without.response(tailPercentile))), maxBlocking),
		milliseconds("short work without long work, median", without.response(medianPercentile)),
		milliseconds("short work with long work, median", with.response(medianPercentile)),
		milliseconds("short work without long work, 99th percentile", without.response(tailPercentile)),
		milliseconds("short work with long work, 99th percentile", with.response(tailPercentile)),
		milliseconds("short work with long work, longest", with.response(maxPercentile)),
		atMost("response over ideal with long work, median", with.ratio(medianPercentile), maxMedianRatio),
		atMost("response over ideal with long work, 99th percentile", with.ratio(tailPercentile), maxTailRatio),
		unbounded("offered load with long work", "", with.Offered),
		unbounded("goodput over capacity with long work", "", with.Goodput),
	}
}

func overloadMeasurements(phases []PhaseResult) []Measurement {
	var measurements []Measurement
	for i := range phases {
		p := &phases[i]
		goodput := unbounded("goodput over capacity at "+p.Name, "", p.Goodput)
		late := unbounded("late share of accepted at "+p.Name, "", share(float64(p.Late), float64(p.Accepted)))
		if p.Load == boundedLoad {
			goodput.Relation, goodput.Bound = AtLeast, minGoodput
			late.Relation, late.Bound = AtMost, maxLateShare
		}
		measurements = append(measurements, goodput, late)
		if i > 0 {
			measurements = append(measurements, atLeast(fmt.Sprintf("goodput at %s over that at %s", p.Name, phases[0].Name),
				share(p.Goodput, phases[0].Goodput), minFlatness))
		}
	}
	for i := range phases {
		p := &phases[i]
		refused := float64(p.Outcomes[sesamedrift.Refused])
		used := p.SlotTime[slotTimeInTime]
		idle := p.SlotTime[slotTimeIdle]
		measurements = append(measurements,
			unbounded("slot time of jobs answered in time at "+p.Name, "", used),
			unbounded("slot time of other jobs at "+p.Name, "", 1-used-idle),
			unbounded("slot time idle at "+p.Name, "", idle),
			unbounded("refused share at "+p.Name, "", share(refused, float64(p.Jobs))),
			unbounded("expired in the queue at "+p.Name, "jobs", float64(p.Expired)),
			unbounded("refused without a hint at "+p.Name, "jobs", float64(p.RefusedWithoutHint)),
			unbounded("retry hint, median at "+p.Name, "ms", float64(p.RetryHints.ValueAtQuantile(medianPercentile))/microsPerMilli),
			unbounded("retry hint, 99th percentile at "+p.Name, "ms", float64(p.RetryHints.ValueAtQuantile(tailPercentile))/microsPerMilli),
		)
	}
	return measurements
}

func faultMeasurements(phases []PhaseResult) []Measurement {
	p := &phases[0]
	var measurements []Measurement
	for _, s := range sesamedrift.Statuses {
		measurements = append(measurements, unbounded("outcome "+string(s), "jobs", float64(p.Outcomes[s])))
	}
	noOutcome := 0
	for _, n := range p.Failures {
		noOutcome += n
	}
	return append(measurements,
		unbounded("no outcome", "jobs", float64(noOutcome)),
		unbounded("answers lost and asked for again", "", float64(p.LostAnswers)),
		unbounded("offered load", "", p.Offered),
		unbounded("goodput over offered load", "", share(p.Goodput, p.Offered)),
		unbounded("response over ideal, median", "", p.ratio(medianPercentile)),
		unbounded("response over ideal, 99th percentile", "", p.ratio(tailPercentile)),
		unbounded("attempts lost", "", float64(p.Counters.Lost)),
	)
}

// commonMeasurements returns the measurements of every scenario, which cover all phases.
func commonMeasurements(r *Result) []Measurement {
	var wasted, starts, forwards, rejected, unreceived float64
	var cpu, elapsed time.Duration
	lag := newHistogram()
	for i := range r.Phases {
		p := &r.Phases[i]
		wasted += p.WastedMessages()
		starts += float64(p.Starts)
		forwards += float64(p.Counters.Forwards)
		rejected += float64(p.Counters.Rejected)
		unreceived += float64(p.Counters.Late)
		cpu += p.CPU
		elapsed += p.Elapsed
		lag.Merge(p.Lag)
	}
	return []Measurement{
		atMost("wasted messages per task start", share(wasted, starts), maxWasted),
		unbounded("rejected dispatches", "", rejected),
		unbounded("answers nobody received", "", unreceived),
		unbounded("repeated starts", "", float64(r.Audit.Duplicates)),
		unbounded("forwarded share of task starts", "", share(forwards, starts)),
		unbounded("task starts", "", starts),
		unbounded("processor time per task start, whole process", "us", share(float64(cpu.Microseconds()), starts)),
		unbounded("processor cores in use, mean", "", share(cpu.Seconds(), elapsed.Seconds())),
		unbounded("sending lag, 99th percentile", "ms", float64(lag.ValueAtQuantile(tailPercentile))/microsPerMilli),
		atMost("violations", float64(r.Audit.ViolationCount()), 0),
	}
}
