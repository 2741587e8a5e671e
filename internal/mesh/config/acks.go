package config

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// pollerCount is how many hosts of a zone read the head at the platform. Two
// of them may fail at once.
const pollerCount = 3

// Pollers returns the live hosts of a zone that read the head at the platform,
// by rendezvous hashing. The first one writes the row of the zone.
func Pollers(zone mesh.ZoneName, hosts map[netip.AddrPort]mesh.Host) (pollers []netip.AddrPort) {
	type candidate struct {
		addr  netip.AddrPort
		score uint64
	}
	var candidates []candidate
	for addr, h := range hosts {
		if h.Zone == zone && h.State == mesh.HostAlive {
			candidates = append(candidates, candidate{addr, score(zone, addr)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.addr.Compare(b.addr))
	})
	for _, c := range candidates[:min(pollerCount, len(candidates))] {
		pollers = append(pollers, c.addr)
	}
	return pollers
}

func score(zone mesh.ZoneName, addr netip.AddrPort) (s uint64) {
	ip := addr.Addr().As16()
	text := append([]byte(zone), ip[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(text, addr.Port()))
}

// Acks is a poller's record of the versions that the hosts of its zone have in
// force.
type Acks struct {
	hosts map[netip.AddrPort]ack
}

// ack is what a host reported last in its latest incarnation.
type ack struct {
	incarnation mesh.Incarnation
	version     uint64
}

// NewAcks returns an empty record.
func NewAcks() (a *Acks) { return &Acks{hosts: make(map[netip.AddrPort]ack)} }

// Acked says that a version is in force at a host.
type Acked struct {
	Host        netip.AddrPort
	Incarnation mesh.Incarnation
	Version     uint64
}

// EventName implements mesh.Event.
func (Acked) EventName() string { return "acked" }

// Take records a report. One that was overtaken by a newer report is dropped.
func (a *Acks) Take(e Acked) {
	old := a.hosts[e.Host]
	if e.Incarnation < old.incarnation || e.Incarnation == old.incarnation && e.Version < old.version {
		return
	}
	a.hosts[e.Host] = ack{e.Incarnation, e.Version}
}

// Coverage says where a version is in force in a zone.
type Coverage struct {
	// InForce is in force at all live hosts; 0 when one of them has not
	// reported in its present incarnation.
	InForce uint64

	// Hosts is the number of live hosts, draining ones included.
	Hosts int

	// Pending are the live hosts at which newest is not in force, sorted.
	Pending []netip.AddrPort

	// Silent is the number of hosts that are suspect, so that nothing is
	// known of them.
	Silent int
}

// Coverage returns how far the newest version has come in a zone. It forgets
// hosts that have left.
func (a *Acks) Coverage(zone mesh.ZoneName, newest uint64, hosts map[netip.AddrPort]mesh.Host) (c Coverage) {
	for addr := range a.hosts {
		if _, found := hosts[addr]; !found {
			delete(a.hosts, addr)
		}
	}
	c.InForce = newest
	for addr, h := range hosts {
		switch {
		case h.Zone != zone || h.State == mesh.HostLeft:
		case h.State == mesh.HostSuspect:
			c.Silent++
		default:
			c.add(addr, a.version(h), newest)
		}
	}
	slices.SortFunc(c.Pending, netip.AddrPort.Compare)
	return c
}

// version returns what a host reported in its present incarnation.
func (a *Acks) version(h mesh.Host) (version uint64) {
	if seen := a.hosts[h.Addr]; seen.incarnation >= h.Incarnation {
		return seen.version
	}
	return 0
}

func (c *Coverage) add(addr netip.AddrPort, version, newest uint64) {
	c.Hosts++
	c.InForce = min(c.InForce, version)
	if version < newest {
		c.Pending = append(c.Pending, addr)
	}
}
