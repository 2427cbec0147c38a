package emulator

import (
	"time"
)

// Disturbances are faults that go on through the whole simulation. Each is disabled by its zero value.
type Disturbances struct {
	// BusyEvery is the mean time between two spans in which the loop of a host handles nothing, because other
	// processes use its processor; BusyTime bounds them. The sessions of the host go on.
	BusyEvery, BusyTime time.Duration
	// DelayedShare is the share of batches, orders and responses that are delayed by MaxDelay at most.
	DelayedShare float64
	MaxDelay     time.Duration
	// BrokenShare is the share of submissions whose connection breaks; the caller then resends the job. The host
	// notices that within NoticeTime, and never in UnnoticedShare of the cases.
	BrokenShare    float64
	NoticeTime     time.Duration
	UnnoticedShare float64
	// ResubmitAnywhere makes callers resend their jobs to hosts of any domain.
	ResubmitAnywhere bool
	// UnhealthyEvery is the mean time between two spans in which a host is unhealthy; UnhealthyTime bounds them.
	UnhealthyEvery, UnhealthyTime time.Duration
	// StopEvery is the time between two planned stops, which come to all hosts in turn.
	StopEvery time.Duration
	// MaxClockOffset bounds the difference of the wall clock of a host from the true time, in either direction. It
	// changes when the host restarts.
	MaxClockOffset time.Duration
	// EvacuateEvery is the mean time between two orders to evacuate a domain, EvacuateTime the time until it is
	// taken back.
	EvacuateEvery, EvacuateTime time.Duration
	// WideRunTimes makes tasks of short jobs run for 50 ms to 800 ms.
	WideRunTimes bool
}

// minBusyTime is the least time for which a busy loop handles nothing.
const minBusyTime = 20 * time.Millisecond

// scheduleDisturbances schedules the disturbances that do not depend on the course of the simulation.
func (w *Simulation) scheduleDisturbances() {
	d := w.cfg.Disturbances
	for _, n := range w.Hosts {
		w.schedulePoisson(d.BusyEvery, func() {
			n.loopBusyUntil = max(n.loopBusyUntil, w.Now()+minBusyTime+w.drawDuration(d.BusyTime-minBusyTime))
		})
		w.schedulePoisson(d.UnhealthyEvery, func() {
			n.setHealthy(false)
			w.After(w.drawDuration(d.UnhealthyTime), func() { n.setHealthy(true) })
		})
	}
	w.schedulePoisson(d.EvacuateEvery, func() {
		domain := w.Hosts[w.disturbanceRng.IntN(len(w.Hosts))].Domain
		if w.evacuations.Evacuated(domain) {
			return
		}
		w.SetEvacuated(domain, true)
		w.After(d.EvacuateTime, func() { w.SetEvacuated(domain, false) })
	})
	if d.StopEvery > 0 {
		at := 2 * time.Second
		for _, i := range w.disturbanceRng.Perm(len(w.Hosts)) {
			w.At(at, func() { w.restart(w.Hosts[i]) })
			at += d.StopEvery
		}
	}
}

// schedulePoisson calls a function at random times with the mean interval, from 1 s until jobs stop arriving.
func (w *Simulation) schedulePoisson(every time.Duration, do func()) {
	if every <= 0 {
		return
	}
	at := time.Second
	for {
		at += time.Duration(w.disturbanceRng.ExpFloat64() * float64(every))
		if at > w.cfg.Duration {
			return
		}
		w.At(at, do)
	}
}

// drawDuration returns a random duration below a bound, or 0 if the bound is not positive.
func (w *Simulation) drawDuration(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(w.disturbanceRng.Int64N(int64(bound)))
}

// extraDelay returns the time by which a message is delayed.
func (w *Simulation) extraDelay() time.Duration {
	d := w.cfg.Disturbances
	if d.DelayedShare == 0 || w.disturbanceRng.Float64() >= d.DelayedShare {
		return 0
	}
	return w.drawDuration(d.MaxDelay)
}

func (w *Simulation) drawClockOffset() time.Duration {
	bound := w.cfg.Disturbances.MaxClockOffset
	return w.drawDuration(2*bound) - bound
}

func (n *Host) setHealthy(healthy bool) {
	n.runInLoop(func() {
		if n.core != nil {
			n.core.SetHealthy(n.wallTime(), healthy)
			n.core.Flush(n.wallTime())
		}
	})
}

// scheduleBreak makes the connection of a submission that was just sent break, perhaps.
func (w *Simulation) scheduleBreak(j *callerJob) {
	d := w.cfg.Disturbances
	if d.BrokenShare == 0 || w.disturbanceRng.Float64() >= d.BrokenShare {
		return
	}
	attempt := j.attempts
	noticed := w.disturbanceRng.Float64() >= d.UnnoticedShare
	w.After(w.drawDuration(resubmitDelay), func() {
		if j.attempts == attempt {
			w.breakConnection(j, noticed, w.drawDuration(d.NoticeTime))
		}
	})
}

// breakConnection breaks the connection of a caller that waits for an answer; the caller resends its job after
// resubmitDelay. The host notices that after a time, or not at all.
func (w *Simulation) breakConnection(j *callerJob, noticed bool, after time.Duration) {
	n := j.host
	if j.done || n == nil {
		return
	}
	w.logger("world").Info("connection broke", "job", j.job.ID, "host", n.Name, "noticed", noticed)
	j.host = nil
	j.mayHaveRun = true
	w.After(resubmitDelay, func() { w.resubmit(j) })
	if !noticed {
		return
	}
	caller, incarnation := j.caller, n.incarnation
	w.After(after, func() {
		n.runInLoop(func() {
			if n.core != nil && n.incarnation == incarnation {
				n.core.CallerGone(n.wallTime(), j.job.ID, caller)
				n.core.Flush(n.wallTime())
			}
		})
	})
}

// holdLink delays the batches from one host to another until a time has passed.
func (w *Simulation) holdLink(from, to *Host, d time.Duration) {
	w.lastArrival[[2]string{from.Name, to.Name}] = w.Now() + d
}
