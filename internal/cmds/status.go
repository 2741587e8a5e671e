package cmds

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
)

// maxStatusChanges is the number of changes in which status searches for pending changes
// of keys.
const maxStatusChanges = 1000

type statusCommand struct {
	operator

	// file is the settings file of a host on the users' platform.
	file string
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show the version in force and pending changes in each zone"
}

func (*statusCommand) Usage() string {
	return `status
  Shows the newest version, and for each zone the version in force on all its
  live hosts, pending hosts and changes of keys, and the targets that accept
  requests. Zones report through the platform, and an unreachable zone keeps
  its last report, so the age of each report is shown. Also shows the rate and
  burst of each organisation in the newest version.
  With -settings FILE, the settings file of a host on the users' platform, it
  shows the roll-outs there instead.
` + operatorUsage
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.operator.SetFlags(f)
	f.StringVar(&c.file, "settings", "", "settings file of a host on the users' platform")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	if c.file != "" {
		return c.showRollouts(ctx)
	}
	platform, args, err := c.open(f)
	switch {
	case err != nil:
		return usage(c.err, "status: %v", err)
	case len(args) > 0:
		return usage(c.err, "status: takes no arguments, but got %q", args)
	}
	heads, err := admin.History(ctx, platform, maxStatusChanges)
	if err != nil {
		return fail(c.err, err)
	}
	if len(heads) == 0 {
		fmt.Fprintln(c.out, "there are no settings yet; make the first ones with `settings put FILE`")
		return subcommands.ExitSuccess
	}
	progress, err := admin.ReadProgress(ctx, platform, heads[0].Version)
	if err != nil {
		return fail(c.err, err)
	}
	fmt.Fprintf(c.out, "newest version: %d (%s by %s)\n", heads[0].Version, heads[0].Change, heads[0].By)
	for _, z := range progress.Zones {
		c.printZone(time.Now(), z, heads)
	}
	if err := c.printContracts(ctx, platform); err != nil {
		return fail(c.err, err)
	}
	if progress.Pending() {
		return exitPending
	}
	return subcommands.ExitSuccess
}

// showRollouts prints the progress of all roll-outs on the users' platform.
func (c *statusCommand) showRollouts(ctx context.Context) (status subcommands.ExitStatus) {
	rollouts, err := readRollouts(ctx, c.file, c.err)
	if err != nil {
		return fail(c.err, err)
	}
	if len(rollouts) == 0 {
		fmt.Fprintln(c.out, "there are no roll-outs")
	}
	for i := range rollouts {
		fmt.Fprintln(c.out, formatRollout(&rollouts[i]))
	}
	return subcommands.ExitSuccess
}

func formatRollout(r *mesh.Rollout) (text string) {
	return fmt.Sprintf("%s to %s: %v, %.1f%% of the requests, step %d, %v after the order (limit %v): %s",
		r.Order.Service, r.Order.To, r.State, 100*r.Share, r.Step, r.Elapsed.Round(time.Millisecond), r.Order.Limit, r.Reason)
}

func (c *statusCommand) printZone(now time.Time, z admin.ZoneProgress, heads []admin.Head) {
	fmt.Fprintf(c.out, "%s: %s\n", z.Zone, formatProgress(z, heads[0].Version))
	if !z.Reported {
		return
	}
	fmt.Fprintf(c.out, "  reported %v ago by %s\n", now.Sub(z.Report.At).Round(time.Second), z.Report.By)
	fmt.Fprintf(c.out, "  changes of keys pending: %d\n", pendingKeyChanges(heads, z.Report.InForce))
	fmt.Fprintf(c.out, "  targets: %s\n", formatTargets(z.Report.Targets))
}

// printContracts prints the rate limit of each organisation in the newest version.
func (c *statusCommand) printContracts(ctx context.Context, platform mesh.Platform) (err error) {
	_, snapshot, err := admin.Current(ctx, platform)
	if err != nil {
		return err
	}
	newest, err := parse.Tree(snapshot.Text)
	if err != nil {
		return err
	}
	contracts := newest.Index("").Contracts
	for _, name := range slices.Sorted(maps.Keys(contracts)) {
		k := contracts[name]
		fmt.Fprintf(c.out, "%s: %g requests a second, burst %g, over all hosts together\n", name, k.Rate, k.Burst)
	}
	return nil
}

// pendingKeyChanges counts the changes of keys after the version in force.
func pendingKeyChanges(heads []admin.Head, inForce uint64) (count int) {
	for _, h := range heads {
		if h.Version > inForce && h.Kind != admin.KindSettings {
			count++
		}
	}
	return count
}

func formatTargets(targets map[mesh.ServiceName]int) (text string) {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		list = append(list, fmt.Sprintf("%s %d", name, targets[name]))
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

type versionCommand struct{ streams }

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version of this program" }
func (*versionCommand) Usage() string          { return "version\n  Prints the version of this program.\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) (status subcommands.ExitStatus) {
	version, revision := "unknown", ""
	if info, found := debug.ReadBuildInfo(); found {
		version = info.Main.Version + " " + info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Fprintln(c.out, "quetzalstack", version+revision)
	return subcommands.ExitSuccess
}
