package cmds

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
)

// platformVariable holds the platform's address for operators' commands.
const platformVariable = "QUETZAL_PLATFORM"

// operator holds the flags that all commands of operators share.
type operator struct {
	platform addrFlag
	by       string
}

func (o *operator) SetFlags(f *flag.FlagSet) {
	o.platform = newAddrFlag(platformVariable)
	f.Var(&o.platform, "platform", "address of the platform ($"+platformVariable+")")
	f.StringVar(&o.by, "by", os.Getenv("USER"), "name of the operator, for the history")
}

type settingsCommand struct{ operator }

func (*settingsCommand) Name() string     { return "settings" }
func (*settingsCommand) Synopsis() string { return "read or change the settings tree" }

func (*settingsCommand) Usage() string {
	return `settings get
settings put FILE
  Reads the settings tree in force, or makes the tree in FILE the next one.
`
}

func (c *settingsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	platform := store.New(c.platform.addr)
	switch f.Arg(0) {
	case "get":
		_, snapshot, err := admin.Current(ctx, platform)
		if err != nil {
			return fail(os.Stderr, err)
		}
		os.Stdout.Write(snapshot.GetTree())
		return subcommands.ExitSuccess
	case "put":
		return c.put(ctx, platform, f.Arg(1))
	default:
		return usage(os.Stderr, "settings: %q is not known; use get or put", f.Arg(0))
	}
}

func (c *settingsCommand) put(ctx context.Context, platform mesh.Platform, file string) (status subcommands.ExitStatus) {
	text, err := os.ReadFile(file)
	if err != nil {
		return usage(os.Stderr, "%v", err)
	}
	head, err := admin.Put(ctx, platform, c.by, text)
	if err != nil {
		return fail(os.Stderr, err)
	}
	fmt.Printf("version %d accepted\n", head.Version)
	return subcommands.ExitSuccess
}

type keyCommand struct{ operator }

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "give, withdraw or list keys" }

func (*keyCommand) Usage() string {
	return `key give ORGANISATION
key withdraw KEY
key list
  Makes a new key, ends a key for good, or lists the hashes of all keys.
`
}

func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	platform := store.New(c.platform.addr)
	switch f.Arg(0) {
	case "give":
		return c.give(ctx, platform, f.Arg(1))
	case "withdraw":
		head, err := admin.Withdraw(ctx, platform, c.by, mesh.HashKey(f.Arg(1)))
		if err != nil {
			return fail(os.Stderr, err)
		}
		fmt.Printf("withdrawn in version %d\n", head.Version)
		return subcommands.ExitSuccess
	case "list":
		return c.list(ctx, platform)
	default:
		return usage(os.Stderr, "key: %q is not known; use give, withdraw or list", f.Arg(0))
	}
}

func (c *keyCommand) give(ctx context.Context, platform mesh.Platform, organisation string) (status subcommands.ExitStatus) {
	if organisation == "" {
		return usage(os.Stderr, "key give: name an organisation")
	}
	key := rand.Text()
	if _, err := admin.Give(ctx, platform, c.by, mesh.OrganisationName(organisation), mesh.HashKey(key)); err != nil {
		return fail(os.Stderr, err)
	}
	fmt.Println(key)
	return subcommands.ExitSuccess
}

func (c *keyCommand) list(ctx context.Context, platform mesh.Platform) (status subcommands.ExitStatus) {
	_, snapshot, err := admin.Current(ctx, platform)
	if err != nil {
		return fail(os.Stderr, err)
	}
	for _, k := range snapshot.GetKeys() {
		fmt.Printf("%x %s withdrawn=%t\n", k.GetHash(), k.GetOrganisation(), k.GetWithdrawn())
	}
	return subcommands.ExitSuccess
}
