package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
)

const rosterRing = 256

// rosterDuty owns the membership table of hosts and targets. When its queue is full,
// messages of other hosts are dropped, since heartbeats and comparisons repeat, while
// announcements of targets block until there is space.
type rosterDuty struct {
	self     netip.AddrPort
	zone     mesh.ZoneName
	state    *roster.State
	events   *ring.Ring
	senders  senders
	client   *http.Client
	platform *platformDuty
	view     atomic.Pointer[roster.View]
	log      logs.Log

	// pushes numbers the pushes. The number is the key at the sender, so that no queued
	// push replaces another.
	pushes uint64

	// leaveReply is answered once pendingLeaveMessages is 0.
	leaveReply           ring.Reply
	pendingLeaveMessages int
}

func newRosterDuty(vars *expvar.Map, s Settings, log logs.Log) (d *rosterDuty) {
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := mesh.Host{Addr: s.PeerListen, Zone: s.Zone, Incarnation: mesh.NewIncarnation(now)}
	d = &rosterDuty{
		self:   s.PeerListen,
		zone:   s.Zone,
		state:  roster.New(now, self, random, roster.WithSeeds(s.Peers...)),
		events: ring.New(vars, "roster", rosterRing),
		log:    log,
	}
	d.view.Store(d.state.View())
	vars.Set("hosts", expvar.Func(d.countHosts))
	return d
}

// Name implements mesh.Duty.
func (d *rosterDuty) Name() string { return "roster" }

// View returns the current view of the hosts and targets.
func (d *rosterDuty) View() (v *roster.View) { return d.view.Load() }

// Peer returns a random host that accepts requests.
func (d *rosterDuty) Peer() (addr netip.AddrPort, found bool) {
	v := d.View()
	n := v.PeerCount()
	if n == 0 {
		return addr, false
	}
	return v.Peer(rand.IntN(n)), true
}

// countHosts returns the number of hosts in each state, for the metrics.
func (d *rosterDuty) countHosts() (counts any) {
	byState := make(map[string]int)
	for _, h := range d.View().Hosts {
		byState[h.State.String()]++
	}
	return byState
}

// sender identifies this host and its current incarnation.
func (d *rosterDuty) sender() (s roster.Sender) {
	self, _ := d.View().Host(d.self)
	return roster.Sender{Host: d.self, Incarnation: self.Incarnation}
}

// Run implements mesh.Duty.
func (d *rosterDuty) Run(ctx context.Context) (err error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(e)
		case <-timer.C:
			d.step(roster.TimerExpired{})
		}
		timer.Reset(time.Until(d.state.Next()))
	}
}

// handle processes one event of the queue. The duty itself handles the events of
// leaving, and its state all others.
func (d *rosterDuty) handle(e mesh.Event) {
	switch e := e.(type) {
	case rosterLeaveRequest:
		d.leaveReply = e.reply
		d.pendingLeaveMessages = 1
		d.step(roster.Left{})
		d.completeLeaveMessage()
	case leaveMessageDone:
		d.completeLeaveMessage()
	default:
		d.step(e)
	}
}

func (d *rosterDuty) step(e mesh.Event) {
	before := d.sender().Incarnation
	for _, a := range d.state.Step(time.Now(), e) {
		d.apply(a)
	}
	if d.sender().Incarnation != before {
		d.log.Infof("raised the incarnation of this host, since it was paused or suspected by others.")
	}
}

func (d *rosterDuty) apply(a roster.Action) {
	switch a := a.(type) {
	case roster.Publish:
		d.view.Store(a.View)
	case roster.Heartbeat:
		d.senders.Post(heartbeat{duty: d, to: a.To})
	case roster.Compare:
		d.senders.Post(compareHosts{duty: d, to: a.To})
	case roster.Push:
		d.pushes++
		d.addLeaveMessage()
		d.senders.PostKeyed(strconv.FormatUint(d.pushes, 10), pushHosts{duty: d, to: a.To, rows: a.Rows, leaving: d.isLeaving()})
	default:
		d.postPlatformJob(a)
	}
}

// rosterLeaveRequest asks the duty to mark this host as left and to answer once the
// other hosts and the platform have been notified.
type rosterLeaveRequest struct{ reply ring.Reply }

// EventName implements mesh.Event.
func (rosterLeaveRequest) EventName() string { return "farewell" }

// leaveMessageDone reports that one message of the leave was sent or failed. It is also
// the answer to rosterLeaveRequest.
type leaveMessageDone struct{}

// EventName implements mesh.Event.
func (leaveMessageDone) EventName() string { return "delivered" }

// Leave notifies other hosts and the platform that this host has left. It returns when
// all of these messages were sent or failed, or when ctx ends.
func (d *rosterDuty) Leave(ctx context.Context) (err error) {
	reply := ring.NewReply()
	if err := d.events.Send(ctx, rosterLeaveRequest{reply: reply}); err != nil {
		return err
	}
	select {
	case <-reply.Events():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// isLeaving reports whether messages of the leave are pending.
func (d *rosterDuty) isLeaving() (leaving bool) { return d.pendingLeaveMessages > 0 }

// addLeaveMessage counts a pending message if this host is leaving.
func (d *rosterDuty) addLeaveMessage() {
	if d.isLeaving() {
		d.pendingLeaveMessages++
	}
}

func (d *rosterDuty) completeLeaveMessage() {
	d.pendingLeaveMessages--
	if d.pendingLeaveMessages == 0 {
		d.leaveReply.Answer(leaveMessageDone{})
	}
}
