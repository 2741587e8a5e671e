// Package beat encodes what the nodes of a fleet tell each other in datagrams.
package beat

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
)

// MaxBytes bounds a datagram. A larger one is not read.
const MaxBytes = 32 << 10

// maxHosts bounds the number of hosts that a beat may claim, which is more than
// ten times the fleet that the design is made for.
const maxHosts = 100_000

// maxTargets bounds the targets that one host may have.
const maxTargets = 64

// Beat is everything that a host tells the others about itself. Each beat is
// complete, so the next one makes good for one that was lost.
type Beat struct {
	Host  mesh.Host
	Usage quota.Report

	// KnownHosts is how many hosts the sender has met or found listed, itself
	// included.
	KnownHosts int

	// AsOf and Rules are the state and version of the orders that the host
	// follows, so that others notice newer ones.
	AsOf  uint64
	RulesVersion uint64

	// ZonesOutDigest is a digest of the zones that these orders take out.
	ZonesOutDigest uint64

	// Relay is true when the receiver passes the beat on to the hosts of its
	// own zone.
	Relay bool
}

// The first byte of a datagram says whether its receiver passes it on.
const (
	markFinal  = 0
	markPassOn = 1
)

// Relayed returns the datagram with which a receiver passes a beat on.
func Relayed(data []byte) (passed []byte) {
	passed = bytes.Clone(data)
	passed[0] = markFinal
	return passed
}

// message is a beat on the wire, without names to save bytes between zones.
// Times are remaining amounts, since the clocks of hosts differ.
type message struct {
	_ struct{} `cbor:",toarray"`

	Addr        string
	Zone        string
	Incarnation uint64
	Revision    uint64
	State       uint8
	Targets     []target
	Usage       map[string][]int64
	AsOf        uint64
	Rules       uint64
	OutDigest   uint64
	Known       int
}

type target struct {
	_ struct{} `cbor:",toarray"`

	Service     string
	Addr        string
	Name        string
	Slots       int
	Incarnation uint64
	Draining    bool

	// ColdLeft is in milliseconds.
	ColdLeft int64
}

// Encode returns the datagram of a beat.
func Encode(now time.Time, b *Beat) (data []byte, err error) {
	m := message{
		Addr: b.Host.Addr.String(), Zone: string(b.Host.Zone), Incarnation: uint64(b.Host.Incarnation),
		Revision: b.Host.Revision, State: uint8(b.Host.State), AsOf: b.AsOf, Rules: b.RulesVersion, OutDigest: b.ZonesOutDigest, Known: b.KnownHosts,
		Usage: make(map[string][]int64, len(b.Usage.Usage)),
	}
	for _, t := range b.Host.Targets {
		m.Targets = append(m.Targets, target{
			Service: string(t.Service), Addr: t.Addr.String(), Name: t.Name, Slots: t.Slots,
			Incarnation: uint64(t.Incarnation), Draining: t.Draining, ColdLeft: max(0, t.ColdUntil.Sub(now).Milliseconds()),
		})
	}
	for name, u := range b.Usage.Usage {
		m.Usage[string(name)] = []int64{int64(u.Offered), int64(u.Admitted)}
	}
	data, err = cbor.Marshal(m)
	if b.Relay {
		return append([]byte{markPassOn}, data...), err
	}
	return append([]byte{markFinal}, data...), err
}

// Decode returns the beat in a datagram. Whatever is wrong with it, nothing of
// it is used.
func Decode(now time.Time, data []byte) (b *Beat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("beat of %d bytes: %w", len(data), err)
		}
	}()
	if len(data) == 0 || data[0] > markPassOn {
		return nil, errors.New("the first byte is no mark")
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
		return nil, fmt.Errorf("%d hosts are no fleet; at most %d are known", m.Known, maxHosts)
	}
	if m.Zone == "" || m.State > uint8(mesh.HostLeft) || len(m.Targets) > maxTargets {
		return nil, fmt.Errorf("zone %q, state %d and %d targets are not a host", m.Zone, m.State, len(m.Targets))
	}
	b = &Beat{
		Host: mesh.Host{
			Addr: addr, Zone: mesh.ZoneName(m.Zone), Incarnation: mesh.Incarnation(m.Incarnation),
			Revision: m.Revision, State: mesh.HostState(m.State),
		},
		Usage: quota.Report{From: addr, Incarnation: mesh.Incarnation(m.Incarnation)},
		AsOf:  m.AsOf, RulesVersion: m.Rules, ZonesOutDigest: m.OutDigest, KnownHosts: m.Known,
		Relay: data[0] == markPassOn,
	}
	if b.Host.Targets, err = decodeTargets(now, m.Targets); err != nil {
		return nil, err
	}
	b.Usage.Usage, err = decodeUsage(m.Usage)
	return b, err
}

func decodeTargets(now time.Time, targets []target) (decoded []mesh.Target, err error) {
	for _, t := range targets {
		addr, err := netip.ParseAddrPort(t.Addr)
		if err != nil {
			return nil, err
		}
		if t.Service == "" || t.Slots < 1 {
			return nil, fmt.Errorf("target %q of service %q with %d slots is no target", t.Name, t.Service, t.Slots)
		}
		d := mesh.Target{
			Service: mesh.ServiceName(t.Service), Addr: addr, Name: t.Name, Slots: t.Slots,
			Incarnation: mesh.Incarnation(t.Incarnation), Draining: t.Draining,
		}
		if t.ColdLeft > 0 {
			d.ColdUntil = now.Add(time.Duration(t.ColdLeft) * time.Millisecond)
		}
		decoded = append(decoded, d)
	}
	return decoded, nil
}

func decodeUsage(usage map[string][]int64) (decoded map[mesh.OrganisationName]quota.Usage, err error) {
	decoded = make(map[mesh.OrganisationName]quota.Usage, len(usage))
	for name, u := range usage {
		if len(u) != 2 || u[0] < u[1] || u[1] < 0 {
			return nil, fmt.Errorf("usage %v of organisation %q is not a number offered and one admitted", u, name)
		}
		decoded[mesh.OrganisationName(name)] = quota.Usage{Offered: uint64(u[0]), Admitted: uint64(u[1])}
	}
	return decoded, nil
}
