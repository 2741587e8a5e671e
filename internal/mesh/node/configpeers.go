package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// errBusy tells a peer to send its message again.
var errBusy = errors.New("the node has no room for the message")

// compareVersions exchanges versions with a peer.
type compareVersions struct {
	duty *configDuty
	to   netip.AddrPort
}

// EventName implements mesh.Event.
func (compareVersions) EventName() string { return "compare-versions" }

// To implements mesh.Message.
func (m compareVersions) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m compareVersions) Send(ctx context.Context) (err error) {
	asked := time.Now()
	answer, err := m.duty.peer(m.to).Compare(ctx, m.duty.report())
	if err != nil {
		return fmt.Errorf("compare versions: %w", err)
	}
	if _, valid := m.duty.current(answer.GetSender()); valid && answer.GetVersion() > 0 {
		m.duty.events.Offer(config.Heard{
			Version:   answer.GetVersion(),
			Confirmed: confirmedAt(asked, answer.GetConfirmedAge()),
			From:      m.to,
		})
	}
	return nil
}

// peer returns the configuration service of a peer.
func (d *configDuty) peer(to netip.AddrPort) (service wire.Config) {
	return wire.NewConfigProtobufClient(peerURL(to), d.client)
}

// fetchUpdate gets from a peer what leads to its version.
type fetchUpdate struct {
	duty *configDuty
	to   netip.AddrPort
	have uint64
}

// EventName implements mesh.Event.
func (fetchUpdate) EventName() string { return "fetch-update" }

// To implements mesh.Message.
func (m fetchUpdate) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m fetchUpdate) Send(ctx context.Context) (err error) {
	asked := time.Now()
	update, err := m.duty.peer(m.to).Fetch(ctx, &wire.FetchRequest{Sender: m.duty.sender(), Have: m.have})
	if err != nil {
		m.duty.events.Offer(config.FetchFailed{})
		return fmt.Errorf("fetch update: %w", err)
	}
	m.duty.offerUpdate(update, asked)
	return nil
}

// report is what this node told a poller. It is sent again when any part of it
// changes.
type report struct {
	version uint64
	own     mesh.Incarnation
	poller  mesh.Incarnation
}

// acknowledge reports the version in force to the pollers of this zone that do
// not know it yet.
func (d *configDuty) acknowledge() {
	v := d.View()
	if v == nil {
		return
	}
	own := d.incarnationOf(d.self)
	for _, p := range d.zonePollers() {
		r := report{version: v.Version, own: own, poller: d.incarnationOf(p)}
		switch {
		case p == d.self:
			d.acks.Take(config.Acked{Host: p, Incarnation: own, Version: v.Version})
		case d.reported[p] != r:
			d.senders.Post(acknowledgeVersion{duty: d, to: p, report: r})
		}
	}
	d.forgetPollers()
}

// forgetPollers drops reports to hosts that no longer poll. One that polls
// again may have lost what it was told.
func (d *configDuty) forgetPollers() {
	for addr := range d.reported {
		known := false
		for _, p := range d.pollers {
			known = known || p == addr
		}
		if !known {
			delete(d.reported, addr)
		}
	}
}

// acknowledgeVersion tells a poller which version is in force here.
type acknowledgeVersion struct {
	duty   *configDuty
	to     netip.AddrPort
	report report
}

// EventName implements mesh.Event.
func (acknowledgeVersion) EventName() string { return "acknowledge-version" }

// To implements mesh.Message.
func (m acknowledgeVersion) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m acknowledgeVersion) Send(ctx context.Context) (err error) {
	_, err = m.duty.peer(m.to).Acknowledge(ctx, &wire.VersionReport{
		Sender:  &wire.Sender{Host: m.duty.self.String(), Incarnation: uint64(m.report.own)},
		Version: m.report.version,
	})
	if err != nil {
		return fmt.Errorf("acknowledge version: %w", err)
	}
	m.duty.events.Offer(reportTaken{poller: m.to, report: m.report})
	return nil
}

// reportTaken says that a poller took a report.
type reportTaken struct {
	poller netip.AddrPort
	report report
}

// EventName implements mesh.Event.
func (reportTaken) EventName() string { return "report-taken" }

// Acknowledge implements wire.Config.
func (d *configDuty) Acknowledge(_ context.Context, r *wire.VersionReport) (m *wire.Acknowledged, err error) {
	from, valid := d.current(r.GetSender())
	if !valid {
		return &wire.Acknowledged{}, nil
	}
	acked := config.Acked{Host: from, Incarnation: mesh.Incarnation(r.GetSender().GetIncarnation()), Version: r.GetVersion()}
	if !d.events.Offer(acked) {
		return nil, errBusy
	}
	return &wire.Acknowledged{}, nil
}
