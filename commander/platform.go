package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift/platform"
)

func (c *commandLine) platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a host on the users' provider until SIGINT or SIGTERM, then stop it gracefully",
		Description: "The environment variable SESAMEDRIFT_SETTINGS names the settings file; see docs/platform.md.\n" +
			"Logs go to standard output as JSON.\n\n" +
			"Example:\n" +
			"   sesamedrift platform entry",
		Commands: []*cli.Command{
			c.platformRole(platform.EntryRole, "take jobs of callers and dispatch their tasks"),
			c.platformRole(platform.ControlRole, "store the operator's document and keep the lists of hosts and upstreams"),
		},
	}
}

func (c *commandLine) platformRole(role platform.Role, usage string) *cli.Command {
	return &cli.Command{
		Name:  string(role),
		Usage: usage,
		Action: func(ctx context.Context, _ *cli.Command) error {
			settings, err := platform.ReadSettings()
			if err != nil {
				return usageError("%v", err)
			}
			return platform.Run(ctx, role, settings, c.outputLogger())
		},
	}
}
