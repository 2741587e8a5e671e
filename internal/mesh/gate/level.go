package gate

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// levelTracker determines the admission level. A class counts as refused only
// while none of its requests starts. The class at the boundary, of which some
// start and some are shed, stays accepted: if the level could only fall between
// whole classes, the target would be idle part of the time.
type levelTracker struct {
	targetDelay time.Duration

	startedAt [mesh.ClassCount]time.Time
	refusedAt [mesh.ClassCount]time.Time
}

func (l *levelTracker) recordStart(now time.Time, class mesh.Class) { l.startedAt[class] = now }

func (l *levelTracker) recordRefusal(now time.Time, class mesh.Class) { l.refusedAt[class] = now }

// current returns the least important class that is accepted. Class 0 always is.
func (l *levelTracker) current(now time.Time) (class mesh.Class) {
	recent := now.Add(-levelWindowDelays * l.targetDelay)
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
// start, so that a less important one would not start either.
func (l *levelTracker) refusedAbove(recent time.Time, class mesh.Class) bool {
	for c := range class {
		if l.refusedAt[c].After(recent) && !l.startedAt[c].After(recent) {
			return true
		}
	}
	return false
}
