package replayer

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"

	"sesamedrift.example/sesamedrift/placer"
)

// Row is the result of one script under one set of options, as the mean over the seeds.
type Row struct {
	Script string
	Options
	// ValueShare is the earned share of the possible value, WorstWindowShare the mean of that share
	// over the two worst windows of each replay.
	ValueShare       float64
	WorstWindowShare float64
	// RefusedShare is the share of jobs that the placer refused.
	RefusedShare float64
	// Starts is the number of runs started, WastedCoreSeconds the work, in core-seconds, of runs that
	// failed or were stopped.
	Starts            float64
	WastedCoreSeconds float64
}

// Baselines returns the options that are compared: those of the product first, then the baselines
// against which it is measured.
func Baselines() []Options {
	return []Options{
		{Topology: PerDomain, Policy: placer.Objective},
		{Topology: PerDomain, Policy: placer.FIFO},
		{Topology: Centralized, Policy: placer.FIFO},
		{Topology: Sharded, Policy: placer.Objective},
		{Topology: Centralized, Policy: placer.Objective},
	}
}

// Ablations returns the options of the product, first with all rules, then with each rule disabled.
func Ablations() []Options {
	rules := placer.Rules()
	all := make([]Options, 0, 1+len(rules))
	all = append(all, Options{
		Topology: PerDomain,
		Policy:   placer.Objective,
	})
	for _, r := range rules {
		all = append(all, Options{
			Topology:     PerDomain,
			Policy:       placer.Objective,
			DisabledRule: r,
		})
	}
	return all
}

// Compare replays each script under each of the options, with as many consecutive seeds as given,
// from the script's seed on, and at least one. The rows are in the order of the scripts and, for
// each script, in the order of the options. Replays run concurrently.
func Compare(scripts []*Script, options []Options, seeds int) []Row {
	rows := make([]Row, len(scripts)*len(options))
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, s := range scripts {
		for k, o := range options {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				rows[i*len(options)+k] = averageRow(s, o, max(1, seeds))
			})
		}
	}
	wg.Wait()
	return rows
}

func averageRow(s *Script, o Options, seeds int) Row {
	row := Row{
		Script:  s.Name,
		Options: o,
	}
	for i := range seeds {
		seeded := *s
		seeded.Seed += uint64(i)
		r := seeded.Replay(o)
		n := float64(seeds)
		row.ValueShare += r.Total.ValueShare() / n
		row.WorstWindowShare += r.WorstWindowShare() / n
		row.RefusedShare += share(r.Total.Refused, &r.Total) / n
		row.Starts += float64(r.Starts) / n
		row.WastedCoreSeconds += r.WastedCoreSeconds / n
	}
	return row
}

// Print writes rows as a table. The column "places" is the topology and "without" the disabled rule;
// "worth" (ValueShare), "worst windows" and "refused" are shares, and "wasted" is in core-seconds.
func Print(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// The tabwriter writes nothing before Flush, which returns the error.
	_, _ = fmt.Fprintln(t, "script\tplaces\tpolicy\twithout\tworth\tworst windows\trefused\tstarts\twasted")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\n", r.Script, r.Topology, r.Policy, cmp.Or(r.DisabledRule, "-"), r.ValueShare, r.WorstWindowShare,
			r.RefusedShare, r.Starts, r.WastedCoreSeconds)
	}
	return t.Flush()
}
