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

// maxAcks is the maximum number of entries in one acknowledgement message.
const maxAcks = 256

// errQueueFull rejects a message of a peer; the peer sends it again later.
var errQueueFull = errors.New("the message queue of the node is full")

// ackState is what a host has confirmed to have received from this node. It holds for
// one incarnation only: a host that restarts loses what it received.
type ackState struct {
	incarnation mesh.Incarnation

	// own is this node's own entry, as last received by its collector.
	own config.Ack

	// sequence is the number of the last collected entry that a poller has received.
	sequence uint64
}

// acknowledge reports the version in force to this node's collector, and the entries
// that this node has collected to the pollers. Entries that the receiver has confirmed
// are not sent again.
func (d *configDuty) acknowledge() {
	v := d.View()
	if v == nil {
		return
	}
	own := config.Ack{Host: d.self, Incarnation: d.incarnationOf(d.self), Version: v.Version}
	collectors := d.zoneCollectors()
	collector, found := collectors.Of(d.self)
	switch {
	case found && collector == d.self:
		d.acks.Record(own)
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

// ackStateOf returns what a host has received in its current incarnation.
func (d *configDuty) ackStateOf(to netip.AddrPort) (r ackState) {
	in := d.incarnationOf(to)
	if r = d.ackStates[to]; r.incarnation != in {
		return ackState{incarnation: in}
	}
	return r
}

func (d *configDuty) reportOwn(to netip.AddrPort, own config.Ack) {
	if r := d.ackStateOf(to); r.own != own {
		r.own = own
		d.senders.PostKeyed("own", sendAcks{duty: d, to: to, acks: []config.Ack{own}, after: r})
	}
}

func (d *configDuty) reportCollected(to netip.AddrPort) {
	r := d.ackStateOf(to)
	var acks []config.Ack
	if acks, r.sequence = d.acks.Since(r.sequence, maxAcks); len(acks) > 0 {
		d.senders.PostKeyed("collected", sendAcks{duty: d, to: to, acks: acks, collected: true, after: r})
	}
}

// sendAcks is a message that reports versions in force to a collector or poller.
type sendAcks struct {
	duty      *configDuty
	to        netip.AddrPort
	acks      []config.Ack
	collected bool

	// after is the receiver's state once it has received the message.
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

// acksDelivered reports that a host has received a sendAcks message.
type acksDelivered struct {
	by        netip.AddrPort
	collected bool
	after     ackState
}

// EventName implements mesh.Event.
func (acksDelivered) EventName() string { return "acks-taken" }

// recordDelivery updates the state of a receiver. A poller may also be the collector,
// so each kind of message changes only its own part.
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

// acksReceived carries the entries of an acknowledgement message from another host.
type acksReceived struct{ acks []config.Ack }

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
