package validator

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// ParseSettings parses the settings of a host and fills in defaults. Errors are of type
// *ProblemsError.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	c := parseDocument(SettingsDocument, data, &s)
	checkSettings(c, s)
	if len(c.problems) > 0 {
		return Settings{}, newProblemsError(c.problems)
	}
	return s, nil
}

// ParseEnvironment parses an environment document and fills in defaults. Errors are of type
// *ProblemsError.
func ParseEnvironment(data []byte) (Environment, error) {
	var e Environment
	c := parseDocument(EnvironmentDocument, data, &e)
	checkEnvironment(c, e)
	if len(c.problems) > 0 {
		return Environment{}, newProblemsError(c.problems)
	}
	return e, nil
}

// checker collects problems. A value that the schema rejects is not compared with other values,
// since the comparison would report a second problem with the same cause.
type checker struct {
	problems []Problem
	rejected map[string]bool // by path
}

// add adds a problem of the value at the path, found by comparing it with the values at the
// related paths. Nothing is added if the schema rejects one of these values.
func (c *checker) add(path string, value any, message string, related ...string) {
	if c.isRejected(path) || slices.ContainsFunc(related, c.isRejected) {
		return
	}
	p := Problem{Path: path, Message: message}
	if value != nil {
		p.Value = shortJSON(value)
	}
	c.problems = append(c.problems, p)
}

// isRejected reports whether the value at the path, or one that contains it, was rejected.
func (c *checker) isRejected(path string) bool {
	for i := 1; i <= len(path); i++ {
		if (i == len(path) || path[i] == '.' || path[i] == '[') && c.rejected[path[:i]] {
			return true
		}
	}
	return false
}

// parseDocument validates the document against its schema and decodes the accepted values, with
// defaults. Rejected values are left out, so that the accepted ones can still be checked for
// contradictions.
func parseDocument(d Document, data []byte, into any) *checker {
	c := &checker{rejected: map[string]bool{}}
	tree, problems := readTree(data)
	c.problems = problems
	for _, p := range problems {
		c.rejected[p.Path] = true
	}
	if tree == nil && len(problems) > 0 {
		return c
	}
	schema := schemas[d]
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(tree); errors.As(err, &invalid) {
		rejected := c.addViolations(schema, tree, invalid)
		for _, tokens := range rejected {
			tree = prune(tree, tokens)
		}
	} else if err != nil {
		c.problems = append(c.problems, Problem{Path: rootPath, Message: err.Error()})
	}
	fillDefaults(schema, tree)
	accepted, err := marshal(tree)
	if err == nil {
		err = json.Unmarshal(accepted, into)
	}
	if err != nil && len(c.problems) == 0 {
		c.problems = append(c.problems, Problem{Path: rootPath, Message: err.Error()})
	}
	return c
}

// addViolations adds a problem for each value that the schema rejects, and returns the locations
// of these values, the deepest first.
func (c *checker) addViolations(schema *jsonschema.Schema, tree any, e *jsonschema.ValidationError) [][]string {
	var rejected [][]string
	reject := func(tokens []string, value any, message string) {
		path := tokensPath(tree, tokens)
		rejected = append(rejected, tokens)
		if c.isRejected(path) {
			return
		}
		p := Problem{Path: path, Message: message}
		if value != nil {
			p.Value = shortJSON(value)
		}
		c.problems = append(c.problems, p)
		c.rejected[path] = true
	}
	for _, leaf := range leafErrors(e) {
		tokens := leaf.InstanceLocation
		s := schemaAt(schema, tokens)
		switch k := leaf.ErrorKind.(type) {
		case *kind.AdditionalProperties:
			for _, field := range k.Properties {
				unknown := append(slices.Clone(tokens), field)
				reject(unknown, shownUnknownField(s, valueAt(tree, unknown)), "unknown field; want one of "+fieldNames(s))
			}
		case *kind.Required:
			for _, field := range k.Missing {
				missing := append(slices.Clone(tokens), field)
				reject(missing, nil, "missing; want "+acceptedValues(childSchema(s, field)))
			}
		default:
			reject(tokens, shownValue(s, valueAt(tree, tokens)), "want "+acceptedValues(s))
		}
	}
	slices.SortFunc(rejected, func(a, b []string) int { return len(b) - len(a) })
	return rejected
}

// shownValue returns the value as it may be shown in a problem. Problems are logged, so a secret
// is hidden, and so is an object that may contain one.
func shownValue(s *jsonschema.Schema, value any) any {
	if s.WriteOnly || hasSecret(s) {
		return hiddenValue
	}
	return orJSONNull(value)
}

// shownUnknownField is shownValue for an unknown field. It is hidden if its object has secret
// fields, since it may be one of them with a misspelt name.
func shownUnknownField(parent *jsonschema.Schema, value any) any {
	if hasSecret(parent) {
		return hiddenValue
	}
	return orJSONNull(value)
}

// hasSecret reports whether an object schema has secret fields, which are marked as writeOnly.
func hasSecret(s *jsonschema.Schema) bool {
	for _, p := range s.Properties {
		if p.WriteOnly {
			return true
		}
	}
	return false
}

// orJSONNull returns the value, or JSON null for nil, since problems without a value are about
// missing fields.
func orJSONNull(value any) any {
	if value == nil {
		return json.RawMessage("null")
	}
	return value
}

// leafErrors returns the innermost causes of a validation error.
func leafErrors(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		all = append(all, leafErrors(cause)...)
	}
	return all
}

// schemaAt returns the schema of the value at a location.
func schemaAt(s *jsonschema.Schema, tokens []string) *jsonschema.Schema {
	for _, t := range tokens {
		s = childSchema(s, t)
	}
	return s
}

// fieldNames lists the fields of an object schema for a message.
func fieldNames(s *jsonschema.Schema) string {
	names := make([]string, 0, len(s.Properties))
	for name := range s.Properties {
		names = append(names, "`"+name+"`")
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// prune removes the value at the location. In a list it is replaced by null, so that the
// indexes of the other elements do not change.
func prune(tree any, tokens []string) any {
	if len(tokens) == 0 {
		return nil
	}
	last := len(tokens) - 1
	switch parent := valueAt(tree, tokens[:last]).(type) {
	case map[string]any:
		delete(parent, tokens[last])
	case []any:
		var i int
		if _, err := fmt.Sscan(tokens[last], &i); err == nil {
			parent[i] = nil
		}
	}
	return tree
}

// fillDefaults sets the missing fields that have a default, in the whole tree.
func fillDefaults(s *jsonschema.Schema, tree any) {
	s = resolveRef(s)
	switch v := tree.(type) {
	case map[string]any:
		for name, p := range s.Properties {
			if _, ok := v[name]; !ok && p.Default != nil {
				v[name] = cloneDefault(*p.Default)
			}
		}
		for name, value := range v {
			if next := childSchema(s, name); next != nil {
				fillDefaults(next, value)
			}
		}
	case []any:
		for _, item := range v {
			fillDefaults(s.Items2020, item)
		}
	}
}

// cloneDefault copies a default value. Lists and objects are empty in all defaults of the
// schemas.
func cloneDefault(value any) any {
	switch value.(type) {
	case map[string]any:
		return map[string]any{}
	case []any:
		return []any{}
	default:
		return value
	}
}
