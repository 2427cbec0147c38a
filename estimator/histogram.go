package estimator

import (
	"math"
	"time"
)

const (
	// firstBucketLimit is the upper bound of the first bucket.
	firstBucketLimit = 100 * time.Microsecond
	// growth is the ratio of the upper bounds of adjacent buckets.
	growth = 1.1
	// buckets is the number of buckets. They reach up to firstBucketLimit * growth^(buckets-1),
	// about 1 h; the last one also holds longer run times.
	buckets = 184
	// maxWeight is the weight of a new sample above which all weights are scaled down, so that a
	// new sample has the weight 1 again. With 2^40 a float64 has enough precision left for older
	// samples.
	maxWeight = 1 << 40
)

var logGrowth = math.Log(growth)

// histogram counts run times in buckets of exponentially growing width, with exponential decay.
// The weight of new samples doubles with each half-life, so that the weights of older samples need
// not be updated.
type histogram struct {
	weightOrigin time.Time // when the weight of a new sample was 1
	counts       [buckets]float64
	sums         [buckets]float64 // weighted run times, in seconds
	total        float64
}

// weight returns the weight of a new sample. It is at least 1, also if now is before weightOrigin.
func (h *histogram) weight(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(max(0, float64(now.Sub(h.weightOrigin))/float64(halfLife)))
}

func (h *histogram) add(now time.Time, halfLife, runTime time.Duration) {
	if h.total == 0 {
		h.weightOrigin = now
	}
	w := h.weight(now, halfLife)
	if w > maxWeight {
		h.scale(1 / w)
		h.weightOrigin = now
		w = 1
	}
	b := bucketOf(runTime)
	h.counts[b] += w
	h.sums[b] += w * runTime.Seconds()
	h.total += w
}

// scale multiplies all weights by the factor. Very old samples may underflow to zero.
func (h *histogram) scale(factor float64) {
	h.total = 0
	for b := range h.counts {
		h.counts[b] *= factor
		h.sums[b] *= factor
		h.total += h.counts[b]
	}
}

// samples returns the sum of the decayed weights of the samples; a new sample has the weight 1.
func (h *histogram) samples(now time.Time, halfLife time.Duration) float64 {
	return h.total / h.weight(now, halfLife)
}

// quantile returns the mean run time in the bucket that holds the quantile. There must be a sample.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := q * h.total
	last := 0
	for b, n := range h.counts {
		if n == 0 {
			continue
		}
		last = b
		if remaining -= n; remaining <= 0 {
			break
		}
	}
	return fromSeconds(h.sums[last] / h.counts[last])
}

// mean returns the weighted mean run time. There must be a sample.
func (h *histogram) mean() time.Duration {
	sum := 0.0
	for _, s := range h.sums {
		sum += s
	}
	return fromSeconds(sum / h.total)
}

func bucketOf(runTime time.Duration) int {
	if runTime <= firstBucketLimit {
		return 0
	}
	b := 1 + int(math.Log(float64(runTime)/float64(firstBucketLimit))/logGrowth)
	return min(b, buckets-1)
}

func fromSeconds(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
