package share

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// holdersPerZone is the number of nodes per zone that hold a contract's shares on behalf of
// the others. When one fails, the zone keeps the shares of the rest.
const holdersPerZone = 3

// Placement determines which nodes hold shares of which organisation. It is computed from one
// view of the roster.
type Placement struct {
	self  netip.AddrPort
	zone  mesh.ZoneName
	zones []mesh.ZoneName
	hosts map[mesh.ZoneName][]netip.AddrPort
	alive map[netip.AddrPort]bool
	cache map[mesh.OrganisationName][][]netip.AddrPort
}

// NewPlacement returns the placement over the hosts that are alive. The node itself always
// counts as alive.
func NewPlacement(self netip.AddrPort, zone mesh.ZoneName, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (p *Placement) {
	p = &Placement{
		self: self, zone: zone,
		hosts: make(map[mesh.ZoneName][]netip.AddrPort),
		alive: make(map[netip.AddrPort]bool),
		cache: make(map[mesh.OrganisationName][][]netip.AddrPort),
	}
	p.hosts[zone] = append(p.hosts[zone], self)
	for a, h := range hosts {
		if a != self && h.State == mesh.HostAlive {
			p.hosts[h.Zone] = append(p.hosts[h.Zone], a)
			p.alive[a] = true
		}
	}
	for z := range p.hosts {
		if z != zone {
			p.zones = append(p.zones, z)
		}
	}
	slices.Sort(p.zones)
	p.zones = slices.Insert(p.zones, 0, zone)
	return p
}

// holders returns the holders of each zone, own zone first. They are chosen by rendezvous
// hashing.
func (p *Placement) holders(organisation mesh.OrganisationName) (byZone [][]netip.AddrPort) {
	if byZone, found := p.cache[organisation]; found {
		return byZone
	}
	for _, z := range p.zones {
		byZone = append(byZone, highest(p.hosts[z], organisation))
	}
	p.cache[organisation] = byZone
	return byZone
}

// highest returns the holdersPerZone hosts with the highest hash for the organisation.
func highest(hosts []netip.AddrPort, organisation mesh.OrganisationName) (chosen []netip.AddrPort) {
	type scored struct {
		addr netip.AddrPort
		hash uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, a := range hosts {
		all = append(all, scored{addr: a, hash: xxhash.Sum64String(a.String() + " " + string(organisation))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if d := cmp.Compare(b.hash, a.hash); d != 0 {
			return d
		}
		return a.addr.Compare(b.addr)
	})
	for _, s := range all[:min(len(all), holdersPerZone)] {
		chosen = append(chosen, s.addr)
	}
	return chosen
}

// holds reports whether this node is a holder.
func (p *Placement) holds(organisation mesh.OrganisationName) (holder bool) {
	return slices.Contains(p.holders(organisation)[0], p.self)
}

// successor returns the node that takes over the allocations of this one when it leaves:
// another holder, of this zone if there is one.
func (p *Placement) successor(organisation mesh.OrganisationName) (addr netip.AddrPort, found bool) {
	for _, zone := range p.holders(organisation) {
		for _, a := range zone {
			if a != p.self {
				return a, true
			}
		}
	}
	return addr, false
}
