package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// Beat implements wire.Roster.
func (d *rosterDuty) Beat(_ context.Context, m *wire.Heartbeat) (r *wire.Receipt, err error) {
	from, err := toSender(m.GetSender())
	if err != nil {
		return nil, err
	}
	d.events.Offer(roster.MessageReceived{From: from})
	return d.receipt(from), nil
}

// Push implements wire.Roster.
func (d *rosterDuty) Push(_ context.Context, m *wire.HostRows) (r *wire.Receipt, err error) {
	from, err := toSender(m.GetSender())
	if err != nil {
		return nil, err
	}
	rows, err := wire.ToRows(m.GetHosts(), time.Now())
	if err != nil {
		return nil, twirp.InvalidArgumentError("hosts", err.Error())
	}
	d.events.Offer(roster.PushReceived{From: from, Rows: rows})
	return d.receipt(from), nil
}

// Compare implements wire.Roster.
func (d *rosterDuty) Compare(_ context.Context, m *wire.TableDigests) (t *wire.TableDifference, err error) {
	from, err := toSender(m.GetSender())
	if err != nil {
		return nil, err
	}
	d.events.Offer(roster.MessageReceived{From: from})
	v := d.View()
	t = &wire.TableDifference{Receipt: d.receipt(from), Differs: m.GetRoot() != v.Digest()}
	if len(m.GetDigests()) == 0 {
		return t, nil
	}
	buckets, rows, more := v.Differing(m.GetDigests(), rand.IntN(roster.BucketCount))
	t.Hosts, t.More = wire.FromRows(rows, time.Now()), more
	for _, b := range buckets {
		t.Buckets = append(t.Buckets, uint32(b))
	}
	return t, nil
}

// receipt returns the answer to a message. Its objection informs a sender that is
// recorded here as suspect or left, or of which a later incarnation is known.
func (d *rosterDuty) receipt(to roster.Sender) (r *wire.Receipt) {
	v := d.View()
	_, known := v.Host(to.Host)
	r = &wire.Receipt{Sender: fromSender(d.sender()), Unknown: !known}
	if row, objects := v.ConflictingRow(to.Host, to.Incarnation); objects {
		r.Objection = wire.FromRow(row, time.Now())
	}
	return r
}

func fromSender(s roster.Sender) (m *wire.Sender) {
	return &wire.Sender{Host: s.Host.String(), Incarnation: uint64(s.Incarnation)}
}

func toSender(m *wire.Sender) (s roster.Sender, err error) {
	host, err := netip.ParseAddrPort(m.GetHost())
	if err != nil {
		return s, twirp.InvalidArgumentError("sender", fmt.Sprintf("is not a host address: %q", m.GetHost()))
	}
	return roster.Sender{Host: host, Incarnation: mesh.Incarnation(m.GetIncarnation())}, nil
}
