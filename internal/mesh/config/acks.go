package config

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// pollerCount is how many hosts of a zone read the head at the platform. Two
// of them may fail at once.
const pollerCount = 3

// Collectors are the live hosts of a zone through which the others report the
// versions that they have in force. The first ones are the pollers.
type Collectors []netip.AddrPort

// NewCollectors returns the collectors of a zone, by rendezvous hashing. Their
// number is about the square root of the number of hosts: with n hosts that
// report to the pollers directly, a poller would receive n messages for each
// version, which is 13 KB/s for 680 hosts and 3,600 versions a day.
func NewCollectors(zone mesh.ZoneName, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (c Collectors) {
	scores := make(map[netip.AddrPort]uint64)
	for addr, h := range hosts {
		if h.Zone == zone && h.State == mesh.HostAlive {
			c = append(c, addr)
			scores[addr] = score(string(zone), addr)
		}
	}
	slices.SortFunc(c, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), a.Compare(b))
	})
	count := max(pollerCount, int(math.Ceil(math.Sqrt(float64(len(c))))))
	return slices.Clone(c[:min(count, len(c))])
}

// Pollers returns the hosts that read the head at the platform. The first one
// writes the row of the zone.
func (c Collectors) Pollers() (pollers []netip.AddrPort) { return c[:min(pollerCount, len(c))] }

// Of returns the collector of a host, or false when there is none.
func (c Collectors) Of(host netip.AddrPort) (collector netip.AddrPort, found bool) {
	best := uint64(0)
	for _, addr := range c {
		if s := score(addr.String(), host); !found || s > best {
			collector, found, best = addr, true, s
		}
	}
	return collector, found
}

// score is the weight of an address for a name in rendezvous hashing.
func score(name string, addr netip.AddrPort) (s uint64) {
	ip := addr.Addr().As16()
	text := append([]byte(name), ip[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(text, addr.Port()))
}

// Acks is a record of the versions that hosts of a zone have in force. A
// collector has those of its group, a poller those of the whole zone.
type Acks struct {
	hosts map[netip.AddrPort]ack

	// sequence numbers the entries in the order in which they changed.
	sequence uint64
}

// ack is what a host reported last in its latest incarnation.
type ack struct {
	Ack
	sequence uint64
}

// NewAcks returns an empty record.
func NewAcks() (a *Acks) { return &Acks{hosts: make(map[netip.AddrPort]ack)} }

// Ack says that a version is in force at a host.
type Ack struct {
	Host        netip.AddrPort
	Incarnation mesh.Incarnation
	Version     uint64

	// Collected entries came through a collector and are not passed on.
	Collected bool
}

// EventName implements mesh.Event.
func (Ack) EventName() string { return "acked" }

// Record records a report. One that was overtaken by a newer report is dropped.
// One that comes from the host itself is passed on even if a collector told it
// before, since that collector may be gone.
func (a *Acks) Record(e Ack) {
	old := a.hosts[e.Host]
	same := e.Incarnation == old.Incarnation && e.Version == old.Version
	newer := e.Incarnation > old.Incarnation || e.Incarnation == old.Incarnation && e.Version > old.Version
	if newer || same && old.Collected && !e.Collected {
		a.sequence++
		a.hosts[e.Host] = ack{e, a.sequence}
	}
}

// Since returns the entries to pass on that changed after a sequence number,
// in that order and at most limit, and the number that they lead to.
func (a *Acks) Since(sequence uint64, limit int) (entries []Ack, last uint64) {
	var changed []ack
	for _, e := range a.hosts {
		if e.sequence > sequence && !e.Collected {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b ack) int { return cmp.Compare(a.sequence, b.sequence) })
	last = sequence
	for _, e := range changed[:min(limit, len(changed))] {
		entries = append(entries, e.Ack)
		last = e.sequence
	}
	return entries, last
}

// Rollout says where a version is in force in a zone.
type Rollout struct {
	// InForce is in force at all live hosts; 0 when one of them has not
	// reported in its present incarnation.
	InForce uint64

	// Hosts is the number of live hosts, draining ones included.
	Hosts int

	// Pending are the live hosts at which newest is not in force, sorted.
	Pending []netip.AddrPort

	// Suspect is the number of hosts that are suspect, so that nothing is
	// known of them.
	Suspect int
}

// Rollout returns how far the newest version has come in a zone. It forgets
// hosts that have left.
func (a *Acks) Rollout(zone mesh.ZoneName, newest uint64, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (c Rollout) {
	c.InForce = newest
	known := make(map[netip.AddrPort]bool, len(a.hosts))
	for addr, h := range hosts {
		known[addr] = true
		switch {
		case h.Zone != zone || h.State == mesh.HostLeft:
		case h.State == mesh.HostSuspect:
			c.Suspect++
		default:
			c.add(addr, a.version(h), newest)
		}
	}
	slices.SortFunc(c.Pending, netip.AddrPort.Compare)
	maps.DeleteFunc(a.hosts, func(addr netip.AddrPort, _ ack) bool { return !known[addr] })
	return c
}

// version returns what a host reported in its present incarnation.
func (a *Acks) version(h mesh.Host) (version uint64) {
	if seen := a.hosts[h.Addr]; seen.Incarnation >= h.Incarnation {
		return seen.Version
	}
	return 0
}

func (c *Rollout) add(addr netip.AddrPort, version, newest uint64) {
	c.Hosts++
	c.InForce = min(c.InForce, version)
	if version < newest {
		c.Pending = append(c.Pending, addr)
	}
}
