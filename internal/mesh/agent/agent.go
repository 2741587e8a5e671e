package agent

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/timing"
)

const (
	// firstByteTimeout is the timeout for the first head on a connection, whose own timeout runs
	// from its first byte.
	firstByteTimeout = time.Minute

	// maxControlHead is the maximum size of a head at a listener that serves no calls, and
	// peerHeadBytes what other nodes add to the head of a caller.
	maxControlHead = 8 << 10
	peerHeadBytes  = 8 << 10

	// controlTimeout is the timeout for reading a request to a listener that serves no calls.
	// A target that waits longer for the answer to a report has turned to another node.
	controlTimeout = 2 * time.Second

	// idleTimeout is how long a listener keeps an idle connection. It exceeds the idle
	// timeouts of clients and nodes, so that they close the connection first.
	idleTimeout = time.Minute
)

// Platform holds what differs between platforms: the stores of the configuration, of the hosts and
// of the progress of roll-outs, the header format, and the protocol of target reports.
type Platform struct {
	Source   mesh.ConfigSource
	Registry mesh.HostRegistry
	Dialect  mesh.Dialect

	// Usage is nil where the usage of contracts is not stored.
	Usage mesh.UsageStore

	// Rollouts is nil where operators cannot order roll-outs.
	Rollouts mesh.RolloutStore

	// Reports returns the handler that receives the reports of targets and passes them to
	// announce.
	Reports func(announce func(ctx context.Context, a mesh.Announcement) error) http.Handler
}

// Agent is a node: the process that runs beside the target of a host.
type Agent struct {
	settings Settings
	platform Platform
	logger   *logrus.Logger
	log      logs.Log
	vars     *expvar.Map
	handler  *requestHandler
	account  *memory.Account
	duties   []mesh.Duty
	servers  []*server
}

// Option configures an agent that New creates.
type Option func(*Agent)

// WithLogger sets the logger of the agent.
func WithLogger(l *logrus.Logger) Option { return func(a *Agent) { a.logger = l } }

// New returns an agent. It opens the socket for heartbeats; Run starts everything else.
func New(s Settings, p Platform, options ...Option) (a *Agent, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "create node %s", s.PeerAddr)
		}
	}()
	a = &Agent{settings: s, platform: p, logger: logrus.New(), vars: new(expvar.Map)}
	for _, o := range options {
		o(a)
	}
	a.log = logs.WithPrefix(a.logger, "node")
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PeerBind))
	if err != nil {
		return nil, err
	}
	a.build(socket)
	return a, nil
}

// build creates the duties and servers and connects them.
func (a *Agent) build(socket *net.UDPConn) {
	s, vars, l := a.settings, a.vars, a.logger
	self := mesh.Host{Addr: s.PeerAddr, Zone: s.Zone, Incarnation: mesh.NewIncarnation(time.Now()), State: mesh.HostAlive}
	follow := newFollowDuty(vars, logs.WithPrefix(l, "follow"))
	member := newMemberDuty(vars, self, logs.WithPrefix(l, "member"))
	quotas := newQuotaDuty(vars, socket, s.PeerAddr, logs.WithPrefix(l, "quota"))
	gates := newGateDuty(vars, s, logs.WithPrefix(l, "gate"))
	rollouts := newRolloutDuty(vars, s, self, logs.WithPrefix(l, "rollout"))
	rollouts.transmit = func(data []byte, to netip.AddrPort) (err error) {
		_, err = socket.WriteToUDPAddrPort(data, to)
		return err
	}
	rollouts.member, rollouts.gate = member, gates
	gates.rollouts, gates.member = rollouts, member
	picker := newPickerDuty(vars, s, member)
	fetch := newFetchDuty(vars, a.platform.Source, follow, logs.WithPrefix(l, "fetch"))
	measures := meter.New(vars)
	a.account = memory.New(s.Memory, s.Descriptors, memory.WithCallers(s.Connections.Callers), memory.WithPerAddress(s.Connections.PerAddress))
	a.account.Publish(vars)
	target := newTargetPool(vars, s.Target, a.account, logs.WithPrefix(l, "target"))
	probe := newProbeDuty(vars, s, a.platform.Dialect, target, member, logs.WithPrefix(l, "probe"))
	follow.member, follow.quota, follow.gate, follow.rollouts, follow.probe = member, quotas, gates, rollouts, probe
	member.socket, member.quota, member.gate, member.follow, member.fetch = socket, quotas, gates, follow, fetch
	ending, end := context.WithCancelCause(context.Background())
	a.handler = &requestHandler{
		settings: s, dialect: a.platform.Dialect,
		follow: follow, member: member, quota: quotas, picker: picker, gate: gates, rollouts: rollouts, meter: measures,
		links: link.NewPools(link.WithAccount(a.account)), target: target, account: a.account, deliveries: newDeliveries(), estimator: timing.NewQuantiles(), log: logs.WithPrefix(l, "front"),
		ending: ending, end: end,
	}
	join := newJoinDuty(vars, a.platform.Registry, self, follow, member, logs.WithPrefix(l, "join"))
	follow.join = join
	watch := newWatchDuty(vars, a.platform.Source, follow, member, logs.WithPrefix(l, "watch"))
	member.watch = watch
	a.duties = []mesh.Duty{
		follow, member, quotas, gates, rollouts, picker, fetch, probe, measures,
		watch, join,
		&receiverDuty{socket: socket, member: member, quota: quotas, rollouts: rollouts, picker: picker, log: logs.WithPrefix(l, "ear")},
		&guardDuty{account: a.account, log: logs.WithPrefix(l, "guard")},
	}
	quotas.member = member
	if a.platform.Usage != nil {
		quotas.usage = newUsageDuty(vars, a.platform.Usage, s.Zone, quotas, logs.WithPrefix(l, "usage"))
		a.duties = append(a.duties, quotas.usage)
	}
	if a.platform.Rollouts != nil && s.ExposureShare > 0 {
		rollouts.store = newRolloutStoreDuty(vars, a.platform.Rollouts, rollouts)
		a.duties = append(a.duties, rollouts.store)
	}
	if gates.rooms != nil {
		a.duties = append(a.duties, newRoomDuty(vars, gates.rooms, socket, member, s.Zone, logs.WithPrefix(l, "room")))
	}
	a.servers = a.newServers(fetch, member)
}

// server is one listener with its handler.
type server struct {
	name string
	addr netip.AddrPort
	http *http.Server

	// awaitUnused blocks until nothing needs the listener any more, or ctx is done; nil when only
	// its own requests do.
	awaitUnused func(ctx context.Context)

	// group and bounds are those of its connections.
	group  memory.Group
	bounds accept.Bounds

	// listener is set while the agent runs.
	listener net.Listener
}

func (a *Agent) newServers(fetch *fetchDuty, member *memberDuty) (servers []*server) {
	callers := newEcho()
	callers.Any("/*", a.handler.serveCaller)

	peers := newEcho()
	peers.GET(configPath, fetch.serve)
	peers.Any("/*", a.handler.servePeer)

	ready := newEcho()
	ready.GET("/ready", a.ready)

	metrics := newEcho()
	metrics.GET("/metrics", func(c echo.Context) error { return c.String(http.StatusOK, a.vars.String()+"\n") })

	reports := a.platform.Reports(member.Announce)
	// Servers are shut down in this order: a target that still runs a request makes its nested
	// calls through the listener for callers.
	forCallers := a.newServer("callers", a.settings.Callers, callers, memory.Callers, 0)
	forCallers.awaitUnused = a.handler.deliveries.awaitNone
	return []*server{
		a.newServer("peers", a.settings.PeerBind, peers, memory.Peers, peerHeadBytes),
		forCallers,
		a.newControlServer("ready", a.settings.Ready, ready),
		a.newControlServer("reports", a.settings.Reports, reports),
		a.newControlServer("metrics", a.settings.Metrics, metrics),
	}
}

// headBounds returns the limits of the configuration in force for the head of a request.
func (a *Agent) headBounds() (bytes int, timeout time.Duration) {
	bytes, timeout = accept.DefaultHeadBytes, accept.DefaultHeadTime
	if view := a.handler.follow.View(); view != nil {
		if l := view.Rules.Limits; l.MaxHeaderBytes > 0 {
			bytes = min(l.MaxHeaderBytes, accept.HardHeadBytes)
		}
		if l := view.Rules.Limits; l.HeaderTimeout > 0 {
			timeout = l.HeaderTimeout + headerTimeSlack
		}
	}
	return bytes, timeout
}

// headerTimeSlack is what a head may take longer on its way than at its sender, such as when a lost
// packet is sent again.
const headerTimeSlack = time.Second

func newEcho() (e *echo.Echo) {
	e = echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// newServer returns a server for requests whose heads may exceed the limit of callers by moreHead bytes.
func (a *Agent) newServer(name string, addr netip.AddrPort, h http.Handler, g memory.Group, moreHead int) (s *server) {
	c := a.settings.Connections
	bounds := accept.Bounds{HeadLines: c.HeadLines, EmptyLines: c.EmptyLines, BodyRate: c.BodyRate, Head: func() (bytes int, timeout time.Duration) {
		bytes, timeout = a.headBounds()
		return bytes + moreHead, timeout
	}}
	s = &server{name: name, addr: addr, group: g, bounds: bounds, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    accept.HardHeadBytes,
		ReadHeaderTimeout: firstByteTimeout,
		IdleTimeout:       idleTimeout,
		// net/http logs clients that disconnect here, which is normal.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
	accept.AllowHeadLines(s.http)
	return s
}

func (a *Agent) newControlServer(name string, addr netip.AddrPort, h http.Handler) (s *server) {
	s = a.newServer(name, addr, h, memory.Control, 0)
	s.http.ReadTimeout = controlTimeout
	s.bounds.Head = func() (bytes int, timeout time.Duration) { return maxControlHead, controlTimeout }
	return s
}

// ready reports whether callers may send requests to this node.
func (a *Agent) ready(c echo.Context) (err error) {
	switch {
	case a.handler.leaving.Load():
		return c.String(http.StatusServiceUnavailable, "the node is shutting down\n")
	case a.handler.follow.View() == nil:
		return c.String(http.StatusServiceUnavailable, "the node has not loaded its rules yet\n")
	default:
		return c.String(http.StatusOK, "ready\n")
	}
}

// Run serves until ctx is done, then shuts down gracefully, without interrupting any request.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "run node")
		}
	}()
	var group run.Group
	for _, d := range a.duties {
		addDuty(&group, d)
	}
	if err := a.listen(ctx); err != nil {
		return err
	}
	for _, s := range a.servers {
		addServer(&group, s, a.account)
	}
	a.addShutdown(ctx, &group)
	a.log.InfoFields("started", logs.Fields{
		"zone": a.settings.Zone, "service": a.settings.Service, "peers": a.settings.PeerAddr.String(), "callers": a.settings.Callers.String(),
	})
	err = group.Run()
	a.log.Infof("stopped.")
	return err
}

func addDuty(group *run.Group, d mesh.Duty) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
}

// listen opens all listeners or none.
func (a *Agent) listen(ctx context.Context) (err error) {
	for i, s := range a.servers {
		s.listener, err = accept.Listen(ctx, s.addr)
		if err != nil {
			for _, opened := range a.servers[:i] {
				err = errors.Join(err, opened.listener.Close())
			}
			return fmt.Errorf("open the %s listener: %w", s.name, err)
		}
	}
	return nil
}

func addServer(group *run.Group, s *server, account *memory.Account) {
	closed := make(chan struct{})
	group.Add(func() error {
		err := accept.ServeBounded(s.http, s.listener, accept.WithAccount(account, s.group), accept.WithBounds(s.bounds))
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", s.name, err)
		}
		// After a graceful shutdown, the shutdown sequence decides when the group ends.
		<-closed
		return nil
	}, func(error) {
		_ = s.http.Close()
		close(closed)
	})
}
