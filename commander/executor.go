package commander

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/executor"
	"sesamedrift.example/sesamedrift/validator"
)

func (c *commandLine) executorCommand() *cli.Command {
	return &cli.Command{
		Name:  "executor",
		Usage: "run a stand-in upstream that sleeps for the run time of each task",
		Description: "The payload {\"run-time\":\"80ms\",\"echo\":\"text\"} runs for 80 ms; {\"fail\":\"why\"} fails;\n" +
			"{\"hold\":true} runs until POST /release to the executor's address.\n" +
			"On a signal the executor announces that it leaves and finishes its running tasks.\n\n" +
			"Example:\n" +
			"   sesamedrift executor --id worker-1 --service proofing --host http://127.0.0.1:8080",
		Flags: append(capacityFlags(),
			hostsFlag,
			jsonFlag,
			&cli.StringFlag{
				Name:     "id",
				Usage:    "`NAME` of the upstream",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "service",
				Usage:    "`NAME` of the service",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "environment",
				Usage: "`NAME` of the environment that it serves: trial or production",
				Value: validator.Production,
			},
			&cli.StringFlag{
				Name:  "address",
				Usage: "`IP:PORT` to listen on",
				Value: "127.0.0.1:0",
			},
			&cli.IntFlag{
				Name:  "slots",
				Usage: "tasks at the same time",
				Value: 8,
			},
			&cli.IntFlag{
				Name:  "connections",
				Usage: "connections at the same time",
				Value: 64,
			},
			&cli.DurationFlag{
				Name:  "ttl",
				Usage: "time to live of an announcement",
				Value: 3 * time.Second,
			},
			&cli.FloatFlag{
				Name:  "slowdown",
				Usage: "multiply run times by `FACTOR`",
				Value: 1,
			},
			&cli.BoolFlag{
				Name:  "fail-all",
				Usage: "fail every task at once",
			},
			&cli.BoolFlag{
				Name:  "hang",
				Usage: "never answer before the lease ends",
			},
			&cli.DurationFlag{
				Name:  "die-after",
				Usage: "stop without notice after `DURATION`",
			},
			&cli.DurationFlag{
				Name:  "leave-after",
				Usage: "leave after `DURATION`",
			},
		),
		Action: c.runExecutor,
	}
}

func (c *commandLine) runExecutor(ctx context.Context, cmd *cli.Command) error {
	switch environment := cmd.String("environment"); environment {
	case validator.Trial, validator.Production:
	default:
		return usageError("environment: %q is not accepted: want trial or production", environment)
	}
	log, err := c.logger(slog.LevelInfo.String())
	if err != nil {
		return err
	}
	e, err := executor.New(executor.Config{
		Log:         log,
		ID:          cmd.String("id"),
		Address:     cmd.String("address"),
		Hosts:       cmd.StringSlice("host"),
		Service:     cmd.String("service"),
		Environment: cmd.String("environment"),
		Incarnation: uint64(c.now().UnixNano()),
		Slots:       cmd.Int("slots"),
		Connections: cmd.Int("connections"),
		Capacity: sesamedrift.Resources{
			CPU:          cmd.Int64("cpu"),
			Memory:       cmd.Int64("memory"),
			Accelerators: cmd.Int64("accelerators"),
		},
		TTL: cmd.Duration("ttl"),
		Faults: executor.Faults{
			Slowdown: cmd.Float("slowdown"),
			FailAll:  cmd.Bool("fail-all"),
			Hang:     cmd.Bool("hang"),
		},
	})
	if err != nil {
		return usageError("%v", err)
	}
	if cmd.Bool("json") {
		if err := c.printJSON(map[string]string{
			"upstream": cmd.String("id"),
			"address":  e.Address(),
		}); err != nil {
			return errors.Join(err, e.Close())
		}
	} else {
		c.printf("executor %s listens on %s\n", cmd.String("id"), e.Address())
	}
	select {
	case <-ctx.Done():
	case <-afterDuration(cmd.Duration("leave-after")):
	case <-afterDuration(cmd.Duration("die-after")):
		return e.Close()
	}
	// No timeout is needed: each running task ends at the latest when its lease expires.
	err = e.Leave(context.Background())
	if closeErr := e.Close(); err == nil {
		err = closeErr
	}
	return err
}

// afterDuration returns a channel that receives a value after d, or never if d is not positive.
func afterDuration(d time.Duration) <-chan time.Time {
	if d <= 0 {
		return nil
	}
	return time.After(d)
}

// capacityFlags returns the flags for the resources that the running tasks of an executor share.
func capacityFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{
			Name:  "cpu",
			Usage: "thousandths of a core that running tasks may need together; without --cpu, --memory and --accelerators there is no bound",
		},
		&cli.Int64Flag{
			Name:  "memory",
			Usage: "megabytes of memory that running tasks may need together",
		},
		&cli.Int64Flag{
			Name:  "accelerators",
			Usage: "accelerators that running tasks may need together",
		},
	}
}
