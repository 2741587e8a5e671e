package agent

import (
	"sync"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// deliveries holds the requests that the target on this host runs, by their
// ids, so that the calls it makes are tied to them. It is shared by handlers and
// not owned by a duty: each request and call looks at it once, and a ring would
// cost two wake-ups each time.
type deliveries struct {
	mu      sync.Mutex
	running map[string]*mesh.Call
}

func newDeliveries() (d *deliveries) { return &deliveries{running: make(map[string]*mesh.Call)} }

// begin notes that a call goes to the target.
func (d *deliveries) begin(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[call.CallerRequestID] = call
}

// end notes that the target is done with a call. A repeat of the same request
// may have taken its place meanwhile.
func (d *deliveries) end(call *mesh.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[call.CallerRequestID] == call {
		delete(d.running, call.CallerRequestID)
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
