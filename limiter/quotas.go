// Package limiter decides on the admission of submissions by quota and by deadline, limits
// retries, and chooses the times after which refused callers should retry.
//
// Quotas holds a token bucket per team. It guarantees that a team within its own quota is admitted
// regardless of the other teams. Unused tokens are lent to teams that need more than their quota,
// in proportion to their weights. RetryBudget limits retries to a share of the starts. Jitter
// spreads the retries of refused callers over time. CheckDeadline refuses submissions that cannot
// meet their deadline.
//
// The quotas bound the admitted load without regard to the capacity of the upstreams: the caller
// must choose rates whose sum the upstreams can serve. All decisions take the current time as an
// argument and read no clock. The types are not safe for concurrent use. Their state is lost with
// the process; new Quotas start with full buckets.
package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// distributionInterval is the shortest time between two distributions of unused tokens. The
	// cost of a distribution is proportional to the number of teams.
	distributionInterval = 10 * time.Millisecond
	// demandWindow is how long a team gets a share of the unused tokens after its last request for
	// more than its quota.
	demandWindow = time.Second
	// unusedWindow bounds the unused tokens to those that all teams get in this time. Tokens that
	// were unused earlier stand for upstream time that has passed and cannot be used any more.
	unusedWindow = time.Second
	// maxRetryAfter is the upper bound of Admission.RetryAfter, and its value for teams whose
	// bucket never fills.
	maxRetryAfter = time.Minute
)

// Quota is the load of a team that is admitted regardless of other teams.
type Quota struct {
	// Rate is the number of tasks per second.
	Rate float64
	// Burst is the size of the token bucket: the number of tasks that a team may start
	// immediately after it has been idle.
	Burst float64
	// Weight is the share of unused tokens relative to other teams; 1 if it is not above zero.
	Weight float64
}

// Admission is the decision on a submission.
type Admission struct {
	Admitted bool
	// Borrowed is the number of tasks that use tokens of other teams.
	Borrowed int
	// RetryAfter is zero if the tasks are admitted, and otherwise the time until the
	// team's own quota allows them.
	RetryAfter time.Duration
}

// Quotas holds the quotas and the token buckets of all teams.
type Quotas struct {
	teams         map[string]*bucket
	sorted        []*bucket // by team, so that decisions do not depend on the order of a map
	totalRate     float64   // sum of the rates of all teams
	unused        float64   // unused tokens that are not assigned to a team
	distributedAt time.Time // time of the latest distribution
}

// bucket is the token bucket of one team.
type bucket struct {
	Quota
	team       string
	tokens     float64 // at most Burst; negative after a job larger than the burst
	refilledAt time.Time
	borrowable float64   // unused tokens of other teams that this team may use
	exceededAt time.Time // latest request for more than the quota
}

// NewQuotas returns Quotas without teams.
func NewQuotas() *Quotas {
	return &Quotas{teams: map[string]*bucket{}}
}

// Set adds a team with a full bucket or changes its quota.
func (q *Quotas) Set(now time.Time, team string, quota Quota) {
	quota.Rate = max(0, quota.Rate)
	quota.Burst = max(0, quota.Burst)
	if !(quota.Weight > 0) {
		quota.Weight = 1
	}
	b, ok := q.teams[team]
	if !ok {
		b = &bucket{
			team:       team,
			tokens:     quota.Burst,
			refilledAt: now,
		}
		q.teams[team] = b
		i, _ := slices.BinarySearchFunc(q.sorted, team, byTeam)
		q.sorted = slices.Insert(q.sorted, i, b)
	} else {
		q.refill(now, b)
		q.totalRate -= b.Rate
	}
	q.totalRate += quota.Rate
	b.Quota = quota
	b.tokens = min(b.tokens, quota.Burst)
}

// Remove removes a team. Its submissions are refused from then on.
func (q *Quotas) Remove(team string) {
	b, ok := q.teams[team]
	if !ok {
		return
	}
	q.totalRate -= b.Rate
	delete(q.teams, team)
	if i, found := slices.BinarySearchFunc(q.sorted, team, byTeam); found {
		q.sorted = slices.Delete(q.sorted, i, i+1)
	}
}

func byTeam(b *bucket, team string) int { return cmp.Compare(b.team, team) }

// Admit decides on all tasks of a submission together and takes their tokens if they are admitted.
// A submission larger than the burst of its team is admitted when the bucket is full; the tokens of
// the team are then negative. Submissions of teams without a quota are refused.
func (q *Quotas) Admit(now time.Time, team string, tasks int) Admission {
	b, ok := q.teams[team]
	if !ok {
		return Admission{RetryAfter: maxRetryAfter}
	}
	q.refill(now, b)
	n := float64(max(0, tasks))
	if b.tokens >= min(n, b.Burst) && (b.Burst > 0 || n == 0) {
		b.tokens -= n
		return Admission{Admitted: true}
	}
	q.distribute(now, b)
	ownTokens := math.Floor(max(0, min(n, b.tokens)))
	if borrowed := n - ownTokens; b.borrowable >= borrowed {
		b.tokens -= ownTokens
		b.borrowable -= borrowed
		return Admission{
			Admitted: true,
			Borrowed: int(borrowed),
		}
	}
	return Admission{RetryAfter: b.timeUntil(min(n, b.Burst))}
}

// timeUntil returns the time until the bucket holds the given number of tokens, at least 1 ms and at
// most maxRetryAfter.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	if b.Rate == 0 || b.Burst == 0 {
		return maxRetryAfter
	}
	wait := time.Duration(math.Ceil((tokens - b.tokens) / b.Rate * float64(time.Second)))
	return min(max(wait, time.Millisecond), maxRetryAfter)
}

// refill adds the tokens since the last refill. Tokens above the burst become unused tokens for
// other teams.
func (q *Quotas) refill(now time.Time, b *bucket) {
	if !now.After(b.refilledAt) {
		return
	}
	b.tokens += b.Rate * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	if b.tokens > b.Burst {
		q.addUnused(b.tokens - b.Burst)
		b.tokens = b.Burst
	}
}

// addUnused adds unused tokens, within the bound of unusedWindow.
func (q *Quotas) addUnused(tokens float64) {
	q.unused = min(q.unused+tokens, q.totalRate*unusedWindow.Seconds())
}

// distribute distributes unused tokens by weight to the teams that have exceeded their quota within
// demandWindow. The requester is exceeding its quota now. Between distributions there is at least
// distributionInterval, unless the requester had no demand before.
func (q *Quotas) distribute(now time.Time, requester *bucket) {
	newDemand := now.Sub(requester.exceededAt) > demandWindow
	requester.exceededAt = now
	if !newDemand && now.Sub(q.distributedAt) < distributionInterval {
		return
	}
	q.distributedAt = now
	weights := 0.0
	for _, b := range q.sorted {
		q.refill(now, b)
		if now.Sub(b.exceededAt) <= demandWindow {
			weights += b.Weight
		} else {
			q.addUnused(b.borrowable)
			b.borrowable = 0
		}
	}
	capacity := q.totalRate * unusedWindow.Seconds()
	for _, b := range q.sorted {
		// The limit of a team falls when another team gets demand, which then gets the difference.
		if limit := capacity * b.Weight / weights; b.borrowable > limit {
			q.addUnused(b.borrowable - limit)
			b.borrowable = limit
		}
	}
	unused := q.unused
	for _, b := range q.sorted {
		if now.Sub(b.exceededAt) <= demandWindow {
			granted := min(unused*b.Weight/weights, capacity*b.Weight/weights-b.borrowable)
			b.borrowable += granted
			q.unused -= granted
		}
	}
}
