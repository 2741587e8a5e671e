package mesh

import (
	"fmt"
	"net/netip"
	"time"
)

// Room is what the node beside a target knows about how much the target takes, as sent to the
// other hosts.
type Room struct {
	// Host and Target are the address of the node and the name of the target.
	Host   netip.AddrPort
	Target string

	// Limit is the number of requests that the target takes at once without slowing down; at
	// least 1.
	Limit int

	// Running and Queued are the numbers of requests at the target and in front of it.
	Running, Queued int

	// Service is the mean time for which the target holds a request now, raised by the share of
	// requests that fail; zero while it is not known.
	Service time.Duration

	// Own is the part of Service without the time that the target waits for its nested calls.
	Own time.Duration

	// At is when the values were measured, on the clock of the host that reads them.
	At time.Time
}

// Bounds of the values of a room that another host sends.
const (
	maxRoomRequests = 1 << 20
	maxRoomService  = time.Hour
)

// Check returns an error if a value is out of bounds.
func (r *Room) Check() (err error) {
	if r.Limit < 1 || r.Limit > maxRoomRequests || r.Running < 0 || r.Running > maxRoomRequests ||
		r.Queued < 0 || r.Queued > maxRoomRequests || r.Service < 0 || r.Service > maxRoomService || r.Own < 0 || r.Own > r.Service {
		return fmt.Errorf("room of target %q is out of bounds: limit %d, running %d, queued %d, service %v, own %v", r.Target, r.Limit, r.Running, r.Queued, r.Service, r.Own)
	}
	return nil
}
