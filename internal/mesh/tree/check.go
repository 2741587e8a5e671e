package tree

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Problem is a validation error of a settings tree.
type Problem struct {
	// Path is the path of the value, for example "services.ledger.settings.timeout".
	Path string

	// Message says what is wrong and which values are allowed.
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string { return p.Path + ": " + p.Message }

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// reservedServices are service names that cannot be used, because the node serves its
// own endpoints under these paths of the listener for targets.
var reservedServices = []mesh.ServiceName{"debug", "quetzal"}

// Check validates the tree and returns all problems in a stable order. Only a tree
// without problems may be put in force.
func (t *Tree) Check() (problems []Problem) {
	c := checker{tree: t}
	c.settings("settings", LevelFleet, t.Fleet)
	for _, name := range slices.Sorted(maps.Keys(t.Zones)) {
		c.zone(name, t.Zones[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		c.service(name, t.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Organisations)) {
		path := "organisations." + string(name)
		c.name(path, string(name))
		c.settings(path, LevelOrganisation, t.Organisations[name])
	}
	c.contradictions()
	return c.problems
}

type checker struct {
	tree     *Tree
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, "the name %q is not allowed; use 1 to 63 letters, digits, hyphens and underscores, with a letter or digit first", name)
	}
}

func (c *checker) settings(path string, level Level, s Settings) {
	for _, r := range rules {
		if !r.set(&s) {
			continue
		}
		if r.levels&level == 0 {
			c.addWrongLevel(path+"."+r.name, level, r, s)
			continue
		}
		if message := r.check(&s); message != "" {
			c.add(path+"."+r.name, "%s", message)
		}
	}
}

func (c *checker) addWrongLevel(path string, level Level, r rule, s Settings) {
	if r.levels == contractLevels && s.Open != nil && *s.Open {
		c.add(path, "limits an organisation, but open requests belong to none; allowed on: %s", r.levels)
		return
	}
	c.add(path, "has no meaning on the level %s; allowed on: %s", level, r.levels)
}

func (c *checker) zone(name mesh.ZoneName, z Zone) {
	path := "zones." + string(name)
	c.name(path, string(name))
	if z.Region == "" {
		c.add(path+".region", "is missing; name the region of the zone")
	}
	c.settings(path+".settings", LevelZone, z.Settings)
}

func (c *checker) service(name mesh.ServiceName, s Service) {
	path := "services." + string(name)
	c.name(path, string(name))
	if slices.Contains(reservedServices, name) {
		c.add(path, "the name is used by the nodes themselves; choose another one")
	}
	c.settings(path+".settings", LevelService, s.Settings)
	if len(s.Routes) == 0 {
		c.add(path+".routes", "is missing; a service needs at least one route")
	}
	names := slices.Sorted(maps.Keys(s.Routes))
	for i, routeName := range names {
		c.route(path+".routes."+routeName, routeName, s.Routes[routeName])
		for _, other := range names[:i] {
			c.overlap(path+".routes.", routeName, other, s)
		}
	}
}

func (c *checker) route(path, name string, r Route) {
	c.name(path, name)
	c.routePath(path+".path", r.Path)
	seen := make(map[string]bool)
	for _, m := range r.Methods {
		switch {
		case !methodPattern.MatchString(m):
			c.add(path+".methods", "names %q; allowed are HTTP methods in capitals, such as GET", m)
		case seen[m]:
			c.add(path+".methods", "names %s twice; name each method once", m)
		}
		seen[m] = true
	}
	c.settings(path+".settings", LevelRoute, r.Settings)
}

func (c *checker) routePath(path, value string) {
	segments := strings.Split(strings.TrimSuffix(value, "/"), "/")
	switch {
	case value == "":
		c.add(path, "is missing; write the prefix that the route covers, such as /accounts")
	case value[0] != '/':
		c.add(path, "is %q; it must start with a slash", value)
	case strings.ContainsAny(value, "?#%* \t"):
		c.add(path, "is %q; it must be a plain prefix without ?, #, %%, * and spaces", value)
	case slices.ContainsFunc(segments[1:], func(s string) bool { return s == "" || s == "." || s == ".." }):
		c.add(path, "is %q; empty segments, . and .. are not allowed", value)
	}
}

// overlap reports two routes of a service that match the same requests, so that the
// choice between them would be arbitrary.
func (c *checker) overlap(path, name, other string, s Service) {
	a, b := s.Routes[name], s.Routes[other]
	if a.Path == "" || strings.TrimSuffix(a.Path, "/") != strings.TrimSuffix(b.Path, "/") {
		return
	}
	if common, found := commonMethod(a.Methods, b.Methods); found {
		c.add(path+name+".path", "covers the same requests as route %q (%s %s); give one of them another path or other methods", other, common, b.Path)
	}
}

// commonMethod returns a method that is in both lists; an empty list means all
// methods.
func commonMethod(a, b []string) (method string, found bool) {
	switch {
	case len(a) == 0 && len(b) == 0:
		return "every method,", true
	case len(a) == 0:
		return b[0], true
	}
	for _, m := range a {
		if len(b) == 0 || slices.Contains(b, m) {
			return m, true
		}
	}
	return "", false
}

// contradictions reports settings that are valid on their own levels but not in
// combination with other levels.
func (c *checker) contradictions() {
	fleet := c.tree.Fleet.inheritFrom(Defaults())
	zoneSettings := map[string]Settings{"": fleet}
	for name, z := range c.tree.Zones {
		if z.Settings != (Settings{}) {
			zoneSettings[string(name)] = z.Settings.inheritFrom(fleet)
		}
	}
	r := effective{zones: zoneSettings, allOpen: len(c.tree.Services) > 0}
	for _, name := range slices.Sorted(maps.Keys(c.tree.Services)) {
		c.serviceContradictions(&r, name, c.tree.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.tree.Organisations)) {
		c.organisationContradictions(&r, "organisations."+string(name), c.tree.Organisations[name])
	}
	if *fleet.ClaimKeep < r.longestTimeout {
		c.add("settings.claim-keep", "is %v, but requests may run for %v; a claim must outlast its request", *fleet.ClaimKeep, r.longestTimeout)
	}
}

// effective holds the effective settings above the organisation level.
type effective struct {
	// zones holds the settings that services inherit, by zone; the empty name stands
	// for a zone without settings of its own.
	zones map[string]Settings

	// allOpen is true while all routes checked so far are open.
	allOpen bool

	longestTimeout     time.Duration
	longestTargetDelay time.Duration
}

func (c *checker) serviceContradictions(r *effective, name mesh.ServiceName, s Service) {
	for _, routeName := range slices.Sorted(maps.Keys(s.Routes)) {
		path := "services." + string(name) + ".routes." + routeName
		c.routeContradictions(r, path, s, s.Routes[routeName])
	}
}

func (c *checker) routeContradictions(r *effective, path string, s Service, route Route) {
	for _, zone := range slices.Sorted(maps.Keys(r.zones)) {
		merged := route.Settings.inheritFrom(s.Settings.inheritFrom(r.zones[zone]))
		r.allOpen = r.allOpen && *merged.Open
		r.longestTimeout = max(r.longestTimeout, *merged.Timeout)
		r.longestTargetDelay = max(r.longestTargetDelay, *merged.TargetDelay)
		where := ""
		if zone != "" {
			where = fmt.Sprintf(" in zone %s", zone)
		}
		switch {
		case *merged.TargetDelay >= *merged.Timeout:
			c.add(path+".settings.timeout", "is %v%s, but target-delay there is %v, which could never be reached; the timeout must be above the target-delay", *merged.Timeout, where, *merged.TargetDelay)
			return
		case route.Settings.ClaimStore != nil && *merged.Idempotent:
			c.add(path+".settings.once", "has no meaning on an idempotent route%s; remove it or set idempotent to false", where)
			return
		}
	}
}

func (c *checker) organisationContradictions(r *effective, path string, s Settings) {
	if s.Timeout != nil {
		r.longestTimeout = max(r.longestTimeout, *s.Timeout)
		if *s.Timeout <= r.longestTargetDelay {
			c.add(path+".timeout", "is %v, but the longest target-delay of a service is %v, which could never be reached; the timeout must be above it", *s.Timeout, r.longestTargetDelay)
		}
	}
	if !r.allOpen {
		return
	}
	for _, rule := range rules {
		if rule.levels&LevelOrganisation != 0 && rule.set(&s) {
			c.add(path+"."+rule.name, "has no effect, because every route is open and an open request belongs to no organisation; remove it or set open to false on a route")
		}
	}
}
