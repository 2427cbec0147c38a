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

// ParseSettings reads settings. Errors are of type *ProblemsError.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	c := parse(SettingsDocument, data, &s)
	checkSettings(c, s)
	if len(c.problems) > 0 {
		return Settings{}, newProblemsError(c.problems)
	}
	return s, nil
}

// ParseEnvironment reads an environment document. Errors are of type *ProblemsError.
func ParseEnvironment(data []byte) (Environment, error) {
	var e Environment
	c := parse(EnvironmentDocument, data, &e)
	checkEnvironment(c, e)
	if len(c.problems) > 0 {
		return Environment{}, newProblemsError(c.problems)
	}
	return e, nil
}

// checker collects problems. A value that the schema rejected is not compared with
// others, since it says nothing about what its author meant.
type checker struct {
	problems []Problem
	rejected map[string]bool // by path
}

// add adds a contradiction between the value at the path and those at the related paths.
func (c *checker) add(path string, value any, message string, related ...string) {
	if c.isRejected(path) || slices.ContainsFunc(related, c.isRejected) {
		return
	}
	p := Problem{Path: path, Message: message}
	if value != nil {
		p.Value = show(value)
	}
	c.problems = append(c.problems, p)
}

// isRejected returns whether the value at the path, or one that contains it, is rejected.
func (c *checker) isRejected(path string) bool {
	for i := 1; i <= len(path); i++ {
		if (i == len(path) || path[i] == '.' || path[i] == '[') && c.rejected[path[:i]] {
			return true
		}
	}
	return false
}

// parse checks the document against its schema and decodes what the schema accepts of
// it, with defaults, so that the checks for contradictions can be made on the rest.
func parse(d Document, data []byte, into any) *checker {
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
	rest, err := marshal(tree)
	if err == nil {
		err = json.Unmarshal(rest, into)
	}
	if err != nil && len(c.problems) == 0 {
		c.problems = append(c.problems, Problem{Path: rootPath, Message: err.Error()})
	}
	return c
}

// addViolations adds a problem for each rejected value and returns the locations of the
// values, the deepest first.
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
			p.Value = show(value)
		}
		c.problems = append(c.problems, p)
		c.rejected[path] = true
	}
	for _, leaf := range leaves(e) {
		tokens := leaf.InstanceLocation
		s := descend(schema, tokens)
		switch k := leaf.ErrorKind.(type) {
		case *kind.AdditionalProperties:
			for _, field := range k.Properties {
				unknown := append(slices.Clone(tokens), field)
				reject(unknown, shownUnknown(s, at(tree, unknown)), "unknown field; want one of "+fields(s))
			}
		case *kind.Required:
			for _, field := range k.Missing {
				missing := append(slices.Clone(tokens), field)
				reject(missing, nil, "missing; want "+accepted(child(s, field)))
			}
		default:
			reject(tokens, shown(s, at(tree, tokens)), "want "+accepted(s))
		}
	}
	slices.SortFunc(rejected, func(a, b []string) int { return len(b) - len(a) })
	return rejected
}

// shown hides a secret, and an object that may contain one, since problems are logged.
func shown(s *jsonschema.Schema, value any) any {
	if s.WriteOnly || hasSecret(s) {
		return hidden
	}
	return plain(value)
}

// shownUnknown hides what may be the value of a misspelt secret field.
func shownUnknown(parent *jsonschema.Schema, value any) any {
	if hasSecret(parent) {
		return hidden
	}
	return plain(value)
}

func hasSecret(s *jsonschema.Schema) bool {
	for _, p := range s.Properties {
		if p.WriteOnly {
			return true
		}
	}
	return false
}

func plain(value any) any {
	if value == nil {
		return json.RawMessage("null")
	}
	return value
}

func leaves(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		all = append(all, leaves(cause)...)
	}
	return all
}

func descend(s *jsonschema.Schema, tokens []string) *jsonschema.Schema {
	for _, t := range tokens {
		s = child(s, t)
	}
	return s
}

func fields(s *jsonschema.Schema) string {
	names := make([]string, 0, len(s.Properties))
	for name := range s.Properties {
		names = append(names, "`"+name+"`")
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// prune removes the value at the location. In a list it leaves a null, so that the
// positions of the other elements stay.
func prune(tree any, tokens []string) any {
	if len(tokens) == 0 {
		return nil
	}
	last := len(tokens) - 1
	switch parent := at(tree, tokens[:last]).(type) {
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

// fillDefaults sets the missing fields that have a default.
func fillDefaults(s *jsonschema.Schema, tree any) {
	s = target(s)
	switch v := tree.(type) {
	case map[string]any:
		for name, p := range s.Properties {
			if _, ok := v[name]; !ok && p.Default != nil {
				v[name] = clone(*p.Default)
			}
		}
		for name, value := range v {
			if next := child(s, name); next != nil {
				fillDefaults(next, value)
			}
		}
	case []any:
		for _, item := range v {
			fillDefaults(s.Items2020, item)
		}
	}
}

// clone copies a default, whose lists and objects are empty in all schemas.
func clone(value any) any {
	switch value.(type) {
	case map[string]any:
		return map[string]any{}
	case []any:
		return []any{}
	default:
		return value
	}
}
