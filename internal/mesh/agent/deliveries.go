package agent

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// deliveries tracks the requests that the target on this host is running, by id, so that its
// nested calls can be matched to them. Handlers share it under a mutex instead of sending
// events to a duty, because each request and call uses it once and a queue would cost two
// wake-ups each time.
type deliveries struct {
	mu      sync.Mutex
	running map[string]*delivery

	// nested holds the delivery of the parent request of each nested call in progress.
	nested map[*mesh.Call]*delivery

	// none is closed once no request is running; nil until the shutdown waits for that.
	none chan struct{}
}

// delivery is a request that the target runs.
type delivery struct {
	call *mesh.Call

	// nestedCalls is the number of its nested calls in progress, the first of which began at
	// waitingSince. waited is the time of earlier ones.
	nestedCalls  int
	waitingSince time.Time
	waited       time.Duration
}

func newDeliveries() (d *deliveries) {
	return &deliveries{running: make(map[string]*delivery), nested: make(map[*mesh.Call]*delivery)}
}

// begin records that a call is sent to the target.
func (d *deliveries) begin(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[call.CallerRequestID] = &delivery{call: call}
}

// end records that the target has finished a call, and returns for how long it waited for nested
// calls. A retry of the same request may have replaced the entry in the meantime.
func (d *deliveries) end(call *mesh.Call) (waited time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, found := d.running[call.CallerRequestID]; found && r.call == call {
		delete(d.running, call.CallerRequestID)
		waited = r.waited
		if r.nestedCalls > 0 {
			waited += time.Since(r.waitingSince)
		}
	}
	if len(d.running) == 0 && d.none != nil {
		close(d.none)
		d.none = nil
	}
	return waited
}

// beginNested records that the running request with the id parent has made a nested call.
func (d *deliveries) beginNested(call *mesh.Call, parent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.running[parent]
	if !found {
		return
	}
	d.nested[call] = r
	if r.nestedCalls == 0 {
		r.waitingSince = time.Now()
	}
	r.nestedCalls++
}

// endNested records that a call has ended; calls that are not nested are ignored.
func (d *deliveries) endNested(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.nested[call]
	if !found {
		return
	}
	delete(d.nested, call)
	if r.nestedCalls--; r.nestedCalls == 0 {
		r.waited += time.Since(r.waitingSince)
	}
}

// awaitNone blocks until no request is running or ctx is done.
func (d *deliveries) awaitNone(ctx context.Context) {
	d.mu.Lock()
	if len(d.running) == 0 {
		d.mu.Unlock()
		return
	}
	none := make(chan struct{})
	d.none = none
	d.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// find returns the running request with the id.
func (d *deliveries) find(id string) (call *mesh.Call, found bool) {
	if id == "" {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.running[id]
	if !found {
		return nil, false
	}
	return r.call, true
}
