package claim

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// moreFaults extends the search. One more fault takes several minutes.
var moreFaults = flag.Int("more-faults", 0, "faults that TestExplore adds to the limit of each of its cases")

// simulation runs Trackers against a simulated platform. Up to faults faults are injected:
// node crashes, lost responses, and writes that fail with an unknown outcome and may be
// applied later. It is deterministic: a path of choices always leads to the same state.
type simulation struct {
	now      time.Time
	rows     map[string]mesh.Row
	version  uint64
	nodes    []*node
	delayed  [][]mesh.Write
	requests []*request
	attempts []*attempt
	faults   int
	nonces   byte
	writers  map[Nonce][]*attempt
	err      error
}

type node struct {
	tracker *Tracker
	jobs    []Action
	crashed bool
}

// request is one request id and its state in the specification.
type request struct {
	key  string
	spec specState
}

// attempt is one attempt of a request, sent to a node. number is its index in the
// specification.
type attempt struct {
	request *request
	node    *node
	number  int
	call    *mesh.Call
	arrived bool
}

var exploreStart = time.UnixMilli(1_800_000_000_000)

func testCall(number byte) (c *mesh.Call) {
	c = &mesh.Call{Organisation: "org", Route: &mesh.Route{Service: "ledger"}, Deadline: exploreStart.Add(time.Hour)}
	c.ID = mesh.RequestID{15: number}
	milliseconds := exploreStart.UnixMilli()
	for i := range 6 {
		c.ID[5-i] = byte(milliseconds >> (8 * i))
	}
	return c
}

// newSimulation returns a simulation in which each request has one attempt per element of
// placement, which is the index of the attempt's node.
func newSimulation(requests int, nodes int, placement []int, faults int) (s *simulation) {
	s = &simulation{now: exploreStart, rows: make(map[string]mesh.Row), faults: faults, writers: make(map[Nonce][]*attempt)}
	for range nodes {
		s.nodes = append(s.nodes, &node{tracker: New(func() Nonce { s.nonces++; return Nonce{s.nonces} })})
	}
	for r := range requests {
		q := &request{key: Key(testCall(byte(r))), spec: newSpec()}
		s.requests = append(s.requests, q)
		for i, index := range placement {
			s.attempts = append(s.attempts, &attempt{request: q, node: s.nodes[index], number: i, call: testCall(byte(r))})
		}
	}
	return s
}

func (s *simulation) recordError(err error) {
	if s.err == nil && err != nil {
		s.err = err
	}
}

// step sends an event to the tracker of a node and checks each resulting action.
func (s *simulation) step(n *node, event mesh.Event) {
	for _, a := range n.tracker.Step(s.now, event) {
		s.action(n, a)
	}
}

func (s *simulation) action(n *node, action Action) {
	switch a := action.(type) {
	case Grant:
		t := s.attempt(a.Call)
		s.recordError(t.request.spec.grant(t.number))
	case Refuse:
		t := s.attempt(a.Call)
		if p := t.request.spec.phases[t.number]; p != specWaiting && p != specReleasing {
			s.recordError(fmt.Errorf("attempt %d in phase %d is refused: %v", t.number, p, a.Refusal))
		}
		t.request.spec.phases[t.number] = specReleasing
		if e, found := n.tracker.entries[t.request.key]; !found || e.call != a.Call {
			s.recordError(t.request.spec.release(t.number))
		}
	case Released:
		t := s.attempt(a.Call)
		if t.request.spec.phases[t.number] != specReleased {
			s.recordError(t.request.spec.release(t.number))
		}
	case Commit:
		s.send(a)
		n.jobs = append(n.jobs, a)
	case Fetch:
		if a.Keys[0] == floorKey {
			s.step(n, ReadResult{Batch: a.Batch, Rows: []mesh.Row{{}}})
			return
		}
		n.jobs = append(n.jobs, a)
	}
}

func (s *simulation) attempt(c *mesh.Call) (t *attempt) {
	i := slices.IndexFunc(s.attempts, func(t *attempt) bool { return t.call == c })
	return s.attempts[i]
}

// send checks the writes of a transaction against the specification.
func (s *simulation) send(c Commit) {
	for i, write := range c.Writes {
		t := s.attempt(c.Batch.entries[i].call)
		s.writers[c.Batch.nonce] = append(s.writers[c.Batch.nonce], t)
		s.recordError(t.request.spec.send(specWriteOf(t, write)))
	}
}

func specWriteOf(t *attempt, w mesh.Write) (s specWrite) {
	return specWrite{attempt: int8(t.number), kind: ParseRecord(w.Value).Kind, base: uint8(w.Version)}
}

// apply commits a transaction, or returns the conflict. Each write increments the version
// of its row, as in the specification.
func (s *simulation) apply(writes []mesh.Write) (err error) {
	for _, write := range writes {
		if row := s.rows[write.Key]; row.Version != write.Version {
			row.Key = write.Key
			return &mesh.ConflictError{Current: row}
		}
	}
	for _, write := range writes {
		s.rows[write.Key] = mesh.Row{Key: write.Key, Value: write.Value, Version: write.Version + 1}
		for _, t := range s.writers[ParseRecord(write.Value).Nonce] {
			if t.request.key == write.Key {
				t.request.spec.apply(specWriteOf(t, write))
			}
		}
	}
	return nil
}

// removeInFlight removes the writes of a transaction from the writes in flight of the
// specification.
func (s *simulation) removeInFlight(writes []mesh.Write) {
	for _, write := range writes {
		for _, t := range s.writers[ParseRecord(write.Value).Nonce] {
			if t.request.key != write.Key {
				continue
			}
			for i, f := range t.request.spec.inFlight {
				if f == specWriteOf(t, write) {
					t.request.spec.inFlight[i] = specWrite{}
					break
				}
			}
		}
	}
}

type choice struct {
	name string
	do   func()
}

// choices returns the possible next steps, in a fixed order.
func (s *simulation) choices() (list []choice) {
	add := func(do func(), format string, args ...any) {
		list = append(list, choice{name: fmt.Sprintf(format, args...), do: do})
	}
	s.attemptChoices(add)
	for i, n := range s.nodes {
		if n.crashed {
			continue
		}
		for j, job := range n.jobs {
			s.jobChoices(n, j, job, add)
		}
		if s.faults > 0 && n.tracker.Len() > 0 {
			add(func() { s.crash(n) }, "node %d crashes", i)
		}
	}
	for i, writes := range s.delayed {
		add(func() {
			s.delayed = slices.Delete(s.delayed, i, i+1)
			s.removeInFlight(writes)
			_ = s.apply(writes)
		}, "delayed write %d is applied", i)
	}
	return list
}

func (s *simulation) attemptChoices(add func(do func(), format string, args ...any)) {
	for i, t := range s.attempts {
		phase := t.request.spec.phases[t.number]
		switch {
		case t.node.crashed:
		case !t.arrived && (i == 0 || s.attempts[i-1].arrived || s.attempts[i-1].request != t.request):
			add(func() {
				for _, u := range s.attempts {
					if u.number == t.number && u.node == t.node {
						u.arrived = true
						u.request.spec.phases[u.number] = specWaiting
						s.step(u.node, Acquire{Call: u.call, Retention: 24 * time.Hour})
					}
				}
			}, "attempt %d arrives", i)
		case phase == specGranted:
			add(func() { t.request.spec.phases[t.number] = specRan }, "attempt %d runs", i)
			add(func() { s.release(t) }, "the target refuses attempt %d", i)
		case phase == specWaiting && t.arrived:
			add(func() { s.release(t) }, "the caller of attempt %d cancels", i)
		}
	}
}

func (s *simulation) release(t *attempt) {
	t.request.spec.phases[t.number] = specReleasing
	s.step(t.node, Release{Call: t.call})
}

func (s *simulation) crash(n *node) {
	s.faults--
	n.crashed = true
	for _, job := range n.jobs {
		if c, isCommit := job.(Commit); isCommit {
			s.delayed = append(s.delayed, c.Writes)
		}
	}
	for _, t := range s.attempts {
		if p := &t.request.spec.phases[t.number]; t.node == n && *p == specGranted {
			*p = specRan
		} else if t.node == n && (*p == specWaiting || *p == specReleasing) {
			*p = specCrashed
		}
	}
}

// jobChoices adds the possible results of a job of a node.
func (s *simulation) jobChoices(n *node, j int, job Action, add func(do func(), format string, args ...any)) {
	end := func(event func() mesh.Event) func() {
		return func() {
			n.jobs = slices.Delete(n.jobs, j, j+1)
			s.step(n, event())
		}
	}
	switch a := job.(type) {
	case Commit:
		add(end(func() mesh.Event {
			s.removeInFlight(a.Writes)
			return CommitResult{Batch: a.Batch, Err: s.apply(a.Writes)}
		}), "write completes")
		if s.faults > 0 {
			add(end(func() mesh.Event {
				s.faults--
				s.removeInFlight(a.Writes)
				_ = s.apply(a.Writes)
				return CommitResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable}
			}), "response to a write is lost")
			add(end(func() mesh.Event {
				s.faults--
				s.delayed = append(s.delayed, a.Writes)
				return CommitResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable}
			}), "write is delayed")
			add(end(func() mesh.Event { s.faults--; s.removeInFlight(a.Writes); return Unsent{Batch: a.Batch} }), "write is not sent")
		}
	case Fetch:
		add(end(func() mesh.Event {
			result := ReadResult{Batch: a.Batch}
			for _, key := range a.Keys {
				result.Rows = append(result.Rows, s.rows[key])
			}
			return result
		}), "read completes")
		if s.faults > 0 {
			add(end(func() mesh.Event { s.faults--; return ReadResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable} }), "read fails")
		}
	}
}

// advanceTime advances the clock and sends TimerExpired events until no tracker waits for one.
// It records an error if a tracker still waits after 8 events.
func (s *simulation) advanceTime() {
	for _, n := range s.nodes {
		for range 8 {
			at := n.tracker.Next()
			if n.crashed || at.IsZero() {
				break
			}
			if at.After(s.now) {
				s.now = at
			}
			s.step(n, TimerExpired{})
		}
		if !n.crashed && !n.tracker.Next().IsZero() {
			s.recordError(errors.New("a tracker keeps requesting TimerExpired events"))
		}
	}
}

func (s *simulation) check() (err error) {
	for _, q := range s.requests {
		if row := s.rows[q.key]; row.Version != uint64(q.spec.version) {
			return fmt.Errorf("row %q: got version %d, want %d", q.key, row.Version, q.spec.version)
		}
		s.recordError(q.spec.check())
	}
	return s.err
}

// fingerprint returns the state as text. Nonces are numbered in order of appearance, so
// that states that differ only in their nonces are equal.
func (s *simulation) fingerprint() (text string) {
	names := make(map[Nonce]int)
	name := func(n Nonce) int {
		if _, found := names[n]; !found {
			names[n] = len(names)
		}
		return names[n]
	}
	var b strings.Builder
	batch := func(t *Batch) {
		fmt.Fprint(&b, "B", name(t.nonce), t.isRelease)
		for _, e := range t.entries {
			fmt.Fprint(&b, e.key[len(e.key)-2:], e.stage, e.claimVersion, e.releaseVersion, e.mustRead, e.pending)
		}
		if t.lost != nil {
			fmt.Fprint(&b, "R", name(t.lost.nonce))
		}
	}
	writes := func(ws []mesh.Write) {
		for _, x := range ws {
			r := ParseRecord(x.Value)
			fmt.Fprint(&b, "W", x.Key[len(x.Key)-2:], x.Version, r.Kind, name(r.Nonce))
		}
	}
	for _, q := range s.requests {
		r := ParseRecord(s.rows[q.key].Value)
		fmt.Fprint(&b, q.spec, r.Kind, name(r.Nonce))
	}
	for _, n := range s.nodes {
		fmt.Fprint(&b, "N", n.crashed, n.tracker.inFlight, len(n.tracker.granted))
		for _, key := range slices.Sorted(maps.Keys(n.tracker.entries)) {
			e := n.tracker.entries[key]
			fmt.Fprint(&b, "E", s.attempt(e.call).number, e.stage, e.claimVersion, e.releaseVersion, e.mustRead, e.pending)
			for _, t := range e.claimBatches {
				fmt.Fprint(&b, name(t.nonce), len(t.entries))
			}
		}
		for _, p := range n.tracker.probes {
			batch(p)
		}
		for _, job := range n.jobs {
			switch a := job.(type) {
			case Commit:
				batch(a.Batch)
				writes(a.Writes)
			case Fetch:
				batch(a.Batch)
			}
		}
	}
	for _, f := range s.delayed {
		writes(f)
	}
	for _, t := range s.attempts {
		fmt.Fprint(&b, t.arrived)
	}
	fmt.Fprint(&b, s.faults)
	return b.String()
}

// explore visits every reachable state, depth first, and checks it against the
// specification. Each visit replays its path of choices from the start.
func explore(t *testing.T, start func() *simulation) (states int) {
	t.Helper()
	seen := make(map[string]bool)
	var visit func(path []int) bool
	visit = func(path []int) (clean bool) {
		s := start()
		var names []string
		for _, i := range path {
			c := s.choices()[i]
			names = append(names, c.name)
			c.do()
			s.advanceTime()
			if err := s.check(); err != nil {
				t.Errorf("got %v, want only steps that the specification allows; after %s", err, strings.Join(names, "; "))
				return false
			}
		}
		state := s.fingerprint()
		if seen[state] {
			return true
		}
		seen[state] = true
		n := len(s.choices())
		if n == 0 {
			return s.checkTerminal(t, names)
		}
		for i := range n {
			if !visit(append(path, i)) {
				return false
			}
		}
		return true
	}
	visit(nil)
	return len(seen)
}

// checkTerminal checks that no attempt is unfinished in a state without further choices.
func (s *simulation) checkTerminal(t *testing.T, names []string) (clean bool) {
	for _, a := range s.attempts {
		if p := a.request.spec.phases[a.number]; a.arrived && (p == specWaiting || p == specReleasing) {
			t.Errorf("got attempt %d stuck in phase %d, want it granted, refused or released; after %s", a.number, p, strings.Join(names, "; "))
			return false
		}
	}
	return true
}

// TestExplore guards against a step of a tracker that the specification does not allow,
// and against an attempt that is never granted, refused or released.
func TestExplore(t *testing.T) {
	for _, c := range []struct {
		name            string
		requests, nodes int
		placement       []int
		faults          int
	}{
		{"one request, sent twice to one node and once to another", 1, 2, []int{0, 0, 1}, 1},
		{"one request at two nodes", 1, 2, []int{0, 1}, 2},
		{"one request at three nodes", 1, 3, []int{0, 1, 2}, 0},
		{"two requests in one batch at one node", 2, 1, []int{0}, 3},
		{"two requests in one batch at two nodes", 2, 2, []int{0, 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			faults := c.faults + *moreFaults
			states := explore(t, func() *simulation { return newSimulation(c.requests, c.nodes, c.placement, faults) })
			t.Logf("%d states", states)
		})
	}
}
