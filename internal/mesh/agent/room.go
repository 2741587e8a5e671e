package agent

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const (
	// roomUpdateInterval is the minimum interval at which the room is published to this process.
	roomUpdateInterval = 20 * time.Millisecond

	// roomTick is the interval at which the room duty looks for a change worth sending.
	roomTick = 250 * time.Millisecond

	// roomRefresh is the time after which an unchanged room is sent again, well before hosts have
	// turned back to the announced size.
	roomRefresh = 4 * time.Second

	// maxTimeAge is the time without requests after which the times of a target do not count as
	// known. A target that callers avoid because it was slow would otherwise never be measured again.
	maxTimeAge = 5 * time.Second

	// roomZoneInterval and roomCrossInterval are the minimum intervals of rooms to hosts of the
	// own zone and of other zones. roomsPerSecond bounds the datagrams to each group of hosts in
	// large fleets, where the answers carry most rooms.
	roomZoneInterval  = 500 * time.Millisecond
	roomCrossInterval = 2 * time.Second
	roomsPerSecond    = 25

	// roomChange is the relative change of the limit or the service time, and loadChange that of
	// the utilisation, that is worth sending.
	roomChange = 0.1
	loadChange = 0.15

	// detailsInterval is the interval at which the details for the metrics are copied.
	detailsInterval = time.Second

	// limitLogInterval is the minimum interval of the log lines on changes of the limit.
	limitLogInterval = time.Second
)

// newLimiter returns the limiter of the target and, when the node learns how much its target takes
// well, the publisher of its room.
func newLimiter(vars *expvar.Map, st Settings, log logs.Log) (l mesh.Limiter, rooms *roomPublisher) {
	if !st.LearnSpeed {
		return gate.NewFixed(1), nil
	}
	learned := gate.NewLearned(1)
	rooms = &roomPublisher{limiter: learned, host: st.PeerAddr, log: log}
	vars.Set("target-room", expvar.Func(func() any { return rooms.metrics() }))
	return learned, rooms
}

// roomPublisher publishes the room of the target on this host. The gate duty updates it.
type roomPublisher struct {
	limiter *gate.Learned
	host    netip.AddrPort
	log     logs.Log

	// room is nil until the target has reported.
	room atomic.Pointer[mesh.Room]

	// details is the part of the metrics that only the gate duty can read, set at detailsAt.
	details atomic.Pointer[roomDetails]

	updatedAt, detailsAt time.Time

	// loggedLimit is the limit in the last log line, written at loggedAt.
	loggedLimit int
	loggedAt    time.Time
}

// roomDetails is what the room does not hold about the limit of the target.
type roomDetails struct {
	slowdown      float64
	baseLatencies map[string]time.Duration
}

// latest returns the last room, nil when there is none.
func (p *roomPublisher) latest() (r *mesh.Room) {
	if p == nil {
		return nil
	}
	return p.room.Load()
}

// update publishes the room of the target t.
func (p *roomPublisher) update(now time.Time, g *gate.Gate, t *mesh.Target) {
	if p == nil || now.Sub(p.updatedAt) < roomUpdateInterval && g.InFlight()+g.Queued() > 0 {
		return
	}
	p.updatedAt = now
	if t == nil {
		p.room.Store(nil)
		return
	}
	r := &mesh.Room{
		Host: p.host, Target: t.Name, Limit: g.Limit(), Running: g.InFlight(), Queued: g.Queued(),
		At: now,
	}
	if now.Sub(p.limiter.MeasuredAt()) < maxTimeAge {
		r.Service, r.Own = p.limiter.Service(), p.limiter.Own()
	}
	// A cold target without tokens is full, whatever its limit is.
	if load := g.Load(); load*r.Limit > 1000*(r.Running+r.Queued) {
		r.Queued = load*r.Limit/1000 - r.Running
	}
	p.room.Store(r)
	if now.Sub(p.detailsAt) >= detailsInterval {
		p.detailsAt = now
		p.details.Store(&roomDetails{slowdown: p.limiter.Slowdown(), baseLatencies: p.limiter.BaseLatencies()})
	}
	p.logLimit(now, t, r)
}

// logLimit logs a change of the limit.
func (p *roomPublisher) logLimit(now time.Time, t *mesh.Target, r *mesh.Room) {
	if p.loggedLimit == r.Limit || now.Sub(p.loggedAt) < limitLogInterval {
		return
	}
	p.log.InfoFields("the limit of the target changed", logs.Fields{
		"target": t.Name, "slots": t.Slots, "limit": r.Limit, "limit-before": p.loggedLimit,
		"slowdown": p.limiter.Slowdown(), "service-ms": r.Service.Milliseconds(), "running": r.Running, "queued": r.Queued,
	})
	p.loggedLimit, p.loggedAt = r.Limit, now
}

// metrics returns the values of the metric target-room.
func (p *roomPublisher) metrics() (values map[string]any) {
	r := p.latest()
	if r == nil {
		return nil
	}
	values = map[string]any{
		"limit": r.Limit, "running": r.Running, "queued": r.Queued, "service-ms": r.Service.Milliseconds(), "own-ms": r.Own.Milliseconds(),
	}
	if d := p.details.Load(); d != nil {
		base := make(map[string]int64, len(d.baseLatencies))
		for route, latency := range d.baseLatencies {
			base[route] = latency.Milliseconds()
		}
		values["slowdown"], values["base-ms"] = d.slowdown, base
	}
	return values
}

// formatRoom returns the value of header.Room.
func formatRoom(r *mesh.Room) (text string) {
	return fmt.Sprintf("%d %d %d %d %d", r.Limit, r.Running, r.Queued, r.Service.Microseconds(), r.Own.Microseconds())
}

// parseRoom parses the value of header.Room.
func parseRoom(text string) (r *mesh.Room, err error) {
	var values [5]int
	fields := strings.Fields(text)
	if len(fields) != len(values) {
		return nil, fmt.Errorf("room %q: want %d numbers", text, len(values))
	}
	for i, f := range fields {
		if values[i], err = strconv.Atoi(f); err != nil {
			return nil, fmt.Errorf("room %q: %w", text, err)
		}
	}
	if limit := int(time.Hour.Microseconds()); values[3] > limit || values[4] > limit {
		return nil, fmt.Errorf("room %q: a time exceeds an hour", text)
	}
	r = &mesh.Room{
		Limit: values[0], Running: values[1], Queued: values[2],
		Service: time.Duration(values[3]) * time.Microsecond, Own: time.Duration(values[4]) * time.Microsecond,
	}
	return r, r.Check()
}

// roomReceived carries the room of a target of another host.
type roomReceived struct{ room mesh.Room }

// EventName implements mesh.Event.
func (roomReceived) EventName() string { return "room" }

// roomDuty sends the room of the target on this host to the other hosts, for those that have seen
// too little of the target to know it.
type roomDuty struct {
	rooms  *roomPublisher
	socket *net.UDPConn
	member *memberDuty
	self   mesh.ZoneName
	sent   *expvar.Int
	log    logs.Log

	// zone and cross are the hosts of this zone and of the others.
	zone, cross roomGroup
}

// roomGroup is a group of hosts to which rooms are sent.
type roomGroup struct {
	minInterval time.Duration
	lastRoom    *mesh.Room
	sentAt      time.Time
}

func newRoomDuty(vars *expvar.Map, rooms *roomPublisher, socket *net.UDPConn, member *memberDuty, self mesh.ZoneName, log logs.Log) (d *roomDuty) {
	d = &roomDuty{
		rooms: rooms, socket: socket, member: member, self: self, sent: new(expvar.Int), log: log,
		zone: roomGroup{minInterval: roomZoneInterval}, cross: roomGroup{minInterval: roomCrossInterval},
	}
	vars.Set("rooms-sent", d.sent)
	return d
}

// Name implements mesh.Duty.
func (d *roomDuty) Name() string { return "room" }

// Run implements mesh.Duty.
func (d *roomDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(roomTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.sendDue(now)
		}
	}
}

func (d *roomDuty) sendDue(now time.Time) {
	r := d.rooms.latest()
	if r == nil {
		return
	}
	var zone, cross []netip.AddrPort
	for addr, h := range d.member.View().Peers {
		if h.Zone == d.self {
			zone = append(zone, addr)
		} else {
			cross = append(cross, addr)
		}
	}
	for _, g := range []struct {
		group *roomGroup
		to    []netip.AddrPort
	}{{&d.zone, zone}, {&d.cross, cross}} {
		if g.group.due(now, r, len(g.to)) {
			d.send(r, g.to)
		}
	}
}

// due reports whether the room is to be sent to a group of hosts now, and records that it is.
func (g *roomGroup) due(now time.Time, r *mesh.Room, hosts int) (due bool) {
	interval := max(g.minInterval, time.Duration(hosts)*time.Second/roomsPerSecond)
	age := now.Sub(g.sentAt)
	if age < interval || age < roomRefresh && g.lastRoom != nil && !differs(g.lastRoom, r) {
		return false
	}
	g.lastRoom, g.sentAt = r, now
	return true
}

// differs reports whether two rooms differ enough to change the choice of targets.
func differs(a, b *mesh.Room) (yes bool) {
	changed := func(x, y, by float64) bool { return math.Abs(x-y) > by*max(x, y) }
	load := func(r *mesh.Room) float64 { return float64(r.Running+r.Queued) / float64(r.Limit) }
	return a.Target != b.Target || changed(float64(a.Limit), float64(b.Limit), roomChange) ||
		changed(a.Service.Seconds(), b.Service.Seconds(), roomChange) || changed(a.Own.Seconds(), b.Own.Seconds(), roomChange) || math.Abs(load(a)-load(b)) > loadChange
}

func (d *roomDuty) send(r *mesh.Room, to []netip.AddrPort) {
	data, err := beat.EncodeRoom(r)
	if err != nil {
		d.log.Errorf("encoding the room of the target failed: %v.", err)
		return
	}
	failed := 0
	for _, addr := range to {
		if _, sendErr := d.socket.WriteToUDPAddrPort(data, addr); sendErr != nil {
			failed, err = failed+1, sendErr
			continue
		}
		d.sent.Add(1)
	}
	if failed > 0 {
		// A later room replaces a lost one.
		d.log.Warnf("sending the room of the target to %d of %d hosts failed: %v.", failed, len(to), err)
	}
}

// roomsQuery asks the picker duty for the rooms that it knows.
type roomsQuery struct{ reply ring.Reply }

type roomsReply struct {
	known  []mesh.Room
	shares map[mesh.ServiceName]float64
}

// EventName implements mesh.Event.
func (roomsQuery) EventName() string { return "rooms-query" }

// EventName implements mesh.Event.
func (roomsReply) EventName() string { return "rooms-reply" }

// metricsTimeout is how long the metrics wait for the picker duty.
const metricsTimeout = time.Second

// roomMetrics returns the value of the metric rooms-known; nil when the duty is too busy.
func (d *pickerDuty) roomMetrics() (values map[string]any) {
	reply := ring.NewReply()
	if !d.events.Offer(roomsQuery{reply: reply}) {
		return nil
	}
	select {
	case e := <-reply.Events():
		r := e.(roomsReply)
		targets := make(map[string]any, len(r.known))
		for _, k := range r.known {
			targets[k.Host.String()] = map[string]any{
				"target": k.Target, "limit": k.Limit, "running": k.Running, "queued": k.Queued,
				"service-ms": k.Service.Milliseconds(), "own-ms": k.Own.Milliseconds(), "age-ms": time.Since(k.At).Milliseconds(),
			}
		}
		return map[string]any{"targets": targets, "left-zone": r.shares}
	case <-time.After(metricsTimeout):
		return nil
	}
}
