package cmds

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"strings"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/node"
)

// secretsVariable is the environment variable with the secrets of the fleet, separated by
// commas. It is used when a node's settings contain no secrets.
const secretsVariable = "QUETZAL_SECRETS"

// gcPercent makes the garbage collector run less often than the default of 100. On a heap
// of a few MB, collections at the default rate raise the 99th percentile of the added
// latency.
const gcPercent = 300

type nodeCommand struct {
	file   string
	format string
}

func (*nodeCommand) Name() string     { return "node" }
func (*nodeCommand) Synopsis() string { return "run the node of a target host" }

func (*nodeCommand) Usage() string {
	return `node -settings FILE [-log-format text|json]
  Runs the node of a target host until SIGTERM, then finishes the requests in
  flight and leaves the fleet. docs/operators.md describes the settings.
`
}

func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv("QUETZAL_SETTINGS"), "settings file of the node ($QUETZAL_SETTINGS)")
	f.StringVar(&c.format, "log-format", "text", "format of log lines: text or json")
}

func (c *nodeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	logger, err := logs.New(os.Stderr, logs.Format(c.format))
	if err != nil {
		return usage(os.Stderr, "%v", err)
	}
	text, err := os.ReadFile(c.file)
	if err != nil {
		return usage(os.Stderr, "%v", err)
	}
	var fallback []string
	if secrets := os.Getenv(secretsVariable); secrets != "" {
		fallback = strings.Split(secrets, ",")
	}
	settings, err := node.ParseSettings(text, fallback)
	if err != nil {
		return usage(os.Stderr, "%s: %v", c.file, err)
	}
	debug.SetGCPercent(gcPercent)
	n, err := node.New(settings, node.WithLogger(logger))
	if err != nil {
		return fail(os.Stderr, err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
