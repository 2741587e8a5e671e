package cmds

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

type explainCommand struct{ streams }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "trace a request through the logs of nodes" }

func (*explainCommand) Usage() string {
	return `explain ID [FILE...]
  Prints the log lines of nodes about the request with the id and about its
  nested calls, sorted by time. Reads standard input when no file is given.
  Prefixes that a log collector adds to lines, such as the name of the host,
  are kept.
`
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	args, err := positional(f)
	if err != nil || len(args) == 0 || args[0] == "" {
		return usage(c.err, "explain: name the id of a request")
	}
	var found []logLine
	if len(args) == 1 {
		found, err = readLog(os.Stdin, args[0])
	}
	for _, name := range args[1:] {
		var lines []logLine
		if lines, err = readLogFile(name, args[0]); err != nil {
			break
		}
		found = append(found, lines...)
	}
	if err != nil {
		return fail(c.err, err)
	}
	if len(found) == 0 {
		return usage(c.err, "explain: no log line for request %q; requests that a target answered successfully are not logged", args[0])
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range found {
		fmt.Fprintln(c.out, l)
	}
	return subcommands.ExitSuccess
}

// logLine is a log line about a request.
type logLine struct {
	// prefix is the text that a log collector added before the JSON object.
	prefix, time, message string
	fields                map[string]any
}

// String returns the line as text, with its fields sorted by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s %s", l.prefix, l.time, l.message)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

func readLogFile(name, id string) (lines []logLine, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if lines, err = readLog(file, id); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// readLog returns the log lines about a request and its nested calls, whose ids start with
// the id of the request and a dot. Lines of other programs are skipped.
func readLog(from io.Reader, id string) (lines []logLine, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		prefix, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue
		}
		request, _ := fields["request"].(string)
		if request != id && !strings.HasPrefix(request, id+".") {
			continue
		}
		l := logLine{prefix: strings.TrimLeft(prefix, " "), fields: fields}
		l.time, _ = fields["time"].(string)
		l.message, _ = fields["msg"].(string)
		for _, name := range []string{"time", "msg", "level"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}
