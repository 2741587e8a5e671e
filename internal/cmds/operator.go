package cmds

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
)

// Environment variables with the defaults of flags of operators' commands.
const (
	platformVariable = "QUETZAL_PLATFORM"
	operatorVariable = "QUETZAL_OPERATOR"
	waitVariable     = "QUETZAL_WAIT"
)

// defaultWait is the time within which a change is expected to be in force on all live
// hosts.
const defaultWait = 17 * time.Second

// maxListedHosts is the maximum number of pending hosts that a line lists.
const maxListedHosts = 5

const operatorUsage = `
  -platform and -by can also be set with $` + platformVariable + ` and $` + operatorVariable + `.
  Exit status: 0 success, 1 failure, 2 invalid arguments or tree, 3 change
  accepted but not yet in force everywhere.
`

// operator contains the flags common to all operators' commands.
type operator struct {
	streams
	platform addrFlag
	by       string
}

func (o *operator) SetFlags(f *flag.FlagSet) {
	f.SetOutput(o.err)
	o.platform = newAddrFlag(platformVariable)
	f.Var(&o.platform, "platform", "address of the platform, such as 10.0.0.1:7000 ($"+platformVariable+")")
	f.StringVar(&o.by, "by", cmp.Or(os.Getenv(operatorVariable), os.Getenv("USER"), "unknown"), "name of the operator, recorded in the history ($"+operatorVariable+")")
}

// open returns a platform client and the positional arguments of the command.
func (o *operator) open(f *flag.FlagSet) (platform mesh.Platform, args []string, err error) {
	if args, err = positional(f); err != nil {
		return nil, nil, err
	}
	switch {
	case o.platform.err != nil:
		return nil, nil, fmt.Errorf("%w; write an IP address and port such as 10.0.0.1:7000", o.platform.err)
	case !o.platform.addr.IsValid():
		return nil, nil, fmt.Errorf("the address of the platform is missing; give it with -platform or $%s", platformVariable)
	}
	return store.New(o.platform.addr), args, nil
}

// waitFlag is the maximum time to wait until a change is in force.
type waitFlag struct{ wait time.Duration }

func (w *waitFlag) SetFlags(f *flag.FlagSet) {
	w.wait = defaultWait
	if text := os.Getenv(waitVariable); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			fmt.Fprintf(f.Output(), "quetzalstack: $%s is %q; waiting %v instead; write a duration such as 17s\n", waitVariable, text, defaultWait)
		} else {
			w.wait = d
		}
	}
	f.DurationVar(&w.wait, "wait", w.wait, "maximum time to wait until the change is in force everywhere ($"+waitVariable+")")
}

// await waits until a version is in force, and prints its progress in each zone.
func (o *operator) await(ctx context.Context, platform mesh.Platform, version uint64, wait time.Duration) (status subcommands.ExitStatus) {
	progress, err := admin.AwaitRollout(ctx, platform, version, wait)
	for _, z := range progress.Zones {
		fmt.Fprintf(o.out, "%s: %s\n", z.Zone, formatProgress(z, version))
	}
	switch {
	case err != nil:
		fmt.Fprintf(o.err, "quetzalstack: version %d was accepted, but its progress could not be read: %v\n", version, err)
		return exitPending
	case progress.Pending():
		fmt.Fprintf(o.err, "quetzalstack: version %d was accepted and is still pending; `status` shows its progress\n", version)
		return exitPending
	}
	fmt.Fprintf(o.out, "version %d is in force in all zones\n", version)
	return subcommands.ExitSuccess
}

// formatProgress describes the progress of a version in a zone. It reports the version as
// in force only when all live hosts of the zone have acknowledged it.
func formatProgress(z admin.ZoneProgress, version uint64) (line string) {
	r := z.Report
	switch {
	case !z.Reported:
		return fmt.Sprintf("version %d pending: no host of the zone has reported", version)
	case z.InForce:
		line = fmt.Sprintf("version %d in force at all %d live hosts", version, r.Hosts)
	case r.Newest < version:
		line = fmt.Sprintf("version %d pending: not yet known in the zone (%s)", version, inForceText(r))
	default:
		line = fmt.Sprintf("version %d pending: at %d of %d live hosts (%s)%s", version, r.Pending, r.Hosts, inForceText(r), formatHosts(r.PendingHosts))
	}
	if r.Suspect > 0 {
		line += fmt.Sprintf("; %d silent hosts not counted", r.Suspect)
	}
	return line
}

// inForceText states the version that is in force on all live hosts of a zone.
func inForceText(r admin.ZoneReport) (text string) {
	if r.InForce == 0 {
		return "not all hosts have reported a version"
	}
	return fmt.Sprintf("version %d or later is in force", r.InForce)
}

func formatHosts(hosts []netip.AddrPort) (text string) {
	if len(hosts) == 0 {
		return ""
	}
	var names []string
	for _, h := range hosts[:min(maxListedHosts, len(hosts))] {
		names = append(names, h.String())
	}
	if len(hosts) > maxListedHosts {
		names = append(names, "...")
	}
	return ": " + strings.Join(names, ", ")
}

// readInput returns the content of a file, or of standard input for "-".
func readInput(file string) (text []byte, err error) {
	switch file {
	case "":
		return nil, errors.New("name a file, or - for standard input")
	case "-":
		return io.ReadAll(os.Stdin)
	default:
		return os.ReadFile(file)
	}
}
