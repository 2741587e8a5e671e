package admin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

// lostCommit is a platform that loses the answer of one commit. It calls then before
// the commit returns, so that another operator can commit the next version first.
type lostCommit struct {
	mesh.Platform
	then func()
}

func (p *lostCommit) Commit(ctx context.Context, writes []mesh.Write) (err error) {
	err = p.Platform.Commit(ctx, writes)
	if p.then == nil {
		return err
	}
	p.then()
	p.then = nil
	return mesh.ErrPlatformUnavailable
}

// TestLostAnswer guards against a change that is reported as failed although it was
// committed. The answer to the commit is lost, and another operator commits the next
// version before the retry.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := stub.New(), t.Context()
		p := &lostCommit{Platform: s, then: func() {
			if _, err := PutSettings(ctx, s, "bob", treeText(2)); err != nil {
				t.Fatal(err)
			}
		}}
		head, err := PutSettings(ctx, p, "ann", treeText(1))
		if err != nil || head.Version != 1 {
			t.Errorf("got %+v and %v, want version 1", head, err)
		}
		heads, err := History(ctx, s, 10)
		if err != nil || len(heads) != 2 || heads[0].By != "bob" || heads[1].By != "ann" {
			t.Errorf("history: got %+v and %v, want bob's version on top of ann's", heads, err)
		}
	})
}

// TestLateWrite guards against a delayed write that takes effect after its retry has
// been committed and the operator has made another change.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := stub.New(), t.Context()
		p := &lostCommit{Platform: s, then: func() {}}
		s.SetFaults(stub.Faults{LateWrites: 1, LateBy: time.Minute, Every: 3})
		head, err := PutSettings(ctx, p, "ann", treeText(1))
		if err != nil || head.Version != 1 {
			t.Fatalf("got %+v and %v, want version 1", head, err)
		}
		if head, err = PutSettings(ctx, s, "ann", treeText(2)); err != nil || head.Version != 2 {
			t.Fatalf("got %+v and %v, want version 2", head, err)
		}
		time.Sleep(time.Hour)
		if got, err := ReadHead(ctx, s); err != nil || got.Nonce != head.Nonce {
			t.Errorf("after the late write: got %+v and %v, want %+v", got, err, head)
		}
	})
}

// TestConflicts guards against a settings tree that overwrites the tree of another
// operator, and against key changes that conflict with unrelated changes.
func TestConflicts(t *testing.T) {
	s, ctx := stub.New(), t.Context()
	must := func(head Head, err error) (version uint64) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return head.Version
	}
	hash := mesh.HashKey("k")
	base := must(PutSettings(ctx, s, "ann", treeText(1)))
	must(AddKey(ctx, s, "bob", "o", hash))
	if got := must(PutSettings(ctx, s, "ann", treeText(2), WithBase(base))); got != 3 {
		t.Errorf("after a key was added: got version %d, want 3", got)
	}
	_, err := PutSettings(ctx, s, "bob", treeText(3), WithBase(base))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Winner.By != "ann" || conflict.Winner.Version != 3 {
		t.Errorf("after another tree: got %v, want a conflict with ann's version 3", err)
	}
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"base from the future", errorOf(PutSettings(ctx, s, "bob", treeText(3), WithBase(9))), "the newest version is 3"},
		{"organisation with keys", errorOf(PutSettings(ctx, s, "bob", []byte("zones: {a: {region: r}}"))), `"o" is not in the tree but has 1 keys`},
		{"refused tree", errorOf(PutSettings(ctx, s, "bob", []byte("zones: {a: {}}"))), "region: is missing"},
		{"key of nobody", errorOf(AddKey(ctx, s, "bob", "x", mesh.HashKey("2"))), `organisation "x" is not in the settings tree`},
		{"key given twice", errorOf(AddKey(ctx, s, "bob", "o", hash)), ErrKeyExists.Error()},
		{"unknown key", errorOf(WithdrawKey(ctx, s, "bob", mesh.HashKey("2"))), ErrKeyUnknown.Error()},
	} {
		if c.err == nil || !strings.Contains(c.err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, c.err, c.want)
		}
	}
	if got := must(ReadHead(ctx, s)); got != 3 {
		t.Errorf("after refusals: got version %d, want 3", got)
	}
	if got := must(WithdrawKey(ctx, s, "bob", hash)); got != 4 {
		t.Errorf("withdrawal: got version %d, want 4", got)
	}
	if got := must(WithdrawKey(ctx, s, "bob", hash)); got != 4 {
		t.Errorf("second withdrawal: got version %d, want 4", got)
	}
}

func errorOf(_ Head, err error) error { return err }

// TestProgress guards against a version that is reported as in force in a zone before
// all of its hosts have acknowledged it.
func TestProgress(t *testing.T) {
	reports := map[mesh.ZoneName]ZoneReport{
		"a": {Hosts: 2, InForce: 5, Newest: 5},
		"b": {Hosts: 2, InForce: 4, Newest: 5, Pending: 1},
		"c": {Hosts: 2, InForce: 6, Newest: 6},
		"d": {Hosts: 0, InForce: 9},
	}
	p := NewProgress(5, []mesh.ZoneName{"a", "e"}, reports)
	want := map[mesh.ZoneName]bool{"a": true, "b": false, "c": true, "d": false, "e": false}
	for _, z := range p.Zones {
		if z.InForce != want[z.Zone] {
			t.Errorf("zone %s: got in force=%t, want %t", z.Zone, z.InForce, want[z.Zone])
		}
	}
	if len(p.Zones) != len(want) || !p.Pending() {
		t.Errorf("got %+v, want %d zones, some pending", p, len(want))
	}
	if !NewProgress(5, nil, nil).Pending() {
		t.Error("no zones: got in force, want pending")
	}
}

// TestRemovedZones guards against a removed zone that stays pending forever, and
// against one that is left out while its hosts may still accept API keys.
func TestRemovedZones(t *testing.T) {
	now := time.Now()
	x := (&tree.Tree{Zones: map[mesh.ZoneName]tree.Zone{"a": {}}}).Index("")
	reports := map[mesh.ZoneName]ZoneReport{
		"a": {At: now.Add(-time.Hour)},
		"b": {At: now.Add(-time.Hour)},
		"c": {At: now.Add(-14 * time.Minute)},
	}
	dropRemoved(now, reports, x)
	if got := slices.Sorted(maps.Keys(reports)); !slices.Equal(got, []mesh.ZoneName{"a", "c"}) {
		t.Errorf("got %v, want a, which is in the tree, and c, within key-grace", got)
	}
}

// TestAwait guards against a wait that exceeds its limit and against one that ends
// before the version is in force.
func TestAwait(t *testing.T) {
	for _, c := range []struct {
		name    string
		inForce time.Duration
		wait    time.Duration
		took    time.Duration
		pending bool
	}{
		{"in time", 3 * time.Second, 17 * time.Second, 3 * time.Second, false},
		{"too late", time.Minute, 17 * time.Second, 17 * time.Second, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, ctx := stub.New(), t.Context()
			if _, err := PutSettings(ctx, s, "ann", treeText(1)); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(c.inForce, func() {
				_ = s.Commit(ctx, []mesh.Write{{Key: ZoneKey("a"), Value: []byte(`{"zone":"a","in-force":1,"hosts":1}`)}})
			})
			started := time.Now()
			p, err := AwaitRollout(ctx, s, 1, c.wait)
			if err != nil || p.Pending() != c.pending {
				t.Errorf("%s: got %+v and %v, want pending=%t", c.name, p, err, c.pending)
			}
			if took := time.Since(started); took > c.wait || took < c.took-time.Second {
				t.Errorf("%s: waited %v, want about %v", c.name, took, c.took)
			}
			time.Sleep(time.Hour)
		})
	}
}
