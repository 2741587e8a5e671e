package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

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
		m.duty.events.Offer(config.VersionSeen{
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
