package limiter

import (
	"math/rand/v2"
	"time"
)

const (
	defaultMinWait = 50 * time.Millisecond
	defaultMaxWait = 30 * time.Second
)

// Jitter chooses random times after which refused callers should retry.
type Jitter struct {
	minWait, maxWait time.Duration
	random           *rand.Rand
}

// NewJitter returns a Jitter whose random choices depend on the seed alone. The waits that are
// passed to RetryAfter are limited to [minWait, maxWait]; the limits are 50 ms and 30 s if they are
// not above zero.
func NewJitter(seed uint64, minWait, maxWait time.Duration) *Jitter {
	if minWait <= 0 {
		minWait = defaultMinWait
	}
	if maxWait <= 0 {
		maxWait = defaultMaxWait
	}
	return &Jitter{
		minWait: minWait,
		maxWait: max(minWait, maxWait),
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
}

// RetryAfter returns a random time between the limited wait and twice as much, so that callers that
// were refused at the same time do not retry at the same time. The first argument is the current
// time, as for all decisions of the package; it is not used.
func (j *Jitter) RetryAfter(_ time.Time, wait time.Duration) time.Duration {
	wait = min(max(wait, j.minWait), j.maxWait)
	return wait + time.Duration(j.random.Int64N(int64(wait)+1))
}
