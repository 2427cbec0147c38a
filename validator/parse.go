package validator

import (
	"bytes"
	"encoding/json"
)

// ParseSettings reads settings. Errors are of type *ProblemsError.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := decode(data, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseEnvironment reads an environment document. Errors are of type *ProblemsError.
func ParseEnvironment(data []byte) (Environment, error) {
	var e Environment
	if err := decode(data, &e); err != nil {
		return Environment{}, err
	}
	return e, nil
}

func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &ProblemsError{Problems: []Problem{{Path: "$", Message: err.Error()}}}
	}
	return nil
}
