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

	// pollInterval is how often a poller reads the head at the platform and
	// writes the row of its zone, if that changed.
	pollInterval = 2 * time.Second

	// compareInterval is how often a node compares versions with a peer.
	compareInterval = time.Second

	// pushCount is how many peers hear of a new version at once.
	pushCount = 3

	// startPolls is how many intervals pass on average between two reads of
	// the head by a node that is no poller and has no version yet, so that
	// a fleet that starts at once stays below the platform's limit.
	startPolls = 4

	// changeCount is how many changes are kept for peers that are behind.
	changeCount = 16
)

// configDuty owns the version of settings and keys in force. Full ring: a
// version that was heard of is dropped, since it will be heard of again.
type configDuty struct {
	self     netip.AddrPort
	zone     mesh.ZoneName
	state    *config.State
	events   *ring.Ring
	platform *platformDuty

	// records writes the row of the zone, which may wait longer.
	records *platformDuty
	senders senders
	roster  *rosterDuty
	client  *http.Client
	view    atomic.Pointer[config.View]
	held    atomic.Pointer[held]
	seeds   []netip.AddrPort
	log     logs.Log

	started time.Time

	// polling is true while a read of the head is on its way.
	polling bool

	// collectors are those of this zone in the roster view collectorsOf.
	collectors   config.Collectors
	collectorsOf *roster.View

	// reported is what each poller and the collector of this node are known
	// to have taken from it.
	reported map[netip.AddrPort]report
	acks     *config.Acks
	row      zoneRow
}

// held is what peers may fetch. It is immutable.
type held struct {
	snapshot *config.Snapshot

	// changes lead to snapshot, oldest first, without gaps.
	changes []*wire.Change

	// packed is snapshot as peers receive it.
	packed []byte
}

func newConfigDuty(vars *expvar.Map, s Settings, log logs.Log) (d *configDuty) {
	return &configDuty{
		self:     s.PeerListen,
		zone:     s.Zone,
		state:    config.New(s.Zone),
		events:   ring.New(vars, "config", configRing),
		seeds:    s.Peers,
		log:      log,
		reported: make(map[netip.AddrPort]report),
		acks:     config.NewAcks(),
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
	d.started = time.Now()
	d.poll()
	d.compare()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.take(time.Now(), e)
		case now := <-poll.C:
			d.pollOnTurn()
			d.writeRow(now)
		case now := <-compare.C:
			d.apply(d.state.Step(now, config.Tick{}))
			d.compare()
			d.acknowledge()
		}
	}
}

// take hands an event to the one it is for.
func (d *configDuty) take(now time.Time, event mesh.Event) {
	switch e := event.(type) {
	case polled:
		d.polling = false
	case acksCame:
		for _, a := range e.acks {
			d.acks.Take(a)
		}
	case acksTaken:
		d.taken(e)
	case rowWritten:
		d.row.written(e)
	case fetched:
		d.keep(e)
		d.apply(d.state.Step(now, e.loaded))
	case config.Heard:
		if !e.From.IsValid() && e.Version < d.state.Version() {
			d.log.Warnf("the platform names version %d, but version %d is in force; it may have lost changes.", e.Version, d.state.Version())
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
		d.log.Warnf("zone %s is not in the settings tree; the settings of the fleet apply.", d.zone)
	}
	d.compareWith(pushCount)
	d.acknowledge()
}

// keep makes a newer snapshot and the changes that led to it available to
// peers.
func (d *configDuty) keep(e fetched) {
	old := d.held.Load()
	if old != nil && e.loaded.Snapshot.Version <= old.snapshot.Version {
		return
	}
	packed, err := wire.PackSnapshot(wire.FromSnapshot(e.loaded.Snapshot))
	if err != nil {
		d.log.Errorf("version %d cannot be passed on: %v.", e.loaded.Snapshot.Version, err)
		return
	}
	d.held.Store(&held{snapshot: e.loaded.Snapshot, changes: joinChanges(old, e.changes), packed: packed})
}

// joinChanges appends changes to those that are held, unless there is a gap.
func joinChanges(old *held, changes []*wire.Change) (joined []*wire.Change) {
	if old == nil || len(changes) == 0 || changes[0].GetVersion() > old.snapshot.Version+1 {
		return changes
	}
	for _, c := range old.changes {
		if c.GetVersion() < changes[0].GetVersion() {
			joined = append(joined, c)
		}
	}
	joined = append(joined, changes...)
	return joined[max(0, len(joined)-changeCount):]
}

// snapshot returns what is held, or nil.
func (d *configDuty) snapshot() (s *config.Snapshot) {
	if h := d.held.Load(); h != nil {
		return h.snapshot
	}
	return nil
}

// zoneCollectors returns the collectors of this zone.
func (d *configDuty) zoneCollectors() (c config.Collectors) {
	if v := d.roster.View(); v != d.collectorsOf {
		d.collectors, d.collectorsOf = config.NewCollectors(d.zone, v.Hosts), v
	}
	return d.collectors
}

// pollOnTurn reads the head if this node is a poller of its zone, and now and
// then while it has no version.
func (d *configDuty) pollOnTurn() {
	if slices.Contains(d.zoneCollectors().Pollers(), d.self) {
		d.poll()
		return
	}
	if d.View() == nil && rand.IntN(startPolls) == 0 {
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
		d.senders.Post(fetchUpdate{duty: d, to: f.From, have: f.Have})
		return
	}
	if !d.platform.jobs.Offer(readUpdate{duty: d, have: f.Have}) {
		d.apply(d.state.Step(time.Now(), config.FetchFailed{}))
	}
}

// compare tells one random peer the version in force. A node without one also
// asks every peer in its settings and more of the roster.
func (d *configDuty) compare() {
	if d.View() != nil {
		d.compareWith(1)
		return
	}
	d.compareWith(pushCount)
	for _, to := range d.seeds {
		d.compareTo(to)
	}
}

// compareWith compares versions with random peers of the roster, or with one
// of the settings when the roster has none.
func (d *configDuty) compareWith(count int) {
	for range count {
		if to, found := d.roster.Peer(); found {
			d.compareTo(to)
		} else if len(d.seeds) > 0 {
			d.compareTo(d.seeds[rand.IntN(len(d.seeds))])
		}
	}
}

func (d *configDuty) compareTo(to netip.AddrPort) {
	if to != d.self {
		d.senders.Post(compareVersions{duty: d, to: to})
	}
}

// sender names this host and its present incarnation.
func (d *configDuty) sender() (s *wire.Sender) {
	return &wire.Sender{Host: d.self.String(), Incarnation: uint64(d.incarnationOf(d.self))}
}

// incarnationOf returns the incarnation of a host in the roster, or 0.
func (d *configDuty) incarnationOf(addr netip.AddrPort) (in mesh.Incarnation) {
	h, _ := d.roster.View().Host(addr)
	return h.Incarnation
}

// current returns the host that a message is from, unless a later life of it
// is known.
func (d *configDuty) current(s *wire.Sender) (from netip.AddrPort, valid bool) {
	from, err := netip.ParseAddrPort(s.GetHost())
	if err != nil {
		return from, false
	}
	return from, mesh.Incarnation(s.GetIncarnation()) >= d.incarnationOf(from)
}

// age returns how long ago the version in force was confirmed, or 0 when it
// never was.
func age(v *config.View) (nanoseconds int64) {
	if v == nil || v.Confirmed.IsZero() {
		return 0
	}
	return max(1, int64(time.Since(v.Confirmed)))
}

// confirmedAt returns when a version was confirmed by the clock of this host.
// It counts from before the answer was asked for, so that an age never shrinks
// as it is passed on.
func confirmedAt(asked time.Time, age int64) (at time.Time) {
	if age <= 0 {
		return time.Time{}
	}
	return asked.Add(-time.Duration(age))
}

// report returns the version in force for a peer.
func (d *configDuty) report() (r *wire.VersionReport) {
	r = &wire.VersionReport{Sender: d.sender()}
	if v := d.View(); v != nil {
		r.Version, r.ConfirmedAge = v.Version, age(v)
	}
	return r
}

// Compare implements wire.Config. The age in a request is not taken over,
// since it is not known how long the request was on its way.
func (d *configDuty) Compare(_ context.Context, r *wire.VersionReport) (own *wire.VersionReport, err error) {
	if from, valid := d.current(r.GetSender()); valid && r.GetVersion() > 0 {
		d.events.Offer(config.Heard{Version: r.GetVersion(), From: from})
	}
	return d.report(), nil
}

// Fetch implements wire.Config.
func (d *configDuty) Fetch(_ context.Context, r *wire.FetchRequest) (u *wire.Update, err error) {
	u = &wire.Update{Sender: d.sender()}
	v, h := d.View(), d.held.Load()
	if v == nil || h == nil || r.GetHave() >= h.snapshot.Version {
		return u, nil
	}
	if v.Version == h.snapshot.Version {
		u.ConfirmedAge = age(v)
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

// fetched brings a snapshot with the changes that led to it, if it came so.
type fetched struct {
	loaded  config.Loaded
	changes []*wire.Change
}

// EventName implements mesh.Event.
func (fetched) EventName() string { return "fetched" }

// offerUpdate hands a fetched update to the duty. It parses a new tree before,
// so that this holds up only the one who fetched it.
func (d *configDuty) offerUpdate(u *wire.Update, asked time.Time) {
	s, err := d.follow(u)
	if err != nil || s == nil {
		mismatch := errors.Is(err, config.ErrMismatch)
		d.events.Offer(config.FetchFailed{Mismatch: mismatch, Unusable: err != nil && !mismatch})
		if err != nil {
			d.log.Warnf("an update was not usable: %v.", err)
		}
		return
	}
	loaded := config.Loaded{Snapshot: s, Confirmed: confirmedAt(asked, u.GetConfirmedAge())}
	d.events.Offer(fetched{loaded: loaded, changes: u.GetChanges()})
}

// follow returns the snapshot that an update leads to, or nil when it is empty.
func (d *configDuty) follow(u *wire.Update) (s *config.Snapshot, err error) {
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
