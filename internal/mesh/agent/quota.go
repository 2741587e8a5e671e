package agent

import (
	"context"
	"expvar"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const quotaRing = 4096

// quotaDuty owns the token buckets of this node. When its ring is full, requests are refused
// and usage reports of other hosts are dropped, since the next one is complete.
type quotaDuty struct {
	events  *ring.Ring
	buckets *quota.RateLimiter
}

func newQuotaDuty(vars *expvar.Map) (d *quotaDuty) {
	return &quotaDuty{events: ring.New(vars, "quota", quotaRing), buckets: quota.New()}
}

// Name implements mesh.Duty.
func (d *quotaDuty) Name() string { return "quota" }

type admitRequest struct {
	organisation mesh.OrganisationName
	reply        ring.Reply
}

type usageReceived struct{ report quota.Report }

// knownHosts carries the number of known hosts, this one included.
type knownHosts struct{ hosts int }

type usageRequest struct{ reply ring.Reply }

type admitReply struct{ refusal *mesh.Refusal }

type usageReply struct {
	used map[mesh.OrganisationName]quota.Usage
}

// EventName implements mesh.Event.
func (admitRequest) EventName() string { return "admit" }

// EventName implements mesh.Event.
func (usageReceived) EventName() string { return "heard-usage" }

// EventName implements mesh.Event.
func (knownHosts) EventName() string { return "known-hosts" }

// EventName implements mesh.Event.
func (usageRequest) EventName() string { return "ask-usage" }

// EventName implements mesh.Event.
func (admitReply) EventName() string { return "verdict" }

// EventName implements mesh.Event.
func (usageReply) EventName() string { return "usage" }

// Admit takes a token from the organisation's bucket, or returns the refusal when the bucket
// is empty.
func (d *quotaDuty) Admit(ctx context.Context, organisation mesh.OrganisationName) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(admitRequest{organisation: organisation, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the request queue of the node is full")
	}
	select {
	case e := <-reply.Events():
		return e.(admitReply).refusal
	case <-ctx.Done():
		return mesh.Interrupted(ctx.Err(), header.NotRun, "before the request was admitted")
	}
}

// Usage returns the number of requests that this node has received and admitted, by
// organisation.
func (d *quotaDuty) Usage(ctx context.Context) (used map[mesh.OrganisationName]quota.Usage) {
	reply := ring.NewReply()
	if d.events.Send(ctx, usageRequest{reply: reply}) != nil {
		return nil
	}
	select {
	case e := <-reply.Events():
		return e.(usageReply).used
	case <-ctx.Done():
		return nil
	}
}

// Run implements mesh.Duty.
func (d *quotaDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(d.buckets.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.buckets.Tick(now)
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

func (d *quotaDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case admitRequest:
		e.reply.Answer(admitReply{refusal: d.buckets.Admit(now, e.organisation)})
	case usageReceived:
		d.buckets.ApplyReport(now, e.report)
	case knownHosts:
		d.buckets.SetFleetSize(now, e.hosts)
	case usageRequest:
		e.reply.Answer(usageReply{used: d.buckets.LocalUsage(now)})
	case configChanged:
		if e.Rules == nil {
			return
		}
		contracts := make([]mesh.Contract, 0, len(e.Rules.Organisations))
		for _, o := range e.Rules.Organisations {
			contracts = append(contracts, o.Contract)
		}
		d.buckets.Configure(now, contracts)
	}
}
