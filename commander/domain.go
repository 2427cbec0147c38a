package commander

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift/client"
)

func (c *commandLine) domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "evacuate, restore and list failure domains",
		Description: "No task is started on the upstreams of an evacuated failure domain.\n\n" +
			"Example:\n   sesamedrift domain list",
		Commands: []*cli.Command{
			c.domainEvacuate(),
			c.domainRestore(),
			c.domainList(),
			c.domainHistory(),
		},
	}
}

// orderFlags are the flags of the commands that evacuate or restore a failure domain.
var orderFlags = []cli.Flag{hostsFlag, tokenFlag, jsonFlag, whoFlag}

func (c *commandLine) domainEvacuate() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "start no further tasks on the upstreams of a failure domain",
		ArgsUsage: "NAME",
		Description: "Running tasks go on. An order may be sent again as often as needed.\n\n" +
			"Example:\n   sesamedrift domain evacuate --who ana lekki",
		Flags: orderFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			return c.orderEvacuation(ctx, cmd, api.Evacuate)
		}),
	}
}

func (c *commandLine) domainRestore() *cli.Command {
	return &cli.Command{
		Name:      "restore",
		Usage:     "take an evacuated failure domain back into service",
		ArgsUsage: "NAME",
		Description: "An order may be sent again as often as needed.\n\n" +
			"Example:\n   sesamedrift domain restore --who ana lekki",
		Flags: orderFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			return c.orderEvacuation(ctx, cmd, api.Restore)
		}),
	}
}

// orderEvacuation sends an order for the domain that the argument names, and prints the result.
func (c *commandLine) orderEvacuation(ctx context.Context, cmd *cli.Command, order func(ctx context.Context, domain, who string) (client.EvacuationResult, error)) error {
	domain, err := singleArgument(cmd)
	if err != nil {
		return err
	}
	result, err := order(ctx, domain, cmd.String("who"))
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return c.printJSON(result)
	}
	c.printf("%s is %s (version %d), in force on %s\n",
		result.Domain, domainState(result.Evacuated), result.Version, strings.Join(result.InForceOn, ", "))
	return nil
}

func domainState(evacuated bool) string {
	if evacuated {
		return "evacuated"
	}
	return "in service"
}

func (c *commandLine) domainList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "print the failure domains and whether they are evacuated",
		Description: "Example:\n   sesamedrift domain list",
		Flags:       []cli.Flag{hostsFlag, jsonFlag},
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			e, err := api.Evacuations(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(e)
			}
			c.printf("version %d, in force on %s\n", e.Version, strings.Join(e.InForceOn, ", "))
			for _, d := range e.Domains {
				c.printf("%-16s %s\n", d.Name, domainState(d.Evacuated))
			}
			return nil
		}),
	}
}

func (c *commandLine) domainHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "print the audit trail of the evacuations",
		Description: "Example:\n   sesamedrift domain history --after 100",
		Flags:       historyFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			entries, err := api.EvacuationHistory(ctx, cmd.Uint64("after"), cmd.Int("limit"))
			if err != nil {
				return err
			}
			return c.printHistory(cmd, entries)
		}),
	}
}
