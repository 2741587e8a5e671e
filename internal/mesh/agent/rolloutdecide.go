package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/canary"
)

// deciders returns the hosts that hear from all others about the roll-out of a service; the first one
// decides. Hosts that hear of different hosts may name different ones.
func (d *rolloutDuty) deciders(service mesh.ServiceName) (addrs []netip.AddrPort) {
	view := d.member.View()
	if view != d.rankedView {
		d.ranked, d.rankedView = make(map[mesh.ServiceName][]netip.AddrPort), view
	}
	addrs, found := d.ranked[service]
	if !found {
		ranked := view.Ranked("rollout/" + string(service))
		addrs = ranked[:min(rolloutDeciders, len(ranked))]
		d.ranked[service] = addrs
	}
	return addrs
}

// decide decides on the next step, if this host is the one that does.
func (d *rolloutDuty) decide(now time.Time, service mesh.ServiceName, r *rollout) {
	if deciders := d.deciders(service); len(deciders) == 0 || deciders[0] != d.self.Addr || now.Sub(d.started) < rolloutWarmUp {
		return
	}
	if now.Sub(d.readAt) >= rolloutReadInterval && d.store.events.Offer(readRequest{}) {
		d.readAt = now
	}
	if r.writing || now.Before(r.retryAt) {
		return
	}
	next, changed := r.Next(now, d.fleet(now, service, r))
	switch {
	case changed:
	case now.Before(r.rewriteUntil):
		next = *r.Record()
	default:
		return
	}
	last := r.stored
	if record := r.Record(); record != nil && (last == nil || record.Supersedes(last)) {
		last = record
	}
	r.writing = d.store.events.Offer(advanceRequest{last: last, next: next})
}

// fleet returns the targets of a service as far as their hosts are heard.
func (d *rolloutDuty) fleet(now time.Time, service mesh.ServiceName, r *rollout) (f canary.Fleet) {
	view, own := d.member.View(), rolloutHost{steps: make(map[mesh.ServiceName]canary.Stage)}
	if t := d.gate.current.Load(); t != nil {
		own.targets = []beat.TargetVersion{{Name: t.Name, Running: d.gate.Occupied()}}
	}
	if record := r.Record(); record != nil {
		own.steps[service] = canary.Stage{Revision: record.Order.Revision, Step: record.Step}
	}
	f.Targets = d.targets(now, view.Self, &own, r.Order())
	for addr, host := range view.Peers {
		reported := d.hosts[addr]
		f.Targets = append(f.Targets, d.targets(now, host, &reported, r.Order())...)
	}
	d.addFaults(&f, service, r)
	f.Unheard = view.Unheard()
	f.ServiceKnown = len(f.Targets) > 0 || d.config != nil && d.config.index != nil && d.config.index.Knows(service)
	return f
}

// targets returns the targets of a host that run the service of an order. Those of the new version
// that get no requests are left out.
func (d *rolloutDuty) targets(now time.Time, host mesh.Host, reported *rolloutHost, o mesh.RolloutOrder) (targets []canary.Target) {
	out := host.State != mesh.HostAlive || d.config != nil && slices.Contains(d.config.ZonesOut, host.Zone)
	for _, t := range host.Targets {
		version := d.View().version(&mesh.Endpoint{Host: host.Addr, Target: t})
		if t.Service != o.Service || version == o.To && (out || t.Draining) {
			continue
		}
		target := canary.Target{Version: version, Slots: t.Slots, Cold: t.ColdUntil.After(now), Running: reported.running(t.Name)}
		if s := reported.steps[o.Service]; s.Revision == o.Revision {
			target.Step = s.Step
		}
		targets = append(targets, target)
	}
	return targets
}

// running returns the number of requests at a target.
func (h *rolloutHost) running(target string) (requests int) {
	for _, t := range h.targets {
		if t.Name == target {
			return t.Running
		}
	}
	return 0
}

// finishAdvance handles the result of a write. After an error the record may have been stored; the
// next try finds it then.
func (d *rolloutDuty) finishAdvance(now time.Time, e advanced) {
	r := d.rollouts[e.next.Order.Service]
	if r == nil {
		return
	}
	r.writing = false
	if e.err != nil {
		if r.retryAt.IsZero() {
			d.log.Warnf("storing step %d of a roll-out failed; trying again: %v.", e.next.Step, e.err)
		}
		r.retryAt = now.Add(rolloutRetryInterval)
		return
	}
	r.stored, r.retryAt, r.rewriteUntil = &e.stored, time.Time{}, time.Time{}
	if d.adopt(now, e.stored) {
		d.publish(now)
		d.send(now, d.peers())
	}
}

// adoptStored handles the stored records.
func (d *rolloutDuty) adoptStored(now time.Time, e rolloutsRead) {
	if e.err != nil {
		d.log.Warnf("reading the progress of roll-outs failed: %v.", e.err)
		return
	}
	news := false
	for _, record := range e.stored {
		r := d.rollouts[record.Order.Service]
		if r == nil {
			// The roll-out belongs to an order that was removed before this host started.
			continue
		}
		r.stored = &record
		news = d.adopt(now, record) || news
	}
	if news {
		d.publish(now)
		d.send(now, d.peers())
	}
}
