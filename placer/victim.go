package placer

import (
	"math"
	"time"
)

// usageDecayTime is the time constant with which the usage of queues decays. It is about the duration
// of a peak of demand.
const usageDecayTime = 2 * time.Second

// queue holds the recent usage of one queue.
type queue struct {
	// usage is the sum of the work that was placed, in core-seconds, with exponential decay.
	usage float64
}

// queueOf returns the usage record of a queue and creates it if there is none.
func (p *Placer) queueOf(name string) *queue {
	q := p.queues[name]
	if q == nil {
		q = &queue{}
		p.queues[name] = q
	}
	return q
}

// recordUsage adds a task that was placed to the usage of its queue. CPU demand is in thousandths of
// a core.
func (p *Placer) recordUsage(name string, t Task, expected time.Duration) {
	p.queueOf(name).usage += float64(t.Demand.CPU) / 1000 * expected.Seconds()
}

// usageShare returns the share of a queue in the usage of all queues, or 0 if there is none.
func (p *Placer) usageShare(name string) float64 {
	total := 0.0
	for _, q := range p.queues {
		total += q.usage
	}
	if total == 0 {
		return 0
	}
	return p.queueOf(name).usage / total
}

// decayUsage decays the usage of all queues by the time since the last tick.
func (p *Placer) decayUsage(now time.Time) {
	if !p.lastTick.IsZero() {
		factor := math.Exp(-float64(now.Sub(p.lastTick)) / float64(usageDecayTime))
		for _, q := range p.queues {
			q.usage *= factor
		}
	}
	p.lastTick = now
}

// selectVictim returns the job to forward or refuse among those up to an index of the order: of the
// queue with the highest usage, the last one, which can wait the longest. Jobs that have begun are
// not selected; it returns nil if there are no others.
func (p *Placer) selectVictim(now time.Time, lastIndex int) *waitingJob {
	var victim *waitingJob
	for _, w := range p.order[:lastIndex+1] {
		if w.Started {
			continue
		}
		if victim == nil || p.queueOf(w.Queue).usage >= p.queueOf(victim.Queue).usage {
			victim = w
		}
	}
	return victim
}
