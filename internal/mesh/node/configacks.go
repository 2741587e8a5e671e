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

// errBusy tells a peer to send its message again.
var errBusy = errors.New("the node has no room for the message")

// report is what a host has taken from this node. Another incarnation of the
// host may have forgotten it.
type report struct {
	incarnation mesh.Incarnation

	// own is this node's own entry, as its collector knows it.
	own config.Ack

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
	for addr := range d.reported {
		if addr != collector && !slices.Contains(collectors.Pollers(), addr) {
			delete(d.reported, addr)
		}
	}
}

// known returns what a host has taken in its present incarnation.
func (d *configDuty) known(to netip.AddrPort) (r report) {
	in := d.incarnationOf(to)
	if r = d.reported[to]; r.incarnation != in {
		return report{incarnation: in}
	}
	return r
}

func (d *configDuty) reportOwn(to netip.AddrPort, own config.Ack) {
	if r := d.known(to); r.own != own {
		r.own = own
		d.senders.PostKeyed("own", sendAcks{duty: d, to: to, acks: []config.Ack{own}, then: r})
	}
}

func (d *configDuty) reportCollected(to netip.AddrPort) {
	r := d.known(to)
	var acks []config.Ack
	if acks, r.sequence = d.acks.Since(r.sequence, maxAcks); len(acks) > 0 {
		d.senders.PostKeyed("collected", sendAcks{duty: d, to: to, acks: acks, collected: true, then: r})
	}
}

// sendAcks reports versions in force to a collector or poller.
type sendAcks struct {
	duty      *configDuty
	to        netip.AddrPort
	acks      []config.Ack
	collected bool

	// then is what the receiver knows after it took the message.
	then report
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
	m.duty.events.Offer(acksTaken{by: m.to, collected: m.collected, then: m.then})
	return nil
}

// acksTaken says that a host took a report.
type acksTaken struct {
	by        netip.AddrPort
	collected bool
	then      report
}

// EventName implements mesh.Event.
func (acksTaken) EventName() string { return "acks-taken" }

// taken notes what a host knows now. A poller may be the collector too, so
// each kind of message changes its own part only.
func (d *configDuty) taken(e acksTaken) {
	r := d.known(e.by)
	switch {
	case r.incarnation != e.then.incarnation:
		return
	case e.collected:
		r.sequence = max(r.sequence, e.then.sequence)
	default:
		r.own = e.then.own
	}
	d.reported[e.by] = r
}

// acksCame brings a message of acknowledgements.
type acksCame struct{ acks []config.Ack }

// EventName implements mesh.Event.
func (acksCame) EventName() string { return "acks-came" }

// Acknowledge implements wire.Config.
func (d *configDuty) Acknowledge(_ context.Context, m *wire.Acknowledgement) (answer *wire.Acknowledged, err error) {
	if _, valid := d.current(m.GetSender()); !valid {
		return &wire.Acknowledged{}, nil
	}
	acks, err := wire.ToAcks(m.GetAcks(), m.GetCollected())
	if err != nil {
		return nil, err
	}
	if !d.events.Offer(acksCame{acks: acks}) {
		return nil, errBusy
	}
	return &wire.Acknowledged{}, nil
}
