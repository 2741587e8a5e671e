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
func (*checkCommand) Synopsis() string { return "validate settings without changing anything" }

func (*checkCommand) Usage() string {
	return `check FILE...
  Validates settings trees and settings files of nodes. Prints every problem
  with its file, line, path and the allowed values. The kind of a file follows
  from its fields. No platform is needed. Secrets of a node can be set in
  $` + secretsVariable + `.
  Exit status: 0 when all files are valid, 2 otherwise.
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

// nodeFields are the fields that identify a settings file of a node. A settings tree has
// none of them.
var nodeFields = []string{"zone", "caller-listen", "local-listen", "peer-listen", "platform", "peers", "secrets", "leave-time"}

// isNodeSettings reports whether text is the settings file of a node and not a settings
// tree.
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
