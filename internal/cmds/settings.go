package cmds

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
)

// baseLine is the first line that `settings get` prints. It contains the version at which
// the tree was read, which `settings put` uses to detect conflicts.
const baseLine = "# quetzalstack settings, read at version %d; `settings put` needs this line\n"

var basePattern = regexp.MustCompile(`^# quetzalstack settings, read at version (\d+);.*\n`)

type settingsCommand struct {
	operator
	waitFlag
	base    baseFlag
	version uint64
	limit   int
}

// baseFlag is an optional version.
type baseFlag struct {
	version uint64
	set     bool
}

// String implements flag.Value.
func (b *baseFlag) String() string {
	if !b.set {
		return ""
	}
	return strconv.FormatUint(b.version, 10)
}

// Set implements flag.Value.
func (b *baseFlag) Set(text string) (err error) {
	b.version, err = strconv.ParseUint(text, 10, 64)
	b.set = err == nil
	return err
}

func (*settingsCommand) Name() string     { return "settings" }
func (*settingsCommand) Synopsis() string { return "read or change the settings tree" }

func (*settingsCommand) Usage() string {
	return `settings get [-version N]
settings put FILE [-base N] [-wait TIME]
settings history [-limit N]
  get prints the newest settings tree, or that of an older version. Its first
  line contains the version at which it was read.
  put makes the tree in FILE (- for standard input) the newest version and waits
  until it is in force in all zones. It fails when another operator changed the
  tree after the version in the file's first line, or after -base. A refused
  tree changes nothing; all its problems are printed.
  history lists the latest changes of settings and keys, newest first.
` + operatorUsage
}

func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	c.operator.SetFlags(f)
	c.waitFlag.SetFlags(f)
	f.Var(&c.base, "base", "version that the tree is based on (default: the one in the file's first line)")
	f.Uint64Var(&c.version, "version", 0, "version to get (default: the newest)")
	f.IntVar(&c.limit, "limit", 20, "maximum number of changes to list")
}

func (c *settingsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	platform, args, err := c.open(f)
	switch {
	case err != nil:
		return usage(c.err, "settings: %v", err)
	case len(args) == 1 && args[0] == "get":
		return c.get(ctx, platform)
	case len(args) == 2 && args[0] == "put":
		return c.put(ctx, platform, args[1])
	case len(args) == 1 && args[0] == "history" && c.limit > 0:
		return c.history(ctx, platform)
	default:
		return usage(c.err, "settings: %q is not known; use get, put FILE or history", args)
	}
}

func (c *settingsCommand) get(ctx context.Context, platform mesh.Platform) (status subcommands.ExitStatus) {
	newest, err := admin.ReadHead(ctx, platform)
	if err != nil {
		return fail(c.err, err)
	}
	if newest.Version == 0 {
		return fail(c.err, errors.New("there are no settings yet; make the first ones with `settings put FILE`"))
	}
	head := newest
	if c.version > 0 {
		if head, err = admin.ReadVersion(ctx, platform, c.version); err != nil {
			return fail(c.err, err)
		}
	}
	snapshot, err := admin.ReadSnapshot(ctx, platform, head)
	if err != nil {
		return fail(c.err, err)
	}
	fmt.Fprintf(c.out, baseLine, newest.Version)
	fmt.Fprintf(c.out, "%s", snapshot.Text)
	return subcommands.ExitSuccess
}

func (c *settingsCommand) put(ctx context.Context, platform mesh.Platform, file string) (status subcommands.ExitStatus) {
	text, err := readInput(file)
	if err != nil {
		return usage(c.err, "settings put: %v", err)
	}
	if _, err := parse.File(file, text); err != nil {
		return usage(c.err, "%v", err)
	}
	base, err := c.baseOf(ctx, platform, text)
	if err != nil {
		return fail(c.err, err)
	}
	head, err := admin.PutSettings(ctx, platform, c.by, basePattern.ReplaceAll(text, nil), admin.WithBase(base))
	var conflict *admin.ConflictError
	switch {
	case errors.As(err, &conflict):
		fmt.Fprintf(c.err, "quetzalstack: %v\nquetzalstack: read the tree again with `settings get`, make your change there and put it again\n", err)
		return subcommands.ExitFailure
	case err != nil:
		return fail(c.err, err)
	}
	fmt.Fprintf(c.out, "version %d accepted\n", head.Version)
	return c.await(ctx, platform, head.Version, c.wait)
}

// baseOf returns the version that a tree is based on. Once there are settings a base is
// required, so that a tree does not overwrite changes that its author has not seen.
func (c *settingsCommand) baseOf(ctx context.Context, platform mesh.Platform, text []byte) (base uint64, err error) {
	if c.base.set {
		return c.base.version, nil
	}
	if found := basePattern.FindSubmatch(text); found != nil {
		return strconv.ParseUint(string(found[1]), 10, 64)
	}
	head, err := admin.ReadHead(ctx, platform)
	if err == nil && head.TreeVersion > 0 {
		err = fmt.Errorf("the file does not name the version it is based on; start from `settings get`, or give -base %d if the file takes that version into account", head.Version)
	}
	return 0, err
}

func (c *settingsCommand) history(ctx context.Context, platform mesh.Platform) (status subcommands.ExitStatus) {
	heads, err := admin.History(ctx, platform, c.limit)
	if err != nil {
		return fail(c.err, err)
	}
	var b bytes.Buffer
	for _, h := range heads {
		fmt.Fprintf(&b, "%d  %s  %s  %s  %s\n", h.Version, h.At.UTC().Format(time.RFC3339), h.By, h.Change, h.Nonce)
	}
	fmt.Fprint(c.out, b.String())
	return subcommands.ExitSuccess
}
