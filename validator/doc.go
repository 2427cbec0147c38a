// Package validator parses and validates the settings of a host and the environment documents.
//
// A document is accepted as a whole or not at all: if anything is wrong, the parse
// functions return a *ProblemsError that lists every problem found, with the JSON path,
// the value and what would be accepted, and the returned struct is empty. Missing fields
// get the defaults of the published JSON schemas, which are embedded (see Schema). An
// accepted document satisfies all invariants that the comments on the fields of Settings
// and Environment state, so callers do not check them again. All functions are safe for
// concurrent use.
package validator
