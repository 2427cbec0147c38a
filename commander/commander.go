// Package commander implements the command line of sesamedrift.
//
// Run returns the exit code: 0 for success and a complete outcome, otherwise the code of
// the outcome or of the error as listed in docs/OPERATIONS.md. Commands print to the
// given writers only, so that the package can be embedded and tested.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/platform"
	"sesamedrift.example/sesamedrift/validator"
)

// Streams are the standard streams of one call of Run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// commandLine holds the streams and the clock of one call of Run; its methods are the commands.
type commandLine struct {
	Streams
	now func() time.Time
}

// exitError is an error with the exit code of the program.
type exitError struct {
	code    int
	message string
}

// Error returns the message that Run prints; nothing is printed if it is empty.
func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{
		code:    sesamedrift.ExitUsage,
		message: fmt.Sprintf(format, args...),
	}
}

// Main runs the command line of this process and returns its exit code. SIGINT and
// SIGTERM start a planned stop.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args, Streams{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	})
}

// Run runs the command line and returns its exit code. args starts with the program's name.
// Cancelling the context starts a planned stop.
func Run(ctx context.Context, args []string, s Streams) int {
	c := &commandLine{
		Streams: s,
		now:     time.Now,
	}
	err := c.root().Run(ctx, args)
	if err == nil {
		return 0
	}
	code := exitCode(err)
	if message := err.Error(); message != "" {
		// There is no other stream to which a failed write could be reported.
		_, _ = fmt.Fprintln(s.Err, "sesamedrift: "+message)
	}
	return code
}

func exitCode(err error) int {
	var exit *exitError
	var api *client.APIError
	var invalid *sesamedrift.InvalidError
	var settings *platform.SettingsError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &api):
		return apiExitCode(api.Code)
	case errors.As(err, &invalid), errors.As(err, &settings):
		return sesamedrift.ExitUsage
	}
	return sesamedrift.ExitError
}

func apiExitCode(code client.Code) int {
	switch code {
	case client.CodeBadRequest, client.CodeUnauthorized, client.CodeNotFound, client.CodeMethodNotAllowed, client.CodeTooLarge:
		return sesamedrift.ExitUsage
	case client.CodeKeyConflict, client.CodeVersionConflict, client.CodeNotPromotable:
		return sesamedrift.ExitConflict
	case client.CodeKeyExpired:
		return sesamedrift.ExitExpired
	default:
		return sesamedrift.ExitError
	}
}

func (c *commandLine) root() *cli.Command {
	root := &cli.Command{
		Name:      "sesamedrift",
		Usage:     "dispatch sub-second tasks, each started at most once",
		Reader:    c.In,
		Writer:    c.Out,
		ErrWriter: c.Err,
		// The handler does nothing, since Run prints errors and returns the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Description: "The exit codes are listed in docs/OPERATIONS.md.\n\n" +
			"Example:\n   sesamedrift status --help",
		Commands: []*cli.Command{
			c.hostCommand(),
			c.executorCommand(),
			c.configCommand(),
			c.domainCommand(),
			c.submitCommand(),
			c.waitCommand(),
			c.cancelCommand(),
			c.statusCommand(),
			c.demoCommand(),
			c.loadCommand(),
			c.explainCommand(),
			c.experimentCommand(),
			platform.Command(c.Out),
		},
	}
	checkUsage(root)
	return root
}

// checkUsage makes a command and all its subcommands return a usage error for unknown flags,
// commands and arguments.
func checkUsage(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError("%v; see \"%s --help\"", err, cmd.FullName())
	}
	if len(cmd.Commands) > 0 {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError("command: %q is not accepted: want one of %s", cmd.Args().First(), commandNames(cmd))
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	} else if cmd.ArgsUsage == "" {
		action := cmd.Action
		cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError("argument: %q is not accepted: want none; see \"%s --help\"", cmd.Args().First(), cmd.FullName())
			}
			return action(ctx, cmd)
		}
	}
	for _, sub := range cmd.Commands {
		checkUsage(sub)
	}
}

func commandNames(cmd *cli.Command) string {
	names := make([]string, 0, len(cmd.Commands))
	for _, sub := range cmd.Commands {
		if sub.Name != "help" {
			names = append(names, sub.Name)
		}
	}
	return strings.Join(names, ", ")
}

// singleArgument returns the argument of a command that takes exactly one.
func singleArgument(cmd *cli.Command) (string, error) {
	if cmd.NArg() != 1 {
		return "", usageError("%s: %q is not accepted: want one argument; see \"%s --help\"",
			cmd.ArgsUsage, strings.Join(cmd.Args().Slice(), " "), cmd.FullName())
	}
	return cmd.Args().First(), nil
}

// checkResult is the JSON output of a check of a file.
type checkResult struct {
	File     string              `json:"file"`
	Accepted bool                `json:"accepted"`
	Problems []validator.Problem `json:"problems,omitempty"`
}

// rejectFile returns the usage error for a file that is not accepted. With the flag --json it also
// prints the problems.
func (c *commandLine) rejectFile(cmd *cli.Command, file string, err error) error {
	var problems *validator.ProblemsError
	if cmd.Bool("json") && errors.As(err, &problems) {
		if err := c.printJSON(checkResult{
			File:     file,
			Problems: problems.Problems,
		}); err != nil {
			return err
		}
	}
	return usageError("%s is not accepted:\n%v", file, err)
}

// printJSON writes one indented JSON value.
func (c *commandLine) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printf writes to the output stream and ignores errors.
func (c *commandLine) printf(format string, args ...any) {
	// A closed output stream does not change the result of the command.
	_, _ = fmt.Fprintf(c.Out, format, args...)
}

var jsonFlag = &cli.BoolFlag{
	Name:  "json",
	Usage: "print JSON",
}

var hostsFlag = &cli.StringSliceFlag{
	Name:    "host",
	Usage:   "base `URL` of a host; may be given several times",
	Value:   []string{"http://127.0.0.1:8080"},
	Sources: cli.EnvVars("SESAMEDRIFT_HOST"),
}

var whoFlag = &cli.StringFlag{
	Name:    "who",
	Usage:   "`NAME` of the operator, for the audit trail",
	Sources: cli.EnvVars("SESAMEDRIFT_OPERATOR", "USER"),
	Value:   "unknown",
}

var tokenFlag = &cli.StringFlag{
	Name:    "token",
	Usage:   "operator `TOKEN`",
	Sources: cli.EnvVars("SESAMEDRIFT_TOKEN"),
}
