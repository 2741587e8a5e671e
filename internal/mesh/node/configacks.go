package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// maxAcks bounds the entries of one acknowledgement.
const maxAcks = 256

// errQueueFull tells a peer to send its message again.
var errQueueFull = errors.New("the node has no room for the message")

// ackState is what a host has taken from this node. Another incarnation of the
// host may have forgotten it.
type ackState struct {
	incarnation mesh.Incarnation

	// own is this node's own entry, as its collector knows it.
	own config.Acked

	// sequence is the last collected entry that a poller knows.
	sequence uint64
}

// acknowledge reports the version in force to this node's collector, and what
// this node collected to the pollers. It sends nothing that was taken before.
func (d *configDuty) acknowledge() {
	v := d.View()
	if v == nil {
		return
	}
	own := config.Acked{Host: d.self, Incarnation: d.incarnationOf(d.self), Version: v.Version}
	collectors := d.zoneCollectors()
	collector, found := collectors.Of(d.self)
	switch {
	case found && collector == d.self:
		d.acks.Take(own)
	case found:
		d.reportOwn(collector, own)
	}
	for _, p := range collectors.Pollers() {
		if p != d.self {
			d.reportCollected(p)
		}
	}
	for addr := range d.ackStates {
		if addr != collector && !slices.Contains(collectors.Pollers(), addr) {
			delete(d.ackStates, addr)
		}
	}
}

// ackStateOf returns what a host has taken in its present incarnation.
func (d *configDuty) ackStateOf(to netip.AddrPort) (r ackState) {
	in := d.incarnationOf(to)
	if r = d.ackStates[to]; r.incarnation != in {
		return ackState{incarnation: in}
	}
	return r
}

func (d *configDuty) reportOwn(to netip.AddrPort, own config.Acked) {
	if r := d.ackStateOf(to); r.own != own {
		r.own = own
		d.senders.PostKeyed("own", sendAcks{duty: d, to: to, acks: []config.Acked{own}, after: r})
	}
}

func (d *configDuty) reportCollected(to netip.AddrPort) {
	r := d.ackStateOf(to)
	var acks []config.Acked
	if acks, r.sequence = d.acks.Since(r.sequence, maxAcks); len(acks) > 0 {
		d.senders.PostKeyed("collected", sendAcks{duty: d, to: to, acks: acks, collected: true, after: r})
	}
}

// sendAcks reports versions in force to a collector or poller.
type sendAcks struct {
	duty      *configDuty
	to        netip.AddrPort
	acks      []config.Acked
	collected bool

	// after is what the receiver knows after it took the message.
	after ackState
}

// EventName implements mesh.Event.
func (sendAcks) EventName() string { return "send-acks" }

// To implements mesh.Message.
func (m sendAcks) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m sendAcks) Send(ctx context.Context) (err error) {
	_, err = m.duty.peer(m.to).Acknowledge(ctx, &wire.Acknowledgement{
		Sender:    m.duty.sender(),
		Acks:      wire.FromAcks(m.acks),
		Collected: m.collected,
	})
	if err != nil {
		return fmt.Errorf("acknowledge version: %w", err)
	}
	m.duty.events.Offer(acksDelivered{by: m.to, collected: m.collected, after: m.after})
	return nil
}

// acksDelivered says that a host took a report.
type acksDelivered struct {
	by        netip.AddrPort
	collected bool
	after      ackState
}

// EventName implements mesh.Event.
func (acksDelivered) EventName() string { return "acks-taken" }

// recordDelivery notes what a host knows now. A poller may be the collector too, so
// each kind of message changes its own part only.
func (d *configDuty) recordDelivery(e acksDelivered) {
	r := d.ackStateOf(e.by)
	switch {
	case r.incarnation != e.after.incarnation:
		return
	case e.collected:
		r.sequence = max(r.sequence, e.after.sequence)
	default:
		r.own = e.after.own
	}
	d.ackStates[e.by] = r
}

// acksReceived brings a message of acknowledgements.
type acksReceived struct{ acks []config.Acked }

// EventName implements mesh.Event.
func (acksReceived) EventName() string { return "acks-came" }

// Acknowledge implements wire.Config.
func (d *configDuty) Acknowledge(_ context.Context, m *wire.Acknowledgement) (answer *wire.Acknowledged, err error) {
	if _, valid := d.currentSender(m.GetSender()); !valid {
		return &wire.Acknowledged{}, nil
	}
	acks, err := wire.ToAcks(m.GetAcks(), m.GetCollected())
	if err != nil {
		return nil, err
	}
	if !d.events.Offer(acksReceived{acks: acks}) {
		return nil, errQueueFull
	}
	return &wire.Acknowledged{}, nil
}
