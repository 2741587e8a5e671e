package wire

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
)

// FromRow encodes a membership entry. Its end time is sent as an age at now, because the
// clocks of hosts differ.
func FromRow(r roster.Row, now time.Time) (row *HostRow) {
	row = &HostRow{
		Addr:        fromAddr(r.Host.Addr),
		Zone:        string(r.Host.Zone),
		Incarnation: uint64(r.Host.Incarnation),
		Revision:    r.Host.Revision,
		State:       uint32(r.Host.State),
	}
	if !r.DownSince.IsZero() {
		row.EndedAge = int64(now.Sub(r.DownSince))
	}
	for _, t := range r.Host.Targets {
		row.Targets = append(row.Targets, &TargetRow{
			Service:     string(t.Service),
			Addr:        fromAddr(t.Addr),
			Slots:       uint32(t.Slots),
			Connections: uint32(t.Connections),
			Incarnation: uint64(t.Incarnation),
			Draining:    t.Draining,
		})
	}
	return row
}

// FromRows encodes several membership entries.
func FromRows(rows []roster.Row, now time.Time) (messages []*HostRow) {
	for _, r := range rows {
		messages = append(messages, FromRow(r, now))
	}
	return messages
}

// ToRow decodes a membership entry that was received at now.
func ToRow(row *HostRow, now time.Time) (r roster.Row, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("host row %x: %w", row.GetAddr(), err)
		}
	}()
	if row.GetState() > uint32(mesh.HostLeft) {
		return r, fmt.Errorf("unknown host state %d", row.GetState())
	}
	r.Host = mesh.Host{
		Zone:        mesh.ZoneName(row.GetZone()),
		Incarnation: mesh.Incarnation(row.GetIncarnation()),
		Revision:    row.GetRevision(),
		State:       mesh.HostState(row.GetState()),
	}
	if r.Host.State == mesh.HostSuspect || r.Host.State == mesh.HostLeft {
		r.DownSince = now.Add(-time.Duration(max(0, row.GetEndedAge())))
	}
	if r.Host.Addr, err = toAddr(row.GetAddr()); err != nil {
		return r, err
	}
	for _, t := range row.GetTargets() {
		addr, err := toAddr(t.GetAddr())
		if err != nil {
			return r, err
		}
		r.Host.Targets = append(r.Host.Targets, mesh.Target{
			Service:     mesh.ServiceName(t.GetService()),
			Addr:        addr,
			Slots:       int(t.GetSlots()),
			Connections: int(t.GetConnections()),
			Incarnation: mesh.Incarnation(t.GetIncarnation()),
			Draining:    t.GetDraining(),
		})
	}
	return r, nil
}

// ToRows decodes several membership entries.
func ToRows(messages []*HostRow, now time.Time) (rows []roster.Row, err error) {
	for _, m := range messages {
		r, err := ToRow(m, now)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func fromAddr(addr netip.AddrPort) (data []byte) {
	data = addr.Addr().AsSlice()
	return binary.BigEndian.AppendUint16(data, addr.Port())
}

func toAddr(data []byte) (addr netip.AddrPort, err error) {
	n := len(data) - 2
	if n < 0 {
		return addr, fmt.Errorf("invalid address length: %d bytes", len(data))
	}
	ip, valid := netip.AddrFromSlice(data[:n])
	if !valid {
		return addr, fmt.Errorf("invalid address length: %d bytes", len(data))
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[n:])), nil
}
