// Package beat encodes the UDP datagrams between nodes: heartbeats, in which each node sends its
// state to the others, and the asks and verdicts on admissions under contracts.
package beat

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
)

// MaxBytes is the maximum size of a datagram. Larger ones are ignored.
const MaxBytes = 32 << 10

// maxHosts is the maximum number of hosts that a heartbeat may report, more than ten times the
// fleet size that the design supports.
const maxHosts = 100_000

// maxColdTime is the maximum remaining time of a cold start, which takes seconds.
const maxColdTime = 24 * time.Hour

// maxSlotRequests is the maximum number of requests that a fleet admits in a slot of a window, far above
// the load that the design supports.
const maxSlotRequests = 1 << 32

// maxTargets is the maximum number of targets of one host.
const maxTargets = 64

// Beat is the state of a host as sent to the other hosts. Each heartbeat is complete, so the next
// one replaces a lost one.
type Beat struct {
	Host  mesh.Host
	Usage quota.Report

	// KnownHosts is the number of hosts that the sender has received heartbeats from or found in
	// the registry, including itself.
	KnownHosts int

	// AsOf and RulesVersion identify the configuration in force at the host, so that other
	// hosts notice newer configuration.
	AsOf         mesh.StoreVersion
	RulesVersion uint64

	// ConfigDigest is a digest of the rules in that configuration, of the zones that are out of
	// service and of the orders for roll-outs.
	ConfigDigest uint64

	// Carries is true while the host carries settings that the store lacks.
	Carries bool

	// Relay is true when the receiver relays the heartbeat to the hosts of its own zone.
	Relay bool
}

// The first byte of a datagram says what it holds: a heartbeat, one that the receiver relays, an
// ask, a verdict, a report on roll-outs, one on the room at targets or a fault of a new version.
// Hosts of an earlier build ignore the datagrams that they do not know.
const (
	flagFinal = iota
	flagRelay
	flagAsk
	flagVerdict
	flagRollout
	flagRoom
	flagFault
)

// Relayed returns the datagram in which a receiver relays a heartbeat. It is not relayed again.
func Relayed(data []byte) (relayed []byte) {
	relayed = bytes.Clone(data)
	relayed[0] = flagFinal
	return relayed
}

// message is the wire format of a heartbeat. It is encoded as an array without field names, to save
// traffic between zones. Points in time are sent as remaining durations, since the clocks of
// hosts differ.
type message struct {
	_ struct{} `cbor:",toarray"`

	Addr        string
	Zone        string
	Incarnation uint64
	Revision    uint64
	State       uint8
	Targets     []target

	// Usage holds pairs of offered and admitted requests as unsigned varints: first all, then those of
	// the newest slots.
	Usage map[string][]byte

	// Window holds the admitted requests of each slot of a window, newest first, as unsigned varints; nil
	// in most heartbeats.
	Window map[string][]byte

	Era     uint64
	AsOf    uint64
	Rules   uint64
	Digest  uint64
	Carries bool
	Known   int
}

type target struct {
	_ struct{} `cbor:",toarray"`

	Service     string
	Addr        string
	Name        string
	Slots       int
	Incarnation uint64
	Draining    bool

	// ColdRemaining is the remaining time of the cold start in milliseconds.
	ColdRemaining int64
}

// Encode returns the datagram for a heartbeat.
func Encode(now time.Time, b *Beat) (data []byte, err error) {
	m := message{
		Addr: b.Host.Addr.String(), Zone: string(b.Host.Zone), Incarnation: uint64(b.Host.Incarnation),
		Revision: b.Host.Revision, State: uint8(b.Host.State), Era: b.AsOf.Era, AsOf: b.AsOf.Number, Rules: b.RulesVersion,
		Digest: b.ConfigDigest, Carries: b.Carries, Known: b.KnownHosts,
		Usage: make(map[string][]byte, len(b.Usage.Usage)),
	}
	for _, t := range b.Host.Targets {
		m.Targets = append(m.Targets, target{
			Service: string(t.Service), Addr: t.Addr.String(), Name: t.Name, Slots: t.Slots,
			Incarnation: uint64(t.Incarnation), Draining: t.Draining, ColdRemaining: max(0, t.ColdUntil.Sub(now).Milliseconds()),
		})
	}
	for name, u := range b.Usage.Usage {
		m.Usage[string(name)] = encodeUsage(u)
	}
	if b.Usage.Window != nil {
		m.Window = make(map[string][]byte, len(b.Usage.Window))
		for name, slots := range b.Usage.Window {
			m.Window[string(name)] = encodeSlots(slots)
		}
	}
	data, err = cbor.Marshal(m)
	if b.Relay {
		return append([]byte{flagRelay}, data...), err
	}
	return append([]byte{flagFinal}, data...), err
}

// Decode returns the heartbeat in a datagram. If any part is invalid, it returns an error and the
// whole datagram is ignored.
func Decode(now time.Time, data []byte) (b *Beat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("heartbeat of %d bytes: %w", len(data), err)
		}
	}()
	if len(data) == 0 || data[0] > flagRelay {
		return nil, errors.New("invalid first byte")
	}
	var m message
	if err := cbor.Unmarshal(data[1:], &m); err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(m.Addr)
	if err != nil {
		return nil, err
	}
	if m.Known < 0 || m.Known > maxHosts {
		return nil, fmt.Errorf("reported number of hosts %d is outside 0 to %d", m.Known, maxHosts)
	}
	if m.Zone == "" || m.State > uint8(mesh.HostLeft) || len(m.Targets) > maxTargets {
		return nil, fmt.Errorf("invalid host: zone %q, state %d, %d targets", m.Zone, m.State, len(m.Targets))
	}
	b = &Beat{
		Host: mesh.Host{
			Addr: addr, Zone: mesh.ZoneName(m.Zone), Incarnation: mesh.Incarnation(m.Incarnation),
			Revision: m.Revision, State: mesh.HostState(m.State),
		},
		Usage: quota.Report{From: addr, Incarnation: mesh.Incarnation(m.Incarnation)},
		AsOf:  mesh.StoreVersion{Era: m.Era, Number: m.AsOf}, RulesVersion: m.Rules, ConfigDigest: m.Digest, Carries: m.Carries, KnownHosts: m.Known,
		Relay: data[0] == flagRelay,
	}
	if b.Host.Targets, err = decodeTargets(now, m.Targets); err != nil {
		return nil, err
	}
	if b.Usage.Usage, err = decodeUsage(m.Usage); err != nil {
		return nil, err
	}
	b.Usage.Window, err = decodeWindow(m.Window)
	return b, err
}

func decodeTargets(now time.Time, targets []target) (decoded []mesh.Target, err error) {
	for _, t := range targets {
		addr, err := netip.ParseAddrPort(t.Addr)
		if err != nil {
			return nil, err
		}
		if t.Service == "" || t.Slots < 1 || t.ColdRemaining > maxColdTime.Milliseconds() {
			return nil, fmt.Errorf("invalid target %q: service %q, %d slots, cold for %d ms", t.Name, t.Service, t.Slots, t.ColdRemaining)
		}
		d := mesh.Target{
			Service: mesh.ServiceName(t.Service), Addr: addr, Name: t.Name, Slots: t.Slots,
			Incarnation: mesh.Incarnation(t.Incarnation), Draining: t.Draining,
		}
		if t.ColdRemaining > 0 {
			d.ColdUntil = now.Add(time.Duration(t.ColdRemaining) * time.Millisecond)
		}
		decoded = append(decoded, d)
	}
	return decoded, nil
}

func encodeUsage(u quota.Usage) (pairs []byte) {
	pairs = binary.AppendUvarint(nil, u.Offered)
	pairs = binary.AppendUvarint(pairs, u.Admitted)
	for _, s := range u.Recent {
		pairs = binary.AppendUvarint(pairs, s.Offered)
		pairs = binary.AppendUvarint(pairs, s.Admitted)
	}
	return pairs
}

func encodeSlots(slots []uint64) (data []byte) {
	for _, n := range slots {
		data = binary.AppendUvarint(data, n)
	}
	return data
}

func decodeWindow(window map[string][]byte) (decoded map[mesh.OrganisationName][]uint64, err error) {
	if window == nil {
		return nil, nil
	}
	decoded = make(map[mesh.OrganisationName][]uint64, len(window))
	for name, data := range window {
		var slots []uint64
		for len(data) > 0 {
			requests, n := binary.Uvarint(data)
			if n <= 0 || requests > maxSlotRequests {
				return nil, fmt.Errorf("window of organisation %q: the number of requests is invalid or above %d", name, maxSlotRequests)
			}
			slots, data = append(slots, requests), data[n:]
		}
		decoded[mesh.OrganisationName(name)] = slots
	}
	return decoded, nil
}

func decodeUsage(usage map[string][]byte) (decoded map[mesh.OrganisationName]quota.Usage, err error) {
	decoded = make(map[mesh.OrganisationName]quota.Usage, len(usage))
	for name, pairs := range usage {
		u, err := decodePairs(pairs)
		if err != nil {
			return nil, fmt.Errorf("usage of organisation %q: %w", name, err)
		}
		decoded[mesh.OrganisationName(name)] = u
	}
	return decoded, nil
}

func decodePairs(pairs []byte) (u quota.Usage, err error) {
	all, rest, err := decodePair(pairs)
	if err != nil {
		return u, err
	}
	// A slot takes at least two bytes.
	u = quota.Usage{Offered: all.Offered, Admitted: all.Admitted, Recent: make([]quota.Slot, 0, len(rest)/2)}
	for len(rest) > 0 {
		var s quota.Slot
		if s, rest, err = decodePair(rest); err != nil {
			return u, err
		}
		if s.Offered > all.Offered || s.Admitted > all.Admitted {
			return u, errors.New("more requests in the newest slots than in all")
		}
		all.Offered -= s.Offered
		all.Admitted -= s.Admitted
		u.Recent = append(u.Recent, s)
	}
	return u, nil
}

// decodePair decodes the first pair and returns the bytes behind it.
func decodePair(pairs []byte) (s quota.Slot, rest []byte, err error) {
	offered, n := binary.Uvarint(pairs)
	if n <= 0 {
		return s, nil, errors.New("the number of offered requests is invalid")
	}
	admitted, m := binary.Uvarint(pairs[n:])
	if m <= 0 || admitted > offered {
		return s, nil, errors.New("the number of admitted requests is invalid or above the offered ones")
	}
	return quota.Slot{Offered: offered, Admitted: admitted}, pairs[n+m:], nil
}
