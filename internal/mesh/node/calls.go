package node

import (
	"context"
	"crypto/rand"
	"expvar"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const callsRing = 4096

// callsDuty owns the deliveries that are running at the targets of this host, and
// the retry budgets of this node's links. A delivery is one execution of a call at
// a target. When its ring is full, new deliveries, nested calls and retries are
// refused, counts of calls are dropped, and senders of closed deliveries and
// returned budgets block.
type callsDuty struct {
	tracker     *calls.Tracker
	linkBudgets *retry.LinkBudgets
	events      *ring.Ring
}

func newCallsDuty(vars *expvar.Map) (d *callsDuty) {
	return &callsDuty{tracker: calls.New(), linkBudgets: retry.NewLinkBudgets(), events: ring.New(vars, "calls", callsRing)}
}

// Name implements mesh.Duty.
func (d *callsDuty) Name() string { return "calls" }

// Run implements mesh.Duty.
func (d *callsDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			e.(callsEvent).step(time.Now(), d)
		}
	}
}

// callsEvent is an event that applies itself to the state of the duty.
type callsEvent interface {
	mesh.Event
	step(now time.Time, d *callsDuty)
}

type openDelivery struct {
	token calls.Token
	call  *mesh.Call
}

type closeDelivery struct {
	token calls.Token
	reply ring.Reply
}

type findDelivery struct {
	token calls.Token
	reply ring.Reply
}

type newNestedCall struct {
	token calls.Token
	route *mesh.Route
	reply ring.Reply
}

type returnBudget struct {
	token               calls.Token
	delegated, returned int
	level               mesh.Class
}

// countCall counts a call that is sent over a link.
type countCall struct{ link netip.AddrPort }

// allowRetry requests a retry from the retry budget of a link.
type allowRetry struct {
	link  netip.AddrPort
	ratio float64
	reply ring.Reply
}

type callsAnswer struct {
	call     *mesh.Call
	refusal  *mesh.Refusal
	attempts int
	level    mesh.Class
	allowed  bool
}

// EventName implements mesh.Event.
func (countCall) EventName() string { return "count-call" }

// EventName implements mesh.Event.
func (allowRetry) EventName() string { return "take-retry" }

// EventName implements mesh.Event.
func (openDelivery) EventName() string { return "open-delivery" }

// EventName implements mesh.Event.
func (closeDelivery) EventName() string { return "close-delivery" }

// EventName implements mesh.Event.
func (findDelivery) EventName() string { return "find-delivery" }

// EventName implements mesh.Event.
func (newNestedCall) EventName() string { return "make-deeper" }

// EventName implements mesh.Event.
func (returnBudget) EventName() string { return "return-deeper" }

// EventName implements mesh.Event.
func (callsAnswer) EventName() string { return "calls-answer" }

func (e openDelivery) step(_ time.Time, d *callsDuty) {
	d.tracker.Open(e.token, e.call)
}

func (e closeDelivery) step(_ time.Time, d *callsDuty) {
	attempts, level := d.tracker.Close(e.token)
	e.reply.Answer(callsAnswer{attempts: attempts, level: level})
}

func (e findDelivery) step(_ time.Time, d *callsDuty) {
	call, found := d.tracker.Call(e.token)
	if !found {
		e.reply.Answer(callsAnswer{refusal: callEndedRefusal()})
		return
	}
	e.reply.Answer(callsAnswer{call: call})
}

func (e newNestedCall) step(now time.Time, d *callsDuty) {
	call, refusal := d.tracker.NewNested(now, e.token, e.route)
	e.reply.Answer(callsAnswer{call: call, refusal: refusal})
}

func (e returnBudget) step(_ time.Time, d *callsDuty) {
	d.tracker.ReturnBudget(e.token, e.delegated, e.returned, e.level)
}

func (e countCall) step(now time.Time, d *callsDuty) { d.linkBudgets.CountCall(now, e.link) }

func (e allowRetry) step(now time.Time, d *callsDuty) {
	e.reply.Answer(callsAnswer{allowed: d.linkBudgets.AllowRetry(now, e.link, e.ratio)})
}

func callEndedRefusal() (refusal *mesh.Refusal) {
	return mesh.NotRun(header.CallEnded, "the delivery identified by %s has ended", header.Call)
}

// request sends an event and waits for the reply. The duty replies without
// blocking, so the wait needs no timeout.
func (d *callsDuty) request(e callsEvent, reply ring.Reply) (a callsAnswer) {
	if !d.events.Offer(e) {
		return callsAnswer{refusal: mesh.NotRun(header.NodeBusy, "the request queue of the node is full")}
	}
	return (<-reply.Events()).(callsAnswer)
}

// Open records a delivery and returns the token that identifies it. It does not
// wait for a reply, since the duty handles later events with the token after this
// one.
func (d *callsDuty) Open(call *mesh.Call) (token calls.Token, refusal *mesh.Refusal) {
	token = calls.Token(rand.Text())
	if !d.events.Offer(openDelivery{token: token, call: call}) {
		return "", mesh.NotRun(header.NodeBusy, "the request queue of the node is full")
	}
	return token, nil
}

// Close ends a delivery. It returns the remaining retry budget and the lowest
// admission level that its nested calls reported.
func (d *callsDuty) Close(token calls.Token) (attempts int, level mesh.Class) {
	reply := ring.NewReply()
	_ = d.events.Send(context.Background(), closeDelivery{token: token, reply: reply})
	a := (<-reply.Events()).(callsAnswer)
	return a.attempts, a.level
}

// Find returns the call of a running delivery.
func (d *callsDuty) Find(token calls.Token) (call *mesh.Call, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	a := d.request(findDelivery{token: token, reply: reply}, reply)
	return a.call, a.refusal
}

// NewNested returns a nested call of a delivery to route.
func (d *callsDuty) NewNested(token calls.Token, route *mesh.Route) (call *mesh.Call, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	a := d.request(newNestedCall{token: token, route: route, reply: reply}, reply)
	return a.call, a.refusal
}

// ReturnBudget returns the unspent retry budget of a nested call to its delivery.
func (d *callsDuty) ReturnBudget(token calls.Token, delegated, returned int, level mesh.Class) {
	_ = d.events.Send(context.Background(), returnBudget{token: token, delegated: delegated, returned: returned, level: level})
}

// CountCall counts a call over a link.
func (d *callsDuty) CountCall(link netip.AddrPort) { d.events.Offer(countCall{link: link}) }

// AllowRetry reports whether the retry budget of a link allows a retry after a
// failed call, and counts the retry.
func (d *callsDuty) AllowRetry(link netip.AddrPort, ratio float64) (allowed bool) {
	reply := ring.NewReply()
	return d.request(allowRetry{link: link, ratio: ratio, reply: reply}, reply).allowed
}
