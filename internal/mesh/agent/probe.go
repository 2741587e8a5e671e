package agent

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const (
	probeRing = 4

	// probeTimeout is the timeout of a health check of the target. The check may have to wait
	// for a free slot of the target.
	probeTimeout = 400 * time.Millisecond

	// connectionsPerSlot is the maximum number of connections that targets accept for each of
	// their slots. Dividing by it gives a safe lower bound of a target's slots.
	connectionsPerSlot = 16
)

// probeDuty checks the state of the target on this host once, when the node starts: the target's
// next report may be more than a second away, and one that arrives earlier may be late, from before
// the target reported that it leaves. When its ring is full, events are
// dropped, since one is enough.
type probeDuty struct {
	events   *ring.Ring
	settings Settings
	dialect  mesh.Dialect
	target   *link.Pool
	member   *memberDuty
	log      logs.Log
}

func newProbeDuty(vars *expvar.Map, s Settings, dialect mesh.Dialect, target *link.Pool, member *memberDuty, log logs.Log) (d *probeDuty) {
	return &probeDuty{
		events: ring.New(vars, "probe", probeRing), settings: s,
		dialect: dialect, target: target, member: member, log: log,
	}
}

// Name implements mesh.Duty.
func (d *probeDuty) Name() string { return "probe" }

// Run implements mesh.Duty.
func (d *probeDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			if o := e.(configChanged); o.index != nil {
				d.probe(ctx, o.index.Service(d.settings.Service))
				<-ctx.Done()
				return nil
			}
		}
	}
}

func (d *probeDuty) probe(ctx context.Context, service mesh.ServiceRules) {
	if service.StatusPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, _, err := d.target.Exchange(ctx, &link.Request{
		Method: http.MethodGet, Path: service.StatusPath, Host: d.settings.Target.String(),
		// The answer to a health check names no request.
		Alone: true,
	})
	if err != nil {
		d.log.Warnf("the health check of the target failed: %v.", err)
		return
	}
	defer answer.Body.Close()
	status, err := d.dialect.ParseStatus(answer.Status, answer.Header)
	if err != nil {
		d.log.Warnf("the health check has malformed headers; treating the target as cold: %v.", err)
		status.ColdRemaining = service.ColdTime
	}
	if !status.Healthy {
		d.log.Infof("the health check returned status %d; the target does not accept requests.", answer.Status)
		_ = d.member.events.Send(ctx, targetUnhealthy{name: status.Name})
		return
	}
	if d.reported() {
		return
	}
	t := mesh.Target{
		Service: d.settings.Service, Addr: d.settings.Target, Name: status.Name,
		Slots: max(1, service.Connections/connectionsPerSlot),
	}
	if status.ColdRemaining > 0 {
		t.ColdUntil = time.Now().Add(status.ColdRemaining)
	}
	if err := d.member.Announce(ctx, mesh.Announcement{Zone: d.settings.Zone, Target: t}); err != nil {
		d.log.Warnf("registering the target failed: %v.", err)
	}
}

// reported reports whether the target on this host has already sent a report.
func (d *probeDuty) reported() bool {
	for _, e := range d.member.View().Targets[d.settings.Service] {
		if e.Host == d.settings.PeerAddr {
			return true
		}
	}
	return false
}
