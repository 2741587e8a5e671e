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

// moreFaults widens the search. One more fault takes several minutes.
var moreFaults = flag.Int("more-faults", 0, "faults that TestExplore adds to each of its sizes")

// world runs Books against a platform whose every answer may be lost and whose
// every lost write may still take effect. A path of choices leads to one state.
type world struct {
	now      time.Time
	rows     map[string]mesh.Row
	version  uint64
	nodes    []*node
	floating [][]mesh.Write
	requests []*request
	attempts []*attempt
	faults   int
	nonces   byte
	writers  map[Nonce][]*attempt
	err      error
}

type node struct {
	book *Tracker
	jobs []Action
	dead bool
}

// request is one request id with its state in the specification.
type request struct {
	key  string
	spec specState
}

// attempt is one sending of a request to a node. Its index in the
// specification is number.
type attempt struct {
	request *request
	node    *node
	number  int
	call    *mesh.Call
	started bool
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

// newWorld sends requests one, two and so on, each once to each of the nodes
// in places.
func newWorld(requests int, nodes int, places []int, faults int) (w *world) {
	w = &world{now: exploreStart, rows: make(map[string]mesh.Row), faults: faults, writers: make(map[Nonce][]*attempt)}
	for range nodes {
		w.nodes = append(w.nodes, &node{book: New(func() Nonce { w.nonces++; return Nonce{w.nonces} })})
	}
	for r := range requests {
		q := &request{key: Key(testCall(byte(r))), spec: newSpec()}
		w.requests = append(w.requests, q)
		for i, place := range places {
			w.attempts = append(w.attempts, &attempt{request: q, node: w.nodes[place], number: i, call: testCall(byte(r))})
		}
	}
	return w
}

func (w *world) failed(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}

// step brings an event to a node and checks each of its actions.
func (w *world) step(n *node, event mesh.Event) {
	for _, a := range n.book.Step(w.now, event) {
		w.action(n, a)
	}
}

func (w *world) action(n *node, action Action) {
	switch a := action.(type) {
	case Grant:
		t := w.attempt(a.Call)
		w.failed(t.request.spec.grant(t.number))
	case Refuse:
		t := w.attempt(a.Call)
		if p := t.request.spec.phases[t.number]; p != specWaiting && p != specFreeing {
			w.failed(fmt.Errorf("attempt %d in phase %d is refused: %v", t.number, p, a.Refusal))
		}
		t.request.spec.phases[t.number] = specFreeing
		if e, found := n.book.entries[t.request.key]; !found || e.call != a.Call {
			w.failed(t.request.spec.freed(t.number))
		}
	case Released:
		t := w.attempt(a.Call)
		if t.request.spec.phases[t.number] != specFreed {
			w.failed(t.request.spec.freed(t.number))
		}
	case Commit:
		w.send(a)
		n.jobs = append(n.jobs, a)
	case Fetch:
		if a.Keys[0] == floorKey {
			w.step(n, ReadResult{Batch: a.Batch, Rows: []mesh.Row{{}}})
			return
		}
		n.jobs = append(n.jobs, a)
	}
}

func (w *world) attempt(c *mesh.Call) (t *attempt) {
	i := slices.IndexFunc(w.attempts, func(t *attempt) bool { return t.call == c })
	return w.attempts[i]
}

// send checks the writes of a transaction against the rules.
func (w *world) send(c Commit) {
	for i, write := range c.Writes {
		t := w.attempt(c.Batch.entries[i].call)
		w.writers[c.Batch.nonce] = append(w.writers[c.Batch.nonce], t)
		w.failed(t.request.spec.send(specOf(t, write)))
	}
}

func specOf(t *attempt, w mesh.Write) (s specWrite) {
	return specWrite{attempt: int8(t.number), kind: ParseRecord(w.Value).Kind, base: uint8(w.Version)}
}

// apply commits a transaction and returns the conflict. Versions count up in
// each row, as in the specification.
func (w *world) apply(writes []mesh.Write) (err error) {
	for _, write := range writes {
		if row := w.rows[write.Key]; row.Version != write.Version {
			row.Key = write.Key
			return &mesh.ConflictError{Current: row}
		}
	}
	for _, write := range writes {
		w.rows[write.Key] = mesh.Row{Key: write.Key, Value: write.Value, Version: write.Version + 1}
		for _, t := range w.writers[ParseRecord(write.Value).Nonce] {
			if t.request.key == write.Key {
				t.request.spec.land(specOf(t, write))
			}
		}
	}
	return nil
}

// settle takes a transaction from the list of those that may take effect.
func (w *world) settle(writes []mesh.Write) {
	for _, write := range writes {
		for _, t := range w.writers[ParseRecord(write.Value).Nonce] {
			if t.request.key != write.Key {
				continue
			}
			for i, f := range t.request.spec.floating {
				if f == specOf(t, write) {
					t.request.spec.floating[i] = specWrite{}
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

// choices returns what may happen next, in a fixed order.
func (w *world) choices() (list []choice) {
	add := func(do func(), format string, args ...any) {
		list = append(list, choice{name: fmt.Sprintf(format, args...), do: do})
	}
	w.arrivals(add)
	for i, n := range w.nodes {
		if n.dead {
			continue
		}
		for j, job := range n.jobs {
			w.answers(n, j, job, add)
		}
		if w.faults > 0 && n.book.Len() > 0 {
			add(func() { w.crash(n) }, "node %d crashes", i)
		}
	}
	for i, writes := range w.floating {
		add(func() {
			w.floating = slices.Delete(w.floating, i, i+1)
			w.settle(writes)
			_ = w.apply(writes)
		}, "late write %d takes effect", i)
	}
	return list
}

func (w *world) arrivals(add func(do func(), format string, args ...any)) {
	for i, t := range w.attempts {
		phase := t.request.spec.phases[t.number]
		switch {
		case t.node.dead:
		case !t.started && (i == 0 || w.attempts[i-1].started || w.attempts[i-1].request != t.request):
			add(func() {
				for _, u := range w.attempts {
					if u.number == t.number && u.node == t.node {
						u.started = true
						u.request.spec.phases[u.number] = specWaiting
						w.step(u.node, Acquire{Call: u.call, Retention: 24 * time.Hour})
					}
				}
			}, "attempt %d arrives", i)
		case phase == specHeld:
			add(func() { t.request.spec.phases[t.number] = specRan }, "attempt %d runs", i)
			add(func() { w.drop(t) }, "the target refuses attempt %d", i)
		case phase == specWaiting && t.started:
			add(func() { w.drop(t) }, "the caller of attempt %d leaves", i)
		}
	}
}

func (w *world) drop(t *attempt) {
	t.request.spec.phases[t.number] = specFreeing
	w.step(t.node, Release{Call: t.call})
}

func (w *world) crash(n *node) {
	w.faults--
	n.dead = true
	for _, job := range n.jobs {
		if c, isCommit := job.(Commit); isCommit {
			w.floating = append(w.floating, c.Writes)
		}
	}
	for _, t := range w.attempts {
		if p := &t.request.spec.phases[t.number]; t.node == n && *p == specHeld {
			*p = specRan
		} else if t.node == n && (*p == specWaiting || *p == specFreeing) {
			*p = specDead
		}
	}
}

// answers adds the ways in which a job of a node may end.
func (w *world) answers(n *node, j int, job Action, add func(do func(), format string, args ...any)) {
	end := func(event func() mesh.Event) func() {
		return func() {
			n.jobs = slices.Delete(n.jobs, j, j+1)
			w.step(n, event())
		}
	}
	switch a := job.(type) {
	case Commit:
		add(end(func() mesh.Event { w.settle(a.Writes); return CommitResult{Batch: a.Batch, Err: w.apply(a.Writes)} }), "write is answered")
		if w.faults > 0 {
			add(end(func() mesh.Event {
				w.faults--
				w.settle(a.Writes)
				_ = w.apply(a.Writes)
				return CommitResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable}
			}), "answer of a write is lost")
			add(end(func() mesh.Event {
				w.faults--
				w.floating = append(w.floating, a.Writes)
				return CommitResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable}
			}), "write is delayed")
			add(end(func() mesh.Event { w.faults--; w.settle(a.Writes); return Unsent{Batch: a.Batch} }), "write is not sent")
		}
	case Fetch:
		add(end(func() mesh.Event {
			seen := ReadResult{Batch: a.Batch}
			for _, key := range a.Keys {
				seen.Rows = append(seen.Rows, w.rows[key])
			}
			return seen
		}), "reading is answered")
		if w.faults > 0 {
			add(end(func() mesh.Event { w.faults--; return ReadResult{Batch: a.Batch, Err: mesh.ErrPlatformUnavailable} }), "reading fails")
		}
	}
}

// elapse moves time on until no book waits for it.
func (w *world) elapse() {
	for _, n := range w.nodes {
		for range 8 {
			at := n.book.Next()
			if n.dead || at.IsZero() {
				break
			}
			if at.After(w.now) {
				w.now = at
			}
			w.step(n, Elapsed{})
		}
		if !n.dead && !n.book.Next().IsZero() {
			w.failed(errors.New("a book asks for the time again and again"))
		}
	}
}

func (w *world) check() (err error) {
	for _, q := range w.requests {
		if row := w.rows[q.key]; row.Version != uint64(q.spec.version) {
			return fmt.Errorf("row %q: got version %d, want %d", q.key, row.Version, q.spec.version)
		}
		w.failed(q.spec.check())
	}
	return w.err
}

// print returns the state as text, with nonces numbered as they appear.
func (w *world) print() (text string) {
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
	for _, q := range w.requests {
		r := ParseRecord(w.rows[q.key].Value)
		fmt.Fprint(&b, q.spec, r.Kind, name(r.Nonce))
	}
	for _, n := range w.nodes {
		fmt.Fprint(&b, "N", n.dead, n.book.inFlight, len(n.book.granted))
		for _, key := range slices.Sorted(maps.Keys(n.book.entries)) {
			e := n.book.entries[key]
			fmt.Fprint(&b, "E", w.attempt(e.call).number, e.stage, e.claimVersion, e.releaseVersion, e.mustRead, e.pending)
			for _, t := range e.claimBatches {
				fmt.Fprint(&b, name(t.nonce), len(t.entries))
			}
		}
		for _, p := range n.book.probes {
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
	for _, f := range w.floating {
		writes(f)
	}
	for _, t := range w.attempts {
		fmt.Fprint(&b, t.started)
	}
	fmt.Fprint(&b, w.faults)
	return b.String()
}

// explore visits every state that a path of choices reaches.
func explore(t *testing.T, start func() *world) (states int) {
	t.Helper()
	seen := make(map[string]bool)
	var visit func(path []int) bool
	visit = func(path []int) (clean bool) {
		w := start()
		var names []string
		for _, i := range path {
			c := w.choices()[i]
			names = append(names, c.name)
			c.do()
			w.elapse()
			if err := w.check(); err != nil {
				t.Errorf("got %v, want each step within the rules; after %s", err, strings.Join(names, "; "))
				return false
			}
		}
		state := w.print()
		if seen[state] {
			return true
		}
		seen[state] = true
		n := len(w.choices())
		if n == 0 {
			return w.quiet(t, names)
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

// quiet checks a state in which nothing can happen any more.
func (w *world) quiet(t *testing.T, names []string) (clean bool) {
	for _, a := range w.attempts {
		if p := a.request.spec.phases[a.number]; a.started && (p == specWaiting || p == specFreeing) {
			t.Errorf("got attempt %d in phase %d for good, want an answer; after %s", a.number, p, strings.Join(names, "; "))
			return false
		}
	}
	return true
}

// TestExplore guards against a step of the book that the specification does not
// allow, and against an attempt that never gets an answer.
func TestExplore(t *testing.T) {
	for _, c := range []struct {
		name            string
		requests, nodes int
		places          []int
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
			states := explore(t, func() *world { return newWorld(c.requests, c.nodes, c.places, faults) })
			t.Logf("%d states.", states)
		})
	}
}
