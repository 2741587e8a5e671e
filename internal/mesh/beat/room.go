package beat

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

type room struct {
	_ struct{} `cbor:",toarray"`

	Host    string
	Target  string
	Limit   int
	Running int
	Queued  int

	// Service and Own are in microseconds.
	Service int64
	Own     int64
}

// EncodeRoom returns the datagram for a room.
func EncodeRoom(r *mesh.Room) (data []byte, err error) {
	data, err = cbor.Marshal(room{
		Host: r.Host.String(), Target: r.Target, Limit: r.Limit, Running: r.Running, Queued: r.Queued, Service: r.Service.Microseconds(), Own: r.Own.Microseconds(),
	})
	return append([]byte{flagRoom}, data...), err
}

// IsRoom reports whether a datagram holds a room.
func IsRoom(data []byte) bool { return len(data) > 0 && data[0] == flagRoom }

// DecodeRoom returns the room in a datagram that arrived at the given time.
func DecodeRoom(now time.Time, data []byte) (r *mesh.Room, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("room of %d bytes: %w", len(data), err)
		}
	}()
	var m room
	if err := decodeSmall(data, flagRoom, &m); err != nil {
		return nil, err
	}
	host, err := netip.ParseAddrPort(m.Host)
	if err != nil {
		return nil, err
	}
	if m.Target == "" {
		return nil, errors.New("the name of the target is missing")
	}
	if m.Service < 0 || m.Service > time.Hour.Microseconds() || m.Own < 0 || m.Own > m.Service {
		return nil, fmt.Errorf("service time of %d µs, %d without nested calls", m.Service, m.Own)
	}
	r = &mesh.Room{
		Host: host, Target: m.Target, Limit: m.Limit, Running: m.Running, Queued: m.Queued,
		Service: time.Duration(m.Service) * time.Microsecond, Own: time.Duration(m.Own) * time.Microsecond, At: now,
	}
	return r, r.Check()
}
