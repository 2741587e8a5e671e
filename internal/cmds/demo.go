package cmds

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/demo"
)

type demoCommand struct{}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "show a small fleet at work on this machine" }

func (*demoCommand) Usage() string {
	return `demo
  Runs a platform stand-in, three zones of nodes and a chain of sample targets
  on loopback for about half a minute: a surge, and a zone that is taken out
  and returned. Prints a report.
`
}

func (*demoCommand) SetFlags(*flag.FlagSet) {}

func (*demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	if err := demo.Run(ctx, os.Stdout); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
