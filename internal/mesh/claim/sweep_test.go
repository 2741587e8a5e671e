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

// TestMain sets a fixed seed for rapid, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is two trackers that share a table. A job is applied in one step and its result is
// delivered in a later one, which simulates a node that is paused in between.
type fleet struct {
	now      time.Time
	rows     map[string]mesh.Row
	trackers []*Tracker
	jobs     [][]Action
	answers  [][]mesh.Event

	grants  map[mesh.RequestID]int
	deletes int
}

func (f *fleet) step(i int, event mesh.Event) {
	for _, a := range f.trackers[i].Step(f.now, event) {
		switch a := a.(type) {
		case Grant:
			f.grants[a.Call.ID]++
		case Commit, Fetch, List:
			f.jobs[i] = append(f.jobs[i], a)
		}
	}
}

// applyJob applies a job of a node.
func (f *fleet) applyJob(t *rapid.T, i int) {
	if len(f.jobs[i]) == 0 {
		return
	}
	j := rapid.IntRange(0, len(f.jobs[i])-1).Draw(t, "job")
	job := f.jobs[i][j]
	f.jobs[i] = slices.Delete(f.jobs[i], j, j+1)
	var answer mesh.Event
	switch a := job.(type) {
	case Commit:
		answer = CommitResult{Batch: a.Batch, Err: f.commit(a.Writes)}
	case Fetch:
		result := ReadResult{Batch: a.Batch}
		for _, key := range a.Keys {
			result.Rows = append(result.Rows, f.rows[key])
		}
		answer = result
	case List:
		result := ReadResult{Batch: a.Batch}
		for key, row := range f.rows {
			if strings.HasPrefix(key, a.Prefix) {
				result.Rows = append(result.Rows, row)
			}
		}
		slices.SortFunc(result.Rows, func(a, b mesh.Row) int { return strings.Compare(a.Key, b.Key) })
		answer = result
	}
	f.answers[i] = append(f.answers[i], answer)
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

func (f *fleet) deliverAnswer(t *rapid.T, i int) {
	if len(f.answers[i]) > 0 {
		j := rapid.IntRange(0, len(f.answers[i])-1).Draw(t, "answer")
		event := f.answers[i][j]
		f.answers[i] = slices.Delete(f.answers[i], j, j+1)
		f.step(i, event)
	}
}

// TestSweepAndResend guards against a retry that runs a request again because its row was
// deleted. This may happen when claim-keep changes, nodes see the change at different
// times, and a node is paused between any two steps.
func TestSweepAndResend(t *testing.T) {
	deletes := 0
	rapid.Check(t, func(t *rapid.T) {
		nonce := readyTracker(exploreStart).nonce
		f := &fleet{
			now: exploreStart, rows: make(map[string]mesh.Row), grants: make(map[mesh.RequestID]int),
			trackers: []*Tracker{New(nonce), New(nonce)}, jobs: make([][]Action, 2), answers: make([][]mesh.Event, 2),
		}
		var created []time.Time
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "seconds")) * time.Second)
				f.step(i, TimerExpired{})
			case 1:
				if len(created) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
					created = append(created, f.now)
				}
				n := rapid.IntRange(0, len(created)-1).Draw(t, "request")
				c := numberedCall(uint32(n), created[n])
				c.Deadline = f.now.Add(24 * time.Hour)
				retention := time.Duration(rapid.SampledFrom([]int{1, 24}).Draw(t, "keep")) * time.Hour
				f.step(i, Acquire{Call: c, Retention: retention})
			case 2:
				f.applyJob(t, i)
			default:
				f.applyJob(t, i)
				f.deliverAnswer(t, i)
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
		t.Error("got no rows deleted in any case, want the sweep to run")
	}
	t.Logf("%d rows deleted", deletes)
}
