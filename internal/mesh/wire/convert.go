package wire

import (
	"fmt"
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
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

// FromSnapshot returns the message for a snapshot.
func FromSnapshot(s *config.Snapshot) (m *Snapshot) {
	m = &Snapshot{Version: s.Version, Nonce: s.Nonce, Tree: s.Text}
	for hash, key := range s.Keys {
		m.Keys = append(m.Keys, &Key{Hash: hash[:], Organisation: string(key.Organisation), Withdrawn: key.Withdrawn})
	}
	return m
}

// ToSnapshot returns the snapshot in a message, with its tree parsed and
// checked.
func ToSnapshot(m *Snapshot) (s *config.Snapshot, err error) {
	s = &config.Snapshot{Version: m.GetVersion(), Nonce: m.GetNonce(), Text: m.GetTree(), Keys: make(map[mesh.KeyHash]config.Key)}
	if s.Tree, err = parse.Tree(s.Text); err != nil {
		return nil, fmt.Errorf("snapshot %d: %w", s.Version, err)
	}
	for _, k := range m.GetKeys() {
		var hash mesh.KeyHash
		copy(hash[:], k.GetHash())
		s.Keys[hash] = config.Key{Organisation: mesh.OrganisationName(k.GetOrganisation()), Withdrawn: k.GetWithdrawn()}
	}
	return s, nil
}
