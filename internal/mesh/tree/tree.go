// Package tree holds the settings tree of a fleet: its levels, what each level
// inherits, and the checks that a tree must pass before it is accepted.
package tree

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Settings are the values that one level of the tree sets. A nil field
// inherits from the level above.
type Settings struct {
	// Request settings, on every level.

	// Timeout is the deadline of a request that brings none, and the longest
	// that one may bring. From 1ms to 10m.
	Timeout *time.Duration

	// Retries is how many extra attempts a request may cause from end to end.
	// From 0 to 16.
	Retries *int

	// Class is the importance of requests: critical is shed last, low first.
	Class *mesh.Class

	// MaxBody is the largest request body, in bytes. From 0 to 64 MiB.
	MaxBody *int64

	// Route settings, on fleet, zone, service and route levels.

	// Idempotent says that a request may run more than once.
	Idempotent *bool

	// Open says that a request needs no key. It then belongs to no
	// organisation.
	Open *bool

	// ClaimStore says where claims of non-idempotent requests are kept.
	ClaimStore *mesh.ClaimStore

	// Target settings, on fleet, zone and service levels.

	// ColdLimit is how many requests a target in a cold start runs at a
	// time. From 1 to 100,000.
	ColdLimit *int

	// TargetDelay is the wait in the queue of a target above which the queue
	// serves the newest request first. Above 0, at most 1m.
	TargetDelay *time.Duration

	// QueueLength is how many requests wait at one target. From 1 to 100,000.
	QueueLength *int

	// Contract settings, on fleet and organisation levels.

	// Rate is in requests a second over all hosts. Above 0, at most 1e9.
	Rate *float64

	// Burst is in requests over all hosts. From 1 to 1e9.
	Burst *float64

	// Weight is an organisation's part of an overloaded target, relative to
	// the others. From 1 to 1,000.
	Weight *int

	// Fleet settings, on the fleet level only.

	// RetryRatio bounds retries over a link, as a part of its recent calls.
	// From 0 to 1.
	RetryRatio *float64

	// KeyGrace is how long keys are accepted without a confirmation that no
	// newer version exists at the platform. From 1s to 24h.
	KeyGrace *time.Duration

	// ShareLease is how long a host may use its share of a contract without
	// contact to the platform. From 1s to 168h.
	ShareLease *time.Duration

	// ClaimKeep is how long the claim of a non-idempotent request is kept.
	// From 1s to 720h, and at least the longest timeout.
	ClaimKeep *time.Duration
}

// Tree is a whole settings tree. The levels inherit in the order fleet, zone,
// service, route, organisation.
type Tree struct {
	Fleet         Settings
	Zones         map[mesh.ZoneName]Zone
	Services      map[mesh.ServiceName]Service
	Organisations map[mesh.OrganisationName]Settings
}

// Zone is the level of an availability zone.
type Zone struct {
	// Region names the region of the zone; it is required.
	Region string

	// Out takes the zone out of service.
	Out bool

	Settings Settings
}

// Service is the level of a service.
type Service struct {
	Settings Settings

	// Routes holds at least one route.
	Routes map[string]Route
}

// Route is the level of a route.
type Route struct {
	// Path is a prefix that starts with a slash and covers whole segments.
	Path string

	// Methods lists HTTP methods in capitals; empty means all.
	Methods []string

	Settings Settings
}

// Defaults are the values of a fleet that sets nothing.
func Defaults() (s Settings) {
	return Settings{
		Timeout:     new(2 * time.Second),
		Retries:     new(2),
		Class:       new(mesh.ClassNormal),
		MaxBody:     new(int64(1 << 20)),
		Idempotent:  new(false),
		Open:        new(false),
		ClaimStore:  new(mesh.ClaimStorePlatform),
		ColdLimit:   new(2),
		TargetDelay: new(20 * time.Millisecond),
		QueueLength: new(256),
		Rate:        new(100.0),
		Burst:       new(100.0),
		Weight:      new(1),
		RetryRatio:  new(0.1),
		KeyGrace:    new(15 * time.Minute),
		ShareLease:  new(2 * time.Hour),
		ClaimKeep:   new(24 * time.Hour),
	}
}
