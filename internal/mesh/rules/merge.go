package rules

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// CarryTime is how long settings of an earlier era stay in force while the store lacks them. A zone
// that stays out too long costs room, which a fleet can bear for one zone; one that is used too early
// breaks a promise. So the time is generous to operators who write their settings again by hand.
const CarryTime = time.Minute

// Merge returns the configuration in force after next was received from the store or from another
// host. The version of the rules never decreases; the zones and the orders come from the later state
// of the store. Those that are in force when a later era begins and that the store lacks are carried.
func Merge(now time.Time, current, next mesh.FleetConfig) (merged mesh.FleetConfig, changed bool) {
	merged = current
	if replacesRules(&current, &next) {
		merged.Rules, merged.RulesText, changed = next.Rules, next.RulesText, true
	}
	stored := &current
	switch {
	case next.AsOf.After(current.AsOf):
		stored = &next
	case next.AsOf.Era == current.AsOf.Era && current.Carried.Until.IsZero() && next.Carried.Pending():
		// This host has started since the store came back, and the other one knows what it lacks.
	default:
		return merged, changed
	}
	merged.AsOf = stored.AsOf
	merged.Carried = carry(now, &current, &next, stored)
	merged.ZonesOut = slices.Concat(storedZones(stored), merged.Carried.ZonesOut)
	slices.Sort(merged.ZonesOut)
	merged.Orders = slices.Concat(storedOrders(stored), merged.Carried.Orders)
	sortOrders(merged.Orders)
	changed = changed || !slices.Equal(merged.ZonesOut, current.ZonesOut) || !slices.Equal(merged.Orders, current.Orders)
	return merged, changed
}

// Expire returns the configuration without the carried settings if their time is over.
func Expire(now time.Time, current mesh.FleetConfig) (next mesh.FleetConfig, changed bool) {
	if !current.Carried.Pending() || now.Before(current.Carried.Until) {
		return current, false
	}
	next = current
	next.ZonesOut, next.Orders = storedZones(&current), storedOrders(&current)
	next.Carried = mesh.Carried{Until: current.Carried.Until}
	return next, true
}

// replacesRules reports whether the rules of next take the place of the current ones. Operators who
// write lost rules again may write others under the same version.
func replacesRules(current, next *mesh.FleetConfig) bool {
	switch {
	case next.Rules == nil || current.Rules == nil:
		return next.Rules != nil
	case next.Rules.Version != current.Rules.Version:
		return next.Rules.Version > current.Rules.Version
	default:
		return next.AsOf.After(current.AsOf) && !bytes.Equal(next.RulesText, current.RulesText)
	}
}

// carry returns the settings that one of the two configurations holds and the state of stored lacks.
func carry(now time.Time, current, next, stored *mesh.FleetConfig) (c mesh.Carried) {
	known := current.Carried
	if next.AsOf.Era > current.AsOf.Era && current.AsOf != (mesh.StoreVersion{}) {
		known = mesh.Carried{Until: now.Add(CarryTime), ZonesOut: current.ZonesOut, Orders: current.Orders}
	}
	c.Until = known.Until
	if next.Carried.Until.After(c.Until) {
		c.Until = next.Carried.Until
	}
	if !now.Before(c.Until) {
		return c
	}
	zones, orders := storedZones(stored), storedOrders(stored)
	for _, z := range slices.Concat(known.ZonesOut, next.Carried.ZonesOut) {
		if !slices.Contains(zones, z) && !slices.Contains(c.ZonesOut, z) {
			c.ZonesOut = append(c.ZonesOut, z)
		}
	}
	for _, o := range slices.Concat(known.Orders, next.Carried.Orders) {
		if !ordered(orders, o.Service) && !ordered(c.Orders, o.Service) {
			c.Orders = append(c.Orders, o)
		}
	}
	slices.Sort(c.ZonesOut)
	sortOrders(c.Orders)
	return c
}

// storedZones returns the zones that are out by the rows of the store.
func storedZones(c *mesh.FleetConfig) (zones []mesh.ZoneName) {
	return slices.DeleteFunc(slices.Clone(c.ZonesOut), func(z mesh.ZoneName) bool { return slices.Contains(c.Carried.ZonesOut, z) })
}

// storedOrders returns the orders in the rows of the store.
func storedOrders(c *mesh.FleetConfig) (orders []mesh.RolloutOrder) {
	return slices.DeleteFunc(slices.Clone(c.Orders), func(o mesh.RolloutOrder) bool { return ordered(c.Carried.Orders, o.Service) })
}

func ordered(orders []mesh.RolloutOrder, service mesh.ServiceName) bool {
	return slices.ContainsFunc(orders, func(o mesh.RolloutOrder) bool { return o.Service == service })
}

func sortOrders(orders []mesh.RolloutOrder) {
	slices.SortFunc(orders, func(a, b mesh.RolloutOrder) int { return strings.Compare(string(a.Service), string(b.Service)) })
}
