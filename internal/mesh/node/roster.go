package node

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	rosterRing = 256

	// exchangeInterval is how often a node exchanges rosters with a peer.
	exchangeInterval = time.Second
)

// rosterDuty owns the table of hosts. Full ring: rows are dropped, since the
// next exchange brings them again; announcements wait.
type rosterDuty struct {
	self    netip.AddrPort
	state   *roster.State
	events  *ring.Ring
	senders senders
	client  *http.Client
	view    atomic.Pointer[roster.View]
	seeds   []netip.AddrPort
	log     logs.Log
}

func newRosterDuty(vars *expvar.Map, s Settings, log logs.Log) (d *rosterDuty) {
	d = &rosterDuty{
		self: s.PeerListen,
		state: roster.New(mesh.Host{
			Addr:        s.PeerListen,
			Zone:        s.Zone,
			Incarnation: mesh.NewIncarnation(time.Now()),
		}),
		events: ring.New(vars, "roster", rosterRing),
		seeds:  s.Peers,
		log:    log,
	}
	d.view.Store(d.state.View())
	return d
}

// Name implements mesh.Duty.
func (d *rosterDuty) Name() string { return "roster" }

// View returns the hosts and targets as they are known.
func (d *rosterDuty) View() (v *roster.View) { return d.view.Load() }

// Peer returns a random host that takes work.
func (d *rosterDuty) Peer() (addr netip.AddrPort, found bool) {
	var peers []netip.AddrPort
	for a, h := range d.View().Hosts {
		if a != d.self && h.State == mesh.HostAlive {
			peers = append(peers, a)
		}
	}
	if len(peers) == 0 {
		return addr, false
	}
	return peers[rand.IntN(len(peers))], true
}

// Run implements mesh.Duty.
func (d *rosterDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	d.exchange()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			if d.state.Step(time.Now(), e) {
				d.view.Store(d.state.View())
				if _, merged := e.(roster.Merged); !merged {
					d.exchange()
				}
			}
		case <-ticker.C:
			d.exchange()
		}
	}
}

// exchange sends the roster to a random peer and to one of the seeds.
func (d *rosterDuty) exchange() {
	if to, found := d.Peer(); found {
		d.senders.Post(exchangeHosts{duty: d, to: to})
	}
	if len(d.seeds) > 0 {
		d.senders.Post(exchangeHosts{duty: d, to: d.seeds[rand.IntN(len(d.seeds))]})
	}
}

func (d *rosterDuty) table() (t *wire.HostTable) {
	t = &wire.HostTable{Sender: &wire.Sender{Host: d.self.String()}}
	for _, h := range d.View().Hosts {
		t.Hosts = append(t.Hosts, wire.FromHost(h))
	}
	return t
}

func (d *rosterDuty) merge(t *wire.HostTable) (err error) {
	var hosts []mesh.Host
	for _, row := range t.GetHosts() {
		h, err := wire.ToHost(row)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	d.events.Offer(roster.Merged{Hosts: hosts})
	return nil
}

// Exchange implements wire.Roster.
func (d *rosterDuty) Exchange(_ context.Context, t *wire.HostTable) (own *wire.HostTable, err error) {
	if err := d.merge(t); err != nil {
		return nil, err
	}
	return d.table(), nil
}

// exchangeHosts exchanges rosters with a peer.
type exchangeHosts struct {
	duty *rosterDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (exchangeHosts) EventName() string { return "exchange-hosts" }

// To implements mesh.Message.
func (m exchangeHosts) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m exchangeHosts) Send(ctx context.Context) (err error) {
	if m.to == m.duty.self {
		return nil
	}
	peer := wire.NewRosterProtobufClient(peerURL(m.to), m.duty.client)
	table, err := peer.Exchange(ctx, m.duty.table())
	if err != nil {
		return fmt.Errorf("exchange hosts: %w", err)
	}
	return m.duty.merge(table)
}
