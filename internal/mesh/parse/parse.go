// Package parse reads and validates settings trees in YAML.
package parse

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

// maxText is the maximum size of the source text in bytes. Every node keeps the text
// in memory, and the control plane of a node may use 64 MB.
const maxText = 4 << 20

// Problem is a syntax or validation error with its position in the text.
type Problem struct {
	// File is the name of the file; empty when the text was not read from a file.
	File string

	// Line is the line number, starting at 1.
	Line int

	tree.Problem
}

// String returns the problem as one line.
func (p Problem) String() string {
	where := strconv.Itoa(p.Line)
	if p.File != "" {
		where = p.File + ":" + where
	} else {
		where = "line " + where
	}
	if p.Path == "" {
		return where + ": " + p.Message
	}
	return where + ": " + p.Problem.String()
}

// InvalidTreeError means that a text is not a valid settings tree. It holds all
// problems of the text.
type InvalidTreeError struct {
	// Problems is sorted by line and never empty.
	Problems []Problem
}

// Error lists all problems, one per line.
func (e *InvalidTreeError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid settings tree, problems: %d", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Tree parses and validates a settings tree. It fails with an *InvalidTreeError that
// holds all problems.
func Tree(text []byte) (t *tree.Tree, err error) { return File("", text) }

// File is like Tree and adds the file name to the problems.
func File(file string, text []byte) (t *tree.Tree, err error) {
	r := reader{lines: make(map[string]int)}
	t = r.tree(text)
	r.check(t)
	if len(r.problems) == 0 {
		return t, nil
	}
	for i := range r.problems {
		r.problems[i].File = file
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return nil, &InvalidTreeError{Problems: r.problems}
}

// reader converts a YAML document to a tree and records the line of each value.
type reader struct {
	problems []Problem

	// lines holds the line number of each path in the text.
	lines map[string]int

	// malformed is true when the text is not a YAML mapping. Validation is skipped
	// then, because it would only report missing values.
	malformed bool
}

func (r *reader) add(line int, path, format string, args ...any) {
	r.problems = append(r.problems, Problem{Line: line, Problem: tree.Problem{Path: path, Message: fmt.Sprintf(format, args...)}})
}

// check validates the tree and adds its problems, except for values that could not be
// parsed and were already reported.
func (r *reader) check(t *tree.Tree) {
	if r.malformed {
		return
	}
	unparsed := make(map[string]bool)
	for _, p := range r.problems {
		unparsed[p.Path] = true
	}
	for _, p := range t.Check() {
		if !unparsed[p.Path] {
			r.problems = append(r.problems, Problem{Line: r.lineOf(p.Path), Problem: p})
		}
	}
}

// lineOf returns the line of the path or of its closest parent in the text.
func (r *reader) lineOf(path string) (line int) {
	for path != "" {
		if line, found := r.lines[path]; found {
			return line
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 1
}

var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

func (r *reader) tree(text []byte) (t *tree.Tree) {
	t = &tree.Tree{
		Zones:         make(map[mesh.ZoneName]tree.Zone),
		Services:      make(map[mesh.ServiceName]tree.Service),
		Organisations: make(map[mesh.OrganisationName]tree.Settings),
	}
	var document yaml.Node
	switch err := unmarshal(text, &document); {
	case err != nil:
		r.malformed = true
		line := 1
		if found := yamlLine.FindStringSubmatch(err.Error()); found != nil && found[1] != "" {
			line, _ = strconv.Atoi(found[1])
		}
		r.add(line, "", "%s", yamlLine.ReplaceAllString(err.Error(), ""))
		return t
	case len(document.Content) == 0 || isNull(document.Content[0]):
		r.malformed = true
		r.add(1, "", "the text is empty; a tree has the fields settings, zones, services and organisations")
		return t
	}
	r.fields("", document.Content[0], fieldReaders{
		"settings":      func(path string, n *yaml.Node) { t.Fleet = r.settings(path, tree.LevelFleet, n) },
		"zones":         func(path string, n *yaml.Node) { r.zones(path, n, t) },
		"services":      func(path string, n *yaml.Node) { r.services(path, n, t) },
		"organisations": func(path string, n *yaml.Node) { r.organisations(path, n, t) },
	})
	return t
}

func unmarshal(text []byte, document *yaml.Node) (err error) {
	if len(text) > maxText {
		return fmt.Errorf("the text has %d bytes; allowed are %d", len(text), maxText)
	}
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	if err := decoder.Decode(document); err != nil {
		if err.Error() == "EOF" {
			return nil
		}
		return err
	}
	var second yaml.Node
	if decoder.Decode(&second) == nil {
		return fmt.Errorf("yaml: line %d: a second document starts here; a tree is one document", second.Line)
	}
	return nil
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// entry is a key of a mapping with its path and value.
type entry struct {
	name  string
	path  string
	value *yaml.Node
}

// entries returns the entries of a mapping; a null value has none. Repeated keys and
// aliases are reported and left out.
func (r *reader) entries(path string, n *yaml.Node) (entries []entry) {
	if isNull(n) {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		r.malformed = r.malformed || path == ""
		r.add(n.Line, path, "is not a mapping; write NAME: VALUE lines below it")
		return nil
	}
	for i := 0; i < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := key.Value
		if path != "" {
			at = path + "." + at
		}
		if first, repeated := r.lines[at]; repeated {
			r.add(key.Line, at, "was already given at line %d; give it once", first)
			continue
		}
		r.lines[at] = key.Line
		if value.Kind == yaml.AliasNode || key.Value == "<<" {
			r.add(key.Line, at, "uses a YAML alias; write the value out, or set it on the level above")
			continue
		}
		entries = append(entries, entry{name: key.Value, path: at, value: value})
	}
	return entries
}

// fieldReaders maps the names of a mapping's fields to the functions that read them.
type fieldReaders map[string]func(path string, n *yaml.Node)

func (r *reader) fields(path string, n *yaml.Node, readers fieldReaders) {
	for _, e := range r.entries(path, n) {
		read, known := readers[e.name]
		if !known {
			r.addUnknown(e.path, sortedNames(readers))
			continue
		}
		read(e.path, e.value)
	}
}

func (r *reader) addUnknown(path string, allowed []string) {
	r.add(r.lines[path], path, "is not known; allowed here: %s", strings.Join(allowed, ", "))
}

func sortedNames(readers fieldReaders) (names []string) {
	for name := range readers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *reader) zones(path string, n *yaml.Node, t *tree.Tree) {
	for _, e := range r.entries(path, n) {
		var z tree.Zone
		r.fields(e.path, e.value, fieldReaders{
			"region":   func(path string, n *yaml.Node) { z.Region = r.text(path, n) },
			"out":      func(path string, n *yaml.Node) { r.scalar(path, n, &z.Out, "true or false") },
			"settings": func(path string, n *yaml.Node) { z.Settings = r.settings(path, tree.LevelZone, n) },
		})
		t.Zones[mesh.ZoneName(e.name)] = z
	}
}

func (r *reader) services(path string, n *yaml.Node, t *tree.Tree) {
	for _, e := range r.entries(path, n) {
		s := tree.Service{Routes: make(map[string]tree.Route)}
		r.fields(e.path, e.value, fieldReaders{
			"settings": func(path string, n *yaml.Node) { s.Settings = r.settings(path, tree.LevelService, n) },
			"routes":   func(path string, n *yaml.Node) { r.routes(path, n, s.Routes) },
		})
		t.Services[mesh.ServiceName(e.name)] = s
	}
}

func (r *reader) routes(path string, n *yaml.Node, routes map[string]tree.Route) {
	for _, e := range r.entries(path, n) {
		var route tree.Route
		r.fields(e.path, e.value, fieldReaders{
			"path":     func(path string, n *yaml.Node) { route.Path = r.text(path, n) },
			"methods":  func(path string, n *yaml.Node) { r.scalar(path, n, &route.Methods, "a list such as [GET, HEAD]") },
			"settings": func(path string, n *yaml.Node) { route.Settings = r.settings(path, tree.LevelRoute, n) },
		})
		routes[e.name] = route
	}
}

func (r *reader) organisations(path string, n *yaml.Node, t *tree.Tree) {
	for _, e := range r.entries(path, n) {
		t.Organisations[mesh.OrganisationName(e.name)] = r.settings(e.path, tree.LevelOrganisation, e.value)
	}
}
