package validator

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path is the JSON path of the value, for example "$.peers[0].address".
	Path string `json:"path"`
	// Value is the rejected value as JSON, shortened, or "(hidden)" for a secret. It is empty if
	// the field is missing.
	Value string `json:"value"`
	// Message says what would be accepted.
	Message string `json:"message"`
}

// String returns path, value and message on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Value, p.Message)
}

// ProblemsError is the error for a rejected document.
type ProblemsError struct {
	// Problems has at least one element and is sorted by path.
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
