package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/r3labs/diff/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Change is a difference between the configuration in force and the next one.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string

	// Path is the path of the entry, and Field the field of it that changes; empty when the whole
	// entry does.
	Path  string
	Field string

	// From and To are the values in force and next; empty when the whole entry is added or removed.
	From, To string

	// Effect says what callers see once the change is in force.
	Effect string
}

// Kinds of changes.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// routeFields are the fields of a route that are compared.
type routeFields struct {
	Host       string
	Prefix     string
	Methods    string
	Sends      string `diff:"sends-to"`
	Priority   int
	Idempotent bool
	Open       bool
	Timeout    string
	Objective  string `diff:"latency-objective"`
	Attempts   int
}

// serviceFields are the fields of a service that are compared.
type serviceFields struct {
	Connections int
	StatusPath  string  `diff:"health-check"`
	ColdTime    string  `diff:"cold-time"`
	ColdRate    float64 `diff:"cold-rate"`
}

// organisationFields are the fields of an organisation that are compared.
type organisationFields struct {
	Priority string
	Rate     float64
	Burst    float64
	Keys     int
}

// Compare returns what differs between the configuration in force and the next one.
func Compare(inForce, next *mesh.Rules, n Naming) (changes []Change, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compare with the version in force: %w", err)
		}
	}()
	parts := []struct {
		from, to any
		effect   func(kind, path, field string) string
	}{
		{servicesOf(inForce, n), servicesOf(next, n), serviceEffect},
		{routesOf(inForce, n), routesOf(next, n), routeEffect},
		{organisationsOf(inForce, n), organisationsOf(next, n), organisationEffect},
	}
	for _, p := range parts {
		log, err := diff.Diff(p.from, p.to)
		if err != nil {
			return nil, err
		}
		changes = append(changes, collect(log, p.effect)...)
	}
	return append(changes, keyChanges(inForce, next, n)...), nil
}

// collect converts the library's changes, of which it reports one for each field of an entry that
// is added or removed.
func collect(log diff.Changelog, effect func(kind, path, field string) string) (changes []Change) {
	whole := make(map[string]bool)
	for _, l := range log {
		path, field := l.Path[0], strings.ToLower(strings.Join(l.Path[1:], "."))
		c := Change{Kind: changed, Path: path, Field: field, From: fmt.Sprint(l.From), To: fmt.Sprint(l.To)}
		if l.Type != diff.UPDATE {
			if whole[path] {
				continue
			}
			whole[path] = true
			c = Change{Kind: added, Path: path}
			if l.Type == diff.DELETE {
				c.Kind = removed
			}
		}
		c.Effect = effect(c.Kind, path, c.Field)
		changes = append(changes, c)
	}
	return changes
}

func routesOf(r *mesh.Rules, n Naming) (fields map[string]routeFields) {
	fields = make(map[string]routeFields, len(r.Routes))
	for i := range r.Routes {
		e := &r.Routes[i]
		sends := string(e.Service)
		if len(e.Split) > 0 {
			parts := make([]string, len(e.Split))
			for j, p := range e.Split {
				parts[j] = fmt.Sprintf("%s:%g", p.Service, p.Weight)
			}
			sends = strings.Join(parts, ",")
		}
		fields[n.Route(e)] = routeFields{
			Host: e.Host, Prefix: e.Path, Methods: strings.Join(e.Methods, ","), Sends: sends, Priority: int(e.Class),
			Idempotent: e.Idempotent, Open: e.Open, Timeout: e.Timeout.String(), Objective: durationText(e.LatencyObjective), Attempts: e.Retries + 1,
		}
	}
	return fields
}

func servicesOf(r *mesh.Rules, n Naming) (fields map[string]serviceFields) {
	fields = make(map[string]serviceFields, len(r.Services))
	for _, s := range r.Services {
		fields[n.Service(s.Name)] = serviceFields{Connections: s.Connections, StatusPath: s.StatusPath, ColdTime: durationText(s.ColdTime), ColdRate: s.ColdRate}
	}
	return fields
}

func organisationsOf(r *mesh.Rules, n Naming) (fields map[string]organisationFields) {
	fields = make(map[string]organisationFields, len(r.Organisations))
	for i := range r.Organisations {
		o := &r.Organisations[i]
		priority := "of the route"
		if o.Priority != nil {
			priority = fmt.Sprint(*o.Priority)
		}
		fields[n.Organisation(o.Name)] = organisationFields{Priority: priority, Rate: o.Contract.Rate, Burst: o.Contract.Burst, Keys: len(o.Keys)}
	}
	return fields
}

func durationText(d time.Duration) (text string) {
	if d == 0 {
		return "none"
	}
	return d.String()
}

// keyChanges reports keys that are withdrawn from callers or pass to another organisation while the
// organisation itself stays. Keys are known by their hashes alone, so only their number is said.
func keyChanges(inForce, next *mesh.Rules, n Naming) (changes []Change) {
	holders := make(map[mesh.KeyHash]mesh.OrganisationName)
	for i := range next.Organisations {
		for _, k := range next.Organisations[i].Keys {
			holders[k] = next.Organisations[i].Name
		}
	}
	for i := range inForce.Organisations {
		o := &inForce.Organisations[i]
		var withdrawn, moved int
		for _, k := range o.Keys {
			switch holder, held := holders[k]; {
			case !held:
				withdrawn++
			case holder != o.Name:
				moved++
			}
		}
		path := n.Organisation(o.Name)
		if withdrawn > 0 {
			changes = append(changes, Change{Kind: removed, Path: path, Field: "keys", From: fmt.Sprint(len(o.Keys)), To: fmt.Sprint(len(o.Keys) - withdrawn - moved), Effect: fmt.Sprintf("callers with %d withdrawn keys are refused at once, also on open connections", withdrawn)})
		}
		if moved > 0 {
			changes = append(changes, Change{Kind: changed, Path: path, Field: "keys", Effect: fmt.Sprintf("requests with %d of its keys count for another organisation", moved)})
		}
	}
	return changes
}

func routeEffect(kind, _, field string) (effect string) {
	switch {
	case kind == added:
		return "its requests are served from now on"
	case kind == removed:
		return "its requests are refused as unknown, unless a shorter prefix of the host takes them"
	case field == "sends-to":
		return "new requests go to the new services at once; those under way finish where they are"
	case field == "timeout":
		return "requests that arrive from now on get the new timeout"
	case field == "priority":
		return "under overload, its requests are shed in another order"
	case field == "idempotent":
		return "decides whether a request may run again after a failure; requests under way keep the old kind"
	case field == "open":
		return "decides whether callers need a key"
	case field == "host", field == "prefix", field == "methods":
		return "requests that no longer match are refused as unknown, unless another route takes them"
	default:
		return "new requests get the new value"
	}
}

func serviceEffect(kind, _, _ string) (effect string) {
	switch kind {
	case added:
		return "its targets can receive requests once a route leads to it"
	case removed:
		return "its targets receive no more requests"
	default:
		return "nodes use the new value for its targets at once"
	}
}

func organisationEffect(kind, _, field string) (effect string) {
	switch {
	case kind == added:
		return "callers with its keys are accepted"
	case kind == removed:
		return "callers with its keys are refused at once, also on open connections"
	case field == "rate", field == "burst":
		return "a lower contract binds one window after it is in force; requests beyond it are refused with a time to come back"
	case field == "keys":
		return "the number of its keys changes"
	default:
		return "new requests get the new value"
	}
}
