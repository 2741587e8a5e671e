// Package node implements the node, the process that runs on every host beside its
// targets. It starts the duties, connects them by rings and serves HTTP.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10

	// headerTimeout is the timeout for a client to send its headers.
	headerTimeout = 10 * time.Second

	// handOverTimeout is the timeout for handing the shares of a node that shuts
	// down over to other nodes.
	handOverTimeout = 2 * time.Second

	// announceLeftTimeout is the timeout for announcing that this host has left.
	// Nodes that miss the announcement detect it by the missing heartbeats.
	announceLeftTimeout = 3 * time.Second
)

// Node is the process that runs beside the targets of a host.
type Node struct {
	settings Settings
	logger   *logrus.Logger
	log      logs.Log
	platform mesh.Platform
	vars     *expvar.Map
	handler  *requestHandler
	duties   []mesh.Duty
	servers  []*server
	bytes    peerBytes
}

// Option configures a node that New creates.
type Option func(*Node)

// WithPlatform replaces the platform at the address in the settings.
func WithPlatform(p mesh.Platform) Option { return func(n *Node) { n.platform = p } }

// WithLogger sets the logger of the node.
func WithLogger(l *logrus.Logger) Option { return func(n *Node) { n.logger = l } }

// New returns a node, which Run starts.
func New(s Settings, options ...Option) (n *Node, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "create node %s", s.PeerListen)
		}
	}()
	if !s.PeerBind.IsValid() {
		s.PeerBind = s.PeerListen
	}
	n = &Node{settings: s, logger: logrus.New(), platform: store.New(s.Platform), vars: new(expvar.Map)}
	for _, o := range options {
		o(n)
	}
	n.log = logs.WithPrefix(n.logger, "node")
	signer, err := wire.NewSigner(s.Secrets...)
	if err != nil {
		return nil, err
	}
	n.build(signer)
	return n, nil
}

// build creates the duties and servers and connects them.
func (n *Node) build(signer *wire.Signer) {
	s, vars := n.settings, n.vars
	n.bytes = newPeerBytes(vars)
	controlClient := &http.Client{Transport: &wire.Transport{Signer: signer, Base: n.bytes.controlTransport()}}
	controlSenders := newSenders(vars, "sender", logs.WithPrefix(n.logger, "sender"))
	shareSenders := newSenders(vars, "share-sender", logs.WithPrefix(n.logger, "sender"))
	// Claims and shares have a queue of their own, so that settings, keys and hosts
	// are not delayed behind them while the platform is slow.
	platform := newPlatformDuty(vars, "platform", n.platform)
	records := newPlatformDuty(vars, "platform-records", n.platform)
	hosts := newRosterDuty(vars, s, logs.WithPrefix(n.logger, "roster"))
	hosts.senders, hosts.client, hosts.platform = controlSenders, controlClient, platform
	configs := newConfigDuty(vars, s, logs.WithPrefix(n.logger, "config"))
	configs.senders, configs.client, configs.roster = controlSenders, controlClient, hosts
	configs.platform, configs.records = platform, records
	contract := newContractDuty(vars, s, configs, logs.WithPrefix(n.logger, "contract"))
	contract.senders, contract.client, contract.platform, contract.roster = shareSenders, controlClient, records, hosts
	gates := newGateDuty(vars, configs, logs.WithPrefix(n.logger, "gate"))
	tracker := newCallsDuty(vars)
	claims := newClaimDuty(vars, records, configs.claimKeep, logs.WithPrefix(n.logger, "claim"))
	routes := newRouteDuty(vars, configs, hosts)
	measures := meter.New(vars)
	n.handler = &requestHandler{
		settings: s,
		config:   configs, roster: hosts, contract: contract, gate: gates, calls: tracker,
		claims: claims, route: routes, meter: measures,
		peers:   &peerClient{transport: newTransport(0), signer: signer, config: configs},
		targets: newTargetClient(vars, logs.WithPrefix(n.logger, "target")), signer: signer,
	}
	n.duties = []mesh.Duty{platform, records, hosts, configs, contract, gates, tracker, claims, routes, measures}
	for _, d := range slices.Concat(controlSenders, shareSenders) {
		n.duties = append(n.duties, d)
	}
	n.servers = n.newServers(signer, configs, hosts)
}

// server is one listener with its handler.
type server struct {
	name string
	addr netip.AddrPort
	http *http.Server

	// listener is set while the node runs.
	listener net.Listener
}

func (n *Node) newServers(signer *wire.Signer, config wire.Config, hosts wire.Roster) (servers []*server) {
	caller := newEcho()
	caller.Any("/*", n.handler.serveCaller)

	local := newEcho()
	local.PUT("/quetzal/target", n.handler.announce)
	local.GET("/debug/vars", n.serveVars)
	local.Any("/*", n.handler.serveNested)

	peer := newEcho()
	peer.Any("/call/*", n.handler.servePeer)
	control := http.NewServeMux()
	control.Handle(wire.ConfigPathPrefix, wire.NewConfigServer(config))
	control.Handle(wire.RosterPathPrefix, wire.NewRosterServer(hosts))
	control.Handle(wire.SharesPathPrefix, wire.NewSharesServer(n.handler.contract))
	peer.Any("/twirp/*", echo.WrapHandler(signer.Verify(control)))

	return []*server{
		newServer("caller", n.settings.CallerListen, caller),
		newServer("peer", n.settings.PeerBind, peer),
		newServer("local", n.settings.LocalListen, local),
	}
}

func newEcho() (e *echo.Echo) {
	e = echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func newServer(name string, addr netip.AddrPort, h http.Handler) (s *server) {
	s = &server{name: name, addr: addr, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
	}}
	accept.AllowHeadLines(s.http)
	return s
}

// serveVars serves the metrics of the node and of its process.
func (n *Node) serveVars(c echo.Context) (err error) {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(
		fmt.Sprintf(`{"node":%s,"memstats":%s}`, n.vars, expvar.Get("memstats")),
	))
}

// Run serves until ctx is done, then shuts down gracefully, without interrupting any
// request.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "run node")
		}
	}()
	var group run.Group
	for _, d := range n.duties {
		addDuty(&group, d)
	}
	if err := n.listen(ctx); err != nil {
		return err
	}
	for _, s := range n.servers {
		addServer(&group, s)
	}
	n.addShutdown(ctx, &group)
	n.log.Infof("listening for callers on %s, targets on %s, peers on %s.", n.settings.CallerListen, n.settings.LocalListen, n.settings.PeerListen)
	err = group.Run()
	n.log.Infof("stopped.")
	return err
}

func addDuty(group *run.Group, d mesh.Duty) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
}

// listen opens all listeners or none.
func (n *Node) listen(ctx context.Context) (err error) {
	for i, s := range n.servers {
		s.listener, err = accept.Listen(ctx, s.addr)
		if err != nil {
			for _, opened := range n.servers[:i] {
				_ = opened.listener.Close()
			}
			return merry.Prependf(err, "open the %s listener", s.name)
		}
		if s.addr == n.settings.PeerBind {
			s.listener = meteredListener{Listener: s.listener, counts: n.bytes}
		}
	}
	return nil
}

func addServer(group *run.Group, s *server) {
	closed := make(chan struct{})
	group.Add(func() error {
		err := accept.Serve(s.http, s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return merry.Prependf(err, "serve %s", s.name)
		}
		// After a graceful shutdown, the shutdown sequence decides when the group
		// ends.
		<-closed
		return nil
	}, func(error) {
		_ = s.http.Close()
		close(closed)
	})
}

// addShutdown adds the graceful shutdown, which starts when ctx is done. It is
// aborted when another part of the node fails, since nothing is served then.
func (n *Node) addShutdown(ctx context.Context, group *run.Group) {
	failed, fail := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			n.shutdown(failed)
		case <-failed.Done():
		}
		return nil
	}, func(error) { fail() })
}

// shutdown shuts the node down gracefully. It announces to other nodes that this
// host is leaving before it refuses requests, and waits for in-flight requests. The
// local listener closes last, since targets that still run a request make nested
// calls through it.
func (n *Node) shutdown(ctx context.Context) {
	n.log.Infof("leaving; waiting for in-flight requests to finish.")
	if err := n.handler.roster.events.Send(ctx, roster.Leaving{}); err != nil {
		return
	}
	sleep(ctx, n.settings.LeaveTime/2)
	n.handler.leaving.Store(true)
	sleep(ctx, n.settings.LeaveTime/2)
	for _, s := range n.servers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.log.Warnf("shutdown of the %s listener did not complete: %v.", s.name, err)
		}
	}
	// Answered requests whose bodies their targets still read.
	n.handler.targets.pools.AwaitRests(ctx)
	n.handOverShares(ctx)
	n.announceLeft(ctx)
}

// handOverShares hands the shares of this node over to other nodes.
func (n *Node) handOverShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := n.handler.contract.HandOver(ctx); err != nil {
		n.log.Warnf("handing over the shares did not complete: %v.", err)
	}
}

// announceLeft announces to the other nodes and the platform that this host has left.
func (n *Node) announceLeft(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceLeftTimeout)
	defer cancel()
	if err := n.handler.roster.Leave(ctx); err != nil {
		n.log.Warnf("announcing that this host has left did not complete: %v.", err)
	}
}
