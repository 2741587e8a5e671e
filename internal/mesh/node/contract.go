package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
)

const (
	contractRing = 1024

	// placementInterval is the minimum time between two computations of the share holders
	// while the roster changes, since each one iterates over all hosts.
	placementInterval = time.Second

	// minTimerDelay is the minimum timer delay, so that a time in the past does not make
	// the duty spin.
	minTimerDelay = 100 * time.Microsecond

	// configInterval is how often the duty checks for new settings and hosts while
	// there are no requests, which check as well.
	configInterval = time.Second
)

// contractDuty owns this node's shares of all contracts, that is, its parts of the
// fleet-wide rate limits. When its queue is full, requests are refused; messages of
// peers are rejected, and their senders resend them.
type contractDuty struct {
	zone     mesh.ZoneName
	ledger   *share.Ledger
	events   *ring.Ring
	config   *configDuty
	roster   *rosterDuty
	platform *platformDuty
	senders  senders
	client   *http.Client
	log      logs.Log

	// view and hosts are the settings and the roster that the ledger uses;
	// placementSetAt is when the roster was last applied.
	view           *config.View
	hosts          *roster.View
	placementSetAt time.Time

	// waiting holds the replies of requests that are queued for tokens, by ticket.
	waiting map[uint64]ring.Reply
	ticket  uint64

	// messageCount numbers the messages. The number is the key at the sender, so that
	// no queued message replaces another.
	messageCount uint64

	// leaveReply is answered once all shares have been handed over, when the node is
	// leaving.
	leaveReply ring.Reply
	leaving    bool

	refused, sent *expvar.Int
	pending       *expvar.Map
	shares        *expvar.Map
}

func newContractDuty(vars *expvar.Map, s Settings, config *configDuty, log logs.Log) (d *contractDuty) {
	self := share.Process{Addr: s.PeerListen, Incarnation: mesh.NewIncarnation(time.Now())}
	d = &contractDuty{
		zone:    s.Zone,
		ledger:  share.New(self),
		events:  ring.New(vars, "contract", contractRing),
		config:  config,
		log:     log,
		waiting: make(map[uint64]ring.Reply),
		refused: new(expvar.Int),
		sent:    new(expvar.Int),
		pending: new(expvar.Map).Init(),
		shares:  new(expvar.Map).Init(),
	}
	vars.Set("contract-rate-refusals", d.refused)
	vars.Set("contract-messages", d.sent)
	vars.Set("contract-pending", d.pending)
	vars.Set("contract-shares", d.shares)
	return d
}

// Name implements mesh.Duty.
func (d *contractDuty) Name() string { return "contract" }

// Run implements mesh.Duty.
func (d *contractDuty) Run(ctx context.Context) (err error) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	refresh := time.NewTicker(configInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		case <-wake.C:
			d.perform(d.ledger.Step(time.Now(), share.Woken{}))
		case <-refresh.C:
			d.updateLedger(time.Now())
			d.publishVars(time.Now())
		}
		arm(wake, d.ledger.Wake())
	}
}

func (d *contractDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case admitRequest:
		d.admit(now, e)
	case deliverRequest:
		d.deliver(now, e)
	case leaveRequest:
		d.leave(now, e)
	default:
		d.perform(d.ledger.Step(now, e))
	}
	d.answerLeave()
}

// perform executes the actions that the ledger returned.
func (d *contractDuty) perform(actions []share.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case share.Send:
			d.post(a)
		case share.Decide:
			d.decide(a)
		case share.Issue:
			d.issue(a)
		}
	}
}

// updateLedger applies new settings and a new roster to the ledger.
func (d *contractDuty) updateLedger(now time.Time) {
	if hosts := d.roster.View(); hosts != d.hosts && now.Sub(d.placementSetAt) >= placementInterval {
		d.hosts, d.placementSetAt = hosts, now
		d.ledger.SetPlacement(now, share.NewPlacement(d.ledger.Self().Addr, d.zone, hosts.Hosts))
	}
	v := d.config.View()
	if v == nil || d.view != nil && v.Version == d.view.Version {
		return
	}
	d.view = v
	d.perform(d.ledger.Step(now, share.Configured{
		Contracts: v.Index.Contracts, Zones: len(v.Index.Zones), Lease: v.Index.Fleet.ShareLease,
	}))
}

// publishVars publishes this node's share of each contract as metrics, and for each
// lowered contract the reduction that is not yet in force.
func (d *contractDuty) publishVars(now time.Time) {
	for _, name := range d.ledger.Organisations() {
		d.shares.Set(string(name), allowanceVars(d.ledger.TotalAllowance(now, name)))
		p := d.ledger.Pending(name)
		if p.Rate <= 0 && p.Capacity <= 0 {
			d.pending.Delete(string(name))
			continue
		}
		d.pending.Set(string(name), allowanceVars(p))
	}
}

func allowanceVars(p share.Allowance) (vars *expvar.Map) {
	vars = new(expvar.Map).Init()
	for _, v := range []struct {
		name   string
		amount share.Amount
	}{{"rate", p.Rate}, {"burst", p.Capacity}, {"tokens", p.Tokens}} {
		n := new(expvar.Float)
		n.Set(v.amount.Requests())
		vars.Set(v.name, n)
	}
	return vars
}
