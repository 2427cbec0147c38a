package generator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind describes the tasks of one kind of the environment document.
type Kind struct {
	Name string
	// Weight is proportional to the share of the kind among the jobs of its stream.
	Weight float64
	// Min and Max bound the run time of a task, which is uniformly distributed.
	Min, Max time.Duration
	// Deadline is the time from the scheduled arrival within which the caller needs the answer.
	Deadline   time.Duration
	Idempotent bool
	// Long excludes the kind from the response times, which cover short work only.
	Long bool
}

func (k Kind) mean() time.Duration { return (k.Min + k.Max) / 2 }

// Stream is a Poisson process of jobs whose rate may vary periodically.
type Stream struct {
	Kinds []Kind
	// MaxTasks is the largest number of tasks of a job; the number is uniformly distributed
	// from 1.
	MaxTasks int
	// Load is the mean of the offered work as a multiple of the capacity.
	Load float64
	// PeakToMean is the highest rate as a multiple of the mean. The rate is a sine curve with
	// the given Period; it is constant if PeakToMean is 1 or Period is 0.
	PeakToMean float64
	Period     time.Duration
	// ResubmitShare is the share of jobs that are sent a second time shortly after the first.
	ResubmitShare float64
}

// Job is one scheduled submission.
type Job struct {
	// Arrival is the scheduled time of the submission, from the start of the phase.
	Arrival time.Duration
	Kind    Kind
	// RunTimes holds the run time of each task.
	RunTimes []time.Duration
	// Team and Host are indices of the team and of the host that receives the job. ResubmitHost
	// is the index of the host that receives the job a second time if Resubmit is set.
	Team, Host, ResubmitHost int
	Resubmit                 bool
}

// LongestRunTime returns the run time of the longest task, which is the ideal response time
// within a failure domain.
func (j *Job) LongestRunTime() time.Duration { return slices.Max(j.RunTimes) }

// TotalRunTime returns the sum of the run times of all tasks, which is the slot time of the job.
func (j *Job) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, t := range j.RunTimes {
		sum += t
	}
	return sum
}

// jobRate returns the mean number of jobs per second at which the stream offers its load to a
// deployment with the given number of slots.
func (s *Stream) jobRate(slots int) float64 {
	var weight, work float64
	for _, k := range s.Kinds {
		weight += k.Weight
		work += k.Weight * k.mean().Seconds()
	}
	tasks := float64(1+s.MaxTasks) / 2
	return s.Load * float64(slots) / (work / weight * tasks)
}

// Generate returns the arrivals of the stream within the duration, in order. Equal arguments
// give equal arrivals.
func (s *Stream) Generate(seed uint64, slots, hosts, teams int, duration time.Duration) []Job {
	r := rand.New(rand.NewPCG(seed, uint64(len(s.Kinds))))
	mean := s.jobRate(slots)
	peak := mean * max(s.PeakToMean, 1)
	var jobs []Job
	for at := 0.0; ; {
		at += r.ExpFloat64() / peak
		if at >= duration.Seconds() {
			return jobs
		}
		rate := mean
		if s.Period > 0 {
			rate *= 1 + (max(s.PeakToMean, 1)-1)*math.Sin(2*math.Pi*at/s.Period.Seconds())
		}
		// Thinning: candidates arrive at the constant peak rate and are kept with the
		// probability rate/peak.
		if r.Float64()*peak >= rate {
			continue
		}
		job := Job{
			Arrival:      time.Duration(at * float64(time.Second)),
			Kind:         s.pick(r),
			RunTimes:     make([]time.Duration, 1+r.IntN(s.MaxTasks)),
			Team:         r.IntN(teams),
			Host:         r.IntN(hosts),
			ResubmitHost: r.IntN(hosts),
			Resubmit:     r.Float64() < s.ResubmitShare,
		}
		for i := range job.RunTimes {
			aboveMin := r.Float64() * float64(job.Kind.Max-job.Kind.Min)
			job.RunTimes[i] = (job.Kind.Min + time.Duration(aboveMin)).Truncate(time.Microsecond)
		}
		jobs = append(jobs, job)
	}
}

func (s *Stream) pick(r *rand.Rand) Kind {
	var weight float64
	for _, k := range s.Kinds {
		weight += k.Weight
	}
	remaining := r.Float64() * weight
	for _, k := range s.Kinds {
		if remaining -= k.Weight; remaining < 0 {
			return k
		}
	}
	return s.Kinds[len(s.Kinds)-1]
}

// merge returns the jobs of several streams in the order of their arrival times.
func merge(streams ...[]Job) []Job {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return all
}
