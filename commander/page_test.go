package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	// block matches a fenced block of shell commands.
	block = regexp.MustCompile("(?s)```sh\n(.*?)```")
	// word matches one word of a command line, with its quotes.
	word = regexp.MustCompile(`'[^']*'|"[^"]*"|\S+`)
)

// page runs the commands of a page: "page FILE ADDRESS". Each request by curl is sent to
// the host and printed with its result; each sesamedrift command must succeed. The files
// that commands name are those of the script.
func page(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: page FILE ADDRESS")
	}
	n := 0
	for _, b := range block.FindAllStringSubmatch(ts.ReadFile(args[0]), -1) {
		for line := range strings.Lines(strings.ReplaceAll(b[1], "\\\n", " ")) {
			words := word.FindAllString(strings.TrimSpace(line), -1)
			switch {
			case len(words) > 0 && words[0] == "curl":
				send(ts, words[1:], args[1])
			case len(words) > 0 && words[0] == "sesamedrift":
				run(ts, words)
			default:
				ts.Fatalf("not a command that is known here: %s", line)
			}
			n++
		}
	}
	if n == 0 {
		ts.Fatalf("no command on the page %s", args[0])
	}
}

func run(ts *testscript.TestScript, words []string) {
	line := strings.Join(words, " ")
	for i := range words {
		words[i] = unquote(ts, words[i])
	}
	if err := ts.Exec(words[0], words[1:]...); err != nil {
		ts.Fatalf("%s: %v", line, err)
	}
}

// send performs one curl command by net/http.
func send(ts *testscript.TestScript, words []string, address string) {
	method, url := "", ""
	var body []byte
	header := http.Header{}
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "-i":
		case "-X":
			i++
			method = words[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(unquote(ts, words[i]), ": ")
			header.Set(name, value)
		case "-d", "--data-binary":
			i++
			body = data(ts, unquote(ts, words[i]))
		default:
			url = unquote(ts, words[i])
		}
	}
	switch {
	case method == "" && body == nil:
		method = http.MethodGet
	case method == "":
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(context.Background(), method,
		strings.Replace(url, "127.0.0.1:8080", address, 1), bytes.NewReader(body))
	ts.Check(err)
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, err = fmt.Fprintf(ts.Stdout(), "%s %s\n%s\n%s\n", method, r.URL.RequestURI(), resp.Status, summary(r.URL.Path, answer))
	ts.Check(err)
}

// unquote returns the text of a word. Commands in it are those that the pages use.
func unquote(ts *testscript.TestScript, w string) string {
	if strings.HasPrefix(w, "'") {
		return strings.Trim(w, "'")
	}
	w = strings.Trim(w, `"`)
	w = strings.Replace(w, "$(date -u +%Y-%m-%dT%H:%M:%SZ)", time.Now().UTC().Format(time.RFC3339), 1)
	w = strings.Replace(w, "$TOKEN", ts.Getenv("SESAMEDRIFT_TOKEN"), 1)
	if strings.Contains(w, "$") {
		ts.Fatalf("the word %s of a command is not understood", w)
	}
	return w
}

func data(ts *testscript.TestScript, text string) []byte {
	name, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return []byte(text)
	}
	content, err := os.ReadFile(ts.MkAbs(name))
	ts.Check(err)
	return content
}

// summary returns the body of an answer, or the names in it where the values vary.
func summary(path string, body []byte) string {
	switch path {
	case "/metrics":
		return "(metrics)"
	case "/v1/status":
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body, &fields); err != nil {
			return err.Error()
		}
		return strings.Join(slices.Sorted(maps.Keys(fields)), " ")
	default:
		return strings.TrimSpace(string(body))
	}
}
