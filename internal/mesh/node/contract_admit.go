package node

import (
	"context"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// rateRetryAfter is the Retry-After of a request above the rate limit. One second is
// the shortest time that the header can express.
const rateRetryAfter = time.Second

// admitRequest requests one token from the token bucket of an organisation.
type admitRequest struct {
	organisation mesh.OrganisationName
	class        mesh.Class
	deadline     time.Time
	reply        ring.Reply
}

// EventName implements mesh.Event.
func (admitRequest) EventName() string { return "admit-request" }

// admitAnswer grants the token when refusal is nil.
type admitAnswer struct{ refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (admitAnswer) EventName() string { return "admit-answer" }

// Admit takes one token of the organisation. It returns nil on success.
func (d *contractDuty) Admit(ctx context.Context, organisation mesh.OrganisationName, class mesh.Class, deadline time.Time) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(admitRequest{organisation: organisation, class: class, deadline: deadline, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the contract queue of the node is full")
	}
	select {
	case e := <-reply.Events():
		return e.(admitAnswer).refusal
	case <-ctx.Done():
		return mesh.Interrupted(ctx.Err(), header.NotRun, "before the request was admitted")
	}
}

func (d *contractDuty) admit(now time.Time, e admitRequest) {
	d.updateLedger(now)
	d.ticket++
	verdict, actions := d.ledger.Admit(now, e.organisation, e.class, e.deadline, d.ticket)
	switch verdict {
	case share.Admitted:
		e.reply.Answer(admitAnswer{})
	case share.Queued:
		d.waiting[d.ticket] = e.reply
	default:
		d.refuse(e.reply)
	}
	d.perform(actions)
}

func (d *contractDuty) decide(a share.Decide) {
	reply, found := d.waiting[a.Ticket]
	if !found {
		return
	}
	delete(d.waiting, a.Ticket)
	if a.Admitted {
		reply.Answer(admitAnswer{})
		return
	}
	d.refuse(reply)
}

func (d *contractDuty) refuse(reply ring.Reply) {
	d.refused.Add(1)
	refusal := mesh.NotRun(header.RateExceeded, "the organisation is above its rate and burst, or the remaining shares of its contract are unreachable")
	refusal.RetryAfter = rateRetryAfter
	reply.Answer(admitAnswer{refusal: refusal})
}
