package cmds

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
)

type keyCommand struct {
	operator
	waitFlag
}

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "give, withdraw or list API keys" }

func (*keyCommand) Usage() string {
	return `key give ORGANISATION
key withdraw KEY|HASH|- [-wait TIME]
key list
  give creates a random key and prints it. It cannot be shown again: only its
  SHA-256 hash is stored.
  withdraw revokes a key permanently and waits until no zone accepts it. The
  argument is the key, its hash as printed by list, or - to read either from
  standard input, which keeps the key out of the process list.
  list prints the hash, organisation and state of every key.
` + operatorUsage
}

func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.operator.SetFlags(f)
	c.waitFlag.SetFlags(f)
}

func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	platform, args, err := c.open(f)
	switch {
	case err != nil:
		return usage(c.err, "key: %v", err)
	case len(args) == 2 && args[0] == "give":
		return c.give(ctx, platform, mesh.OrganisationName(args[1]))
	case len(args) == 2 && args[0] == "withdraw":
		return c.withdraw(ctx, platform, args[1])
	case len(args) == 1 && args[0] == "list":
		return c.list(ctx, platform)
	default:
		return usage(c.err, "key: use give ORGANISATION, withdraw KEY, withdraw HASH or list")
	}
}

func (c *keyCommand) give(ctx context.Context, platform mesh.Platform, organisation mesh.OrganisationName) (status subcommands.ExitStatus) {
	key := rand.Text()
	head, err := admin.AddKey(ctx, platform, c.by, organisation, mesh.HashKey(key))
	var unknown *admin.OutcomeUnknownError
	if errors.As(err, &unknown) {
		// The key may be valid; its hash is needed to withdraw it.
		fmt.Fprintf(c.err, "quetzalstack: the key may or may not be valid; its hash is %x\n", mesh.HashKey(key))
	}
	if err != nil {
		return fail(c.err, err)
	}
	fmt.Fprintln(c.out, key)
	fmt.Fprintf(c.err, "key of %s accepted in version %d; it is not shown again\n", organisation, head.Version)
	return subcommands.ExitSuccess
}

func (c *keyCommand) withdraw(ctx context.Context, platform mesh.Platform, text string) (status subcommands.ExitStatus) {
	if text == "-" {
		data, err := readInput(text)
		if err != nil {
			return usage(c.err, "key withdraw: %v", err)
		}
		text = string(bytes.TrimSpace(data))
	}
	head, err := admin.WithdrawKey(ctx, platform, c.by, readHash(text))
	if err != nil {
		return fail(c.err, err)
	}
	fmt.Fprintf(c.out, "withdrawal accepted in version %d\n", head.Version)
	return c.await(ctx, platform, head.Version, c.wait)
}

// readHash returns the hash of a key; text is either the key or its hash. Keys have 26
// characters, so that no key is mistaken for a hash.
func readHash(text string) (hash mesh.KeyHash) {
	data, err := hex.DecodeString(strings.ToLower(text))
	if err != nil || len(data) != len(hash) {
		return mesh.HashKey(text)
	}
	return mesh.KeyHash(data)
}

func (c *keyCommand) list(ctx context.Context, platform mesh.Platform) (status subcommands.ExitStatus) {
	_, snapshot, err := admin.Current(ctx, platform)
	if err != nil {
		return fail(c.err, err)
	}
	for _, hash := range sortedHashes(snapshot.Keys) {
		state := "valid"
		if snapshot.Keys[hash].Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(c.out, "%x  %s  %s\n", hash, snapshot.Keys[hash].Organisation, state)
	}
	return subcommands.ExitSuccess
}

// sortedHashes orders keys by organisation, then by hash.
func sortedHashes(keys map[mesh.KeyHash]config.Key) (hashes []mesh.KeyHash) {
	for hash := range keys {
		hashes = append(hashes, hash)
	}
	slices.SortFunc(hashes, func(a, b mesh.KeyHash) int {
		return cmp.Or(cmp.Compare(keys[a].Organisation, keys[b].Organisation), bytes.Compare(a[:], b[:]))
	})
	return hashes
}
