package tree

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Problem is one reason to refuse a tree.
type Problem struct {
	// Path leads to the value, for example "services.ledger.settings.timeout".
	Path string

	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Limits of single values.
const (
	maxTimeout = 10 * time.Minute
	maxRetries = 16
	maxBody    = 64 << 20
)

// Check returns every problem of the tree, in a stable order. A tree without
// problems may be put in force.
func (t *Tree) Check() (problems []Problem) {
	c := checker{}
	c.settings("settings", t.Fleet)
	for _, name := range slices.Sorted(maps.Keys(t.Zones)) {
		c.zone("zones."+string(name), t.Zones[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		c.service("services."+string(name), t.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Organisations)) {
		c.settings("organisations."+string(name), t.Organisations[name])
	}
	return c.problems
}

type checker struct{ problems []Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) zone(path string, z Zone) {
	if z.Region == "" {
		c.add(path+".region", "is missing; name the region of the zone")
	}
	c.settings(path+".settings", z.Settings)
}

func (c *checker) service(path string, s Service) {
	c.settings(path+".settings", s.Settings)
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		if !strings.HasPrefix(r.Path, "/") {
			c.add(path+".routes."+name+".path", "is %q; it must start with a slash", r.Path)
		}
		c.settings(path+".routes."+name+".settings", r.Settings)
	}
}

func (c *checker) settings(path string, s Settings) {
	if s.Timeout != nil && (*s.Timeout <= 0 || *s.Timeout > maxTimeout) {
		c.add(path+".timeout", "is %v; it must be above 0 and at most %v", *s.Timeout, maxTimeout)
	}
	if s.Retries != nil && (*s.Retries < 0 || *s.Retries > maxRetries) {
		c.add(path+".retries", "is %d; it must be from 0 to %d", *s.Retries, maxRetries)
	}
	if s.MaxBody != nil && (*s.MaxBody < 0 || *s.MaxBody > maxBody) {
		c.add(path+".max-body", "is %d; it must be from 0 to %d bytes", *s.MaxBody, maxBody)
	}
	if s.Rate != nil && *s.Rate <= 0 {
		c.add(path+".rate", "is %v; it must be above 0 requests a second", *s.Rate)
	}
	if s.Burst != nil && *s.Burst < 1 {
		c.add(path+".burst", "is %v; it must be at least 1 request", *s.Burst)
	}
}
