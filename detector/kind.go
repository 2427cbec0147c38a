package detector

import "time"

const (
	// bins is the number of classes of failure shares, from 0 to 1.
	bins = 20
	// newest is the weight of the newest result in the failure share of a cell, once the
	// cell has as many results as its inverse.
	newest = 0.3
	// failingShare is the failure share from which on an upstream fails at a kind.
	failingShare = 0.8
	// usualQuantile is the share of the upstreams that set the usual failure share of a
	// kind. With a quarter, the share is right while up to three quarters of the
	// upstreams fail at everything.
	usualQuantile = 0.25
	// manyUpstreams is the number of upstreams that succeed at other kinds and must fail
	// at a kind before it counts as failing.
	manyUpstreams = 3
	// minKindFailures is the number of failures in a row before a kind counts as failing.
	minKindFailures = 5
)

// kind is what is known of one kind of a service.
type kind struct {
	service *service
	cells   map[*upstream]*cell // healthy upstreams that ran the kind
	shares  [bins]int           // number of cells by failure share
	inRow   int                 // failures since the last success anywhere
	fails   bool
	trialAt time.Time
	// interval is the time between trials.
	interval time.Duration
	searchAt int // inRow at the next search for upstreams
	// logRunTime is the mean of the logarithms of run times in seconds.
	logRunTime float64
	observed   float64
}

// cell is what is known of one kind on one upstream.
type cell struct {
	upstream *upstream
	kind     *kind
	results  float64
	failures float64 // share between 0 and 1
}

func bin(share float64) int { return min(int(share*bins), bins-1) }

func (c *cell) record(ok bool) {
	c.uncount()
	c.results++
	result := 1.0
	if ok {
		result = 0
	}
	c.failures += max(newest, 1/c.results) * (result - c.failures)
	c.count()
}

func (c *cell) count() {
	c.kind.shares[bin(c.failures)]++
	if c.failures < 1-failingShare {
		c.upstream.good++
	}
}

func (c *cell) uncount() {
	if c.results == 0 {
		return
	}
	c.kind.shares[bin(c.failures)]--
	if c.failures < 1-failingShare {
		c.upstream.good--
	}
}

// usualFailures returns the failure share of the kind on upstreams that are not among
// the worst, or 1 if there are not two upstreams to compare.
func (k *kind) usualFailures() float64 {
	if len(k.cells) < 2 {
		return 1
	}
	return k.quantile()
}

func (k *kind) quantile() float64 {
	left := int(usualQuantile * float64(len(k.cells)))
	for b, n := range k.shares {
		if left -= n; left < 0 {
			return float64(b) / bins
		}
	}
	return 1
}

func (k *kind) succeeded() {
	k.inRow = 0
	k.searchAt = 0
	k.fails = false
}

// failed decides whether the kind fails: nearly all upstreams that ran it fail at it,
// and several of these succeed at other kinds.
func (k *kind) failed(now time.Time, cfg Config) {
	k.inRow++
	if k.fails || k.inRow < max(minKindFailures, k.searchAt) {
		return
	}
	if k.usualFailures() < failingShare {
		return
	}
	needed := min(manyUpstreams, max(2, k.service.upstreams))
	for u, c := range k.cells {
		if c.failures >= failingShare && u.good > 0 {
			needed--
		}
		if needed == 0 {
			k.fails = true
			k.interval = cfg.ProbeInterval
			k.trialAt = now.Add(k.interval)
			return
		}
	}
	// The search is repeated only after as many further failures as it looked at cells.
	k.searchAt = k.inRow + len(k.cells)
}
