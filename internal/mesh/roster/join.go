package roster

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// recordInterval is how often a host refreshes its platform row: 7,500
	// hosts make 12.5 writes a second.
	recordInterval = 10 * time.Minute

	// firstRetry and lastRetry bound the wait before another attempt to join
	// or to write the platform row. It doubles with each failure.
	firstRetry = time.Second
	lastRetry  = time.Minute

	// joinCount is how many hosts that the platform names are asked at once.
	joinCount = 3
)

// join is how this host finds others and lets itself be found.
type join struct {
	seekAt   time.Time
	recordAt time.Time

	// seeks and records count attempts in a row that brought nothing.
	seeks   int
	records int

	// found is true once the platform has named its hosts.
	found bool
}

// backoff returns a wait that doubles with each failed attempt, with jitter.
func backoff(random *rand.Rand, attempts int) (wait time.Duration) {
	bound := min(lastRetry, firstRetry<<min(attempts, 10))
	return bound/2 + time.Duration(random.Int64N(int64(bound)/2))
}

// seek looks for other hosts while none is known, and until the platform has
// named its hosts once, so that groups of hosts that know only each other
// still find the rest.
func (s *State) seek(now time.Time) {
	if now.Before(s.join.seekAt) || s.join.found && s.current().PeerCount() > 0 {
		return
	}
	s.join.seekAt = now.Add(backoff(s.random, s.join.seeks))
	s.join.seeks++
	s.do(Discover{})
	if len(s.seeds) > 0 {
		s.do(Compare{To: s.seeds[s.random.IntN(len(s.seeds))]})
	}
}

// found asks some of the hosts that the platform names.
func (s *State) found(_ time.Time, e Discovered) {
	if !e.Success {
		return
	}
	s.join.found = true
	if s.current().PeerCount() > 0 {
		s.join.seeks = 0
	}
	asked := 0
	for _, i := range s.random.Perm(len(e.Peers)) {
		if e.Peers[i] != s.self && asked < joinCount {
			s.do(Compare{To: e.Peers[i]})
			asked++
		}
	}
}

// record writes the platform row when it is due.
func (s *State) record(now time.Time) {
	if now.Before(s.join.recordAt) || s.Self().State != mesh.HostAlive {
		return
	}
	// Another attempt follows if nothing is heard of this one.
	s.join.recordAt = now.Add(lastRetry)
	s.do(Register{Host: s.Self()})
}

func (s *State) recorded(now time.Time, answered bool) {
	if !answered {
		s.join.recordAt = now.Add(backoff(s.random, s.join.records))
		s.join.records++
		return
	}
	s.join.records = 0
	jitter := time.Duration(s.random.Int64N(int64(recordInterval) / 5))
	s.join.recordAt = now.Add(recordInterval - jitter)
}
