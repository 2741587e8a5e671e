// Package cmds holds the subcommands of quetzalstack.
package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses.
const (
	exitOK      = int(subcommands.ExitSuccess)
	exitFailure = int(subcommands.ExitFailure)
	exitUsage   = int(subcommands.ExitUsageError)
)

// Execute runs the subcommand that the arguments name and returns the exit
// status of the process.
func Execute(ctx context.Context, args []string) (status int) {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "quetzalstack")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(&nodeCommand{}, "processes")
	commander.Register(&demoCommand{}, "stand-ins")
	commander.Register(&platformCommand{}, "stand-ins")
	commander.Register(&sampleCommand{}, "stand-ins")
	commander.Register(&settingsCommand{}, "operators")
	commander.Register(&keyCommand{}, "operators")
	if err := flags.Parse(args[1:]); err != nil {
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// fail prints why a command stops.
func fail(out io.Writer, err error) (status subcommands.ExitStatus) {
	fmt.Fprintln(out, "quetzalstack:", err)
	return subcommands.ExitFailure
}

// usage prints what is wrong with the arguments of a command.
func usage(out io.Writer, format string, args ...any) (status subcommands.ExitStatus) {
	fmt.Fprintf(out, "quetzalstack: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// addrFlag is a flag that holds an IP number and port. It falls back to an
// environment variable.
type addrFlag struct{ addr netip.AddrPort }

func newAddrFlag(variable string) (a addrFlag) {
	a.addr, _ = netip.ParseAddrPort(os.Getenv(variable))
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
	a.addr, err = netip.ParseAddrPort(text)
	return err
}
