package agent

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	quotaRing = 4096

	// askTimeout is how long a holder may take to answer an ask. The way there and back takes
	// less than a millisecond within a zone; the rest is for a holder short of processor time.
	askTimeout = 50 * time.Millisecond

	// maxAsks is the number of hosts that are asked for one admission. Together they take half
	// of the shortest latency objectives.
	maxAsks = 3

	// holderRetryAfter is the delay after which another try is worthwhile when no holder answers.
	holderRetryAfter = 200 * time.Millisecond
)

// quotaDuty owns the token buckets of this node and its asks to the holders of other contracts.
// When its ring is full, requests are refused, and usage reports and asks of other hosts are
// dropped: the next report is complete, and the sender of an ask turns to another holder.
type quotaDuty struct {
	events  *ring.Ring
	buckets *quota.RateLimiter
	socket  *net.UDPConn
	self    netip.AddrPort
	log     logs.Log

	member *memberDuty

	// usage stores the usage of the whole fleet; nil where that is not stored. recording is true while
	// it does, and era is that of the configuration in force.
	usage     *usageDuty
	recording bool
	era       uint64

	// asks holds the asks without a verdict by their ids, and lastAsk the id of the newest.
	asks    map[uint64]*pendingAsk
	lastAsk uint64

	// expiry fires when the oldest ask times out; order holds the ids in the order of their
	// times out.
	expiry *time.Timer
	order  []uint64

	asksSent, asksFailed *expvar.Int
}

// pendingAsk is an ask that waits for its verdict.
type pendingAsk struct {
	request admitRequest
	holder  netip.AddrPort
	expires time.Time

	// tries is the number of hosts asked for the request, this one included.
	tries int
}

func newQuotaDuty(vars *expvar.Map, socket *net.UDPConn, self netip.AddrPort, log logs.Log) (d *quotaDuty) {
	d = &quotaDuty{
		events: ring.New(vars, "quota", quotaRing), buckets: quota.New(), socket: socket, self: self, log: log,
		asks: make(map[uint64]*pendingAsk), expiry: time.NewTimer(askTimeout), asksSent: new(expvar.Int), asksFailed: new(expvar.Int),
	}
	vars.Set("asks-sent", d.asksSent)
	vars.Set("asks-failed", d.asksFailed)
	return d
}

// Name implements mesh.Duty.
func (d *quotaDuty) Name() string { return "quota" }

type admitRequest struct {
	organisation mesh.OrganisationName
	reply        ring.Reply
}

type usageReceived struct{ report quota.Report }

// fleetChanged carries what the placement of contracts depends on.
type fleetChanged struct{ fleet quota.Fleet }

// askReceived carries another host's ask for an admission.
type askReceived struct{ ask *beat.Ask }

// verdictReceived carries the answer to an ask of this host.
type verdictReceived struct{ verdict *beat.Verdict }

type usageRequest struct{ reply ring.Reply }

type admitReply struct{ refusal *mesh.Refusal }

type usageReply struct {
	used   map[mesh.OrganisationName]quota.Usage
	window map[mesh.OrganisationName][]uint64
}

// EventName implements mesh.Event.
func (admitRequest) EventName() string { return "admit" }

// EventName implements mesh.Event.
func (usageReceived) EventName() string { return "heard-usage" }

// EventName implements mesh.Event.
func (fleetChanged) EventName() string { return "known-hosts" }

// EventName implements mesh.Event.
func (askReceived) EventName() string { return "ask" }

// EventName implements mesh.Event.
func (verdictReceived) EventName() string { return "ask-verdict" }

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
		return mesh.Interrupted(context.Cause(ctx), header.NotRun, "before the request was admitted")
	}
}

// Report returns the report of this host to the others on the requests that it has received and
// admitted.
func (d *quotaDuty) Report(ctx context.Context, self mesh.Host) (r quota.Report) {
	r = quota.Report{From: self.Addr, Incarnation: self.Incarnation}
	reply := ring.NewReply()
	if d.events.Send(ctx, usageRequest{reply: reply}) != nil {
		return r
	}
	select {
	case e := <-reply.Events():
		answer := e.(usageReply)
		r.Usage, r.Window = answer.used, answer.window
	case <-ctx.Done():
	}
	return r
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
			d.record(now)
		case now := <-d.expiry.C:
			d.expireAsks(now)
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

func (d *quotaDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case admitRequest:
		d.admit(now, &pendingAsk{request: e})
	case askReceived:
		d.answer(now, e.ask)
	case verdictReceived:
		d.conclude(now, e.verdict)
	case usageReceived:
		d.buckets.ApplyReport(now, e.report)
	case fleetChanged:
		d.buckets.SetFleet(now, e.fleet)
	case usageRequest:
		e.reply.Answer(usageReply{used: d.buckets.LocalUsage(now), window: d.buckets.LocalWindow(now)})
	case usageRead:
		d.buckets.Recall(now, e.usage)
	case usageStored:
		d.recording = false
		if e.err == nil {
			d.buckets.Recorded(e.usage)
		}
	case configChanged:
		if e.AsOf.Era != d.era {
			d.era = e.AsOf.Era
			d.buckets.ForgetRecorded()
		}
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

// record lets the usage be stored when that is due and this host is the one of its zone that does.
func (d *quotaDuty) record(now time.Time) {
	if d.usage == nil || d.recording {
		return
	}
	if !d.member.View().LeadsFollowers {
		d.buckets.ForgetRecorded()
		return
	}
	if usage, due := d.buckets.Record(now); due {
		d.recording = d.usage.events.Offer(storeUsage{usage: usage})
	}
}

// admit has a request admitted, by this host if it holds the contract.
func (d *quotaDuty) admit(now time.Time, p *pendingAsk) {
	name := p.request.organisation
	holder, other := d.buckets.Holder(now, name)
	if !other {
		p.request.reply.Answer(admitReply{refusal: d.buckets.Admit(now, name)})
		return
	}
	if p.tries == maxAsks {
		refusal := mesh.NotRun(header.NodeBusy, "none of %d hosts that hold the rate limit of organisation %q answered", maxAsks, name)
		refusal.RetryAfter = holderRetryAfter
		p.request.reply.Answer(admitReply{refusal: refusal})
		return
	}
	p.holder = holder
	p.tries++
	p.expires = now.Add(askTimeout)
	d.lastAsk++
	d.asks[d.lastAsk] = p
	if len(d.order) == 0 {
		d.expiry.Reset(askTimeout)
	}
	d.order = append(d.order, d.lastAsk)
	data, err := beat.EncodeAsk(&beat.Ask{ID: d.lastAsk, From: d.self, Organisation: name})
	d.asksSent.Add(1)
	d.send(data, err, holder)
}

// answer answers the ask of another host. It is answered here also when this host does not count
// itself among the holders: hosts notice a change of the fleet at different times.
func (d *quotaDuty) answer(now time.Time, a *beat.Ask) {
	v := &beat.Verdict{ID: a.ID, Known: d.buckets.Holds(a.Organisation)}
	if v.Known {
		refusal := d.buckets.Admit(now, a.Organisation)
		if v.Admitted = refusal == nil; refusal != nil {
			v.RetryAfter = refusal.RetryAfter
		}
	}
	data, err := beat.EncodeVerdict(v)
	d.send(data, err, a.From)
}

// conclude answers the request of an ask. A verdict that comes after its ask timed out is ignored.
func (d *quotaDuty) conclude(now time.Time, v *beat.Verdict) {
	p, found := d.asks[v.ID]
	if !found {
		return
	}
	delete(d.asks, v.ID)
	switch {
	case !v.Known:
		d.asksFailed.Add(1)
		d.buckets.HolderFailed(now, p.holder)
		d.admit(now, p)
	case v.Admitted:
		p.request.reply.Answer(admitReply{})
	default:
		refusal := mesh.NotRun(header.RateExceeded, "organisation %q exceeds its rate limit", p.request.organisation)
		refusal.RetryAfter = v.RetryAfter
		p.request.reply.Answer(admitReply{refusal: refusal})
	}
}

// expireAsks turns to other hosts with the asks that have timed out.
func (d *quotaDuty) expireAsks(now time.Time) {
	var expired []*pendingAsk
	for len(d.order) > 0 {
		p, waiting := d.asks[d.order[0]]
		if waiting && p.expires.After(now) {
			break
		}
		if waiting {
			delete(d.asks, d.order[0])
			expired = append(expired, p)
		}
		d.order = d.order[1:]
	}
	if len(d.order) > 0 {
		d.expiry.Reset(d.asks[d.order[0]].expires.Sub(now))
	}
	for _, p := range expired {
		d.asksFailed.Add(1)
		d.buckets.HolderFailed(now, p.holder)
		d.admit(now, p)
	}
}

// send sends a datagram. A failed send is treated like a lost datagram: the ask times out.
func (d *quotaDuty) send(data []byte, err error, to netip.AddrPort) {
	if err == nil {
		_, err = d.socket.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		d.log.Warnf("sending an ask or a verdict to %v failed: %v.", to, err)
	}
}
