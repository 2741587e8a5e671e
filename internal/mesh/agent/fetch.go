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

	// maxOrders bounds the orders that another node sends, in bytes.
	maxOrders = 8 << 20

	// ordersPath is where a node hands its orders to others.
	ordersPath = "/quetzal/orders"
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

// newerOrders says that another node follows newer orders.
type newerOrders struct {
	from        netip.AddrPort
	rules, asOf uint64
}

// EventName implements mesh.Event.
func (newerOrders) EventName() string { return "newer-orders" }

// Run implements mesh.Duty.
func (d *fetchDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.fetch(ctx, e.(newerOrders))
		}
	}
}

func (d *fetchDuty) fetch(ctx context.Context, news newerOrders) {
	if d.known(news) || d.follow.View() != nil && !wait(ctx, fetchDelay) || d.known(news) {
		return
	}
	orders, err := d.ask(ctx, news.from)
	if err != nil {
		d.log.Warnf("orders of another node were not taken: %v.", err)
		return
	}
	_ = d.follow.events.Send(ctx, heardOrders{orders: orders, from: news.from.String()})
}

// known reports whether this node caught up since the news.
func (d *fetchDuty) known(news newerOrders) bool {
	own := d.follow.view.Load()
	return own != nil && own.Rules != nil && own.Rules.Version >= news.rules && own.AsOf >= news.asOf
}

// handedOrders are orders on their way between nodes.
type handedOrders struct {
	AsOf uint64   `cbor:"as-of"`
	Text []byte   `cbor:"text"`
	Out  []string `cbor:"zones-out"`
}

func (d *fetchDuty) ask(ctx context.Context, from netip.AddrPort) (orders mesh.FleetConfig, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("orders of %s: %w", from, err)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+ordersPath, nil)
	if err != nil {
		return orders, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return orders, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return orders, fmt.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOrders))
	if err != nil {
		return orders, err
	}
	var handed handedOrders
	if err := cbor.Unmarshal(data, &handed); err != nil {
		return orders, err
	}
	orders = mesh.FleetConfig{AsOf: handed.AsOf, RulesText: handed.Text}
	for _, z := range handed.Out {
		orders.ZonesOut = append(orders.ZonesOut, mesh.ZoneName(z))
	}
	orders.Rules, err = d.source.Parse(handed.Text)
	return orders, err
}

// serve hands this node's orders to another node.
func (d *fetchDuty) serve(c echo.Context) (err error) {
	own := d.follow.View()
	if own == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	handed := handedOrders{AsOf: own.AsOf, Text: own.RulesText}
	for _, z := range own.ZonesOut {
		handed.Out = append(handed.Out, string(z))
	}
	data, err := cbor.Marshal(handed)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/cbor", data)
}
