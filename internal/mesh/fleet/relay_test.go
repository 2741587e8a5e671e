package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// network simulates a fleet of several zones with packet loss.
type network struct {
	random *rand.Rand
	now    time.Time
	nodes  map[netip.AddrPort]*State
	order  []netip.AddrPort
	loss   float64

	// dead hosts neither send nor receive.
	dead map[netip.AddrPort]bool

	// crossZone counts the heartbeats between zones.
	crossZone int
}

func newNetwork(zones, hosts int) (n *network) {
	n = &network{
		random: rand.New(rand.NewPCG(1, 2)), now: start, nodes: make(map[netip.AddrPort]*State), dead: make(map[netip.AddrPort]bool),
	}
	for z := range zones {
		for h := range hosts {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(h + 1)}), 7000)
			n.nodes[addr] = New(mesh.Host{Addr: addr, Zone: mesh.ZoneName(fmt.Sprint("z", z)), Incarnation: mesh.Incarnation(1 + 1e9*n.random.Uint64N(100))})
			n.order = append(n.order, addr)
		}
	}
	for _, s := range n.nodes {
		for _, addr := range n.order {
			s.AddHost(n.now, n.nodes[addr].Self())
		}
	}
	return n
}

// run advances the clock by d in steps of 100 ms, the interval of a tick.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(100 * time.Millisecond) {
		for _, from := range n.order {
			if n.dead[from] {
				continue
			}
			s := n.nodes[from]
			direct, relays := s.DueHeartbeats(n.now, false)
			for _, to := range direct {
				n.deliver(s, s, to)
			}
			for _, to := range relays {
				if !n.deliver(s, s, to) {
					continue
				}
				for _, neighbour := range n.nodes[to].ZonePeers(n.now) {
					n.deliver(n.nodes[to], s, neighbour)
				}
			}
		}
	}
}

// deliver sends the heartbeat of origin from sender to a host and reports whether it
// arrived.
func (n *network) deliver(sender, origin *State, to netip.AddrPort) (arrived bool) {
	if sender.Self().Zone != n.nodes[to].Self().Zone {
		n.crossZone++
	}
	if n.dead[to] || n.random.Float64() < n.loss {
		return false
	}
	n.nodes[to].ApplyHeartbeat(n.now, origin.Self(), origin.KnownHosts())
	return true
}

// silentPairs returns the number of ordered pairs of live hosts in which the first counts
// the second as silent.
func (n *network) silentPairs() (pairs int) {
	for _, a := range n.order {
		if n.dead[a] {
			continue
		}
		view := n.nodes[a].View(n.now)
		for _, b := range n.order {
			if _, found := view.Peers[b]; a != b && !n.dead[b] && !found {
				pairs++
			}
		}
	}
	return pairs
}

// TestRelay guards against live hosts of large zones that count each other as silent
// because heartbeats are relayed, also under packet loss and with dead relay hosts, and
// against heartbeats to every host of another zone.
func TestRelay(t *testing.T) {
	const zones, hosts = 4, 16
	n := newNetwork(zones, hosts)
	n.run(5 * time.Second)
	if got := n.silentPairs(); got != 0 {
		t.Errorf("after the start: got %d silent pairs, want none", got)
	}
	n.crossZone = 0
	n.run(10 * time.Second)
	interval := n.nodes[n.order[0]].interval("another zone")
	got, want := float64(n.crossZone), float64(zones*hosts)*(zones-1)*relayFanout*10/interval.Seconds()*1.2
	if got > want {
		t.Errorf("got %.0f heartbeats between zones in 10 s, want at most %.0f", got, want)
	}
	n.loss = 0.03
	for range 20 {
		n.run(time.Second)
		if got, want := n.silentPairs(), len(n.order)*len(n.order)/100; got > want {
			t.Errorf("with packet loss: got %d silent pairs, want at most %d", got, want)
		}
	}
	n.loss = 0
	for _, addr := range n.order {
		n.dead[addr] = addr.Addr().As4()[3]%2 == 0
	}
	n.run(4 * time.Second)
	if got := n.silentPairs(); got != 0 {
		t.Errorf("half of the hosts dead: got %d silent pairs among the others, want none", got)
	}
	n.dead = make(map[netip.AddrPort]bool)
	n.run(4 * time.Second)
	if got := n.silentPairs(); got != 0 {
		t.Errorf("all hosts back: got %d silent pairs, want none", got)
	}
}
