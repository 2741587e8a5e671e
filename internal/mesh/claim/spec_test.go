package claim

import (
	"fmt"
	"testing"
)

// This file is the specification of the protocol for one request id. Attempts
// are at different nodes and know the row only through answers that may be
// lost, late or old, so a write that was sent floats until it takes effect,
// once, at any time, or never. TestSpec searches every order of steps for small
// sizes. explore_test.go checks each step of a Book against the same rules.

const (
	specAttempts = 3
	specWrites   = 3
)

type specPhase uint8

const (
	specIdle    specPhase = iota
	specWaiting           // wants to run
	specHeld              // granted, may be running
	specRan               // ran, or may have run when its node crashed
	specFreeing           // did not run and will not
	specFreed             // did not run and holds up nobody
	specDead              // crashed before it was granted
)

// specWrite is a write on its way. Kind 0 means none.
type specWrite struct {
	attempt int8
	kind    Kind
	base    uint8
}

type specState struct {
	// version, kind and owner are the row; version 0 means absent.
	version uint8
	kind    Kind
	owner   int8

	phases   [specAttempts]specPhase
	floating [specWrites]specWrite

	// sent counts the claims and writes as free of each attempt.
	sent [specAttempts][2]uint8

	// free has a bit for every version at which the row was free or absent,
	// own for every version at which it was claimed by the attempt.
	free uint16
	own  [specAttempts]uint16
}

func newSpec() (s specState) { return specState{owner: -1, free: 1} }

// send puts a write on its way, if the rules let the attempt send it.
func (s *specState) send(w specWrite) (err error) {
	a := w.attempt
	bit := uint16(1) << w.base
	switch {
	case w.kind == Claimed && s.phases[a] != specWaiting:
		return fmt.Errorf("attempt %d claims in phase %d", a, s.phases[a])
	case w.kind == Free && s.phases[a] != specFreeing:
		return fmt.Errorf("attempt %d frees in phase %d", a, s.phases[a])
	case w.kind == Claimed && s.free&bit == 0:
		return fmt.Errorf("attempt %d claims over version %d, which was not free", a, w.base)
	case w.kind == Free && (s.free|s.own[a])&bit == 0:
		return fmt.Errorf("attempt %d frees version %d of another attempt", a, w.base)
	}
	for i := range s.floating {
		if s.floating[i].kind == 0 {
			s.floating[i] = w
			return nil
		}
	}
	return nil
}

// land lets a write take effect if its condition holds.
func (s *specState) land(w specWrite) {
	if w.base != s.version {
		return
	}
	s.version++
	s.kind, s.owner = w.kind, w.attempt
	if w.kind == Free {
		s.owner = -1
		s.free |= 1 << s.version
		return
	}
	s.own[w.attempt] |= 1 << s.version
}

// grant lets an attempt run. Only its own writes change a row that it claimed,
// so what it knows of such a row cannot be out of date.
func (s *specState) grant(a int) (err error) {
	if s.phases[a] != specWaiting || s.kind != Claimed || s.owner != int8(a) {
		return fmt.Errorf("attempt %d is granted without a claim", a)
	}
	s.phases[a] = specHeld
	return nil
}

// freed ends an attempt once no claim of it is or can come into force.
func (s *specState) freed(a int) (err error) {
	if s.phases[a] != specFreeing && s.phases[a] != specWaiting {
		return fmt.Errorf("attempt %d is freed in phase %d", a, s.phases[a])
	}
	for _, w := range s.floating {
		if w.kind == Claimed && w.attempt == int8(a) && w.base == s.version {
			return fmt.Errorf("attempt %d is freed while its claim may still take effect", a)
		}
	}
	if s.kind == Claimed && s.owner == int8(a) {
		return fmt.Errorf("attempt %d is freed while it holds the row", a)
	}
	s.phases[a] = specFreed
	return nil
}

// check returns the invariant that a state breaks.
func (s *specState) check() (err error) {
	runs := 0
	for a, p := range s.phases {
		if p == specHeld || p == specRan {
			runs++
		}
		if p == specFreed && s.kind == Claimed && s.owner == int8(a) {
			return fmt.Errorf("attempt %d did not run, was freed and holds the row", a)
		}
	}
	if runs > 1 {
		return fmt.Errorf("%d attempts of one request run", runs)
	}
	return nil
}

// next returns the states that follow within the bounds of the search.
func (s specState) next(claims, frees uint8) (states []specState) {
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
	for i, w := range s.floating {
		if w.kind != 0 {
			add(func(n *specState) error { n.floating[i] = specWrite{}; n.land(w); return nil })
			add(func(n *specState) error { n.floating[i] = specWrite{}; return nil })
		}
	}
	for a := range specAttempts {
		move(a, specIdle, specWaiting)
		move(a, specWaiting, specFreeing)
		move(a, specHeld, specRan)
		move(a, specHeld, specFreeing)
		move(a, specWaiting, specDead)
		move(a, specFreeing, specDead)
		add(func(n *specState) error { return n.grant(a) })
		if s.phases[a] == specFreeing {
			add(func(n *specState) error { return n.freed(a) })
		}
		for base := range s.version + 1 {
			for i, kind := range []Kind{Claimed, Free} {
				if s.sent[a][i] < []uint8{claims, frees}[i] && s.floating[specWrites-1].kind == 0 {
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

// searchSpec visits every state and returns how many there are and the first
// broken invariant. Change breaks the rules on purpose.
func searchSpec(claims, frees uint8, change func(from, to *specState)) (states int, err error) {
	start := newSpec()
	seen := map[specState]bool{start: true}
	for open := []specState{start}; len(open) > 0; {
		s := open[len(open)-1]
		open = open[:len(open)-1]
		for _, n := range s.next(claims, frees) {
			if change != nil {
				change(&s, &n)
			}
			if err := n.check(); err != nil {
				return len(seen), fmt.Errorf("%w: %+v after %+v", err, n, s)
			}
			if !seen[n] {
				seen[n] = true
				open = append(open, n)
			}
		}
	}
	return len(seen), nil
}

// TestSpec guards against a rule of the protocol that lets a request run twice,
// or that leaves the row with an attempt that did not run.
func TestSpec(t *testing.T) {
	states, err := searchSpec(1, 1, nil)
	if err != nil {
		t.Errorf("got %v, want no broken invariant", err)
	}
	t.Logf("%d states.", states)
}

// TestSpecSearchFindsFaults guards against a search that finds nothing because
// it reaches too little.
func TestSpecSearchFindsFaults(t *testing.T) {
	faults := map[string]func(from, to *specState){
		"a write as free ignores its condition": func(from, to *specState) {
			for i, w := range from.floating {
				if w.kind == Free && to.floating[i].kind == 0 {
					to.kind, to.owner, to.version = Free, -1, from.version+1
					to.free |= 1 << to.version
				}
			}
		},
		"a late claim ignores its condition": func(from, to *specState) {
			for i, w := range from.floating {
				if w.kind == Claimed && to.floating[i].kind == 0 && from.version < 6 {
					to.kind, to.owner, to.version = Claimed, w.attempt, from.version+1
				}
			}
		},
		"an attempt is freed without a write": func(from, to *specState) {
			for a, p := range from.phases {
				if p == specWaiting && to.phases[a] == specFreeing {
					to.phases[a] = specFreed
				}
			}
		},
	}
	for name, change := range faults {
		if _, err := searchSpec(1, 1, change); err == nil {
			t.Errorf("%s: got no broken invariant, want one", name)
		}
	}
}
