package detector

import "time"

const (
	// bins is the number of bins of a histogram of failure rates, from 0 to 1.
	bins = 20
	// minResultWeight is the weight of the newest result in the moving failure rate of a cell. The
	// first 1/minResultWeight results have equal weights.
	minResultWeight = 0.3
	// failingRate is the failure rate from which on a kind counts as failing on an upstream.
	failingRate = 0.8
	// baselineQuantile is the quantile of the failure rates of the upstreams that is the baseline
	// of a kind. With a quarter, the baseline is right while up to three quarters of the upstreams
	// fail all tasks.
	baselineQuantile = 0.25
	// minFailingUpstreams is the number of upstreams on which a kind must fail, while other kinds
	// succeed there, before it counts as failing.
	minFailingUpstreams = 3
	// minConsecutiveFailures is the number of consecutive failures before a kind counts as failing.
	minConsecutiveFailures = 5
)

// kind holds the results of one kind of a service.
type kind struct {
	service             *service
	cells               map[*upstream]*cell // healthy upstreams that ran the kind
	rateHistogram       [bins]int           // number of cells by failure rate
	consecutiveFailures int                 // failures on any upstream since the last success on any
	failing             bool
	nextProbe           time.Time // if failing
	// probeInterval is the time between probes of a failing kind.
	probeInterval time.Duration
	nextCheck     int // value of consecutiveFailures for the next check of the cells
	// logRunTime is the moving mean of the logarithms of run times in seconds.
	logRunTime   float64
	observations float64 // number of run times
}

// cell holds the results of one kind on one upstream.
type cell struct {
	upstream     *upstream
	kind         *kind
	observations float64 // number of results
	failureRate  float64 // moving mean, between 0 and 1
}

// bin returns the bin of a failure rate.
func bin(rate float64) int { return min(int(rate*bins), bins-1) }

// record adds the result of a task to the failure rate.
func (c *cell) record(ok bool) {
	c.removeFromCounts()
	c.observations++
	result := 1.0
	if ok {
		result = 0
	}
	c.failureRate += max(minResultWeight, 1/c.observations) * (result - c.failureRate)
	c.addToCounts()
}

// addToCounts counts the cell by its failure rate in its kind and its upstream.
func (c *cell) addToCounts() {
	c.kind.rateHistogram[bin(c.failureRate)]++
	if c.failureRate < 1-failingRate {
		c.upstream.succeedingKinds++
	}
}

// removeFromCounts is the inverse of addToCounts. It must be called before failureRate changes.
func (c *cell) removeFromCounts() {
	if c.observations == 0 {
		return
	}
	c.kind.rateHistogram[bin(c.failureRate)]--
	if c.failureRate < 1-failingRate {
		c.upstream.succeedingKinds--
	}
}

// baselineRate returns the usual failure rate of the kind, or 1 if it ran on fewer than two
// upstreams, so that there is nothing to compare with.
func (k *kind) baselineRate() float64 {
	if len(k.cells) < 2 {
		return 1
	}
	return k.rateQuantile()
}

// rateQuantile returns the baselineQuantile of the failure rates of the cells, or 1 without cells.
func (k *kind) rateQuantile() float64 {
	remaining := int(baselineQuantile * float64(len(k.cells)))
	for b, n := range k.rateHistogram {
		if remaining -= n; remaining < 0 {
			return float64(b) / bins
		}
	}
	return 1
}

// recordSuccess records a success on any upstream. The kind is not failing any more.
func (k *kind) recordSuccess() {
	k.consecutiveFailures = 0
	k.nextCheck = 0
	k.failing = false
}

// recordFailure records a failure and decides whether the kind is failing: it fails on nearly all
// upstreams that ran it, and on several of these other kinds succeed.
func (k *kind) recordFailure(now time.Time, cfg Config) {
	k.consecutiveFailures++
	if k.failing || k.consecutiveFailures < max(minConsecutiveFailures, k.nextCheck) {
		return
	}
	if k.baselineRate() < failingRate {
		return
	}
	needed := min(minFailingUpstreams, max(2, k.service.upstreams))
	for u, c := range k.cells {
		if c.failureRate >= failingRate && u.succeedingKinds > 0 {
			needed--
		}
		if needed == 0 {
			k.failing = true
			k.probeInterval = cfg.ProbeInterval
			k.nextProbe = now.Add(k.probeInterval)
			return
		}
	}
	// The next check is due after as many further failures as there are cells, so that the cost of
	// a check per failure stays constant.
	k.nextCheck = k.consecutiveFailures + len(k.cells)
}
