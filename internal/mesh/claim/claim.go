// Package claim decides which non-idempotent requests may run, so that each
// runs at most once.
//
// A claim is a row at the platform, keyed by organisation, service and request
// id. It is taken by a conditional write under a nonce, before any byte of the
// request goes to a target. A row is never deleted while its id may still be
// sent, so each version of a row, and its absence, is the condition of claims
// at most once. A claim whose request did not run is freed by a write that
// moves the row to another version. After that write, a claim that was given up
// but is still on its way cannot take effect any more.
package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// rowPrefix starts the keys of all claims.
	rowPrefix = "claim/"

	// bucketLength is the span of request ids whose rows share a prefix and
	// are deleted together.
	bucketLength = 10 * time.Minute

	// maxClockSkew is how far the clocks of two hosts may differ.
	maxClockSkew = time.Minute
)

// NonceSize is the size of a nonce in bytes.
const NonceSize = 16

// Nonce names one transaction, so that its effect is recognised in the rows.
type Nonce [NonceSize]byte

// Kind says what a row means for its request.
type Kind byte

// Kinds of a row.
const (
	// Claimed means that an attempt may have run the request.
	Claimed Kind = 'c'

	// Free means that no attempt ran it and another one may claim it.
	Free Kind = 'f'
)

// Record is the value of a row.
type Record struct {
	Kind  Kind
	Nonce Nonce
}

// Value returns the record as the value of a row.
func (r Record) Value() (value []byte) {
	return append([]byte{byte(r.Kind)}, r.Nonce[:]...)
}

// ParseRecord returns the record in a row. A row of an unknown form counts as
// claimed, since it must not be taken over.
func ParseRecord(value []byte) (r Record) {
	r.Kind = Claimed
	if len(value) != 1+NonceSize {
		return r
	}
	if Kind(value[0]) == Free {
		r.Kind = Free
	}
	copy(r.Nonce[:], value[1:])
	return r
}

// Key returns the key of the row that a call is claimed with. The time of the
// id comes first, so that old rows are adjacent. The organisation comes from
// the caller's key, so no organisation reaches the rows of another. The service
// is part of the key because a target may pass its own request id on.
func Key(c *mesh.Call) (key string) {
	return bucketPrefix(c.ID.Time()) + string(c.Organisation) + "/" + string(c.Route.Service) + "/" + c.ID.String()
}

// bucketPrefix starts the keys of all claims with ids of the same span as at.
func bucketPrefix(at time.Time) (prefix string) {
	return fmt.Sprintf("%s%010x/", rowPrefix, max(0, at.UnixMilli()/bucketLength.Milliseconds()))
}

// belowFloor reports whether all ids of the row's span were made before floor.
func belowFloor(key string, floor time.Time) (swept bool) {
	return strings.HasPrefix(key, rowPrefix) && key < bucketPrefix(floor)
}
