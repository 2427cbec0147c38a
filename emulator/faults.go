package emulator

import (
	"time"
)

// ScheduleFaults schedules random faults, drawn from the seed, from 2 s until about the time until,
// at the mean interval every. Faults may overlap. Each ends within a few seconds.
func (w *Simulation) ScheduleFaults(every, until time.Duration) {
	for at := 2 * time.Second; at < until; {
		at += time.Duration(w.rng.ExpFloat64() * float64(every))
		kind := w.rng.IntN(12)
		duration := time.Duration((0.2 + 4*w.rng.Float64()) * float64(time.Second))
		host := w.Hosts[w.rng.IntN(len(w.Hosts))]
		other := w.Hosts[w.rng.IntN(len(w.Hosts))]
		server := w.Upstreams[w.rng.IntN(len(w.Upstreams))]
		w.At(at, func() { w.injectFault(kind, duration, host, other, server) })
	}
}

func (w *Simulation) injectFault(kind int, duration time.Duration, host, other *Host, s *UpstreamServer) {
	w.logger("world").Info("fault", "kind", kind, "lasts", duration, "host", host.Name, "other", other.Name, "upstream", s.Name)
	switch kind {
	case 0:
		host.Kill()
		w.After(duration/4, host.Start)
	case 1:
		host.Freeze(duration / 2)
	case 2:
		w.cutLinksFor(duration, [2]string{host.Name, other.Name}, [2]string{other.Name, host.Name})
	case 3:
		w.isolate(host, duration)
	case 4:
		s.Crash()
		if w.cfg.KeepUpstreamIDs {
			duration /= 20
		}
		w.After(duration/2, s.Start)
	case 5:
		for _, n := range w.Hosts {
			w.cutLinksFor(duration, [2]string{n.Name, s.Name}, [2]string{s.Name, n.Name})
		}
	case 6:
		for _, n := range w.Hosts {
			w.cutLinksFor(duration, [2]string{s.Name, n.Name})
		}
	case 7:
		s.DelayOrders(0.2)
		w.After(duration, func() { s.DelayOrders(0) })
	case 8:
		conditions := []Condition{Failing, Hanging, Slow, Unhealthy}
		s.SetCondition(conditions[w.rng.IntN(len(conditions))])
		w.After(duration, func() { s.SetCondition(Healthy) })
	case 9:
		s.Drain(duration)
		w.After(duration+time.Second, s.Start)
	case 10:
		w.restart(host)
	case 11:
		w.ControlDown = true
		w.After(duration, func() { w.ControlDown = false })
	}
}

// cutLinksFor cuts the directed links now and heals them after the duration.
func (w *Simulation) cutLinksFor(duration time.Duration, links ...[2]string) {
	for _, link := range links {
		w.CutLink(link[0], link[1])
		w.After(duration, func() { w.HealLink(link[0], link[1]) })
	}
}

// isolate cuts a host off from all other hosts and from control hosts for the duration. Its links to
// upstreams and callers stay up.
func (w *Simulation) isolate(host *Host, duration time.Duration) {
	w.cutLinksFor(duration, [2]string{host.Name, controlName})
	for _, n := range w.Hosts {
		if n != host {
			w.cutLinksFor(duration, [2]string{host.Name, n.Name}, [2]string{n.Name, host.Name})
		}
	}
}

// restart drains a host, ends its process 5 s later and starts it again, unless it has restarted
// in the meantime.
func (w *Simulation) restart(host *Host) {
	host.Drain()
	incarnation := host.incarnation
	w.After(5*time.Second, func() {
		if host.incarnation == incarnation {
			host.Kill()
			w.After(100*time.Millisecond, host.Start)
		}
	})
}
