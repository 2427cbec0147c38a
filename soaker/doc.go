// Package soaker holds a seeded experiment with the project's programs as real processes: faults in
// series, restarts of upstreams under their identifiers above all, while clients send jobs. It
// checks that no task has two runs at the same time. The deployment is that of review/standin.
//
// Sizes and seeds are set by environment variables; see TestRunsOnce.
package soaker
