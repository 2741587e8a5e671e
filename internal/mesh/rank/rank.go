// Package rank orders hosts by rendezvous hashing, so that all hosts which know the same hosts
// choose the same ones for a task, and a host that leaves changes the place of no other.
package rank

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hosts returns the hosts in their order for a task.
func Hosts(task string, hosts []netip.AddrPort) (ranked []netip.AddrPort) {
	seed := xxhash.Sum64String(task)
	scores := make(map[netip.AddrPort]uint64, len(hosts))
	for _, addr := range hosts {
		scores[addr] = score(seed, addr)
	}
	ranked = slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b netip.AddrPort) int { return cmp.Compare(scores[b], scores[a]) })
	return ranked
}

func score(seed uint64, addr netip.AddrPort) (hash uint64) {
	var buffer [26]byte
	data := binary.BigEndian.AppendUint64(buffer[:0], seed)
	ip := addr.Addr().As16()
	data = append(data, ip[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(data, addr.Port()))
}
