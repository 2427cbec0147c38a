package generator

import (
	"context"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift/executor"
)

// fault is an action on the deployment during a phase.
type fault struct {
	at     time.Duration // from the start of the phase
	inject func(ctx context.Context, r *run) error
}

// slowdown is the factor by which the run times on the slow upstream are multiplied.
const slowdown = 4

// faultPlan returns the faults in the order of their times.
func faultPlan() []fault {
	return []fault{
		{at: 2 * time.Second, inject: setFaults(0, 1, executor.Faults{FailAll: true})},
		{at: 3 * time.Second, inject: setFaults(1, 1, executor.Faults{Slowdown: slowdown})},
		{at: 4 * time.Second, inject: killUpstream(2, 1)},
		{at: 5 * time.Second, inject: killHost(0, 2)},
		{at: 6 * time.Second, inject: drainUpstream(1, 2)},
		{at: 8 * time.Second, inject: startHost(0, 2)},
		{at: 10 * time.Second, inject: stopHost(1, 3)},
		{at: 12 * time.Second, inject: killUpstream(0, 2)},
	}
}

func (r *run) upstreamName(domain, n int) string {
	return fmt.Sprintf("%s-worker-%d", r.cfg.Scenario.Domains[domain], n)
}

func (r *run) hostName(domain, n int) string {
	return fmt.Sprintf("%s-%d", r.cfg.Scenario.Domains[domain], n)
}

func setFaults(domain, n int, f executor.Faults) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		name := r.upstreamName(domain, n)
		u := r.deployment.Upstream(name)
		if u == nil {
			return fmt.Errorf("generator: upstream %q is not running", name)
		}
		u.SetFaults(f)
		return nil
	}
}

func killUpstream(domain, n int) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error { return r.deployment.KillUpstream(r.upstreamName(domain, n)) }
}

// drainUpstream makes an upstream announce that it leaves. The upstream keeps running until the
// end of the run, so that the checker detects tasks that it still receives.
func drainUpstream(domain, n int) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		name := r.upstreamName(domain, n)
		u := r.deployment.Upstream(name)
		if u == nil {
			return fmt.Errorf("generator: upstream %q is not running", name)
		}
		r.checker.RecordLeaving(time.Now(), name)
		return u.Leave(ctx)
	}
}

func killHost(domain, n int) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		return r.deployment.KillHost(r.hostName(domain, n))
	}
}

func startHost(domain, n int) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error { return r.deployment.StartHost(r.hostName(domain, n)) }
}

func stopHost(domain, n int) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		s, err := r.deployment.Settings(r.hostName(domain, n))
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.stopping["http://"+s.HTTPAddress] = true
		r.mu.Unlock()
		if err := r.deployment.StopHost(ctx, s.Host); err != nil {
			r.checker.RecordViolation(ViolationInterrupted, "the planned stop of %s failed: %v", s.Host, err)
		}
		return nil
	}
}
