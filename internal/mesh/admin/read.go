package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	// readAttempts bounds how often a request that may be repeated is sent.
	readAttempts = 3

	// resolveAttempts bounds how often a transaction without an answer is
	// sent. With the waits between them they cover an outage of about ten
	// seconds.
	resolveAttempts = 8

	// raceAttempts bounds how often a change starts over after a race.
	raceAttempts = 10

	firstWait = 100 * time.Millisecond
	maxWait   = 2 * time.Second
)

// again sends a request that may be repeated until the platform answers.
func again(ctx context.Context, request func() error) (err error) {
	wait := firstWait
	for range readAttempts {
		if err = request(); !errors.Is(err, mesh.ErrPlatformUnavailable) {
			return err
		}
		if !pause(ctx, wait) {
			return err
		}
		wait = min(2*wait, maxWait)
	}
	return err
}

// pause reports false when ctx ends first.
func pause(ctx context.Context, d time.Duration) (waited bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Current returns the newest head and snapshot, whose tree is not parsed.
// Before the first version both are empty.
func Current(ctx context.Context, p mesh.Platform) (head Head, snapshot *config.Snapshot, err error) {
	head, _, snapshot, err = current(ctx, p)
	return head, snapshot, err
}

func current(ctx context.Context, p mesh.Platform) (head Head, row mesh.Row, snapshot *config.Snapshot, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read the newest version: %w", err)
		}
	}()
	snapshot = new(config.Snapshot)
	head, row, err = readHead(ctx, p)
	if err != nil || row.Version == 0 {
		return head, row, snapshot, err
	}
	snapshot, err = ReadSnapshot(ctx, p, head)
	return head, row, snapshot, err
}

// ReadHead returns the newest head, which is empty before the first version.
func ReadHead(ctx context.Context, p mesh.Platform) (head Head, err error) {
	head, _, err = readHead(ctx, p)
	return head, err
}

func readHead(ctx context.Context, p mesh.Platform) (head Head, row mesh.Row, err error) {
	found := false
	err = again(ctx, func() (err error) {
		row, found, err = p.Read(ctx, HeadKey)
		return err
	})
	if err != nil || !found {
		return head, mesh.Row{}, err
	}
	return head, row, json.Unmarshal(row.Value, &head)
}

// ReadSnapshot returns the snapshot of a version.
func ReadSnapshot(ctx context.Context, p mesh.Platform, head Head) (snapshot *config.Snapshot, err error) {
	data, err := get(ctx, p, head.SnapshotObject())
	if err != nil {
		return nil, err
	}
	m, err := wire.UnpackSnapshot(data)
	if err != nil {
		return nil, err
	}
	return wire.ReadSnapshot(m)
}

// ReadChange returns the change that leads to a version.
func ReadChange(ctx context.Context, p mesh.Platform, head Head) (change *wire.Change, err error) {
	data, err := get(ctx, p, head.ChangeObject())
	if err != nil {
		return nil, err
	}
	return wire.UnpackChange(data)
}

func get(ctx context.Context, p mesh.Platform, name string) (data []byte, err error) {
	err = again(ctx, func() (err error) {
		data, err = p.Get(ctx, name)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("object %s: %w", name, err)
	}
	return data, nil
}

// Version returns the description of a version.
func Version(ctx context.Context, p mesh.Platform, version uint64) (head Head, err error) {
	var row mesh.Row
	found := false
	err = again(ctx, func() (err error) {
		row, found, err = p.Read(ctx, HistoryKey(version))
		return err
	})
	switch {
	case err != nil:
		return head, err
	case !found:
		return head, fmt.Errorf("version %d does not exist", version)
	}
	return head, json.Unmarshal(row.Value, &head)
}

// History returns the newest versions, newest first.
func History(ctx context.Context, p mesh.Platform, limit int) (heads []Head, err error) {
	newest, err := ReadHead(ctx, p)
	if err != nil {
		return nil, err
	}
	after := HistoryKey(newest.Version - min(newest.Version, uint64(limit)))
	var rows []mesh.Row
	err = again(ctx, func() (err error) {
		rows, err = p.List(ctx, HistoryKey(0)[:len("history/")], after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, row := range slices.Backward(rows) {
		var h Head
		if err := json.Unmarshal(row.Value, &h); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		heads = append(heads, h)
	}
	return heads, nil
}
