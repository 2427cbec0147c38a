// Package sesamedrift holds the types that callers, hosts and upstreams share:
// submissions, request keys and outcomes.
//
// The package decides nothing about routing. It promises that a Key names the same
// home failure domain on every host with the same list of failure domains, and that
// two submissions have the same digest only if their payloads, service, kind and team
// are the same. All types are plain data and safe to copy; functions are safe for
// concurrent use.
package sesamedrift
