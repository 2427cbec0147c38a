// Command sesamedrift-platform runs a host on the users' provider. It is the subcommand
// "platform" of sesamedrift as a separate program, which starts faster and uses less memory
// because it contains nothing else.
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
