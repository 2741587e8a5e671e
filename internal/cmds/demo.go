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
func (*demoCommand) Synopsis() string { return "run a small fleet under load on this machine" }

func (*demoCommand) Usage() string {
	return `demo
  Runs a stand-in platform, nodes in three zones and a chain of sample targets
  on loopback for about half a minute. The load includes a surge and a zone
  that is taken out of service and put back. Prints a report.
`
}

func (*demoCommand) SetFlags(*flag.FlagSet) {}

func (*demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	if err := demo.Run(ctx, os.Stdout); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
