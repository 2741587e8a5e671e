package tree

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// routeValues are the settings of a route that the test sets on several levels.
type routeValues struct {
	class      mesh.Class
	idempotent bool
	retries    int
	timeout    time.Duration
}

// TestInheritance guards against an override that is lost because its value is the
// zero value of its type, and against a merge that modifies the settings of another
// level.
func TestInheritance(t *testing.T) {
	fleet := Settings{Class: new(mesh.ClassLow), Idempotent: new(true), Retries: new(5), Timeout: new(time.Second)}
	tr := &Tree{
		Fleet: fleet,
		Zones: map[mesh.ZoneName]Zone{"a": {Settings: Settings{Timeout: new(3 * time.Second)}}, "b": {}},
		Services: map[mesh.ServiceName]Service{"ledger": {
			Settings: Settings{Retries: new(1)},
			Routes: map[string]Route{
				"pay": {Path: "/pay", Settings: Settings{Class: new(mesh.ClassCritical), Idempotent: new(false), Retries: new(0)}},
				"all": {Path: "/"},
			},
		}},
		Organisations: map[mesh.OrganisationName]Settings{
			"big":   {Class: new(mesh.ClassCritical), Rate: new(7.0)},
			"small": {},
		},
	}
	for _, c := range []struct {
		zone         mesh.ZoneName
		route        string
		organisation mesh.OrganisationName
		want         routeValues
	}{
		{"a", "pay", "small", routeValues{mesh.ClassCritical, false, 0, 3 * time.Second}},
		{"b", "pay", "small", routeValues{mesh.ClassCritical, false, 0, time.Second}},
		{"b", "all", "small", routeValues{mesh.ClassLow, true, 1, time.Second}},
		{"b", "all", "big", routeValues{mesh.ClassCritical, true, 1, time.Second}},
	} {
		r, found := tr.Index(c.zone).RouteByName("ledger", c.route, c.organisation)
		if !found {
			t.Fatalf("route %q: got none, want one", c.route)
		}
		got := routeValues{r.Class, r.Idempotent, r.Retries, r.Timeout}
		if got != c.want {
			t.Errorf("zone %s, route %s, organisation %s: got %+v, want %+v", c.zone, c.route, c.organisation, got, c.want)
		}
	}
	if got := *fleet.Class; got != mesh.ClassLow {
		t.Errorf("fleet class after indexing: got %v, want %v", got, mesh.ClassLow)
	}
	if got := tr.Index("a").Contracts["big"].Rate; got != 7 {
		t.Errorf("rate of big: got %v, want 7", got)
	}
}
