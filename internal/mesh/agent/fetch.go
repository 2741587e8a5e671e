package agent

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
)

const (
	fetchRing = 16

	// fetchDelay is how long a node waits for newer configuration to arrive from the store
	// before it fetches it from the node that has it.
	fetchDelay = 60 * time.Millisecond

	// fetchTimeout is the timeout of a request for the configuration of another node.
	fetchTimeout = 500 * time.Millisecond

	// maxConfigBytes is the maximum size of a configuration that another node sends.
	maxConfigBytes = 8 << 20

	// configPath is the path at which a node serves its configuration to other nodes.
	configPath = "/quetzal/orders"
)

// fetchDuty fetches configuration that is newer than this node's from other nodes. When its
// ring is full, notices are dropped, since the next heartbeat repeats them.
type fetchDuty struct {
	events *ring.Ring
	source mesh.ConfigSource
	follow *followDuty
	client *http.Client
	log    logs.Log
}

func newFetchDuty(vars *expvar.Map, source mesh.ConfigSource, follow *followDuty, log logs.Log) (d *fetchDuty) {
	return &fetchDuty{
		events: ring.New(vars, "fetch", fetchRing),
		source: source, follow: follow, log: log,
		client: &http.Client{Timeout: fetchTimeout, Transport: link.NewTransport(&http.Transport{DialContext: link.Dial, DisableKeepAlives: true})},
	}
}

// Name implements mesh.Duty.
func (d *fetchDuty) Name() string { return "fetch" }

// newerConfig is sent when another node has newer configuration than this node, or carries settings
// that this node does not know.
type newerConfig struct {
	from         netip.AddrPort
	rulesVersion uint64
	asOf         mesh.StoreVersion
	carries      bool
}

// EventName implements mesh.Event.
func (newerConfig) EventName() string { return "newer-orders" }

// Run implements mesh.Duty.
func (d *fetchDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.fetch(ctx, e.(newerConfig))
		}
	}
}

func (d *fetchDuty) fetch(ctx context.Context, notice newerConfig) {
	if d.upToDate(notice) || d.awaitsStore() && !sleep(ctx, fetchDelay) || d.upToDate(notice) {
		return
	}
	config, err := d.request(ctx, notice.from)
	if err != nil {
		d.log.Warnf("fetching newer configuration failed: %v.", err)
		return
	}
	_ = d.follow.events.Send(ctx, configReceived{config: config, from: notice.from.String()})
}

// awaitsStore reports whether newer configuration is likely to arrive from the store.
func (d *fetchDuty) awaitsStore() bool {
	return d.follow.View() != nil && d.follow.member.View().FollowsStore
}

// upToDate reports whether this node's configuration is at least as new as in the notice.
func (d *fetchDuty) upToDate(notice newerConfig) bool {
	own := d.follow.view.Load()
	return own != nil && own.Rules != nil && own.Rules.Version >= notice.rulesVersion && !notice.asOf.After(own.AsOf) && !own.lacksCarried(notice)
}

// lacksCarried reports whether this node has started since the store came back from a copy and does
// not know the settings that the other node carries.
func (c *activeConfig) lacksCarried(notice newerConfig) bool {
	return notice.carries && notice.asOf.Era == c.AsOf.Era && c.Carried.Until.IsZero()
}

// configMessage is a configuration in the encoding between nodes.
type configMessage struct {
	Era       uint64   `cbor:"era"`
	AsOf      uint64   `cbor:"as-of"`
	RulesText []byte   `cbor:"text"`
	ZonesOut  []string `cbor:"zones-out"`

	// Orders is nil in the message of an earlier build, which does not know orders.
	Orders []orderMessage `cbor:"orders"`

	// Carried is nil in the message of a node that carries no settings.
	Carried *carriedMessage `cbor:"carried,omitempty"`
}

// carriedMessage holds carried settings in the encoding between nodes. The clocks of hosts differ, so
// it has the time that is left.
type carriedMessage struct {
	Left     time.Duration  `cbor:"left"`
	ZonesOut []string       `cbor:"zones-out"`
	Orders   []orderMessage `cbor:"orders"`
}

// orderMessage is an order for a roll-out in the encoding between nodes.
type orderMessage struct {
	Service  string        `cbor:"service"`
	To       string        `cbor:"to"`
	Limit    time.Duration `cbor:"limit"`
	Era      uint64        `cbor:"era"`
	Revision uint64        `cbor:"revision"`
}

func encodeConfig(now time.Time, c *mesh.FleetConfig) (m *configMessage) {
	m = &configMessage{
		Era: c.AsOf.Era, AsOf: c.AsOf.Number, RulesText: c.RulesText, ZonesOut: encodeZones(c.ZonesOut), Orders: encodeOrders(c.Orders),
	}
	if !c.Carried.Until.IsZero() {
		m.Carried = &carriedMessage{Left: c.Carried.Until.Sub(now), ZonesOut: encodeZones(c.Carried.ZonesOut), Orders: encodeOrders(c.Carried.Orders)}
	}
	return m
}

// decode returns the configuration without the rules. The orders are known where the sender does not
// know orders.
func (m *configMessage) decode(now time.Time, known []mesh.RolloutOrder) (c mesh.FleetConfig) {
	c = mesh.FleetConfig{
		AsOf: mesh.StoreVersion{Era: m.Era, Number: m.AsOf}, RulesText: m.RulesText, ZonesOut: decodeZones(m.ZonesOut), Orders: decodeOrders(m.Orders, known),
	}
	if m.Carried != nil {
		left := min(m.Carried.Left, rules.CarryTime)
		c.Carried = mesh.Carried{Until: now.Add(left), ZonesOut: decodeZones(m.Carried.ZonesOut), Orders: decodeOrders(m.Carried.Orders, nil)}
	}
	return c
}

func encodeZones(zones []mesh.ZoneName) (names []string) {
	for _, z := range zones {
		names = append(names, string(z))
	}
	return names
}

func decodeZones(names []string) (zones []mesh.ZoneName) {
	for _, z := range names {
		zones = append(zones, mesh.ZoneName(z))
	}
	return zones
}

func encodeOrders(orders []mesh.RolloutOrder) (messages []orderMessage) {
	messages = make([]orderMessage, 0, len(orders))
	for _, o := range orders {
		messages = append(messages, orderMessage{Service: string(o.Service), To: string(o.To), Limit: o.Limit, Era: o.Revision.Era, Revision: o.Revision.Number})
	}
	return messages
}

// decodeOrders returns the orders of a message, or known where the sender does not know orders.
func decodeOrders(messages []orderMessage, known []mesh.RolloutOrder) (orders []mesh.RolloutOrder) {
	if messages == nil {
		return known
	}
	for _, o := range messages {
		orders = append(orders, mesh.RolloutOrder{
			Service: mesh.ServiceName(o.Service), To: mesh.VersionName(o.To), Limit: o.Limit, Revision: mesh.StoreVersion{Era: o.Era, Number: o.Revision},
		})
	}
	return orders
}

func (d *fetchDuty) request(ctx context.Context, from netip.AddrPort) (config mesh.FleetConfig, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("configuration of node %s: %w", from, err)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configPath, nil)
	if err != nil {
		return config, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return config, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return config, fmt.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return config, err
	}
	var message configMessage
	if err := cbor.Unmarshal(data, &message); err != nil {
		return config, err
	}
	var known []mesh.RolloutOrder
	if own := d.follow.view.Load(); own != nil {
		known = own.Orders
	}
	config = message.decode(time.Now(), known)
	config.Rules, err = d.source.Parse(message.RulesText)
	return config, err
}

// serve sends this node's configuration to another node.
func (d *fetchDuty) serve(c echo.Context) (err error) {
	own := d.follow.View()
	if own == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	data, err := cbor.Marshal(encodeConfig(time.Now(), &own.FleetConfig))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/cbor", data)
}
