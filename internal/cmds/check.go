package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh/node"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
)

type checkCommand struct{ streams }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings without changing anything" }

func (*checkCommand) Usage() string {
	return `check FILE...
  Checks settings trees and nodes' own settings, and prints every problem with
  its file, line, path, and what is allowed. It tells the two kinds of file
  apart by their fields, and needs no platform. Secrets of a node may be given
  in $` + secretsVariable + `.
  Exit status: 0 when all files may be used, 2 otherwise.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { f.SetOutput(c.err) }

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	if f.NArg() == 0 {
		return usage(c.err, "check: name at least one file")
	}
	for _, file := range f.Args() {
		if err := checkFile(file); err != nil {
			fmt.Fprintln(c.err, err)
			status = subcommands.ExitUsageError
			continue
		}
		fmt.Fprintf(c.out, "%s: no problems\n", file)
	}
	return status
}

func checkFile(file string) (err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !isNodeSettings(text) {
		_, err = parse.File(file, text)
		return err
	}
	var fallback []string
	if secrets := os.Getenv(secretsVariable); secrets != "" {
		fallback = strings.Split(secrets, ",")
	}
	if _, err = node.ParseSettings(text, fallback); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// nodeFields are fields that only a node's own settings have.
var nodeFields = []string{"zone", "caller-listen", "local-listen", "peer-listen", "platform", "peers", "secrets", "leave-time"}

// isNodeSettings reports whether a file has a field of a node's own settings.
func isNodeSettings(text []byte) (found bool) {
	var fields map[string]yaml.Node
	if yaml.Unmarshal(text, &fields) != nil {
		return false
	}
	return slices.ContainsFunc(nodeFields, func(name string) bool {
		_, found := fields[name]
		return found
	})
}
