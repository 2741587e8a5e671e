package agent

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/fleet"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// versionHeader carries the version of the target that a call is meant for. It is sent only while
// a roll-out of the service is not settled. Nodes of an earlier build ignore it, which they would
// not do with a field more in the pass.
const versionHeader = header.Prefix + "Version"

// targetKey identifies a target of the fleet.
type targetKey struct {
	host netip.AddrPort
	name string
}

// versionRule says which versions of a service get requests. It is immutable.
type versionRule struct {
	// to is the new version and share the share of the requests that it gets. to is empty when no
	// roll-out is running or has just ended.
	to    mesh.VersionName
	share float64

	// counted is true while the requests are counted by version.
	counted bool

	// barred holds the versions of earlier orders that were not completed. Their targets get
	// requests only when the service has no others.
	barred []mesh.VersionName
}

// versionView holds the rules of all services under a roll-out. It is immutable.
type versionView struct {
	rules    map[mesh.ServiceName]*versionRule
	versions map[targetKey]mesh.VersionName
}

// rule returns the rule of a service, or nil when its versions do not matter.
func (v *versionView) rule(service mesh.ServiceName) (r *versionRule) { return v.rules[service] }

// version returns the version of a target, which is empty when it is not known.
func (v *versionView) version(e *mesh.Endpoint) (version mesh.VersionName) {
	if known := v.versions[targetKey{host: e.Host, name: e.Target.Name}]; known != "" {
		return known
	}
	return e.Target.Version
}

// choose returns which versions may run the next attempt of a call. The attempts of one request
// make the same choice while the share does not fall; after a failed attempt, the old version is
// preferred.
func (r *versionRule) choose(call *mesh.Call, attempts int) (c mesh.VersionChoice) {
	if r.to == "" {
		return c
	}
	draw := float64(xxhash.Sum64String(call.CallerRequestID)>>11) / (1 << 53)
	return mesh.VersionChoice{To: r.to, New: r.share == 1 || draw < r.share && attempts == 0}
}

// place returns which versions may run the next attempt of a call, and the targets of its service
// with their versions. Targets of barred versions are left out where there are others. Targets of
// versions that the choice does not allow are kept; when it allows none, the other choice is made,
// since an attempt is better than a refusal.
func (v *versionView) place(call *mesh.Call, attempts int, all []mesh.Endpoint) (choice mesh.VersionChoice, endpoints []mesh.Endpoint) {
	r := v.rule(call.TargetService())
	choice = r.choose(call, attempts)
	endpoints = slices.Clone(all)
	for i := range endpoints {
		endpoints[i].Target.Version = v.version(&endpoints[i])
	}
	isBarred := func(e mesh.Endpoint) bool { return slices.Contains(r.barred, e.Target.Version) }
	if allowed := slices.DeleteFunc(slices.Clone(endpoints), isBarred); len(allowed) > 0 {
		endpoints = allowed
	}
	if !slices.ContainsFunc(endpoints, func(e mesh.Endpoint) bool { return choice.Allows(e.Target.Version) }) {
		choice.New = !choice.New
	}
	return choice, endpoints
}

// admit returns the refusal of a call that the target of this host may not run; choice is that of
// its sender. A host that has not heard of an order, of its stage or of the target's version then
// does not expose callers to the new version, nor does it keep the old one busy once the new one
// gets all requests. The service has a rule.
func (v *versionView) admit(f *fleet.View, target *mesh.Target, choice mesh.VersionChoice) (refusal *mesh.Refusal) {
	r, allowed := v.rule(target.Service), true
	switch {
	case slices.Contains(r.barred, target.Version):
		allowed = !v.hasOthers(f, target.Service, r)
	case r.to == "":
	case r.share == 1:
		allowed = target.Version == r.to || target.Version == ""
	case target.Version == r.to:
		allowed = choice.New && choice.To == r.to
	case target.Version == "":
		allowed = choice.To != ""
	}
	if allowed {
		return nil
	}
	return mesh.NotRun(header.TargetDraining, "version %q of service %q takes no such requests during the roll-out to version %q", target.Version, target.Service, r.to)
}

// hasOthers reports whether a service has targets whose version is not barred.
func (v *versionView) hasOthers(f *fleet.View, service mesh.ServiceName, r *versionRule) bool {
	return slices.ContainsFunc(f.Targets[service], func(e mesh.Endpoint) bool { return !slices.Contains(r.barred, v.version(&e)) })
}
