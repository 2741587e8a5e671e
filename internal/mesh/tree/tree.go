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
	Timeout *time.Duration
	Retries *int
	Class   *mesh.Class
	MaxBody *int64

	// Route settings, on fleet, zone, service and route levels.
	Idempotent *bool
	Open       *bool
	Once       *mesh.OnceMode

	// Target settings, on fleet, zone and service levels.
	ColdLimit   *int
	TargetDelay *time.Duration
	QueueLength *int

	// Contract settings, on fleet and organisation levels.
	Rate   *float64
	Burst  *float64
	Weight *int

	// Fleet settings, on the fleet level only.
	RetryRatio *float64
	KeyGrace   *time.Duration
	ShareLease *time.Duration
	ClaimKeep  *time.Duration
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
	Region   string
	Out      bool
	Settings Settings
}

// Service is the level of a service.
type Service struct {
	Settings Settings
	Routes   map[string]Route
}

// Route is the level of a route.
type Route struct {
	// Path is a prefix that starts with a slash.
	Path     string
	Methods  []string
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
		Once:        new(mesh.OncePlatform),
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
