package validator

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

var update = flag.Bool("update", false, "write the golden files and the pages under docs")

// parseByName parses a file as settings or as an environment document, depending on its name.
func parseByName(file string, data []byte) error {
	var err error
	if strings.HasPrefix(filepath.Base(file), "settings") || strings.HasSuffix(file, "host.json") {
		_, err = ParseSettings(data)
	} else {
		_, err = ParseEnvironment(data)
	}
	return err
}

// expectGolden compares the content with the file, or writes the file if -update is set.
func expectGolden(g *WithT, file, content string) {
	if *update {
		g.Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(Equal(string(want)))
}

// Guards against problems that are not found, are reported twice, or show a secret.
func TestBadDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := NewWithT(t)
			data, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			var problems *ProblemsError
			g.Expect(errors.As(parseByName(file, data), &problems)).To(BeTrue())
			expectGolden(g, strings.TrimSuffix(file, ".json")+".golden", problems.Error()+"\n")
		})
	}
}

// Guards against a finding that is not made, and against one about an entry that has an effect.
func TestReview(t *testing.T) {
	files, err := filepath.Glob("testdata/review/*.json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).To(HaveLen(12))
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := NewWithT(t)
			data, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			e, err := ParseEnvironment(data)
			g.Expect(err).NotTo(HaveOccurred())
			findings := ""
			for _, f := range Review(e) {
				findings += f.String() + "\n"
			}
			expectGolden(g, strings.TrimSuffix(file, ".json")+".golden", findings)
		})
	}
}

// Guards against example files that the parse functions reject, or for which Review has findings.
func TestExamplesAreAccepted(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../examples/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(4))
	for _, file := range files {
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parseByName(file, data)).To(Succeed(), file)
		if e, err := ParseEnvironment(data); err == nil {
			g.Expect(Review(e)).To(BeEmpty(), file)
		}
	}
}

// Guards against documentation pages that differ from the schemas, and against fields of a schema
// that the struct lacks.
func TestPagesMatchSchemas(t *testing.T) {
	g := NewWithT(t)
	expectGolden(g, "../docs/settings.md", Markdown(SettingsDocument))
	expectGolden(g, "../docs/environment.md", Markdown(EnvironmentDocument))
	for d, schema := range schemas {
		rows := strings.Count(FieldTable(d), "\n") - len([]string{"heading", "rule"})
		g.Expect(countFields(schema)).To(Equal(rows), string(d))
	}
}

// countFields returns the number of fields of a schema, including those of nested objects and of list
// elements.
func countFields(s *jsonschema.Schema) int {
	if s.Items2020 != nil {
		return countFields(s.Items2020)
	}
	n := len(s.Properties)
	for _, p := range s.Properties {
		n += countFields(p)
	}
	return n
}

// Guards against defaults that differ from the documented ones, and against defaults
// that replace values of the document, such as 0.
func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	e, err := ParseEnvironment([]byte(`{"name":"trial","domains":[{"name":"ikeja"}],"teams":[],
		"services":[{"name":"desk","kinds":[{"name":"check"}],"long-share":0,"max-queue":1e3}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	desk, ok := e.Service("desk")
	g.Expect(ok).To(BeTrue())
	g.Expect(desk.LongShare).To(BeZero())
	g.Expect(desk.MaxQueue).To(Equal(1000))
	check, ok := desk.Kind("check")
	g.Expect(ok).To(BeTrue())
	g.Expect(check.Deadline.Std()).To(Equal(2 * time.Second))
	g.Expect(e.Limits).To(Equal(Limits{
		Retention:       Duration(10 * time.Minute),
		MaxTasks:        390,
		MaxBody:         8 << 20,
		RetryShare:      0.1,
		EjectShare:      0.3,
		DisconnectGrace: Duration(2 * time.Second),
	}))
	g.Expect(e.DomainNames()).To(Equal([]string{"ikeja"}))

	data, err := os.ReadFile("../examples/host.json")
	g.Expect(err).NotTo(HaveOccurred())
	s, err := ParseSettings(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Replicas()).To(Equal([]string{"ikeja-1", "lekki-1", "apapa-1"}))
	g.Expect(s.LeaseTime.Std()).To(Equal(600 * time.Millisecond))
	g.Expect(s.LogLevel).To(Equal("info"))
}

// Guards against a canonical form, and so a digest, that depends on layout or is equal for
// different content.
func TestCanonical(t *testing.T) {
	g := NewWithT(t)
	a, err := Canonical([]byte("{ \"b\": [1.0, -0, 1e2, 12345678901234567890],\n \"a\": \"<\\u0041>\" }"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(a)).To(Equal(`{"a":"<A>","b":[1,0,100,12345678901234567890]}`))
	_, err = Canonical([]byte(`{"a":1,"a":2}`))
	g.Expect(err).To(MatchError("$.a: want the field only once in its object"))
}

// Guards against changes that are not listed, and against listed changes where only the order of
// elements differs.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	changes, err := Diff(
		[]byte(`{"teams":[{"name":"a","rate":1},{"name":"b","rate":2},{"name":"c"}],"list":["x","y"],"same":1.0}`),
		[]byte(`{"teams":[{"name":"b","rate":3},{"name":"a","rate":1},{"name":"d"}],"list":["x"],"same":1,"new":null}`),
	)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(Equal([]Change{
		{Path: "$.list[1]", Before: `"y"`},
		{Path: "$.new", After: "null"},
		{Path: "$.teams[name=b].rate", Before: "2", After: "3"},
		{Path: "$.teams[name=c]", Before: `{"name":"c"}`},
		{Path: "$.teams[name=d]", After: `{"name":"d"}`},
	}))
}

// Guards against panics, against accepted documents that change or are rejected when they are
// encoded and parsed again, and against a canonical form that is not stable.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/*.json", "../examples/*.json"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		if s, err := ParseSettings(data); err == nil {
			again, err := json.Marshal(s)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ParseSettings(again)).To(Equal(s))
		}
		if e, err := ParseEnvironment(data); err == nil {
			again, err := json.Marshal(e)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ParseEnvironment(again)).To(Equal(e))
		}
		if canonical, err := Canonical(data); err == nil {
			g.Expect(Canonical(canonical)).To(Equal(canonical))
			g.Expect(Diff(data, canonical)).To(BeEmpty())
		}
	})
}
