package agent

import (
	"maps"
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/canary"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
)

// faultKey identifies what a host has found about the new version of a service.
type faultKey struct {
	host    netip.AddrPort
	service mesh.ServiceName
}

// faultReported carries the fault that another host has found.
type faultReported struct{ fault *beat.Fault }

// EventName implements mesh.Event.
func (faultReported) EventName() string { return "fault-reported" }

// receiveFault takes over what another host has found. Hosts find faults at different times and
// some never do, since each compares the versions in slices of time of its own.
func (d *rolloutDuty) receiveFault(f *beat.Fault) {
	key := faultKey{host: f.From, service: f.Service}
	known := d.faults[key]
	if r := d.rollouts[f.Service]; r == nil || f.Revision != r.Order().Revision || known != nil && f.Incarnation < known.Incarnation {
		return
	}
	if known == nil || known.Incarnation != f.Incarnation || known.Revision != f.Revision {
		d.log.InfoFields("another host has found the new version bad", logs.Fields{"service": f.Service, "host": f.From.String(), "reason": f.Reason})
	}
	d.faults[key] = f
}

// forgetFaults forgets what a host found before it restarted, since it sends requests to the new
// version again.
func (d *rolloutDuty) forgetFaults(host netip.AddrPort, incarnation mesh.Incarnation) {
	maps.DeleteFunc(d.faults, func(k faultKey, f *beat.Fault) bool { return k.host == host && f.Incarnation < incarnation })
}

// addFaults adds to f what the hosts that are heard have found about the new version.
func (d *rolloutDuty) addFaults(f *canary.Fleet, service mesh.ServiceName, r *rollout) {
	all, faulted := d.ledger.SentBy(d.self.Addr, service), uint64(0)
	for addr := range d.member.View().Peers {
		sent := d.ledger.SentBy(addr, service)
		all += sent
		if fault := d.faults[faultKey{host: addr, service: service}]; fault != nil && fault.Revision == r.Order().Revision {
			faulted += sent
			f.FaultReason = fault.Reason
		}
	}
	if all > 0 {
		f.Faulted = float64(faulted) / float64(all)
	}
}

// sendFaults sends what this host has found to the hosts that decide.
func (d *rolloutDuty) sendFaults() {
	for service, r := range d.rollouts {
		if r.Fault() == "" || r.Ended() {
			continue
		}
		data, err := beat.EncodeFault(&beat.Fault{
			From: d.self.Addr, Incarnation: d.self.Incarnation, Service: service, Revision: r.Order().Revision, Reason: r.Fault(),
		})
		if err != nil {
			d.log.Errorf("encoding the fault of a new version failed: %v.", err)
			continue
		}
		for _, addr := range d.deciders(service) {
			if addr != d.self.Addr {
				d.transmitTo(data, addr)
			}
		}
	}
}
