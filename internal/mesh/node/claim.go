package node

import (
	"context"
	"expvar"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/claim"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	claimRing = 1024

	// claimTimeout limits one transaction or read of claims. The result of a
	// transaction that takes longer is found by reading the rows.
	claimTimeout = time.Second
)

// claimDuty owns the claims of non-idempotent requests, which run at most once. It
// implements mesh.Claimer. When its queue is full, claims are refused, while releases
// and results from the platform block until there is space.
type claimDuty struct {
	tracker  *claim.Tracker
	events   *ring.Ring
	platform *platformDuty
	log      logs.Log

	// keep returns the setting claim-keep in force: how long claims are kept.
	keep func() time.Duration

	// claims and releases hold the replies of pending claims and releases.
	claims   map[*mesh.Call]ring.Reply
	releases map[*mesh.Call]ring.Reply
}

func newClaimDuty(vars *expvar.Map, platform *platformDuty, keep func() time.Duration, log logs.Log) (d *claimDuty) {
	return &claimDuty{
		tracker:  claim.New(func() claim.Nonce { return claim.Nonce(uuid.New()) }),
		events:   ring.New(vars, "claim", claimRing),
		platform: platform,
		log:      log,
		keep:     keep,
		claims:   make(map[*mesh.Call]ring.Reply),
		releases: make(map[*mesh.Call]ring.Reply),
	}
}

// Name implements mesh.Duty.
func (d *claimDuty) Name() string { return "claim" }

// claimRequest requests the claim of a call.
type claimRequest struct {
	call  *mesh.Call
	reply ring.Reply
}

// releaseRequest reports that a call did not run and will not.
type releaseRequest struct {
	call  *mesh.Call
	reply ring.Reply
}

// claimAnswer answers a claim or a release. A nil refusal grants the claim.
type claimAnswer struct{ refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (claimRequest) EventName() string { return "claim-request" }

// EventName implements mesh.Event.
func (releaseRequest) EventName() string { return "release-request" }

// EventName implements mesh.Event.
func (claimAnswer) EventName() string { return "claim-answer" }

// Claim implements mesh.Claimer.
func (d *claimDuty) Claim(ctx context.Context, call *mesh.Call) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(claimRequest{call: call, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the claim queue of the node is full")
	}
	select {
	case e := <-reply.Events():
		return e.(claimAnswer).refusal
	case <-ctx.Done():
		// The claim may have been granted at the same moment.
		_ = d.events.Send(context.Background(), releaseRequest{call: call, reply: ring.NewReply()})
		return mesh.Interrupted(ctx.Err(), header.NotRun, "while the claim was written")
	}
}

// Release implements mesh.Claimer. It blocks until the release is recorded or the
// deadline has passed, so that a retry on another host does not conflict with the claim
// of this attempt.
func (d *claimDuty) Release(call *mesh.Call) {
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	reply := ring.NewReply()
	_ = d.events.Send(context.Background(), releaseRequest{call: call, reply: reply})
	select {
	case <-reply.Events():
	case <-ctx.Done():
	}
}

// Run implements mesh.Duty.
func (d *claimDuty) Run(ctx context.Context) (err error) {
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
			d.apply(now, d.tracker.Step(now, claim.TimerExpired{}))
		}
		arm(timer, d.tracker.Next())
	}
}

func (d *claimDuty) handle(now time.Time, e mesh.Event) {
	switch r := e.(type) {
	case claimRequest:
		d.claims[r.call] = r.reply
		e = claim.Acquire{Call: r.call, Retention: d.keep()}
	case releaseRequest:
		d.releases[r.call] = r.reply
		e = claim.Release{Call: r.call}
	}
	d.apply(now, d.tracker.Step(now, e))
}

func (d *claimDuty) apply(now time.Time, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Grant:
			d.answer(a.Call, nil)
		case claim.Refuse:
			d.answer(a.Call, a.Refusal)
		case claim.Released:
			delete(d.claims, a.Call)
			if reply, found := d.releases[a.Call]; found {
				delete(d.releases, a.Call)
				reply.Answer(claimAnswer{})
			}
		case claim.Commit:
			d.post(now, a.Batch, commitClaims{events: d.events, commit: a})
		case claim.Fetch:
			d.post(now, a.Batch, fetchClaims{events: d.events, fetch: a})
		case claim.List:
			d.post(now, a.Batch, listClaims{events: d.events, list: a})
		}
	}
}

func (d *claimDuty) answer(call *mesh.Call, refusal *mesh.Refusal) {
	if reply, found := d.claims[call]; found {
		delete(d.claims, call)
		reply.Answer(claimAnswer{refusal: refusal})
	}
}

// post queues a job at the platform duty. This does not recurse: on Unsent, the tracker
// pauses and returns no new job in the same step.
func (d *claimDuty) post(now time.Time, batch *claim.Batch, job platformJob) {
	if !d.platform.jobs.Offer(job) {
		d.log.Warnf("the platform queue is full; claims are paused.")
		d.apply(now, d.tracker.Step(now, claim.Unsent{Batch: batch}))
	}
}

// commitClaims is a job that writes claims in one transaction.
type commitClaims struct {
	events *ring.Ring
	commit claim.Commit
}

// fetchClaims is a job that reads the rows of claims by key.
type fetchClaims struct {
	events *ring.Ring
	fetch  claim.Fetch
}

// listClaims is a job that reads the first rows of claims in key order.
type listClaims struct {
	events *ring.Ring
	list   claim.List
}

// EventName implements mesh.Event.
func (commitClaims) EventName() string { return "commit-claims" }

// EventName implements mesh.Event.
func (fetchClaims) EventName() string { return "fetch-claims" }

// EventName implements mesh.Event.
func (listClaims) EventName() string { return "list-claims" }

// Do implements platformJob.
func (j commitClaims) Do(ctx context.Context, platform mesh.Platform) {
	within, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := platform.Commit(within, j.commit.Writes)
	_ = j.events.Send(ctx, claim.CommitResult{Batch: j.commit.Batch, Err: err})
}

// Do implements platformJob.
func (j fetchClaims) Do(ctx context.Context, platform mesh.Platform) {
	within, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := claim.ReadResult{Batch: j.fetch.Batch}
	for _, key := range j.fetch.Keys {
		row, _, err := platform.Read(within, key)
		if err != nil {
			result.Err = err
			break
		}
		result.Rows = append(result.Rows, row)
	}
	_ = j.events.Send(ctx, result)
}

// Do implements platformJob.
func (j listClaims) Do(ctx context.Context, platform mesh.Platform) {
	within, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rows, err := platform.List(within, j.list.Prefix, "", j.list.Limit)
	_ = j.events.Send(ctx, claim.ReadResult{Batch: j.list.Batch, Rows: rows, Err: err})
}

// claimKeep returns the setting claim-keep in force. Settings are always present, since
// requests are accepted only after the first version.
func (d *configDuty) claimKeep() (keep time.Duration) { return d.View().Index.Fleet.ClaimKeep }
