package ring

import (
	"expvar"
	"sync"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Latest is a bounded ring that keeps only the newest event of each key. When
// it is full, the event that waits longest gives way.
type Latest struct {
	capacity int
	replaced *expvar.Int
	ready    chan struct{}

	mu sync.Mutex

	// order holds the keys of events, oldest first, without repeats.
	order  []string
	events map[string]mesh.Event
}

// NewLatest returns a ring and publishes its depth and replacements in vars
// under name.
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

// Len returns the number of events that wait.
func (l *Latest) Len() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.order)
}

// Put adds the event under key, in place of an older one of that key.
func (l *Latest) Put(key string, event mesh.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.events[key]; found {
		l.replaced.Add(1)
	} else {
		l.makeRoom()
		l.order = append(l.order, key)
	}
	l.events[key] = event
	l.signal()
}

func (l *Latest) makeRoom() {
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

// Ready receives a value when events wait. Its consumer then calls Take until
// that reports false.
func (l *Latest) Ready() <-chan struct{} { return l.ready }

// Take removes the oldest event.
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
