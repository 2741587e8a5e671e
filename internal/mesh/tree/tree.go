// Package tree defines the settings tree of a fleet: its levels, the inheritance
// between them, and the validation of a tree.
package tree

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Settings are the values that one level of the tree sets. A nil field
// inherits from the level above.
type Settings struct {
	// Request settings, on every level.

	// Timeout is the default timeout of a request, and the upper bound on the
	// timeout that a caller may set. From 1ms to 10m.
	Timeout *time.Duration

	// Retries is the end-to-end retry budget of a request. From 0 to 16.
	Retries *int

	// Class is the priority class of requests: critical is shed last, low first.
	Class *mesh.Class

	// MaxBody is the maximum size of a request body in bytes. From 0 to 64 MiB.
	MaxBody *int64

	// Route settings, on fleet, zone, service and route levels.

	// Idempotent is true when a request may be executed more than once.
	Idempotent *bool

	// Open is true when requests need no API key. They then belong to no
	// organisation.
	Open *bool

	// ClaimStore selects where the claims of non-idempotent requests are stored. Its
	// name in the settings tree is once.
	ClaimStore *mesh.ClaimStore

	// Target settings, on fleet, zone and service levels.

	// ColdLimit is the concurrency limit of a target during its cold start. From 1
	// to 100,000.
	ColdLimit *int

	// TargetDelay is the queueing delay at a target above which the queue switches
	// to serving the newest request first. Above 0, at most 1m.
	TargetDelay *time.Duration

	// QueueLength is the maximum number of queued requests per target. From 1 to
	// 100,000.
	QueueLength *int

	// Contract settings, on fleet and organisation levels.

	// Rate is the fleet-wide rate limit in requests per second. Above 0, at most 1e9.
	Rate *float64

	// Burst is the fleet-wide burst size in requests. From 1 to 1e9.
	Burst *float64

	// Weight is the organisation's fair-share weight under overload. From 1 to 1,000.
	Weight *int

	// Fleet settings, on the fleet level only.

	// RetryRatio is the maximum ratio of retries to recent calls over a link. From 0
	// to 1.
	RetryRatio *float64

	// KeyGrace is how long API keys are accepted without a confirmation that the
	// platform's store has no newer version. From 1s to 24h.
	KeyGrace *time.Duration

	// ShareLease is how long a host may use its share of a contract without
	// a connection to the platform. From 1s to 168h.
	ShareLease *time.Duration

	// ClaimKeep is the retention time of the claim of a non-idempotent request. From
	// 1s to 720h, and at least the longest timeout.
	ClaimKeep *time.Duration
}

// Tree is a complete settings tree. Each level inherits from the previous one in the
// order fleet, zone, service, route, organisation.
type Tree struct {
	Fleet         Settings
	Zones         map[mesh.ZoneName]Zone
	Services      map[mesh.ServiceName]Service
	Organisations map[mesh.OrganisationName]Settings
}

// Zone is the level of an availability zone.
type Zone struct {
	// Region is the name of the zone's region; it is required.
	Region string

	// Out takes the zone out of service.
	Out bool

	Settings Settings
}

// Service is the level of a service.
type Service struct {
	Settings Settings

	// Routes holds the routes by name, at least one.
	Routes map[string]Route
}

// Route is the level of a route.
type Route struct {
	// Path is a path prefix that starts with a slash and matches whole segments.
	Path string

	// Methods lists the HTTP methods in upper case; empty means all.
	Methods []string

	Settings Settings
}

// Defaults returns the values of settings that the fleet level does not set.
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

// Rules returns the routes, services and contracts of the tree with all inheritance resolved, for
// a zone without settings of its own. Keys are not part of a tree.
func (t *Tree) Rules() (r *mesh.Rules) {
	fleet := t.Fleet.inheritFrom(Defaults())
	r = new(mesh.Rules)
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		r.Services = append(r.Services, mesh.ServiceRules{Name: name})
		settings := s.Settings.inheritFrom(fleet)
		for _, routeName := range slices.Sorted(maps.Keys(s.Routes)) {
			route := s.Routes[routeName]
			base := mesh.Route{Service: name, Name: routeName, Path: route.Path, Methods: route.Methods}
			r.Routes = append(r.Routes, resolveRoute(base, route.Settings.inheritFrom(settings)))
		}
	}
	contracts := t.contracts(fleet)
	for _, name := range slices.Sorted(maps.Keys(contracts)) {
		r.Organisations = append(r.Organisations, mesh.Organisation{Name: name, Contract: contracts[name]})
	}
	return r
}
