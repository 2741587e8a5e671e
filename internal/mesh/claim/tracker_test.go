package claim

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// readyTracker returns a tracker that has read the floor and uses sequential nonces.
func readyTracker(now time.Time) (tracker *Tracker) {
	var last uint64
	tracker = New(func() (n Nonce) {
		last++
		binary.BigEndian.PutUint64(n[:], last)
		return n
	})
	tracker.floor.update(now, now, mesh.Row{})
	return tracker
}

// numberedCall returns a call whose request id contains number and the creation time
// created.
func numberedCall(number uint32, created time.Time) (c *mesh.Call) {
	c = testCall(0)
	milliseconds := created.UnixMilli()
	for i := range 6 {
		c.ID[5-i] = byte(milliseconds >> (8 * i))
	}
	binary.BigEndian.PutUint32(c.ID[12:], number)
	return c
}

// acquireClaims requests the claims of n calls and returns the resulting actions.
func acquireClaims(tracker *Tracker, now time.Time, n int) (actions []Action) {
	for i := range n {
		actions = append(actions, tracker.Step(now, Acquire{Call: numberedCall(uint32(i), now), Retention: time.Hour})...)
	}
	return actions
}

// TestBatches guards against one transaction per claim, and against a claim that waits
// forever for its batch to fill.
func TestBatches(t *testing.T) {
	now := exploreStart
	tracker := readyTracker(now)
	actions := acquireClaims(tracker, now, MaxBatch+20)
	if len(actions) != 1 || len(actions[0].(Commit).Writes) != MaxBatch {
		t.Fatalf("got %d actions, want one transaction of %d writes", len(actions), MaxBatch)
	}
	if got, want := tracker.Next(), now.Add(batchDelay+busyBatchDelay); !got.Equal(want) {
		t.Fatalf("next: got %v, want %v", got, want)
	}
	actions = tracker.Step(now.Add(batchDelay), TimerExpired{})
	if len(actions) != 0 {
		t.Errorf("got %d actions, want a partial batch delayed while another is in flight", len(actions))
	}
	actions = tracker.Step(now.Add(batchDelay+busyBatchDelay), TimerExpired{})
	if len(actions) != 1 || len(actions[0].(Commit).Writes) != 20 {
		t.Errorf("got %d actions, want one transaction of 20 writes", len(actions))
	}
}

// TestConflictFailsOnlyItsClaim guards against a conflict on one row that causes the other
// claims of the batch to be refused, or to be retried in a transaction each.
func TestConflictFailsOnlyItsClaim(t *testing.T) {
	now := exploreStart
	tracker := readyTracker(now)
	pending := acquireClaims(tracker, now, MaxBatch)
	taken := pending[0].(Commit).Writes[37].Key
	other := mesh.Row{Key: taken, Value: Record{Kind: Claimed, Nonce: Nonce{0xff}}.Value(), Version: 9}
	granted, refused, transactions := 0, 0, 0
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
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
			pending = append(pending, tracker.Step(now, CommitResult{Batch: a.Batch, Err: err})...)
		}
	}
	if granted != MaxBatch-1 || refused != 1 || transactions != 3 {
		t.Errorf("got %d granted, %d refused, %d transactions, want %d, 1, 3", granted, refused, transactions, MaxBatch-1)
	}
}

// TestKeyBindsClaim guards against an organisation that claims the request ids of another,
// and against a target's nested call with the same request id that is mistaken for a retry
// of the request that caused it.
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
			t.Errorf("got %q twice, want a different key", Key(&other))
		}
		seen[Key(&other)] = true
	}
}

// TestAges guards against accepting ids whose rows may have been deleted, and ids from the
// future, whose rows would be kept longer than claim-keep.
func TestAges(t *testing.T) {
	now := exploreStart
	for _, c := range []struct {
		created time.Time
		want    header.RefusalCode
	}{
		{now.Add(-time.Hour - time.Millisecond), header.RequestIDExpired},
		{now.Add(maxClockSkew + time.Millisecond), header.RequestIDMalformed},
		{now.Add(-time.Hour), ""},
		{now.Add(maxClockSkew), ""},
	} {
		got := header.RefusalCode("")
		for _, a := range readyTracker(now).Step(now, Acquire{Call: numberedCall(1, c.created), Retention: time.Hour}) {
			if r, refused := a.(Refuse); refused {
				got = r.Refusal.Code
			}
		}
		if got != c.want {
			t.Errorf("id created %v from now: got %q, want %q", c.created.Sub(now), got, c.want)
		}
	}
}

// TestPlatformDown guards against claims that occupy concurrency slots of their targets
// while the platform is down, and against a request that runs although its claim was not
// written.
func TestPlatformDown(t *testing.T) {
	now := exploreStart
	tracker := readyTracker(now)
	commit := acquireClaims(tracker, now, MaxBatch)[0].(Commit)
	probe := tracker.Step(now, CommitResult{Batch: commit.Batch, Err: mesh.ErrPlatformUnavailable})[0].(Fetch)
	refused := 0
	for _, a := range tracker.Step(now, ReadResult{Batch: probe.Batch, Err: mesh.ErrPlatformUnavailable}) {
		if r, found := a.(Refuse); found && r.Refusal.Outcome == header.NotRun {
			refused++
		}
	}
	if refused != MaxBatch {
		t.Errorf("got %d refused as not run, want %d", refused, MaxBatch)
	}
	actions := tracker.Step(now, Acquire{Call: numberedCall(999, now), Retention: time.Hour})
	if r, found := actions[0].(Refuse); !found || r.Refusal.Outcome != header.NotRun {
		t.Errorf("next claim: got %v, want it refused as not run", actions)
	}
	now = now.Add(minBackoff)
	if got := tracker.Next(); !got.Equal(now) {
		t.Errorf("next: got %v, want %v", got, now)
	}
	tracker.Step(now, Acquire{Call: numberedCall(1000, now), Retention: time.Hour})
	if actions := tracker.Step(now.Add(batchDelay), TimerExpired{}); len(actions) != 0 || !tracker.Next().IsZero() {
		t.Errorf("while the platform is probed: got %v and next %v, want no actions and no timer", actions, tracker.Next())
	}
}

// TestStaleFloorStopsGrants guards against a node that was paused and then grants an id
// whose row has been deleted in the meantime.
func TestStaleFloorStopsGrants(t *testing.T) {
	now := exploreStart
	tracker := readyTracker(now)
	commit := acquireClaims(tracker, now, MaxBatch)[0].(Commit)
	for _, a := range tracker.Step(now.Add(floorLead), CommitResult{Batch: commit.Batch}) {
		if _, granted := a.(Grant); granted {
			t.Fatal("got a grant, want none when the last read of the floor is too old")
		}
	}
}

// fakeTable is an in-memory table service. floor is the value of the floor row and
// announced the time when it was written.
type fakeTable struct {
	rows      map[string]mesh.Row
	floor     time.Time
	announced time.Time
	deletes   int
}

// serve performs the pending actions and all that follow from them.
func (p *fakeTable) serve(t *testing.T, tracker *Tracker, now time.Time, pending []Action) {
	t.Helper()
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		switch a := a.(type) {
		case Commit:
			p.commit(t, now, a.Writes)
			pending = append(pending, tracker.Step(now, CommitResult{Batch: a.Batch})...)
		case Fetch:
			pending = append(pending, tracker.Step(now, ReadResult{Batch: a.Batch, Rows: []mesh.Row{p.rows[a.Keys[0]]}})...)
		case List:
			var page []mesh.Row
			for key, row := range p.rows {
				if key != floorKey {
					page = append(page, row)
				}
			}
			pending = append(pending, tracker.Step(now, ReadResult{Batch: a.Batch, Rows: page})...)
		}
	}
}

func (p *fakeTable) commit(t *testing.T, now time.Time, writes []mesh.Write) {
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

// TestSweep guards against expired rows that are never deleted, rows that are deleted
// while a node may still accept their ids, and an expiry that costs more than about one
// transaction per hundred rows.
func TestSweep(t *testing.T) {
	const oldRows = 1000
	now := exploreStart
	tracker := New(readyTracker(now).nonce)
	p := &fakeTable{rows: make(map[string]mesh.Row)}
	for i := range uint32(oldRows) {
		key := Key(numberedCall(i, now))
		p.rows[key] = mesh.Row{Key: key, Version: 1}
	}
	for i := uint32(oldRows); now.Before(exploreStart.Add(4 * time.Hour)); i++ {
		pending := tracker.Step(now, Acquire{Call: numberedCall(i, now), Retention: time.Hour})
		pending = append(pending, tracker.Step(now.Add(batchDelay), TimerExpired{})...)
		p.serve(t, tracker, now, pending)
		now = now.Add(floorLead / 2)
	}
	for i := range uint32(oldRows) {
		if _, found := p.rows[Key(numberedCall(i, exploreStart))]; found {
			t.Fatal("got an expired row, want it deleted")
		}
	}
	if _, found := p.rows[Key(numberedCall(oldRows+23, now.Add(-floorLead/2)))]; !found {
		t.Error("got the newest row deleted, want it kept")
	}
	if want := oldRows/MaxBatch + 8; p.deletes > want {
		t.Errorf("got %d delete transactions, want at most %d", p.deletes, want)
	}
}

// BenchmarkBook measures a Tracker without I/O, with full batches.
func BenchmarkBook(b *testing.B) {
	now := exploreStart
	tracker := readyTracker(now)
	calls := make([]*mesh.Call, b.N)
	for i := range calls {
		calls[i] = numberedCall(uint32(i), now)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, c := range calls {
		for _, a := range tracker.Step(now, Acquire{Call: c, Retention: time.Hour}) {
			if commit, found := a.(Commit); found {
				tracker.Step(now, CommitResult{Batch: commit.Batch})
			}
		}
	}
}
