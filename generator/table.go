package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the results of one scenario to w as a table with one column for each policy,
// followed by the notes and the descriptions of violations. All results must have the same
// measurements in the same order.
func WriteTable(w io.Writer, s *Scenario, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	first := &results[0]
	if _, err := fmt.Fprintf(w, "scenario %s: %s\nseed %d, %d slots\n\n", s.Name, s.Summary, first.Seed, first.Slots); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	cells := []string{"figure", "bound"}
	for i := range results {
		cells = append(cells, string(results[i].Policy))
	}
	// The tabwriter buffers its input and returns write errors from Flush.
	row := func() { _, _ = fmt.Fprintln(t, strings.TrimRight(strings.Join(cells, "\t"), "\t")) }
	row()
	for i := range first.Measurements {
		m := &first.Measurements[i]
		cells = []string{m.Name, m.boundText()}
		for n := range results {
			cells = append(cells, results[n].Measurements[i].valueText())
		}
		row()
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeNotes(w, s, results)
}

func writeNotes(w io.Writer, s *Scenario, results []Result) error {
	var notes strings.Builder
	if s.Note != "" {
		notes.WriteString("\n" + s.Note + "\n")
	}
	for i := range results {
		for n := range results[i].Phases {
			p := &results[i].Phases[n]
			for _, reason := range slices.Sorted(maps.Keys(p.Failures)) {
				fmt.Fprintf(&notes, "\n%s, phase %s: %d jobs without an outcome: %s\n", results[i].Policy, p.Name, p.Failures[reason], reason)
			}
		}
		for _, v := range results[i].Audit.Examples {
			fmt.Fprintf(&notes, "\n%s: violation: %s\n", results[i].Policy, v)
		}
	}
	_, err := io.WriteString(w, notes.String())
	return err
}

func (m *Measurement) boundText() string {
	if m.Relation == NoBound {
		return "-"
	}
	return string(m.Relation) + " " + formatNumber(m.Bound)
}

func (m *Measurement) valueText() string {
	text := formatNumber(m.Value)
	if m.Unit != "" {
		text += " " + m.Unit
	}
	switch {
	case m.Relation == NoBound:
		return text
	case m.WithinBound():
		return text + " pass"
	default:
		return text + " FAIL"
	}
}

// formatNumber formats whole numbers without decimals and other numbers with three.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprintf("%.3f", v)
}
