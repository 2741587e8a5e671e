// Package admin makes the operators' changes to settings and keys at the
// platform, and reads back how far they have come.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// HeadKey is the row that names the newest version.
const HeadKey = "head"

// Kind says what a version changed.
type Kind string

// Kinds of changes.
const (
	KindSettings     Kind = "settings"
	KindKeyGiven     Kind = "key-given"
	KindKeyWithdrawn Kind = "key-withdrawn"
)

// Head describes a version. The head row and the row of each version in the
// history hold it.
type Head struct {
	// Version is at least 1 and rises by one with every change.
	Version uint64 `json:"version"`

	// TreeVersion is the version that last changed the settings tree, at
	// most Version.
	TreeVersion uint64 `json:"tree-version"`

	// Nonce tells the writers of a version apart.
	Nonce string `json:"nonce"`

	// By names the operator who made the change.
	By string `json:"by"`

	Kind Kind `json:"kind"`

	// Change says in a few words what changed.
	Change string `json:"change"`

	// At is when the change was made, by the clock of its operator.
	At time.Time `json:"at"`
}

// SnapshotObject names the object with all settings and keys of the version.
func (h Head) SnapshotObject() (name string) {
	return fmt.Sprintf("snapshot-%d-%s", h.Version, h.Nonce)
}

// ChangeObject names the object that leads from the version before.
func (h Head) ChangeObject() (name string) { return fmt.Sprintf("change-%d-%s", h.Version, h.Nonce) }

// HistoryKey names the row that describes a version. It is written together
// with the head, so it tells for good who made the version.
func HistoryKey(version uint64) (key string) { return fmt.Sprintf("history/%020d", version) }

// ConflictError means that another operator's change came first and that
// nothing was changed.
type ConflictError struct{ Winner Head }

// Error shows the change that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing was changed: %s made version %d first (%s, %s)", e.Winner.By, e.Winner.Version, e.Winner.Change, e.Winner.At.UTC().Format(time.RFC3339))
}

// UnknownError means that the platform gave no answer for so long that it is
// not known whether a version was made. It may still come into being.
type UnknownError struct {
	Head  Head
	Cause error
}

// Error tells how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether version %d was made; look for nonce %s in `settings history` once the platform answers: %v", e.Head.Version, e.Head.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() (err error) { return e.Cause }

// Errors of changes that make no sense. They change nothing.
var (
	ErrKeyUnknown = errors.New("no such key; `key list` shows the hashes of all keys")
	ErrKeyExists  = errors.New("the key is already known")
)

// errNoChange ends an edit that finds its change already made.
var errNoChange = errors.New("nothing to change")

// Option changes how a tree is put.
type Option func(*put)

type put struct {
	text []byte

	// base is the version that the text was made from. It is fixed by the
	// first attempt when based is false.
	base  uint64
	based bool
}

// WithBase names the version that the new tree was made from. Put refuses when
// the tree was changed since.
func WithBase(version uint64) Option { return func(p *put) { p.base, p.based = version, true } }

// Put makes a settings tree the newest version. Without WithBase, it is based
// on the newest version at the time of the call.
func Put(ctx context.Context, p mesh.Platform, by string, text []byte, options ...Option) (head Head, err error) {
	t, err := parse.Tree(text)
	if err != nil {
		return head, err
	}
	u := put{text: text}
	for _, o := range options {
		o(&u)
	}
	return change(ctx, p, Head{By: by, Kind: KindSettings, Change: "settings put"}, func(old Head, s *config.Snapshot) error {
		return u.edit(ctx, p, old, s, t)
	})
}

func (u *put) edit(ctx context.Context, p mesh.Platform, old Head, s *config.Snapshot, t *tree.Tree) (err error) {
	if !u.based {
		u.base, u.based = old.Version, true
	}
	if u.base > old.Version {
		return fmt.Errorf("the base is version %d, but the newest version is %d", u.base, old.Version)
	}
	if old.TreeVersion > u.base {
		winner, err := Version(ctx, p, old.TreeVersion)
		if err != nil {
			return err
		}
		return &ConflictError{Winner: winner}
	}
	if err := checkKeys(s.Keys, t); err != nil {
		return err
	}
	s.Text = u.text
	return nil
}

// checkKeys refuses a tree that leaves usable keys without an organisation.
func checkKeys(keys map[mesh.KeyHash]config.Key, t *tree.Tree) (err error) {
	left := make(map[mesh.OrganisationName]int)
	for _, k := range keys {
		if _, found := t.Organisations[k.Organisation]; !found && !k.Withdrawn {
			left[k.Organisation]++
		}
	}
	for name, n := range left {
		err = errors.Join(err, fmt.Errorf("organisation %q is not in the tree but has %d keys; withdraw them first or keep the organisation", name, n))
	}
	return err
}

// Give makes a key known as one of the organisation.
func Give(ctx context.Context, p mesh.Platform, by string, organisation mesh.OrganisationName, hash mesh.KeyHash) (head Head, err error) {
	return change(ctx, p, Head{By: by, Kind: KindKeyGiven, Change: "key given to " + string(organisation)}, func(_ Head, s *config.Snapshot) error {
		t, err := parse.Tree(s.Text)
		if err != nil {
			return errors.New("there is no settings tree yet; put one first")
		}
		if _, found := t.Organisations[organisation]; !found {
			return fmt.Errorf("organisation %q is not in the settings tree", organisation)
		}
		if _, found := s.Keys[hash]; found {
			return ErrKeyExists
		}
		s.Keys[hash] = config.Key{Organisation: organisation}
		return nil
	})
}

// Withdraw ends a key for good. For a key that is withdrawn already, it
// returns the newest version.
func Withdraw(ctx context.Context, p mesh.Platform, by string, hash mesh.KeyHash) (head Head, err error) {
	return change(ctx, p, Head{By: by, Kind: KindKeyWithdrawn, Change: fmt.Sprintf("key %x withdrawn", hash[:4])}, func(_ Head, s *config.Snapshot) error {
		k, found := s.Keys[hash]
		switch {
		case !found:
			return ErrKeyUnknown
		case k.Withdrawn:
			return errNoChange
		}
		k.Withdrawn = true
		s.Keys[hash] = k
		return nil
	})
}

// editor changes a snapshot that stands at a head.
type editor func(old Head, s *config.Snapshot) error

// change makes the next version. It starts over when another operator's change
// came in between; the edit then decides whether both fit together.
func change(ctx context.Context, p mesh.Platform, what Head, edit editor) (head Head, err error) {
	for range raceAttempts {
		head, err = attempt(ctx, p, what, edit)
		var raced *racedError
		if !errors.As(err, &raced) {
			return head, err
		}
		err = &ConflictError{Winner: raced.winner}
	}
	return head, err
}

// attempt makes the next version unless another operator is faster. Objects
// are written before the head, so a head never names one that does not exist.
func attempt(ctx context.Context, p mesh.Platform, what Head, edit editor) (head Head, err error) {
	old, row, snapshot, err := current(ctx, p)
	if err != nil {
		return head, err
	}
	next := *snapshot
	next.Keys = cloneKeys(snapshot.Keys)
	switch err := edit(old, &next); {
	case errors.Is(err, errNoChange):
		return old, nil
	case err != nil:
		return head, fmt.Errorf("%s: %w", what.Kind, err)
	}
	head = what
	head.Version, head.TreeVersion, head.Nonce, head.At = old.Version+1, old.TreeVersion, uuid.NewString(), time.Now()
	if head.Kind == KindSettings {
		head.TreeVersion = head.Version
	}
	next.Version, next.Nonce = head.Version, head.Nonce
	if err := writeObjects(ctx, p, head, snapshot, &next); err != nil {
		return head, err
	}
	return head, writeHead(ctx, p, row, head)
}

func cloneKeys(keys map[mesh.KeyHash]config.Key) (cloned map[mesh.KeyHash]config.Key) {
	cloned = make(map[mesh.KeyHash]config.Key, len(keys)+1)
	for hash, k := range keys {
		cloned[hash] = k
	}
	return cloned
}

func writeObjects(ctx context.Context, p mesh.Platform, head Head, from, to *config.Snapshot) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write version %d: nothing was changed: %w", head.Version, err)
		}
	}()
	data, err := wire.PackChange(wire.FromChange(config.Diff(from, to)))
	if err != nil {
		return err
	}
	if err := again(ctx, func() error { return p.Put(ctx, head.ChangeObject(), data) }); err != nil {
		return err
	}
	if data, err = wire.PackSnapshot(wire.FromSnapshot(to)); err != nil {
		return err
	}
	return again(ctx, func() error { return p.Put(ctx, head.SnapshotObject(), data) })
}

// racedError means that another writer made the version.
type racedError struct{ winner Head }

func (*racedError) Error() string { return "another operator was faster" }

// writeHead makes the version with one conditional transaction. When its
// answer is lost, the same transaction is sent again: its conditions let at
// most one of them take effect, also when the first one is only delayed, and
// the row in the history then tells whose version it is, also when later
// versions stand on top of it.
func writeHead(ctx context.Context, p mesh.Platform, row mesh.Row, head Head) (err error) {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	first := mesh.Write{Key: HeadKey, Value: value, Condition: mesh.IfVersion, Version: row.Version}
	if row.Version == 0 {
		first.Condition = mesh.IfAbsent
	}
	writes := []mesh.Write{first, {Key: HistoryKey(head.Version), Value: value, Condition: mesh.IfAbsent}}
	wait := firstWait
	for range resolveAttempts {
		if err = commitHead(ctx, p, writes, head); !errors.Is(err, mesh.ErrPlatformUnavailable) {
			return err
		}
		if !pause(ctx, wait) {
			break
		}
		wait = min(2*wait, maxWait)
	}
	return &UnknownError{Head: head, Cause: err}
}

// commitHead sends the transaction once. Its error is ErrPlatformUnavailable
// as long as it is not known who made the version.
func commitHead(ctx context.Context, p mesh.Platform, writes []mesh.Write, head Head) (err error) {
	err = p.Commit(ctx, writes)
	var conflict *mesh.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	winner, err := Version(ctx, p, head.Version)
	switch {
	case err != nil:
		return err
	case winner.Nonce != head.Nonce:
		return &racedError{winner: winner}
	default:
		return nil
	}
}
