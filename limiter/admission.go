package limiter

import "time"

// halfConfidenceSamples is the number of samples with which the confidence in a run time estimate
// is one half.
const halfConfidenceSamples = 10

// Forecast holds the expected wait of a submission and the expected run time of its longest task.
type Forecast struct {
	// Wait is the estimated time until the last task of the submission starts.
	Wait time.Duration
	// P50 and P95 are the median and the 95th percentile of the run time.
	P50, P95 time.Duration
	// Samples is the number of samples on which the run time estimate is based.
	Samples int
}

// DeadlineCheck is the result of CheckDeadline.
type DeadlineCheck struct {
	Admitted bool
	// RetryAfter is by how much the wait is too long, as an argument for Jitter.RetryAfter. It is
	// zero if the submission is admitted or Infeasible.
	RetryAfter time.Duration
	// Infeasible is set if the submission could not meet its deadline even without any wait, so
	// that a retry does not help.
	Infeasible bool
}

// CheckDeadline decides whether a submission can meet its deadline. A zero deadline means that
// there is none.
//
// It compares the remaining time with the sum of the wait and a run time. The run time is the
// median if the submission would start immediately. Otherwise it is the 95th percentile, because
// under load a task that is late in one of twenty cases would take the slot of one that ends in
// time. The sum is weighted by the number n of samples with 1/2 + 1/2 * n / (n + 10), which is one
// half without samples and nearly 1 with many. Thus an unreliable estimate does not cause a refusal
// unless it exceeds the remaining time by a factor of two.
func CheckDeadline(now, deadline time.Time, forecast Forecast) DeadlineCheck {
	if deadline.IsZero() {
		return DeadlineCheck{Admitted: true}
	}
	remaining := deadline.Sub(now)
	confidence := float64(max(0, forecast.Samples)) / float64(max(0, forecast.Samples)+halfConfidenceSamples)
	weighted := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * (0.5 + 0.5*confidence))
	}
	runTime := forecast.P50
	if forecast.Wait > 0 {
		runTime = max(forecast.P50, forecast.P95)
	}
	switch {
	case remaining <= 0 || weighted(forecast.P50) > remaining:
		return DeadlineCheck{Infeasible: true}
	case weighted(forecast.Wait+runTime) <= remaining:
		return DeadlineCheck{Admitted: true}
	default:
		return DeadlineCheck{RetryAfter: weighted(forecast.Wait+runTime) - remaining}
	}
}
