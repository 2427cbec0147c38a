// Package sesamedrift defines the types that callers, hosts and upstreams share:
// submissions, request keys, outcomes, resources, and identifiers of tasks and runs.
//
// The package contains no routing decisions. It guarantees that a Key has the same home
// failure domain on every host with the same list of failure domains, and that two
// submissions have the same digest only if their payloads, service, kind and team are the
// same. All types are plain data and safe to copy. Functions are safe for concurrent use.
package sesamedrift
