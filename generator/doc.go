// Package generator drives real hosts over loopback and measures what callers see.
//
// All arrivals of a run are drawn before it starts, from a seed, and are sent at their
// scheduled times whether or not earlier ones have been answered. Response times count
// from the scheduled time, so that a slow system is not spared the arrivals that it would
// have delayed. While it runs, the generator counts violations of the invariants of
// docs/design.md, section 1.1, at the upstreams and at the callers.
//
// The generator, the hosts and the upstreams share one process. Figures therefore hold
// only while the machine has processor time to spare; Result.Lag shows whether it had.
package generator
