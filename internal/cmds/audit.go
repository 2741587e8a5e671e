package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/audit"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
)

// form is a form in which a configuration is written.
type form struct {
	name   string
	naming audit.Naming

	// withKeys is true when the form holds the API keys of the organisations.
	withKeys bool

	// parse returns the rules of a text, or the problems of an invalid one.
	parse func(file string, text []byte) (rules *mesh.Rules, problems []auditFinding)

	// inForce returns the rules that the platform at addr holds; nil when there are none.
	inForce func(ctx context.Context, addr netip.AddrPort) (rules *mesh.Rules, err error)
}

// treeForm is the settings tree.
var treeForm = &form{
	name: "tree",
	naming: audit.Naming{
		Route:        func(r *mesh.Route) (path string) { return "services." + string(r.Service) + ".routes." + r.Name },
		Service:      func(name mesh.ServiceName) (path string) { return "services." + string(name) },
		Organisation: func(name mesh.OrganisationName) (path string) { return "organisations." + string(name) },
	},
	parse:   parseTree,
	inForce: treeInForce,
}

// forms are the known forms.
var forms = []*form{treeForm, manifestForm}

// Formats of the output.
const (
	formatText = "text"
	formatJSON = "json"
)

// exitWarnings is the exit status when there are warnings but no errors.
const exitWarnings = subcommands.ExitFailure

type auditCommand struct {
	streams
	form, format, against string
	platform              addrFlag
}

func (*auditCommand) Name() string { return "audit" }
func (*auditCommand) Synopsis() string {
	return "check a configuration before it is sent, and compare it with the one in force"
}

func (*auditCommand) Usage() string {
	return `audit [-form tree|manifest] [-against FILE | -platform ADDR] [-format text|json] FILE
  Prints errors, entries that can never match and limits that contradict each
  other, with file, line and path, and what differs from the configuration in
  FILE of -against or in force at the platform, with what it means for callers.
  Changes nothing. The form tree is a settings tree, manifest the configuration
  on the users' platform (default: by the file's content).
  Exit status: 0 without findings, 1 with warnings, 2 with errors or when a
  configuration cannot be read.
`
}

func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.err)
	f.StringVar(&c.form, "form", "", "form of the configuration: "+treeForm.name+" or "+manifestForm.name)
	f.StringVar(&c.format, "format", formatText, "format of the output: "+formatText+" or "+formatJSON)
	f.StringVar(&c.against, "against", "", "file with the configuration to compare with")
	f.Var(&c.platform, "platform", "address of the platform whose configuration in force to compare with")
}

// auditFinding is a finding as printed.
type auditFinding struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	Path     string `json:"path"`
	Message  string `json:"message"`
}

// auditChange is a difference from the configuration in force as printed.
type auditChange struct {
	Kind   string `json:"kind"`
	Path   string `json:"path"`
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Effect string `json:"effect"`
}

// auditReport is the output of the command.
type auditReport struct {
	Findings []auditFinding `json:"findings"`
	Changes  []auditChange  `json:"changes"`
}

// configuration is a configuration that was read from a file.
type configuration struct {
	file  string
	form  *form
	text  []byte
	rules *mesh.Rules
}

func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	args, err := positional(f)
	switch {
	case err != nil:
		return usage(c.err, "audit: %v", err)
	case len(args) != 1:
		return usage(c.err, "audit: name one file")
	case c.against != "" && c.platform.addr.IsValid():
		return usage(c.err, "audit: -against and -platform exclude each other")
	case c.format != formatText && c.format != formatJSON:
		return usage(c.err, "audit: -format is %q; it must be %s or %s", c.format, formatText, formatJSON)
	case c.form != "" && c.form != treeForm.name && c.form != manifestForm.name:
		return usage(c.err, "audit: -form is %q; it must be %s or %s", c.form, treeForm.name, manifestForm.name)
	}
	next, findings, err := c.read(args[0])
	if err != nil {
		return usage(c.err, "audit: %v", err)
	}
	report := auditReport{Findings: findings, Changes: []auditChange{}}
	if next != nil {
		report.Findings = append(report.Findings, next.check()...)
		if report.Changes, err = c.compare(ctx, next); err != nil {
			return usage(c.err, "audit: %v", err)
		}
	}
	if err := report.write(c.out, c.format); err != nil {
		return fail(c.err, err)
	}
	return report.status()
}

// read reads a configuration. When it is invalid, its problems are returned as findings.
func (c *auditCommand) read(file string) (read *configuration, findings []auditFinding, err error) {
	text, err := readInput(file)
	if err != nil {
		return nil, nil, err
	}
	read = &configuration{file: file, form: formOf(text), text: text}
	for _, f := range forms {
		if f.name == c.form {
			read.form = f
		}
	}
	if read.rules, findings = read.form.parse(file, text); len(findings) > 0 {
		return nil, findings, nil
	}
	return read, []auditFinding{}, nil
}

func parseTree(file string, text []byte) (rules *mesh.Rules, problems []auditFinding) {
	settings, err := parse.File(file, text)
	var invalid *parse.InvalidTreeError
	switch {
	case errors.As(err, &invalid):
		for _, p := range invalid.Problems {
			problems = append(problems, newProblem(file, p.Line, p.Path, p.Message))
		}
		return nil, problems
	case err != nil:
		return nil, []auditFinding{newProblem(file, 1, "", err.Error())}
	}
	return settings.Rules(), nil
}

// newProblem returns the finding on a text that cannot be read.
func newProblem(file string, line int, path, message string) (f auditFinding) {
	return auditFinding{File: file, Line: line, Severity: audit.Error.String(), Kind: string(audit.Invalid), Path: path, Message: message}
}

// formOf returns the form of a configuration: in a manifest, the routes are a list at the top.
func formOf(text []byte) (f *form) {
	var fields map[string]yaml.Node
	if yaml.Unmarshal(text, &fields) == nil && fields["routes"].Kind == yaml.SequenceNode {
		return manifestForm
	}
	return treeForm
}

// check returns the findings on a configuration with their lines.
func (g *configuration) check() (findings []auditFinding) {
	var options []audit.Option
	if !g.form.withKeys {
		options = append(options, audit.WithoutKeys())
	}
	lines := linesOf(g.text)
	for _, f := range audit.Check(g.rules, g.form.naming, options...) {
		findings = append(findings, auditFinding{File: g.file, Line: max(1, lines[f.Path]), Severity: f.Severity.String(), Kind: string(f.Kind), Path: f.Path, Message: f.Message})
	}
	return findings
}

// compare returns what differs from the configuration in force, if one is named.
func (c *auditCommand) compare(ctx context.Context, next *configuration) (changes []auditChange, err error) {
	inForce, err := c.inForce(ctx, next.form)
	if err != nil || inForce == nil {
		return []auditChange{}, err
	}
	differences, err := audit.Compare(inForce, next.rules, next.form.naming)
	changes = make([]auditChange, len(differences))
	for i, d := range differences {
		changes[i] = auditChange(d)
	}
	return changes, err
}

// inForce returns the configuration to compare with; nil when none is named.
func (c *auditCommand) inForce(ctx context.Context, f *form) (rules *mesh.Rules, err error) {
	switch {
	case c.against != "":
		read, findings, err := c.read(c.against)
		if err != nil {
			return nil, err
		}
		if read == nil {
			return nil, fmt.Errorf("%s is invalid: %s", c.against, findings[0].Message)
		}
		if read.form != f {
			return nil, fmt.Errorf("%s is a %s, but the configuration to check is a %s", c.against, read.form.name, f.name)
		}
		return read.rules, nil
	case !c.platform.addr.IsValid():
		return nil, c.platform.err
	default:
		return f.inForce(ctx, c.platform.addr)
	}
}

// treeInForce returns the settings tree in force; nil when there is none yet.
func treeInForce(ctx context.Context, addr netip.AddrPort) (rules *mesh.Rules, err error) {
	platform := store.New(addr)
	head, err := admin.ReadHead(ctx, platform)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	snapshot, err := admin.ReadSnapshot(ctx, platform, head)
	if err != nil {
		return nil, err
	}
	settings, err := parse.Tree(snapshot.Text)
	if err != nil {
		return nil, err
	}
	return settings.Rules(), nil
}

// linesOf returns the line of each entry in a YAML or JSON text, by path. An element of a list
// that has a name counts as an entry of that name.
func linesOf(text []byte) (lines map[string]int) {
	lines = make(map[string]int)
	var document yaml.Node
	if yaml.Unmarshal(text, &document) == nil {
		for _, n := range document.Content {
			addLines(lines, "", n)
		}
	}
	return lines
}

func addLines(lines map[string]int, path string, n *yaml.Node) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			at := join(n.Content[i].Value)
			lines[at] = n.Content[i].Line
			addLines(lines, at, n.Content[i+1])
		}
	case yaml.SequenceNode:
		for _, element := range n.Content {
			if name := nameOf(element); name != "" {
				lines[join(name)] = element.Line
			}
		}
	}
}

// nameOf returns the field "name" of a mapping; empty when it has none.
func nameOf(n *yaml.Node) (name string) {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" {
			return n.Content[i+1].Value
		}
	}
	return ""
}

func (r *auditReport) write(to io.Writer, format string) (err error) {
	if format == formatJSON {
		e := json.NewEncoder(to)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(to, "%s:%d: %s: %s: %s (%s)\n", f.File, f.Line, f.Severity, f.Path, f.Message, f.Kind); err != nil {
			return err
		}
	}
	for _, d := range r.Changes {
		what := d.Path
		if d.Field != "" {
			what += " " + d.Field
		}
		if d.From != "" || d.To != "" {
			what += fmt.Sprintf(" from %s to %s", d.From, d.To)
		}
		if _, err := fmt.Fprintf(to, "%s: %s; %s\n", d.Kind, what, d.Effect); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(to, "findings: %d, changes: %d\n", len(r.Findings), len(r.Changes))
	return err
}

func (r *auditReport) status() (status subcommands.ExitStatus) {
	for _, f := range r.Findings {
		if f.Severity == audit.Error.String() {
			return subcommands.ExitUsageError
		}
		status = exitWarnings
	}
	return status
}
