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

// callsDuty owns the deliveries that run at the targets of this host, and the
// retry budgets of this node's links. Full ring: a new delivery, deeper call or
// retry is refused, a count is dropped; ends of calls wait.
type callsDuty struct {
	book   *calls.Tracker
	ratios *retry.LinkBudgets
	events *ring.Ring
}

func newCallsDuty(vars *expvar.Map) (d *callsDuty) {
	return &callsDuty{book: calls.New(), ratios: retry.NewLinkBudgets(), events: ring.New(vars, "calls", callsRing)}
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

// callsEvent is one operation on the duty's state.
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

type makeDeeper struct {
	token calls.Token
	route *mesh.Route
	reply ring.Reply
}

type returnDeeper struct {
	token           calls.Token
	given, returned int
	level           mesh.Class
}

// countCall says that a call goes over a link.
type countCall struct{ link netip.AddrPort }

// takeRetry asks for a retry after a failed call over a link.
type takeRetry struct {
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
func (takeRetry) EventName() string { return "take-retry" }

// EventName implements mesh.Event.
func (openDelivery) EventName() string { return "open-delivery" }

// EventName implements mesh.Event.
func (closeDelivery) EventName() string { return "close-delivery" }

// EventName implements mesh.Event.
func (findDelivery) EventName() string { return "find-delivery" }

// EventName implements mesh.Event.
func (makeDeeper) EventName() string { return "make-deeper" }

// EventName implements mesh.Event.
func (returnDeeper) EventName() string { return "return-deeper" }

// EventName implements mesh.Event.
func (callsAnswer) EventName() string { return "calls-answer" }

func (e openDelivery) step(_ time.Time, d *callsDuty) {
	d.book.Open(e.token, e.call)
}

func (e closeDelivery) step(_ time.Time, d *callsDuty) {
	attempts, level := d.book.Close(e.token)
	e.reply.Answer(callsAnswer{attempts: attempts, level: level})
}

func (e findDelivery) step(_ time.Time, d *callsDuty) {
	call, found := d.book.Call(e.token)
	if !found {
		e.reply.Answer(callsAnswer{refusal: callEnded()})
		return
	}
	e.reply.Answer(callsAnswer{call: call})
}

func (e makeDeeper) step(now time.Time, d *callsDuty) {
	call, refusal := d.book.NewNested(now, e.token, e.route)
	e.reply.Answer(callsAnswer{call: call, refusal: refusal})
}

func (e returnDeeper) step(_ time.Time, d *callsDuty) {
	d.book.ReturnBudget(e.token, e.given, e.returned, e.level)
}

func (e countCall) step(now time.Time, d *callsDuty) { d.ratios.CountCall(now, e.link) }

func (e takeRetry) step(now time.Time, d *callsDuty) {
	e.reply.Answer(callsAnswer{allowed: d.ratios.AllowRetry(now, e.link, e.ratio)})
}

func callEnded() (refusal *mesh.Refusal) {
	return mesh.NotRun(header.CallEnded, "the delivery that %s stands for has ended", header.Call)
}

// ask offers an event and waits for its answer. The duty answers at once, so
// the wait needs no deadline of its own.
func (d *callsDuty) ask(e callsEvent, reply ring.Reply) (a callsAnswer) {
	if !d.events.Offer(e) {
		return callsAnswer{refusal: mesh.NotRun(header.NodeBusy, "the node has no room for another call")}
	}
	return (<-reply.Events()).(callsAnswer)
}

// Open records a delivery and returns the token that stands for it. It does not
// wait: whatever else is said of the token reaches the duty after it.
func (d *callsDuty) Open(call *mesh.Call) (token calls.Token, refusal *mesh.Refusal) {
	token = calls.Token(rand.Text())
	if !d.events.Offer(openDelivery{token: token, call: call}) {
		return "", mesh.NotRun(header.NodeBusy, "the node has no room for another call")
	}
	return token, nil
}

// Close ends a delivery and returns what is left of its retry budget and the
// lowest level that its deeper calls met.
func (d *callsDuty) Close(token calls.Token) (attempts int, level mesh.Class) {
	reply := ring.NewReply()
	_ = d.events.Send(context.Background(), closeDelivery{token: token, reply: reply})
	a := (<-reply.Events()).(callsAnswer)
	return a.attempts, a.level
}

// Find returns the call of a delivery that runs.
func (d *callsDuty) Find(token calls.Token) (call *mesh.Call, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	a := d.ask(findDelivery{token: token, reply: reply}, reply)
	return a.call, a.refusal
}

// Deeper returns the call that a target makes to route.
func (d *callsDuty) Deeper(token calls.Token, route *mesh.Route) (call *mesh.Call, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	a := d.ask(makeDeeper{token: token, route: route, reply: reply}, reply)
	return a.call, a.refusal
}

// Returned takes back what a deeper call left of its retry budget.
func (d *callsDuty) Returned(token calls.Token, given, returned int, level mesh.Class) {
	_ = d.events.Send(context.Background(), returnDeeper{token: token, given: given, returned: returned, level: level})
}

// Called counts a call over a link.
func (d *callsDuty) Called(link netip.AddrPort) { d.events.Offer(countCall{link: link}) }

// MayRetry takes a retry after a failed call over a link from the budget of
// that link.
func (d *callsDuty) MayRetry(link netip.AddrPort, ratio float64) (allowed bool) {
	reply := ring.NewReply()
	return d.ask(takeRetry{link: link, ratio: ratio, reply: reply}, reply).allowed
}
