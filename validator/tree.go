package validator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	// maxDepth is the deepest accepted nesting, far above that of any valid document. The bound
	// limits the recursion of the reader.
	maxDepth = 64
	// maxShownBytes is the largest size of a value in a problem, so that a message stays readable.
	maxShownBytes = 80
	// hiddenValue replaces secrets in problems.
	hiddenValue = "(hidden)"
	rootPath    = "$"
)

// unquotedField matches the fields that need no quotes in a JSON path.
var unquotedField = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

// fieldPath returns the JSON path of a field of the object at path.
func fieldPath(path, field string) string {
	if unquotedField.MatchString(field) {
		return path + "." + field
	}
	return path + "[" + strconv.Quote(field) + "]"
}

// itemPath returns the JSON path of an element of the list at path.
func itemPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// tokensPath returns the JSON path of a location in the tree. Tokens are field names and list
// indexes, from the root on.
func tokensPath(tree any, tokens []string) string {
	path := rootPath
	for _, t := range tokens {
		if list, ok := tree.([]any); ok {
			i, _ := strconv.Atoi(t)
			path = itemPath(path, i)
			tree = list[i]
			continue
		}
		path = fieldPath(path, t)
		object, _ := tree.(map[string]any)
		tree = object[t]
	}
	return path
}

// valueAt returns the value at a location in the tree, or nil if there is none.
func valueAt(tree any, tokens []string) any {
	for _, t := range tokens {
		switch v := tree.(type) {
		case map[string]any:
			tree = v[t]
		case []any:
			i, _ := strconv.Atoi(t)
			tree = v[i]
		}
	}
	return tree
}

// shortJSON returns the value as JSON, cut to maxShownBytes.
func shortJSON(value any) string {
	data, err := marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(data) <= maxShownBytes {
		return string(data)
	}
	cut := maxShownBytes
	for !utf8.RuneStart(data[cut]) {
		cut--
	}
	return string(data[:cut]) + "..."
}

// marshal encodes a value without escapes of HTML characters and without a final newline.
func marshal(value any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// treeReader decodes JSON into maps, lists and normalised numbers. Unlike json.Unmarshal
// it reports a field that occurs twice in an object.
type treeReader struct {
	decoder  *json.Decoder
	problems []Problem
}

// readTree returns the tree of a JSON text and the problems that are found without a schema. If
// the text is not JSON, the tree is nil and there is exactly one problem.
func readTree(data []byte) (any, []Problem) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, []Problem{syntaxProblem(data, err)}
	}
	r := &treeReader{decoder: json.NewDecoder(bytes.NewReader(data))}
	r.decoder.UseNumber()
	return r.value(rootPath, 0), r.problems
}

// syntaxProblem returns the problem of a text that is not JSON, with its position if err has one.
func syntaxProblem(data []byte, err error) Problem {
	p := Problem{Path: rootPath, Message: "want valid JSON: " + err.Error()}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return p
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	p.Message = fmt.Sprintf("want valid JSON: %v at line %d, column %d", err, line, column)
	return p
}

func (r *treeReader) add(path string, value any, message string) {
	p := Problem{Path: path, Message: message}
	if value != nil {
		p.Value = shortJSON(value)
	}
	r.problems = append(r.problems, p)
}

// token returns the next token. Decoding cannot fail, since readTree has checked the whole text.
func (r *treeReader) token() json.Token {
	t, err := r.decoder.Token()
	if err != nil {
		panic("validator: a token of checked JSON cannot be decoded: " + err.Error())
	}
	return t
}

func (r *treeReader) value(path string, depth int) any {
	if depth == maxDepth {
		r.add(path, nil, fmt.Sprintf("want at most %d levels of nesting", maxDepth))
		return r.skip()
	}
	switch t := r.token().(type) {
	case json.Delim:
		if t == '{' {
			return r.object(path, depth)
		}
		return r.list(path, depth)
	case json.Number:
		n, ok := normalNumber(string(t))
		if !ok {
			r.add(path, t, "want a number that fits into 64 bits")
		}
		return n
	default:
		return t
	}
}

// skip reads the next value and returns nil in its place.
func (r *treeReader) skip() any {
	var value json.RawMessage
	if err := r.decoder.Decode(&value); err != nil {
		panic("validator: a value of checked JSON cannot be decoded: " + err.Error())
	}
	return nil
}

func (r *treeReader) object(path string, depth int) any {
	object := map[string]any{}
	for r.decoder.More() {
		field, _ := r.token().(string)
		inner := fieldPath(path, field)
		_, duplicate := object[field]
		object[field] = r.value(inner, depth+1)
		if duplicate {
			r.add(inner, nil, "want the field only once in its object")
		}
	}
	r.token()
	return object
}

func (r *treeReader) list(path string, depth int) any {
	list := []any{}
	for i := 0; r.decoder.More(); i++ {
		list = append(list, r.value(itemPath(path, i), depth+1))
	}
	r.token()
	return list
}

// normalNumber returns the shortest text of the number, so that 1.0 and 1 are equal. It
// returns false if a 64-bit floating-point number cannot hold it.
func normalNumber(text string) (json.Number, bool) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "0", false
	}
	if f == 0 {
		return "0", true
	}
	if !strings.ContainsAny(text, ".eE") {
		return json.Number(text), true
	}
	data, err := json.Marshal(f)
	return json.Number(data), err == nil
}

// Canonical returns the JSON text in canonical form: no white space, sorted fields and
// shortest numbers. Two texts with the same content have the same canonical form, so digests
// over it do not depend on layout. Errors are of type *ProblemsError.
func Canonical(data []byte) ([]byte, error) {
	tree, problems := readTree(data)
	if len(problems) > 0 {
		return nil, newProblemsError(problems)
	}
	canonical, err := marshal(tree)
	if err != nil {
		return nil, newProblemsError([]Problem{{Path: rootPath, Message: err.Error()}})
	}
	return canonical, nil
}

// newProblemsError sorts the problems by path and removes duplicates.
func newProblemsError(problems []Problem) *ProblemsError {
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return &ProblemsError{Problems: slices.Compact(problems)}
}
