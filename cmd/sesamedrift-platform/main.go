// Command sesamedrift-platform runs the hosts of the users' provider. It is the command
// "platform" of sesamedrift as a program of its own, which starts sooner and needs less
// memory since it holds nothing else.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sesamedrift.example/sesamedrift/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := platform.Command(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sesamedrift-platform:", err)
		return 1
	}
	return 0
}
