package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Guards against a team that is refused within its quota because of other teams, and against
// admissions beyond the sum of all quotas.
func TestTeamsWithinQuotaAreAdmitted(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		q := NewQuotas()
		tokens := map[string]float64{}
		quotas := map[string]Quota{}
		admitted, quotaTokens := 0.0, 0.0
		for i := range 4 {
			team := fmt.Sprint("t", i)
			quotas[team] = Quota{
				Rate:   float64(random.IntN(21)),
				Burst:  float64(1 + random.IntN(10)),
				Weight: float64(random.IntN(4)),
			}
			q.Set(start, team, quotas[team])
			tokens[team] = quotas[team].Burst
			quotaTokens += quotas[team].Burst
		}
		now := start
		for range 200 {
			elapsed := time.Duration(random.IntN(201)) * time.Millisecond
			now = now.Add(elapsed)
			for team, quota := range quotas {
				tokens[team] = min(quota.Burst, tokens[team]+quota.Rate*elapsed.Seconds())
				quotaTokens += quota.Rate * elapsed.Seconds()
			}
			team := fmt.Sprint("t", random.IntN(4))
			n := 1 + random.IntN(8)
			d := q.Admit(now, team, n)
			if !d.Admitted && tokens[team] > min(float64(n), quotas[team].Burst)+1e-6 {
				t.Fatalf("seed %d: %s was refused %d tasks with %f tokens in its bucket", seed, team, n, tokens[team])
			}
			if d.Admitted == (d.RetryAfter > 0) || d.Borrowed > n {
				t.Fatalf("seed %d: decision %+v for %d tasks", seed, d, n)
			}
			if d.Admitted {
				tokens[team] -= float64(n - d.Borrowed)
				admitted += float64(n)
			}
		}
		// The tokens of each of the 4 teams may be negative by one job of at most 8 tasks.
		if admitted > quotaTokens+4*8 {
			t.Fatalf("seed %d: %f tasks admitted with quotas for %f", seed, admitted, quotaTokens)
		}
	}
}

// Guards against unused tokens that are not lent to other teams, or not in proportion to weights.
func TestUnusedCapacityIsLentByWeight(t *testing.T) {
	g := NewWithT(t)
	q := NewQuotas()
	for team, quota := range map[string]Quota{
		"idle":  {Rate: 80, Burst: 10},
		"light": {Rate: 10, Burst: 10, Weight: 1},
		"heavy": {Rate: 10, Burst: 10, Weight: 3},
	} {
		q.Set(start, team, quota)
	}
	borrowed := map[string]int{}
	const seconds = 20
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		borrowed["light"] += q.Admit(now, "light", 1).Borrowed
		borrowed["heavy"] += q.Admit(now, "heavy", 1).Borrowed
	}
	g.Expect(borrowed["light"] + borrowed["heavy"]).To(BeNumerically("~", 80*seconds, 80))
	g.Expect(float64(borrowed["heavy"]) / float64(borrowed["light"])).To(BeNumerically("~", 3, 0.3))
	// The idle team gets its quota immediately when it needs it again.
	now := start.Add(seconds * time.Second)
	g.Expect(q.Admit(now, "idle", 10)).To(Equal(Admission{Admitted: true}))
	g.Expect(q.Admit(now, "nobody", 1).Admitted).To(BeFalse())
}

// Guards against a job larger than the burst of its team that is never admitted, and against refused
// submissions that take tokens.
func TestLargeJobsAndRefusals(t *testing.T) {
	g := NewWithT(t)
	q := NewQuotas()
	q.Set(start, "t", Quota{Rate: 10, Burst: 20})
	g.Expect(q.Admit(start, "t", 390).Admitted).To(BeTrue())
	for range 2 {
		g.Expect(q.Admit(start, "t", 1)).To(Equal(Admission{RetryAfter: 37100 * time.Millisecond}))
	}
	full := start.Add(39 * time.Second)
	g.Expect(q.Admit(full, "t", 20).Admitted).To(BeTrue())
	now := full.Add(100 * time.Millisecond)
	g.Expect(q.Admit(now, "t", 1).Admitted).To(BeTrue())
	g.Expect(q.Admit(now, "t", 1).RetryAfter).To(Equal(100 * time.Millisecond))
}

// Guards against a retry storm after a failure, and against a host with few starts that cannot retry
// at all.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	b := NewRetryBudget(0.1)
	allowed := func(now time.Time) (n int) {
		for range 1000 {
			if b.AllowRetry(now) {
				n++
			}
		}
		return n
	}
	g.Expect(allowed(start)).To(Equal(3))
	for range 1000 {
		b.RecordStart(start)
	}
	g.Expect(allowed(start)).To(Equal(100))
	g.Expect(allowed(start.Add(time.Second))).To(BeNumerically("<=", 1))
	g.Expect(allowed(start.Add(10 * time.Minute))).To(Equal(3))
}

// Guards against retries although the document sets the share 0.
func TestNoRetries(t *testing.T) {
	g := NewWithT(t)
	b := NewRetryBudget(0.1)
	b.RecordStart(start)
	g.Expect(b.AllowRetry(start)).To(BeTrue())
	b.SetShare(0)
	g.Expect(b.AllowRetry(start.Add(time.Minute))).To(BeFalse())
}

// Guards against times outside [wait, 2*wait], and against refused callers that retry at the same
// time.
func TestJitter(t *testing.T) {
	g := NewWithT(t)
	h := NewJitter(1, 50*time.Millisecond, 30*time.Second)
	for requested, limited := range map[time.Duration]time.Duration{
		-time.Second: 50 * time.Millisecond,
		time.Second:  time.Second,
		time.Hour:    30 * time.Second,
	} {
		lowerHalf, upperHalf := 0, 0
		for range 1000 {
			wait := h.RetryAfter(start, requested)
			g.Expect(wait).To(BeNumerically(">=", limited))
			g.Expect(wait).To(BeNumerically("<=", 2*limited))
			if wait < limited+limited/2 {
				lowerHalf++
			} else {
				upperHalf++
			}
		}
		g.Expect(lowerHalf).To(BeNumerically("~", upperHalf, 150))
	}
}

// Guards against submissions that are admitted although they cannot meet their deadline, and against
// submissions that are refused because of an unreliable estimate.
func TestCheckDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		remaining time.Duration
		forecast  Forecast
		want      DeadlineCheck
	}{
		"idle":         {remaining: time.Second, forecast: Forecast{P50: 900 * time.Millisecond, P95: 2 * time.Second, Samples: 1e6}, want: DeadlineCheck{Admitted: true}},
		"queue":        {remaining: time.Second, forecast: Forecast{Wait: 600 * time.Millisecond, P50: 300 * time.Millisecond, P95: 600 * time.Millisecond, Samples: 90}, want: DeadlineCheck{RetryAfter: 140 * time.Millisecond}},
		"too long":     {remaining: time.Second, forecast: Forecast{P50: 2 * time.Second, P95: 2 * time.Second, Samples: 90}, want: DeadlineCheck{Infeasible: true}},
		"no samples":   {remaining: time.Second, forecast: Forecast{Wait: time.Second, P50: time.Second, P95: time.Second}, want: DeadlineCheck{Admitted: true}},
		"far too late": {remaining: time.Second, forecast: Forecast{Wait: time.Hour, P50: time.Second, P95: time.Second}, want: DeadlineCheck{RetryAfter: 1799500 * time.Millisecond}},
		"past":         {remaining: -time.Second, want: DeadlineCheck{Infeasible: true}},
	} {
		NewWithT(t).Expect(CheckDeadline(start, start.Add(c.remaining), c.forecast)).To(Equal(c.want), name)
	}
	NewWithT(t).Expect(CheckDeadline(start, time.Time{}, Forecast{Wait: time.Hour}).Admitted).To(BeTrue())
}

func ExampleQuotas() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	q := NewQuotas()
	q.Set(now, "press", Quota{Rate: 10, Burst: 4})
	q.Set(now, "archive", Quota{Rate: 10, Burst: 4})
	fmt.Println(q.Admit(now, "press", 4))
	fmt.Println(q.Admit(now, "press", 1))
	// The team archive has not used its quota for one second.
	now = now.Add(time.Second)
	fmt.Println(q.Admit(now, "press", 4))
	fmt.Println(q.Admit(now, "press", 6))
	// Output:
	// {true 0 0s}
	// {false 0 100ms}
	// {true 0 0s}
	// {true 6 0s}
}
