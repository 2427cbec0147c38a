// Package generator is an open-loop load generator: it runs scenarios against real hosts on the
// loopback interface and measures the outcomes and response times that callers observe.
//
// All arrivals of a phase are generated from a seed before it starts and are sent at their
// scheduled times, whether or not earlier jobs have been answered. Response times count from the
// scheduled arrival, so that the delay that a slow system causes to later jobs is included
// (no coordinated omission). During a run the generator counts violations of the invariants of
// docs/design.md, section 1.1, at the upstreams and at the callers.
//
// The generator, the hosts and the upstreams share one process. The measurements are therefore
// valid only while the machine has idle CPU time; PhaseResult.Lag shows whether it had.
package generator
