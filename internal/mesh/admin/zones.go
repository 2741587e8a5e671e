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

	// maxZones is the maximum number of zone rows to read.
	maxZones = 1000

	// awaitInterval is the interval at which AwaitRollout reads the zone rows.
	awaitInterval = 500 * time.Millisecond
)

// ZoneKey returns the key of a zone's row.
func ZoneKey(zone mesh.ZoneName) (key string) { return zonePrefix + string(zone) }

// ZoneReport is the content of a zone's row: the state of the rollout in the zone,
// as last written by one of its pollers.
type ZoneReport struct {
	Zone mesh.ZoneName `json:"zone"`

	// Newest is the newest version known to the writer.
	Newest uint64 `json:"newest"`

	// InForce is the lowest version in force on any live host of the zone; 0 when a
	// live host has not acknowledged any version yet.
	InForce uint64 `json:"in-force"`

	// Hosts is the number of live hosts.
	Hosts int `json:"hosts"`

	// Pending is the number of live hosts that do not have Newest in force;
	// PendingHosts lists some of them.
	Pending      int              `json:"pending"`
	PendingHosts []netip.AddrPort `json:"pending-hosts,omitempty"`

	// Suspect is the number of suspect hosts, whose version is not known.
	Suspect int `json:"silent"`

	// Targets is the number of targets that accept requests, by service.
	Targets map[mesh.ServiceName]int `json:"targets,omitempty"`

	// At is the time at which the row was written, on the clock of the writer By.
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
		return nil, fmt.Errorf("read the zone reports: %w", err)
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

// Progress is the progress of the rollout of a version.
type Progress struct {
	Version uint64
	Zones   []ZoneProgress
}

// ZoneProgress is the progress of the rollout of a version in one zone.
type ZoneProgress struct {
	Zone mesh.ZoneName

	// Reported is false when the zone has no report.
	Reported bool
	Report   ZoneReport

	// InForce is true when the version or a later one is in force on all live hosts
	// of the zone. Otherwise, the rollout is pending.
	InForce bool
}

// Pending reports whether the rollout is pending in at least one zone. It is also
// true when there are no zones, because nothing is known to be in force then.
func (p Progress) Pending() (pending bool) {
	return len(p.Zones) == 0 || slices.ContainsFunc(p.Zones, func(z ZoneProgress) bool { return !z.InForce })
}

// NewProgress returns the progress of the rollout of a version according to the zone
// reports. A zone of the settings tree without a report is pending, because its
// hosts may be cut off from the platform.
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

// AwaitRollout waits until a version is in force in all zones, at most for wait, and
// returns the progress. An error means that the last read from the platform failed;
// the progress is then that of the last successful read.
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

// ReadProgress returns the progress of the rollout of a version.
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

// dropRemoved deletes the reports of zones that are no longer in the tree and have
// not reported for longer than key-grace. Hosts that still run in such a zone
// without a connection to the platform reject requests with API keys by then.
func dropRemoved(now time.Time, reports map[mesh.ZoneName]ZoneReport, x *tree.Index) {
	for name, r := range reports {
		if _, found := x.Zones[name]; !found && now.Sub(r.At) > x.Fleet.KeyGrace {
			delete(reports, name)
		}
	}
}

// newestIndex returns the index of the newest settings tree, without the settings
// of any zone.
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
