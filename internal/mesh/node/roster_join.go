package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
)

const (
	// hostsPrefix is the key prefix of the platform rows of hosts.
	hostsPrefix = "hosts/"

	// maxHostRowAge is the age above which the row of a host is assumed to be stale,
	// left by a host that was killed. Hosts refresh their rows every ten minutes.
	maxHostRowAge = 30 * time.Minute

	// hostPageSize and maxHostPages limit the rows that one attempt to join reads.
	hostPageSize = 64
	maxHostPages = 4
)

// hostRecord is the value of the platform row of a host.
type hostRecord struct {
	Incarnation mesh.Incarnation `json:"incarnation"`
	Written     time.Time        `json:"written"`
}

func zoneHostsPrefix(zone mesh.ZoneName) (prefix string) { return hostsPrefix + string(zone) + "/" }

func hostKey(h mesh.Host) (key string) { return zoneHostsPrefix(h.Zone) + h.Addr.String() }

// postPlatformJob queues the platform job for an action.
func (d *rosterDuty) postPlatformJob(a roster.Action) {
	switch a := a.(type) {
	case roster.Discover:
		d.platform.jobs.Offer(readHosts{events: d.events, self: d.self, zone: d.zone})
	case roster.Register:
		if !d.platform.jobs.Offer(writeHost{events: d.events, host: a.Host}) {
			d.step(roster.Registered{})
		}
	case roster.Deregister:
		if d.platform.jobs.Offer(eraseHost{events: d.events, host: a.Host, leaving: d.isLeaving()}) {
			d.addLeaveMessage()
		}
	}
}

// readHosts is a job that reads from the platform which hosts to join through: those of
// the own zone, or of any zone if there are none.
type readHosts struct {
	events *ring.Ring
	self   netip.AddrPort
	zone   mesh.ZoneName
}

// EventName implements mesh.Event.
func (readHosts) EventName() string { return "read-hosts" }

// Do implements platformJob.
func (j readHosts) Do(ctx context.Context, platform mesh.Platform) {
	peers, err := j.list(ctx, platform, zoneHostsPrefix(j.zone))
	if err == nil && len(peers) == 0 {
		peers, err = j.list(ctx, platform, hostsPrefix)
	}
	j.events.Offer(roster.Discovered{Peers: peers, Success: err == nil})
}

// list returns the other hosts whose rows are at most maxHostRowAge old. It stops at the first
// page that has any.
func (j readHosts) list(ctx context.Context, platform mesh.Platform, prefix string) (peers []netip.AddrPort, err error) {
	after := ""
	for range maxHostPages {
		rows, err := platform.List(ctx, prefix, after, hostPageSize)
		if err != nil {
			return peers, err
		}
		for _, r := range rows {
			after = r.Key
			if addr, fresh := freshHost(r, time.Now()); fresh && addr != j.self {
				peers = append(peers, addr)
			}
		}
		if len(peers) > 0 || len(rows) < hostPageSize {
			return peers, nil
		}
	}
	return peers, nil
}

func freshHost(r mesh.Row, now time.Time) (addr netip.AddrPort, fresh bool) {
	var record hostRecord
	if err := json.Unmarshal(r.Value, &record); err != nil || now.Sub(record.Written) > maxHostRowAge {
		return addr, false
	}
	addr, err := netip.ParseAddrPort(r.Key[strings.LastIndexByte(r.Key, '/')+1:])
	return addr, err == nil
}

// writeHost is a job that writes the platform row of this host. The write is
// idempotent, so it is retried when its answer is lost.
type writeHost struct {
	events *ring.Ring
	host   mesh.Host
}

// EventName implements mesh.Event.
func (writeHost) EventName() string { return "write-host" }

// Do implements platformJob.
func (j writeHost) Do(ctx context.Context, platform mesh.Platform) {
	value, err := json.Marshal(hostRecord{Incarnation: j.host.Incarnation, Written: time.Now()})
	if err == nil {
		err = platform.Commit(ctx, []mesh.Write{{Key: hostKey(j.host), Value: value}})
	}
	j.events.Offer(roster.Registered{Success: err == nil})
}

// eraseHost is a job that deletes the platform row of a host. The delete is conditional
// on the version that was read, so it never deletes the row of a later incarnation, not
// even when it arrives late. A row that is not deleted is ignored once it is stale.
type eraseHost struct {
	events *ring.Ring
	host   mesh.Host

	// leaving is true for the deletion when this host leaves.
	leaving bool
}

// EventName implements mesh.Event.
func (eraseHost) EventName() string { return "erase-host" }

// Do implements platformJob.
func (j eraseHost) Do(ctx context.Context, platform mesh.Platform) {
	if j.leaving {
		defer j.events.Offer(leaveMessageDone{})
	}
	row, found, err := platform.Read(ctx, hostKey(j.host))
	if err != nil || !found {
		return
	}
	var record hostRecord
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Incarnation > j.host.Incarnation {
		return
	}
	_ = platform.Commit(ctx, []mesh.Write{{Key: row.Key, Delete: true, Condition: mesh.IfVersion, Version: row.Version}})
}
