package node

import (
	"context"
	"expvar"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gather"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	gatherRing = 1024

	// sharedTimeout bounds one shared transaction. Together with
	// gather.MaxWait it is shorter than claimTimeout, so that a slow platform
	// is not taken for a gatherer that does not answer.
	sharedTimeout = 700 * time.Millisecond
)

// gatherDuty owns the batches of claims that other nodes of the zone have
// written through this one. It implements wire.Gather. Full ring: the batch is
// refused before anything is written; answers of the platform wait.
type gatherDuty struct {
	state    *gather.State
	events   *ring.Ring
	platform *platformDuty

	// replies holds the reply rings of batches by ticket.
	replies map[uint64]ring.Reply
	ticket  uint64

	batches, transactions *expvar.Int
}

func newGatherDuty(vars *expvar.Map, platform *platformDuty) (d *gatherDuty) {
	d = &gatherDuty{
		state:        gather.New(),
		events:       ring.New(vars, "gather", gatherRing),
		platform:     platform,
		replies:      make(map[uint64]ring.Reply),
		batches:      new(expvar.Int),
		transactions: new(expvar.Int),
	}
	vars.Set("gather-batches", d.batches)
	vars.Set("gather-transactions", d.transactions)
	return d
}

// Name implements mesh.Duty.
func (d *gatherDuty) Name() string { return "gather" }

// gatherRequest asks for a batch to be written.
type gatherRequest struct {
	writes []mesh.Write
	reply  ring.Reply
}

// EventName implements mesh.Event.
func (gatherRequest) EventName() string { return "gather-request" }

// gatherAnswer is the outcome of a batch.
type gatherAnswer struct{ err error }

// EventName implements mesh.Event.
func (gatherAnswer) EventName() string { return "gather-answer" }

// Commit implements wire.Gather. A batch whose sender stops waiting may still
// be written.
func (d *gatherDuty) Commit(ctx context.Context, m *wire.ClaimBatch) (outcome *wire.ClaimOutcome, err error) {
	reply := ring.NewReply()
	if !d.events.Offer(gatherRequest{writes: wire.ToWrites(m), reply: reply}) {
		return wire.FromOutcome(gather.ErrNotWritten), nil
	}
	select {
	case e := <-reply.Events():
		return wire.FromOutcome(e.(gatherAnswer).err), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the sender no longer waits")
	}
}

// Run implements mesh.Duty.
func (d *gatherDuty) Run(ctx context.Context) (err error) {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		case now := <-timer.C:
			d.apply(now, d.state.Step(now, gather.Elapsed{}))
		}
		arm(timer, d.state.Next())
	}
}

func (d *gatherDuty) handle(now time.Time, e mesh.Event) {
	if r, isRequest := e.(gatherRequest); isRequest {
		d.ticket++
		d.batches.Add(1)
		d.replies[d.ticket] = r.reply
		e = gather.Asked{Ticket: d.ticket, Writes: r.writes}
	}
	d.apply(now, d.state.Step(now, e))
}

func (d *gatherDuty) apply(now time.Time, actions []gather.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gather.Answer:
			d.replies[a.Ticket].Answer(gatherAnswer{err: a.Err})
			delete(d.replies, a.Ticket)
		case gather.Commit:
			d.transactions.Add(1)
			d.post(now, a)
		}
	}
}

// post hands a transaction to the platform duty. Each one that is not sent
// answers its batches, so the recursion ends.
func (d *gatherDuty) post(now time.Time, c gather.Commit) {
	if !d.platform.jobs.Offer(commitShared{events: d.events, commit: c}) {
		d.apply(now, d.state.Step(now, gather.Unsent{Transaction: c.Transaction}))
	}
}

// commitShared writes batches of several nodes.
type commitShared struct {
	events *ring.Ring
	commit gather.Commit
}

// EventName implements mesh.Event.
func (commitShared) EventName() string { return "commit-shared" }

// Do implements platformJob.
func (j commitShared) Do(ctx context.Context, platform mesh.Platform) {
	within, cancel := context.WithTimeout(ctx, sharedTimeout)
	defer cancel()
	err := platform.Commit(within, j.commit.Writes)
	_ = j.events.Send(ctx, gather.Committed{Transaction: j.commit.Transaction, Err: err})
}

var _ wire.Gather = (*gatherDuty)(nil)
