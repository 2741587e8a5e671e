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

// quotaDuty owns the buckets of this node. Full ring: the request is refused;
// reports of other hosts are dropped, since the next one is complete.
type quotaDuty struct {
	events *ring.Ring
	book   *quota.RateLimiter
}

func newQuotaDuty(vars *expvar.Map) (d *quotaDuty) {
	return &quotaDuty{events: ring.New(vars, "quota", quotaRing), book: quota.New()}
}

// Name implements mesh.Duty.
func (d *quotaDuty) Name() string { return "quota" }

type admit struct {
	organisation mesh.OrganisationName
	reply        ring.Reply
}

type heardUsage struct{ report quota.Report }

// knownHosts says how many hosts there are, this one included.
type knownHosts struct{ hosts int }

type askUsage struct{ reply ring.Reply }

type verdict struct{ refusal *mesh.Refusal }

type usage struct {
	used map[mesh.OrganisationName]quota.Usage
}

// EventName implements mesh.Event.
func (admit) EventName() string { return "admit" }

// EventName implements mesh.Event.
func (heardUsage) EventName() string { return "heard-usage" }

// EventName implements mesh.Event.
func (knownHosts) EventName() string { return "known-hosts" }

// EventName implements mesh.Event.
func (askUsage) EventName() string { return "ask-usage" }

// EventName implements mesh.Event.
func (verdict) EventName() string { return "verdict" }

// EventName implements mesh.Event.
func (usage) EventName() string { return "usage" }

// Admit takes a token of the organisation or says why there is none.
func (d *quotaDuty) Admit(ctx context.Context, organisation mesh.OrganisationName) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(admit{organisation: organisation, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the node has no room for another request")
	}
	select {
	case e := <-reply.Events():
		return e.(verdict).refusal
	case <-ctx.Done():
		return mesh.NotRun(header.DeadlineExceeded, "the caller left before the request was admitted")
	}
}

// Usage returns what this node has let in.
func (d *quotaDuty) Usage(ctx context.Context) (used map[mesh.OrganisationName]quota.Usage) {
	reply := ring.NewReply()
	if d.events.Send(ctx, askUsage{reply: reply}) != nil {
		return nil
	}
	select {
	case e := <-reply.Events():
		return e.(usage).used
	case <-ctx.Done():
		return nil
	}
}

// Run implements mesh.Duty.
func (d *quotaDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(d.book.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.book.Tick(now)
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

func (d *quotaDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case admit:
		e.reply.Answer(verdict{refusal: d.book.Admit(now, e.organisation)})
	case heardUsage:
		d.book.ApplyReport(now, e.report)
	case knownHosts:
		d.book.SetFleetSize(now, e.hosts)
	case askUsage:
		e.reply.Answer(usage{used: d.book.LocalUsage(now)})
	case newOrders:
		if e.Rules == nil {
			return
		}
		contracts := make([]mesh.Contract, 0, len(e.Rules.Organisations))
		for _, o := range e.Rules.Organisations {
			contracts = append(contracts, o.Contract)
		}
		d.book.Configure(now, contracts)
	}
}
