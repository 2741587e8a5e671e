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
	// headTimeout limits a read of the head, so that a read that hangs does not delay
	// the queued jobs for long. It is above 1 s, since the withdrawal of a key must
	// also spread while the platform takes a second to answer.
	headTimeout = 2 * time.Second

	// updateTimeout limits all reads for one new version together.
	updateTimeout = 5 * time.Second

	// firstRowDelay is the time after its start in which a node does not write the row
	// of its zone. Its roster does not contain all hosts yet, so it could report a
	// version as in force everywhere that is still pending at some hosts.
	firstRowDelay = 5 * time.Second

	// rowRefreshInterval is how often the row of a zone is written without a change,
	// so that a delayed write of a previous writer is overwritten.
	rowRefreshInterval = time.Minute

	// maxPendingHosts is the maximum number of pending hosts that a row lists.
	maxPendingHosts = 20
)

// polled reports that a read of the head has ended, with or without a result.
type polled struct{}

// EventName implements mesh.Event.
func (polled) EventName() string { return "polled" }

// readHead is a job that reads the newest version number from the platform.
type readHead struct{ events *ring.Ring }

// EventName implements mesh.Event.
func (readHead) EventName() string { return "read-head" }

// Do implements platformJob.
func (j readHead) Do(ctx context.Context, platform mesh.Platform) {
	reading, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	requestedAt := time.Now()
	row, found, err := platform.Read(reading, admin.HeadKey)
	var head admin.Head
	if err == nil && found && json.Unmarshal(row.Value, &head) == nil {
		j.events.Offer(config.VersionSeen{Version: head.Version, Confirmed: requestedAt})
	}
	// The queue may be full of reports of peers. The end of a poll must not be
	// dropped, or this node would never poll again, so Send blocks.
	_ = j.events.Send(ctx, polled{})
}

// readUpdate is a job that reads the newest version from the platform, as a change if
// it directly follows version base.
type readUpdate struct {
	duty *configDuty
	base uint64
}

// EventName implements mesh.Event.
func (readUpdate) EventName() string { return "read-update" }

// Do implements platformJob.
func (j readUpdate) Do(ctx context.Context, platform mesh.Platform) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	requestedAt := time.Now()
	update, err := j.read(ctx, platform)
	if err != nil {
		j.duty.log.Warnf("reading the newest version from the platform failed: %v.", err)
		j.duty.events.Offer(config.FetchFailed{})
		return
	}
	update.ConfirmedAge = 1
	j.duty.offerUpdate(update, requestedAt)
}

func (j readUpdate) read(ctx context.Context, platform mesh.Platform) (u *wire.Update, err error) {
	u = new(wire.Update)
	head, err := admin.ReadHead(ctx, platform)
	if err != nil {
		return nil, err
	}
	if j.base > 0 && head.Version == j.base+1 {
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

// zoneRow is the state of this node's writes to the row of its zone.
type zoneRow struct {
	// lastText is the row that was last written, without its time.
	lastText  string
	writtenAt time.Time

	// writing is true while a write is pending.
	writing bool
}

func (r *zoneRow) recordWrite(e rowWritten) {
	r.writing = false
	if e.err == nil {
		r.lastText, r.writtenAt = e.text, e.at
	}
}

// rowWritten carries the result of a write of the zone's row.
type rowWritten struct {
	text string
	at   time.Time
	err  error
}

// EventName implements mesh.Event.
func (rowWritten) EventName() string { return "row-written" }

// writeRow queues a write of the row of this zone if this node is the zone's first
// poller and the row has changed or is due for a refresh.
func (d *configDuty) writeRow(now time.Time) {
	pollers := d.zoneCollectors().Pollers()
	if len(pollers) == 0 || pollers[0] != d.self || d.row.writing || now.Sub(d.started) < firstRowDelay {
		return
	}
	report := d.zoneReport()
	text, err := json.Marshal(report)
	if err != nil || string(text) == d.row.lastText && now.Sub(d.row.writtenAt) < rowRefreshInterval {
		return
	}
	report.At = now
	d.row.writing = d.records.jobs.Offer(writeRow{events: d.events, report: report, text: string(text)})
}

// zoneReport returns the progress of the newest version in this zone, without a time.
func (d *configDuty) zoneReport() (r admin.ZoneReport) {
	view := d.roster.View()
	newest := d.state.Newest()
	c := d.acks.Rollout(d.zone, newest, view.Hosts)
	return admin.ZoneReport{
		Zone: d.zone, Newest: newest, InForce: c.InForce, Hosts: c.Hosts,
		Pending: len(c.Pending), PendingHosts: c.Pending[:min(maxPendingHosts, len(c.Pending))],
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

// writeRow is a job that writes the row of a zone.
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
