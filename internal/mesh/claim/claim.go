// Package claim decides which non-idempotent requests may run, so that each
// runs at most once.
//
// A claim is a row in the platform's table service, keyed by organisation, service
// and request id. It is acquired by a conditional write that carries a nonce, before
// any byte of the request is sent to a target. A row is never deleted while its id is
// still accepted, so for each version of a row, and for its absence, at most one write
// with that precondition can succeed. The claim of a request that did not run is
// released by a write that gives the row a new version. After that write, an abandoned
// claim write that is still in flight fails its precondition.
package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// rowPrefix is the key prefix of all claim rows.
	rowPrefix = "claim/"

	// bucketLength is the time span of request ids whose rows share a key prefix
	// and are deleted together.
	bucketLength = 10 * time.Minute

	// maxClockSkew is the maximum difference between the clocks of two hosts.
	maxClockSkew = time.Minute
)

// NonceSize is the size of a nonce in bytes.
const NonceSize = 16

// Nonce identifies one transaction, so that a row shows which transaction wrote it.
type Nonce [NonceSize]byte

// Kind is the state of a claim row.
type Kind byte

// Kinds of claim rows.
const (
	// Claimed means that an attempt may run, or may have run, the request.
	Claimed Kind = 'c'

	// Free means that no attempt ran the request and that it can be claimed again.
	Free Kind = 'f'
)

// Record is the decoded value of a claim row.
type Record struct {
	Kind  Kind
	Nonce Nonce
}

// Value returns the encoded record.
func (r Record) Value() (value []byte) {
	return append([]byte{byte(r.Kind)}, r.Nonce[:]...)
}

// ParseRecord decodes the value of a row. A value in an unknown format counts as
// claimed, since its request may have run.
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

// Key returns the key of a call's claim row. It starts with the time of the request
// id, so that old rows are adjacent. The organisation is derived from the caller's API
// key, so no organisation can access the rows of another. The service is part of the
// key because a target may reuse its own request id for the calls that it makes.
func Key(c *mesh.Call) (key string) {
	return bucketPrefix(c.ID.Time()) + string(c.Organisation) + "/" + string(c.Route.Service) + "/" + c.ID.String()
}

// bucketPrefix returns the key prefix of all claims whose ids are in the same time span
// as at.
func bucketPrefix(at time.Time) (prefix string) {
	return fmt.Sprintf("%s%010x/", rowPrefix, max(0, at.UnixMilli()/bucketLength.Milliseconds()))
}

// belowFloor reports whether all ids in the time span of the row were created before
// floor.
func belowFloor(key string, floor time.Time) (swept bool) {
	return strings.HasPrefix(key, rowPrefix) && key < bucketPrefix(floor)
}
