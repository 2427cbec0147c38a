// Package detector detects failing upstreams, failing kinds of tasks, and slow upstreams.
//
// A Detector attributes each failure by comparison: to the upstream if the kind succeeds on other
// upstreams, to the kind if it fails on several upstreams on which other kinds succeed, and to
// neither as long as there is nothing to compare with. An upstream on which all tasks fail, however
// fast, is ejected after 4 failures of kinds that usually succeed; it takes more failures of kinds
// that often fail on other upstreams as well. At most a configured share of the upstreams of a
// service is ejected or probing at the same time. An ejected upstream gets single tasks as probes,
// at intervals that grow as long as the probes fail, and is healthy again after some have succeeded.
//
// The caller reports the result of each task that an upstream ran, except those that it stopped
// itself, gives a probing upstream one task at a time, and removes upstreams that no longer exist.
// It passes the current time to each call. A Detector reads no clock, makes no random choices and
// is not safe for concurrent use. Its state is lost with the process; a new Detector regards all
// upstreams and kinds as healthy.
package detector

import "time"

// State is the health of an upstream.
type State string

// The states of an upstream.
const (
	// Healthy upstreams get tasks.
	Healthy State = "healthy"
	// Ejected upstreams get no tasks.
	Ejected State = "ejected"
	// Probing upstreams get one task at a time.
	Probing State = "probing"
)

const (
	defaultEjectShare    = 0.3
	defaultProbeInterval = time.Second
	defaultMaxInterval   = time.Minute
	defaultMaxKinds      = 512
	// intervalResetFactor is the multiple of MaxProbeInterval for which an upstream must stay
	// healthy before its next ejection starts with the shortest probe interval again.
	intervalResetFactor = 5
)

// Config holds the settings of a Detector.
type Config struct {
	// EjectShare is the largest share of the upstreams of a service that are ejected or
	// probing; 0.3 unless it is between 0 and 1.
	EjectShare float64
	// ProbeInterval and MaxProbeInterval bound the time until the next probe of an ejected upstream
	// or of a failing kind; 1 s and 1 min if they are not above zero.
	ProbeInterval, MaxProbeInterval time.Duration
	// MaxKinds bounds the number of pairs of service and kind; 512 if it is not above zero. Results
	// of further kinds are ignored.
	MaxKinds int
}

// Detector holds the results of upstreams and kinds.
type Detector struct {
	cfg       Config
	upstreams map[string]*upstream
	services  map[string]*service
	kinds     int // number of pairs of service and kind
}

type service struct {
	upstreams int
	unhealthy int // upstreams that are ejected or probing
	kinds     map[string]*kind
}

// New returns a Detector without results.
func New(cfg Config) *Detector {
	if !(cfg.EjectShare > 0 && cfg.EjectShare <= 1) {
		cfg.EjectShare = defaultEjectShare
	}
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = defaultProbeInterval
	}
	if cfg.MaxProbeInterval <= 0 {
		cfg.MaxProbeInterval = defaultMaxInterval
	}
	if cfg.MaxKinds <= 0 {
		cfg.MaxKinds = defaultMaxKinds
	}
	return &Detector{
		cfg:       cfg,
		upstreams: map[string]*upstream{},
		services:  map[string]*service{},
	}
}

// SetEjectShare changes Config.EjectShare to a share from 0 to 1. With 0, no upstream is ejected. Any other value changes
// nothing. Upstreams that are ejected already stay so.
func (d *Detector) SetEjectShare(share float64) {
	if share >= 0 && share <= 1 {
		d.cfg.EjectShare = share
	}
}

// Add adds an upstream, so that it counts for Config.EjectShare. ReportResult and Observe add
// upstreams as well.
func (d *Detector) Add(id, serviceName string) { d.upstream(id, serviceName) }

// Remove removes an upstream and its results.
func (d *Detector) Remove(id string) {
	u, ok := d.upstreams[id]
	if !ok {
		return
	}
	u.removeCells()
	if u.state != Healthy {
		u.service.unhealthy--
	}
	u.service.upstreams--
	delete(d.upstreams, id)
}

// ReportResult records whether a task succeeded.
func (d *Detector) ReportResult(now time.Time, id, serviceName, kindName string, ok bool) {
	u := d.upstream(id, serviceName)
	k := d.kind(u.service, kindName)
	if k == nil {
		return
	}
	if ok {
		k.recordSuccess()
	}
	if u.state != Healthy {
		u.recordProbe(now, d.cfg, k, ok)
		return
	}
	baseline := k.baselineRate()
	u.cell(k).record(ok)
	u.updateEvidence(ok, baseline)
	if !ok {
		k.recordFailure(now, d.cfg)
		u.eject(now, d.cfg)
	}
}

// State returns the state of an upstream, or Healthy if the upstream is not known. An ejected
// upstream becomes Probing when the next probe is due.
func (d *Detector) State(now time.Time, id string) State {
	u, ok := d.upstreams[id]
	if !ok {
		return Healthy
	}
	switch {
	case u.state == Ejected && !now.Before(u.ejectedUntil):
		u.state = Probing
	case u.state == Healthy:
		// The share of ejected upstreams may have fallen since the last failure.
		u.eject(now, d.cfg)
	}
	return u.state
}

// KindFails reports whether the kind fails on nearly all upstreams, so that callers should refuse
// its jobs instead of running them.
func (d *Detector) KindFails(serviceName, kindName string) bool {
	k := d.find(serviceName, kindName)
	return k != nil && k.failing
}

// AllowProbe reports whether one task of a failing kind should run as a probe, so that a recovery
// is detected. The interval until the next probe doubles with each one, up to
// Config.MaxProbeInterval. For kinds that do not fail it reports true.
func (d *Detector) AllowProbe(now time.Time, serviceName, kindName string) bool {
	k := d.find(serviceName, kindName)
	if k == nil || !k.failing {
		return true
	}
	if now.Before(k.nextProbe) {
		return false
	}
	k.probeInterval = min(2*k.probeInterval, d.cfg.MaxProbeInterval)
	k.nextProbe = now.Add(k.probeInterval)
	return true
}

// upstream returns an upstream and adds it if it is not known.
func (d *Detector) upstream(id, serviceName string) *upstream {
	if u, ok := d.upstreams[id]; ok {
		return u
	}
	s, ok := d.services[serviceName]
	if !ok {
		s = &service{kinds: map[string]*kind{}}
		d.services[serviceName] = s
	}
	s.upstreams++
	u := &upstream{
		service: s,
		state:   Healthy,
		cells:   map[*kind]*cell{},
	}
	d.upstreams[id] = u
	return u
}

func (d *Detector) find(serviceName, kindName string) *kind {
	if s, ok := d.services[serviceName]; ok {
		return s.kinds[kindName]
	}
	return nil
}

// kind returns a kind and adds it if it is not known. It returns nil at the limit of Config.MaxKinds.
func (d *Detector) kind(s *service, name string) *kind {
	k, ok := s.kinds[name]
	if !ok && d.kinds < d.cfg.MaxKinds {
		d.kinds++
		k = &kind{
			service: s,
			cells:   map[*upstream]*cell{},
		}
		s.kinds[name] = k
	}
	return k
}
