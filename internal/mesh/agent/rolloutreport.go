package agent

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/canary"
)

// forgetSilent forgets the versions of the targets of silent hosts, which may be gone for good.
func (d *rolloutDuty) forgetSilent() {
	peers := d.member.View().Peers
	maps.DeleteFunc(d.versions, func(k targetKey, _ mesh.VersionName) bool { _, found := peers[k.host]; return !found })
}

// receive takes over the report of another host.
func (d *rolloutDuty) receive(now time.Time, report *beat.RolloutReport) {
	if d.bounds.Share == 0 || d.store == nil {
		return
	}
	changed := false
	for _, t := range report.Targets {
		key := targetKey{host: report.From, name: t.Name}
		if t.Version != "" && d.versions[key] != t.Version {
			d.versions[key], changed = t.Version, true
		}
	}
	h := rolloutHost{targets: report.Targets, steps: make(map[mesh.ServiceName]canary.Stage, len(report.Rollouts))}
	for _, r := range report.Rollouts {
		h.steps[r.Order.Service] = canary.Stage{Revision: r.Order.Revision, Step: r.Step}
		changed = d.adopt(now, r) || changed
	}
	d.hosts[report.From] = h
	d.forgetFaults(report.From, report.Incarnation)
	d.ledger.Apply(report.From, report.Incarnation, report.Tallies)
	if changed {
		d.publish(now)
	}
	d.replyIfBehind(now, report.From, h)
}

// replyIfBehind sends the records of this host to one that has older ones or none, such as one that
// has just started. Only deciding hosts do, so that it gets few replies.
func (d *rolloutDuty) replyIfBehind(now time.Time, to netip.AddrPort, h rolloutHost) {
	if now.Sub(d.repliedAt[to]) < rolloutReplyInterval {
		return
	}
	for service, r := range d.rollouts {
		record, s := r.Record(), h.steps[service]
		if record == nil || s.Revision.After(record.Order.Revision) || s.Revision == record.Order.Revision && s.Step >= record.Step {
			continue
		}
		if slices.Contains(d.deciders(service), d.self.Addr) {
			d.repliedAt[to] = now
			d.send(now, []netip.AddrPort{to})
			return
		}
	}
}

// prune forgets what silent hosts reported, except for the versions of their targets, and the
// versions of targets that are gone. The counts stay: those of a later order go on from them.
func (d *rolloutDuty) prune() {
	peers := d.member.View().Peers
	silent := func(addr netip.AddrPort) bool { _, found := peers[addr]; return !found }
	maps.DeleteFunc(d.hosts, func(addr netip.AddrPort, _ rolloutHost) bool { return silent(addr) })
	maps.DeleteFunc(d.faults, func(k faultKey, _ *beat.Fault) bool { return silent(k.host) })
	maps.DeleteFunc(d.repliedAt, func(addr netip.AddrPort, _ time.Time) bool { return silent(addr) })
	maps.DeleteFunc(d.versions, func(k targetKey, _ mesh.VersionName) bool {
		return !silent(k.host) && !slices.ContainsFunc(peers[k.host].Targets, func(t mesh.Target) bool { return t.Name == k.name })
	})
}

// publishVars publishes the state of the roll-outs as metrics.
func (d *rolloutDuty) publishVars(now time.Time) {
	vars := make(map[string]any, len(d.rollouts))
	for service, r := range d.rollouts {
		entry := map[string]any{"to": r.Order().To, "share": r.Share(now), "fault": r.Fault(), "own": d.ownCounts(service)}
		entry["sent-to-new"], entry["sent"] = r.Exposure()
		if record := r.Record(); record != nil {
			entry["state"], entry["step"], entry["reason"] = record.State.String(), record.Step, record.Reason
		}
		vars[string(service)] = entry
	}
	d.vars.Store(&vars)
}

// ownCounts returns the requests that this host has sent to a service, by version.
func (d *rolloutDuty) ownCounts(service mesh.ServiceName) (counts map[mesh.VersionName]map[string]uint64) {
	counts = make(map[mesh.VersionName]map[string]uint64)
	for key, t := range d.tallies {
		if key.service != service {
			continue
		}
		if counts[key.version] == nil {
			counts[key.version] = make(map[string]uint64)
		}
		counts[key.version]["sent"] += t.Sent
		counts[key.version]["answers"] += t.Answers
		counts[key.version]["failures"] += t.Failures
	}
	return counts
}

func (d *rolloutDuty) peers() (addrs []netip.AddrPort) {
	return slices.Collect(maps.Keys(d.member.View().Peers))
}

// ownVersion returns the version of the target of this host; empty when it is not known.
func (d *rolloutDuty) ownVersion() (v mesh.VersionName) {
	if own := d.gate.current.Load(); own != nil {
		return own.Version
	}
	return ""
}

// sendDue sends the reports that are due: to all hosts, and more often to the deciding ones, most
// often while the new version gets all requests. No host sends requests to a target of the new
// version before it has heard of its version, so that is sent at once.
func (d *rolloutDuty) sendDue(now time.Time) {
	peers, interval := d.peers(), rolloutSpreadInterval
	for service := range d.rollouts {
		if slices.Contains(d.deciders(service), d.self.Addr) {
			interval = rolloutReportInterval
		}
	}
	version := d.ownVersion()
	if version != d.sentVersion || now.Sub(d.lastSent) >= max(interval, time.Duration(len(peers))*rolloutReportPerHost)-rolloutTick/2 {
		d.lastSent, d.lastUrgent, d.sentVersion = now, now, version
		d.prune()
		d.send(now, peers)
		d.sendFaults()
		return
	}
	var urgent []netip.AddrPort
	due := now.Sub(d.lastUrgent) >= rolloutReportInterval-rolloutTick/2
	for service, r := range d.rollouts {
		if due || !r.Ended() && r.Share(now) == 1 {
			urgent = append(urgent, d.deciders(service)...)
		}
	}
	if due {
		d.lastUrgent = now
		d.sendFaults()
	}
	slices.SortFunc(urgent, netip.AddrPort.Compare)
	d.send(now, slices.DeleteFunc(slices.Compact(urgent), func(a netip.AddrPort) bool { return a == d.self.Addr }))
}

// send sends the report of this host. A failed send is treated like a lost datagram, which the next
// report replaces.
func (d *rolloutDuty) send(now time.Time, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	data, err := beat.EncodeRollout(d.report(now))
	if err != nil {
		d.log.Errorf("encoding a report on roll-outs failed: %v.", err)
		return
	}
	for _, addr := range to {
		d.transmitTo(data, addr)
	}
}

// transmitTo sends a datagram and logs the first of several failures.
func (d *rolloutDuty) transmitTo(data []byte, addr netip.AddrPort) {
	err := d.transmit(data, addr)
	if err != nil && !d.sendFailing {
		d.log.Warnf("sending a report on roll-outs to %v failed: %v.", addr, err)
	}
	d.sendFailing = err != nil
	d.reports.Add(1)
}

// report returns what this host knows and sees. The counts of roll-outs that have ended are left
// out, and of their records only the latest are sent. Records of running ones carry the time from
// the order until now, so that a host that has just started knows it.
func (d *rolloutDuty) report(now time.Time) (r *beat.RolloutReport) {
	r = &beat.RolloutReport{From: d.self.Addr, Incarnation: d.self.Incarnation}
	if own := d.gate.current.Load(); own != nil && own.Name != "" {
		r.Targets = append(r.Targets, beat.TargetVersion{Addr: own.Addr, Name: own.Name, Service: own.Service, Version: own.Version, Running: d.gate.Occupied()})
	}
	for _, t := range d.tallies {
		if !d.rollouts[t.Service].Ended() {
			r.Tallies = append(r.Tallies, *t)
		}
	}
	for _, rollout := range d.latest() {
		record := *rollout.Record()
		if !rollout.Ended() {
			record.Elapsed = rollout.Elapsed(now)
		}
		record.Reason = strings.ToValidUTF8(record.Reason[:min(maxReportedReason, len(record.Reason))], "")
		r.Rollouts = append(r.Rollouts, record)
	}
	return r
}

// latest returns the roll-outs with a record, those that run first and then the latest, at most
// maxReportedRollouts.
func (d *rolloutDuty) latest() (rollouts []*rollout) {
	for _, r := range d.rollouts {
		if r.Record() != nil {
			rollouts = append(rollouts, r)
		}
	}
	slices.SortFunc(rollouts, func(a, b *rollout) int {
		if a.Ended() != b.Ended() {
			if a.Ended() {
				return 1
			}
			return -1
		}
		return b.Order().Revision.Compare(a.Order().Revision)
	})
	return rollouts[:min(maxReportedRollouts, len(rollouts))]
}
