package replayer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// job is a generated job, including what is hidden from its caller and the placer until it runs.
type job struct {
	id          string
	queue       *Queue
	domain      int
	arrival     time.Duration
	cpu         int64
	runTimes    []time.Duration // for each task, on an upstream of speed 1
	estimate    time.Duration   // of the run time of a task, by the caller
	timeout     time.Duration
	alwaysFails bool
	// objective is the time from arrival within which the job should end; timeout is how long its
	// caller waits.
	objective time.Duration
	value     float64
	// largest is set for the tenth of the jobs of the queue with the most work, large for the fifth
	// with the most work below these.
	large, largest bool
}

// work returns the work of the job in thousandths of a core times duration.
func (j *job) work() int64 {
	work := int64(0)
	for _, runTime := range j.runTimes {
		work += j.cpu * int64(runTime)
	}
	return work
}

// sample draws a value from the distribution.
func (s Distribution) sample(r *rand.Rand) float64 {
	v := s.Mean * math.Exp(s.Sigma*r.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

// generateJobs returns all jobs in the order of their arrival. Each pair of domain and queue has its
// own random stream, so that a change to one does not change the jobs of the others.
func (s *Script) generateJobs() []*job {
	totalShare := 0.0
	for i := range s.Queues {
		totalShare += s.Queues[i].Share
	}
	all := make([]*job, 0, 1024)
	for d := range s.Domains {
		for q := range s.Queues {
			r := rand.New(rand.NewPCG(s.Seed, uint64(1000*d+q)))
			meanRate := s.Domains[d].JobsPerSecond * s.Queues[q].Share / totalShare
			all = append(all, s.generateArrivals(r, d, q, meanRate)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	for i := range s.Queues {
		markLarge(all, &s.Queues[i])
	}
	return all
}

// markLarge sets large and largest for the jobs of a queue.
func markLarge(all []*job, q *Queue) {
	var jobs []*job
	for _, j := range all {
		if j.queue == q {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.work(), b.work()) })
	for i, j := range jobs {
		j.largest = i >= len(jobs)*9/10
		j.large = !j.largest && i >= len(jobs)*7/10
	}
}

// generateArrivals draws the jobs of one domain and queue as a Poisson process with a varying rate:
// it draws arrivals at the maximum rate and keeps each with the probability of the current rate
// over the maximum. Dropped arrivals draw a job too, so that later jobs do not depend on what was
// dropped.
func (s *Script) generateArrivals(r *rand.Rand, domain, queue int, meanRate float64) []*job {
	d, q := &s.Domains[domain], &s.Queues[queue]
	maxRate := meanRate * (1 + d.RateAmplitude)
	for _, b := range s.Bursts {
		if b.Queue == "" || b.Queue == q.Name {
			maxRate *= max(1, b.Factor)
		}
	}
	var jobs []*job
	for at := r.ExpFloat64() / maxRate; at < s.DurationSeconds; at += r.ExpFloat64() / maxRate {
		rate := meanRate
		if d.Period > 0 {
			rate *= 1 + d.RateAmplitude*math.Sin(2*math.Pi*(at/d.Period+d.Phase))
		}
		for _, b := range s.Bursts {
			if (b.Queue == "" || b.Queue == q.Name) && at >= b.At && at < b.At+b.DurationSeconds {
				rate *= b.Factor
			}
		}
		j := q.sampleJob(r)
		if r.Float64()*maxRate >= rate {
			continue
		}
		j.id = fmt.Sprintf("%s-%s-%d", d.Name, q.Name, len(jobs))
		j.domain = domain
		j.arrival = seconds(at)
		jobs = append(jobs, j)
	}
	return jobs
}

// sampleJob draws the size, estimate, timeout and value of a job of the queue.
func (q *Queue) sampleJob(r *rand.Rand) *job {
	workMS := q.RunTimeMS.sample(r)
	if r.Float64() < q.TailShare {
		workMS = min(workMS*q.TailFactor, q.RunTimeMS.Max)
	}
	j := &job{
		queue:       q,
		cpu:         int64(q.CPU.sample(r)),
		estimate:    millis(workMS * math.Exp(q.EstimateSigma*r.NormFloat64())),
		timeout:     millis(q.WaitMS.sample(r)),
		alwaysFails: r.Float64() < q.AlwaysFailShare,
	}
	tasks := max(1, int(math.Round(q.Tasks.sample(r))))
	var longest time.Duration
	for range tasks {
		runTime := millis(workMS * math.Exp(q.TaskSigma*r.NormFloat64()))
		j.runTimes = append(j.runTimes, runTime)
		longest = max(longest, runTime)
	}
	j.objective = time.Duration(q.Slack*float64(longest)) + millis(q.TargetMS)
	j.timeout += j.objective
	relativeSize := workMS * float64(tasks) / (q.RunTimeMS.Mean * q.Tasks.Mean)
	j.value = min(0.3+0.7*relativeSize, 4)
	return j
}
