package ring

import (
	"expvar"
	"sync"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Latest is a bounded queue that keeps only the newest event of each key. When it is
// full, the oldest entry is evicted.
type Latest struct {
	capacity int
	replaced *expvar.Int
	ready    chan struct{}

	mu sync.Mutex

	// order holds the keys of events, oldest first, without duplicates.
	order  []string
	events map[string]mesh.Event
}

// NewLatest returns an empty queue and publishes its depth and its number of replaced
// and evicted events in vars under name.
func NewLatest(vars *expvar.Map, name string, capacity int) (l *Latest) {
	l = &Latest{
		capacity: capacity,
		replaced: new(expvar.Int),
		ready:    make(chan struct{}, 1),
		events:   make(map[string]mesh.Event),
	}
	vars.Set(name+"-depth", expvar.Func(func() any { return l.Len() }))
	vars.Set(name+"-replaced", l.replaced)
	return l
}

// Len returns the number of queued events.
func (l *Latest) Len() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.order)
}

// Put adds the event, or replaces the queued event of the same key, which keeps its
// position.
func (l *Latest) Put(key string, event mesh.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.events[key]; found {
		l.replaced.Add(1)
	} else {
		l.evictOldestIfFull()
		l.order = append(l.order, key)
	}
	l.events[key] = event
	l.signal()
}

func (l *Latest) evictOldestIfFull() {
	if len(l.order) < l.capacity {
		return
	}
	delete(l.events, l.order[0])
	l.order = l.order[1:]
	l.replaced.Add(1)
}

func (l *Latest) signal() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that signals queued events. After a signal, the consumer
// calls Take until it reports false.
func (l *Latest) Ready() <-chan struct{} { return l.ready }

// Take removes and returns the oldest event.
func (l *Latest) Take() (event mesh.Event, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.order) == 0 {
		return nil, false
	}
	key := l.order[0]
	l.order = l.order[1:]
	event = l.events[key]
	delete(l.events, key)
	return event, true
}
