package roster

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// registerInterval is the interval at which a host refreshes its platform row;
	// 7,500 hosts make 12.5 writes per second.
	registerInterval = 10 * time.Minute

	// minBackoff and maxBackoff bound the exponential backoff of discovery and
	// registration.
	minBackoff = time.Second
	maxBackoff = time.Minute

	// joinFanout is the number of discovered hosts to compare tables with at once.
	joinFanout = 3
)

// join is the state of discovery and of the registration on the platform.
type join struct {
	discoverAt time.Time
	registerAt time.Time

	// discoverAttempts counts discoveries until one succeeds while peers are known.
	// registerFailures counts consecutive failed registrations.
	discoverAttempts int
	registerFailures int

	// discovered is true once the platform's list of hosts has been read.
	discovered bool
}

// backoff returns an exponential backoff with jitter.
func backoff(random *rand.Rand, attempts int) (wait time.Duration) {
	bound := min(maxBackoff, minBackoff<<min(attempts, 10))
	return bound/2 + time.Duration(random.Int64N(int64(bound)/2))
}

// discover looks for other hosts while no peer is known. It also retries until the platform's
// list has been read once, so that groups of hosts that know only each other still find
// the rest of the fleet.
func (s *State) discover(now time.Time) {
	if now.Before(s.join.discoverAt) || s.join.discovered && s.current().PeerCount() > 0 {
		return
	}
	s.join.discoverAt = now.Add(backoff(s.random, s.join.discoverAttempts))
	s.join.discoverAttempts++
	s.emit(Discover{})
	if len(s.seeds) > 0 {
		s.emit(Compare{To: s.seeds[s.random.IntN(len(s.seeds))]})
	}
}

// discovered compares tables with some of the hosts that are registered on the platform.
func (s *State) discovered(_ time.Time, e Discovered) {
	if !e.Success {
		return
	}
	s.join.discovered = true
	if s.current().PeerCount() > 0 {
		s.join.discoverAttempts = 0
	}
	contacted := 0
	for _, i := range s.random.Perm(len(e.Peers)) {
		if e.Peers[i] != s.self && contacted < joinFanout {
			s.emit(Compare{To: e.Peers[i]})
			contacted++
		}
	}
}

// register writes the platform row when it is due.
func (s *State) register(now time.Time) {
	if now.Before(s.join.registerAt) || s.Self().State != mesh.HostAlive {
		return
	}
	// Retry if no result arrives.
	s.join.registerAt = now.Add(maxBackoff)
	s.emit(Register{Host: s.Self()})
}

func (s *State) registered(now time.Time, success bool) {
	if !success {
		s.join.registerAt = now.Add(backoff(s.random, s.join.registerFailures))
		s.join.registerFailures++
		return
	}
	s.join.registerFailures = 0
	jitter := time.Duration(s.random.Int64N(int64(registerInterval) / 5))
	s.join.registerAt = now.Add(registerInterval - jitter)
}
