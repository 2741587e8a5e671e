package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// targetSilence is how long a target may go without announcing itself. Targets
// repeat their announcement every second, so four lost ones do no harm.
const targetSilence = 5 * time.Second

// targetTimes holds when each target of this host last announced itself.
type targetTimes map[netip.AddrPort]time.Time

// announced takes in a target, unless a later life of it has announced itself.
func (s *State) announced(now time.Time, t mesh.Target) {
	self := s.Self()
	i := slices.IndexFunc(self.Targets, func(old mesh.Target) bool { return old.Addr == t.Addr })
	switch {
	case i < 0:
		self.Targets = append(slices.Clip(self.Targets), t)
	case self.Targets[i].Incarnation > t.Incarnation:
		return
	case self.Targets[i] == t:
		s.targets[t.Addr] = now
		return
	default:
		self.Targets = slices.Clone(self.Targets)
		self.Targets[i] = t
	}
	s.targets[t.Addr] = now
	s.setSelf(now, self)
}

// expireTargets takes out targets that have stopped announcing themselves.
func (s *State) expireTargets(now time.Time) {
	self := s.Self()
	kept := slices.DeleteFunc(slices.Clone(self.Targets), func(t mesh.Target) bool {
		return now.Sub(s.targets[t.Addr]) > targetSilence
	})
	if len(kept) == len(self.Targets) {
		return
	}
	for _, t := range self.Targets {
		if now.Sub(s.targets[t.Addr]) > targetSilence {
			delete(s.targets, t.Addr)
		}
	}
	self.Targets = kept
	s.setSelf(now, self)
}
