package validator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the JSON path of the value. An element of a list whose elements have names
	// is given by its name, for example "$.teams[name=counter].rate".
	Path string `json:"path"`
	// Before and After are the values as JSON; empty if the value does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the differences between two JSON documents in the order of their paths.
// Elements with names are compared by name, so their order does not matter. Errors are
// of type *ProblemsError.
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

// diffValues appends the differences between two values that both exist.
func diffValues(changes []Change, path string, before, after any) ([]Change, error) {
	x, xOK := before.(map[string]any)
	y, yOK := after.(map[string]any)
	if xOK && yOK {
		return diffObjects(changes, x, y, func(name string) string { return fieldPath(path, name) })
	}
	v, vOK := before.([]any)
	w, wOK := after.([]any)
	if !vOK || !wOK {
		return diffTexts(changes, path, before, after)
	}
	x, xOK = byName(v)
	y, yOK = byName(w)
	if xOK && yOK {
		return diffObjects(changes, x, y, func(name string) string { return path + "[name=" + name + "]" })
	}
	x, y = byIndex(v), byIndex(w)
	return diffObjects(changes, x, y, func(i string) string {
		n, _ := strconv.Atoi(i)
		return itemPath(path, n)
	})
}

func diffTexts(changes []Change, path string, before, after any) ([]Change, error) {
	x, err := marshal(before)
	if err != nil {
		return nil, err
	}
	y, err := marshal(after)
	if err != nil {
		return nil, err
	}
	if string(x) != string(y) {
		changes = append(changes, Change{
			Path:   path,
			Before: string(x),
			After:  string(y),
		})
	}
	return changes, nil
}

func diffObjects(changes []Change, before, after map[string]any, path func(string) string) ([]Change, error) {
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		x, inBefore := before[name]
		y, inAfter := after[name]
		if inBefore && inAfter {
			var err error
			if changes, err = diffValues(changes, path(name), x, y); err != nil {
				return nil, err
			}
			continue
		}
		change := Change{Path: path(name)}
		text := &change.Before
		value := x
		if inAfter {
			text, value = &change.After, y
		}
		data, err := marshal(value)
		if err != nil {
			return nil, err
		}
		*text = string(data)
		changes = append(changes, change)
	}
	return changes, nil
}

// byName returns the elements by their names, or false if an element has no name of its own.
func byName(list []any) (map[string]any, bool) {
	named := make(map[string]any, len(list))
	for _, item := range list {
		object, _ := item.(map[string]any)
		name, ok := object["name"].(string)
		if _, twice := named[name]; !ok || twice {
			return nil, false
		}
		named[name] = item
	}
	return named, true
}

// byIndex returns the elements by position, with leading zeros so that they sort.
func byIndex(list []any) map[string]any {
	indexed := make(map[string]any, len(list))
	for i, item := range list {
		indexed[fmt.Sprintf("%09d", i)] = item
	}
	return indexed
}
