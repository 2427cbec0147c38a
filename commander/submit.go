package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/validator"
)

var tryFlag = &cli.IntFlag{
	Name:  "try",
	Usage: "`NUMBER` of the try; the next one after each refusal of the same key",
	Value: 1,
}

var createdFlag = &cli.StringFlag{
	Name:  "created",
	Usage: "creation `TIME` (RFC 3339) of a key that is no UUIDv7",
}

// keyFlags are the flags of the commands whose argument is the key of a submission.
var keyFlags = []cli.Flag{
	hostsFlag,
	jsonFlag,
	tryFlag,
	createdFlag,
}

func (c *commandLine) submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a request or a job and wait for its outcome",
		ArgsUsage: "[PAYLOAD ...]",
		Description: "Each argument is the payload of one task; \"-\" stands for standard input and\n" +
			"@FILE for the content of a file. The exit code is that of the outcome.\n\n" +
			"Examples:\n" +
			"   sesamedrift submit --service proofing --kind preview --team press --environment trial x\n" +
			"   sesamedrift submit --service proofing --kind preview --team press '{\"run-time\":\"80ms\"}'",
		Flags: []cli.Flag{
			hostsFlag,
			jsonFlag,
			&cli.StringFlag{
				Name:     "service",
				Usage:    "`NAME` of the service",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "kind",
				Usage:    "`NAME` of the kind of work",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "team",
				Usage:    "`NAME` of the team",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "key",
				Usage: "request `KEY` of an earlier submission that is sent again",
			},
			createdFlag,
			tryFlag,
			&cli.StringFlag{
				Name:  "environment",
				Usage: "`NAME` of the environment: trial or production",
				Value: validator.Production,
			},
			&cli.DurationFlag{
				Name:  "timeout",
				Usage: "give up after `DURATION`; the default is that of the kind",
			},
		},
		Action: c.withClient(c.submit),
	}
}

func (c *commandLine) submit(ctx context.Context, cmd *cli.Command, api *client.Client) error {
	payloads, err := c.payloads(cmd.Args().Slice())
	if err != nil {
		return err
	}
	s := sesamedrift.Submission{
		Service:  cmd.String("service"),
		Kind:     cmd.String("kind"),
		Team:     cmd.String("team"),
		Payloads: payloads,
	}
	if timeout := cmd.Duration("timeout"); timeout > 0 {
		s.Deadline = c.now().Add(timeout)
	} else if cmd.IsSet("timeout") {
		return usageError("timeout: %q is not accepted: want a duration above 0s, such as 800ms", timeout)
	}
	if text := cmd.String("key"); text != "" {
		if s.Key, err = sesamedrift.ParseKey(text, cmd.String("created")); err != nil {
			return err
		}
	}
	o, err := api.SubmitTry(ctx, s, cmd.Int("try"))
	if err != nil {
		return submissionError(err)
	}
	return c.printOutcome(cmd, o)
}

// submissionError returns the error of a failed submission. If the submission may have run, the
// error has the exit code of the outcome "unknown".
func submissionError(err error) error {
	var lost *client.LostError
	var mismatch *client.MismatchError
	if errors.As(err, &lost) || errors.As(err, &mismatch) {
		return &exitError{
			code:    sesamedrift.Unknown.ExitCode(),
			message: err.Error(),
		}
	}
	return err
}

// printOutcome prints an outcome and returns an error with its exit code, or nil if the exit code
// is 0.
func (c *commandLine) printOutcome(cmd *cli.Command, o sesamedrift.Outcome) error {
	if cmd.Bool("json") {
		if err := c.printJSON(o); err != nil {
			return err
		}
	} else {
		c.printf("%s %s\n", o.Key, o.Status)
		for _, a := range o.Answers {
			c.printf("%s\n", a)
		}
	}
	if code := o.Status.ExitCode(); code != 0 {
		message := o.Reason
		if o.RetryAfter > 0 {
			message += fmt.Sprintf(" (try again after %s)", o.RetryAfter.Round(time.Millisecond))
		}
		return &exitError{
			code:    code,
			message: fmt.Sprintf("%s: %s", o.Status, message),
		}
	}
	return nil
}

func (c *commandLine) payloads(args []string) ([][]byte, error) {
	payloads := make([][]byte, 0, len(args))
	for _, a := range args {
		p, err := c.payload(a)
		if err != nil {
			return nil, usageError("payload %q: %v", a, err)
		}
		payloads = append(payloads, p)
	}
	return payloads, nil
}

// payload returns the content that an argument stands for: standard input for "-", the content of
// a file for "@FILE", and otherwise the argument.
func (c *commandLine) payload(arg string) ([]byte, error) {
	switch {
	case arg == "-":
		return io.ReadAll(c.In)
	case len(arg) > 1 && arg[0] == '@':
		return os.ReadFile(arg[1:])
	}
	return []byte(arg), nil
}

func (c *commandLine) cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a submission",
		ArgsUsage: "KEY",
		Description: "Example:\n" +
			"   sesamedrift cancel riga-a.0197c0de-0000-7000-8000-000000000001",
		Flags: keyFlags,
		Action: c.withKey(func(ctx context.Context, cmd *cli.Command, api *client.Client, key sesamedrift.Key) error {
			if err := api.CancelTry(ctx, key, cmd.Int("try")); err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(map[string]string{"key": key.String()})
			}
			c.printf("%s is being cancelled\n", key)
			return nil
		}),
	}
}

func (c *commandLine) waitCommand() *cli.Command {
	return &cli.Command{
		Name:      "wait",
		Usage:     "wait for the outcome of a submission whose caller lost the connection",
		ArgsUsage: "KEY",
		Description: "Waits for a submission that runs, or prints the recorded outcome; it starts nothing. Of a\n" +
			"submission that no host knows, exit code 2 says so. Otherwise output and exit code are those\n" +
			"of submit.\n\n" +
			"Example:\n" +
			"   sesamedrift wait riga-a.0197c0de-0000-7000-8000-000000000001",
		Flags: keyFlags,
		Action: c.withKey(func(ctx context.Context, cmd *cli.Command, api *client.Client, key sesamedrift.Key) error {
			o, err := api.WaitTry(ctx, key, cmd.Int("try"))
			if err != nil {
				return submissionError(err)
			}
			return c.printOutcome(cmd, o)
		}),
	}
}

// withKey returns an action that parses the only argument as a request key and passes it on.
func (c *commandLine) withKey(action func(ctx context.Context, cmd *cli.Command, api *client.Client, key sesamedrift.Key) error) cli.ActionFunc {
	return c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
		text, err := singleArgument(cmd)
		if err != nil {
			return err
		}
		key, err := sesamedrift.ParseKey(text, cmd.String("created"))
		if err != nil {
			return err
		}
		return action(ctx, cmd, api, key)
	})
}

// withClient returns an action that creates a client for the hosts of the flags and passes it on.
func (c *commandLine) withClient(action func(ctx context.Context, cmd *cli.Command, api *client.Client) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		api, err := client.New(client.Config{
			Hosts:         cmd.StringSlice("host"),
			OperatorToken: cmd.String("token"),
			Environment:   cmd.String("environment"),
			Now:           c.now,
		})
		if err != nil {
			return usageError("%v", err)
		}
		return action(ctx, cmd, api)
	}
}
