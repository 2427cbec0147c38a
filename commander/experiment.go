package commander

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift/replayer"
)

func (c *commandLine) experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "play load scripts against the placing policy and its baselines",
		ArgsUsage: "FILE...",
		Description: "Plays each script in simulated time, the same jobs for each way of deciding, and prints the earned\n" +
			"share of the possible value, the share of jobs refused, runs started and core-seconds of wasted runs.\n\n" +
			"Example:\n" +
			"   sesamedrift experiment --seeds 3 replayer/testdata/crest.json",
		Flags: []cli.Flag{
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "play each script with `N` seeds, from the script's on, and print the mean",
				Value: 1,
			},
			&cli.BoolFlag{
				Name:  "rules",
				Usage: "leave each rule of the policy out once, instead of playing the baselines",
			},
		},
		Action: c.experiment,
	}
}

func (c *commandLine) experiment(_ context.Context, cmd *cli.Command) error {
	const maxSeeds = 1000
	seeds := cmd.Int("seeds")
	if seeds < 1 || seeds > maxSeeds {
		return usageError("seeds: %d is not accepted: want a number from 1 to %d", seeds, maxSeeds)
	}
	if !cmd.Args().Present() {
		return usageError("FILE: none is given: want at least one script; see \"%s --help\"", cmd.FullName())
	}
	var scripts []*replayer.Script
	for _, name := range cmd.Args().Slice() {
		data, err := os.ReadFile(name) //nolint:gosec // the caller names the file
		if err != nil {
			return usageError("%v", err)
		}
		s, err := replayer.Parse(data)
		if err != nil {
			return usageError("%s: %v", name, err)
		}
		scripts = append(scripts, s)
	}
	options := replayer.Baselines()
	if cmd.Bool("rules") {
		options = replayer.Ablations()
	}
	return replayer.Print(c.Out, replayer.Compare(scripts, options, seeds))
}
