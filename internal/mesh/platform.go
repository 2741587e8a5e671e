package mesh

import (
	"context"
	"errors"
	"fmt"
)

// ErrPlatformUnavailable means that the platform did not respond. A write that
// fails with it may have been applied.
var ErrPlatformUnavailable = errors.New("platform unavailable")

// ErrObjectNotFound means that the object does not exist in the object store.
var ErrObjectNotFound = errors.New("object not found")

// Row is a row of the platform's table service.
type Row struct {
	Key   string
	Value []byte

	// Version increases with every write of the row and is at least 1.
	Version uint64
}

// Condition is the precondition of a write in a transaction.
type Condition uint8

// Preconditions of a write.
const (
	// Always writes unconditionally.
	Always Condition = iota

	// IfAbsent writes only when the row does not exist.
	IfAbsent

	// IfVersion writes only when the row's version equals that of the write.
	IfVersion
)

// Write is one write of a transaction.
type Write struct {
	Key       string
	Value     []byte
	Delete    bool
	Condition Condition

	// Version is the expected version of the row; only used with IfVersion.
	Version uint64
}

// ConflictError means that a precondition of a transaction failed and that none of
// its writes was applied.
type ConflictError struct {
	// Current is the current row; its Version is 0 when the row does not exist.
	Current Row
}

// Error names the row whose precondition failed and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d", e.Current.Key, e.Current.Version)
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the row with the key.
	Read(ctx context.Context, key string) (row Row, found bool, err error)

	// List returns up to limit rows whose keys start with prefix, in key order,
	// beginning after the key after.
	List(ctx context.Context, prefix, after string, limit int) (rows []Row, err error)

	// Commit applies all writes atomically. It returns a *ConflictError when a
	// precondition fails.
	Commit(ctx context.Context, writes []Write) (err error)
}

// Objects is the platform's object store.
type Objects interface {
	// Get returns the object, or ErrObjectNotFound.
	Get(ctx context.Context, name string) (data []byte, err error)

	// Put stores the object.
	Put(ctx context.Context, name string, data []byte) (err error)
}

// Platform combines the table service and the object store.
type Platform interface {
	Table
	Objects
}
