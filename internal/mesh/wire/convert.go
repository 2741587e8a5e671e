package wire

import (
	"fmt"
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// FromHost returns the message for a host.
func FromHost(h mesh.Host) (row *HostRow) {
	row = &HostRow{
		Addr:        h.Addr.String(),
		Zone:        string(h.Zone),
		Incarnation: uint64(h.Incarnation),
		Revision:    h.Revision,
		State:       uint32(h.State),
	}
	for _, t := range h.Targets {
		row.Targets = append(row.Targets, &TargetRow{
			Service:     string(t.Service),
			Addr:        t.Addr.String(),
			Slots:       uint32(t.Slots),
			Connections: uint32(t.Connections),
			Incarnation: uint64(t.Incarnation),
			Draining:    t.Draining,
		})
	}
	return row
}

// ToHost returns the host that a message describes.
func ToHost(row *HostRow) (h mesh.Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("host row %q: %w", row.GetAddr(), err)
		}
	}()
	h = mesh.Host{
		Zone:        mesh.ZoneName(row.GetZone()),
		Incarnation: mesh.Incarnation(row.GetIncarnation()),
		Revision:    row.GetRevision(),
		State:       mesh.HostState(row.GetState()),
	}
	if h.Addr, err = netip.ParseAddrPort(row.GetAddr()); err != nil {
		return h, err
	}
	for _, t := range row.GetTargets() {
		addr, err := netip.ParseAddrPort(t.GetAddr())
		if err != nil {
			return h, err
		}
		h.Targets = append(h.Targets, mesh.Target{
			Service:     mesh.ServiceName(t.GetService()),
			Addr:        addr,
			Slots:       int(t.GetSlots()),
			Connections: int(t.GetConnections()),
			Incarnation: mesh.Incarnation(t.GetIncarnation()),
			Draining:    t.GetDraining(),
		})
	}
	return h, nil
}
