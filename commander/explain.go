package commander

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift/explainer"
)

func (c *commandLine) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the events of one job from the logs of the hosts",
		ArgsUsage: "FILE...",
		Description: "Reads the logs of all hosts from the files, or from standard input if there is none, and prints\n" +
			"what was decided about the job in the order of time (lines with *), together with what happened\n" +
			"to the upstreams and hosts that took part. Text in front of a log line is passed over.\n\n" +
			"Example:\n" +
			"   sesamedrift explain --job 5c0e7a21d94b36f8 edge-1.log edge-2.log",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "job",
				Usage:    "`ID` of the job",
				Required: true,
			},
		},
		Action: c.explain,
	}
}

func (c *commandLine) explain(_ context.Context, cmd *cli.Command) error {
	inputs := []io.Reader{c.In}
	if cmd.Args().Present() {
		inputs = nil
		for _, name := range cmd.Args().Slice() {
			file, err := os.Open(name) //nolint:gosec // the caller names the file
			if err != nil {
				return usageError("%v", err)
			}
			defer func() { _ = file.Close() }()
			inputs = append(inputs, file)
		}
	}
	lines, err := explainer.Explain(io.MultiReader(inputs...), cmd.String("job"))
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return usageError("job: %q is not accepted: want the id of a job in the logs", cmd.String("job"))
	}
	return explainer.Write(c.Out, lines)
}
