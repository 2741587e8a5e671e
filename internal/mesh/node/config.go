package node

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	configRing = 64

	// pollInterval is how often a poller reads the head at the platform.
	pollInterval = 2 * time.Second

	// compareInterval is how often a node compares versions with a peer.
	compareInterval = time.Second
)

// configDuty owns the version of settings and keys in force. Full ring: a
// version that was heard of is dropped, since it will be heard of again.
type configDuty struct {
	self     netip.AddrPort
	state    *config.State
	events   *ring.Ring
	platform *platformDuty
	senders  senders
	roster   *rosterDuty
	client   *http.Client
	view     atomic.Pointer[config.View]
	snapshot atomic.Pointer[config.Snapshot]
	seeds    []netip.AddrPort
	log      logs.Log
}

func newConfigDuty(vars *expvar.Map, s Settings, log logs.Log) (d *configDuty) {
	return &configDuty{
		self:   s.PeerListen,
		state:  config.New(s.Zone),
		events: ring.New(vars, "config", configRing),
		seeds:  s.Peers,
		log:    log,
	}
}

// Name implements mesh.Duty.
func (d *configDuty) Name() string { return "config" }

// View returns what is in force, or nil before the first version.
func (d *configDuty) View() (v *config.View) { return d.view.Load() }

// Run implements mesh.Duty.
func (d *configDuty) Run(ctx context.Context) (err error) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	d.poll()
	d.compare()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.apply(d.state.Step(time.Now(), e))
		case <-poll.C:
			d.poll()
		case <-compare.C:
			d.compare()
		}
	}
}

func (d *configDuty) apply(actions []config.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case config.Publish:
			d.publish(a.View)
		case config.Fetch:
			d.fetch(a)
		}
	}
}

func (d *configDuty) publish(v *config.View) {
	old := d.view.Swap(v)
	if old != nil && old.Version == v.Version {
		return
	}
	d.snapshot.Store(d.state.Snapshot())
	d.log.Infof("version %d is in force.", v.Version)
	for range 3 {
		d.compare()
	}
}

func (d *configDuty) poll() { d.platform.jobs.Offer(readHead{events: d.events}) }

func (d *configDuty) fetch(f config.Fetch) {
	if f.From.IsValid() {
		d.senders.Post(fetchSnapshot{duty: d, to: f.From, version: f.Version})
		return
	}
	if !d.platform.jobs.Offer(readSnapshot{events: d.events}) {
		d.apply(d.state.Step(time.Now(), config.FetchFailed{}))
	}
}

// compare tells one random peer the version in force.
func (d *configDuty) compare() {
	if to, found := d.roster.Peer(); found {
		d.senders.Post(compareVersions{duty: d, to: to})
		return
	}
	if len(d.seeds) > 0 {
		d.senders.Post(compareVersions{duty: d, to: d.seeds[rand.IntN(len(d.seeds))]})
	}
}

// report returns the version in force for a peer.
func (d *configDuty) report() (r *wire.VersionReport) {
	r = &wire.VersionReport{Sender: &wire.Sender{Host: d.self.String()}}
	if v := d.View(); v != nil {
		r.Version = v.Version
		r.ConfirmedAge = int64(time.Since(v.Confirmed))
	}
	return r
}

func (d *configDuty) heard(r *wire.VersionReport, from netip.AddrPort) {
	if r.GetVersion() > 0 {
		d.events.Offer(config.Heard{Version: r.GetVersion(), Age: time.Duration(r.GetConfirmedAge()), From: from})
	}
}

// Compare implements wire.Config.
func (d *configDuty) Compare(_ context.Context, r *wire.VersionReport) (own *wire.VersionReport, err error) {
	if from, err := netip.ParseAddrPort(r.GetSender().GetHost()); err == nil {
		d.heard(r, from)
	}
	return d.report(), nil
}

// Fetch implements wire.Config.
func (d *configDuty) Fetch(context.Context, *wire.FetchRequest) (m *wire.Snapshot, err error) {
	s := d.snapshot.Load()
	if s == nil {
		return &wire.Snapshot{}, nil
	}
	return wire.FromSnapshot(s), nil
}

// readHead asks the platform for the newest version.
type readHead struct{ events *ring.Ring }

// EventName implements mesh.Event.
func (readHead) EventName() string { return "read-head" }

// Do implements platformJob.
func (j readHead) Do(ctx context.Context, platform mesh.Platform) {
	asked := time.Now()
	row, found, err := platform.Read(ctx, admin.HeadKey)
	if err != nil || !found {
		return
	}
	var head admin.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return
	}
	j.events.Offer(config.Heard{Version: head.Version, Age: time.Since(asked)})
}

// readSnapshot fetches the newest snapshot from the platform.
type readSnapshot struct{ events *ring.Ring }

// EventName implements mesh.Event.
func (readSnapshot) EventName() string { return "read-snapshot" }

// Do implements platformJob.
func (j readSnapshot) Do(ctx context.Context, platform mesh.Platform) {
	_, m, err := admin.Current(ctx, platform)
	if err != nil {
		j.events.Offer(config.FetchFailed{})
		return
	}
	offerSnapshot(j.events, m)
}

func offerSnapshot(events *ring.Ring, m *wire.Snapshot) {
	s, err := wire.ToSnapshot(m)
	if err != nil || s.Version == 0 {
		events.Offer(config.FetchFailed{})
		return
	}
	events.Offer(config.Loaded{Snapshot: s})
}

// compareVersions exchanges versions with a peer.
type compareVersions struct {
	duty *configDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (compareVersions) EventName() string { return "compare-versions" }

// To implements mesh.Message.
func (m compareVersions) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m compareVersions) Send(ctx context.Context) (err error) {
	peer := wire.NewConfigProtobufClient(peerURL(m.to), m.duty.client)
	answer, err := peer.Compare(ctx, m.duty.report())
	if err != nil {
		return fmt.Errorf("compare versions: %w", err)
	}
	m.duty.heard(answer, m.to)
	return nil
}

// fetchSnapshot gets the snapshot of a peer.
type fetchSnapshot struct {
	duty    *configDuty
	to      netip.AddrPort
	version uint64
}

// EventName implements mesh.Event.
func (fetchSnapshot) EventName() string { return "fetch-snapshot" }

// To implements mesh.Message.
func (m fetchSnapshot) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m fetchSnapshot) Send(ctx context.Context) (err error) {
	peer := wire.NewConfigProtobufClient(peerURL(m.to), m.duty.client)
	snapshot, err := peer.Fetch(ctx, &wire.FetchRequest{Version: m.version})
	if err != nil {
		m.duty.events.Offer(config.FetchFailed{})
		return fmt.Errorf("fetch snapshot: %w", err)
	}
	offerSnapshot(m.duty.events, snapshot)
	return nil
}
