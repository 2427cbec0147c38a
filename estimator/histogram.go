package estimator

import (
	"math"
	"time"
)

const (
	// minRunTime is the upper bound of the first bucket.
	minRunTime = 100 * time.Microsecond
	// growth is the ratio of the bounds of neighbouring buckets.
	growth = 1.1
	// buckets reach to minRunTime * growth^(buckets-1), about 1 h.
	buckets = 184
	// maxWeight is the weight of new samples from which on all weights are divided by
	// it; 2^40 leaves a float64 enough precision for older samples.
	maxWeight = 1 << 40
)

var logGrowth = math.Log(growth)

// histogram counts run times in buckets of growing width. New samples get a weight that
// doubles with each half-life, so that older samples need not be changed.
type histogram struct {
	origin time.Time // when the weight of a new sample was 1
	counts [buckets]float64
	sums   [buckets]float64 // weighted run times, in seconds
	total  float64
}

// weight returns the weight of a new sample, at least 1 also if now goes backwards.
func (h *histogram) weight(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(max(0, float64(now.Sub(h.origin))/float64(halfLife)))
}

func (h *histogram) add(now time.Time, halfLife, took time.Duration) {
	if h.total == 0 {
		h.origin = now
	}
	w := h.weight(now, halfLife)
	if w > maxWeight {
		h.scale(1 / w)
		h.origin = now
		w = 1
	}
	b := bucket(took)
	h.counts[b] += w
	h.sums[b] += w * took.Seconds()
	h.total += w
}

// scale multiplies all weights; samples that become negligible may become zero.
func (h *histogram) scale(by float64) {
	h.total = 0
	for b := range h.counts {
		h.counts[b] *= by
		h.sums[b] *= by
		h.total += h.counts[b]
	}
}

// samples returns the number of samples, each counted by its present weight.
func (h *histogram) samples(now time.Time, halfLife time.Duration) float64 {
	return h.total / h.weight(now, halfLife)
}

// quantile returns the mean of the bucket that holds the quantile.
func (h *histogram) quantile(share float64) time.Duration {
	left := share * h.total
	last := 0
	for b, n := range h.counts {
		if n == 0 {
			continue
		}
		last = b
		if left -= n; left <= 0 {
			break
		}
	}
	return duration(h.sums[last] / h.counts[last])
}

func (h *histogram) mean() time.Duration {
	sum := 0.0
	for _, s := range h.sums {
		sum += s
	}
	return duration(sum / h.total)
}

func bucket(d time.Duration) int {
	if d <= minRunTime {
		return 0
	}
	b := 1 + int(math.Log(float64(d)/float64(minRunTime))/logGrowth)
	return min(b, buckets-1)
}

func duration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
