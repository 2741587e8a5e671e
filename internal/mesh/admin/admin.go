// Package admin makes the operators' changes to settings and keys at the
// platform.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// HeadKey is the row that names the newest version.
const HeadKey = "head"

// Head is the content of the head row.
type Head struct {
	// Version is at least 1 and rises by one with every change.
	Version uint64 `json:"version"`

	// Nonce tells the writers of a version apart.
	Nonce string `json:"nonce"`

	// By names the operator who made the change.
	By string `json:"by"`

	// Change says in a few words what changed.
	Change string `json:"change"`
}

// Object is the name of the snapshot that a head belongs to.
func (h Head) Object() (name string) { return fmt.Sprintf("config-%d-%s", h.Version, h.Nonce) }

// ConflictError means that another operator's change came first.
type ConflictError struct{ Winner Head }

// Error shows the change that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing was changed: %s made version %d first (%s)", e.Winner.By, e.Winner.Version, e.Winner.Change)
}

// Current returns the newest head and snapshot. Before the first version both
// are empty.
func Current(ctx context.Context, p mesh.Platform) (head Head, snapshot *wire.Snapshot, err error) {
	head, _, snapshot, err = current(ctx, p)
	return head, snapshot, err
}

func current(ctx context.Context, p mesh.Platform) (head Head, row mesh.Row, snapshot *wire.Snapshot, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read the newest version: %w", err)
		}
	}()
	snapshot = new(wire.Snapshot)
	row, found, err := p.Read(ctx, HeadKey)
	if err != nil || !found {
		return head, row, snapshot, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, row, snapshot, err
	}
	data, err := p.Get(ctx, head.Object())
	if err != nil {
		return head, row, snapshot, err
	}
	return head, row, snapshot, proto.Unmarshal(data, snapshot)
}

// Put makes a settings tree the newest version.
func Put(ctx context.Context, p mesh.Platform, by string, text []byte) (head Head, err error) {
	if _, err := parse.Tree(text); err != nil {
		return head, err
	}
	return change(ctx, p, by, "settings put", func(s *wire.Snapshot) error {
		s.Tree = text
		return nil
	})
}

// Give makes a key known as one of the organisation.
func Give(ctx context.Context, p mesh.Platform, by string, organisation mesh.OrganisationName, hash mesh.KeyHash) (head Head, err error) {
	return change(ctx, p, by, "key given to "+string(organisation), func(s *wire.Snapshot) error {
		for _, k := range s.GetKeys() {
			if mesh.KeyHash(k.GetHash()) == hash {
				return errors.New("the key is already known")
			}
		}
		s.Keys = append(s.Keys, &wire.Key{Hash: hash[:], Organisation: string(organisation)})
		return nil
	})
}

// Withdraw ends a key for good.
func Withdraw(ctx context.Context, p mesh.Platform, by string, hash mesh.KeyHash) (head Head, err error) {
	return change(ctx, p, by, "key withdrawn", func(s *wire.Snapshot) error {
		for _, k := range s.GetKeys() {
			if mesh.KeyHash(k.GetHash()) == hash {
				k.Withdrawn = true
				return nil
			}
		}
		return errors.New("no such key")
	})
}

// change makes the next version. The object is written before the head, so a
// head never names an object that does not exist.
func change(ctx context.Context, p mesh.Platform, by, what string, edit func(*wire.Snapshot) error) (head Head, err error) {
	old, row, snapshot, err := current(ctx, p)
	if err != nil {
		return head, err
	}
	head = Head{Version: old.Version + 1, Nonce: uuid.NewString(), By: by, Change: what}
	if err := edit(snapshot); err != nil {
		return head, fmt.Errorf("%s: %w", what, err)
	}
	snapshot.Version, snapshot.Nonce = head.Version, head.Nonce
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return head, err
	}
	if err := p.Put(ctx, head.Object(), data); err != nil {
		return head, err
	}
	return head, commitHead(ctx, p, row, head)
}

func commitHead(ctx context.Context, p mesh.Platform, row mesh.Row, head Head) (err error) {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	w := mesh.Write{Key: HeadKey, Value: value, Condition: mesh.IfVersion, Version: row.Version}
	if row.Version == 0 {
		w.Condition = mesh.IfAbsent
	}
	err = p.Commit(ctx, []mesh.Write{w})
	if err == nil {
		return nil
	}
	return resolve(ctx, p, head, err)
}

// resolve finds out whether a head write that failed took effect after all.
func resolve(ctx context.Context, p mesh.Platform, head Head, cause error) (err error) {
	row, found, err := p.Read(ctx, HeadKey)
	if err != nil {
		return fmt.Errorf("it is not known whether version %d was made: %w", head.Version, errors.Join(cause, err))
	}
	var winner Head
	if found {
		if err := json.Unmarshal(row.Value, &winner); err != nil {
			return err
		}
	}
	switch {
	case winner.Version == head.Version && winner.Nonce == head.Nonce:
		return nil
	case winner.Version >= head.Version:
		return &ConflictError{Winner: winner}
	default:
		return cause
	}
}
