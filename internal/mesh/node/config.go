package node

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	configRing = 64

	// pollInterval is how often a poller reads the head row from the platform, and
	// writes the row of its zone if that has changed.
	pollInterval = 2 * time.Second

	// compareInterval is how often a node compares versions with a random peer.
	compareInterval = time.Second

	// pushFanout is the number of peers that are notified of a new version at once.
	pushFanout = 3

	// startPollIntervals is the mean number of poll intervals between two reads of the
	// head by a node that is not a poller and has no version yet. It keeps a fleet
	// whose nodes all start at once below the platform's rate limit.
	startPollIntervals = 4

	// maxChanges is the number of recent changes that are kept for peers that are
	// behind.
	maxChanges = 16
)

// configDuty owns the version of settings and keys in force. When its queue is full,
// the notice of a new version is dropped, since peers and polls repeat it.
type configDuty struct {
	self     netip.AddrPort
	zone     mesh.ZoneName
	state    *config.State
	events   *ring.Ring
	platform *platformDuty

	// records writes the row of the zone. It is a separate queue, since that write is
	// less urgent.
	records *platformDuty
	senders senders
	roster  *rosterDuty
	client  *http.Client
	view    atomic.Pointer[config.View]
	served  atomic.Pointer[servedVersion]
	seeds   []netip.AddrPort
	log     logs.Log

	started time.Time

	// polling is true while a read of the head is pending.
	polling bool

	// collectors are the acknowledgement collectors of this zone, computed from
	// collectorsView.
	collectors     config.Collectors
	collectorsView *roster.View

	// ackStates holds what each poller, and the collector of this node, has confirmed
	// to have received from it.
	ackStates map[netip.AddrPort]ackState
	acks      *config.Acks
	row       zoneRow
}

// servedVersion is the version that peers can fetch from this node. It is immutable.
type servedVersion struct {
	snapshot *config.Snapshot

	// changes are the latest changes up to snapshot, oldest first, without gaps.
	changes []*wire.Change

	// packed is the encoded snapshot.
	packed []byte
}

func newConfigDuty(vars *expvar.Map, s Settings, log logs.Log) (d *configDuty) {
	return &configDuty{
		self:      s.PeerListen,
		zone:      s.Zone,
		state:     config.New(s.Zone),
		events:    ring.New(vars, "config", configRing),
		seeds:     s.Peers,
		log:       log,
		ackStates: make(map[netip.AddrPort]ackState),
		acks:      config.NewAcks(),
	}
}

// Name implements mesh.Duty.
func (d *configDuty) Name() string { return "config" }

// View returns the view in force, or nil before the first version.
func (d *configDuty) View() (v *config.View) { return d.view.Load() }

// Run implements mesh.Duty.
func (d *configDuty) Run(ctx context.Context) (err error) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	d.started = time.Now()
	d.poll()
	d.compare()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		case now := <-poll.C:
			d.pollIfPoller()
			d.writeRow(now)
		case now := <-compare.C:
			d.apply(d.state.Step(now, config.Tick{}))
			d.compare()
			d.acknowledge()
		}
	}
}

// handle processes one event of the queue.
func (d *configDuty) handle(now time.Time, event mesh.Event) {
	switch e := event.(type) {
	case polled:
		d.polling = false
	case acksReceived:
		for _, a := range e.acks {
			d.acks.Record(a)
		}
	case acksDelivered:
		d.recordDelivery(e)
	case rowWritten:
		d.row.recordWrite(e)
	case fetched:
		d.storeUpdate(e)
		d.apply(d.state.Step(now, e.loaded))
	case config.VersionSeen:
		if !e.From.IsValid() && e.Version < d.state.Version() {
			d.log.Warnf("the newest version at the platform is %d, but version %d is in force; the platform may have lost changes.", e.Version, d.state.Version())
		}
		d.apply(d.state.Step(now, e))
	default:
		d.apply(d.state.Step(now, event))
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
	d.log.Infof("version %d is in force.", v.Version)
	if _, found := v.Index.Zones[d.zone]; !found {
		d.log.Warnf("zone %s is not in the settings tree; the fleet-wide settings apply.", d.zone)
	}
	d.compareWithRandomPeers(pushFanout)
	d.acknowledge()
}

// storeUpdate makes a newer snapshot and its changes available to peers.
func (d *configDuty) storeUpdate(e fetched) {
	old := d.served.Load()
	if old != nil && e.loaded.Snapshot.Version <= old.snapshot.Version {
		return
	}
	packed, err := wire.PackSnapshot(wire.FromSnapshot(e.loaded.Snapshot))
	if err != nil {
		d.log.Errorf("encoding version %d for peers failed: %v.", e.loaded.Snapshot.Version, err)
		return
	}
	d.served.Store(&servedVersion{snapshot: e.loaded.Snapshot, changes: appendChanges(old, e.changes), packed: packed})
}

// appendChanges appends changes to those of old. The old ones are discarded if
// changes is empty or there is a gap in between.
func appendChanges(old *servedVersion, changes []*wire.Change) (joined []*wire.Change) {
	if old == nil || len(changes) == 0 || changes[0].GetVersion() > old.snapshot.Version+1 {
		return changes
	}
	for _, c := range old.changes {
		if c.GetVersion() < changes[0].GetVersion() {
			joined = append(joined, c)
		}
	}
	joined = append(joined, changes...)
	return joined[max(0, len(joined)-maxChanges):]
}

// snapshot returns the snapshot that peers can fetch, or nil.
func (d *configDuty) snapshot() (s *config.Snapshot) {
	if h := d.served.Load(); h != nil {
		return h.snapshot
	}
	return nil
}

// zoneCollectors returns the acknowledgement collectors of this zone.
func (d *configDuty) zoneCollectors() (c config.Collectors) {
	if v := d.roster.View(); v != d.collectorsView {
		d.collectors, d.collectorsView = config.NewCollectors(d.zone, v.Hosts), v
	}
	return d.collectors
}

// pollIfPoller reads the head if this node is a poller of its zone. A node without a
// version also reads it, at random intervals.
func (d *configDuty) pollIfPoller() {
	if slices.Contains(d.zoneCollectors().Pollers(), d.self) {
		d.poll()
		return
	}
	if d.View() == nil && rand.IntN(startPollIntervals) == 0 {
		d.poll()
	}
}

func (d *configDuty) poll() {
	if !d.polling {
		d.polling = d.platform.jobs.Offer(readHead{events: d.events})
	}
}

func (d *configDuty) fetch(f config.Fetch) {
	if f.From.IsValid() {
		d.senders.Post(fetchUpdate{duty: d, to: f.From, base: f.Base})
		return
	}
	if !d.platform.jobs.Offer(readUpdate{duty: d, base: f.Base}) {
		d.apply(d.state.Step(time.Now(), config.FetchFailed{}))
	}
}

// compare compares versions with one random peer. A node without a version compares
// with more random peers and with every peer in its settings.
func (d *configDuty) compare() {
	if d.View() != nil {
		d.compareWithRandomPeers(1)
		return
	}
	d.compareWithRandomPeers(pushFanout)
	for _, to := range d.seeds {
		d.compareWithPeer(to)
	}
}

// compareWithRandomPeers compares versions with count random peers from the roster, or
// from the settings when the roster has none.
func (d *configDuty) compareWithRandomPeers(count int) {
	for range count {
		if to, found := d.roster.Peer(); found {
			d.compareWithPeer(to)
		} else if len(d.seeds) > 0 {
			d.compareWithPeer(d.seeds[rand.IntN(len(d.seeds))])
		}
	}
}

func (d *configDuty) compareWithPeer(to netip.AddrPort) {
	if to != d.self {
		d.senders.Post(compareVersions{duty: d, to: to})
	}
}

// sender identifies this host and its current incarnation.
func (d *configDuty) sender() (s *wire.Sender) {
	return &wire.Sender{Host: d.self.String(), Incarnation: uint64(d.incarnationOf(d.self))}
}

// incarnationOf returns the incarnation of a host in the roster, or 0.
func (d *configDuty) incarnationOf(addr netip.AddrPort) (in mesh.Incarnation) {
	h, _ := d.roster.View().Host(addr)
	return h.Incarnation
}

// currentSender returns the sender of a message. It is not valid if a later incarnation
// of that host is known.
func (d *configDuty) currentSender(s *wire.Sender) (from netip.AddrPort, valid bool) {
	from, err := netip.ParseAddrPort(s.GetHost())
	if err != nil {
		return from, false
	}
	return from, mesh.Incarnation(s.GetIncarnation()) >= d.incarnationOf(from)
}

// confirmedAge returns the time since the version was confirmed to be the newest one,
// or 0 if it never was.
func confirmedAge(v *config.View) (nanoseconds int64) {
	if v == nil || v.Confirmed.IsZero() {
		return 0
	}
	return max(1, int64(time.Since(v.Confirmed)))
}

// confirmedAt returns when a version was confirmed, on the clock of this host. It
// subtracts the age from the time of the request, not of the answer, so that an age
// never shrinks when it is relayed.
func confirmedAt(requestedAt time.Time, age int64) (at time.Time) {
	if age <= 0 {
		return time.Time{}
	}
	return requestedAt.Add(-time.Duration(age))
}

// versionReport returns the version in force as a message to a peer.
func (d *configDuty) versionReport() (r *wire.VersionReport) {
	r = &wire.VersionReport{Sender: d.sender()}
	if v := d.View(); v != nil {
		r.Version, r.ConfirmedAge = v.Version, confirmedAge(v)
	}
	return r
}

// Compare implements wire.Config. It ignores the age in a request, since the transit
// time of the request is unknown.
func (d *configDuty) Compare(_ context.Context, r *wire.VersionReport) (own *wire.VersionReport, err error) {
	if from, valid := d.currentSender(r.GetSender()); valid && r.GetVersion() > 0 {
		d.events.Offer(config.VersionSeen{Version: r.GetVersion(), From: from})
	}
	return d.versionReport(), nil
}

// Fetch implements wire.Config.
func (d *configDuty) Fetch(_ context.Context, r *wire.FetchRequest) (u *wire.Update, err error) {
	u = &wire.Update{Sender: d.sender()}
	v, h := d.View(), d.served.Load()
	if v == nil || h == nil || r.GetHave() >= h.snapshot.Version {
		return u, nil
	}
	if v.Version == h.snapshot.Version {
		u.ConfirmedAge = confirmedAge(v)
	}
	for i, c := range h.changes {
		if r.GetHave() > 0 && c.GetVersion() == r.GetHave()+1 {
			u.Changes = h.changes[i:]
			return u, nil
		}
	}
	u.Snapshot = h.packed
	return u, nil
}

// fetched carries a new snapshot, with its changes if it was fetched as changes.
type fetched struct {
	loaded  config.Loaded
	changes []*wire.Change
}

// EventName implements mesh.Event.
func (fetched) EventName() string { return "fetched" }

// offerUpdate queues a fetched update. A new settings tree is parsed here, on the
// goroutine that fetched it, so that parsing does not block the duty.
func (d *configDuty) offerUpdate(u *wire.Update, requestedAt time.Time) {
	s, err := d.resolveUpdate(u)
	if err != nil || s == nil {
		mismatch := errors.Is(err, config.ErrMismatch)
		d.events.Offer(config.FetchFailed{Mismatch: mismatch, Unusable: err != nil && !mismatch})
		if err != nil {
			d.log.Warnf("ignored an invalid update: %v.", err)
		}
		return
	}
	loaded := config.Loaded{Snapshot: s, Confirmed: confirmedAt(requestedAt, u.GetConfirmedAge())}
	d.events.Offer(fetched{loaded: loaded, changes: u.GetChanges()})
}

// resolveUpdate returns the snapshot that results from an update, or nil when the
// update is empty.
func (d *configDuty) resolveUpdate(u *wire.Update) (s *config.Snapshot, err error) {
	switch {
	case len(u.GetChanges()) > 0:
		return wire.ApplyChanges(d.snapshot(), u.GetChanges())
	case len(u.GetSnapshot()) > 0:
		m, err := wire.UnpackSnapshot(u.GetSnapshot())
		if err != nil {
			return nil, err
		}
		return wire.ToSnapshot(m)
	default:
		return nil, nil
	}
}
