// Package explainer extracts the history of one job from the logs of all hosts: the log lines
// that name the job, in chronological order, and the events of the same time about the upstreams
// and hosts that took part in it.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// Events of the upstreams and hosts of a job are included from contextBefore before its first
	// line until contextAfter after its last line.
	contextBefore = 2 * time.Second
	contextAfter  = time.Second
	// maxLineBytes is the largest size of a log line; logs with a longer one are not read.
	maxLineBytes = 1 << 20
)

// Line is a parsed log line that is part of the history of a job.
type Line struct {
	Time time.Time
	// Host is the host that logged the line.
	Host string
	// EventID and Name are the number and the name of an event of the package reporter.
	EventID int
	Name    string
	// Attributes holds the other attributes in the order of the line.
	Attributes []Attribute
	// MentionsJob is true if the line contains the id of the job. Otherwise the line is about an
	// upstream or a host that took part in it.
	MentionsJob bool
}

// Attribute is one attribute of a log line.
type Attribute struct {
	Key string
	// Value is formatted for the output of Write: text without quotes, durations with a unit and
	// other values as JSON.
	Value string
}

// contextEvents is the set of events that are included if they are about an upstream or a host
// that took part in the job.
var contextEvents = map[int]bool{
	reporter.UpstreamTaken.ID:     true,
	reporter.UpstreamReady.ID:     true,
	reporter.UpstreamSilent.ID:    true,
	reporter.UpstreamOvertaken.ID: true,
	reporter.UpstreamReplaced.ID:  true,
	reporter.UpstreamRestarted.ID: true,
	reporter.UpstreamRests.ID:     true,
	reporter.UpstreamAnnounced.ID: true,
	reporter.SessionEnded.ID:      true,
	reporter.SessionBegun.ID:      true,
	reporter.PlacerChosen.ID:      true,
	reporter.StandingChanged.ID:   true,
	reporter.CutOff.ID:            true,
	reporter.HostStarted.ID:       true,
	reporter.HostStopping.ID:      true,
	reporter.LinesLeftOut.ID:      true,
}

// Explain reads logs and returns, in chronological order, the lines about a job and those about
// the upstreams and hosts that took part in it. It returns no lines if none is about the job.
// Lines without a JSON object are skipped, and so is text in front of an object. The error is
// that of reading logs, or says that a line is longer than 1 MiB.
func Explain(logs io.Reader, job string) ([]Line, error) {
	var all []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes(), job); ok {
			all = append(all, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("logs cannot be read: %w", err)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selectLines(all), nil
}

// parseLine parses one line. It returns false if the line is no log event, or is neither about
// the job nor one of contextEvents.
func parseLine(text []byte, job string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	text = text[start:]
	var head struct {
		Time  time.Time `json:"time"`
		Host  string    `json:"host"`
		Event int       `json:"event"`
		Msg   string    `json:"msg"`
	}
	if json.Unmarshal(text, &head) != nil || head.Event == 0 {
		return Line{}, false
	}
	l := Line{
		Time:        head.Time,
		Host:        head.Host,
		EventID:     head.Event,
		Name:        head.Msg,
		MentionsJob: job != "" && bytes.Contains(text, []byte(job)),
	}
	if !l.MentionsJob && !contextEvents[l.EventID] {
		return Line{}, false
	}
	l.Attributes = parseAttributes(text)
	return l, true
}

// parseAttributes returns the attributes of a line in their order.
func parseAttributes(text []byte) []Attribute {
	var all []Attribute
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return nil
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return all
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return all
		}
		name := fmt.Sprint(key)
		switch name {
		case "time", "level", "msg", "event", "host":
			continue
		}
		all = append(all, Attribute{
			Key:   name,
			Value: formatValue(name, value),
		})
	}
	return all
}

// durationAttributes is the set of attributes whose values are durations in nanoseconds.
var durationAttributes = map[string]bool{
	"took":        true,
	"waited":      true,
	"late":        true,
	"for":         true,
	"retry-after": true,
}

// formatValue returns the text of a value: durations with a unit, strings without quotes and
// other values as JSON.
func formatValue(key string, value json.RawMessage) string {
	var n int64
	if durationAttributes[key] && json.Unmarshal(value, &n) == nil {
		return time.Duration(n).String()
	}
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// selectLines keeps the lines about the job, and of the others those about a participant: an
// upstream or a host that a line about the job names. It returns nil if no line is about the job.
func selectLines(all []Line) []Line {
	var first, last time.Time
	participants := map[string]bool{}
	for _, l := range all {
		if !l.MentionsJob {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		participants[l.Host] = true
		for _, a := range l.Attributes {
			for _, name := range participantNames(a) {
				participants[name] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	return slices.DeleteFunc(all, func(l Line) bool {
		if l.MentionsJob {
			return false
		}
		if l.Time.Before(first.Add(-contextBefore)) || l.Time.After(last.Add(contextAfter)) {
			return true
		}
		return !concernsParticipant(l, participants)
	})
}

// participantNames returns the names of the upstreams and hosts in an attribute.
func participantNames(a Attribute) []string {
	switch a.Key {
	case "upstream", "entry", "placer", "keeper", "by", "peer":
		return []string{a.Value}
	case "upstreams":
		var list []string
		if json.Unmarshal([]byte(a.Value), &list) == nil {
			return list
		}
	}
	return nil
}

// concernsParticipant reports whether a line is about one of the participants.
func concernsParticipant(l Line, participants map[string]bool) bool {
	hasName := false
	for _, a := range l.Attributes {
		for _, name := range participantNames(a) {
			hasName = true
			if participants[name] {
				return true
			}
		}
	}
	// Events that name no upstream or host are about the host that logs them.
	return !hasName && participants[l.Host]
}

// Write prints the lines, each with its time relative to the first line about the job. Lines about
// the job are marked with "*".
func Write(w io.Writer, lines []Line) error {
	var start time.Time
	for _, l := range lines {
		if l.MentionsJob {
			start = l.Time
			break
		}
	}
	for _, l := range lines {
		mark := " "
		if l.MentionsJob {
			mark = "*"
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%+10.1f ms %s %-16s %d %s", float64(l.Time.Sub(start))/float64(time.Millisecond), mark, l.Host, l.EventID, l.Name)
		for _, a := range l.Attributes {
			if a.Value != "" {
				fmt.Fprintf(&b, " %s=%s", a.Key, a.Value)
			}
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}
