package node

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// memoryTable is an in-memory table that can lose the request or the answer of a commit.
type memoryTable struct {
	mesh.Platform
	rows     map[string]mesh.Row
	sequence uint64

	// loseAnswer makes the next commit fail after it was applied, and loseRequest
	// before.
	loseAnswer, loseRequest bool
}

func (p *memoryTable) Read(_ context.Context, key string) (row mesh.Row, found bool, err error) {
	row, found = p.rows[key]
	return row, found, nil
}

func (p *memoryTable) Commit(_ context.Context, writes []mesh.Write) (err error) {
	w, row := writes[0], p.rows[writes[0].Key]
	if p.loseRequest {
		p.loseRequest = false
		return mesh.ErrPlatformUnavailable
	}
	if w.Condition == mesh.IfAbsent && row.Version > 0 || w.Condition == mesh.IfVersion && row.Version != w.Version {
		return &mesh.ConflictError{Current: row}
	}
	p.sequence++
	p.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: p.sequence}
	if p.loseAnswer {
		p.loseAnswer = false
		return mesh.ErrPlatformUnavailable
	}
	return nil
}

func testProcess(port uint16) (h share.Process) {
	return share.Process{Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Incarnation: 7}
}

// TestIssueSurvivesLostAnswers guards against an issue of a share that is counted as
// written although it was not, or the reverse, after a failed commit.
func TestIssueSurvivesLostAnswers(t *testing.T) {
	contract := share.Allowance{Rate: 10 * share.One, Capacity: 10 * share.One}
	for _, c := range []struct {
		name    string
		table   memoryTable
		written bool
	}{
		{name: "answered", written: true},
		{name: "lost after the write", table: memoryTable{loseAnswer: true}, written: true},
		{name: "lost before the write", table: memoryTable{loseRequest: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.table.rows = make(map[string]mesh.Row)
			root := testProcess(1)
			job := issueShare{issue: share.Issue{Organisation: "acme", Change: share.Change{
				Root: root, Owner: root.Addr, Want: contract, New: true, Contract: contract, SizedFor: contract,
			}}}
			issued, err := job.changeOnce(t.Context(), &c.table, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			var stored share.Row
			if row := c.table.rows[shareKey("acme")]; row.Value != nil {
				if err := json.Unmarshal(row.Value, &stored); err != nil {
					t.Fatal(err)
				}
			}
			if _, got := stored.Find(root); got != c.written {
				t.Errorf("stored: got %v, want %v", got, c.written)
			}
			if got := issued.Written == root; got != c.written {
				t.Errorf("known as written: got %v, want %v", got, c.written)
			}
			if got := issued.Fresh > 0; got != c.written {
				t.Errorf("fresh tokens: got %v, want %v", got, c.written)
			}
		})
	}
}

// TestBatchSurvivesEncoding guards against a field of a batch that is missing from the
// encoded message between nodes.
func TestBatchSurvivesEncoding(t *testing.T) {
	p := share.Allowance{Rate: 1, Capacity: 3, Tokens: 2}
	want := share.Batch{
		Incarnation: 7, Sent: time.Unix(5, 6), Acks: []uint64{1}, Denied: []uint64{2}, Declined: []mesh.OrganisationName{"acme"},
		Requests: []share.AllowanceRequest{{Organisation: "acme", Need: 1, Demand: 2, Rate: 3, HopLimit: 2, Recall: true, Leaf: true, Timeout: 4}},
		Transfers: []share.Transfer{{
			ID: 9, Floor: 8, ReceiverIncarnation: 7, Organisation: "acme", Kind: share.HandOver, Root: testProcess(3), Allowance: p,
			Lease: time.Hour, Leaf: true, Issued: p, Relinquished: p,
			Loans: []share.OpenLoan{{Borrower: testProcess(4), Allowance: p, Remaining: time.Minute}},
		}},
	}
	from, got, err := wire.ToBatch(wire.FromBatch(testProcess(1).Addr, want))
	if err != nil || from != testProcess(1).Addr || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v from %v (%v), want %+v", got, from, err, want)
	}
}

// startContract runs a contract duty with an in-memory platform. Its node is the only
// one, so it holds the whole contract.
func startContract(b *testing.B) (d *contractDuty) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log, vars := logs.WithPrefix(logger, "test"), new(expvar.Map)
	s := Settings{Zone: "a", PeerListen: testProcess(1).Addr}
	d = newContractDuty(vars, s, newConfigDuty(vars, s, log), log)
	d.roster = newRosterDuty(vars, s, log)
	d.platform = newPlatformDuty(vars, "platform", &memoryTable{rows: make(map[string]mesh.Row)})
	d.updateLedger(time.Now())
	d.perform(d.ledger.Step(time.Now(), share.Configured{
		Contracts: map[mesh.OrganisationName]mesh.Contract{"acme": {Rate: 1e9, Burst: 1e9}}, Zones: 1, Lease: time.Hour,
	}))
	go func() { _ = d.platform.Run(b.Context()) }()
	go func() { _ = d.Run(b.Context()) }()
	return d
}

// BenchmarkContractAdmit measures the admission of a request, including the queue of
// the duty.
func BenchmarkContractAdmit(b *testing.B) {
	d := startContract(b)
	deadline := time.Now().Add(time.Hour)
	for d.Admit(b.Context(), "acme", mesh.ClassNormal, deadline) != nil {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if refusal := d.Admit(b.Context(), "acme", mesh.ClassNormal, deadline); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
