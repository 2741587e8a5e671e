package gate

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// levels follows which classes a gate accepts. A class counts as refused only
// while none of its requests starts: the class at the border, of which some
// start and some are shed, stays accepted, because a limit that stood between
// whole classes would leave the target idle in turns.
type levels struct {
	delay time.Duration

	startedAt [mesh.ClassCount]time.Time
	refusedAt [mesh.ClassCount]time.Time
}

func (l *levels) started(now time.Time, class mesh.Class) { l.startedAt[class] = now }

func (l *levels) refused(now time.Time, class mesh.Class) { l.refusedAt[class] = now }

// at returns the least important class that is accepted. Class 0 always is.
func (l *levels) at(now time.Time) (class mesh.Class) {
	recent := now.Add(-levelDelays * l.delay)
	for class = mesh.ClassLow; class > mesh.ClassCritical; class-- {
		starts := l.startedAt[class].After(recent)
		refuses := l.refusedAt[class].After(recent)
		if starts || !refuses && !l.refusedAbove(recent, class) {
			return class
		}
	}
	return class
}

// refusedAbove reports whether a more important class is refused without any
// start, so that a less important one has no chance either.
func (l *levels) refusedAbove(recent time.Time, class mesh.Class) bool {
	for c := range class {
		if l.refusedAt[c].After(recent) && !l.startedAt[c].After(recent) {
			return true
		}
	}
	return false
}
