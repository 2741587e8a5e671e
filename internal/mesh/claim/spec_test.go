package claim

import (
	"fmt"
	"testing"
)

// This file is the specification of the claim protocol for one request id. Attempts run
// on different nodes and know the row only from responses, which may be lost, late or
// stale. A write that was sent therefore stays in flight until it is applied, once and at
// any time, or is lost. TestSpec searches all interleavings exhaustively for a small
// number of attempts and writes. explore_test.go checks each step of a Tracker against the
// same rules.

const (
	specAttempts = 3
	specWrites   = 3
)

type specPhase uint8

const (
	specIdle      specPhase = iota
	specWaiting             // requested its claim
	specGranted             // granted, may be running
	specRan                 // ran, or may have run when its node crashed
	specReleasing           // did not run and will not run
	specReleased            // did not run and does not block other attempts
	specCrashed             // its node crashed before it was granted, or while it was releasing
)

// specWrite is a write in flight, with the row version base as its precondition. Kind 0
// means none.
type specWrite struct {
	attempt int8
	kind    Kind
	base    uint8
}

type specState struct {
	// version, kind and owner describe the row; version 0 means that it does not exist.
	version uint8
	kind    Kind
	owner   int8

	phases   [specAttempts]specPhase
	inFlight [specWrites]specWrite

	// sent counts the claim writes and the release writes of each attempt.
	sent [specAttempts][2]uint8

	// freeVersions has a bit for every version at which the row was free or did not
	// exist, ownVersions for every version at which it was claimed by the attempt.
	freeVersions uint16
	ownVersions  [specAttempts]uint16
}

func newSpec() (s specState) { return specState{owner: -1, freeVersions: 1} }

// send adds a write to the writes in flight, or returns an error if the rules do not allow
// the attempt to send it.
func (s *specState) send(w specWrite) (err error) {
	a := w.attempt
	bit := uint16(1) << w.base
	switch {
	case w.kind == Claimed && s.phases[a] != specWaiting:
		return fmt.Errorf("attempt %d sends a claim in phase %d", a, s.phases[a])
	case w.kind == Free && s.phases[a] != specReleasing:
		return fmt.Errorf("attempt %d sends a release in phase %d", a, s.phases[a])
	case w.kind == Claimed && s.freeVersions&bit == 0:
		return fmt.Errorf("attempt %d sends a claim over version %d, which was not free", a, w.base)
	case w.kind == Free && (s.freeVersions|s.ownVersions[a])&bit == 0:
		return fmt.Errorf("attempt %d sends a release of version %d, which another attempt claimed", a, w.base)
	}
	for i := range s.inFlight {
		if s.inFlight[i].kind == 0 {
			s.inFlight[i] = w
			return nil
		}
	}
	return nil
}

// apply applies a write if its precondition holds.
func (s *specState) apply(w specWrite) {
	if w.base != s.version {
		return
	}
	s.version++
	s.kind, s.owner = w.kind, w.attempt
	if w.kind == Free {
		s.owner = -1
		s.freeVersions |= 1 << s.version
		return
	}
	s.ownVersions[w.attempt] |= 1 << s.version
}

// grant grants an attempt, or returns an error if it does not hold the claim. Only the
// attempt's own writes can change a row that it has claimed, so its knowledge of such a
// row cannot be stale.
func (s *specState) grant(a int) (err error) {
	if s.phases[a] != specWaiting || s.kind != Claimed || s.owner != int8(a) {
		return fmt.Errorf("attempt %d is granted without a claim", a)
	}
	s.phases[a] = specGranted
	return nil
}

// release marks an attempt as released. It returns an error if the attempt holds the claim
// or has a claim write in flight that can still succeed.
func (s *specState) release(a int) (err error) {
	if s.phases[a] != specReleasing && s.phases[a] != specWaiting {
		return fmt.Errorf("attempt %d is released in phase %d", a, s.phases[a])
	}
	for _, w := range s.inFlight {
		if w.kind == Claimed && w.attempt == int8(a) && w.base == s.version {
			return fmt.Errorf("attempt %d is released while its claim write can still succeed", a)
		}
	}
	if s.kind == Claimed && s.owner == int8(a) {
		return fmt.Errorf("attempt %d is released while it holds the claim", a)
	}
	s.phases[a] = specReleased
	return nil
}

// check returns an error if the state violates an invariant.
func (s *specState) check() (err error) {
	runs := 0
	for a, p := range s.phases {
		if p == specGranted || p == specRan {
			runs++
		}
		if p == specReleased && s.kind == Claimed && s.owner == int8(a) {
			return fmt.Errorf("attempt %d did not run, was released and holds the claim", a)
		}
	}
	if runs > 1 {
		return fmt.Errorf("%d attempts of one request run", runs)
	}
	return nil
}

// next returns the successor states. Each attempt sends at most the given numbers of claim
// and release writes, which bounds the search.
func (s specState) next(claims, releases uint8) (states []specState) {
	add := func(f func(n *specState) error) {
		n := s
		if f(&n) == nil {
			states = append(states, n)
		}
	}
	move := func(a int, from, to specPhase) {
		if s.phases[a] == from {
			add(func(n *specState) error { n.phases[a] = to; return nil })
		}
	}
	for i, w := range s.inFlight {
		if w.kind != 0 {
			add(func(n *specState) error { n.inFlight[i] = specWrite{}; n.apply(w); return nil })
			add(func(n *specState) error { n.inFlight[i] = specWrite{}; return nil })
		}
	}
	for a := range specAttempts {
		move(a, specIdle, specWaiting)
		move(a, specWaiting, specReleasing)
		move(a, specGranted, specRan)
		move(a, specGranted, specReleasing)
		move(a, specWaiting, specCrashed)
		move(a, specReleasing, specCrashed)
		add(func(n *specState) error { return n.grant(a) })
		if s.phases[a] == specReleasing {
			add(func(n *specState) error { return n.release(a) })
		}
		for base := range s.version + 1 {
			for i, kind := range []Kind{Claimed, Free} {
				if s.sent[a][i] < []uint8{claims, releases}[i] && s.inFlight[specWrites-1].kind == 0 {
					add(func(n *specState) error {
						n.sent[a][i]++
						return n.send(specWrite{attempt: int8(a), kind: kind, base: base})
					})
				}
			}
		}
	}
	return states
}

// searchSpec visits every reachable state. It returns the number of states visited and the
// first invariant violation. A mutate other than nil changes successor states to inject a
// fault into the protocol.
func searchSpec(claims, releases uint8, mutate func(from, to *specState)) (states int, err error) {
	start := newSpec()
	seen := map[specState]bool{start: true}
	for frontier := []specState{start}; len(frontier) > 0; {
		s := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		for _, n := range s.next(claims, releases) {
			if mutate != nil {
				mutate(&s, &n)
			}
			if err := n.check(); err != nil {
				return len(seen), fmt.Errorf("%w: %+v after %+v", err, n, s)
			}
			if !seen[n] {
				seen[n] = true
				frontier = append(frontier, n)
			}
		}
	}
	return len(seen), nil
}

// TestSpec guards against a protocol that lets a request run twice, or that leaves the
// row claimed by an attempt that did not run and was released.
func TestSpec(t *testing.T) {
	states, err := searchSpec(1, 1, nil)
	if err != nil {
		t.Errorf("got %v, want no invariant violation", err)
	}
	t.Logf("%d states", states)
}

// TestSpecSearchFindsFaults guards against a search that misses invariant violations
// because it does not reach enough states.
func TestSpecSearchFindsFaults(t *testing.T) {
	faults := map[string]func(from, to *specState){
		"a write as free ignores its condition": func(from, to *specState) {
			for i, w := range from.inFlight {
				if w.kind == Free && to.inFlight[i].kind == 0 {
					to.kind, to.owner, to.version = Free, -1, from.version+1
					to.freeVersions |= 1 << to.version
				}
			}
		},
		"a late claim ignores its condition": func(from, to *specState) {
			for i, w := range from.inFlight {
				if w.kind == Claimed && to.inFlight[i].kind == 0 && from.version < 6 {
					to.kind, to.owner, to.version = Claimed, w.attempt, from.version+1
				}
			}
		},
		"an attempt is freed without a write": func(from, to *specState) {
			for a, p := range from.phases {
				if p == specWaiting && to.phases[a] == specReleasing {
					to.phases[a] = specReleased
				}
			}
		},
	}
	for name, mutate := range faults {
		if _, err := searchSpec(1, 1, mutate); err == nil {
			t.Errorf("%s: got no invariant violation, want one", name)
		}
	}
}
