package validator

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form, for example "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON encodes the text form as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes the text form. JSON null leaves the duration unchanged.
func (d *Duration) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration must be text with a unit, such as \"250ms\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration must be text with a unit, such as \"250ms\": %w", err)
	}
	*d = Duration(parsed)
	return nil
}
