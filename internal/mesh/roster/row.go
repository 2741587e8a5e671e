package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Row is what the fleet knows of one host.
type Row struct {
	Host mesh.Host

	// DownSince is when the host became suspect or left. It is zero for other
	// states. Hosts tell each other how long ago that was, not their clock.
	DownSince time.Time
}

// up reports whether the host runs as far as is known.
func (r *Row) up() (up bool) {
	return r.Host.State == mesh.HostAlive || r.Host.State == mesh.HostDraining
}

// newer orders rows of one host by incarnation, then by revision, then by
// state. Rows that are equal in all three have the same content, since only the
// host itself changes anything else and raises its revision with it.
func newer(a, b mesh.Host) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.State, b.State),
	) > 0
}

// hashAddr places a host in its bucket and on the ring of its zone, in the same
// way on every host.
func hashAddr(addr netip.AddrPort) (hash uint64) {
	var key [18]byte
	ip := addr.Addr().As16()
	copy(key[:], ip[:])
	binary.BigEndian.PutUint16(key[16:], addr.Port())
	return xxhash.Sum64(key[:])
}

// digest identifies the row's place in the order of rows of all hosts.
func (r *Row) digest() (sum uint64) {
	var key [25]byte
	binary.BigEndian.PutUint64(key[0:], hashAddr(r.Host.Addr))
	binary.BigEndian.PutUint64(key[8:], uint64(r.Host.Incarnation))
	binary.BigEndian.PutUint64(key[16:], r.Host.Revision)
	key[24] = byte(r.Host.State)
	return xxhash.Sum64(key[:])
}
