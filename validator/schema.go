package validator

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Document is a type of document; its value is the file name of the schema without the extension.
type Document string

// Types of documents.
const (
	SettingsDocument    Document = "settings"
	EnvironmentDocument Document = "environment"
)

// maxDuration is the longest accepted duration, so that sums of durations cannot overflow.
const maxDuration = 365 * 24 * time.Hour

//go:embed schemas/*.schema.json
var schemaFiles embed.FS

var schemas = compileSchemas()

// Schema returns the published JSON schema (draft 2020-12) of the document type. It panics for an
// unknown type.
func Schema(d Document) []byte {
	data, err := schemaFiles.ReadFile("schemas/" + string(d) + ".schema.json")
	if err != nil {
		panic(fmt.Sprintf("validator: document type %q does not exist", string(d)))
	}
	return data
}

// compileSchemas compiles the embedded schemas. It panics if one of them is not valid.
func compileSchemas() map[Document]*jsonschema.Schema {
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	c.RegisterFormat(&jsonschema.Format{
		Name:     "ip-address-with-port",
		Validate: checkAddress,
	})
	c.RegisterFormat(&jsonschema.Format{
		Name:     "duration-with-unit",
		Validate: func(v any) error { return checkDuration(v, 0) },
	})
	c.RegisterFormat(&jsonschema.Format{
		Name:     "positive-duration-with-unit",
		Validate: func(v any) error { return checkDuration(v, 1) },
	})
	compiled := map[Document]*jsonschema.Schema{}
	for _, d := range []Document{SettingsDocument, EnvironmentDocument} {
		tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema(d)))
		if err != nil {
			panic(fmt.Sprintf("validator: schema %s: %v", d, err))
		}
		if err := c.AddResource(string(d), tree); err != nil {
			panic(fmt.Sprintf("validator: schema %s: %v", d, err))
		}
		compiled[d] = c.MustCompile(string(d))
	}
	return compiled
}

// checkAddress implements the format "ip-address-with-port". Values that are no text are
// rejected by the type in the schema.
func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return errors.New("the address cannot be dialled")
	}
	return nil
}

// checkDuration implements the two formats of durations; lowest is the shortest accepted one.
// Values that are no text are rejected by the type in the schema.
func checkDuration(v any, lowest time.Duration) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	// time.ParseDuration accepts 0 without a unit.
	if d < lowest || d > maxDuration || strings.Trim(text, "+-.0123456789") == "" {
		return errors.New("the duration is out of range or has no unit")
	}
	return nil
}

// childSchema returns the schema of a field or of the elements of a list, or nil if the schema
// allows no such field.
func childSchema(s *jsonschema.Schema, token string) *jsonschema.Schema {
	s = resolveRef(s)
	if s == nil {
		return nil
	}
	if p, ok := s.Properties[token]; ok {
		return p
	}
	if s.Items2020 != nil {
		return s.Items2020
	}
	additional, _ := s.AdditionalProperties.(*jsonschema.Schema)
	return additional
}

// resolveRef follows references to the schema that they name.
func resolveRef(s *jsonschema.Schema) *jsonschema.Schema {
	for s != nil && s.Ref != nil {
		s = s.Ref
	}
	return s
}

// acceptedValues returns a noun phrase for the values that the schema accepts. Problems and the
// documentation pages contain it.
func acceptedValues(s *jsonschema.Schema) string {
	if s == nil {
		return "no value"
	}
	if s.Ref != nil {
		return resolveRef(s).Description
	}
	if s.Enum != nil {
		values := make([]string, 0, len(s.Enum.Values))
		for _, v := range s.Enum.Values {
			values = append(values, fmt.Sprintf("`%v`", v))
		}
		return "one of " + strings.Join(values, ", ")
	}
	if s.Types == nil {
		return "any value"
	}
	switch t := s.Types.ToStrings()[0]; t {
	case "boolean":
		return "`true` or `false`"
	case "integer":
		return fmt.Sprintf("an integer from %s to %s", s.Minimum.RatString(), s.Maximum.RatString())
	case "number":
		return fmt.Sprintf("a number from %s to %s", trimTrailingZeros(s.Minimum.FloatString(3)), trimTrailingZeros(s.Maximum.FloatString(3)))
	case "string":
		return "text that is not empty"
	case "array":
		minItems := 0
		if s.MinItems != nil {
			minItems = *s.MinItems
		}
		return fmt.Sprintf("a list of %d to %d elements", minItems, *s.MaxItems)
	case "object":
		return "an object"
	default:
		panic(fmt.Sprintf("validator: schema type %q has no description", t))
	}
}

func trimTrailingZeros(text string) string {
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}
