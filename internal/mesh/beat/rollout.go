package beat

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// maxTallies is the maximum number of tallies of one report: more versions, routes and
	// services under a roll-out than one host sends requests to.
	maxTallies = 512

	// maxRollouts is the maximum number of roll-outs of one report.
	maxRollouts = 64

	// maxNameBytes is the maximum size of the names of services, versions, routes and targets.
	maxNameBytes = 200

	// maxReasonBytes is the maximum size of the reason for a decision.
	maxReasonBytes = 1 << 10

	// maxRunning is the maximum number of requests that a report gives for one target.
	maxRunning = 1 << 20
)

// TargetVersion is the version of a target on the host that reports it.
type TargetVersion struct {
	// Addr is the address of the target.
	Addr    netip.AddrPort
	Name    string
	Service mesh.ServiceName
	Version mesh.VersionName

	// Running is the number of requests at this target now.
	Running int
}

// RolloutReport is what a host knows about roll-outs, as sent to the other hosts. Each report is
// complete, so the next one replaces a lost one.
type RolloutReport struct {
	From        netip.AddrPort
	Incarnation mesh.Incarnation
	Targets     []TargetVersion
	Tallies     []mesh.VersionTally
	Rollouts    []mesh.Rollout
}

// rolloutMessage is the wire format of a report on roll-outs.
type rolloutMessage struct {
	_ struct{} `cbor:",toarray"`

	From        string
	Incarnation uint64
	Targets     []targetVersion
	Tallies     []versionTally
	Rollouts    []rollout
}

type targetVersion struct {
	_ struct{} `cbor:",toarray"`

	Addr    string
	Name    string
	Service string
	Version string
	Running int
}

type versionTally struct {
	_ struct{} `cbor:",toarray"`

	Service  string
	Version  string
	Route    string
	Sent     uint64
	Answers  uint64
	Failures uint64

	// Latencies are the buckets from the one numbered FirstBucket to the last one that is not
	// empty.
	FirstBucket int
	Latencies   []uint32
}

type rollout struct {
	_ struct{} `cbor:",toarray"`

	Service  string
	To       string
	Era      uint64
	Revision uint64

	// Limit and Elapsed are in nanoseconds.
	Limit   int64
	State   uint8
	Step    uint64
	Share   float64
	Elapsed int64
	Reason  string
}

// IsRollout reports whether a datagram holds a report on roll-outs.
func IsRollout(data []byte) bool { return len(data) > 0 && data[0] == flagRollout }

// EncodeRollout returns the datagram for a report on roll-outs. A report that the receivers would
// ignore, because it is too large or invalid, is an error.
func EncodeRollout(r *RolloutReport) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("report on roll-outs of %d targets, %d tallies and %d roll-outs: %w", len(r.Targets), len(r.Tallies), len(r.Rollouts), err)
		}
	}()
	m := rolloutMessage{From: r.From.String(), Incarnation: uint64(r.Incarnation)}
	for _, t := range r.Targets {
		m.Targets = append(m.Targets, targetVersion{
			Addr: t.Addr.String(), Name: t.Name, Service: string(t.Service), Version: string(t.Version), Running: t.Running,
		})
	}
	for i := range r.Tallies {
		m.Tallies = append(m.Tallies, encodeTally(&r.Tallies[i]))
	}
	for i := range r.Rollouts {
		o := &r.Rollouts[i]
		m.Rollouts = append(m.Rollouts, rollout{
			Service: string(o.Order.Service), To: string(o.Order.To), Era: o.Order.Revision.Era, Revision: o.Order.Revision.Number, Limit: int64(o.Order.Limit),
			State: uint8(o.State), Step: o.Step, Share: o.Share, Elapsed: int64(o.Elapsed),
			// A reason that was cut may end within a character, which the receiver would not decode.
			Reason: strings.ToValidUTF8(o.Reason, ""),
		})
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	data, err = cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(data)+1 > MaxBytes {
		return nil, fmt.Errorf("%d bytes; the maximum is %d", len(data)+1, MaxBytes)
	}
	return append([]byte{flagRollout}, data...), nil
}

// DecodeRollout returns the report on roll-outs in a datagram. If any part is invalid, it returns
// an error and the whole datagram is ignored.
func DecodeRollout(data []byte) (r *RolloutReport, err error) {
	defer func() {
		if err != nil {
			r, err = nil, fmt.Errorf("report on roll-outs of %d bytes: %w", len(data), err)
		}
	}()
	if !IsRollout(data) || len(data) > MaxBytes {
		return nil, errors.New("invalid size or first byte")
	}
	var m rolloutMessage
	if err := cbor.Unmarshal(data[1:], &m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	r = &RolloutReport{Incarnation: mesh.Incarnation(m.Incarnation)}
	if r.From, err = netip.ParseAddrPort(m.From); err != nil {
		return nil, err
	}
	for _, t := range m.Targets {
		addr, err := netip.ParseAddrPort(t.Addr)
		if err != nil {
			return nil, err
		}
		r.Targets = append(r.Targets, TargetVersion{
			Addr: addr, Name: t.Name, Service: mesh.ServiceName(t.Service), Version: mesh.VersionName(t.Version), Running: t.Running,
		})
	}
	for i := range m.Tallies {
		r.Tallies = append(r.Tallies, m.Tallies[i].decode())
	}
	for _, o := range m.Rollouts {
		r.Rollouts = append(r.Rollouts, mesh.Rollout{
			Order: mesh.RolloutOrder{
				Service: mesh.ServiceName(o.Service), To: mesh.VersionName(o.To), Revision: mesh.StoreVersion{Era: o.Era, Number: o.Revision}, Limit: time.Duration(o.Limit),
			},
			State: mesh.RolloutState(o.State), Step: o.Step, Share: o.Share, Elapsed: time.Duration(o.Elapsed), Reason: o.Reason,
		})
	}
	return r, nil
}

func encodeTally(t *mesh.VersionTally) (m versionTally) {
	m = versionTally{
		Service: string(t.Service), Version: string(t.Version), Route: t.Route,
		Sent: t.Sent, Answers: t.Answers, Failures: t.Failures,
	}
	last := len(t.Latencies)
	for last > 0 && t.Latencies[last-1] == 0 {
		last--
	}
	for m.FirstBucket < last && t.Latencies[m.FirstBucket] == 0 {
		m.FirstBucket++
	}
	m.Latencies = t.Latencies[m.FirstBucket:last]
	return m
}

// decode returns the tally of a message that has been checked.
func (m *versionTally) decode() (t mesh.VersionTally) {
	t = mesh.VersionTally{
		Service: mesh.ServiceName(m.Service), Version: mesh.VersionName(m.Version), Route: m.Route,
		Sent: m.Sent, Answers: m.Answers, Failures: m.Failures,
	}
	copy(t.Latencies[m.FirstBucket:], m.Latencies)
	return t
}

// check returns an error when a field is outside its range. Addresses are checked by their parser.
func (m *rolloutMessage) check() (err error) {
	if len(m.Targets) > maxTargets || len(m.Tallies) > maxTallies || len(m.Rollouts) > maxRollouts {
		return fmt.Errorf("%d targets, %d tallies and %d roll-outs; the maximum is %d, %d and %d",
			len(m.Targets), len(m.Tallies), len(m.Rollouts), maxTargets, maxTallies, maxRollouts)
	}
	for _, t := range m.Targets {
		if !validNames(t.Service, t.Version, t.Name) || t.Running < 0 || t.Running > maxRunning {
			return fmt.Errorf("invalid target %.40q: service %.40q, version %.40q, %d running requests", t.Name, t.Service, t.Version, t.Running)
		}
	}
	for i := range m.Tallies {
		if err := m.Tallies[i].check(); err != nil {
			return err
		}
	}
	for i := range m.Rollouts {
		if err := m.Rollouts[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (m *versionTally) check() (err error) {
	buckets := len(mesh.LatencyBuckets{})
	switch {
	case !validNames(m.Service, m.Version, m.Route):
		return fmt.Errorf("invalid tally: service %.40q, version %.40q, route %.40q", m.Service, m.Version, m.Route)
	case m.Failures > m.Answers:
		return fmt.Errorf("tally of service %q: %d failures in %d answers", m.Service, m.Failures, m.Answers)
	case m.FirstBucket < 0 || m.FirstBucket > buckets || len(m.Latencies) > buckets-m.FirstBucket:
		return fmt.Errorf("tally of service %q: %d latency buckets from %d on; the maximum is %d", m.Service, len(m.Latencies), m.FirstBucket, buckets)
	}
	return nil
}

func (m *rollout) check() (err error) {
	switch {
	case !validNames(m.Service, m.To) || m.To == "" || len(m.Reason) > maxReasonBytes:
		return fmt.Errorf("invalid roll-out: service %.40q, version %.40q, reason of %d bytes", m.Service, m.To, len(m.Reason))
	case m.State > uint8(mesh.RolloutWithdrawn) || m.Step < 1:
		return fmt.Errorf("roll-out of service %q: state %d, step %d", m.Service, m.State, m.Step)
	case math.IsNaN(m.Share) || m.Share < 0 || m.Share > 1:
		return fmt.Errorf("roll-out of service %q: share %g is outside 0 to 1", m.Service, m.Share)
	case m.Limit <= 0 || m.Elapsed < 0:
		return fmt.Errorf("roll-out of service %q: limit %v, elapsed time %v", m.Service, time.Duration(m.Limit), time.Duration(m.Elapsed))
	}
	return nil
}

// validNames reports whether the name of a service is present and no name is too long.
func validNames(service string, others ...string) bool {
	for _, name := range others {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return service != "" && len(service) <= maxNameBytes
}
