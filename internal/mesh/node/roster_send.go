package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// heartbeatTimeout limits a heartbeat. It is well below the time after which a host becomes
// suspect, so that a peer that hangs does not delay the heartbeats to the peers that
// share its sender for too long.
const heartbeatTimeout = 300 * time.Millisecond

func (d *rosterDuty) peer(to netip.AddrPort) (peer wire.Roster) {
	return wire.NewRosterProtobufClient(peerURL(to), d.client)
}

// handleReceipt processes the receipt of a peer: it proves that the peer is alive, and
// may object to the state or incarnation of this host.
func (d *rosterDuty) handleReceipt(r *wire.Receipt) (from roster.Sender, err error) {
	from, err = toSender(r.GetSender())
	if err != nil {
		return from, err
	}
	d.events.Offer(roster.MessageReceived{From: from})
	if r.GetObjection() == nil {
		return from, nil
	}
	row, err := wire.ToRow(r.GetObjection(), time.Now())
	if err != nil {
		return from, err
	}
	if row.Host.Addr == d.self {
		d.events.Offer(roster.ConflictReceived{Row: row})
	}
	return from, nil
}

// heartbeat is a message to a host that monitors this one.
type heartbeat struct {
	duty *rosterDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (heartbeat) EventName() string { return "beat" }

// To implements mesh.Message.
func (m heartbeat) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m heartbeat) Send(ctx context.Context) (err error) {
	defer annotate(&err, "heartbeat")
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	receipt, err := m.duty.peer(m.to).Beat(ctx, &wire.Heartbeat{Sender: fromSender(m.duty.sender())})
	if err != nil {
		return err
	}
	from, err := m.duty.handleReceipt(receipt)
	if receipt.GetUnknown() {
		m.duty.events.Offer(roster.UnknownToPeer{Peer: from.Host})
	}
	return err
}

// pushHosts is a message that carries changed rows to a peer.
type pushHosts struct {
	duty *rosterDuty
	to   netip.AddrPort
	rows []roster.Row

	// leaving is true for a push when this host leaves.
	leaving bool
}

// EventName implements mesh.Event.
func (pushHosts) EventName() string { return "push-hosts" }

// To implements mesh.Message.
func (m pushHosts) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m pushHosts) Send(ctx context.Context) (err error) {
	defer annotate(&err, "push hosts")
	if m.leaving {
		defer m.duty.events.Offer(leaveMessageDone{})
	}
	rows := &wire.HostRows{Sender: fromSender(m.duty.sender()), Hosts: wire.FromRows(m.rows, time.Now())}
	receipt, err := m.duty.peer(m.to).Push(ctx, rows)
	if err != nil {
		return err
	}
	_, err = m.duty.handleReceipt(receipt)
	return err
}

// compareHosts is a message that compares the membership tables of this host and a peer
// (anti-entropy).
type compareHosts struct {
	duty *rosterDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (compareHosts) EventName() string { return "compare-hosts" }

// To implements mesh.Message.
func (m compareHosts) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message. It compares the root digests first, and the digests of
// the buckets only if the roots differ.
func (m compareHosts) Send(ctx context.Context) (err error) {
	defer annotate(&err, "compare hosts")
	v := m.duty.View()
	difference, _, err := m.exchangeDigests(ctx, &wire.TableDigests{Root: v.Digest()})
	if err != nil || !difference.GetDiffers() {
		return err
	}
	full, from, err := m.exchangeDigests(ctx, &wire.TableDigests{Root: v.Digest(), Digests: v.Digests()})
	if err != nil {
		return err
	}
	rows, err := wire.ToRows(full.GetHosts(), time.Now())
	if err != nil {
		return err
	}
	c := roster.Compared{From: from, Rows: rows, More: full.GetMore()}
	for _, b := range full.GetBuckets() {
		c.Buckets = append(c.Buckets, int(b))
	}
	m.duty.events.Offer(c)
	return nil
}

func (m compareHosts) exchangeDigests(ctx context.Context, digests *wire.TableDigests) (difference *wire.TableDifference, from roster.Sender, err error) {
	digests.Sender = fromSender(m.duty.sender())
	difference, err = m.duty.peer(m.to).Compare(ctx, digests)
	if err != nil {
		return nil, from, err
	}
	from, err = m.duty.handleReceipt(difference.GetReceipt())
	return difference, from, err
}

// annotate prefixes a non-nil error with what was attempted.
func annotate(err *error, what string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", what, *err)
	}
}
