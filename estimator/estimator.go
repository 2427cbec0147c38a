// Package estimator estimates the run times of kinds of tasks from the run times of finished
// tasks.
//
// An Estimator keeps one histogram of bounded size with exponential decay per pair of service and
// kind, and a bounded number of pairs. Estimates follow a change of the run time within a few
// half-lives. Quantiles are within 5 % of an observed run time, between 100 us and 1 h. A run time
// that a caller declares is used only for kinds without samples, and within limits, because
// declared run times are often far from the actual ones.
//
// The caller passes the current time to each call and reports only tasks that succeeded: tasks
// that fail or are stopped end earlier than their kind usually takes. An Estimator reads no clock
// and is not safe for concurrent use. Its state is lost with the process; a new Estimator starts
// without samples.
package estimator

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	defaultEstimate = 200 * time.Millisecond
	defaultHalfLife = time.Minute
	// defaultMaxPairs bounds the memory to about 3 MB, at 3 kB for each pair.
	defaultMaxPairs = 1024
	// longFactor is the multiple of the median run time of the service from which on the median of
	// a kind has the class Long. Most tasks take 50 ms to 1 s, and a few kinds many times longer.
	longFactor = 4.0
	// shortFactor is the multiple below which a kind has the class Short again. It is lower than
	// longFactor so that a kind near the limit does not alternate between the classes.
	shortFactor = 2.0
	// declaredFactor bounds a declared run time to between a tenth and ten times the default
	// estimate.
	declaredFactor = 10
	// medianTTL is how long the median of a service is used before it is computed again. The cost
	// of the computation is proportional to the number of kinds.
	medianTTL = time.Second
)

// Config holds the settings of an Estimator.
type Config struct {
	// DefaultRunTime is the estimate for kinds without samples; 200 ms if it is not above zero.
	DefaultRunTime time.Duration
	// HalfLife is the age at which a sample has half its initial weight; 1 min if it is not above
	// zero.
	HalfLife time.Duration
	// MaxKinds is the largest number of pairs of service and kind; 1,024 if it is not above zero.
	// The least recently observed pair is evicted first.
	MaxKinds int
}

// Estimate is the expected run time of the next task of a kind.
type Estimate struct {
	P50, P95, Mean time.Duration
	Class          Class
	// Samples is the sum of the decayed weights of the samples, rounded up; zero means that the
	// kind has no samples.
	Samples int
	// LongThreshold is the run time after which a running task counts as long.
	LongThreshold time.Duration
}

// Estimator holds the observed run times by service and kind.
type Estimator struct {
	cfg      Config
	services map[string]*service
	recent   *list.List // of *kind, the most recently observed first
}

type service struct {
	name     string
	kinds    map[string]*kind
	median   time.Duration // of the medians of the kinds; the lower one if their number is even
	medianAt time.Time     // when median was computed; zero if it is invalid
}

type kind struct {
	name           string
	service        *service
	runTimes       histogram
	longestRunning time.Duration // longest run time of an unfinished task; used without samples
	class          Class
	element        *list.Element // of Estimator.recent
}

// New returns an Estimator without samples.
func New(cfg Config) *Estimator {
	if cfg.DefaultRunTime <= 0 {
		cfg.DefaultRunTime = defaultEstimate
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = defaultHalfLife
	}
	if cfg.MaxKinds <= 0 {
		cfg.MaxKinds = defaultMaxPairs
	}
	return &Estimator{
		cfg:      cfg,
		services: map[string]*service{},
		recent:   list.New(),
	}
}

// Observe records the run time of a task that succeeded.
func (e *Estimator) Observe(now time.Time, service, kind string, runTime time.Duration) {
	k := e.findOrAdd(service, kind)
	k.runTimes.add(now, e.cfg.HalfLife, max(0, runTime))
}

// ObserveRunning records that a task is still running after the given run time. It affects only
// kinds without samples: a kind that runs for many seconds would otherwise be classified as Short
// until its first task has ended.
func (e *Estimator) ObserveRunning(_ time.Time, service, kind string, runTime time.Duration) {
	k := e.findOrAdd(service, kind)
	if k.runTimes.total == 0 && runTime > k.longestRunning {
		k.longestRunning = runTime
		k.service.medianAt = time.Time{}
	}
}

// Estimate returns the expected run time of the next task of the kind. Without samples it is the
// default, or twice the longest run time passed to ObserveRunning if that is longer.
func (e *Estimator) Estimate(now time.Time, service, kind string) Estimate {
	return e.EstimateDeclared(now, service, kind, 0)
}

// EstimateDeclared is like Estimate for a task whose caller declared a run time. Without samples
// the declared run time replaces the default, within a factor of 10 of it. With samples it has no
// effect.
func (e *Estimator) EstimateDeclared(now time.Time, service, kind string, declared time.Duration) Estimate {
	k := e.find(service, kind)
	if k == nil || k.runTimes.total == 0 {
		return e.estimateUnsampled(now, k, declared)
	}
	s := k.service
	s.update(now)
	k.classify()
	samples := k.runTimes.samples(now, e.cfg.HalfLife)
	p50, p95 := k.runTimes.quantile(0.5), k.runTimes.quantile(0.95)
	// With few samples the observed tail is unreliable, so P95 is raised above it.
	p95 = max(p95, p50+time.Duration(float64(p50)/max(1, samples)))
	return Estimate{
		P50:           p50,
		P95:           p95,
		Mean:          k.runTimes.mean(),
		Class:         k.class,
		Samples:       max(1, int(math.Ceil(samples))),
		LongThreshold: max(p95, time.Duration(longFactor*float64(s.median))),
	}
}

// estimateUnsampled returns the estimate of a kind without samples. k is nil if the kind was never
// observed.
func (e *Estimator) estimateUnsampled(now time.Time, k *kind, declared time.Duration) Estimate {
	expected := e.cfg.DefaultRunTime
	if declared > 0 {
		expected = min(max(declared, e.cfg.DefaultRunTime/declaredFactor), e.cfg.DefaultRunTime*declaredFactor)
	}
	class := Short
	if k != nil {
		expected = max(expected, k.median())
		k.service.update(now)
		k.classify()
		class = k.class
	}
	return Estimate{
		P50:           expected,
		P95:           2 * expected,
		Mean:          expected,
		Class:         class,
		LongThreshold: longFactor * expected,
	}
}

func (e *Estimator) find(serviceName, kindName string) *kind {
	if s, ok := e.services[serviceName]; ok {
		return s.kinds[kindName]
	}
	return nil
}

// findOrAdd returns the kind as the most recently observed one. If it is new, it may evict another.
func (e *Estimator) findOrAdd(serviceName, kindName string) *kind {
	s, ok := e.services[serviceName]
	if !ok {
		s = &service{
			name:  serviceName,
			kinds: map[string]*kind{},
		}
		e.services[serviceName] = s
	}
	if k, ok := s.kinds[kindName]; ok {
		e.recent.MoveToFront(k.element)
		return k
	}
	k := &kind{
		name:    kindName,
		service: s,
		class:   Short,
	}
	k.element = e.recent.PushFront(k)
	s.kinds[kindName] = k
	s.medianAt = time.Time{}
	if e.recent.Len() > e.cfg.MaxKinds {
		e.evict(e.recent.Back())
	}
	return k
}

func (e *Estimator) evict(element *list.Element) {
	k, _ := e.recent.Remove(element).(*kind)
	s := k.service
	delete(s.kinds, k.name)
	s.medianAt = time.Time{}
	if len(s.kinds) == 0 {
		delete(e.services, s.name)
	}
}

// update computes the median of the service if it is invalid or older than medianTTL.
func (s *service) update(now time.Time) {
	if !s.medianAt.IsZero() && now.Sub(s.medianAt) < medianTTL {
		return
	}
	medians := make([]time.Duration, 0, len(s.kinds))
	for _, k := range s.kinds {
		medians = append(medians, k.median())
	}
	slices.Sort(medians)
	s.median = medians[(len(medians)-1)/2]
	s.medianAt = now
}

// median returns the median run time, or without samples twice the longest observed run time of an
// unfinished task.
func (k *kind) median() time.Duration {
	if k.runTimes.total == 0 {
		return 2 * k.longestRunning
	}
	return k.runTimes.quantile(0.5)
}

// classify sets the class by the median of the service, with hysteresis.
func (k *kind) classify() {
	p50, serviceMedian := float64(k.median()), float64(k.service.median)
	switch {
	case p50 >= longFactor*serviceMedian:
		k.class = Long
	case p50 < shortFactor*serviceMedian:
		k.class = Short
	}
}
