package gather

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestMain fixes the seed of rapid, so that each run makes the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// absent returns a batch that claims absent rows.
func absent(keys ...string) (writes []mesh.Write) {
	for _, k := range keys {
		writes = append(writes, mesh.Write{Key: k, Condition: mesh.IfAbsent})
	}
	return writes
}

// many returns n keys that start with name.
func many(name string, n int) (keys []string) {
	for i := range n {
		keys = append(keys, fmt.Sprint(name, i))
	}
	return keys
}

// keysOf returns the keys of the commits among actions.
func keysOf(actions []Action) (keys [][]string) {
	for _, a := range actions {
		c, isCommit := a.(Commit)
		if !isCommit {
			continue
		}
		var transaction []string
		for _, w := range c.Writes {
			transaction = append(transaction, w.Key)
		}
		keys = append(keys, transaction)
	}
	return keys
}

// TestMerge guards against a transaction for each batch, one above the bound of
// the platform, and one that claims a row for two nodes.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name    string
		batches [][]mesh.Write
		want    []int
	}{
		{"small batches share", [][]mesh.Write{absent("a"), absent("b"), absent("c", "d")}, []int{4}},
		{"the bound holds", [][]mesh.Write{absent(many("a", 60)...), absent(many("b", 60)...), absent("c")}, []int{60, 61}},
		{"one row goes to one batch", [][]mesh.Write{absent("a", "b"), absent("b", "c"), absent("d")}, []int{3, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := New(), testStart
			var got []int
			var last Commit
			step := func(e mesh.Event) {
				for _, a := range s.Step(now, e) {
					if commit, isCommit := a.(Commit); isCommit {
						last = commit
						got = append(got, len(commit.Writes))
					}
				}
			}
			for i, b := range c.batches {
				step(Asked{Ticket: uint64(i), Writes: b})
			}
			now = now.Add(linger)
			step(Elapsed{})
			step(Committed{Transaction: last.Transaction})
			now = now.Add(spacing)
			step(Elapsed{})
			if !slices.Equal(got, c.want) {
				t.Errorf("got transactions of %v writes, want %v", got, c.want)
			}
		})
	}
}

// TestRefused guards against writes that may do harm when they are late, and
// against batches without bound.
func TestRefused(t *testing.T) {
	for name, writes := range map[string][]mesh.Write{
		"empty":         nil,
		"too long":      absent(many("a", MaxWrites+1)...),
		"a row twice":   absent("a", "a"),
		"unconditional": {{Key: "a", Delete: true}},
	} {
		got := New().Step(testStart, Asked{Ticket: 7, Writes: writes})
		if want := []Action{Answer{Ticket: 7, Err: ErrNotWritten}}; !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	s := New()
	for i := range 100 {
		s.Step(testStart, Asked{Ticket: uint64(i), Writes: absent(many(fmt.Sprint(i, "-"), MaxWrites)...)})
	}
	if got := size(s.waiting); got > maxWaiting {
		t.Errorf("got %d writes that wait, want at most %d", got, maxWaiting)
	}
}

// TestConflict guards against a conflict that fails the batches of other nodes.
func TestConflict(t *testing.T) {
	s := New()
	for i, key := range []string{"a", "b", "c"} {
		s.Step(testStart, Asked{Ticket: uint64(i), Writes: absent(key)})
	}
	now := testStart.Add(linger)
	s.Step(now, Elapsed{})
	conflict := &mesh.ConflictError{Current: mesh.Row{Key: "b", Version: 3}}
	actions := s.Step(now, Committed{Transaction: 1, Err: conflict})
	if want := (Answer{Ticket: 1, Err: conflict}); actions[0] != want {
		t.Errorf("got %v, want %v", actions[0], want)
	}
	if got, want := fmt.Sprint(keysOf(actions)), "[[a] [c]]"; got != want {
		t.Errorf("got %s written again, want %s", got, want)
	}
	strange := &mesh.ConflictError{Current: mesh.Row{Key: "x"}}
	actions = s.Step(now, Committed{Transaction: 2, Err: strange})
	if want := (Answer{Ticket: 0, Err: mesh.ErrPlatformUnavailable}); actions[0] != want {
		t.Errorf("conflict of a row that was not written: got %v, want %v", actions[0], want)
	}
}

// TestChoose guards against gatherers that are gone or of another zone, and
// against hosts that disagree about which one works.
func TestChoose(t *testing.T) {
	hosts := make(map[netip.AddrPort]mesh.Host)
	for i := range 40 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 80)
		hosts[addr] = mesh.Host{Addr: addr, Zone: mesh.ZoneName([]string{"a", "b"}[i%2]), State: mesh.HostAlive}
	}
	first := Choose("a", maps.All(hosts))
	gone := hosts[first[0]]
	gone.State = mesh.HostSuspect
	hosts[first[0]] = gone
	second := Choose("a", maps.All(hosts))
	if len(second) != gathererCount || slices.Contains(second, first[0]) || !slices.Equal(second[:2], first[1:]) {
		t.Errorf("got %v after %v, want the first replaced", second, first)
	}
	for range 20 {
		if got := Choose("a", maps.All(hosts)); !slices.Equal(got, second) {
			t.Errorf("got %v, want the order %v on every host", got, second)
		}
	}
}

// model plays the senders and the platform against a state.
type model struct {
	*rapid.T
	state *State
	now   time.Time
	next  uint64

	// asked holds the batches without an answer.
	asked map[uint64]*sent

	// inFlight holds the transactions at the platform, rows its table.
	inFlight map[uint64][]mesh.Write
	rows     map[string]uint64
}

// sent is a batch and what became of it.
type sent struct {
	writes []mesh.Write
	at     time.Time

	// written is true once all writes took effect, open once a transaction
	// with the batch ended without a definite outcome.
	written, open bool
}

// step plays an event and checks what comes of it.
func (m *model) step(e mesh.Event) {
	for _, a := range m.state.Step(m.now, e) {
		switch a := a.(type) {
		case Commit:
			m.commit(a)
		case Answer:
			m.answer(a)
		}
	}
	if n := len(m.inFlight); n > maxInFlight {
		m.Fatalf("got %d transactions at a time, want at most %d", n, maxInFlight)
	}
	if at := m.state.Next(); !at.IsZero() && !at.After(m.now) {
		m.Fatalf("got a wake at %v, which is not after %v", at, m.now)
	}
}

func (m *model) commit(c Commit) {
	keys, parts := make(map[string]bool), make(map[*sent]int)
	for _, w := range c.Writes {
		keys[w.Key] = true
		parts[m.asked[ticketOf(w)]]++
	}
	for b, n := range parts {
		if b == nil || n != len(b.writes) {
			m.Fatalf("got a batch without its whole in one transaction: %v", c.Writes)
		}
	}
	if len(keys) != len(c.Writes) || len(keys) > MaxWrites {
		m.Fatalf("got %d writes of %d rows, want at most %d, each row once", len(c.Writes), len(keys), MaxWrites)
	}
	m.inFlight[c.Transaction] = c.Writes
}

func (m *model) answer(a Answer) {
	b, waits := m.asked[a.Ticket]
	if !waits {
		m.Fatalf("got a second answer to batch %d, want one", a.Ticket)
	}
	delete(m.asked, a.Ticket)
	var conflict *mesh.ConflictError
	switch {
	case a.Err == nil && !b.written:
		m.Fatalf("batch %d is reported done, but was not written", a.Ticket)
	case errors.As(a.Err, &conflict) && (b.written || !(&batch{writes: b.writes}).has(conflict.Current.Key)):
		m.Fatalf("batch %d got the conflict of row %s", a.Ticket, conflict.Current.Key)
	case errors.Is(a.Err, ErrNotWritten) && (b.written || b.open):
		m.Fatalf("batch %d is reported as not written, but may have been", a.Ticket)
	}
}

// ask brings a batch of one to four writes under conditions that may not hold.
func (m *model) ask() {
	keys := rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 4, rapid.ID).Draw(m.T, "keys")
	var writes []mesh.Write
	for _, k := range keys {
		w := mesh.Write{Key: fmt.Sprint(k), Value: []byte(strconv.FormatUint(m.next+1, 10)), Condition: mesh.IfAbsent}
		if version := m.rows[w.Key]; version > 0 && rapid.IntRange(0, 3).Draw(m.T, "stale") > 0 {
			w.Condition, w.Version = mesh.IfVersion, version
		}
		writes = append(writes, w)
	}
	m.next++
	m.asked[m.next] = &sent{writes: writes, at: m.now}
	m.step(Asked{Ticket: m.next, Writes: writes})
}

// ticketOf returns the ticket of the batch that a write belongs to.
func ticketOf(w mesh.Write) (ticket uint64) {
	ticket, _ = strconv.ParseUint(string(w.Value), 10, 64)
	return ticket
}

// end finishes a transaction, whose answer may be lost or which may be unsent.
func (m *model) end() {
	number := rapid.SampledFrom(slices.Sorted(maps.Keys(m.inFlight))).Draw(m.T, "transaction")
	writes := m.inFlight[number]
	delete(m.inFlight, number)
	fate := rapid.SampledFrom([]string{"answered", "answered", "answered", "unsent", "lost", "late"}).Draw(m.T, "fate")
	if fate == "unsent" {
		m.step(Unsent{Transaction: number})
		return
	}
	var err error
	if fate != "late" {
		err = m.write(writes)
	}
	if fate != "answered" {
		for _, w := range writes {
			m.asked[ticketOf(w)].open = true
		}
		err = mesh.ErrPlatformUnavailable
	}
	m.step(Committed{Transaction: number, Err: err})
}

// write applies a transaction as a whole or not at all.
func (m *model) write(writes []mesh.Write) (err error) {
	for _, w := range writes {
		if m.rows[w.Key] != w.Version {
			return &mesh.ConflictError{Current: mesh.Row{Key: w.Key, Version: m.rows[w.Key]}}
		}
	}
	for _, w := range writes {
		m.rows[w.Key]++
		m.asked[ticketOf(w)].written = true
	}
	return nil
}

// elapse lets time pass, at most up to the next wake.
func (m *model) elapse() {
	to := m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(m.T, "ms")) * time.Millisecond)
	if at := m.state.Next(); !at.IsZero() && at.Before(to) {
		to = at
	}
	m.now = to
	m.step(Elapsed{})
	m.checkWait()
}

// checkWait fails when a batch that is in no transaction waits too long.
func (m *model) checkWait() {
	busy := make(map[uint64]bool)
	for _, writes := range m.inFlight {
		for _, w := range writes {
			busy[ticketOf(w)] = true
		}
	}
	for ticket, b := range m.asked {
		if !busy[ticket] && m.now.Sub(b.at) >= MaxWait {
			m.Fatalf("batch %d waits for %v, want less than %v", ticket, m.now.Sub(b.at), MaxWait)
		}
	}
}

// TestModel guards against a batch with no answer or two, one reported done that
// was not written, one reported as not written that may have been, one that
// fails by the conflict of another, and against waits and transactions without
// bound.
func TestModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{
			T: r, state: New(), now: testStart, asked: make(map[uint64]*sent),
			inFlight: make(map[uint64][]mesh.Write), rows: make(map[string]uint64),
		}
		for range rapid.IntRange(1, 100).Draw(r, "steps") {
			switch kind := rapid.IntRange(0, 3).Draw(r, "kind"); {
			case kind < 2:
				m.ask()
			case kind == 2 && len(m.inFlight) > 0:
				m.end()
			default:
				m.elapse()
			}
		}
		for range 1000 {
			if len(m.inFlight) > 0 {
				m.end()
			} else {
				m.elapse()
			}
		}
		if len(m.asked) != 0 {
			r.Fatalf("got %d batches without an answer, want none", len(m.asked))
		}
	})
}
