package claim

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestMain fixes the seed of rapid, so that each run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is two books at one table. Each job takes effect at one moment and is
// answered at a later one, so a node may be paused in between.
type fleet struct {
	now   time.Time
	rows  map[string]mesh.Row
	books []*Tracker
	open  [][]Action
	late  [][]mesh.Event

	grants  map[mesh.RequestID]int
	deletes int
}

func (f *fleet) step(i int, event mesh.Event) {
	for _, a := range f.books[i].Step(f.now, event) {
		switch a := a.(type) {
		case Grant:
			f.grants[a.Call.ID]++
		case Commit, Fetch, List:
			f.open[i] = append(f.open[i], a)
		}
	}
}

// work lets a job of a node take effect.
func (f *fleet) work(t *rapid.T, i int) {
	if len(f.open[i]) == 0 {
		return
	}
	j := rapid.IntRange(0, len(f.open[i])-1).Draw(t, "job")
	job := f.open[i][j]
	f.open[i] = slices.Delete(f.open[i], j, j+1)
	var answer mesh.Event
	switch a := job.(type) {
	case Commit:
		answer = CommitResult{Batch: a.Batch, Err: f.commit(a.Writes)}
	case Fetch:
		seen := ReadResult{Batch: a.Batch}
		for _, key := range a.Keys {
			seen.Rows = append(seen.Rows, f.rows[key])
		}
		answer = seen
	case List:
		seen := ReadResult{Batch: a.Batch}
		for key, row := range f.rows {
			if strings.HasPrefix(key, a.Prefix) {
				seen.Rows = append(seen.Rows, row)
			}
		}
		slices.SortFunc(seen.Rows, func(a, b mesh.Row) int { return strings.Compare(a.Key, b.Key) })
		answer = seen
	}
	f.late[i] = append(f.late[i], answer)
}

func (f *fleet) commit(writes []mesh.Write) (err error) {
	for _, w := range writes {
		if row := f.rows[w.Key]; w.Condition != mesh.Always && row.Version != w.Version {
			row.Key = w.Key
			return &mesh.ConflictError{Current: row}
		}
	}
	for _, w := range writes {
		if w.Delete {
			f.deletes++
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: w.Version + 1}
	}
	return nil
}

func (f *fleet) answer(t *rapid.T, i int) {
	if len(f.late[i]) > 0 {
		j := rapid.IntRange(0, len(f.late[i])-1).Draw(t, "answer")
		event := f.late[i][j]
		f.late[i] = slices.Delete(f.late[i], j, j+1)
		f.step(i, event)
	}
}

// TestSweepAndResend guards against a resend that runs a request again because
// its row was deleted: claim-keep changes, nodes see it at different times, and
// each may be paused between any two steps.
func TestSweepAndResend(t *testing.T) {
	deletes := 0
	rapid.Check(t, func(t *rapid.T) {
		nonce := readyBook(exploreStart).nonce
		f := &fleet{
			now: exploreStart, rows: make(map[string]mesh.Row), grants: make(map[mesh.RequestID]int),
			books: []*Tracker{New(nonce), New(nonce)}, open: make([][]Action, 2), late: make([][]mesh.Event, 2),
		}
		var made []time.Time
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "seconds")) * time.Second)
				f.step(i, Elapsed{})
			case 1:
				if len(made) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
					made = append(made, f.now)
				}
				n := rapid.IntRange(0, len(made)-1).Draw(t, "request")
				c := numberedCall(uint32(n), made[n])
				c.Deadline = f.now.Add(24 * time.Hour)
				keep := time.Duration(rapid.SampledFrom([]int{1, 24}).Draw(t, "keep")) * time.Hour
				f.step(i, Acquire{Call: c, Retention: keep})
			case 2:
				f.work(t, i)
			default:
				f.work(t, i)
				f.answer(t, i)
			}
		}
		for id, n := range f.grants {
			if n > 1 {
				t.Fatalf("got request %v granted %d times, want once", id, n)
			}
		}
		deletes += f.deletes
	})
	if deletes == 0 {
		t.Error("got no row deleted in any case, want the sweep to run")
	}
	t.Logf("%d rows deleted.", deletes)
}
