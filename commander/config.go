package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/client"
	"sesamedrift.example/sesamedrift/validator"
)

const (
	// historyLimit is the default number of entries that the history command prints.
	historyLimit = 50
)

func (c *commandLine) configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, apply, show, compare and promote environment documents",
		Description: "The fields of a document are described in docs/environment.md.\n\n" +
			"Example:\n   sesamedrift config check examples/ajara.json",
		Commands: []*cli.Command{
			c.configCheck(),
			c.configReview(),
			c.configApply(),
			c.configShow(),
			c.configDiff(),
			c.configPromote(),
			c.configHistory(),
		},
	}
}

func (c *commandLine) configCheck() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a document and list every problem",
		ArgsUsage:   "FILE",
		Description: "Example:\n   sesamedrift config check examples/ajara.json",
		Flags:       []cli.Flag{jsonFlag},
		Action: func(_ context.Context, cmd *cli.Command) error {
			document, _, err := c.readDocument(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(checkResult{
					File:     cmd.Args().First(),
					Accepted: true,
				})
			}
			c.printf("%s is accepted: environment %s, %d services, %d teams, %d failure domains\n",
				cmd.Args().First(), document.Name, len(document.Services), len(document.Teams), len(document.Domains))
			return nil
		},
	}
}

// readDocument reads and parses the file that the argument names. It also returns the content of
// the file.
func (c *commandLine) readDocument(cmd *cli.Command) (validator.Environment, []byte, error) {
	file, err := singleArgument(cmd)
	if err != nil {
		return validator.Environment{}, nil, err
	}
	data, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return validator.Environment{}, nil, usageError("%v", err)
	}
	document, err := validator.ParseEnvironment(data)
	if err != nil {
		return validator.Environment{}, nil, c.rejectFile(cmd, file, err)
	}
	return document, data, nil
}

// changeFlags are the flags of the commands that change a document.
var changeFlags = []cli.Flag{
	hostsFlag,
	tokenFlag,
	jsonFlag,
	&cli.StringFlag{
		Name:  "id",
		Usage: "`ID` of a change that is sent again after its answer was lost",
	},
	&cli.Uint64Flag{
		Name:     "expected",
		Usage:    "`VERSION` that the change replaces, 0 for the first",
		Required: true,
	},
	whoFlag,
}

func (c *commandLine) configApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replace the document of its environment",
		ArgsUsage: "FILE",
		Description: "A conflict means that another change took the version; look at it before you try again.\n\n" +
			"Example:\n   sesamedrift config apply --expected 0 --who ana examples/ajara.json",
		Flags: changeFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			document, data, err := c.readDocument(cmd)
			if err != nil {
				return err
			}
			change := changeFromFlags(cmd)
			change.Environment = document.Name
			change.Document = data
			result, err := api.Apply(ctx, change)
			if err != nil {
				return err
			}
			return c.printChange(cmd, result)
		}),
	}
}

func (c *commandLine) configPromote() *cli.Command {
	return &cli.Command{
		Name:  "promote",
		Usage: "make the accepted trial document the production document",
		Description: "The promotion conditions are part of the trial document.\n\n" +
			"Example:\n   sesamedrift config promote --expected 3 --who ana",
		Flags: changeFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			result, err := api.Promote(ctx, changeFromFlags(cmd))
			if err != nil {
				return err
			}
			return c.printChange(cmd, result)
		}),
	}
}

func changeFromFlags(cmd *cli.Command) client.Change {
	return client.Change{
		ID:              cmd.String("id"),
		ExpectedVersion: cmd.Uint64("expected"),
		Who:             cmd.String("who"),
	}
}

func (c *commandLine) printChange(cmd *cli.Command, r client.ChangeResult) error {
	if cmd.Bool("json") {
		if err := c.printJSON(struct {
			ID string `json:"id"`
			client.ChangeResult
		}{r.ID, r}); err != nil {
			return err
		}
	}
	switch r.Status {
	case client.ChangeAccepted:
		if !cmd.Bool("json") {
			c.printf("accepted as version %d (change %s), in force on %s\n",
				r.Version, r.ID, strings.Join(r.InForceOn, ", "))
		}
		return nil
	case client.ChangeConflict:
		winner := "another change"
		if r.Winner != nil {
			winner = fmt.Sprintf("change %s of %s", r.Winner.ID, r.Winner.Who)
		}
		return &exitError{
			code:    sesamedrift.ExitConflict,
			message: fmt.Sprintf("conflict: %s is version %d (digest %s)", winner, r.Version, r.Digest),
		}
	case client.ChangeUnavailable:
		return &exitError{
			code:    sesamedrift.ExitError,
			message: "no majority of the replicas answered; send the change again with --id " + r.ID,
		}
	default:
		panic("commander: change status " + string(r.Status) + " is not known")
	}
}

func (c *commandLine) configShow() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print the document in force and on which hosts it is",
		ArgsUsage:   "trial|production",
		Description: "Example:\n   sesamedrift config show production",
		Flags:       []cli.Flag{hostsFlag, jsonFlag},
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			name, err := singleArgument(cmd)
			if err != nil {
				return err
			}
			state, err := api.Environment(ctx, name)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(state)
			}
			c.printf("version %d, digest %s, in force on %s\n",
				state.Version, state.Digest, strings.Join(state.InForceOn, ", "))
			return c.printJSON(state.Document)
		}),
	}
}

func (c *commandLine) configDiff() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "compare a document with the one in force",
		ArgsUsage:   "FILE",
		Description: "Example:\n   sesamedrift config diff examples/ajara.json",
		Flags:       []cli.Flag{hostsFlag, jsonFlag},
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			document, data, err := c.readDocument(cmd)
			if err != nil {
				return err
			}
			state, err := api.Environment(ctx, document.Name)
			if err != nil {
				return err
			}
			changes, err := validator.Diff(state.Document, data)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(changes)
			}
			c.printChanges(changes, state.Version)
			return nil
		}),
	}
}

// review is the JSON output of the review of a document.
type review struct {
	// Version is that of the document in force, 0 if there is none or if Compared is false.
	Version uint64 `json:"version"`
	// Compared is true if the document was compared with the one in force.
	Compared bool                `json:"compared"`
	Findings []validator.Problem `json:"findings"`
	Changes  []validator.Change  `json:"changes"`
}

func (c *commandLine) configReview() *cli.Command {
	return &cli.Command{
		Name:      "review",
		Usage:     "list entries without effect, contradictions, and differences from the document in force",
		ArgsUsage: "FILE",
		Description: "Ends with exit code 7 if there are findings. Hosts accept such a document nevertheless.\n\n" +
			"Example:\n   sesamedrift config review examples/ajara.json",
		Flags: []cli.Flag{
			hostsFlag,
			jsonFlag,
			&cli.BoolFlag{
				Name:  "diff",
				Usage: "also list the differences from the document in force; with --diff=false, no host is asked",
				Value: true,
			},
		},
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			document, data, err := c.readDocument(cmd)
			if err != nil {
				return err
			}
			r := review{
				Findings: append([]validator.Problem{}, validator.Review(document)...),
				Changes:  []validator.Change{},
			}
			var failed error
			if cmd.Bool("diff") {
				failed = r.compare(ctx, api, document.Name, data)
			}
			if err := c.printReview(cmd, r); err != nil {
				return err
			}
			switch {
			case len(r.Findings) == 0:
				return failed
			case failed != nil:
				return &exitError{code: sesamedrift.ExitConflict, message: failed.Error()}
			default:
				return &exitError{code: sesamedrift.ExitConflict}
			}
		}),
	}
}

// compare adds the differences from the document in force. After an error the review stays as it was.
func (r *review) compare(ctx context.Context, api *client.Client, environment string, data []byte) error {
	state, err := api.Environment(ctx, environment)
	var missing *client.APIError
	if errors.As(err, &missing) && missing.Code == client.CodeNotFound {
		r.Compared = true
		return nil
	}
	if err != nil {
		return err
	}
	changes, err := validator.Diff(state.Document, data)
	if err != nil {
		return err
	}
	r.Compared, r.Version = true, state.Version
	r.Changes = append(r.Changes, changes...)
	return nil
}

func (c *commandLine) printReview(cmd *cli.Command, r review) error {
	if cmd.Bool("json") {
		return c.printJSON(r)
	}
	c.printf("%d findings\n", len(r.Findings))
	for _, f := range r.Findings {
		c.printf("%s\n", f)
	}
	switch {
	case !r.Compared:
	case r.Version == 0:
		c.printf("no document is in force\n")
	default:
		c.printChanges(r.Changes, r.Version)
	}
	return nil
}

// printChanges prints the differences of a document from the version in force.
func (c *commandLine) printChanges(changes []validator.Change, version uint64) {
	c.printf("%d differences from version %d\n", len(changes), version)
	for _, d := range changes {
		c.printf("%s: %s -> %s\n", d.Path, orNone(d.Before), orNone(d.After))
	}
}

// orNone returns the value, or "none" for a field that is missing in one document.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func (c *commandLine) configHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "print the audit trail of an environment",
		ArgsUsage:   "trial|production",
		Description: "Example:\n   sesamedrift config history production --after 100",
		Flags:       historyFlags,
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			name, err := singleArgument(cmd)
			if err != nil {
				return err
			}
			entries, err := api.History(ctx, name, cmd.Uint64("after"), cmd.Int("limit"))
			if err != nil {
				return err
			}
			return c.printHistory(cmd, entries)
		}),
	}
}

// historyFlags are the flags of the commands that print an audit trail.
var historyFlags = []cli.Flag{
	hostsFlag,
	jsonFlag,
	&cli.Uint64Flag{
		Name:  "after",
		Usage: "begin after `VERSION`",
	},
	&cli.IntFlag{
		Name:  "limit",
		Usage: "print at most `N` entries",
		Value: historyLimit,
	},
}

func (c *commandLine) printHistory(cmd *cli.Command, entries []client.AuditEntry) error {
	if cmd.Bool("json") {
		return c.printJSON(entries)
	}
	for _, e := range entries {
		c.printf("%d %s %s %s %s %s\n", e.Version, e.At.Format("2006-01-02T15:04:05Z07:00"), e.Who, e.ID, e.Outcome, e.Digest)
	}
	return nil
}

func (c *commandLine) statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print hosts, leases, upstreams, queues and versions",
		Description: "Example:\n   sesamedrift status --host http://127.0.0.1:8080",
		Flags:       []cli.Flag{hostsFlag, jsonFlag},
		Action: c.withClient(func(ctx context.Context, cmd *cli.Command, api *client.Client) error {
			raw, err := api.Status(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.printJSON(raw)
			}
			return c.printStatus(raw)
		}),
	}
}

// hostStatus holds the fields of a status response that the table of hosts shows.
type hostStatus struct {
	Host      string            `json:"host"`
	Domain    string            `json:"domain"`
	Ready     bool              `json:"ready"`
	View      uint64            `json:"view"`
	Lease     bool              `json:"lease"`
	Votes     bool              `json:"votes"`
	Journal   string            `json:"journal-error"`
	Evacuated []string          `json:"evacuated"`
	Versions  map[string]uint64 `json:"versions"`
	Queued    int               `json:"queued"`
	Running   int               `json:"running"`
	Upstreams []struct {
		Upstream string `json:"upstream"`
		State    string `json:"state"`
	} `json:"upstreams"`
}

func (c *commandLine) printStatus(raw json.RawMessage) error {
	var s struct {
		hostStatus
		Hosts       []hostStatus `json:"hosts"`
		Unreachable []string     `json:"unreachable"`
		CutOff      bool         `json:"cut-off"`
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	c.printf("%-16s %-12s %-5s %5s %-5s %-5s %7s %7s %9s %10s\n",
		"host", "domain", "ready", "view", "lease", "votes", "queued", "running", "upstreams", "production")
	for _, h := range append([]hostStatus{s.hostStatus}, s.Hosts...) {
		c.printf("%-16s %-12s %-5t %5d %-5t %-5t %7d %7d %9d %10d\n",
			h.Host, h.Domain, h.Ready, h.View, h.Lease, h.Votes, h.Queued, h.Running, len(h.Upstreams),
			h.Versions["env-production"])
	}
	for _, h := range append([]hostStatus{s.hostStatus}, s.Hosts...) {
		if h.Journal != "" {
			c.printf("%s does not vote: %s\n", h.Host, h.Journal)
		}
	}
	hostsByDomain := map[string][]string{}
	for _, h := range append([]hostStatus{s.hostStatus}, s.Hosts...) {
		for _, domain := range h.Evacuated {
			hostsByDomain[domain] = append(hostsByDomain[domain], h.Host)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(hostsByDomain)) {
		slices.Sort(hostsByDomain[domain])
		c.printf("evacuated: %s, in force on %s\n", domain, strings.Join(hostsByDomain[domain], ", "))
	}
	if len(s.Unreachable) > 0 {
		c.printf("unreachable: %s\n", strings.Join(s.Unreachable, ", "))
	}
	if s.CutOff {
		c.printf("cut off: no majority of the replicas can be asked, the configuration may be old\n")
	}
	return nil
}
