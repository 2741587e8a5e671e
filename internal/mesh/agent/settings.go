// Package agent is the node of a fleet whose rules, targets and headers are
// those of a platform: it joins the duties by rings and serves the listeners.
// What the platform calls things is known only to the implementations of
// mesh.Source, mesh.Registry and mesh.Dialect.
package agent

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Settings are what a node has to know before it reads any rules.
type Settings struct {
	Zone mesh.ZoneName

	// Service is the service of the target on this host.
	Service mesh.ServiceName

	// Target is where the target on this host listens.
	Target netip.AddrPort

	// Callers takes requests of callers and of the target on this host.
	Callers netip.AddrPort

	// PeerAddr takes requests (TCP) and beats (UDP) of other nodes. It names the
	// host in the fleet, and its port is the same on all hosts.
	PeerAddr netip.AddrPort

	// PeerBind is where the listener for other nodes binds; it differs from Peers
	// when other hosts reach this one through an address translation.
	PeerBind netip.AddrPort

	// Ready answers whether callers may send, Reports takes the reports of
	// the target and Metrics shows what is measured.
	Ready, Reports, Metrics netip.AddrPort

	// ShutdownTimeout is how long the node has from the signal to stop until it
	// must have ended.
	ShutdownTimeout time.Duration

	// ColdRateFactor is the part of the announced cold rate at which a cold target
	// is used, at least 1.
	ColdRateFactor float64

	// RetryRatio and RetrySlack bound the repeats to each service over all
	// hosts: at most the ratio of its requests and the slack in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
