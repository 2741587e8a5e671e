// Package share holds a node's shares of the organisations' contracts.
package share

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Ledger is the owner's record of this node's shares.
type Ledger struct {
	shares map[mesh.OrganisationName]*share
}

type share struct {
	// tokens is at most capacity.
	tokens, capacity, rate float64
	updated                time.Time
}

// New returns a ledger without shares.
func New() (l *Ledger) { return &Ledger{shares: make(map[mesh.OrganisationName]*share)} }

// Set gives this node a share. Its tokens start full.
func (l *Ledger) Set(now time.Time, organisation mesh.OrganisationName, rate, capacity float64) {
	l.shares[organisation] = &share{tokens: capacity, capacity: capacity, rate: rate, updated: now}
}

// Admit takes one token of the organisation.
func (l *Ledger) Admit(now time.Time, organisation mesh.OrganisationName) (admitted bool) {
	s, found := l.shares[organisation]
	if !found {
		return false
	}
	if now.After(s.updated) {
		s.tokens = min(s.capacity, s.tokens+s.rate*now.Sub(s.updated).Seconds())
		s.updated = now
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
