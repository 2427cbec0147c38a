package validator

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written in JSON as text such as "250ms".
type Duration time.Duration

// Std returns the duration as the type of the standard library.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form, for example "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads the text form. JSON null leaves the duration as it is.
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
