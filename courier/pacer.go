package courier

import (
	"sync"
	"time"
)

const (
	// paceWindow is the time over which exchanges are counted; a crest of load lasts for seconds.
	paceWindow = 100 * time.Millisecond
	// freeRate is the number of exchanges per second up to which each goes out at once. Hosts of
	// a domain with 16 upstreams make more in a tenth of the time, and rarely more than 800.
	freeRate = 500.0
	// fullRate is the number from which the spacing is maxSpacing. An exchange costs each side about
	// 18 us of processor time (BenchmarkExchange), a seventh of 0.192 cores at this rate.
	fullRate = 1500.0
	// maxSpacing is the longest wait for further messages. A task waits for three batches on its
	// way and has some 60 ms beyond its run time.
	maxSpacing = 10 * time.Millisecond
)

// pacer decides how long the exchanges with each peer are kept apart, so that under load a batch
// carries more messages. A host that spends its processor time on many small batches falls behind
// until its peers take it for lost. It answers crests of load on the host that places the jobs of
// a large domain.
type pacer struct {
	mu sync.Mutex
	// began is the beginning of the present window, n the number of exchanges in it.
	began time.Time
	n     int
	// rate is the number of exchanges per second of the window before.
	rate float64
}

// note counts an exchange, of whichever side began it, and returns the spacing to keep.
func (p *pacer) note(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch since := now.Sub(p.began); {
	case since >= 2*paceWindow:
		p.began, p.n, p.rate = now, 0, 0
	case since >= paceWindow:
		p.rate = float64(p.n) / since.Seconds()
		p.began, p.n = now, 0
	}
	p.n++
	share := (p.rate - freeRate) / (fullRate - freeRate)
	return time.Duration(min(max(share, 0), 1) * float64(maxSpacing))
}
