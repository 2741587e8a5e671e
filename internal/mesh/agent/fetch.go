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
)

const (
	fetchRing = 16

	// fetchDelay is how long a node waits for the store to bring orders that
	// another node has, before it asks that node.
	fetchDelay = 60 * time.Millisecond

	// fetchTimeout bounds the answer of another node.
	fetchTimeout = 500 * time.Millisecond

	// maxConfigBytes bounds the orders that another node sends, in bytes.
	maxConfigBytes = 8 << 20

	// configPath is where a node hands its orders to others.
	configPath = "/quetzal/orders"
)

// fetchDuty asks other nodes for orders that are newer than this node's. Full
// ring: the news is dropped, since the next beat repeats it.
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
		client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DialContext: link.Dial, DisableKeepAlives: true}},
	}
}

// Name implements mesh.Duty.
func (d *fetchDuty) Name() string { return "fetch" }

// newerConfig says that another node follows newer orders.
type newerConfig struct {
	from        netip.AddrPort
	rules, asOf uint64
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
	if d.upToDate(notice) || d.follow.View() != nil && !sleep(ctx, fetchDelay) || d.upToDate(notice) {
		return
	}
	config, err := d.request(ctx, notice.from)
	if err != nil {
		d.log.Warnf("orders of another node were not taken: %v.", err)
		return
	}
	_ = d.follow.events.Send(ctx, configReceived{config: config, from: notice.from.String()})
}

// upToDate reports whether this node caught up since the news.
func (d *fetchDuty) upToDate(notice newerConfig) bool {
	own := d.follow.view.Load()
	return own != nil && own.Rules != nil && own.Rules.Version >= notice.rules && own.AsOf >= notice.asOf
}

// configMessage are orders on their way between nodes.
type configMessage struct {
	AsOf uint64   `cbor:"as-of"`
	Text []byte   `cbor:"text"`
	Out  []string `cbor:"zones-out"`
}

func (d *fetchDuty) request(ctx context.Context, from netip.AddrPort) (config mesh.FleetConfig, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("orders of %s: %w", from, err)
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
	config = mesh.FleetConfig{AsOf: message.AsOf, RulesText: message.Text}
	for _, z := range message.Out {
		config.ZonesOut = append(config.ZonesOut, mesh.ZoneName(z))
	}
	config.Rules, err = d.source.Parse(message.Text)
	return config, err
}

// serve hands this node's orders to another node.
func (d *fetchDuty) serve(c echo.Context) (err error) {
	own := d.follow.View()
	if own == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	message := configMessage{AsOf: own.AsOf, Text: own.RulesText}
	for _, z := range own.ZonesOut {
		message.Out = append(message.Out, string(z))
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/cbor", data)
}
