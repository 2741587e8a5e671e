package rank

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
)

// TestHosts guards against hosts that choose different hosts for a task, against choices that
// change when another host leaves, and against a host that is chosen for most tasks.
func TestHosts(t *testing.T) {
	var hosts []netip.AddrPort
	for i := range 20 {
		hosts = append(hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
	}
	chosen := make(map[netip.AddrPort]int)
	for i := range 1000 {
		task := fmt.Sprint("task ", i)
		ranked := Hosts(task, hosts)
		chosen[ranked[0]]++
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		if got := Hosts(task, reversed); !slices.Equal(got, ranked) {
			t.Fatalf("%s: got %v and %v", task, got, ranked)
		}
		without := slices.DeleteFunc(slices.Clone(hosts), func(h netip.AddrPort) bool { return h == ranked[3] })
		if got, want := Hosts(task, without), slices.Delete(slices.Clone(ranked), 3, 4); !slices.Equal(got, want) {
			t.Fatalf("%s without %v: got %v, want %v", task, ranked[3], got, want)
		}
	}
	for _, h := range hosts {
		if got := chosen[h]; got < 25 || got > 75 {
			t.Errorf("host %v: got %d of 1000 tasks, want about 50", h, got)
		}
	}
}
