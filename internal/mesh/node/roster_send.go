package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// beatTimeout bounds a heartbeat. It is well below the time in which a host
// turns suspect, so that a peer that hangs does not hold up the heartbeats to
// others that share its sender.
const beatTimeout = 300 * time.Millisecond

func (d *rosterDuty) peer(to netip.AddrPort) (peer wire.Roster) {
	return wire.NewRosterProtobufClient(peerURL(to), d.client)
}

// handleReceipt takes in what the answer of a peer says of this host and of itself.
func (d *rosterDuty) handleReceipt(r *wire.Receipt) (from roster.Sender, err error) {
	from, err = toSender(r.GetSender())
	if err != nil {
		return from, err
	}
	d.events.Offer(roster.Heard{From: from})
	if r.GetObjection() == nil {
		return from, nil
	}
	row, err := wire.ToRow(r.GetObjection(), time.Now())
	if err != nil {
		return from, err
	}
	if row.Host.Addr == d.self {
		d.events.Offer(roster.Objected{Row: row})
	}
	return from, nil
}

// beat is a heartbeat to a host that watches this one.
type beat struct {
	duty *rosterDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (beat) EventName() string { return "beat" }

// To implements mesh.Message.
func (m beat) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m beat) Send(ctx context.Context) (err error) {
	defer annotate(&err, "beat")
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	receipt, err := m.duty.peer(m.to).Beat(ctx, &wire.Heartbeat{Sender: fromSender(m.duty.sender())})
	if err != nil {
		return err
	}
	from, err := m.duty.handleReceipt(receipt)
	if receipt.GetUnknown() {
		m.duty.events.Offer(roster.Asked{By: from.Host})
	}
	return err
}

// pushHosts brings changed rows to a peer.
type pushHosts struct {
	duty *rosterDuty
	to   netip.AddrPort
	rows []roster.Row

	// leaving marks a push of the farewell.
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

// compareHosts compares the tables of this host and a peer.
type compareHosts struct {
	duty *rosterDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (compareHosts) EventName() string { return "compare-hosts" }

// To implements mesh.Message.
func (m compareHosts) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message. It compares roots first and buckets only when
// those differ.
func (m compareHosts) Send(ctx context.Context) (err error) {
	defer annotate(&err, "compare hosts")
	v := m.duty.View()
	difference, _, err := m.exchangeDigests(ctx, &wire.TableDigests{Root: v.Root()})
	if err != nil || !difference.GetDiffers() {
		return err
	}
	full, from, err := m.exchangeDigests(ctx, &wire.TableDigests{Root: v.Root(), Digests: v.Digests()})
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

func annotate(err *error, what string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", what, *err)
	}
}
