package claim

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// readyBook returns a book that has read the floor and counts its nonces.
func readyBook(now time.Time) (b *Tracker) {
	var last uint64
	b = New(func() (n Nonce) {
		last++
		binary.BigEndian.PutUint64(n[:], last)
		return n
	})
	b.floor.update(now, now, mesh.Row{})
	return b
}

// numberedCall returns a call with its own id, made at made.
func numberedCall(number uint32, made time.Time) (c *mesh.Call) {
	c = testCall(0)
	milliseconds := made.UnixMilli()
	for i := range 6 {
		c.ID[5-i] = byte(milliseconds >> (8 * i))
	}
	binary.BigEndian.PutUint32(c.ID[12:], number)
	return c
}

// want brings n calls to the book and returns what it does.
func want(b *Tracker, now time.Time, n int) (actions []Action) {
	for i := range n {
		actions = append(actions, b.Step(now, Acquire{Call: numberedCall(uint32(i), now), Retention: time.Hour})...)
	}
	return actions
}

// TestBatches guards against claims that each cost a transaction, and against
// one that waits without end for others.
func TestBatches(t *testing.T) {
	now := exploreStart
	b := readyBook(now)
	actions := want(b, now, MaxBatch+20)
	if len(actions) != 1 || len(actions[0].(Commit).Writes) != MaxBatch {
		t.Fatalf("got %d actions, want one transaction of %d writes", len(actions), MaxBatch)
	}
	if got, want := b.Next(), now.Add(batchDelay+busyBatchDelay); !got.Equal(want) {
		t.Fatalf("next: got %v, want %v", got, want)
	}
	actions = b.Step(now.Add(batchDelay), Elapsed{})
	if len(actions) != 0 {
		t.Errorf("got %d actions, want a short batch to wait for the one before", len(actions))
	}
	actions = b.Step(now.Add(batchDelay+busyBatchDelay), Elapsed{})
	if len(actions) != 1 || len(actions[0].(Commit).Writes) != 20 {
		t.Errorf("got %d actions, want one transaction of 20 writes", len(actions))
	}
}

// TestConflictFailsOnlyItsClaim guards against a conflict that refuses the
// other claims of its batch, or that costs a transaction for each of them.
func TestConflictFailsOnlyItsClaim(t *testing.T) {
	now := exploreStart
	b := readyBook(now)
	open := want(b, now, MaxBatch)
	taken := open[0].(Commit).Writes[37].Key
	other := mesh.Row{Key: taken, Value: Record{Kind: Claimed, Nonce: Nonce{0xff}}.Value(), Version: 9}
	granted, refused, transactions := 0, 0, 0
	for len(open) > 0 {
		a := open[0]
		open = open[1:]
		switch a := a.(type) {
		case Grant:
			granted++
		case Refuse:
			refused++
			if got := a.Refusal; got.Outcome != header.Unknown || got.Code != header.AlreadyClaimed {
				t.Errorf("got %v, want an unknown outcome, already claimed", got)
			}
		case Commit:
			transactions++
			var err error
			for _, w := range a.Writes {
				if w.Key == taken {
					err = &mesh.ConflictError{Current: other}
				}
			}
			open = append(open, b.Step(now, CommitResult{Batch: a.Batch, Err: err})...)
		}
	}
	if granted != MaxBatch-1 || refused != 1 || transactions != 3 {
		t.Errorf("got %d granted, %d refused, %d transactions, want %d, 1, 3", granted, refused, transactions, MaxBatch-1)
	}
}

// TestKeyBindsClaim guards against an organisation that claims the request ids
// of another, and against a target whose own deeper call is taken for a resend.
func TestKeyBindsClaim(t *testing.T) {
	c := testCall(1)
	seen := map[string]bool{Key(c): true}
	for _, change := range []func(c *mesh.Call){
		func(c *mesh.Call) { c.Organisation = "other" },
		func(c *mesh.Call) { c.Organisation = "org/ledger" },
		func(c *mesh.Call) { c.Route = &mesh.Route{Service: "settlement"} },
		func(c *mesh.Call) { c.ID[15]++ },
	} {
		other := *c
		change(&other)
		if seen[Key(&other)] {
			t.Errorf("got %q twice, want a key of its own", Key(&other))
		}
		seen[Key(&other)] = true
	}
}

// TestAges guards against ids whose rows may be gone, and against ids from the
// future, which would keep their rows longer than claim-keep.
func TestAges(t *testing.T) {
	now := exploreStart
	for _, c := range []struct {
		made time.Time
		want header.RefusalCode
	}{
		{now.Add(-time.Hour - time.Millisecond), header.RequestIDExpired},
		{now.Add(maxClockSkew + time.Millisecond), header.RequestIDMalformed},
		{now.Add(-time.Hour), ""},
		{now.Add(maxClockSkew), ""},
	} {
		got := header.RefusalCode("")
		for _, a := range readyBook(now).Step(now, Acquire{Call: numberedCall(1, c.made), Retention: time.Hour}) {
			if r, refused := a.(Refuse); refused {
				got = r.Refusal.Code
			}
		}
		if got != c.want {
			t.Errorf("id made %v from now: got %q, want %q", c.made.Sub(now), got, c.want)
		}
	}
}

// TestPlatformDown guards against claims that hold slots of their targets while
// the platform is down, and against a run without a recorded claim.
func TestPlatformDown(t *testing.T) {
	now := exploreStart
	b := readyBook(now)
	commit := want(b, now, MaxBatch)[0].(Commit)
	probe := b.Step(now, CommitResult{Batch: commit.Batch, Err: mesh.ErrPlatformUnavailable})[0].(Fetch)
	refused := 0
	for _, a := range b.Step(now, ReadResult{Batch: probe.Batch, Err: mesh.ErrPlatformUnavailable}) {
		if r, found := a.(Refuse); found && r.Refusal.Outcome == header.NotRun {
			refused++
		}
	}
	if refused != MaxBatch {
		t.Errorf("got %d refused as not run, want %d", refused, MaxBatch)
	}
	actions := b.Step(now, Acquire{Call: numberedCall(999, now), Retention: time.Hour})
	if r, found := actions[0].(Refuse); !found || r.Refusal.Outcome != header.NotRun {
		t.Errorf("next claim: got %v, want it refused as not run", actions)
	}
	now = now.Add(minBackoff)
	if got := b.Next(); !got.Equal(now) {
		t.Errorf("next: got %v, want %v", got, now)
	}
	b.Step(now, Acquire{Call: numberedCall(1000, now), Retention: time.Hour})
	if actions := b.Step(now.Add(batchDelay), Elapsed{}); len(actions) != 0 || !b.Next().IsZero() {
		t.Errorf("while the platform is probed: got %v and next %v, want nothing", actions, b.Next())
	}
}

// TestStaleFloorStopsGrants guards against a paused node that claims an id
// whose row was deleted meanwhile.
func TestStaleFloorStopsGrants(t *testing.T) {
	now := exploreStart
	b := readyBook(now)
	commit := want(b, now, MaxBatch)[0].(Commit)
	for _, a := range b.Step(now.Add(floorLead), CommitResult{Batch: commit.Batch}) {
		if _, granted := a.(Grant); granted {
			t.Fatal("got a grant, want none after the reading of the floor is too old")
		}
	}
}

// table answers a book. Floor is the row's floor and announced when it was
// written.
type table struct {
	rows      map[string]mesh.Row
	floor     time.Time
	announced time.Time
	deletes   int
}

// serve answers everything that the book asks until it is idle.
func (p *table) serve(t *testing.T, b *Tracker, now time.Time, open []Action) {
	t.Helper()
	for len(open) > 0 {
		a := open[0]
		open = open[1:]
		switch a := a.(type) {
		case Commit:
			p.commit(t, now, a.Writes)
			open = append(open, b.Step(now, CommitResult{Batch: a.Batch})...)
		case Fetch:
			open = append(open, b.Step(now, ReadResult{Batch: a.Batch, Rows: []mesh.Row{p.rows[a.Keys[0]]}})...)
		case List:
			var page []mesh.Row
			for key, row := range p.rows {
				if key != floorKey {
					page = append(page, row)
				}
			}
			open = append(open, b.Step(now, ReadResult{Batch: a.Batch, Rows: page})...)
		}
	}
}

func (p *table) commit(t *testing.T, now time.Time, writes []mesh.Write) {
	t.Helper()
	if writes[0].Delete {
		p.deletes++
	}
	for _, w := range writes {
		if w.Key == floorKey {
			p.floor, p.announced = parseFloor(w.Value), now
		}
		if !w.Delete {
			p.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: p.rows[w.Key].Version + 1}
			continue
		}
		if !belowFloor(w.Key, p.floor) || now.Sub(p.announced) < floorLead {
			t.Fatalf("got %q deleted at %v, want only rows below a floor announced for %v", w.Key, now, floorLead)
		}
		delete(p.rows, w.Key)
	}
}

// TestSweep guards against rows that stay for ever, rows that go while a node
// may still accept their ids, and an expiry that costs more than one write for
// each hundred rows.
func TestSweep(t *testing.T) {
	const old = 1000
	now := exploreStart
	b := New(readyBook(now).nonce)
	p := &table{rows: make(map[string]mesh.Row)}
	for i := range uint32(old) {
		key := Key(numberedCall(i, now))
		p.rows[key] = mesh.Row{Key: key, Version: 1}
	}
	for i := uint32(old); now.Before(exploreStart.Add(4 * time.Hour)); i++ {
		open := b.Step(now, Acquire{Call: numberedCall(i, now), Retention: time.Hour})
		open = append(open, b.Step(now.Add(batchDelay), Elapsed{})...)
		p.serve(t, b, now, open)
		now = now.Add(floorLead / 2)
	}
	for i := range uint32(old) {
		if _, found := p.rows[Key(numberedCall(i, exploreStart))]; found {
			t.Fatal("got an old row left, want it deleted")
		}
	}
	if _, found := p.rows[Key(numberedCall(old+23, now.Add(-floorLead/2)))]; !found {
		t.Error("got the newest row deleted, want it kept")
	}
	if want := old/MaxBatch + 8; p.deletes > want {
		t.Errorf("got %d transactions that delete, want at most %d", p.deletes, want)
	}
}

// BenchmarkBook measures the book alone, with full batches.
func BenchmarkBook(b *testing.B) {
	now := exploreStart
	book := readyBook(now)
	calls := make([]*mesh.Call, b.N)
	for i := range calls {
		calls[i] = numberedCall(uint32(i), now)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, c := range calls {
		for _, a := range book.Step(now, Acquire{Call: c, Retention: time.Hour}) {
			if commit, found := a.(Commit); found {
				book.Step(now, CommitResult{Batch: commit.Batch})
			}
		}
	}
}
