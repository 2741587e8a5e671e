// Package shed decides which requests are turned away at their entry because a
// service on their way is overloaded. Work that is turned away there costs
// nothing, while a request that fails at its third call has wasted two.
package shed

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Opening says which classes a service and those behind it have room for: the
// class c of callers' requests is admitted with a chance of Opening - c + 1,
// cut to a range from 0 to 1. Requests of class 0 are always admitted.
type Opening float64

// Full admits every class.
const Full Opening = mesh.ClassCount - 1

const (
	// interval is how often an opening moves. It is longer than a request to
	// a service takes, so that most of what an opening admits is seen before
	// it moves again.
	interval = 100 * time.Millisecond

	// toleratedPart is the part of a class's requests that may be refused or
	// late before less important classes give way.
	toleratedPart = 0.04

	// leastSamples is how many requests of a class an interval needs to say
	// anything about it.
	leastSamples = 4

	// gain is by how many classes an opening falls in an interval in which all
	// requests of a class are refused, and steepest bounds the fall.
	gain     = 0.2
	steepest = 0.3

	// rise is how far an opening grows in an interval without overload, and
	// quickRise how far once there were calmIntervals of them: small steps
	// keep it near the limit, large ones end it with the overload.
	rise          Opening = 0.02
	quickRise     Opening = 0.1
	calmIntervals         = 10

	// newsLife is how long an opening holds without news. It grows afterwards,
	// since a class that is shut brings no news itself.
	newsLife = 500 * time.Millisecond

	// forgetNews is after which time without news a host no longer counts.
	forgetNews = 2 * time.Second
)

// Meter measures the overload of one service at one target.
type Meter struct {
	opening Opening
	since   time.Time
	classes [mesh.ClassCount]struct{ all, bad int }

	// calm is the number of intervals since the opening last fell.
	calm int

	// deeper holds the openings of the services that the target calls.
	deeper map[mesh.ServiceName]hosts
}

// news is an opening and when it was heard.
type news struct {
	opening Opening
	at      time.Time
}

// now returns the opening as it is likely to be by now.
func (n news) now(now time.Time) (o Opening) {
	late := now.Sub(n.at) - newsLife
	if late <= 0 {
		return n.opening
	}
	return min(Full, n.opening+quickRise*Opening(late/interval))
}

// hosts holds what the hosts of one service have said.
type hosts map[netip.AddrPort]news

// now returns the mean opening of the hosts. Calls that one of them has no room
// for go to the others.
func (h hosts) now(now time.Time) (o Opening) {
	for addr, n := range h {
		if now.Sub(n.at) > forgetNews {
			delete(h, addr)
			continue
		}
		o += n.now(now)
	}
	if len(h) == 0 {
		return Full
	}
	return o / Opening(len(h))
}

// hear takes in what a host says.
func hear(now time.Time, services map[mesh.ServiceName]hosts, service mesh.ServiceName, host netip.AddrPort, o Opening) {
	h := services[service]
	if h == nil {
		h = make(hosts)
		services[service] = h
	}
	h[host] = news{opening: o, at: now}
}

// NewMeter returns the meter of a service that is not overloaded.
func NewMeter() (m *Meter) {
	return &Meter{opening: Full, deeper: make(map[mesh.ServiceName]hosts)}
}

// Observe takes in one request: bad is true when it was refused for want of
// room or waited for too long.
func (m *Meter) Observe(now time.Time, class mesh.Class, bad bool) {
	m.move(now)
	c := &m.classes[min(class, mesh.ClassLow)]
	c.all++
	if bad {
		c.bad++
	}
}

// move ends the intervals that have passed. Only a class that is worse off than
// it should be closes the opening, and only for less important classes: within
// one class it is the gate that decides.
func (m *Meter) move(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	passed := now.Sub(m.since) / interval
	if passed == 0 {
		return
	}
	m.since = m.since.Add(passed * interval)
	fall := m.fall()
	clear(m.classes[:])
	if fall > 0 {
		m.opening -= fall
		m.calm = 0
		return
	}
	m.calm += int(passed)
	step := rise
	if m.calm > calmIntervals {
		step = quickRise
	}
	m.opening = min(Full, m.opening+step*Opening(passed))
}

func (m *Meter) fall() (fall Opening) {
	for i, c := range m.classes {
		if c.all < leastSamples || Opening(i) >= m.opening {
			continue
		}
		if part := float64(c.bad) / float64(c.all); part > toleratedPart {
			return min(steepest, Opening(gain*part), m.opening-Opening(i))
		}
	}
	return 0
}

// Hear takes in what a host of a service that the target called has room for.
func (m *Meter) Hear(now time.Time, service mesh.ServiceName, host netip.AddrPort, o Opening) {
	hear(now, m.deeper, service, host, o)
}

// Opening returns what the service and those behind it have room for.
func (m *Meter) Opening(now time.Time) (o Opening) {
	m.move(now)
	o = m.opening
	for _, h := range m.deeper {
		o = min(o, h.now(now))
	}
	return o
}

// Book holds the openings that one entry has heard of.
type Book struct {
	services map[mesh.ServiceName]hosts
}

// NewBook returns a book that admits everything.
func NewBook() (b *Book) { return &Book{services: make(map[mesh.ServiceName]hosts)} }

// Hear takes in what a host of a service has room for.
func (b *Book) Hear(now time.Time, service mesh.ServiceName, host netip.AddrPort, o Opening) {
	hear(now, b.services, service, host, o)
}

// Admit reports whether a request of the class goes on to the service. Draw is
// a number from 0 to below 1.
func (b *Book) Admit(now time.Time, service mesh.ServiceName, class mesh.Class, draw float64) (admitted bool) {
	return class == mesh.ClassCritical || draw < float64(b.services[service].now(now)-Opening(class)+1)
}
