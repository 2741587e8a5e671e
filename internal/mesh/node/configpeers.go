package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// compareVersions is a message that exchanges versions with a peer.
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
	requestedAt := time.Now()
	answer, err := m.duty.peer(m.to).Compare(ctx, m.duty.versionReport())
	if err != nil {
		return fmt.Errorf("compare versions: %w", err)
	}
	if _, valid := m.duty.currentSender(answer.GetSender()); valid && answer.GetVersion() > 0 {
		m.duty.events.Offer(config.VersionSeen{
			Version:   answer.GetVersion(),
			Confirmed: confirmedAt(requestedAt, answer.GetConfirmedAge()),
			From:      m.to,
		})
	}
	return nil
}

// peer returns a client for the configuration service of a peer.
func (d *configDuty) peer(to netip.AddrPort) (service wire.Config) {
	return wire.NewConfigProtobufClient(peerURL(to), d.client)
}

// fetchUpdate is a message that fetches a peer's version, as changes since base if the
// peer still holds them.
type fetchUpdate struct {
	duty *configDuty
	to   netip.AddrPort
	base uint64
}

// EventName implements mesh.Event.
func (fetchUpdate) EventName() string { return "fetch-update" }

// To implements mesh.Message.
func (m fetchUpdate) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m fetchUpdate) Send(ctx context.Context) (err error) {
	requestedAt := time.Now()
	update, err := m.duty.peer(m.to).Fetch(ctx, &wire.FetchRequest{Sender: m.duty.sender(), Have: m.base})
	if err != nil {
		m.duty.events.Offer(config.FetchFailed{})
		return fmt.Errorf("fetch update: %w", err)
	}
	m.duty.offerUpdate(update, requestedAt)
	return nil
}
