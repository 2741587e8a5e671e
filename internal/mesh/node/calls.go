package node

import (
	"context"
	"crypto/rand"
	"expvar"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const callsRing = 4096

// callsDuty owns the deliveries that run at the targets of this host. Full
// ring: a new delivery or deeper call is refused; ends of calls wait.
type callsDuty struct {
	book   *calls.Book
	events *ring.Ring
}

func newCallsDuty(vars *expvar.Map) (d *callsDuty) {
	return &callsDuty{book: calls.New(), events: ring.New(vars, "calls", callsRing)}
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
			e.(callsEvent).step(time.Now(), d.book)
		}
	}
}

// callsEvent is one operation on the book of deliveries.
type callsEvent interface {
	mesh.Event
	step(now time.Time, book *calls.Book)
}

type openDelivery struct {
	token calls.Token
	call  *mesh.Call
	reply ring.Reply
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

type callsAnswer struct {
	call     *mesh.Call
	refusal  *mesh.Refusal
	attempts int
	level    mesh.Class
}

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

func (e openDelivery) step(_ time.Time, book *calls.Book) {
	book.Open(e.token, e.call)
	e.reply.Answer(callsAnswer{})
}

func (e closeDelivery) step(_ time.Time, book *calls.Book) {
	attempts, level := book.Close(e.token)
	e.reply.Answer(callsAnswer{attempts: attempts, level: level})
}

func (e findDelivery) step(_ time.Time, book *calls.Book) {
	call, found := book.Call(e.token)
	if !found {
		e.reply.Answer(callsAnswer{refusal: callEnded()})
		return
	}
	e.reply.Answer(callsAnswer{call: call})
}

func (e makeDeeper) step(now time.Time, book *calls.Book) {
	call, refusal := book.Deeper(now, e.token, e.route)
	e.reply.Answer(callsAnswer{call: call, refusal: refusal})
}

func (e returnDeeper) step(_ time.Time, book *calls.Book) {
	book.Returned(e.token, e.given, e.returned, e.level)
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

// Open records a delivery and returns the token that stands for it.
func (d *callsDuty) Open(call *mesh.Call) (token calls.Token, refusal *mesh.Refusal) {
	token = calls.Token(rand.Text())
	reply := ring.NewReply()
	return token, d.ask(openDelivery{token: token, call: call, reply: reply}, reply).refusal
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
