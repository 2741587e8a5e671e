package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Row is the membership entry of one host.
type Row struct {
	Host mesh.Host

	// DownSince is the time at which the host became suspect or left; zero in other
	// states. Messages carry the elapsed time instead, since clocks of hosts differ.
	DownSince time.Time
}

// up reports whether the host is alive or draining, as far as is known.
func (r *Row) up() (up bool) {
	return r.Host.State == mesh.HostAlive || r.Host.State == mesh.HostDraining
}

// newer reports whether a overrides b. Rows of one host are ordered by incarnation, then by
// revision, then by state. Rows that are equal in all three have the same content: only the
// host itself changes anything else, and it raises its revision with every change.
func newer(a, b mesh.Host) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.State, b.State),
	) > 0
}

// hashAddr returns the hash that determines a host's bucket and its position on the ring of
// its zone. It is the same on every host.
func hashAddr(addr netip.AddrPort) (hash uint64) {
	var key [18]byte
	ip := addr.Addr().As16()
	copy(key[:], ip[:])
	binary.BigEndian.PutUint16(key[16:], addr.Port())
	return xxhash.Sum64(key[:])
}

// digest returns a hash of the address and the version (incarnation, revision and state).
func (r *Row) digest() (sum uint64) {
	var key [25]byte
	binary.BigEndian.PutUint64(key[0:], hashAddr(r.Host.Addr))
	binary.BigEndian.PutUint64(key[8:], uint64(r.Host.Incarnation))
	binary.BigEndian.PutUint64(key[16:], r.Host.Revision)
	key[24] = byte(r.Host.State)
	return xxhash.Sum64(key[:])
}
