package dispatcher

import (
	"hash/crc32"
	"slices"
	"time"
)

const (
	// probeEvery is the time between two measurements.
	probeEvery = 250 * time.Millisecond
	// probeBytes is the length of the data whose checksum is timed. It takes some tens of
	// microseconds, and so less than a thousandth of the processor time.
	probeBytes = 256 << 10
	// probesKept is the number of latest measurements, of which the second fastest is the result:
	// slower ones may have been interrupted by other work, and the fastest may be an outlier.
	probesKept = 6
	// baselineResults is the number of latest results whose median is the baseline. A machine that
	// stays slow counts as normal after that many results at the latest.
	baselineResults = 100
	// A host counts as slow when a result exceeds slowFactor times the baseline, until one is at
	// most recoveredFactor times the baseline.
	slowFactor      = 2.5
	recoveredFactor = 1.6
)

// speedProbe measures the speed of the processor by timing a checksum. A host whose machine has
// become slow stops being the placer and releases its upstreams. The latency of the loop is not a
// reliable measure: it also grows with the load, and falls as soon as these roles are given up.
type speedProbe struct {
	data     []byte
	nextAt   time.Time
	recent   []time.Duration // the latest measurements
	baseline []time.Duration // the latest results
	isSlow   bool
}

// slow measures the speed if a measurement is due, and reports whether the host is slow.
func (p *speedProbe) slow(now time.Time) bool {
	if now.Before(p.nextAt) {
		return p.isSlow
	}
	p.nextAt = now.Add(probeEvery)
	if p.data == nil {
		p.data = make([]byte, probeBytes)
	}
	start := time.Now()
	p.data[0] = byte(crc32.ChecksumIEEE(p.data))
	p.record(time.Since(start))
	return p.isSlow
}

// record adds a measurement and updates isSlow.
func (p *speedProbe) record(elapsed time.Duration) {
	p.recent = append(p.recent, elapsed)
	if len(p.recent) < probesKept {
		return
	}
	p.recent = p.recent[len(p.recent)-probesKept:]
	result := slices.Sorted(slices.Values(p.recent))[1]
	p.baseline = append(p.baseline, result)
	if len(p.baseline) < probesKept {
		return
	}
	p.baseline = p.baseline[max(0, len(p.baseline)-baselineResults):]
	median := slices.Sorted(slices.Values(p.baseline))[len(p.baseline)/2]
	factor := slowFactor
	if p.isSlow {
		factor = recoveredFactor
	}
	p.isSlow = float64(result) > factor*float64(median)
}
