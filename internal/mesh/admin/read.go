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
	// readAttempts is the maximum number of attempts of an idempotent request.
	readAttempts = 3

	// commitAttempts is the maximum number of attempts of a transaction that is not
	// answered. With the backoff between them, they cover an outage of about ten
	// seconds.
	commitAttempts = 8

	// conflictAttempts is the maximum number of attempts of a change that conflicts
	// with changes of other operators.
	conflictAttempts = 10

	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// retry sends an idempotent request until the platform answers or the attempts are
// used up, with exponential backoff.
func retry(ctx context.Context, request func() error) (err error) {
	backoff := minBackoff
	for range readAttempts {
		if err = request(); !errors.Is(err, mesh.ErrPlatformUnavailable) {
			return err
		}
		if !sleep(ctx, backoff) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return err
}

// sleep waits for d. It reports false when ctx is done first.
func sleep(ctx context.Context, d time.Duration) (waited bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Current returns the newest head and its snapshot. The snapshot's tree is not
// parsed. Before the first version, both are empty.
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

// ReadHead returns the newest head. It is empty before the first version.
func ReadHead(ctx context.Context, p mesh.Platform) (head Head, err error) {
	head, _, err = readHead(ctx, p)
	return head, err
}

func readHead(ctx context.Context, p mesh.Platform) (head Head, row mesh.Row, err error) {
	found := false
	err = retry(ctx, func() (err error) {
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
	data, err := getObject(ctx, p, head.SnapshotObject())
	if err != nil {
		return nil, err
	}
	m, err := wire.UnpackSnapshot(data)
	if err != nil {
		return nil, err
	}
	return wire.ReadSnapshot(m)
}

// ReadChange returns the change from the previous version to the given one.
func ReadChange(ctx context.Context, p mesh.Platform, head Head) (change *wire.Change, err error) {
	data, err := getObject(ctx, p, head.ChangeObject())
	if err != nil {
		return nil, err
	}
	return wire.UnpackChange(data)
}

func getObject(ctx context.Context, p mesh.Platform, name string) (data []byte, err error) {
	err = retry(ctx, func() (err error) {
		data, err = p.Get(ctx, name)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("object %s: %w", name, err)
	}
	return data, nil
}

// ReadVersion returns the description of a version from the history.
func ReadVersion(ctx context.Context, p mesh.Platform, version uint64) (head Head, err error) {
	var row mesh.Row
	found := false
	err = retry(ctx, func() (err error) {
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

// History returns the descriptions of the last versions, at most limit, newest first.
func History(ctx context.Context, p mesh.Platform, limit int) (heads []Head, err error) {
	newest, err := ReadHead(ctx, p)
	if err != nil {
		return nil, err
	}
	after := HistoryKey(newest.Version - min(newest.Version, uint64(limit)))
	var rows []mesh.Row
	err = retry(ctx, func() (err error) {
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
