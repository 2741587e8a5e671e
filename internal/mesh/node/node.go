// Package node is the process that runs in the slot of every target host. It
// starts the duties, joins them by rings and serves HTTP.
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
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

const (
	// maxHeaderBytes is the most that a request's headers may take up.
	maxHeaderBytes = 64 << 10

	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 10 * time.Second

	// handOverTime bounds how long a node that leaves waits for others to
	// take its shares.
	handOverTime = 2 * time.Second

	// farewellTime bounds how long a node that has finished its work tries to
	// tell the others. What they miss they find out by the missing heartbeats.
	farewellTime = 3 * time.Second
)

// Node is one process of the system.
type Node struct {
	settings Settings
	logger   *logrus.Logger
	log      logs.Log
	platform mesh.Platform
	vars     *expvar.Map
	front    *front
	duties   []mesh.Duty
	servers  []*server
	bytes    peerBytes
}

// Option changes a node as it is made.
type Option func(*Node)

// WithPlatform replaces the platform that the settings name.
func WithPlatform(p mesh.Platform) Option { return func(n *Node) { n.platform = p } }

// WithLogger sets where the node logs to.
func WithLogger(l *logrus.Logger) Option { return func(n *Node) { n.logger = l } }

// New returns a node that is ready to run.
func New(s Settings, options ...Option) (n *Node, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "make the node of %s", s.PeerListen)
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

// build makes the duties and joins them.
func (n *Node) build(signer *wire.Signer) {
	s, vars := n.settings, n.vars
	n.bytes = newPeerBytes(vars)
	control := &http.Client{Transport: &wire.Transport{Signer: signer, Base: n.bytes.controlTransport()}}
	out := newSenders(vars, "sender", logs.WithPrefix(n.logger, "sender"))
	shares := newSenders(vars, "share-sender", logs.WithPrefix(n.logger, "sender"))
	// Settings, keys and hosts do not wait behind the claims and shares of many
	// requests when the platform is slow.
	platform := newPlatformDuty(vars, "platform", n.platform)
	records := newPlatformDuty(vars, "platform-records", n.platform)
	hosts := newRosterDuty(vars, s, logs.WithPrefix(n.logger, "roster"))
	hosts.senders, hosts.client, hosts.platform = out, control, platform
	versions := newConfigDuty(vars, s, logs.WithPrefix(n.logger, "config"))
	versions.senders, versions.client, versions.roster = out, control, hosts
	versions.platform, versions.records = platform, records
	contract := newContractDuty(vars, s, versions, logs.WithPrefix(n.logger, "contract"))
	contract.senders, contract.client, contract.platform, contract.roster = shares, control, records, hosts
	gates := newGateDuty(vars, versions, logs.WithPrefix(n.logger, "gate"))
	book := newCallsDuty(vars)
	claims := newClaimDuty(vars, records, versions.claimKeep, logs.WithPrefix(n.logger, "claim"))
	routes := newRouteDuty(vars, versions, hosts)
	measures := meter.New(vars)
	n.front = &front{
		settings: s,
		config:   versions, roster: hosts, contract: contract, gate: gates, calls: book,
		claims: claims, route: routes, meter: measures,
		carrier: &peerCarrier{transport: newTransport(0), signer: signer, config: versions},
		targets: &targetClient{transport: newTransport(0), signer: signer},
	}
	n.duties = []mesh.Duty{platform, records, hosts, versions, contract, gates, book, claims, routes, measures}
	for _, d := range slices.Concat(out, shares) {
		n.duties = append(n.duties, d)
	}
	n.servers = n.makeServers(signer, versions, hosts)
}

// server is one listener with its handler.
type server struct {
	name string
	addr netip.AddrPort
	http *http.Server

	// listener is set while the node runs.
	listener net.Listener
}

func (n *Node) makeServers(signer *wire.Signer, config wire.Config, hosts wire.Roster) (servers []*server) {
	caller := newEcho()
	caller.Any("/*", n.front.entry)

	local := newEcho()
	local.PUT("/quetzal/target", n.front.announce)
	local.GET("/debug/vars", n.serveVars)
	local.Any("/*", n.front.deeper)

	peer := newEcho()
	peer.Any("/call/*", n.front.peer)
	control := http.NewServeMux()
	control.Handle(wire.ConfigPathPrefix, wire.NewConfigServer(config))
	control.Handle(wire.RosterPathPrefix, wire.NewRosterServer(hosts))
	control.Handle(wire.SharesPathPrefix, wire.NewSharesServer(n.front.contract))
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
	return &server{name: name, addr: addr, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTime,
	}}
}

// serveVars shows the metrics of this node and of its process.
func (n *Node) serveVars(c echo.Context) (err error) {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(
		fmt.Sprintf(`{"node":%s,"memstats":%s}`, n.vars, expvar.Get("memstats")),
	))
}

// Run serves until ctx ends and then shuts down without cutting any request.
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
	if err := n.listen(); err != nil {
		return err
	}
	for _, s := range n.servers {
		addServer(&group, s)
	}
	n.addLeave(ctx, &group)
	n.log.Infof("callers at %s, targets at %s, peers at %s.", n.settings.CallerListen, n.settings.LocalListen, n.settings.PeerListen)
	err = group.Run()
	n.log.Infof("stopped.")
	return err
}

func addDuty(group *run.Group, d mesh.Duty) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
}

// listen opens all listeners or none.
func (n *Node) listen() (err error) {
	for i, s := range n.servers {
		s.listener, err = net.Listen("tcp", s.addr.String())
		if err != nil {
			for _, opened := range n.servers[:i] {
				_ = opened.listener.Close()
			}
			return merry.Prependf(err, "listen for %s", s.name)
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
		err := s.http.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return merry.Prependf(err, "serve %s", s.name)
		}
		// After a graceful shutdown the leave sequence decides when the
		// group ends.
		<-closed
		return nil
	}, func(error) {
		_ = s.http.Close()
		close(closed)
	})
}

// addLeave adds the graceful shutdown, which starts when ctx ends. It is given
// up when another part of the node fails, since nothing is served then.
func (n *Node) addLeave(ctx context.Context, group *run.Group) {
	failed, fail := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			n.leave(failed)
		case <-failed.Done():
		}
		return nil
	}, func(error) { fail() })
}

// leave is the graceful shutdown. Other nodes learn that this host is leaving
// before it refuses work, and what is in flight is finished. The local listener
// closes last, since targets in the middle of a request make deeper calls.
func (n *Node) leave(ctx context.Context) {
	n.log.Infof("leaving; finishing what is in flight.")
	if err := n.front.roster.events.Send(ctx, roster.Leaving{}); err != nil {
		return
	}
	wait(ctx, n.settings.LeaveTime/2)
	n.front.leaving.Store(true)
	wait(ctx, n.settings.LeaveTime/2)
	for _, s := range n.servers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.log.Warnf("shutdown of the %s listener: %v.", s.name, err)
		}
	}
	n.handOver(ctx)
	n.farewell(ctx)
}

// handOver passes this node's shares on.
func (n *Node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if err := n.front.contract.HandOver(ctx); err != nil {
		n.log.Warnf("%v.", err)
	}
}

// farewell marks this host as left, at the other nodes and at the platform.
func (n *Node) farewell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	if err := n.front.roster.Leave(ctx); err != nil {
		n.log.Warnf("not all nodes and the platform were told that this host has left: %v.", err)
	}
}
