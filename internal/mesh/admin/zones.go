package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

const (
	zonePrefix = "zone/"

	// maxZones bounds the rows of zones that are read.
	maxZones = 1000

	// awaitInterval is how often Await reads the rows of the zones.
	awaitInterval = 500 * time.Millisecond
)

// ZoneKey names the row of a zone.
func ZoneKey(zone mesh.ZoneName) (key string) { return zonePrefix + string(zone) }

// ZoneReport is what a poller of a zone wrote about it last.
type ZoneReport struct {
	Zone mesh.ZoneName `json:"zone"`

	// Newest is the newest version that the writer knows of.
	Newest uint64 `json:"newest"`

	// InForce is in force at all live hosts of the zone; 0 when one of them
	// has not reported yet.
	InForce uint64 `json:"in-force"`

	// Hosts is the number of live hosts.
	Hosts int `json:"hosts"`

	// Pending is the number of live hosts at which Newest is not in force;
	// PendingHosts names some of them.
	Pending      int              `json:"pending"`
	PendingHosts []netip.AddrPort `json:"pending-hosts,omitempty"`

	// Suspect is the number of suspect hosts, of which nothing is known.
	Suspect int `json:"silent"`

	// Targets counts the targets that take work, by service.
	Targets map[mesh.ServiceName]int `json:"targets,omitempty"`

	// At is when the row was written, by the clock of the writer By.
	At time.Time      `json:"at"`
	By netip.AddrPort `json:"by"`
}

// Zones returns the reports of all zones, by name.
func Zones(ctx context.Context, p mesh.Platform) (reports map[mesh.ZoneName]ZoneReport, err error) {
	var rows []mesh.Row
	err = retry(ctx, func() (err error) {
		rows, err = p.List(ctx, zonePrefix, "", maxZones)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("read the reports of the zones: %w", err)
	}
	reports = make(map[mesh.ZoneName]ZoneReport)
	for _, row := range rows {
		var r ZoneReport
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		reports[mesh.ZoneName(strings.TrimPrefix(row.Key, zonePrefix))] = r
	}
	return reports, nil
}

// Progress says how far a version has come.
type Progress struct {
	Version uint64
	Zones   []ZoneProgress
}

// ZoneProgress says how far a version has come in a zone.
type ZoneProgress struct {
	Zone mesh.ZoneName

	// Reported is false when the zone has never reported.
	Reported bool
	Report   ZoneReport

	// InForce is true when the version, or a later one, is in force at all
	// live hosts of the zone. Anything else is pending.
	InForce bool
}

// Pending reports whether the version is not in force in some zone. Without any
// zone, nothing is known to be in force.
func (p Progress) Pending() (pending bool) {
	return len(p.Zones) == 0 || slices.ContainsFunc(p.Zones, func(z ZoneProgress) bool { return !z.InForce })
}

// NewProgress compares the reports of zones with a version. A zone of the tree
// without a report is pending, since its hosts may be cut off.
func NewProgress(version uint64, zones []mesh.ZoneName, reports map[mesh.ZoneName]ZoneReport) (p Progress) {
	names := slices.Clone(zones)
	for name := range reports {
		names = append(names, name)
	}
	slices.Sort(names)
	p.Version = version
	for _, name := range slices.Compact(names) {
		r, found := reports[name]
		p.Zones = append(p.Zones, ZoneProgress{
			Zone: name, Reported: found, Report: r,
			InForce: found && r.Hosts > 0 && r.InForce >= version,
		})
	}
	return p
}

// AwaitRollout waits until a version is in force in all zones, but no longer than
// wait, and returns how far it has come. An error means that the platform did
// not tell; the progress is then the last one seen.
func AwaitRollout(ctx context.Context, p mesh.Platform, version uint64, wait time.Duration) (progress Progress, err error) {
	until := time.Now().Add(wait)
	progress.Version = version
	var x *tree.Index
	for {
		if x == nil {
			x, err = newestIndex(ctx, p)
		}
		if x != nil {
			var next Progress
			if next, err = readProgress(ctx, p, version, x); err == nil {
				progress = next
			}
		}
		done := err == nil && !progress.Pending()
		if done || !time.Now().Add(awaitInterval).Before(until) || !sleep(ctx, awaitInterval) {
			return progress, err
		}
	}
}

// ReadProgress returns how far a version has come.
func ReadProgress(ctx context.Context, p mesh.Platform, version uint64) (progress Progress, err error) {
	x, err := newestIndex(ctx, p)
	if err != nil {
		return progress, err
	}
	return readProgress(ctx, p, version, x)
}

func readProgress(ctx context.Context, p mesh.Platform, version uint64, x *tree.Index) (progress Progress, err error) {
	reports, err := Zones(ctx, p)
	if err != nil {
		return progress, err
	}
	dropRemoved(time.Now(), reports, x)
	return NewProgress(version, slices.Collect(maps.Keys(x.Zones)), reports), nil
}

// dropRemoved leaves out zones that are no longer in the tree and have not
// reported for longer than key-grace. Hosts that may still run there without
// contact refuse keyed requests by then.
func dropRemoved(now time.Time, reports map[mesh.ZoneName]ZoneReport, x *tree.Index) {
	for name, r := range reports {
		if _, found := x.Zones[name]; !found && now.Sub(r.At) > x.Fleet.KeyGrace {
			delete(reports, name)
		}
	}
}

// newestIndex returns the newest settings tree as no zone in particular sees
// it.
func newestIndex(ctx context.Context, p mesh.Platform) (x *tree.Index, err error) {
	_, snapshot, err := Current(ctx, p)
	if err != nil {
		return nil, err
	}
	t, err := parse.Tree(snapshot.Text)
	if err != nil {
		return nil, err
	}
	return t.Index(""), nil
}
