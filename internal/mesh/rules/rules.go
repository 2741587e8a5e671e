// Package rules answers questions about one version of the operators' rules:
// which route a request takes, who holds a key, and what a contract allows.
package rules

import (
	"cmp"
	"slices"
	"strings"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Index answers questions about one version of the rules. It never changes.
type Index struct {
	*mesh.Rules

	// hosts holds the routes of each host name, longest path first.
	hosts    map[string][]*mesh.Route
	named    map[string]*mesh.Route
	keys     map[mesh.KeyHash]*mesh.Organisation
	services map[mesh.ServiceName]*mesh.ServiceRules
}

// NewIndex returns an index of the rules, which must not change any more.
func NewIndex(r *mesh.Rules) (x *Index) {
	x = &Index{
		Rules:    r,
		hosts:    make(map[string][]*mesh.Route),
		named:    make(map[string]*mesh.Route, len(r.Routes)),
		keys:     make(map[mesh.KeyHash]*mesh.Organisation),
		services: make(map[mesh.ServiceName]*mesh.ServiceRules, len(r.Services)),
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		x.hosts[route.Host] = append(x.hosts[route.Host], route)
		x.named[route.Name] = route
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *mesh.Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	for i := range r.Organisations {
		for _, k := range r.Organisations[i].Keys {
			x.keys[k] = &r.Organisations[i]
		}
	}
	for i := range r.Services {
		x.services[r.Services[i].Name] = &r.Services[i]
	}
	return x
}

// Route returns the route of a request to a host name and path.
func (x *Index) Route(host, path string) (route *mesh.Route, found bool) {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the name.
func (x *Index) RouteByName(name string) (route *mesh.Route, found bool) {
	route, found = x.named[name]
	return route, found
}

// OrganisationByKey returns the organisation that holds the key.
func (x *Index) OrganisationByKey(key mesh.KeyHash) (o *mesh.Organisation, found bool) {
	o, found = x.keys[key]
	return o, found
}

// Service returns what is set for a service; a service without settings has
// the zero value.
func (x *Index) Service(name mesh.ServiceName) (s mesh.ServiceRules) {
	if found := x.services[name]; found != nil {
		return *found
	}
	return mesh.ServiceRules{Name: name}
}

// Allows reports whether the rules let the service run requests of the route.
func (x *Index) Allows(route *mesh.Route, service mesh.ServiceName) bool {
	if len(route.Split) == 0 {
		return route.Service == service
	}
	return slices.ContainsFunc(route.Split, func(p mesh.WeightedService) bool { return p.Service == service && p.Weight > 0 })
}

// ChooseService returns the service that runs a request of the route. Draw is a
// number from 0 to below 1; equal draws spread over the services by weight.
func ChooseService(route *mesh.Route, draw float64) (service mesh.ServiceName) {
	if len(route.Split) == 0 {
		return route.Service
	}
	var total float64
	for _, p := range route.Split {
		total += p.Weight
	}
	left := draw * total
	for _, p := range route.Split {
		if left -= p.Weight; left < 0 {
			return p.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// RequestPriority returns the class and rank of a request. A request without an
// organisation is a call of a target that already runs a request, so turning
// it away would waste work: it comes first. An organisation's own priority
// counts before the one of the route, which orders its requests.
func RequestPriority(route *mesh.Route, o *mesh.Organisation) (class mesh.Class, rank mesh.Rank) {
	rank = mesh.Rank(min(mesh.RankCount-1, route.Class))
	switch {
	case o == nil:
		return mesh.ClassCritical, rank
	case o.Priority != nil:
		return min(mesh.ClassLow, mesh.ClassHigh+mesh.Class(max(0, *o.Priority))), rank
	default:
		return min(mesh.ClassLow, mesh.ClassHigh+route.Class), rank
	}
}

// Merge returns the orders that are in force after next was heard. The version
// of the rules never goes back, and zones follow the later state of the store.
func Merge(current, next mesh.FleetConfig) (merged mesh.FleetConfig, changed bool) {
	merged = current
	if next.Rules != nil && (current.Rules == nil || next.Rules.Version > current.Rules.Version) {
		merged.Rules, merged.RulesText, changed = next.Rules, next.RulesText, true
	}
	if next.AsOf > current.AsOf {
		changed = changed || !slices.Equal(next.ZonesOut, current.ZonesOut)
		merged.AsOf, merged.ZonesOut = next.AsOf, next.ZonesOut
	}
	return merged, changed
}
