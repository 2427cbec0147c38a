package validator

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// FieldTable returns a Markdown table of all fields of the document type, in the order of the
// struct fields, with type, default and meaning from the schema. A field of a list element is
// written as "peers[].host". It panics for an unknown type.
func FieldTable(d Document) string {
	var b strings.Builder
	b.WriteString("| field | type | default | meaning |\n")
	b.WriteString("|-------|------|---------|---------|\n")
	switch d {
	case SettingsDocument:
		writeFields(&b, schemas[d], reflect.TypeFor[Settings](), "")
	case EnvironmentDocument:
		writeFields(&b, schemas[d], reflect.TypeFor[Environment](), "")
	default:
		panic(fmt.Sprintf("validator: document type %q does not exist", string(d)))
	}
	return b.String()
}

// writeFields writes a row for each field of a struct type and, after it, the rows of the fields
// that it contains.
func writeFields(b *strings.Builder, s *jsonschema.Schema, t reflect.Type, prefix string) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		p, ok := s.Properties[name]
		if !ok {
			panic(fmt.Sprintf("validator: field %q is not in the schema", prefix+name))
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", prefix+name, acceptedValues(p), defaultText(s, name, p), p.Description)
		inner := t.Field(i).Type
		switch {
		case inner.Kind() == reflect.Struct:
			writeFields(b, p, inner, prefix+name+".")
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct:
			writeFields(b, p.Items2020, inner.Elem(), prefix+name+"[].")
		}
	}
}

func defaultText(s *jsonschema.Schema, name string, p *jsonschema.Schema) string {
	for _, required := range s.Required {
		if required == name {
			return "required"
		}
	}
	if p.Default == nil {
		return "none"
	}
	return "`" + shortJSON(*p.Default) + "`"
}

// Markdown returns the content of the documentation page of the document type:
// docs/settings.md or docs/environment.md. It panics for an unknown type.
func Markdown(d Document) string {
	var title, text string
	switch d {
	case SettingsDocument:
		title = "Settings"
		text = "The settings of one host process, a JSON file. An example is\n" +
			"[examples/host.json](../examples/host.json).\n"
	case EnvironmentDocument:
		title = "Environment documents"
		text = "One environment document, `trial` or `production`, holds for all hosts. Examples are\n" +
			"[examples/ajara.json](../examples/ajara.json) and\n" +
			"[examples/daugava.json](../examples/daugava.json).\n"
	default:
		panic(fmt.Sprintf("validator: document type %q does not exist", string(d)))
	}
	schema := string(d) + ".schema.json"
	return "# " + title + "\n\n" + text +
		"A document with any problem is rejected as a whole, and all problems are listed.\n" +
		"The fields are published as a JSON schema (draft 2020-12) in\n" +
		"[validator/schemas/" + schema + "](../validator/schemas/" + schema + ").\n\n" +
		FieldTable(d)
}
