package roster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// start is the initial time of the simulated clock.
var start = time.Unix(1_800_000_000, 0)

func addrOf(i int) (addr netip.AddrPort) {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
}

func hostOf(i int, zone mesh.ZoneName) (h mesh.Host) {
	return mesh.Host{Addr: addrOf(i), Zone: zone, Incarnation: mesh.NewIncarnation(start) + mesh.Incarnation(i)}
}

func targetOf(i int, service mesh.ServiceName) (t mesh.Target) {
	return mesh.Target{
		Service: service, Addr: netip.AddrPortFrom(addrOf(i).Addr(), 9000),
		Slots: 180, Connections: 1200, Incarnation: mesh.NewIncarnation(start) + mesh.Incarnation(i),
	}
}

// fleet is a simulation of several hosts. It carries out their actions as the duties do.
type fleet struct {
	now    time.Time
	states map[netip.AddrPort]*State

	// stopped hosts run no steps and receive no messages.
	stopped map[netip.AddrPort]bool

	// lost reports whether messages between two hosts are lost.
	lost func(from, to netip.AddrPort) bool

	// actions holds the actions of all hosts so far.
	actions []Action
}

func newFleet(zones ...mesh.ZoneName) (f *fleet) {
	f = &fleet{
		now: start, states: make(map[netip.AddrPort]*State), stopped: make(map[netip.AddrPort]bool),
		lost: func(netip.AddrPort, netip.AddrPort) bool { return false },
	}
	for i, z := range zones {
		f.add(i+1, z)
	}
	return f
}

func (f *fleet) add(i int, zone mesh.ZoneName) {
	h := hostOf(i, zone)
	h.Incarnation = mesh.NewIncarnation(f.now) + mesh.Incarnation(i)
	random := rand.New(rand.NewPCG(uint64(i), 7))
	f.states[h.Addr] = New(f.now, h, random, WithSeeds(addrOf(1), addrOf(2)))
}

func (f *fleet) step(at netip.AddrPort, e mesh.Event) {
	s, found := f.states[at]
	if !found || f.stopped[at] {
		return
	}
	for _, a := range s.Step(f.now, e) {
		f.actions = append(f.actions, a)
		f.deliver(s, a)
	}
}

func (f *fleet) deliver(from *State, a Action) {
	var to netip.AddrPort
	switch a := a.(type) {
	case Heartbeat:
		to = a.To
	case Push:
		to = a.To
	case Compare:
		to = a.To
	case Discover:
		f.step(from.self, Discovered{Success: true})
		return
	}
	peer, found := f.states[to]
	if !found || f.stopped[to] || f.lost(from.self, to) {
		return
	}
	sender, receiver := senderOf(from), senderOf(peer)
	row, conflicts := peer.View().ConflictingRow(sender.Host, sender.Incarnation)
	switch a := a.(type) {
	case Heartbeat:
		f.step(to, MessageReceived{From: sender})
	case Push:
		f.step(to, PushReceived{From: sender, Rows: a.Rows})
	case Compare:
		f.step(to, MessageReceived{From: sender})
		buckets, rows, more := peer.View().Differing(from.View().Digests(), 0)
		f.step(from.self, Compared{From: receiver, Buckets: buckets, Rows: rows, More: more})
	}
	f.step(from.self, MessageReceived{From: receiver})
	if conflicts {
		f.step(from.self, ConflictReceived{Row: row})
	}
}

func senderOf(s *State) (sender Sender) {
	return Sender{Host: s.self, Incarnation: s.Self().Incarnation}
}

// run advances the clock second by second, with one tick of every host each.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for _, a := range f.addrs() {
			f.step(a, TimerExpired{})
		}
	}
}

// advance advances the clock by a long time, in steps too short for a host to detect a pause.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d + time.Minute); f.now.Before(end); {
		f.now = f.now.Add(suspectTimeout - 2*time.Second)
		f.run(1)
	}
}

func (f *fleet) addrs() (addrs []netip.AddrPort) {
	for a := range f.states {
		addrs = append(addrs, a)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// state returns the state of one host in the table of another, or "none".
func (f *fleet) state(at, of int) (state string) {
	h, found := f.states[addrOf(at)].View().Host(addrOf(of))
	if !found {
		return "none"
	}
	return h.State.String()
}

// check compares the state of one host in the tables of the given hosts.
func (f *fleet) check(t reporter, what string, of int, want string, hosts ...int) {
	t.Helper()
	for _, at := range hosts {
		if got := f.state(at, of); got != want {
			t.Errorf("%s: table of host %d: got host %d in state %s, want %s", what, at, of, got, want)
		}
	}
}

// checkTablesEqual returns an error when the tables of running hosts differ.
func (f *fleet) checkTablesEqual() (err error) {
	var first *State
	for _, a := range f.addrs() {
		if f.stopped[a] {
			continue
		}
		if first == nil {
			first = f.states[a]
		}
		if got, want := fmt.Sprint(rowsOf(f.states[a].View())), fmt.Sprint(rowsOf(first.View())); got != want {
			return fmt.Errorf("table of %s: got %s, want that of %s: %s", a, got, first.self, want)
		}
	}
	return nil
}

func rowsOf(v *View) (hosts []mesh.Host) {
	for _, h := range v.Hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// hostAddr identifies a host by the address of its peer listener.
type hostAddr = netip.AddrPort

func indexOf(addr netip.AddrPort) (i int) { return int(addr.Addr().As4()[3]) }

// reporter is implemented by *testing.T and *rapid.T.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}
