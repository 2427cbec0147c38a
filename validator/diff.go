package validator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the JSON path of the value. If the elements of a list have unique names, the path
	// has their names instead of indexes, for example "$.teams[name=counter].rate".
	Path string `json:"path"`
	// Before and After are the values as JSON; empty if the document does not have the value.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the differences between the JSON document a and its changed version b, in the order
// of their paths. List elements with names are compared by name, so their order does not matter.
// Errors are of type *ProblemsError.
func Diff(a, b []byte) ([]Change, error) {
	before, problems := readTree(a)
	if len(problems) > 0 {
		return nil, newProblemsError(problems)
	}
	after, problems := readTree(b)
	if len(problems) > 0 {
		return nil, newProblemsError(problems)
	}
	return diffValues(nil, rootPath, before, after)
}

// diffValues appends the differences between two values that both exist. Objects and lists are
// compared element by element.
func diffValues(changes []Change, path string, before, after any) ([]Change, error) {
	beforeFields, beforeOK := before.(map[string]any)
	afterFields, afterOK := after.(map[string]any)
	if beforeOK && afterOK {
		return diffObjects(changes, beforeFields, afterFields, func(name string) string { return fieldPath(path, name) })
	}
	beforeList, beforeIsList := before.([]any)
	afterList, afterIsList := after.([]any)
	if !beforeIsList || !afterIsList {
		return diffEncoded(changes, path, before, after)
	}
	beforeFields, beforeOK = byName(beforeList)
	afterFields, afterOK = byName(afterList)
	if beforeOK && afterOK {
		return diffObjects(changes, beforeFields, afterFields, func(name string) string { return path + "[name=" + name + "]" })
	}
	beforeFields, afterFields = byIndex(beforeList), byIndex(afterList)
	return diffObjects(changes, beforeFields, afterFields, func(i string) string {
		n, _ := strconv.Atoi(i)
		return itemPath(path, n)
	})
}

// diffEncoded appends a change if the JSON encodings of the values differ.
func diffEncoded(changes []Change, path string, before, after any) ([]Change, error) {
	beforeJSON, err := marshal(before)
	if err != nil {
		return nil, err
	}
	afterJSON, err := marshal(after)
	if err != nil {
		return nil, err
	}
	if string(beforeJSON) != string(afterJSON) {
		changes = append(changes, Change{
			Path:   path,
			Before: string(beforeJSON),
			After:  string(afterJSON),
		})
	}
	return changes, nil
}

// diffObjects appends the differences between two objects, with the path of each field.
func diffObjects(changes []Change, before, after map[string]any, path func(string) string) ([]Change, error) {
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		beforeValue, inBefore := before[name]
		afterValue, inAfter := after[name]
		if inBefore && inAfter {
			var err error
			if changes, err = diffValues(changes, path(name), beforeValue, afterValue); err != nil {
				return nil, err
			}
			continue
		}
		change := Change{Path: path(name)}
		side := &change.Before
		value := beforeValue
		if inAfter {
			side, value = &change.After, afterValue
		}
		data, err := marshal(value)
		if err != nil {
			return nil, err
		}
		*side = string(data)
		changes = append(changes, change)
	}
	return changes, nil
}

// byName returns the elements by their names, or false if an element has no name or two elements
// have the same.
func byName(list []any) (map[string]any, bool) {
	named := make(map[string]any, len(list))
	for _, item := range list {
		object, _ := item.(map[string]any)
		name, ok := object["name"].(string)
		if _, duplicate := named[name]; !ok || duplicate {
			return nil, false
		}
		named[name] = item
	}
	return named, true
}

// byIndex returns the elements by index. Leading zeros make the order of the keys numeric.
func byIndex(list []any) map[string]any {
	indexed := make(map[string]any, len(list))
	for i, item := range list {
		indexed[fmt.Sprintf("%09d", i)] = item
	}
	return indexed
}
