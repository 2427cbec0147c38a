// Command sesamedrift runs a host, operates a running system and generates load.
package main

import (
	"os"

	"sesamedrift.example/sesamedrift/commander"
)

func main() {
	os.Exit(commander.Main())
}
