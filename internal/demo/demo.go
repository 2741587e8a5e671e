// Package demo runs a small fleet in one process on loopback and reports how it behaves
// in a load surge and while a zone is out of service.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/node"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/sample"
)

// settingsTree is the settings tree of the demo. Nested calls form a chain of four
// services: booking, payment, ledger, balance.
const settingsTree = `
settings: {timeout: 1s, retries: 2, target-delay: 20ms}
zones:
  demo-a: {region: demo}
  demo-b: {region: demo, out: %t}
  demo-c: {region: demo}
services:
  booking:
    routes:
      payout: {path: /payouts, methods: [POST], settings: {class: critical}}
      read: {path: /, settings: {idempotent: true}}
  payment:
    routes:
      any: {path: /, settings: {idempotent: true}}
  ledger:
    routes:
      any: {path: /, settings: {idempotent: true}}
  balance:
    routes:
      any: {path: /, settings: {idempotent: true}}
organisations:
  large: {rate: 400, burst: 400, weight: 1}
  small: {rate: 100, burst: 100, weight: 1}
`

// chain lists the services in call order. The last one has the lowest capacity.
var chain = []struct {
	service     mesh.ServiceName
	nestedPath  string
	slots       int
	serviceTime time.Duration
}{
	{"booking", "/payment/x", 32, time.Millisecond},
	{"payment", "/ledger/x", 32, time.Millisecond},
	{"ledger", "/balance/x", 32, time.Millisecond},
	{"balance", "", 4, 20 * time.Millisecond},
}

const demoSecret = "demo-secret-demo-secret"

// readyTimeout is the maximum time to wait until the fleet is ready.
const readyTimeout = 20 * time.Second

var zones = []mesh.ZoneName{"demo-a", "demo-b", "demo-c"}

// organisationKeys are the API keys of the organisations in the demo.
var organisationKeys = map[mesh.OrganisationName]string{"large": "demo-key-large", "small": "demo-key-small"}

// fleet is the platform, nodes and targets of the demo.
type fleet struct {
	platform   *store.Client
	entryAddrs []netip.AddrPort

	// direct is the address of a target of the last service in the chain.
	direct netip.AddrPort
}

// Run runs the demo and writes its progress and report to out.
func Run(ctx context.Context, out io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fmt.Fprintln(out, "starting a stand-in platform, 3 zones, 12 nodes and 12 targets in a chain of 4 services")
	f, err := start(ctx)
	if err != nil {
		return err
	}
	r, err := f.scenario(ctx, out)
	if err != nil {
		return err
	}
	r.write(out)
	return nil
}

func start(ctx context.Context) (f *fleet, err error) {
	f = new(fleet)
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := f.putTree(ctx, false); err != nil {
		return nil, err
	}
	for organisation, key := range organisationKeys {
		if _, err := admin.AddKey(ctx, f.platform, "demo", organisation, mesh.HashKey(key)); err != nil {
			return nil, err
		}
	}
	var seeds []netip.AddrPort
	for _, z := range zones {
		for i := range chain {
			s, err := f.startHost(ctx, z, i, seeds)
			if err != nil {
				return nil, err
			}
			if len(seeds) < len(zones) {
				seeds = append(seeds, s.PeerListen)
			}
		}
	}
	return f, f.awaitReady(ctx)
}

func (f *fleet) putTree(ctx context.Context, out bool) (err error) {
	_, err = admin.PutSettings(ctx, f.platform, "demo", fmt.Appendf(nil, settingsTree, out))
	return err
}

func (f *fleet) startPlatform(ctx context.Context) (err error) {
	l, err := listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: stub.New().Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	f.platform = store.New(addrOf(l))
	return nil
}

func listen() (l net.Listener, err error) { return net.Listen("tcp", "127.0.0.1:0") }

func addrOf(l net.Listener) (addr netip.AddrPort) {
	return netip.MustParseAddrPort(l.Addr().String())
}

// freeAddrs returns loopback addresses with unused ports.
func freeAddrs(n int) (addrs []netip.AddrPort, err error) {
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, addrOf(l))
	}
	return addrs, nil
}

// startHost runs the node and the target of one host. The target's place in
// the chain is given.
func (f *fleet) startHost(ctx context.Context, zone mesh.ZoneName, chainIndex int, seeds []netip.AddrPort) (s node.Settings, err error) {
	addrs, err := freeAddrs(3)
	if err != nil {
		return s, err
	}
	s = node.Settings{
		Zone: zone, CallerListen: addrs[0], LocalListen: addrs[1], PeerListen: addrs[2], PeerBind: addrs[2],
		Peers: seeds, Secrets: []string{demoSecret},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := node.New(s, node.WithPlatform(f.platform), node.WithLogger(logger))
	if err != nil {
		return s, err
	}
	l, err := listen()
	if err != nil {
		return s, err
	}
	c := chain[chainIndex]
	options := []sample.Option{sample.WithSlots(c.slots), sample.WithServiceTime(c.serviceTime)}
	if c.nestedPath != "" {
		options = append(options, sample.WithNestedCalls(c.nestedPath))
	}
	go func() { _ = n.Run(ctx) }()
	go func() { _ = sample.New(c.service, s.LocalListen, options...).Run(ctx, l) }()
	f.entryAddrs = append(f.entryAddrs, s.CallerListen)
	if c.nestedPath == "" {
		f.direct = addrOf(l)
	}
	return s, nil
}

// awaitReady waits until every entry node serves requests through the whole chain.
func (f *fleet) awaitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := newClient()
	for _, entry := range f.entryAddrs {
		for client.send(ctx, entry, "small", false).kind != answered {
			select {
			case <-ctx.Done():
				return fmt.Errorf("the fleet was not ready after %v", readyTimeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
