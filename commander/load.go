package commander

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/generator"
	"sesamedrift.example/sesamedrift/scheduler"
)

// defaultSeed is a fixed number, so that two runs without --seed have the same arrivals.
const defaultSeed = 20261204

var policyNames = []string{string(scheduler.FairShare), string(scheduler.FIFORandom), string(scheduler.FIFOLeastLoaded)}

func (c *commandLine) loadCommand() *cli.Command {
	var summaries strings.Builder
	for _, s := range generator.Scenarios() {
		fmt.Fprintf(&summaries, "   %-10s %s\n", s.Name, s.Summary)
	}
	return &cli.Command{
		Name:  "load",
		Usage: "drive hosts in this process with a load and print what callers saw",
		Description: "Runs hosts and stand-in upstreams over loopback. The exit code is not zero if an invariant\n" +
			"broke; a missed bound is printed only.\n\nScenarios:\n" + summaries.String() +
			"\nExample:\n   sesamedrift load --scenario counter",
		Flags: []cli.Flag{
			jsonFlag,
			&cli.StringFlag{
				Name:     "scenario",
				Usage:    "`NAME` of the scenario",
				Required: true,
			},
			&cli.StringSliceFlag{
				Name:  "policies",
				Usage: "`NAMES` of the policies to compare",
				Value: policyNames,
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "`NUMBER` from which the arrivals are drawn",
				Value: defaultSeed,
			},
			&cli.IntFlag{
				Name:  "scale",
				Usage: "divide the upstreams and the rate by `NUMBER`",
				Value: 1,
			},
			&cli.StringFlag{
				Name:  "report",
				Usage: "write plots to the folder `DIR`",
			},
		},
		Action: c.load,
	}
}

func (c *commandLine) load(ctx context.Context, cmd *cli.Command) error {
	s, ok := generator.Find(cmd.String("scenario"))
	if !ok {
		return unknownNameError("scenario", cmd.String("scenario"), scenarioNames())
	}
	if cmd.Int("scale") < 1 {
		return usageError("scale is %d, want 1 or more", cmd.Int("scale"))
	}
	policies, err := parsePolicies(cmd.StringSlice("policies"))
	if err != nil {
		return err
	}
	progress := c.progressPrinter()
	results := make([]generator.Result, 0, len(policies))
	for _, p := range policies {
		r, err := generator.Run(ctx, generator.Config{
			Scenario: s,
			Policy:   p,
			Seed:     cmd.Uint64("seed"),
			Scale:    cmd.Int("scale"),
			Progress: progress,
		})
		if err != nil {
			return fmt.Errorf("scenario %s, policy %s: %w", s.Name, p, err)
		}
		results = append(results, r)
	}
	if progress != nil {
		progress("")
	}
	if err := c.printLoad(cmd, &s, results); err != nil {
		return err
	}
	return violationError(results)
}

func scenarioNames() []string {
	all := generator.Scenarios()
	names := make([]string, 0, len(all))
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names
}

// unknownNameError returns the error for a name that is not one of the known names.
func unknownNameError(field, name string, known []string) error {
	return &sesamedrift.InvalidError{
		Field: field,
		Value: name,
		Want:  sesamedrift.OneOf(known),
	}
}

func parsePolicies(names []string) ([]scheduler.Policy, error) {
	policies := make([]scheduler.Policy, 0, len(names))
	for _, name := range names {
		if !slices.Contains(policyNames, name) {
			return nil, unknownNameError("policies", name, policyNames)
		}
		policies = append(policies, scheduler.Policy(name))
	}
	return policies, nil
}

func (c *commandLine) printLoad(cmd *cli.Command, s *generator.Scenario, results []generator.Result) error {
	if dir := cmd.String("report"); dir != "" {
		if err := generator.WritePlots(dir, results); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return c.printJSON(results)
	}
	return generator.WriteTable(c.Out, s, results)
}

// violationError returns an error for the first result with violations of invariants, or nil.
func violationError(results []generator.Result) error {
	for i := range results {
		if n := results[i].Audit.ViolationCount(); n > 0 {
			return &exitError{
				code:    sesamedrift.ExitError,
				message: fmt.Sprintf("policy %s: %d violations of invariants", results[i].Policy, n),
			}
		}
	}
	return nil
}

// progressPrinter returns a function that replaces the last line of the terminal, or nil if the
// error stream is not a terminal.
func (c *commandLine) progressPrinter() func(string) {
	f, ok := c.Err.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(line string) {
		// Errors are ignored, since a run continues after its terminal is closed.
		_, _ = fmt.Fprintf(f, "\r\x1b[K%s", line)
	}
}
