// Package reporter provides the logging and metrics of a host: a catalogue of numbered log
// events, a log writer that never blocks its callers, and a registry of metrics for Prometheus.
//
// Each event has a number that never changes its meaning, so that operators can alert on
// it. The catalogue is published as docs/events.md. All functions are safe for
// concurrent use.
package reporter

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// Event is one kind of log entry. Entries are written by Log.
type Event struct {
	// ID is unique and never reused.
	ID int
	// Name is the message of the entry, in kebab case.
	Name  string
	Level slog.Level
	// Description says when the event is logged and what an operator can do. It is Markdown.
	Description string
}

// Log writes an entry for the event if its level is enabled. The entry has the number of the
// event and the given attributes (alternating keys and values, keys in kebab case).
func Log(ctx context.Context, l *slog.Logger, e Event, args ...any) {
	if !l.Enabled(ctx, e.Level) {
		return
	}
	attributes := append([]any{slog.Int("event", e.ID)}, args...)
	l.Log(ctx, e.Level, e.Name, attributes...)
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	return append([]Event(nil), catalogue...)
}

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Each log entry carries the number of its event in the attribute `event`.\n\n")
	b.WriteString("| number | name | level | when, and what to do |\n")
	b.WriteString("|--------|------|-------|----------------------|\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.ID, e.Name, strings.ToLower(e.Level.String()), e.Description)
	}
	return b.String()
}
