package server

import (
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/detector"
	"sesamedrift.example/sesamedrift/estimator"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/limiter"
	"sesamedrift.example/sesamedrift/scheduler"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// spillMargin is how much longer than the round trip to another failure domain the estimated wait
	// in this host's queue must be before tasks are forwarded there. It allows for the age of the
	// slot reports.
	spillMargin = 5 * time.Millisecond
	// slotReportTTL is the age above which a peer's slot report is ignored.
	slotReportTTL = time.Second
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func newMembership(cfg Config, self leaser.Member) *membership {
	s := cfg.Settings
	return &membership{
		unacked: map[string]bool{},
		leaser: leaser.New(leaser.Config{
			Self:           self,
			Domain:         s.Domain,
			LeaseTime:      s.LeaseTime.Std(),
			HeartbeatEvery: s.HeartbeatEvery.Std(),
			SuspectAfter:   s.SuspectAfter.Std(),
			DriftMargin:    s.DriftMargin.Std(),
		}),
	}
}

func newDispatcher(cfg Config, h *Host) *dispatcher {
	d := &dispatcher{
		now:                 cfg.Now,
		log:                 h.log,
		commands:            make(chan command, commandBuffer),
		stopped:             make(chan struct{}),
		runTimes:            estimator.New(estimator.Config{}),
		quotas:              limiter.NewQuotas(),
		budget:              limiter.NewRetryBudget(limiter.DefaultRetryShare),
		retryHints:          limiter.NewJitter(cfg.Seed, minRetryAfter, maxRetryAfter),
		health:              detector.New(detector.Config{}),
		spillMargin:         spillMargin,
		attempt:             h.runLocally,
		forward:             h.forwardTask,
		owns:                h.members.owns,
		finish:              h.finish,
		afterStep:           h.publishState,
		jobs:                map[string]*job{},
		upstreams:           map[string]*ownedUpstream{},
		peerTasks:           map[string]*peerTask{},
		inFlight:            map[string]inFlightAttempt{},
		orphans:             map[string]*job{},
		takeovers:           map[string]time.Time{},
		lastReceived:        map[string]uint64{},
		forwardSeq:          uint64(cfg.Now().UnixNano()),
		configuredServices:  map[string]bool{},
		announcedCapacities: map[string]map[sesamedrift.Resources]bool{},
		ownedServices:       map[string]bool{},
		noSlotsSince:        map[string]time.Time{},
		earlyStops:          map[string]time.Time{},
		weights:             map[string]float64{},
		teams:               map[string]map[string]bool{},
		peers:               newPeerSlots(),
	}
	d.queue = scheduler.New(scheduler.Config{
		MaxTasks:   validator.MaxQueuedTasks,
		Policy:     cfg.Policy,
		Seed:       cfg.Seed,
		TeamWeight: func(team string) float64 { return d.weights[team] },
	})
	return d
}

// configure applies a document that was activated. The retry share, the eject share and the distances
// to peers come from the production document only.
func (d *dispatcher) configure(now time.Time, e validator.Environment, domain string, peerDomains map[string]string) {
	previous := d.teams[e.Name]
	d.teams[e.Name] = map[string]bool{}
	for _, t := range e.Teams {
		name := teamName(e.Name, t.Name)
		d.teams[e.Name][name] = true
		d.weights[name] = t.Weight
		d.quotas.Set(now, name, limiter.Quota{
			Rate:   t.Rate,
			Burst:  float64(t.Burst),
			Weight: t.Weight,
		})
	}
	for name := range previous {
		if !d.teams[e.Name][name] {
			d.quotas.Remove(name)
			delete(d.weights, name)
		}
	}
	for _, s := range e.Services {
		d.configuredServices[serviceName(e.Name, s.Name)] = true
		d.queue.ConfigureService(now, serviceName(e.Name, s.Name), scheduler.ServiceConfig{
			MaxTasks:  s.MaxQueue,
			LongShare: s.LongShare,
			MinDemand: s.MinDemand(),
		})
	}
	if e.Name != validator.Production {
		return
	}
	d.budget.SetShare(e.Limits.RetryShare)
	d.health.SetEjectShare(e.Limits.EjectShare)
	for host, other := range peerDomains {
		distance, _ := e.Distance(domain, other)
		d.peers.get(host).distance = distance.Std()
	}
}

// teamName returns the scheduler's name of a team of an environment.
func teamName(environment, team string) string { return environment + "/" + team }

// cancelAll cancels the contexts of the remaining jobs, upstreams and forwarded tasks. It must only be
// called after loop has returned.
func (d *dispatcher) cancelAll() {
	for _, j := range d.jobs {
		j.cancel()
	}
	for _, u := range d.upstreams {
		u.cancel(errDispatcherStopped)
	}
	for _, v := range d.peerTasks {
		v.cancel()
	}
}
