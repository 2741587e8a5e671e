package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
)

// shareKey is the platform's row of what is issued of a contract.
func shareKey(organisation mesh.OrganisationName) (key string) {
	return "share/" + string(organisation)
}

// issue hands a change of a platform row to the platform duty.
func (d *contractDuty) issue(a share.Issue) {
	if !d.platform.jobs.Offer(issueShare{issue: a, events: d.events}) {
		d.perform(d.ledger.Step(time.Now(), share.IssueFailed{Organisation: a.Organisation}))
	}
}

// issueShare changes the row of a contract.
type issueShare struct {
	issue  share.Issue
	events *ring.Ring
}

// EventName implements mesh.Event.
func (issueShare) EventName() string { return "issue-share" }

// Do implements platformJob. A ring without room for the outcome makes it wait,
// since the ledger asks for nothing else of this row until it has an outcome.
func (j issueShare) Do(ctx context.Context, platform mesh.Platform) {
	issued, err := j.changeWithRetries(ctx, platform)
	if err != nil {
		_ = j.events.Send(ctx, share.IssueFailed{Organisation: j.issue.Organisation})
		return
	}
	_ = j.events.Send(ctx, issued)
}

// maxChangeAttempts is how often a change is tried when others write the same row
// in between. Each conflict means that another holder's change went through, so
// the holders of a contract that start together all get their parts at once.
const maxChangeAttempts = 8

// changeWithRetries makes the change, again when another holder's came first.
func (j issueShare) changeWithRetries(ctx context.Context, platform mesh.Platform) (issued share.Issued, err error) {
	var conflict *mesh.ConflictError
	for range maxChangeAttempts {
		issued, err = j.changeOnce(ctx, platform, time.Now())
		if !errors.As(err, &conflict) {
			break
		}
	}
	return issued, err
}

// changeOnce reads the row, writes the changeOnce under the condition that nobody
// wrote in between, and reads back when the answer was lost.
func (j issueShare) changeOnce(ctx context.Context, platform mesh.Platform, startedAt time.Time) (issued share.Issued, err error) {
	issued = share.Issued{Organisation: j.issue.Organisation, Asked: startedAt}
	key := shareKey(j.issue.Organisation)
	old, row, err := j.read(ctx, platform, key)
	if err != nil {
		return issued, err
	}
	nonce := uuid.NewString()
	after, fresh, applies := row.Apply(j.issue.Change, nonce)
	if !applies {
		issued.Row = row
		return issued, nil
	}
	value, err := json.Marshal(after)
	if err != nil {
		return issued, err
	}
	write := mesh.Write{Key: key, Value: value, Condition: mesh.IfVersion, Version: old.Version}
	if old.Version == 0 {
		write.Condition = mesh.IfAbsent
	}
	err = platform.Commit(ctx, []mesh.Write{write})
	var conflict *mesh.ConflictError
	switch {
	case err == nil:
		issued.Row, issued.Written, issued.Fresh = after, j.issue.Change.Root, fresh
		return issued, nil
	case errors.As(err, &conflict):
		return issued, err
	}
	if _, issued.Row, err = j.read(ctx, platform, key); err != nil {
		return issued, err
	}
	if g, found := issued.Row.Find(j.issue.Change.Root); found && g.Nonce == nonce {
		issued.Written, issued.Fresh = j.issue.Change.Root, fresh
	}
	return issued, nil
}

// read returns the row as the platform has it, with Version 0 when it has none.
func (j issueShare) read(ctx context.Context, platform mesh.Platform, key string) (stored mesh.Row, row share.Row, err error) {
	stored, found, err := platform.Read(ctx, key)
	if err != nil {
		return stored, row, err
	}
	if !found {
		return mesh.Row{}, share.NewRow(j.issue.Change.Contract), nil
	}
	err = json.Unmarshal(stored.Value, &row)
	return stored, row, err
}
