package share

import (
	"slices"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// This file specifies the transfers between a lender and one borrower that does not lend to
// others, in units of one request. Until the lease ends, every message that was ever sent may
// arrive at any time, any number of times or never: that covers loss, duplication, reordering
// and delay.

const (
	specTotal        = 3 // Capacity of the lender at the start.
	specIDs          = 3 // Transfers in each direction and incarnation.
	specIncarnations = 3 // Incarnations of the borrower.
)

// perID and perIncarnation are indexed from 1.
type (
	perID          [specIDs + 1]bool
	perIncarnation [specIncarnations + 1]int8
)

// spec is the state of both nodes and of the network.
type spec struct {
	// The lender: its capacity and tokens, the amount owed by each incarnation of the
	// borrower, the highest incarnation seen, and the returns that were processed.
	capacity, tokens int8
	owed             perIncarnation
	known            int8
	returned         [specIncarnations + 1]perID

	// The borrower: its incarnation, capacity and tokens, the loans that this incarnation has
	// processed, and the number of returns that it sent.
	incarnation, held, heldTokens int8
	decided                       perID
	sentReturns                   int8

	// The network: the incarnation that each loan was sent to, 0 for none, the returns that
	// were sent, and whether the lease has ended.
	loans     [specIDs + 1]int8
	sentLoans int8
	returns   [specIncarnations + 1]perID
	ended     bool
}

// fault selects a step that is broken on purpose, to check that the search detects it.
type fault uint8

const (
	noFault fault = iota
	applyTwice
	lendWithoutDebit
	acceptOldIncarnation
	reclaimEarly
)

// command is one step of the specification. Its arguments are an incarnation and an id, where
// it needs them.
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

// step executes a command. It reports false when the command is not possible in this state.
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
		if f == reclaimEarly {
			break
		}
		s.held, s.heldTokens = 0, 0
		s.loans, s.returns = [specIDs + 1]int8{}, [specIncarnations + 1]perID{}
	}
	return s, true
}

// safe reports whether the capacity of both nodes and of the messages that may still be
// applied is within the total.
func (s spec) safe() (holds bool) {
	sum := s.capacity + s.held
	for id, incarnation := range s.loans {
		if incarnation == s.incarnation && incarnation > 0 && !s.decided[id] {
			sum++
		}
	}
	for incarnation := s.known; incarnation <= specIncarnations; incarnation++ {
		for id, sent := range s.returns[incarnation] {
			if sent && !s.returned[incarnation][id] && s.owed[incarnation] > 0 {
				sum++
			}
		}
	}
	return sum <= specTotal && s.tokens <= s.capacity && s.heldTokens <= s.held
}

func commands() (all []command) {
	all = []command{{name: "lend"}, {name: "return"}, {name: "restart"}, {name: "end"}}
	for incarnation := int8(1); incarnation <= specIncarnations; incarnation++ {
		all = append(all, command{name: "hello-arrives", incarnation: incarnation})
		for id := int8(1); id <= specIDs; id++ {
			all = append(all, command{name: "return-arrives", incarnation: incarnation, id: id})
		}
	}
	for id := int8(1); id <= specIDs; id++ {
		all = append(all, command{name: "loan-arrives", id: id})
	}
	return all
}

// search visits every reachable state in breadth-first order, each by a shortest path, until
// visit returns false.
func search(f fault, visit func(s spec, path []command) bool) (states int) {
	type node struct {
		state spec
		path  []command
	}
	start := spec{capacity: specTotal, tokens: specTotal, incarnation: 1}
	visited := map[spec]bool{start: true}
	queue := []node{{state: start}}
	for ; len(queue) > 0; queue = queue[1:] {
		n := queue[0]
		if !visit(n.state, n.path) {
			break
		}
		for _, c := range commands() {
			after, possible := n.state.step(c, f)
			if possible && !visited[after] {
				visited[after] = true
				queue = append(queue, node{state: after, path: append(slices.Clip(n.path), c)})
			}
		}
	}
	return len(visited)
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

// TestTransferSpecFindsFaults guards against a search that does not detect a broken step.
func TestTransferSpecFindsFaults(t *testing.T) {
	for _, f := range []fault{applyTwice, lendWithoutDebit, acceptOldIncarnation, reclaimEarly} {
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

// pair executes a path of the specification on two ledgers.
type pair struct {
	now              time.Time
	lender, borrower *Ledger
	incarnation      mesh.Incarnation
	loans            map[int8]Transfer
	returns          map[command]Transfer
	nonce            string
}

var lenderAddr, borrowerAddr = addrOf(1), addrOf(2)

func newPair() (p *pair) {
	p = &pair{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), lender: New(Process{Addr: lenderAddr, Incarnation: 9}),
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

// renew renews the lender's grant at the platform.
func (p *pair) renew(fresh Amount) {
	p.nonce += "x"
	p.lender.Step(p.now, Issued{
		Organisation: testOrganisation, Started: p.now, Written: p.lender.Self(), Fresh: fresh,
		Row: Row{Grants: []Grant{{
			Root: p.lender.Self(), Owner: lenderAddr, Capacity: FromRequests(specTotal),
			SizedFor: Allowance{Capacity: FromRequests(specTotal)}, Nonce: p.nonce,
		}}},
	})
}

func (p *pair) restart() {
	p.incarnation++
	p.borrower = New(Process{Addr: borrowerAddr, Incarnation: p.incarnation})
	p.configure(p.borrower)
}

func (p *pair) toLender(incarnation int8, b Batch) (actions []Action) {
	b.Incarnation, b.Sent = mesh.Incarnation(incarnation), p.now
	return p.lender.Step(p.now, Delivered{From: borrowerAddr, Batch: b})
}

func (p *pair) toBorrower(b Batch) (actions []Action) {
	b.Incarnation, b.Sent = p.lender.Self().Incarnation, p.now
	return p.borrower.Step(p.now, Delivered{From: lenderAddr, Batch: b})
}

// transfer returns the transfer sent by the actions.
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
		p.loans[int8(len(p.loans)+1)] = transfer(t, p.toLender(int8(p.lender.peer(borrowerAddr).incarnation), ask))
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

// end advances the clock past the lease and its margin, and delivers every old message once
// more, with its original timestamp.
func (p *pair) end() {
	sent := p.now
	p.now = p.now.Add(testLease + leaseMargin + time.Minute)
	p.renew(0)
	p.lender.Step(p.now, Woken{})
	p.borrower.Step(p.now, Woken{})
	for _, n := range p.loans {
		b := Batch{Incarnation: p.lender.Self().Incarnation, Sent: sent, Transfers: []Transfer{n}}
		p.borrower.Step(p.now, Delivered{From: lenderAddr, Batch: b})
	}
	for c, n := range p.returns {
		b := Batch{Incarnation: mesh.Incarnation(c.incarnation), Sent: sent, Transfers: []Transfer{n}}
		p.lender.Step(p.now, Delivered{From: borrowerAddr, Batch: b})
	}
}

// abstract returns the state of the ledgers as a state of the specification.
func (p *pair) abstract(s spec) (abstracted spec) {
	abstracted = s
	held, lent := p.borrower.TotalAllowance(p.now, testOrganisation), p.lender.TotalAllowance(p.now, testOrganisation)
	abstracted.capacity, abstracted.tokens = int8(lent.Capacity/One), int8(lent.Tokens/One)
	abstracted.held, abstracted.heldTokens = int8(held.Capacity/One), int8(held.Tokens/One)
	abstracted.known, abstracted.incarnation, abstracted.owed = int8(p.lender.peer(borrowerAddr).incarnation), int8(p.incarnation), perIncarnation{}
	for k, n := range p.lender.accounts[testOrganisation].loans {
		abstracted.owed[k.borrower.Incarnation] += int8(n.allowance.Capacity / One)
	}
	return abstracted
}

// TestLedgerFollowsSpec guards against ledgers that deviate from the specification in any
// reachable state.
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
