// Package cmds implements the subcommands of quetzalstack.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Exit statuses.
const (
	exitOK    = int(subcommands.ExitSuccess)
	exitUsage = int(subcommands.ExitUsageError)

	// exitPending means that a change was accepted but is not yet in force on
	// all live hosts.
	exitPending = 3
)

// streams are the output streams of a command.
type streams struct{ out, err io.Writer }

// Execute runs the subcommand in args and returns the exit status of the process.
func Execute(ctx context.Context, args []string) (status int) {
	return execute(ctx, args, streams{os.Stdout, os.Stderr})
}

func execute(ctx context.Context, args []string, to streams) (status int) {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(to.err)
	commander := subcommands.NewCommander(flags, "quetzalstack")
	commander.Output, commander.Error = to.out, to.err
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(&nodeCommand{}, "processes")
	commander.Register(&attachCommand{streams: to}, "processes")
	commander.Register(&demoCommand{}, "stand-ins")
	commander.Register(&platformCommand{}, "stand-ins")
	commander.Register(&sampleCommand{}, "stand-ins")
	commander.Register(&checkCommand{streams: to}, "operators")
	commander.Register(&auditCommand{streams: to}, "operators")
	commander.Register(&settingsCommand{operator: operator{streams: to}}, "operators")
	commander.Register(&keyCommand{operator: operator{streams: to}}, "operators")
	commander.Register(&statusCommand{operator: operator{streams: to}}, "operators")
	commander.Register(&explainCommand{streams: to}, "operators")
	commander.Register(&versionCommand{streams: to}, "help")
	if err := flags.Parse(args[1:]); err != nil {
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// fail prints an error, with advice on how to resolve it if available.
func fail(out io.Writer, err error) (status subcommands.ExitStatus) {
	fmt.Fprintln(out, "quetzalstack:", err)
	if errors.Is(err, mesh.ErrPlatformUnavailable) {
		fmt.Fprintln(out, "quetzalstack: check the address given with -platform; if it is right, the platform is down or overloaded: try again later")
	}
	return subcommands.ExitFailure
}

// usage prints an error in the arguments or input of a command.
func usage(out io.Writer, format string, args ...any) (status subcommands.ExitStatus) {
	fmt.Fprintf(out, "quetzalstack: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// positional returns the positional arguments. Flags may precede, follow or separate
// them.
func positional(f *flag.FlagSet) (args []string, err error) {
	rest := f.Args()
	for len(rest) > 0 {
		args = append(args, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, err
		}
		rest = f.Args()
	}
	return args, nil
}

// addrFlag is a flag for an IP address and port with an environment variable as default.
type addrFlag struct {
	addr netip.AddrPort

	// err is the parse error of the environment variable.
	err error
}

func newAddrFlag(variable string) (a addrFlag) {
	if text := os.Getenv(variable); text != "" {
		if a.addr, a.err = netip.ParseAddrPort(text); a.err != nil {
			a.err = fmt.Errorf("$%s: %w", variable, a.err)
		}
	}
	return a
}

// String implements flag.Value.
func (a *addrFlag) String() string {
	if !a.addr.IsValid() {
		return ""
	}
	return a.addr.String()
}

// Set implements flag.Value.
func (a *addrFlag) Set(text string) (err error) {
	a.addr, a.err = netip.ParseAddrPort(text)
	return a.err
}
