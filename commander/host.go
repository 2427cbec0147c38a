package commander

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift/server"
	"sesamedrift.example/sesamedrift/validator"
)

// stopTimeout bounds a planned stop. Hosts accept no deadline above one hour, so the timeout does
// not cut off requests in flight.
const stopTimeout = time.Hour + time.Minute

func (c *commandLine) hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run one host until SIGINT or SIGTERM, then stop it gracefully",
		Description: "The settings are described in docs/settings.md. Logs go to standard error as JSON.\n\n" +
			"Example:\n" +
			"   sesamedrift host --settings examples/single-host.json",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings `FILE` (JSON)",
				Required: true,
			},
			&cli.BoolFlag{
				Name:  "check",
				Usage: "check the settings and exit",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the result of --check as JSON",
			},
		},
		Action: c.runHost,
	}
}

func (c *commandLine) runHost(ctx context.Context, cmd *cli.Command) error {
	data, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return usageError("%v", err)
	}
	settings, err := validator.ParseSettings(data)
	if err != nil {
		return c.rejectFile(cmd, cmd.String("settings"), err)
	}
	if cmd.Bool("check") && cmd.Bool("json") {
		return c.printJSON(checkResult{
			File:     cmd.String("settings"),
			Accepted: true,
		})
	}
	if cmd.Bool("check") {
		c.printf("%s is accepted\n", cmd.String("settings"))
		return nil
	}
	log, err := c.logger(settings.LogLevel)
	if err != nil {
		return err
	}
	h, err := server.New(server.Config{
		Settings:    settings,
		Incarnation: uint64(c.now().UnixNano()),
		Log:         log,
		Now:         c.now,
		Seed:        uint64(c.now().UnixNano()),
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := h.Stop(stopping); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

func (c *commandLine) logger(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(level))); err != nil {
		return nil, usageError("log-level %q is not accepted: want debug, info, warn or error", level)
	}
	return slog.New(slog.NewJSONHandler(c.Err, &slog.HandlerOptions{Level: l})), nil
}
