package tree

import (
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Index holds the effective settings in one zone, with all inheritance resolved. It
// is immutable.
type Index struct {
	Zone      mesh.Zone
	Zones     map[mesh.ZoneName]mesh.Zone
	Contracts map[mesh.OrganisationName]mesh.Contract
	Fleet     Fleet

	services map[mesh.ServiceName]*service
}

// Fleet holds the effective settings of the fleet level.
type Fleet struct {
	RetryRatio float64
	KeyGrace   time.Duration
	ShareLease time.Duration
	ClaimKeep  time.Duration
}

// Target holds the effective settings for the targets of a service.
type Target struct {
	ColdLimit   int
	TargetDelay time.Duration
	QueueLength int
}

type service struct {
	target Target

	// routes is sorted by decreasing length of the path, so that the first match is
	// the longest.
	routes []route
}

type route struct {
	base mesh.Route

	// overrides holds the request settings that organisations override. All routes
	// share the map. For builds the route of an organisation on demand, because
	// storing one per organisation would take 950 x 500 entries at the design size.
	overrides map[mesh.OrganisationName]Settings
}

// Index returns the effective settings in a zone. The tree must have passed Check.
func (t *Tree) Index(zone mesh.ZoneName) (x *Index) {
	fleet := t.Fleet.inheritFrom(Defaults())
	x = &Index{
		Zones:     t.zones(),
		Contracts: t.contracts(fleet),
		Fleet: Fleet{
			RetryRatio: *fleet.RetryRatio,
			KeyGrace:   *fleet.KeyGrace,
			ShareLease: *fleet.ShareLease,
			ClaimKeep:  *fleet.ClaimKeep,
		},
		services: make(map[mesh.ServiceName]*service),
	}
	x.Zone = x.Zones[zone]
	x.Zone.Name = zone
	parent := t.Zones[zone].Settings.inheritFrom(fleet)
	overrides := t.overrides()
	for name, s := range t.Services {
		x.services[name] = newService(name, s, parent, overrides)
	}
	return x
}

// overrides returns the settings of the organisations that override request settings.
func (t *Tree) overrides() (overrides map[mesh.OrganisationName]Settings) {
	overrides = make(map[mesh.OrganisationName]Settings)
	for name, own := range t.Organisations {
		if own.Timeout != nil || own.Retries != nil || own.Class != nil || own.MaxBody != nil {
			overrides[name] = own
		}
	}
	return overrides
}

func (t *Tree) zones() (zones map[mesh.ZoneName]mesh.Zone) {
	zones = make(map[mesh.ZoneName]mesh.Zone)
	for name, z := range t.Zones {
		zones[name] = mesh.Zone{Name: name, Region: z.Region, Out: z.Out}
	}
	return zones
}

func (t *Tree) contracts(fleet Settings) (contracts map[mesh.OrganisationName]mesh.Contract) {
	contracts = make(map[mesh.OrganisationName]mesh.Contract)
	for name, own := range t.Organisations {
		s := own.inheritFrom(fleet)
		contracts[name] = mesh.Contract{Organisation: name, Rate: *s.Rate, Burst: *s.Burst, Weight: *s.Weight}
	}
	return contracts
}

func newService(name mesh.ServiceName, s Service, parent Settings, overrides map[mesh.OrganisationName]Settings) (resolved *service) {
	settings := s.Settings.inheritFrom(parent)
	resolved = &service{target: Target{
		ColdLimit:   *settings.ColdLimit,
		TargetDelay: *settings.TargetDelay,
		QueueLength: *settings.QueueLength,
	}}
	for routeName, r := range s.Routes {
		base := mesh.Route{Service: name, Name: routeName, Path: r.Path, Methods: r.Methods}
		resolved.routes = append(resolved.routes, route{base: resolveRoute(base, r.Settings.inheritFrom(settings)), overrides: overrides})
	}
	slices.SortFunc(resolved.routes, func(a, b route) int {
		if d := len(b.base.Path) - len(a.base.Path); d != 0 {
			return d
		}
		return strings.Compare(a.base.Name, b.base.Name)
	})
	return resolved
}

func resolveRoute(base mesh.Route, s Settings) (r mesh.Route) {
	r = base
	r.Class = *s.Class
	r.Idempotent = *s.Idempotent
	r.Open = *s.Open
	r.ClaimStore = *s.ClaimStore
	r.Timeout = *s.Timeout
	r.Retries = *s.Retries
	r.MaxBody = *s.MaxBody
	return r
}

// applyOverrides returns a copy of the route with the overrides of an organisation.
func applyOverrides(base mesh.Route, own Settings) (r *mesh.Route) {
	r = &base
	if own.Timeout != nil {
		r.Timeout = *own.Timeout
	}
	if own.Retries != nil {
		r.Retries = *own.Retries
	}
	if own.Class != nil {
		r.Class = *own.Class
	}
	if own.MaxBody != nil {
		r.MaxBody = *own.MaxBody
	}
	return r
}

// Target returns the target settings of a service.
func (x *Index) Target(name mesh.ServiceName) (t Target, found bool) {
	s, found := x.services[name]
	if !found {
		return Target{}, false
	}
	return s.target, true
}

// Route returns the route that matches the method and path of a request, before
// overrides of the organisation.
func (x *Index) Route(name mesh.ServiceName, method, path string) (m Match, found bool) {
	s, found := x.services[name]
	if !found {
		return Match{}, false
	}
	for i := range s.routes {
		r := &s.routes[i]
		if hasPathPrefix(path, r.base.Path) && (len(r.base.Methods) == 0 || slices.Contains(r.base.Methods, method)) {
			return Match{route: r}, true
		}
	}
	return Match{}, false
}

// HasService reports whether the tree contains the service.
func (x *Index) HasService(name mesh.ServiceName) (found bool) {
	_, found = x.services[name]
	return found
}

// hasPathPrefix reports whether prefix is a prefix of path in whole segments.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}

// Match is a matched route without the overrides of an organisation.
type Match struct{ route *route }

// Open reports whether the route needs no API key.
func (m Match) Open() bool { return m.route.base.Open }

// For returns the route with the overrides of the organisation, which is empty on
// open routes.
func (m Match) For(organisation mesh.OrganisationName) (r *mesh.Route) {
	if own, found := m.route.overrides[organisation]; found {
		return applyOverrides(m.route.base, own)
	}
	return &m.route.base
}

// RouteByName returns the route with the given name, with the overrides of the
// organisation.
func (x *Index) RouteByName(serviceName mesh.ServiceName, name string, organisation mesh.OrganisationName) (r *mesh.Route, found bool) {
	s, found := x.services[serviceName]
	if !found {
		return nil, false
	}
	for i := range s.routes {
		if s.routes[i].base.Name == name {
			return Match{route: &s.routes[i]}.For(organisation), true
		}
	}
	return nil, false
}
