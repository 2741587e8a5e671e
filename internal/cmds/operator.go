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

// Environment variables that stand in for flags of operators' commands.
const (
	platformVariable = "QUETZAL_PLATFORM"
	operatorVariable = "QUETZAL_OPERATOR"
	waitVariable     = "QUETZAL_WAIT"
)

// defaultWait is how long a change may take to be in force everywhere.
const defaultWait = 17 * time.Second

// maxListedHosts is how many pending hosts a line names.
const maxListedHosts = 5

const operatorUsage = `
  -platform and -by can also be given as $` + platformVariable + ` and $` + operatorVariable + `.
  Exit status: 0 done, 1 failed, 2 wrong arguments or a refused tree, 3 accepted
  but not in force everywhere yet.
`

// operator holds the flags that all commands of operators share.
type operator struct {
	streams
	platform addrFlag
	by       string
}

func (o *operator) SetFlags(f *flag.FlagSet) {
	f.SetOutput(o.err)
	o.platform = newAddrFlag(platformVariable)
	f.Var(&o.platform, "platform", "address of the platform, such as 10.0.0.1:7000 ($"+platformVariable+")")
	f.StringVar(&o.by, "by", cmp.Or(os.Getenv(operatorVariable), os.Getenv("USER"), "unknown"), "name of the operator, for the history ($"+operatorVariable+")")
}

// open returns a client of the platform and the arguments of the command.
func (o *operator) open(f *flag.FlagSet) (platform mesh.Platform, args []string, err error) {
	if args, err = positional(f); err != nil {
		return nil, nil, err
	}
	switch {
	case o.platform.err != nil:
		return nil, nil, fmt.Errorf("%w; write an IP number and port such as 10.0.0.1:7000", o.platform.err)
	case !o.platform.addr.IsValid():
		return nil, nil, fmt.Errorf("the address of the platform is missing; give it with -platform or $%s", platformVariable)
	}
	return store.New(o.platform.addr), args, nil
}

// waitFlag sets how long a command waits for its change.
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
	f.DurationVar(&w.wait, "wait", w.wait, "how long to wait until the change is in force everywhere ($"+waitVariable+")")
}

// await waits for a version and tells zone by zone how far it has come.
func (o *operator) await(ctx context.Context, platform mesh.Platform, version uint64, wait time.Duration) (status subcommands.ExitStatus) {
	progress, err := admin.Await(ctx, platform, version, wait)
	for _, z := range progress.Zones {
		fmt.Fprintf(o.out, "%s: %s\n", z.Zone, formatProgress(z, version))
	}
	switch {
	case err != nil:
		fmt.Fprintf(o.err, "quetzalstack: version %d was accepted; where it is in force is not known: %v\n", version, err)
		return exitPending
	case progress.Pending():
		fmt.Fprintf(o.err, "quetzalstack: version %d was accepted and is still pending; `status` shows how it goes on\n", version)
		return exitPending
	}
	fmt.Fprintf(o.out, "version %d is in force in all zones\n", version)
	return subcommands.ExitSuccess
}

// formatProgress tells how far a version has come in a zone. It says "in force" of
// the version only when all live hosts of the zone have confirmed it.
func formatProgress(z admin.ZoneProgress, version uint64) (line string) {
	r := z.Report
	switch {
	case !z.Reported:
		return fmt.Sprintf("version %d pending: no host of the zone has reported", version)
	case z.InForce:
		line = fmt.Sprintf("version %d in force at all %d live hosts", version, r.Hosts)
	case r.Newest < version:
		line = fmt.Sprintf("version %d pending: the zone has not heard of it (%s)", version, inForceText(r))
	default:
		line = fmt.Sprintf("version %d pending: at %d of %d live hosts (%s)%s", version, r.Pending, r.Hosts, inForceText(r), formatHosts(r.PendingHosts))
	}
	if r.Silent > 0 {
		line += fmt.Sprintf("; %d silent hosts not counted", r.Silent)
	}
	return line
}

// inForceText names the version that is in force everywhere in a zone.
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
