package node

import (
	"context"
	"encoding/json"
	"errors"
	"iter"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	// headTimeout bounds a read of the head, so that one that hangs does not
	// hold up the jobs behind it for long. A platform that takes a second for
	// an answer must still spread a withdrawal.
	headTimeout = 2 * time.Second

	// updateTimeout bounds the reads that lead to a new version.
	updateTimeout = 5 * time.Second

	// rowWait is how long a node that starts does not write the row of its
	// zone. Its roster does not hold all hosts yet, so it could report a
	// version as in force everywhere that others wait for.
	rowWait = 5 * time.Second

	// rowRefresh is how often the row of a zone is written without a change,
	// so that a late write of a former writer does not stay.
	rowRefresh = time.Minute

	// namedHosts is how many pending hosts a row names.
	namedHosts = 20
)

// polled says that a read of the head is over.
type polled struct{}

// EventName implements mesh.Event.
func (polled) EventName() string { return "polled" }

// readHead asks the platform for the newest version.
type readHead struct{ events *ring.Ring }

// EventName implements mesh.Event.
func (readHead) EventName() string { return "read-head" }

// Do implements platformJob.
func (j readHead) Do(ctx context.Context, platform mesh.Platform) {
	reading, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	asked := time.Now()
	row, found, err := platform.Read(reading, admin.HeadKey)
	var head admin.Head
	if err == nil && found && json.Unmarshal(row.Value, &head) == nil {
		j.events.Offer(config.VersionSeen{Version: head.Version, Confirmed: asked})
	}
	// The ring may be full of what peers report; the end of a poll must not
	// get lost, or this node would never poll again.
	_ = j.events.Send(ctx, polled{})
}

// readUpdate fetches what leads to the newest version from the platform.
type readUpdate struct {
	duty *configDuty
	have uint64
}

// EventName implements mesh.Event.
func (readUpdate) EventName() string { return "read-update" }

// Do implements platformJob.
func (j readUpdate) Do(ctx context.Context, platform mesh.Platform) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	asked := time.Now()
	update, err := j.read(ctx, platform)
	if err != nil {
		j.duty.log.Warnf("the newest version could not be read: %v.", err)
		j.duty.events.Offer(config.FetchFailed{})
		return
	}
	update.ConfirmedAge = 1
	j.duty.offerUpdate(update, asked)
}

func (j readUpdate) read(ctx context.Context, platform mesh.Platform) (u *wire.Update, err error) {
	u = new(wire.Update)
	head, err := admin.ReadHead(ctx, platform)
	if err != nil {
		return nil, err
	}
	if j.have > 0 && head.Version == j.have+1 {
		change, err := admin.ReadChange(ctx, platform, head)
		if err == nil {
			u.Changes = []*wire.Change{change}
			return u, nil
		}
		if !errors.Is(err, mesh.ErrObjectNotFound) {
			return nil, err
		}
	}
	u.Snapshot, err = platform.Get(ctx, head.SnapshotObject())
	return u, err
}

// zoneRow is what this node wrote about its zone.
type zoneRow struct {
	// last is the row as it was written last, without its time.
	last string
	at   time.Time

	// writing is true while a write is on its way.
	writing bool
}

func (r *zoneRow) written(e rowWritten) {
	r.writing = false
	if e.err == nil {
		r.last, r.at = e.text, e.at
	}
}

// rowWritten says how a write of the zone's row ended.
type rowWritten struct {
	text string
	at   time.Time
	err  error
}

// EventName implements mesh.Event.
func (rowWritten) EventName() string { return "row-written" }

// writeRow writes the row of this zone if this node is the first of its
// pollers and the row changed.
func (d *configDuty) writeRow(now time.Time) {
	pollers := d.zoneCollectors().Pollers()
	if len(pollers) == 0 || pollers[0] != d.self || d.row.writing || now.Sub(d.started) < rowWait {
		return
	}
	report := d.zoneReport()
	text, err := json.Marshal(report)
	if err != nil || string(text) == d.row.last && now.Sub(d.row.at) < rowRefresh {
		return
	}
	report.At = now
	d.row.writing = d.records.jobs.Offer(writeRow{events: d.events, report: report, text: string(text)})
}

// zoneReport returns what is known about this zone, without a time.
func (d *configDuty) zoneReport() (r admin.ZoneReport) {
	view := d.roster.View()
	newest := d.state.Newest()
	c := d.acks.Rollout(d.zone, newest, view.Hosts)
	return admin.ZoneReport{
		Zone: d.zone, Newest: newest, InForce: c.InForce, Hosts: c.Hosts,
		Pending: len(c.Pending), PendingHosts: c.Pending[:min(namedHosts, len(c.Pending))],
		Suspect: c.Suspect, Targets: countTargets(d.zone, view.Hosts), By: d.self,
	}
}

func countTargets(zone mesh.ZoneName, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (targets map[mesh.ServiceName]int) {
	targets = make(map[mesh.ServiceName]int)
	for _, h := range hosts {
		if h.Zone != zone || h.State != mesh.HostAlive {
			continue
		}
		for _, t := range h.Targets {
			if !t.Draining {
				targets[t.Service]++
			}
		}
	}
	return targets
}

// writeRow writes the row of a zone.
type writeRow struct {
	events *ring.Ring
	report admin.ZoneReport
	text   string
}

// EventName implements mesh.Event.
func (writeRow) EventName() string { return "write-row" }

// Do implements platformJob.
func (j writeRow) Do(ctx context.Context, platform mesh.Platform) {
	value, err := json.Marshal(j.report)
	if err == nil {
		err = platform.Commit(ctx, []mesh.Write{{Key: admin.ZoneKey(j.report.Zone), Value: value}})
	}
	_ = j.events.Send(ctx, rowWritten{text: j.text, at: j.report.At, err: err})
}
