package limiter

import (
	"math"
	"time"
)

const (
	// DefaultRetryShare is the share until a document sets one.
	DefaultRetryShare = 0.05
	// budgetWindow is the time constant of the decay of the counted starts and retries. It is
	// longer than the disruption by the loss of a host, so that the retries after the loss are
	// compared with the starts before it.
	budgetWindow = 10 * time.Second
	// minRetries is the number of retries per window that are allowed regardless of the starts.
	// Without it a host with few starts could not retry at all. It does not apply to the share 0.
	minRetries = 3
)

// RetryBudget limits retries to a share of the recent starts, with a small minimum. Create it with
// NewRetryBudget.
type RetryBudget struct {
	share     float64
	starts    float64 // count with exponential decay
	retries   float64 // count with exponential decay
	decayedAt time.Time
}

// NewRetryBudget returns a RetryBudget without starts. See SetShare for the share.
func NewRetryBudget(share float64) *RetryBudget {
	b := &RetryBudget{share: DefaultRetryShare}
	b.SetShare(share)
	return b
}

// SetShare sets the share of the starts that may be retried, from 0 to 1. With 0 there are no retries. Any other
// value changes nothing.
func (b *RetryBudget) SetShare(share float64) {
	if share >= 0 && share <= 1 {
		b.share = share
	}
}

// RecordStart counts the first start of a task.
func (b *RetryBudget) RecordStart(now time.Time) {
	b.decay(now)
	b.starts++
}

// AllowRetry reports whether a task may be retried, and counts the retry if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.decay(now)
	if b.share == 0 || b.retries+1 > b.share*b.starts+minRetries {
		return false
	}
	b.retries++
	return true
}

// decay applies the decay since the last call to the counts.
func (b *RetryBudget) decay(now time.Time) {
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(budgetWindow))
		b.starts *= factor
		b.retries *= factor
		b.decayedAt = now
	}
}
