package agent

import (
	"context"
	"sync"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// deliveries tracks the requests that the target on this host is running, by id, so that its
// nested calls can be matched to them. Handlers share it under a mutex instead of sending
// events to a duty, because each request and call uses it once and a queue would cost two
// wake-ups each time.
type deliveries struct {
	mu      sync.Mutex
	running map[string]*mesh.Call

	// none is closed once no request is running; nil until the shutdown waits for that.
	none chan struct{}
}

func newDeliveries() (d *deliveries) { return &deliveries{running: make(map[string]*mesh.Call)} }

// begin records that a call is sent to the target.
func (d *deliveries) begin(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[call.CallerRequestID] = call
}

// end records that the target has finished a call. A retry of the same request may have
// replaced the entry in the meantime.
func (d *deliveries) end(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[call.CallerRequestID] == call {
		delete(d.running, call.CallerRequestID)
	}
	if len(d.running) == 0 && d.none != nil {
		close(d.none)
		d.none = nil
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
	call, found = d.running[id]
	return call, found
}
