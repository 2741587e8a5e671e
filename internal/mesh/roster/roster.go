// Package roster decides which hosts and targets exist and in which state.
package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// View is the roster at one moment. It is immutable.
type View struct {
	Hosts     map[netip.AddrPort]mesh.Host
	endpoints map[mesh.ServiceName][]mesh.Endpoint
}

// Endpoints returns the targets of a service that may get work, except for
// those in zones that are out.
func (v *View) Endpoints(service mesh.ServiceName, zones map[mesh.ZoneName]mesh.Zone) (endpoints []mesh.Endpoint) {
	for _, e := range v.endpoints[service] {
		if !zones[e.Zone].Out {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// State is the owner's record of all hosts.
type State struct {
	self  netip.AddrPort
	hosts map[netip.AddrPort]mesh.Host
}

// New returns the roster of a host that starts.
func New(self mesh.Host) (s *State) {
	return &State{
		self:  self.Addr,
		hosts: map[netip.AddrPort]mesh.Host{self.Addr: self},
	}
}

// Announced says that a target of this host announced itself.
type Announced struct{ Target mesh.Target }

// EventName implements mesh.Event.
func (Announced) EventName() string { return "announced" }

// Merged brings rows of other hosts.
type Merged struct{ Hosts []mesh.Host }

// EventName implements mesh.Event.
func (Merged) EventName() string { return "merged" }

// Leaving says that this host takes no new work.
type Leaving struct{}

// EventName implements mesh.Event.
func (Leaving) EventName() string { return "leaving" }

// Step takes in one event and reports whether the roster changed.
func (s *State) Step(now time.Time, event mesh.Event) (changed bool) {
	switch e := event.(type) {
	case Announced:
		return s.announced(e.Target)
	case Merged:
		for _, h := range e.Hosts {
			changed = s.merge(now, h) || changed
		}
		return changed
	case Leaving:
		self := s.hosts[s.self]
		self.State = mesh.HostDraining
		s.setSelf(self)
		return true
	}
	return false
}

func (s *State) setSelf(self mesh.Host) {
	self.Revision++
	s.hosts[s.self] = self
}

func (s *State) announced(t mesh.Target) (changed bool) {
	self := s.hosts[s.self]
	i := slices.IndexFunc(self.Targets, func(old mesh.Target) bool { return old.Addr == t.Addr })
	switch {
	case i < 0:
		self.Targets = append(slices.Clone(self.Targets), t)
	case self.Targets[i] == t || self.Targets[i].Incarnation > t.Incarnation:
		return false
	default:
		self.Targets = slices.Clone(self.Targets)
		self.Targets[i] = t
	}
	s.setSelf(self)
	return true
}

func (s *State) merge(now time.Time, h mesh.Host) (changed bool) {
	if h.Addr == s.self {
		return s.refute(now, h)
	}
	old, found := s.hosts[h.Addr]
	if found && !newer(h, old) {
		return false
	}
	s.hosts[h.Addr] = h
	return true
}

// refute takes a higher incarnation when others hold this host for suspect or
// know a later life of it than this one.
func (s *State) refute(now time.Time, seen mesh.Host) (changed bool) {
	self := s.hosts[s.self]
	if !newer(seen, self) {
		return false
	}
	self.Incarnation = max(seen.Incarnation+1, mesh.NewIncarnation(now))
	s.setSelf(self)
	return true
}

// newer orders rows of one host by incarnation, then by revision, then by
// state.
func newer(a, b mesh.Host) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Revision != b.Revision:
		return a.Revision > b.Revision
	default:
		return a.State > b.State
	}
}

// Self returns this host's row.
func (s *State) Self() (self mesh.Host) { return s.hosts[s.self] }

// View returns the roster as it stands.
func (s *State) View() (v *View) {
	v = &View{
		Hosts:     make(map[netip.AddrPort]mesh.Host, len(s.hosts)),
		endpoints: make(map[mesh.ServiceName][]mesh.Endpoint),
	}
	for addr, h := range s.hosts {
		v.Hosts[addr] = h
		if h.State != mesh.HostAlive {
			continue
		}
		for _, t := range h.Targets {
			if !t.Draining {
				v.endpoints[t.Service] = append(v.endpoints[t.Service], mesh.Endpoint{Host: addr, Zone: h.Zone, Target: t})
			}
		}
	}
	return v
}
