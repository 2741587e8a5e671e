package roster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// start is the time at which the fakes begin.
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

// fleet hands the actions of some states to each other, as the duties do.
type fleet struct {
	now    time.Time
	states map[netip.AddrPort]*State

	// stopped hosts neither step nor receive.
	stopped map[netip.AddrPort]bool

	// lost says which messages do not arrive.
	lost func(from, to netip.AddrPort) bool

	// seen collects the actions of all hosts.
	seen []Action
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
		f.seen = append(f.seen, a)
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
	objection, objects := peer.View().ConflictingRow(sender.Host, sender.Incarnation)
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
	if objects {
		f.step(from.self, ConflictReceived{Row: objection})
	}
}

func senderOf(s *State) (sender Sender) {
	return Sender{Host: s.self, Incarnation: s.Self().Incarnation}
}

// run lets seconds pass.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for _, a := range f.addrs() {
			f.step(a, Elapsed{})
		}
	}
}

// skip lets a long time pass in steps that no host takes for a pause.
func (f *fleet) skip(d time.Duration) {
	for end := f.now.Add(d + time.Minute); f.now.Before(end); {
		f.now = f.now.Add(suspectTime - 2*time.Second)
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

// state returns what one host holds of another, or "none".
func (f *fleet) state(at, of int) (state string) {
	h, found := f.states[addrOf(at)].View().Host(addrOf(of))
	if !found {
		return "none"
	}
	return h.State.String()
}

// check compares what each of the hosts holds of one host.
func (f *fleet) check(t reporter, what string, of int, want string, hosts ...int) {
	t.Helper()
	for _, at := range hosts {
		if got := f.state(at, of); got != want {
			t.Errorf("%s: host %d holds host %d for %s, want %s", what, at, of, got, want)
		}
	}
}

// equal returns how the tables of running hosts differ from each other.
func (f *fleet) equal() (err error) {
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

type netipAddr = netip.AddrPort

func indexOf(addr netip.AddrPort) (i int) { return int(addr.Addr().As4()[3]) }

// reporter is what tests of both kinds report errors to.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}
