package node

import (
	"context"
	"expvar"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const contractRing = 1024

// contractDuty owns this node's shares of all contracts. Full ring: the
// request is refused.
type contractDuty struct {
	ledger *share.Ledger
	events *ring.Ring
	config *configDuty
	log    logs.Log

	// version is the settings version that the ledger follows.
	version uint64
}

func newContractDuty(vars *expvar.Map, config *configDuty, log logs.Log) (d *contractDuty) {
	return &contractDuty{ledger: share.New(), events: ring.New(vars, "contract", contractRing), config: config, log: log}
}

// Name implements mesh.Duty.
func (d *contractDuty) Name() string { return "contract" }

// admitRequest asks for one token of an organisation.
type admitRequest struct {
	organisation mesh.OrganisationName
	deadline     time.Time
	reply        ring.Reply
}

// EventName implements mesh.Event.
func (admitRequest) EventName() string { return "admit-request" }

// admitAnswer grants a token or refuses.
type admitAnswer struct{ refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (admitAnswer) EventName() string { return "admit-answer" }

// Admit takes one token of the organisation, or returns why not.
func (d *contractDuty) Admit(ctx context.Context, organisation mesh.OrganisationName, deadline time.Time) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(admitRequest{organisation: organisation, deadline: deadline, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the node has no room to check the contract")
	}
	select {
	case e := <-reply.Events():
		return e.(admitAnswer).refusal
	case <-ctx.Done():
		return mesh.NotRun(header.DeadlineExceeded, "the deadline passed while the contract was checked")
	}
}

// Run implements mesh.Duty.
func (d *contractDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			if e, isAdmit := e.(admitRequest); isAdmit {
				d.admit(time.Now(), e)
			}
		}
	}
}

func (d *contractDuty) admit(now time.Time, e admitRequest) {
	d.follow(now)
	if d.ledger.Admit(now, e.organisation) {
		e.reply.Answer(admitAnswer{})
		return
	}
	e.reply.Answer(admitAnswer{refusal: mesh.NotRun(header.RateExceeded, "organisation %q is above its rate and burst", e.organisation)})
}

// follow brings the ledger to the settings in force.
func (d *contractDuty) follow(now time.Time) {
	v := d.config.View()
	if v == nil || v.Version == d.version {
		return
	}
	d.version = v.Version
	for name, c := range v.Index.Contracts {
		d.ledger.Set(now, name, c.Rate, c.Burst)
	}
}
