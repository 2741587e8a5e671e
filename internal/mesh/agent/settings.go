// Package agent implements a node for fleets whose configuration, targets and header format
// belong to a platform. It connects the duties by rings and serves the listeners. Names of the
// platform appear only in the implementations of mesh.ConfigSource, mesh.HostRegistry and
// mesh.Dialect.
package agent

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Settings are the settings that a node needs before it has loaded any rules.
type Settings struct {
	Zone mesh.ZoneName

	// Service is the service of the target on this host.
	Service mesh.ServiceName

	// Target is the address at which the target on this host listens.
	Target netip.AddrPort

	// Callers is the listen address for callers and for nested calls of the target on this
	// host.
	Callers netip.AddrPort

	// PeerAddr is the address at which other nodes send requests (TCP) and heartbeats (UDP). It
	// identifies the host in the fleet, and its port is the same on all hosts.
	PeerAddr netip.AddrPort

	// PeerBind is the listen address for other nodes. It differs from PeerAddr when other
	// hosts reach this one through network address translation.
	PeerBind netip.AddrPort

	// Ready, Reports and Metrics are the listen addresses of the readiness check, of the
	// reports of the target, and of the metrics.
	Ready, Reports, Metrics netip.AddrPort

	// ShutdownTimeout is the time from the stop signal until the process must have exited.
	ShutdownTimeout time.Duration

	// ColdRateFactor is the factor, at least 1, by which the announced cold rate of a target
	// is multiplied to get the rate at which it is used.
	ColdRateFactor float64

	// RetryRatio and RetrySlack limit the retries to each service across all hosts: in each
	// RetryWindow, at most RetryRatio times the number of its requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// LearnSpeed is true when the node learns how much its target takes well, and shares it with
	// the other hosts, which choose targets by it. Otherwise the announced slots decide.
	LearnSpeed bool

	// ExposureShare and ExposureSlack limit the requests that a bad version of a service gets
	// over all hosts during its roll-out: at most ExposureShare times the requests of the
	// service, plus ExposureSlack.
	ExposureShare float64
	ExposureSlack float64

	// RollbackTime is the time after its fiftieth bad answer from which a bad version gets no
	// requests. It is zero when the node carries out no roll-outs.
	RollbackTime time.Duration

	// Memory is the memory of the machine in bytes, and Descriptors the number of descriptors that a
	// process may open. Zero means those of the smallest hosts.
	Memory      int64
	Descriptors int
	Connections ConnectionSettings
}

// ConnectionSettings bound the connections that remote ends open. Zero means the default of each.
type ConnectionSettings struct {
	// Callers is the number of connections of callers, and PerAddress that of one address at a
	// listener. Their default is a share of the descriptors.
	Callers, PerAddress int

	// HeadLines and EmptyLines are the numbers of lines of a head and of empty lines before it.
	HeadLines, EmptyLines int

	// BodyRate is the rate in bytes a second below which a body is given up.
	BodyRate int
}
