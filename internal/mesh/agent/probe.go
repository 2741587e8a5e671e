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

	// probeTimeout bounds the status check of the target, which waits for a
	// slot there.
	probeTimeout = 400 * time.Millisecond

	// connectionsPerSlot is the most connections that targets accept for each
	// of their slots. It gives a number of slots that a target surely has.
	connectionsPerSlot = 16
)

// probeDuty asks the target of this host for its state once, when the node
// starts. Its next report may be more than a second away. Full ring: the news
// is dropped, since one is enough.
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
	if service.StatusPath == "" || d.reported() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, _, err := d.target.Exchange(ctx, &link.Request{Method: http.MethodGet, Path: service.StatusPath, Host: d.settings.Target.String()})
	if err != nil {
		d.log.Warnf("the target did not answer the status check: %v.", err)
		return
	}
	defer answer.Body.Close()
	status, err := d.dialect.ParseStatus(answer.Status, answer.Header)
	if err != nil {
		d.log.Warnf("the target is taken for cold: %v.", err)
		status.ColdRemaining = service.ColdTime
	}
	if !status.Healthy {
		d.log.Infof("the target takes no work by its status check (%d).", answer.Status)
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
		d.log.Warnf("the target is not known yet: %v.", err)
	}
}

// reported reports whether the target of this host has reported already.
func (d *probeDuty) reported() bool {
	for _, e := range d.member.View().Targets[d.settings.Service] {
		if e.Host == d.settings.PeerAddr {
			return true
		}
	}
	return false
}
