package share

import (
	"slices"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// This file specifies the transfers between a lender and one borrower that
// does not lend on, in units of one request. Every message that was ever sent
// may arrive at any time, any number of times or never, until the lease ends:
// that covers loss, repetition, reordering and delay.

const (
	specTotal        = 3 // Capacity of the lender at the start.
	specIDs          = 3 // Transfers in each direction and life.
	specIncarnations = 3 // Lives of the borrower.
)

// perID and perIncarnation are indexed from 1.
type (
	perID          [specIDs + 1]bool
	perIncarnation [specIncarnations + 1]int8
)

// spec is the state of both sides and of the network.
type spec struct {
	// The lender: capacity, tokens, what each life of the borrower owes, the
	// highest life seen, and the returns that were decided.
	capacity, tokens int8
	owed             perIncarnation
	known            int8
	returned         [specIncarnations + 1]perID

	// The borrower: its incarnation, capacity, tokens, the loans that this incarnation
	// decided and the returns that it sent.
	incarnation, held, heldTokens int8
	decided                       perID
	sentReturns                   int8

	// The network: the life that each loan was sent to, 0 for none, the
	// returns that were sent, and the lives that announced themselves.
	loans     [specIDs + 1]int8
	sentLoans int8
	returns   [specIncarnations + 1]perID
	ended     bool
}

// fault is a step that is broken on purpose.
type fault uint8

const (
	noFault fault = iota
	applyTwice
	lendWithoutDebit
	acceptOldIncarnation
	restoreEarly
)

// command is one step of the specification. Its arguments are a life and an
// id where it has any.
type command struct {
	name            string
	incarnation, id int8
}

func (s *spec) newIncarnation(incarnation int8, f fault) {
	if incarnation <= s.known {
		return
	}
	for n := s.known; n < incarnation; n++ {
		s.capacity += s.owed[n]
		if f != acceptOldIncarnation {
			s.owed[n] = 0
		}
	}
	s.known = incarnation
}

// step applies a command and reports false when it is not possible.
func (s spec) step(c command, f fault) (after spec, possible bool) {
	switch c.name {
	case "lend":
		if s.tokens == 0 || s.sentLoans == specIDs || s.known == 0 {
			return s, false
		}
		s.sentLoans++
		s.loans[s.sentLoans] = s.known
		s.owed[s.known]++
		if f != lendWithoutDebit {
			s.capacity--
			s.tokens--
		}
	case "return":
		if s.heldTokens == 0 || s.sentReturns == specIDs {
			return s, false
		}
		s.sentReturns++
		s.returns[s.incarnation][s.sentReturns] = true
		s.held--
		s.heldTokens--
	case "loan-arrives":
		if s.loans[c.id] == 0 {
			return s, false
		}
		if s.loans[c.id] == s.incarnation && (!s.decided[c.id] || f == applyTwice) {
			s.held++
			s.heldTokens++
		}
		s.decided[c.id] = true
	case "return-arrives":
		if !s.returns[c.incarnation][c.id] {
			return s, false
		}
		if c.incarnation < s.known && f != acceptOldIncarnation {
			break
		}
		s.newIncarnation(c.incarnation, f)
		if !s.returned[c.incarnation][c.id] && s.owed[c.incarnation] > 0 {
			s.owed[c.incarnation]--
			s.capacity++
			s.tokens++
		}
		s.returned[c.incarnation][c.id] = true
	case "hello-arrives":
		if c.incarnation > s.incarnation {
			return s, false
		}
		s.newIncarnation(c.incarnation, f)
	case "restart":
		if s.incarnation == specIncarnations {
			return s, false
		}
		s.incarnation++
		s.held, s.heldTokens, s.sentReturns, s.decided = 0, 0, 0, perID{}
	case "end":
		if s.ended {
			return s, false
		}
		s.ended = true
		for n, owed := range s.owed {
			s.capacity += owed
			s.owed[n] = 0
		}
		if f == restoreEarly {
			break
		}
		s.held, s.heldTokens = 0, 0
		s.loans, s.returns = [specIDs + 1]int8{}, [specIncarnations + 1]perID{}
	}
	return s, true
}

// safe reports whether what both hold and what may still arrive is within the
// total.
func (s spec) safe() (holds bool) {
	sum := s.capacity + s.held
	for id, life := range s.loans {
		if life == s.incarnation && life > 0 && !s.decided[id] {
			sum++
		}
	}
	for life := s.known; life <= specIncarnations; life++ {
		for id, sent := range s.returns[life] {
			if sent && !s.returned[life][id] && s.owed[life] > 0 {
				sum++
			}
		}
	}
	return sum <= specTotal && s.tokens <= s.capacity && s.heldTokens <= s.held
}

func commands() (all []command) {
	all = []command{{name: "lend"}, {name: "return"}, {name: "restart"}, {name: "end"}}
	for life := int8(1); life <= specIncarnations; life++ {
		all = append(all, command{name: "hello-arrives", incarnation: life})
		for id := int8(1); id <= specIDs; id++ {
			all = append(all, command{name: "return-arrives", incarnation: life, id: id})
		}
	}
	for id := int8(1); id <= specIDs; id++ {
		all = append(all, command{name: "loan-arrives", id: id})
	}
	return all
}

// search visits every state that can be reached, by a shortest path each, and
// calls visit until that returns false.
func search(f fault, visit func(s spec, path []command) bool) (states int) {
	type node struct {
		state spec
		path  []command
	}
	start := spec{capacity: specTotal, tokens: specTotal, incarnation: 1}
	seen := map[spec]bool{start: true}
	queue := []node{{state: start}}
	for ; len(queue) > 0; queue = queue[1:] {
		n := queue[0]
		if !visit(n.state, n.path) {
			break
		}
		for _, c := range commands() {
			after, possible := n.state.step(c, f)
			if possible && !seen[after] {
				seen[after] = true
				queue = append(queue, node{state: after, path: append(slices.Clip(n.path), c)})
			}
		}
	}
	return len(seen)
}

// TestTransferSpec guards against a transfer protocol that creates allowance.
func TestTransferSpec(t *testing.T) {
	states := search(noFault, func(s spec, path []command) bool {
		if !s.safe() {
			t.Errorf("got %+v after %v, want at most %d in all", s, path, specTotal)
		}
		return !t.Failed()
	})
	t.Logf("%d states", states)
}

// TestTransferSpecFindsFaults guards against a search that would not notice a
// broken step.
func TestTransferSpecFindsFaults(t *testing.T) {
	for _, f := range []fault{applyTwice, lendWithoutDebit, acceptOldIncarnation, restoreEarly} {
		found := false
		search(f, func(s spec, path []command) bool {
			if found = !s.safe(); found {
				t.Logf("fault %d: %v", f, path)
			}
			return !found
		})
		if !found {
			t.Errorf("fault %d: got no unsafe state, want one", f)
		}
	}
}

// pair runs a path of the specification on two ledgers.
type pair struct {
	now              time.Time
	lender, borrower *Ledger
	incarnation      mesh.Incarnation
	loans            map[int8]Transfer
	returns          map[command]Transfer
	nonce            string
}

var lenderAt, borrowerAt = addrOf(1), addrOf(2)

func newPair() (p *pair) {
	p = &pair{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), lender: New(Process{Addr: lenderAt, Incarnation: 9}),
		loans: make(map[int8]Transfer), returns: make(map[command]Transfer),
	}
	p.configure(p.lender)
	p.renew(FromRequests(specTotal))
	p.restart()
	return p
}

func (p *pair) configure(l *Ledger) {
	l.Step(p.now, Configured{
		Contracts: map[mesh.OrganisationName]mesh.Contract{testOrganisation: {Burst: specTotal}},
		Zones:     1, Lease: testLease,
	})
}

// renew writes the lender's grant at the platform.
func (p *pair) renew(fresh Amount) {
	p.nonce += "x"
	p.lender.Step(p.now, Issued{
		Organisation: testOrganisation, Started: p.now, Written: p.lender.Self(), Fresh: fresh,
		Row: Row{Grants: []Grant{{
			Root: p.lender.Self(), Owner: lenderAt, Capacity: FromRequests(specTotal),
			SizedFor: Allowance{Capacity: FromRequests(specTotal)}, Nonce: p.nonce,
		}}},
	})
}

func (p *pair) restart() {
	p.incarnation++
	p.borrower = New(Process{Addr: borrowerAt, Incarnation: p.incarnation})
	p.configure(p.borrower)
}

func (p *pair) toLender(incarnation int8, b Batch) (actions []Action) {
	b.Incarnation, b.Sent = mesh.Incarnation(incarnation), p.now
	return p.lender.Step(p.now, Delivered{From: borrowerAt, Batch: b})
}

func (p *pair) toBorrower(b Batch) (actions []Action) {
	b.Incarnation, b.Sent = p.lender.Self().Incarnation, p.now
	return p.borrower.Step(p.now, Delivered{From: lenderAt, Batch: b})
}

// transfer returns the transfer among the actions.
func transfer(t *testing.T, actions []Action) (found Transfer) {
	t.Helper()
	for _, a := range actions {
		if s, isSend := a.(Send); isSend && len(s.Batch.Transfers) == 1 {
			return s.Batch.Transfers[0]
		}
	}
	t.Fatalf("got %+v, want one transfer", actions)
	return found
}

func (p *pair) run(t *testing.T, c command) {
	t.Helper()
	ask := Batch{Requests: []AllowanceRequest{{Organisation: testOrganisation, Need: One, Leaf: true}}}
	switch c.name {
	case "lend":
		p.loans[int8(len(p.loans)+1)] = transfer(t, p.toLender(int8(p.lender.peer(borrowerAt).incarnation), ask))
	case "return":
		n := transfer(t, p.toBorrower(ask))
		p.returns[command{incarnation: int8(p.incarnation), id: int8(n.ID)}] = n
	case "loan-arrives":
		p.toBorrower(Batch{Transfers: []Transfer{p.loans[c.id]}})
	case "return-arrives":
		p.toLender(c.incarnation, Batch{Transfers: []Transfer{p.returns[command{incarnation: c.incarnation, id: c.id}]}})
	case "hello-arrives":
		p.toLender(c.incarnation, Batch{})
	case "restart":
		p.restart()
	case "end":
		p.end()
	}
}

// end lets the lease and its margin pass, and hands out every old message once
// more, with the time at which it was sent.
func (p *pair) end() {
	sent := p.now
	p.now = p.now.Add(testLease + leaseMargin + time.Minute)
	p.renew(0)
	p.lender.Step(p.now, Woken{})
	p.borrower.Step(p.now, Woken{})
	for _, n := range p.loans {
		b := Batch{Incarnation: p.lender.Self().Incarnation, Sent: sent, Transfers: []Transfer{n}}
		p.borrower.Step(p.now, Delivered{From: lenderAt, Batch: b})
	}
	for c, n := range p.returns {
		b := Batch{Incarnation: mesh.Incarnation(c.incarnation), Sent: sent, Transfers: []Transfer{n}}
		p.lender.Step(p.now, Delivered{From: borrowerAt, Batch: b})
	}
}

// abstract returns the ledgers' state in the terms of the specification.
func (p *pair) abstract(s spec) (seen spec) {
	seen = s
	held, lent := p.borrower.Held(p.now, testOrganisation), p.lender.Held(p.now, testOrganisation)
	seen.capacity, seen.tokens = int8(lent.Capacity/One), int8(lent.Tokens/One)
	seen.held, seen.heldTokens = int8(held.Capacity/One), int8(held.Tokens/One)
	seen.known, seen.incarnation, seen.owed = int8(p.lender.peer(borrowerAt).incarnation), int8(p.incarnation), perIncarnation{}
	for k, n := range p.lender.accounts[testOrganisation].loans {
		seen.owed[k.borrower.Incarnation] += int8(n.allowance.Capacity / One)
	}
	return seen
}

// TestLedgerFollowsSpec guards against ledgers that differ from the
// specification in any state that it can reach.
func TestLedgerFollowsSpec(t *testing.T) {
	search(noFault, func(s spec, path []command) bool {
		p := newPair()
		for _, c := range path {
			p.run(t, c)
		}
		if got := p.abstract(s); got != s {
			t.Errorf("after %v: got %+v, want %+v", path, got, s)
		}
		return !t.Failed()
	})
}
