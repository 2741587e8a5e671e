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

// pollerCount is the number of hosts per zone that poll the head row in the
// platform's store. With three, two may fail at the same time.
const pollerCount = 3

// Collectors are the live hosts of a zone that aggregate the acknowledgements of
// the other hosts. The first ones are the pollers.
type Collectors []netip.AddrPort

// NewCollectors selects the collectors of a zone by rendezvous hashing. Their
// number is about the square root of the number of hosts. If all n hosts sent
// their acknowledgements directly to the pollers, each poller would receive n
// messages per version, which is 13 KB/s with 680 hosts and 3,600 versions a day.
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

// Pollers returns the hosts that poll the head row. The first one also writes the
// zone's row.
func (c Collectors) Pollers() (pollers []netip.AddrPort) { return c[:min(pollerCount, len(c))] }

// Of returns the collector of a host. It reports false when the zone has none.
func (c Collectors) Of(host netip.AddrPort) (collector netip.AddrPort, found bool) {
	best := uint64(0)
	for _, addr := range c {
		if s := score(addr.String(), host); !found || s > best {
			collector, found, best = addr, true, s
		}
	}
	return collector, found
}

// score returns the weight of an address for a name in rendezvous hashing.
func score(name string, addr netip.AddrPort) (s uint64) {
	ip := addr.Addr().As16()
	text := append([]byte(name), ip[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(text, addr.Port()))
}

// Acks holds the latest acknowledgement of each host of a zone. A collector holds
// the entries of its group of hosts, a poller those of the whole zone.
type Acks struct {
	hosts map[netip.AddrPort]ackEntry

	// sequence increases with every change of an entry.
	sequence uint64
}

// ackEntry is the latest acknowledgement of a host, with the sequence number at
// which it was recorded.
type ackEntry struct {
	Ack
	sequence uint64
}

// NewAcks returns an empty table.
func NewAcks() (a *Acks) { return &Acks{hosts: make(map[netip.AddrPort]ackEntry)} }

// Ack is the acknowledgement of a host that it has put a version in force.
type Ack struct {
	Host        netip.AddrPort
	Incarnation mesh.Incarnation
	Version     uint64

	// Collected is true when the acknowledgement was received through a collector.
	// Such entries are not forwarded again.
	Collected bool
}

// EventName implements mesh.Event.
func (Ack) EventName() string { return "acked" }

// Record stores an acknowledgement unless a newer one from the same host is known.
// One that is received directly from the host replaces an equal one from a
// collector, so that it is forwarded: that collector may have failed.
func (a *Acks) Record(e Ack) {
	old := a.hosts[e.Host]
	same := e.Incarnation == old.Incarnation && e.Version == old.Version
	newer := e.Incarnation > old.Incarnation || e.Incarnation == old.Incarnation && e.Version > old.Version
	if newer || same && old.Collected && !e.Collected {
		a.sequence++
		a.hosts[e.Host] = ackEntry{e, a.sequence}
	}
}

// Since returns the entries to forward that changed after the given sequence
// number, in order and at most limit, and the sequence number to continue from.
func (a *Acks) Since(sequence uint64, limit int) (entries []Ack, last uint64) {
	var changed []ackEntry
	for _, e := range a.hosts {
		if e.sequence > sequence && !e.Collected {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b ackEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	last = sequence
	for _, e := range changed[:min(limit, len(changed))] {
		entries = append(entries, e.Ack)
		last = e.sequence
	}
	return entries, last
}

// Rollout is the state of the rollout of the newest version in a zone.
type Rollout struct {
	// InForce is the lowest version that any live host has in force, at most the
	// newest version. It is 0 when a live host has sent no acknowledgement in its
	// current incarnation.
	InForce uint64

	// Hosts is the number of live hosts, including draining ones.
	Hosts int

	// Pending lists the live hosts that do not have the newest version in force,
	// sorted.
	Pending []netip.AddrPort

	// Suspect is the number of suspect hosts, whose version is not known.
	Suspect int
}

// Rollout returns the state of the rollout in a zone. It deletes the entries of
// hosts that are no longer in the membership list.
func (a *Acks) Rollout(zone mesh.ZoneName, newest uint64, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (r Rollout) {
	r.InForce = newest
	known := make(map[netip.AddrPort]bool, len(a.hosts))
	for addr, h := range hosts {
		known[addr] = true
		switch {
		case h.Zone != zone || h.State == mesh.HostLeft:
		case h.State == mesh.HostSuspect:
			r.Suspect++
		default:
			r.add(addr, a.version(h), newest)
		}
	}
	slices.SortFunc(r.Pending, netip.AddrPort.Compare)
	maps.DeleteFunc(a.hosts, func(addr netip.AddrPort, _ ackEntry) bool { return !known[addr] })
	return r
}

// version returns the version that a host acknowledged in its current incarnation,
// or 0.
func (a *Acks) version(h mesh.Host) (version uint64) {
	if last := a.hosts[h.Addr]; last.Incarnation >= h.Incarnation {
		return last.Version
	}
	return 0
}

func (r *Rollout) add(addr netip.AddrPort, version, newest uint64) {
	r.Hosts++
	r.InForce = min(r.InForce, version)
	if version < newest {
		r.Pending = append(r.Pending, addr)
	}
}
