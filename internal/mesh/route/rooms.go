package route

import (
	"math"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// roomHalfLife is the half-life of what is known about the requests at a target, and
	// speedHalfLife that of its limit and speed, which change more slowly.
	roomHalfLife  = time.Second
	speedHalfLife = 5 * time.Second

	// roomTTL is the age from which a room is ignored.
	roomTTL = 30 * time.Second

	// defaultService is the service time assumed for a target while none of its group is known.
	// Only the ratio between targets matters then.
	defaultService = 100 * time.Millisecond

	// maxUtilisation bounds what is believed of the requests at a target, in its announced slots.
	// More than a full target says nothing further, and would keep calls away for longer.
	maxUtilisation = 2

	// queuePenalty is the weight of a request that has to queue, in requests that run at once. What
	// this host knows is old, and a full target may refuse.
	queuePenalty = 4

	// shiftInterval is the interval at which the share of calls that leave their zone changes.
	shiftInterval = 250 * time.Millisecond

	// shiftLoad is the load of a zone from which on calls leave it, and shiftMargin by how much the
	// load of the others must be lower: the price of crossing. A zone that is not nearly full has
	// nothing to gain from it.
	shiftLoad   = 0.75
	shiftMargin = 0.15

	// shiftGain is the change of the share for a difference of one between the loads, per interval.
	// Loads are known about half a second late; a larger gain would let zones swing.
	shiftGain     = 0.25
	maxShiftStep  = 0.08
	maxShiftShare = 0.9

	// maxShiftAge is the time without calls after which the share begins anew.
	maxShiftAge = 5 * time.Second

	// returnStep is the decrease of the share in an interval in which the zone has room again.
	returnStep = 0.04
)

// knownRoom is the last room of the target of one host.
type knownRoom struct {
	mesh.Room

	// sent is the number of calls sent to the target since then, with the half-life of a room.
	sent   float64
	sentAt time.Time

	// fullAt is when the target last refused a call as full; zero if a newer room is known.
	fullAt time.Time
}

// rooms holds what is known about the targets of other hosts and of this one.
type rooms struct {
	known  map[netip.AddrPort]*knownRoom
	shifts map[mesh.ServiceName]*shift
}

// shift is the share of the calls to one service that leave the zone of this host.
type shift struct {
	share     float64
	updatedAt time.Time
}

// load is the estimated load of a target.
type load struct {
	// used is the number of requests at the target, and limit how many it takes well.
	used, limit float64

	// service is the time of a request and own that without its nested calls; zero while
	// unknown. certainty is their weight against the means of the other targets.
	service, own time.Duration
	certainty    float64
}

func newRooms() (r *rooms) {
	return &rooms{known: make(map[netip.AddrPort]*knownRoom), shifts: make(map[mesh.ServiceName]*shift)}
}

// observe records a room unless a newer one is known.
func (r *rooms) observe(now time.Time, room mesh.Room) {
	k, found := r.known[room.Host]
	if !found {
		k = new(knownRoom)
		r.known[room.Host] = k
	}
	if room.At.Before(k.At) {
		return
	}
	*k = knownRoom{Room: room, sentAt: now}
}

// sent records a call that is sent to the target of a host.
func (r *rooms) sent(now time.Time, host netip.AddrPort) {
	if k, found := r.known[host]; found {
		k.sent = k.sent*fade(now.Sub(k.sentAt), roomHalfLife) + 1
		k.sentAt = now
	}
}

// full records that the target of a host refused a call as full.
func (r *rooms) full(now time.Time, host netip.AddrPort) {
	if k, found := r.known[host]; found {
		k.fullAt = now
	}
}

// evict removes the rooms of hosts that have long been silent.
func (r *rooms) evict(now time.Time) {
	for host, k := range r.known {
		if now.Sub(k.At) > linkIdleTimeout {
			delete(r.known, host)
		}
	}
}

// fade returns the weight of a value of the given age.
func fade(age, halfLife time.Duration) (weight float64) {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}

// estimate returns the load of a target. With the age of its room the requests fade, and the limit
// turns back to the announced slots, so that old values neither attract nor keep away calls. Then
// the load counts that the target's answers have carried.
func (r *rooms) estimate(now time.Time, e candidate) (l load) {
	slots := float64(max(1, e.Target.Slots))
	l.limit = slots
	l.used = slots * float64(e.state.load(now)) / 1000
	k, found := r.known[e.Host]
	if !found || k.Target != "" && k.Target != e.Target.Name || now.Sub(k.At) > roomTTL {
		return l
	}
	age := now.Sub(k.At)
	l.certainty = fade(age, speedHalfLife)
	l.limit += l.certainty * min(0, float64(k.Limit)-l.limit)
	used := fade(age, roomHalfLife)*min(maxUtilisation*slots, float64(k.Running+k.Queued)) + k.sent*fade(now.Sub(k.sentAt), roomHalfLife)
	if e.state.loadAt.After(k.At) {
		used = max(used, l.used)
	}
	l.used = used
	if !k.fullAt.IsZero() {
		l.used = max(l.used, 2*l.limit*fade(now.Sub(k.fullAt), roomHalfLife))
	}
	l.service, l.own = k.Service, k.Own
	return l
}

// wait returns the expected time of a call at the target itself: what it takes there, longer the more
// runs beside it, and the time in the queue. Nested calls take as long at any target.
func (l load) wait() (d float64) {
	u := (l.used + 1) / l.limit
	return float64(l.own)*(1+u) + float64(l.service)*queuePenalty*max(0, u-1)
}

// rate returns the number of requests per second that the target can finish.
func (l load) rate() (perSecond float64) { return l.limit / l.service.Seconds() }

// utilisation returns the share of the limits of a group in use.
func utilisation(group []candidate) (u float64) {
	var used, limit float64
	for _, c := range group {
		used += c.load.used
		limit += c.load.limit
	}
	return used / limit
}

// estimateAll estimates the loads of all candidates. A target whose speed is not known counts as
// the mean of those that are, and a speed that is known turns to that mean with its age.
func (r *rooms) estimateAll(now time.Time, groups ...[]candidate) {
	var services, owns harmonicMean
	for _, group := range groups {
		for i := range group {
			l := r.estimate(now, group[i])
			group[i].load = l
			services.add(l.service)
			owns.add(l.own)
		}
	}
	for _, group := range groups {
		for i := range group {
			l := &group[i].load
			l.service = complete(l.service, services.mean(), l.certainty)
			l.own = complete(l.own, owns.mean(), l.certainty)
		}
	}
}

// harmonicMean is the mean of the speeds instead of the times, which one very slow target does not
// dominate.
type harmonicMean struct{ speeds, known float64 }

func (m *harmonicMean) add(d time.Duration) {
	if d > 0 {
		m.speeds += 1 / float64(d)
		m.known++
	}
}

func (m *harmonicMean) mean() (d time.Duration) {
	if m.known == 0 {
		return defaultService
	}
	return time.Duration(m.known / m.speeds)
}

const (
	// freshCertainty is the certainty from which on a speed is taken as known.
	freshCertainty = 0.85

	// maxSlowness is the highest ratio of a service time to the mean that is believed. A target
	// that seems slower still is chosen rarely enough.
	maxSlowness = 8
)

// complete replaces what is not known or uncertain about a time by the mean.
func complete(d, mean time.Duration, certainty float64) (completed time.Duration) {
	if d == 0 {
		return mean
	}
	d = min(d, maxSlowness*mean)
	if certainty >= freshCertainty {
		return d
	}
	return time.Duration(math.Pow(float64(d), certainty) * math.Pow(float64(mean), 1-certainty))
}

// share returns the share of the calls to a service that leave the zone. It follows the loads of
// the zones in small steps: all hosts of a zone see the same late loads, and would otherwise
// move to and fro together.
//
// Only a first attempt at all targets changes the share: others see a part of the zones.
func (r *rooms) share(now time.Time, call *mesh.Call, c candidates) (share float64) {
	s, found := r.shifts[call.TargetService()]
	if !found {
		s = &shift{updatedAt: now}
		r.shifts[call.TargetService()] = s
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed < shiftInterval || len(c.tried) > 0 || call.Choice.New {
		return s.share
	}
	s.updatedAt = now
	if elapsed > maxShiftAge {
		s.share = 0
	}
	steps := min(4, float64(elapsed)/float64(shiftInterval))
	here, there := utilisation(c.local), utilisation(c.remote)
	switch gap := here - there; {
	case gap < 0 || here < shiftLoad-shiftMargin:
		s.share -= steps * max(returnStep, min(maxShiftStep, -shiftGain*gap))
	case here > shiftLoad && gap > shiftMargin:
		s.share += steps * min(maxShiftStep, shiftGain*gap)
	}
	s.share = min(maxShiftShare, max(0, s.share))
	return s.share
}
