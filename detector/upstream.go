package detector

import (
	"math"
	"time"
)

const (
	// faultyUpstreamRate is the failure rate that is assumed for a faulty upstream. A result is
	// weighted by how much more likely it is on a faulty upstream than at the baseline of its kind.
	faultyUpstreamRate = 0.5
	// minBaselineRate is the lower bound of the baseline. It limits the weight of a single failure
	// of a reliable kind to ln(0.5/0.05) = 2.3.
	minBaselineRate = 0.05
	// baselineFactor is the multiple of the baseline that is assumed as the failure rate of a
	// healthy upstream, so that a slightly higher rate is no evidence against it.
	baselineFactor = 2
	// ejectThreshold is the evidence from which on an upstream is ejected: 4 consecutive failures of
	// reliable kinds. With a threshold of 3 failures, healthy upstreams would be ejected too often
	// at thousands of tasks per second of which one in a hundred fails.
	ejectThreshold = 8.0
	// requiredProbes is the number of consecutive probes that must succeed before an upstream is
	// healthy again.
	requiredProbes = 2
	// slownessWeight is the weight of the newest run time in the slowness of an upstream.
	slownessWeight = 0.1
	// kindRunTimeWeight is the weight of the newest run time in the mean of a kind.
	kindRunTimeWeight = 0.02
	// minObservations is the number of run times below which an upstream does not count as slow.
	minObservations = 5
	// toleratedRatio is the ratio of run times to the mean of their kind up to which an upstream
	// has the full weight.
	toleratedRatio = 1.3
	// minWeight is the lower bound of the weight. It leaves an upstream enough tasks to show a
	// recovery.
	minWeight = 0.05
	// minRunTime keeps the logarithms of run times finite.
	minRunTime = time.Microsecond
)

// upstream holds the results of one upstream.
type upstream struct {
	service         *service
	state           State
	cells           map[*kind]*cell // empty unless healthy
	succeedingKinds int             // number of cells whose kind succeeds
	// evidence is the cumulative sum of the logarithms of the likelihood ratios of the results,
	// between a faulty and a healthy upstream. It is at least 0 and at most 2*ejectThreshold.
	evidence         float64
	ejectedUntil     time.Time // while ejected; then a probe is due
	probeInterval    time.Duration
	healthySince     time.Time // end of the latest ejection
	successfulProbes int       // consecutive successes while probing
	// slowness is the moving mean of the logarithms of the ratios between the run times on this
	// upstream and the means of their kinds.
	slowness     float64
	observations float64 // number of run times
}

// cell returns the cell of a kind and creates it if there is none.
func (u *upstream) cell(k *kind) *cell {
	c, ok := u.cells[k]
	if !ok {
		c = &cell{
			upstream: u,
			kind:     k,
		}
		u.cells[k] = c
		k.cells[u] = c
	}
	return c
}

// removeCells removes the results of the upstream from itself and from the kinds.
func (u *upstream) removeCells() {
	for k, c := range u.cells {
		c.removeFromCounts()
		delete(k.cells, u)
	}
	clear(u.cells)
}

// updateEvidence adds a result to the evidence (a cumulative sum test, CUSUM). A result of a kind
// with a high baseline is ignored.
func (u *upstream) updateEvidence(ok bool, baseline float64) {
	baseline = max(minBaselineRate, baselineFactor*baseline)
	if baseline >= faultyUpstreamRate {
		return
	}
	logRatio := math.Log(faultyUpstreamRate / baseline)
	if ok {
		logRatio = math.Log((1 - faultyUpstreamRate) / (1 - baseline))
	}
	u.evidence = min(max(0, u.evidence+logRatio), 2*ejectThreshold)
}

// eject ejects the upstream if there is enough evidence and Config.EjectShare allows one more.
func (u *upstream) eject(now time.Time, cfg Config) {
	allowed := int(cfg.EjectShare * float64(u.service.upstreams))
	if u.evidence < ejectThreshold || u.service.unhealthy >= allowed {
		return
	}
	if u.probeInterval == 0 || now.Sub(u.healthySince) > intervalResetFactor*cfg.MaxProbeInterval {
		u.probeInterval = cfg.ProbeInterval
	} else {
		u.probeInterval = min(2*u.probeInterval, cfg.MaxProbeInterval)
	}
	u.service.unhealthy++
	u.state = Ejected
	u.ejectedUntil = now.Add(u.probeInterval)
	u.evidence = 0
	u.successfulProbes = 0
	// Results on a faulty upstream must not count for the kinds.
	u.removeCells()
}

// recordProbe records the result of a probe. Results of an ejected upstream are ignored: their
// tasks started before the ejection.
func (u *upstream) recordProbe(now time.Time, cfg Config, k *kind, ok bool) {
	if u.state != Probing {
		return
	}
	if ok {
		if u.successfulProbes++; u.successfulProbes >= requiredProbes {
			u.state = Healthy
			u.service.unhealthy--
			u.healthySince = now
		}
		return
	}
	// The interval grows unless the failure may be due to the kind.
	if !k.failing && (len(k.cells) == 0 || k.rateQuantile() < faultyUpstreamRate) {
		u.probeInterval = min(2*u.probeInterval, cfg.MaxProbeInterval)
	}
	u.state = Ejected
	u.successfulProbes = 0
	u.ejectedUntil = now.Add(u.probeInterval)
}

// Observe records the run time of a task that succeeded.
func (d *Detector) Observe(_ time.Time, id, serviceName, kindName string, runTime time.Duration) {
	u := d.upstream(id, serviceName)
	k := d.kind(u.service, kindName)
	if k == nil {
		return
	}
	logRunTime := math.Log(max(runTime, minRunTime).Seconds())
	k.observations++
	k.logRunTime += max(kindRunTimeWeight, 1/k.observations) * (logRunTime - k.logRunTime)
	u.observations++
	u.slowness += max(slownessWeight, 1/u.observations) * (logRunTime - k.logRunTime - u.slowness)
}

// Weight returns the share of work that the upstream should get relative to others, between 0.05
// and 1. It is lower for upstreams with longer run times than others for the same kinds, and 0.05
// for those that are not ejected only because of Config.EjectShare.
func (d *Detector) Weight(id string) float64 {
	u, ok := d.upstreams[id]
	switch {
	case !ok:
		return 1
	case u.evidence >= ejectThreshold:
		return minWeight
	case u.observations < minObservations || u.slowness <= math.Log(toleratedRatio):
		return 1
	default:
		return max(minWeight, math.Exp(-u.slowness))
	}
}
