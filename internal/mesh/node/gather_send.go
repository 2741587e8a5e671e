package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/claim"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gather"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	// batchSenderCount is at least as many as the batches that the book of
	// claims has under way, so that none waits behind a slow gatherer.
	batchSenderCount = 4

	// batchRing is how many batches wait for a sender.
	batchRing = 16

	// avoidTime is how long a gatherer that did not answer gets no batches.
	avoidTime = 2 * time.Second

	// gatherersInterval bounds how often the gatherers are worked out anew
	// while the roster changes, since that looks at every host.
	gatherersInterval = time.Second
)

// gatherers knows the gatherers of the zone. The claim duty owns it.
type gatherers struct {
	self    netip.AddrPort
	zone    mesh.ZoneName
	roster  func() *roster.View
	batches *ring.Ring

	// order holds the gatherers of view, the one to ask first in front. It is
	// the same on all hosts, so that one gatherer works and the others stand
	// by; a gatherer only asks those before it.
	order []netip.AddrPort
	view  *roster.View

	// chosenAt is when order was worked out.
	chosenAt time.Time

	// avoid is until when a gatherer gets no batches.
	avoid map[netip.AddrPort]time.Time
}

func newGatherers(vars *expvar.Map, s Settings, view func() *roster.View) (g *gatherers) {
	return &gatherers{
		self: s.PeerListen, zone: s.Zone, roster: view,
		batches: ring.New(vars, "batch-sender", batchRing),
		avoid:   make(map[netip.AddrPort]time.Time),
	}
}

// first returns the gatherer to ask, or false when this node writes its claims
// itself.
func (g *gatherers) first(now time.Time) (to netip.AddrPort, found bool) {
	g.follow(now)
	for _, addr := range g.order {
		if !now.Before(g.avoid[addr]) {
			delete(g.avoid, addr)
			return addr, true
		}
	}
	return to, false
}

// follow brings the order to the roster in force.
func (g *gatherers) follow(now time.Time) {
	view := g.roster()
	if view == g.view || now.Before(g.chosenAt.Add(gatherersInterval)) {
		return
	}
	g.view, g.chosenAt, g.order = view, now, nil
	g.order = gather.Choose(g.zone, view.Hosts)
	if i := slices.Index(g.order, g.self); i >= 0 {
		g.order = g.order[:i]
	}
	for addr, until := range g.avoid {
		if !now.Before(until) {
			delete(g.avoid, addr)
		}
	}
}

// offer hands a transaction to a gatherer and reports false when this node has
// to write it itself. Only conditional writes may be late or be done twice.
func (g *gatherers) offer(now time.Time, events *ring.Ring, c claim.Commit) (taken bool) {
	unconditional := func(w mesh.Write) bool { return w.Condition == mesh.Always }
	if g == nil || slices.ContainsFunc(c.Writes, unconditional) {
		return false
	}
	to, found := g.first(now)
	return found && g.batches.Offer(gatherBatch{to: to, events: events, commit: c})
}

// gatherBatch is a transaction on its way to a gatherer.
type gatherBatch struct {
	to     netip.AddrPort
	events *ring.Ring
	commit claim.Commit
}

// EventName implements mesh.Event.
func (gatherBatch) EventName() string { return "gather-batch" }

// gatherEnded brings what a gatherer made of a transaction. Err is as with
// Table.Commit, or gather.ErrNotWritten.
type gatherEnded struct {
	to     netip.AddrPort
	commit claim.Commit
	err    error

	// silent is true when the gatherer gave no answer.
	silent bool
}

// EventName implements mesh.Event.
func (gatherEnded) EventName() string { return "gather-ended" }

// gathered takes in the end of a transaction at a gatherer. One that was not
// written goes to the platform directly; one without an answer is looked into
// like any lost answer.
func (d *claimDuty) gathered(now time.Time, e gatherEnded) {
	notWritten := errors.Is(e.err, gather.ErrNotWritten)
	if e.silent || notWritten {
		d.gatherers.avoid[e.to] = now.Add(avoidTime)
	}
	if notWritten {
		d.post(now, e.commit.Batch, commitClaims{events: d.events, commit: e.commit})
		return
	}
	d.apply(now, d.book.Step(now, claim.Written{Batch: e.commit.Batch, Err: e.err}))
}

// batchSender sends transactions to gatherers. Full ring: the claim duty writes
// the transaction at the platform itself.
type batchSender struct {
	number  int
	batches *ring.Ring
	client  *http.Client
	log     logs.Log
}

func newBatchSenders(g *gatherers, client *http.Client, log logs.Log) (duties []mesh.Duty) {
	for i := range batchSenderCount {
		duties = append(duties, &batchSender{number: i, batches: g.batches, client: client, log: log})
	}
	return duties
}

// Name implements mesh.Duty.
func (d *batchSender) Name() string { return fmt.Sprintf("batch-sender-%d", d.number) }

// Run implements mesh.Duty.
func (d *batchSender) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.batches.Events():
			b := e.(gatherBatch)
			_ = b.events.Send(ctx, d.send(ctx, b))
		}
	}
}

func (d *batchSender) send(ctx context.Context, b gatherBatch) (ended gatherEnded) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	ended = gatherEnded{to: b.to, commit: b.commit}
	peer := wire.NewGatherProtobufClient(peerURL(b.to), d.client)
	outcome, err := peer.Commit(ctx, wire.FromWrites(b.commit.Writes))
	if err != nil {
		d.log.Infof("the gatherer %s did not answer: %v.", b.to, err)
		ended.silent, ended.err = true, mesh.ErrPlatformUnavailable
		return ended
	}
	ended.err = wire.ToOutcome(outcome)
	return ended
}
