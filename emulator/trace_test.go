package emulator

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// TestTrace prints the logs and violations of one seed, which the environment variable EMULATOR_SEED
// names. It checks nothing and is skipped without the variable.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("EMULATOR_SEED"), 10, 64)
	if err != nil {
		t.Skip("EMULATOR_SEED is not set to a seed")
	}
	w := newFaultySimulation(seed)
	if seed >= firstDisturbedSeed {
		w = newDisturbedSimulation(seed)
	}
	w.cfg.Log = os.Stdout
	w.Run(32 * time.Second)
	for _, v := range w.Violations() {
		t.Log(v)
	}
	t.Logf("%+v", w.Counts)
}
