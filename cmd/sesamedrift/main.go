// Command sesamedrift runs a host, operates a running system and generates load.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sesamedrift.example/sesamedrift/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args, commander.Streams{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	})
	stop()
	os.Exit(code)
}
