package replayer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// job is a job as it arrives, with what nobody knows beforehand.
type job struct {
	id      string
	queue   *Queue
	domain  int
	at      time.Duration
	cpu     int64
	works   []time.Duration // of each task on an upstream of speed 1
	claimed time.Duration   // the caller's estimate of the run time of a task
	wait    time.Duration
	hopless bool
	// objective is the time within which the job should end.
	objective time.Duration
	worth     float64
}

// draw returns a value of the distribution.
func (s Spread) draw(r *rand.Rand) float64 {
	v := s.Mean * math.Exp(s.Spread*r.NormFloat64()-s.Spread*s.Spread/2)
	if s.Most > 0 {
		v = min(v, s.Most)
	}
	return v
}

// drawJobs returns all jobs in the order of their arrival. Each domain and queue has random
// numbers of its own, so that a change of one does not change the jobs of the others.
func (s *Script) drawJobs() []*job {
	shares := 0.0
	for i := range s.Queues {
		shares += s.Queues[i].Share
	}
	all := make([]*job, 0, 1024)
	for d := range s.Domains {
		for q := range s.Queues {
			r := rand.New(rand.NewPCG(s.Seed, uint64(1000*d+q)))
			mean := s.Domains[d].PerSecond * s.Queues[q].Share / shares
			all = append(all, s.drawQueue(r, d, q, mean)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	return all
}

// drawQueue draws arrivals at the highest rate and drops those above the present rate.
func (s *Script) drawQueue(r *rand.Rand, domain, queue int, mean float64) []*job {
	d, q := &s.Domains[domain], &s.Queues[queue]
	highest := mean * (1 + d.Swing)
	for _, b := range s.Bursts {
		if b.Queue == "" || b.Queue == q.Name {
			highest *= max(1, b.Factor)
		}
	}
	var jobs []*job
	for at := r.ExpFloat64() / highest; at < s.Seconds; at += r.ExpFloat64() / highest {
		rate := mean
		if d.Period > 0 {
			rate *= 1 + d.Swing*math.Sin(2*math.Pi*(at/d.Period+d.Phase))
		}
		for _, b := range s.Bursts {
			if (b.Queue == "" || b.Queue == q.Name) && at >= b.At && at < b.At+b.For {
				rate *= b.Factor
			}
		}
		j := q.draw(r)
		if r.Float64()*highest >= rate {
			continue
		}
		j.id = fmt.Sprintf("%s-%s-%d", d.Name, q.Name, len(jobs))
		j.domain = domain
		j.at = seconds(at)
		jobs = append(jobs, j)
	}
	return jobs
}

// draw draws a job of the queue.
func (q *Queue) draw(r *rand.Rand) *job {
	work := q.WorkMS.draw(r)
	if r.Float64() < q.Tail {
		work = min(work*q.TailFactor, q.WorkMS.Most)
	}
	j := &job{
		queue:   q,
		cpu:     int64(q.CPU.draw(r)),
		claimed: millis(work * math.Exp(q.Estimate*r.NormFloat64())),
		wait:    millis(q.WaitMS.draw(r)),
		hopless: r.Float64() < q.Hopeless,
	}
	tasks := max(1, int(math.Round(q.Tasks.draw(r))))
	var longest time.Duration
	for range tasks {
		took := millis(work * math.Exp(q.Uneven*r.NormFloat64()))
		j.works = append(j.works, took)
		longest = max(longest, took)
	}
	j.objective = time.Duration(q.Slack*float64(longest)) + millis(q.TargetMS)
	j.wait += j.objective
	size := work * float64(tasks) / (q.WorkMS.Mean * q.Tasks.Mean)
	j.worth = min(0.3+0.7*size, 4)
	return j
}
