package roster

import (
	"net/netip"
	"slices"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// BucketCount is the number of buckets of the table. Each has its own digest.
	BucketCount = 64

	// bucketShift is the shift that maps a hash to a bucket number.
	bucketShift = 64 - 6

	// maxExchangeRows bounds the number of rows in the reply to a comparison. One
	// bucket of a table of 7,500 hosts has about 117 rows and is always sent whole.
	maxExchangeRows = 256
)

// View is a snapshot of the membership table. It is immutable; a new view shares all
// unchanged buckets with the previous one.
type View struct {
	self    netip.AddrPort
	buckets [BucketCount]bucket

	// endpoints holds the targets that accept new requests. Lists are immutable and
	// replaced as a whole.
	endpoints map[mesh.ServiceName][]mesh.Endpoint
}

// bucket is the part of the table whose address hashes share a prefix.
type bucket struct {
	// rows is sorted by address and immutable.
	rows []*Row

	// digest is the XOR of the digests of rows.
	digest uint64

	// alive is the number of alive hosts, not counting the local host.
	alive int
}

func bucketOf(addr netip.AddrPort) (number int) { return int(hashAddr(addr) >> bucketShift) }

func (b *bucket) find(addr netip.AddrPort) (i int, found bool) {
	return slices.BinarySearchFunc(b.rows, addr, func(r *Row, a netip.AddrPort) int { return r.Host.Addr.Compare(a) })
}

func (v *View) row(addr netip.AddrPort) (r *Row, found bool) {
	b := &v.buckets[bucketOf(addr)]
	i, found := b.find(addr)
	if !found {
		return nil, false
	}
	return b.rows[i], true
}

// Host returns the host with the address.
func (v *View) Host(addr netip.AddrPort) (h mesh.Host, found bool) {
	r, found := v.row(addr)
	if !found {
		return h, false
	}
	return r.Host, true
}

// Hosts is an iterator over all hosts, for use as "for addr, host := range v.Hosts".
func (v *View) Hosts(yield func(netip.AddrPort, mesh.Host) bool) {
	for i := range v.buckets {
		for _, r := range v.buckets[i].rows {
			if !yield(r.Host.Addr, r.Host) {
				return
			}
		}
	}
}

// Len returns the number of hosts in the table in any state.
func (v *View) Len() (n int) {
	for i := range v.buckets {
		n += len(v.buckets[i].rows)
	}
	return n
}

// PeerCount returns the number of other hosts that are alive.
func (v *View) PeerCount() (n int) {
	for i := range v.buckets {
		n += v.buckets[i].alive
	}
	return n
}

// Peer returns the peer with the given number, from 0 up to but not including PeerCount.
func (v *View) Peer(number int) (addr netip.AddrPort) {
	for i := range v.buckets {
		b := &v.buckets[i]
		if number >= b.alive {
			number -= b.alive
			continue
		}
		for _, r := range b.rows {
			if !v.isPeer(r) {
				continue
			}
			if number == 0 {
				return r.Host.Addr
			}
			number--
		}
	}
	return addr
}

func (v *View) isPeer(r *Row) (peer bool) {
	return r.Host.State == mesh.HostAlive && r.Host.Addr != v.self
}

// Endpoints returns the targets of a service that accept new requests, without those in
// zones that are out of service. The caller must not modify the list.
func (v *View) Endpoints(service mesh.ServiceName, zones map[mesh.ZoneName]mesh.Zone) (endpoints []mesh.Endpoint) {
	all := v.endpoints[service]
	isOut := func(e mesh.Endpoint) bool { return zones[e.Zone].Out }
	if !slices.ContainsFunc(all, isOut) {
		return slices.Clip(all)
	}
	return slices.DeleteFunc(slices.Clone(all), isOut)
}

// Digest returns the digest of the whole table.
func (v *View) Digest() (digest uint64) {
	for i := range v.buckets {
		digest ^= v.buckets[i].digest
	}
	return digest
}

// Digests returns the digest of each bucket.
func (v *View) Digests() (digests []uint64) {
	digests = make([]uint64, BucketCount)
	for i := range v.buckets {
		digests[i] = v.buckets[i].digest
	}
	return digests
}

// Differing returns the rows of buckets whose digests differ from those of a peer, in whole
// buckets and starting at bucket first. It sets more when not all of them fit into one reply.
func (v *View) Differing(digests []uint64, first int) (buckets []int, rows []Row, more bool) {
	for i := range BucketCount {
		number := (first + i) % BucketCount
		b := &v.buckets[number]
		if number >= len(digests) || digests[number] == b.digest {
			continue
		}
		if len(buckets) > 0 && len(rows)+len(b.rows) > maxExchangeRows {
			return buckets, rows, true
		}
		buckets = append(buckets, number)
		for _, r := range b.rows {
			rows = append(rows, *r)
		}
	}
	return buckets, rows, false
}

// ConflictingRow returns the row that a sender must refute before others consider it alive:
// one with a later incarnation, or one in state suspect or left.
func (v *View) ConflictingRow(sender netip.AddrPort, incarnation mesh.Incarnation) (row Row, conflicts bool) {
	r, found := v.row(sender)
	if !found || r.Host.Incarnation < incarnation || r.Host.Incarnation == incarnation && r.up() {
		return row, false
	}
	return *r, true
}

// set replaces the row of a host; a nil row removes it.
func (v *View) set(addr netip.AddrPort, r *Row) {
	b := &v.buckets[bucketOf(addr)]
	i, found := b.find(addr)
	rows := make([]*Row, 0, len(b.rows)+1)
	rows = append(rows, b.rows[:i]...)
	if r != nil {
		rows = append(rows, r)
		v.updateSummary(b, r, 1)
	}
	if found {
		v.updateSummary(b, b.rows[i], -1)
		i++
	}
	b.rows = append(rows, b.rows[i:]...)
}

func (v *View) updateSummary(b *bucket, r *Row, sign int) {
	b.digest ^= r.digest()
	if v.isPeer(r) {
		b.alive += sign
	}
}

// setEndpoints replaces the endpoints of a host in the lists of their services.
// The map must not be shared; the lists may be.
func (v *View) setEndpoints(before, after []mesh.Endpoint) {
	for _, e := range before {
		service := e.Target.Service
		others := slices.Clone(v.endpoints[service])
		v.endpoints[service] = slices.DeleteFunc(others, func(o mesh.Endpoint) bool { return o == e })
		if len(v.endpoints[service]) == 0 {
			delete(v.endpoints, service)
		}
	}
	for _, e := range after {
		service := e.Target.Service
		v.endpoints[service] = append(slices.Clip(v.endpoints[service]), e)
	}
}

func endpointsOf(r *Row) (endpoints []mesh.Endpoint) {
	if r == nil || r.Host.State != mesh.HostAlive {
		return nil
	}
	for _, t := range r.Host.Targets {
		if !t.Draining {
			endpoints = append(endpoints, mesh.Endpoint{Host: r.Host.Addr, Zone: r.Host.Zone, Target: t})
		}
	}
	return endpoints
}
