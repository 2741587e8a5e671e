// Package audit checks a configuration before operators send it: entries that can never match,
// limits that contradict each other, and what differs from the configuration in force.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// contractWindow is the span over which a contract is observed. A burst above what the rate allows
// in it admits more in that span than the rate does.
const contractWindow = 5 * time.Second

// Severity says how serious a finding is.
type Severity uint8

// Severities of findings.
const (
	// Warning marks an entry that has no effect or probably not the intended one.
	Warning Severity = iota

	// Error marks an entry that is invalid or whose effect is arbitrary.
	Error
)

// String returns the name of the severity as printed.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid marks an entry that is incomplete or names something that does not exist.
	Invalid Kind = "invalid"

	// NeverMatches marks an entry that no request reaches.
	NeverMatches Kind = "never-matches"

	// Contradiction marks limits that cannot all be used.
	Contradiction Kind = "contradiction"
)

// Finding is a problem of a configuration.
type Finding struct {
	Severity Severity
	Kind     Kind

	// Path is the path of the entry in the form that the operators write.
	Path string

	// Message says what is wrong and what to do about it.
	Message string
}

// Naming returns the paths of entries in one form of the configuration.
type Naming struct {
	Route        func(r *mesh.Route) (path string)
	Service      func(name mesh.ServiceName) (path string)
	Organisation func(name mesh.OrganisationName) (path string)
}

// Option configures a check.
type Option func(*checker)

// WithoutKeys is for a form of the configuration that holds no API keys.
func WithoutKeys() Option { return func(c *checker) { c.withoutKeys = true } }

// Check returns the findings on a configuration, in the order of its entries.
func Check(r *mesh.Rules, n Naming, options ...Option) (findings []Finding) {
	c := checker{rules: r, naming: n, services: make(map[mesh.ServiceName]bool, len(r.Services))}
	for _, o := range options {
		o(&c)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkOrganisations()
	return c.findings
}

type checker struct {
	rules    *mesh.Rules
	naming   Naming
	findings []Finding

	// services holds the services that the configuration lists.
	services map[mesh.ServiceName]bool

	// withoutKeys is true when API keys are kept elsewhere.
	withoutKeys bool
}

func (c *checker) add(s Severity, k Kind, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Kind: k, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkServices() {
	for _, s := range c.rules.Services {
		path := c.naming.Service(s.Name)
		if c.services[s.Name] {
			c.add(Error, Invalid, path, "service %q is listed twice; remove one of them", s.Name)
		}
		c.services[s.Name] = true
		if s.ColdTime > 0 && s.ColdRate == 0 {
			c.add(Warning, Contradiction, path, "targets start cold for %v, but no rate limits what they get in that time", s.ColdTime)
		}
	}
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool, len(c.rules.Routes))
	for i := range c.rules.Routes {
		r := &c.rules.Routes[i]
		path := c.naming.Route(r)
		id := string(r.Service) + "/" + r.Name
		if r.Host != "" {
			id = r.Name
		}
		if names[id] {
			c.add(Error, Invalid, path, "the name is used by two routes; give one of them another name")
		}
		names[id] = true
		c.checkPrefix(path, r, c.rules.Routes[:i])
		c.checkDestinations(path, r)
		c.checkTimes(path, r)
	}
}

// checkPrefix reports a route that an earlier one of the same host and prefix hides.
func (c *checker) checkPrefix(path string, r *mesh.Route, earlier []mesh.Route) {
	for i := range earlier {
		e := &earlier[i]
		if e.Host == r.Host && e.Path == r.Path && (r.Host != "" || e.Service == r.Service) && takesMethods(e, r) {
			c.add(Error, NeverMatches, path, "no request reaches this route: %s has the same host and prefix %q and comes first", c.naming.Route(e), e.Path)
			return
		}
	}
	if r.Host != "" && (!strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/")) {
		c.add(Error, Invalid, path, "the prefix is %q; it must begin and end with a slash", r.Path)
	}
}

// takesMethods reports whether a route matches all methods that another one matches.
func takesMethods(r, other *mesh.Route) bool {
	if len(r.Methods) == 0 {
		return true
	}
	missing := func(method string) bool { return !slices.Contains(r.Methods, method) }
	return len(other.Methods) > 0 && !slices.ContainsFunc(other.Methods, missing)
}

// checkDestinations checks the services to which a route sends its requests.
func (c *checker) checkDestinations(path string, r *mesh.Route) {
	if len(r.Split) == 0 {
		c.checkKnown(path, r.Service)
		return
	}
	var total float64
	seen := make(map[mesh.ServiceName]bool, len(r.Split))
	for _, part := range r.Split {
		c.checkKnown(path, part.Service)
		switch {
		case part.Weight < 0:
			c.add(Error, Invalid, path, "the part %q of the split has the weight %g; it must be at least 0", part.Service, part.Weight)
		case part.Weight == 0:
			c.add(Warning, NeverMatches, path, "the part %q of the split has the weight 0 and gets no requests", part.Service)
		}
		if seen[part.Service] {
			c.add(Warning, Contradiction, path, "the split names service %q twice; its weights add up", part.Service)
		}
		seen[part.Service] = true
		total += part.Weight
	}
	if total <= 0 {
		c.add(Error, NeverMatches, path, "all parts of the split have the weight 0, so none gets the requests")
	}
}

func (c *checker) checkKnown(path string, name mesh.ServiceName) {
	if !c.services[name] {
		c.add(Error, Invalid, path, "service %q is not listed among the services", name)
	}
}

// checkTimes reports limits of a route that cannot all be used.
func (c *checker) checkTimes(path string, r *mesh.Route) {
	if r.Timeout <= 0 {
		c.add(Error, Invalid, path, "the timeout is %v; it must be above 0", r.Timeout)
		return
	}
	if r.LatencyObjective > r.Timeout {
		c.add(Warning, Contradiction, path, "the timeout of %v lies below the latency objective of %v, which therefore is never missed by an answer", r.Timeout, r.LatencyObjective)
	}
	attempts := time.Duration(r.Retries + 1)
	if r.Retries > 0 && r.LatencyObjective > 0 && r.LatencyObjective <= r.Timeout && attempts*r.LatencyObjective > r.Timeout {
		c.add(Warning, Contradiction, path, "%d attempts of %v each, the latency objective, do not fit into the timeout of %v", attempts, r.LatencyObjective, r.Timeout)
	}
}

func (c *checker) checkOrganisations() {
	names := make(map[mesh.OrganisationName]bool, len(c.rules.Organisations))
	holders := make(map[mesh.KeyHash]mesh.OrganisationName)
	for i := range c.rules.Organisations {
		o := &c.rules.Organisations[i]
		path := c.naming.Organisation(o.Name)
		if names[o.Name] {
			c.add(Error, Invalid, path, "organisation %q is listed twice; remove one of them", o.Name)
		}
		names[o.Name] = true
		if len(o.Keys) == 0 && !c.withoutKeys {
			c.add(Warning, NeverMatches, path, "the organisation has no key, so no request belongs to it")
		}
		for _, k := range o.Keys {
			if holder, held := holders[k]; held && holder != o.Name {
				c.add(Error, Contradiction, path, "organisation %q holds one of these keys too; a key must belong to one organisation", holder)
			}
			holders[k] = o.Name
		}
		c.checkContract(path, o.Contract)
	}
}

func (c *checker) checkContract(path string, k mesh.Contract) {
	window := k.Rate * contractWindow.Seconds()
	switch {
	case k.Rate < 0 || k.Burst < 0:
		c.add(Error, Invalid, path, "the rate is %g and the burst is %g; both must be at least 0", k.Rate, k.Burst)
	case k.Rate == 0 && k.Burst > 0:
		c.add(Warning, Contradiction, path, "the burst of %g has no effect, since the organisation has no rate limit", k.Burst)
	case k.Rate > 0 && k.Burst > window:
		c.add(Warning, Contradiction, path, "the burst of %g is more than the rate of %g a second allows in %v", k.Burst, k.Rate, contractWindow)
	}
}
