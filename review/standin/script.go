package standin

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a script.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Disrupted reports whether the script applies its disruption: TROUBLE=0 switches it off.
func Disrupted() bool { return os.Getenv("TROUBLE") != "0" }

// RunScript runs a scenario, which writes its record to a folder, and returns the exit status. The
// scenario returns the number of times that it saw the rule broken.
func RunScript(folder string, scenario func(r *Record) (int, error)) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	count, err := scenario(record)
	status := Held
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = Failed
	case count > 0:
		record.Printf("the rule was broken %d times", count)
		fmt.Println("the rule was broken", count, "times")
		status = Broken
	default:
		record.Printf("the rule held")
		fmt.Println("the rule held")
	}
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	return status
}
