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

// shareKey returns the key of the platform row that records the issued shares of a
// contract.
func shareKey(organisation mesh.OrganisationName) (key string) {
	return "share/" + string(organisation)
}

// issue queues a change of a contract's row at the platform duty.
func (d *contractDuty) issue(a share.Issue) {
	if !d.platform.jobs.Offer(issueShare{issue: a, events: d.events}) {
		d.perform(d.ledger.Step(time.Now(), share.IssueFailed{Organisation: a.Organisation}))
	}
}

// issueShare is a job that changes the row of a contract.
type issueShare struct {
	issue  share.Issue
	events *ring.Ring
}

// EventName implements mesh.Event.
func (issueShare) EventName() string { return "issue-share" }

// Do implements platformJob. It blocks while the queue for the result is full, since
// the ledger starts no other change of this row until it has the result.
func (j issueShare) Do(ctx context.Context, platform mesh.Platform) {
	issued, err := j.changeWithRetries(ctx, platform)
	if err != nil {
		_ = j.events.Send(ctx, share.IssueFailed{Organisation: j.issue.Organisation})
		return
	}
	_ = j.events.Send(ctx, issued)
}

// maxChangeAttempts is the maximum number of attempts at a change when other holders
// write the same row concurrently. Each conflict means that the change of another
// holder succeeded, so holders that start together all get their shares without delay.
const maxChangeAttempts = 8

// changeWithRetries makes the change and retries it after a conflict.
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

// changeOnce reads the row and writes the change conditionally on the version it read.
// If the answer to the write is lost, it reads the row again to learn the result.
func (j issueShare) changeOnce(ctx context.Context, platform mesh.Platform, startedAt time.Time) (issued share.Issued, err error) {
	issued = share.Issued{Organisation: j.issue.Organisation, Started: startedAt}
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

// read returns the stored row and its decoded value. If there is none, stored has
// Version 0 and row is that of a contract without issued shares.
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
