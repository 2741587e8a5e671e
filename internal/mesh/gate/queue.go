package gate

import (
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Fair is a priority queue by class and, within a class, by rank. Within a rank,
// nested calls have priority over other requests, since they belong to work in
// progress. Organisations are served by weighted deficit round robin. Within an
// organisation the oldest request is served first (FIFO), or the newest (LIFO)
// while the oldest has waited longer than the target delay.
type Fair struct {
	length      int
	targetDelay time.Duration
	lanes       [laneCount]lane
	entries     map[mesh.Ticket]*entry
	freeList    *entry
}

// laneCount is the number of priority lanes: two for each rank of each class.
const laneCount = 2 * mesh.ClassCount * mesh.RankCount

// laneOf returns the priority lane of a call. Lower lanes are served first.
func laneOf(call *mesh.Call) (n int) {
	n = 2 * (int(classOf(call))*mesh.RankCount + int(min(call.Rank, mesh.RankCount-1)))
	if !call.Nested {
		n++
	}
	return n
}

// lane holds the organisations with queued requests of the same priority.
type lane struct {
	// queues contains no empty queue. The next organisation to be served is at index
	// turn.
	queues []*organisationQueue
	turn   int
}

// organisationQueue is a list of the queued requests of one organisation, oldest
// first.
type organisationQueue struct {
	organisation mesh.OrganisationName
	lane         int
	weight       int

	// deficit is the number of requests left in this turn, at most weight.
	deficit int

	oldest, newest *entry
	count          int
}

type entry struct {
	mesh.Waiter
	queue        *organisationQueue
	older, newer *entry
}

// NewFair returns an empty queue with the given maximum length.
func NewFair(length int, targetDelay time.Duration) (q *Fair) {
	return &Fair{length: length, targetDelay: targetDelay, entries: make(map[mesh.Ticket]*entry)}
}

// SetTargetDelay sets the queueing delay above which the newest request is served
// first.
func (q *Fair) SetTargetDelay(d time.Duration) { q.targetDelay = d }

// Len implements mesh.Queue.
func (q *Fair) Len() (n int) { return len(q.entries) }

// Push implements mesh.Queue. A full queue displaces a request of the
// lowest-priority lane: the oldest of the organisation with the most queued
// requests relative to its weight. Thus one organisation cannot crowd out the
// others.
func (q *Fair) Push(w mesh.Waiter) (displaced mesh.Waiter, full bool) {
	q.add(w)
	if len(q.entries) <= q.length {
		return mesh.Waiter{}, false
	}
	return q.displace(), true
}

func (q *Fair) add(w mesh.Waiter) {
	queue := q.lanes[laneOf(w.Call)].queueFor(w.Call)
	e := q.freeList
	if e == nil {
		e = new(entry)
	} else {
		q.freeList = e.newer
	}
	*e = entry{Waiter: w, queue: queue, older: queue.newest}
	if queue.newest != nil {
		queue.newest.newer = e
	} else {
		queue.oldest = e
	}
	queue.newest = e
	queue.count++
	q.entries[w.Ticket] = e
}

func classOf(call *mesh.Call) (class mesh.Class) {
	return min(call.Class, mesh.ClassLow)
}

// queueFor returns the queue of the call's organisation. A new queue is added at
// the end of the round.
func (l *lane) queueFor(call *mesh.Call) (queue *organisationQueue) {
	weight := max(1, call.Weight)
	for _, o := range l.queues {
		if o.organisation == call.Owner() {
			o.weight = weight
			o.deficit = min(o.deficit, weight)
			return o
		}
	}
	queue = &organisationQueue{organisation: call.Owner(), lane: laneOf(call), weight: weight}
	l.queues = slices.Insert(l.queues, l.turn, queue)
	if len(l.queues) > 1 {
		l.turn++
	}
	return queue
}

func (q *Fair) displace() (w mesh.Waiter) {
	for i := len(q.lanes) - 1; i >= 0; i-- {
		l := &q.lanes[i]
		if len(l.queues) > 0 {
			return q.unlink(l.longestQueue().oldest)
		}
	}
	return w
}

// longestQueue returns the queue with the most requests relative to its weight.
func (l *lane) longestQueue() (queue *organisationQueue) {
	for _, o := range l.queues {
		if queue == nil || o.count*queue.weight > queue.count*o.weight {
			queue = o
		}
	}
	return queue
}

// unlink removes an entry, and its organisation's queue when that becomes empty.
func (q *Fair) unlink(e *entry) (w mesh.Waiter) {
	w = e.Waiter
	o := e.queue
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		o.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		o.newest = e.older
	}
	o.count--
	if o.count == 0 {
		q.lanes[o.lane].removeQueue(o)
	}
	delete(q.entries, w.Ticket)
	*e = entry{newer: q.freeList}
	q.freeList = e
	return w
}

func (l *lane) removeQueue(queue *organisationQueue) {
	i := slices.Index(l.queues, queue)
	l.queues = slices.Delete(l.queues, i, i+1)
	if i < l.turn {
		l.turn--
	}
	if l.turn >= len(l.queues) {
		l.turn = 0
	}
}

// Pop implements mesh.Queue.
func (q *Fair) Pop(now time.Time) (next mesh.Waiter, found bool) {
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.queues) == 0 {
			continue
		}
		queue := l.queues[l.turn]
		if queue.deficit == 0 {
			queue.deficit = queue.weight
		}
		queue.deficit--
		if queue.deficit == 0 {
			l.turn = (l.turn + 1) % len(l.queues)
		}
		return q.unlink(q.selectEntry(now, queue)), true
	}
	return mesh.Waiter{}, false
}

func (q *Fair) selectEntry(now time.Time, queue *organisationQueue) (e *entry) {
	if now.Sub(queue.oldest.Since) > q.targetDelay {
		return queue.newest
	}
	return queue.oldest
}

// Remove implements mesh.Queue.
func (q *Fair) Remove(t mesh.Ticket) (found bool) {
	e, found := q.entries[t]
	if found {
		q.unlink(e)
	}
	return found
}

// Each implements mesh.Queue. The order of visits is deterministic, by lane.
func (q *Fair) Each(visit func(w mesh.Waiter) (more bool)) {
	for i := range q.lanes {
		for _, o := range q.lanes[i].queues {
			for e := o.oldest; e != nil; e = e.newer {
				if !visit(e.Waiter) {
					return
				}
			}
		}
	}
}

// Resize implements mesh.Queue.
func (q *Fair) Resize(length int) (displaced []mesh.Waiter) {
	q.length = length
	for len(q.entries) > length {
		displaced = append(displaced, q.displace())
	}
	return displaced
}
