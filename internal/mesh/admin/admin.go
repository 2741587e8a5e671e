// Package admin writes the operators' changes of settings and API keys to the
// platform's store, and reads the state of their rollout.
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

// HeadKey is the key of the row that describes the newest version.
const HeadKey = "head"

// Kind is the kind of change that a version made.
type Kind string

// Kinds of changes.
const (
	KindSettings     Kind = "settings"
	KindKeyAdded     Kind = "key-given"
	KindKeyWithdrawn Kind = "key-withdrawn"
)

// Head describes a version. The head row and the row of each version in the
// history hold it.
type Head struct {
	// Version is at least 1 and increases by one with every change.
	Version uint64 `json:"version"`

	// TreeVersion is the version that last changed the settings tree, at
	// most Version.
	TreeVersion uint64 `json:"tree-version"`

	// Nonce distinguishes concurrent writes of the same version.
	Nonce string `json:"nonce"`

	// By is the name of the operator who made the change.
	By string `json:"by"`

	Kind Kind `json:"kind"`

	// Change is a short summary of the change.
	Change string `json:"change"`

	// At is the time of the change, on the operator's clock.
	At time.Time `json:"at"`
}

// SnapshotObject returns the name of the object with all settings and keys of the
// version.
func (h Head) SnapshotObject() (name string) {
	return fmt.Sprintf("snapshot-%d-%s", h.Version, h.Nonce)
}

// ChangeObject returns the name of the object with the delta from the previous
// version.
func (h Head) ChangeObject() (name string) { return fmt.Sprintf("change-%d-%s", h.Version, h.Nonce) }

// HistoryKey returns the key of the row that describes a version. The row is written
// in the same transaction as the head and never changed, so it permanently records
// who made the version.
func HistoryKey(version uint64) (key string) { return fmt.Sprintf("history/%020d", version) }

// ConflictError means that another operator's change was committed first and that
// nothing was changed.
type ConflictError struct{ Winner Head }

// Error describes the change that was committed first.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing was changed: %s made version %d first (%s, %s)", e.Winner.By, e.Winner.Version, e.Winner.Change, e.Winner.At.UTC().Format(time.RFC3339))
}

// OutcomeUnknownError means that no attempt to commit the version was answered
// before the retries ended. It may have been committed, or still be committed later.
type OutcomeUnknownError struct {
	Head  Head
	Cause error
}

// Error returns a message that explains how to find out whether the version was written.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether version %d was made; look for nonce %s in `settings history` when the platform is available again: %v", e.Head.Version, e.Head.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() (err error) { return e.Cause }

// Errors of key changes that are not valid. Nothing is changed.
var (
	ErrKeyUnknown = errors.New("no such key; `key list` shows the hashes of all keys")
	ErrKeyExists  = errors.New("the key already exists")
)

// errNoChange is returned by an edit whose change is already in place.
var errNoChange = errors.New("nothing to change")

// Option configures PutSettings.
type Option func(*settingsEdit)

type settingsEdit struct {
	text []byte

	// base is the version from which the text was derived. When based is false, the
	// first attempt sets it to the newest version.
	base  uint64
	based bool
}

// WithBase sets the version from which the new tree was derived. PutSettings fails
// with a ConflictError when the tree has changed since then.
func WithBase(version uint64) Option {
	return func(p *settingsEdit) { p.base, p.based = version, true }
}

// PutSettings validates a settings tree and writes it as the newest version. Without
// WithBase, the base is the newest version at the time of the call.
func PutSettings(ctx context.Context, p mesh.Platform, by string, text []byte, options ...Option) (head Head, err error) {
	t, err := parse.Tree(text)
	if err != nil {
		return head, err
	}
	u := settingsEdit{text: text}
	for _, o := range options {
		o(&u)
	}
	return change(ctx, p, Head{By: by, Kind: KindSettings, Change: "settings put"}, func(old Head, s *config.Snapshot) error {
		return u.edit(ctx, p, old, s, t)
	})
}

func (u *settingsEdit) edit(ctx context.Context, p mesh.Platform, old Head, s *config.Snapshot, t *tree.Tree) (err error) {
	if !u.based {
		u.base, u.based = old.Version, true
	}
	if u.base > old.Version {
		return fmt.Errorf("the base is version %d, but the newest version is %d", u.base, old.Version)
	}
	if old.TreeVersion > u.base {
		winner, err := ReadVersion(ctx, p, old.TreeVersion)
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

// checkKeys rejects a tree without the organisation of a key that is not withdrawn.
func checkKeys(keys map[mesh.KeyHash]config.Key, t *tree.Tree) (err error) {
	usableKeys := make(map[mesh.OrganisationName]int)
	for _, k := range keys {
		if _, found := t.Organisations[k.Organisation]; !found && !k.Withdrawn {
			usableKeys[k.Organisation]++
		}
	}
	for name, n := range usableKeys {
		err = errors.Join(err, fmt.Errorf("organisation %q is not in the tree but has %d keys; withdraw them first or keep the organisation", name, n))
	}
	return err
}

// AddKey adds an API key to an organisation.
func AddKey(ctx context.Context, p mesh.Platform, by string, organisation mesh.OrganisationName, hash mesh.KeyHash) (head Head, err error) {
	return change(ctx, p, Head{By: by, Kind: KindKeyAdded, Change: "key given to " + string(organisation)}, func(_ Head, s *config.Snapshot) error {
		t, err := parse.Tree(s.Text)
		if err != nil {
			return errors.New("there is no settings tree yet; write one with `settings put` first")
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

// WithdrawKey permanently withdraws an API key. When the key is already withdrawn,
// nothing is changed and the newest version is returned.
func WithdrawKey(ctx context.Context, p mesh.Platform, by string, hash mesh.KeyHash) (head Head, err error) {
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

// editFunc edits a copy of the snapshot of version old.
type editFunc func(old Head, s *config.Snapshot) error

// change applies an edit and commits the next version. When another operator commits
// a version first, it applies the edit again to that version; the edit decides
// whether the two changes are compatible.
func change(ctx context.Context, p mesh.Platform, template Head, edit editFunc) (head Head, err error) {
	for range conflictAttempts {
		head, err = tryChange(ctx, p, template, edit)
		var lost *lostRaceError
		if !errors.As(err, &lost) {
			return head, err
		}
		err = &ConflictError{Winner: lost.winner}
	}
	return head, err
}

// tryChange applies an edit and tries once to commit the next version. It fails with
// a lostRaceError when another operator commits that version first. Objects are
// written before the head, so that a head never refers to a missing object.
func tryChange(ctx context.Context, p mesh.Platform, template Head, edit editFunc) (head Head, err error) {
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
		return head, fmt.Errorf("%s: %w", template.Kind, err)
	}
	head = template
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
	if err := retry(ctx, func() error { return p.Put(ctx, head.ChangeObject(), data) }); err != nil {
		return err
	}
	if data, err = wire.PackSnapshot(wire.FromSnapshot(to)); err != nil {
		return err
	}
	return retry(ctx, func() error { return p.Put(ctx, head.SnapshotObject(), data) })
}

// lostRaceError means that another operator committed the version first.
type lostRaceError struct{ winner Head }

func (*lostRaceError) Error() string { return "another operator committed the version first" }

// writeHead commits the version with one conditional transaction. When the answer is
// lost, it sends the same transaction again. The preconditions let at most one of
// the attempts take effect, even if an earlier attempt is only delayed. After a
// conflict, the history row shows who made the version, even if there are later
// versions by then.
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
	backoff := minBackoff
	for range commitAttempts {
		if err = commitHead(ctx, p, writes, head); !errors.Is(err, mesh.ErrPlatformUnavailable) {
			return err
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return &OutcomeUnknownError{Head: head, Cause: err}
}

// commitHead sends the transaction once. It fails with ErrPlatformUnavailable while
// it is not known who made the version, and with a lostRaceError when another
// operator did.
func commitHead(ctx context.Context, p mesh.Platform, writes []mesh.Write, head Head) (err error) {
	err = p.Commit(ctx, writes)
	var conflict *mesh.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	winner, err := ReadVersion(ctx, p, head.Version)
	switch {
	case err != nil:
		return err
	case winner.Nonce != head.Nonce:
		return &lostRaceError{winner: winner}
	default:
		return nil
	}
}
