package mesh

import (
	"context"
	"errors"
	"fmt"
)

// ErrPlatformUnavailable means that the platform gave no answer. A write that
// ends with it may have taken effect.
var ErrPlatformUnavailable = errors.New("platform unavailable")

// ErrObjectNotFound means that the object store holds no such object.
var ErrObjectNotFound = errors.New("object not found")

// Row is a row of the platform's table service.
type Row struct {
	Key   string
	Value []byte

	// Version rises with every write of the row and is at least 1.
	Version uint64
}

// Condition says when a write of a transaction may take effect.
type Condition uint8

// Conditions of a write.
const (
	// Always writes whatever the row holds.
	Always Condition = iota

	// IfAbsent writes only when the row does not exist.
	IfAbsent

	// IfVersion writes only when the row has the version of the write.
	IfVersion
)

// Write is one write of a transaction.
type Write struct {
	Key       string
	Value     []byte
	Delete    bool
	Condition Condition

	// Version is compared under IfVersion.
	Version uint64
}

// ConflictError means that a condition of a transaction did not hold and that
// none of its writes took effect.
type ConflictError struct {
	// Current is the row as it stands; its Version is 0 when there is none.
	Current Row
}

// Error names the row whose condition did not hold.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d", e.Current.Key, e.Current.Version)
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the row with the key.
	Read(ctx context.Context, key string) (row Row, found bool, err error)

	// List returns the rows whose keys start with prefix, in key order,
	// starting after the key after; limit bounds their number.
	List(ctx context.Context, prefix, after string, limit int) (rows []Row, err error)

	// Commit applies all writes or none. It returns a *ConflictError when a
	// condition does not hold.
	Commit(ctx context.Context, writes []Write) (err error)
}

// Objects is the platform's object store.
type Objects interface {
	// Get returns the object, or ErrObjectNotFound.
	Get(ctx context.Context, name string) (data []byte, err error)

	// Put stores the object.
	Put(ctx context.Context, name string, data []byte) (err error)
}

// Platform is both services of the platform.
type Platform interface {
	Table
	Objects
}
