// Package rules provides lookups in one version of the operators' rules, such as the route
// of a request and the organisation of an API key.
package rules

import (
	"cmp"
	"slices"
	"strings"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Index is an immutable index of one version of the rules.
type Index struct {
	*mesh.Rules

	// routesByHost holds the routes of each host name, longest path first.
	routesByHost       map[string][]*mesh.Route
	routesByName       map[string]*mesh.Route
	organisationsByKey map[mesh.KeyHash]*mesh.Organisation
	services           map[mesh.ServiceName]*mesh.ServiceRules
}

// NewIndex returns an index of the rules, which must not be modified afterwards.
func NewIndex(r *mesh.Rules) (x *Index) {
	x = &Index{
		Rules:              r,
		routesByHost:       make(map[string][]*mesh.Route),
		routesByName:       make(map[string]*mesh.Route, len(r.Routes)),
		organisationsByKey: make(map[mesh.KeyHash]*mesh.Organisation),
		services:           make(map[mesh.ServiceName]*mesh.ServiceRules, len(r.Services)),
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		x.routesByHost[route.Host] = append(x.routesByHost[route.Host], route)
		x.routesByName[route.Name] = route
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b *mesh.Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	for i := range r.Organisations {
		for _, k := range r.Organisations[i].Keys {
			x.organisationsByKey[k] = &r.Organisations[i]
		}
	}
	for i := range r.Services {
		x.services[r.Services[i].Name] = &r.Services[i]
	}
	return x
}

// Route returns the route of a request with the host name and path: the one with the
// longest matching path prefix.
func (x *Index) Route(host, path string) (route *mesh.Route, found bool) {
	for _, r := range x.routesByHost[host] {
		if strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the name.
func (x *Index) RouteByName(name string) (route *mesh.Route, found bool) {
	route, found = x.routesByName[name]
	return route, found
}

// OrganisationByKey returns the organisation that the API key belongs to.
func (x *Index) OrganisationByKey(key mesh.KeyHash) (o *mesh.Organisation, found bool) {
	o, found = x.organisationsByKey[key]
	return o, found
}

// Service returns the settings of a service. For a service without settings, all fields but
// the name are zero.
func (x *Index) Service(name mesh.ServiceName) (s mesh.ServiceRules) {
	if found := x.services[name]; found != nil {
		return *found
	}
	return mesh.ServiceRules{Name: name}
}

// Knows reports whether the rules name a service.
func (x *Index) Knows(name mesh.ServiceName) bool {
	return x.services[name] != nil || slices.ContainsFunc(x.Routes, func(r mesh.Route) bool { return x.Allows(&r, name) })
}

// Allows reports whether the rules allow the service to run requests of the route.
func (x *Index) Allows(route *mesh.Route, service mesh.ServiceName) bool {
	if len(route.Split) == 0 {
		return route.Service == service
	}
	return slices.ContainsFunc(route.Split, func(p mesh.WeightedService) bool { return p.Service == service && p.Weight > 0 })
}

// ChooseService returns the service that runs a request of the route. The argument draw is
// a random number in [0, 1); uniform values distribute the requests by weight.
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
// organisation is a call of a target that already runs a request, so shedding it would
// waste work: it has the highest class. The priority of an organisation takes precedence
// over that of the route, which only sets the rank then.
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
