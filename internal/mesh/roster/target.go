package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// targetTimeout is the time without an announcement after which a target is removed. Targets
// repeat their announcement every second, so four may be lost in a row.
const targetTimeout = 5 * time.Second

// announceTimes holds the time of the last announcement of each target of this host.
type announceTimes map[netip.AddrPort]time.Time

// announced adds or updates a target, unless a later incarnation of it is known.
func (s *State) announced(now time.Time, t mesh.Target) {
	self := s.Self()
	i := slices.IndexFunc(self.Targets, func(old mesh.Target) bool { return old.Addr == t.Addr })
	switch {
	case i < 0:
		self.Targets = append(slices.Clip(self.Targets), t)
	case self.Targets[i].Incarnation > t.Incarnation:
		return
	case self.Targets[i] == t:
		s.lastAnnounced[t.Addr] = now
		return
	default:
		self.Targets = slices.Clone(self.Targets)
		self.Targets[i] = t
	}
	s.lastAnnounced[t.Addr] = now
	s.setSelf(now, self)
}

// expireTargets removes targets whose last announcement is too old.
func (s *State) expireTargets(now time.Time) {
	self := s.Self()
	kept := slices.DeleteFunc(slices.Clone(self.Targets), func(t mesh.Target) bool {
		return now.Sub(s.lastAnnounced[t.Addr]) > targetTimeout
	})
	if len(kept) == len(self.Targets) {
		return
	}
	for _, t := range self.Targets {
		if now.Sub(s.lastAnnounced[t.Addr]) > targetTimeout {
			delete(s.lastAnnounced, t.Addr)
		}
	}
	self.Targets = kept
	s.setSelf(now, self)
}
