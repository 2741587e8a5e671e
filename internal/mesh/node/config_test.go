package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// configWaitTimeout limits each wait of a test. It is no latency requirement.
const configWaitTimeout = 30 * time.Second

const configTree = "settings: {timeout: %dms}\nzones: {a: {region: r}, b: {region: r}}\nservices: {s: {routes: {all: {path: /}}}}\norganisations: {o: {}}\n"

// configHost is a host whose node can be started and stopped several times.
type configHost struct {
	t        *testing.T
	settings Settings
	platform mesh.Platform
	node     *Node
	stop     context.CancelFunc
	stopped  chan error
}

func newConfigHosts(t *testing.T, platform mesh.Platform, zones ...mesh.ZoneName) (hosts []*configHost) {
	t.Helper()
	for _, z := range zones {
		h := &configHost{t: t, platform: platform, settings: Settings{
			Zone: z, CallerListen: freeAddr(t), LocalListen: freeAddr(t), PeerListen: freeAddr(t),
			Secrets: []string{"0123456789abcdef"},
		}}
		for _, other := range hosts {
			h.settings.Peers = append(h.settings.Peers, other.settings.PeerListen)
		}
		hosts = append(hosts, h)
	}
	hosts[0].settings.Peers = []netip.AddrPort{hosts[len(hosts)-1].settings.PeerListen}
	return hosts
}

func (h *configHost) start() {
	h.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := New(h.settings, WithPlatform(h.platform), WithLogger(logger))
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.node, h.stop, h.stopped = n, cancel, make(chan error, 1)
	go func(stopped chan<- error) { stopped <- n.Run(ctx) }(h.stopped)
}

func (h *configHost) shutDown() {
	h.t.Helper()
	h.stop()
	if err := <-h.stopped; err != nil {
		h.t.Errorf("node: got %v, want a clean stop", err)
	}
}

func (h *configHost) version() (version uint64) {
	if v := h.node.handler.config.View(); v != nil {
		return v.Version
	}
	return 0
}

// waitUntil polls a condition until it holds, and fails the test after configWaitTimeout.
func waitUntil(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(configWaitTimeout); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not seen within %v", what, configWaitTimeout)
		}
	}
}

// TestConfigSpread guards against a version that does not reach all hosts, a node that
// fetches the whole snapshot for a single change, a node that reverts to an older
// version when it restarts during an outage of the platform, and zone reports that are
// not updated.
func TestConfigSpread(t *testing.T) {
	t.Parallel()
	s, ctx := stub.New(), t.Context()
	put := func(timeout int) (version uint64) {
		t.Helper()
		head, err := admin.PutSettings(ctx, s, "ann", fmt.Appendf(nil, configTree, timeout))
		if err != nil {
			t.Fatal(err)
		}
		return head.Version
	}
	put(1000)
	hosts := newConfigHosts(t, s, "a", "a", "a", "b")
	for _, h := range hosts {
		h.start()
		defer func() { h.shutDown() }()
	}
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, h := range hosts {
				if h.version() != version {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "version 1 at all hosts", inForce(1))
	waitUntil(t, "reports of both zones", func() bool {
		p, err := admin.ReadProgress(ctx, s, 1)
		return err == nil && !p.Pending()
	})
	waitUntil(t, "version 2 at all hosts", inForce(put(1100)))
	progress, err := admin.AwaitRollout(ctx, s, 2, configWaitTimeout)
	if err != nil || progress.Pending() {
		t.Errorf("version 2: got %+v and %v, want it in force in all zones", progress, err)
	}
	if got := progress.Zones[0].Report; got.Hosts != 3 || got.Zone != "a" {
		t.Errorf("zone a: got report %+v, want 3 hosts", got)
	}

	for i, h := range hosts {
		changes := h.node.handler.config.served.Load().changes
		if len(changes) != 1 || changes[0].GetVersion() != 2 {
			t.Errorf("host %d: got %d changes, want version 2 as a change", i, len(changes))
		}
	}

	s.SetFaults(stub.Faults{Down: true})
	hosts[1].shutDown()
	hosts[1].start()
	waitUntil(t, "version 2 after a restart in an outage", func() bool {
		if v := hosts[1].version(); v != 0 && v != 2 {
			t.Fatalf("restarted node: got version %d, want none older than 2", v)
		}
		return hosts[1].version() == 2
	})
	s.SetFaults(stub.Faults{})
	waitUntil(t, "version 3 at all hosts", inForce(put(1200)))
}

// newBenchmarkDuty returns a duty that serves a settings tree of the design size with
// 1,000 keys, and a client of it whose connections count their bytes.
func newBenchmarkDuty(b *testing.B, edit func(*config.Snapshot)) (d *configDuty, client wire.Config, bytes *atomic.Int64) {
	b.Helper()
	signer, err := wire.NewSigner("0123456789abcdef")
	if err != nil {
		b.Fatal(err)
	}
	n, err := New(Settings{PeerListen: netip.MustParseAddrPort("10.20.30.40:7001"), Zone: "zone-00", Secrets: []string{"0123456789abcdef"}}, WithPlatform(stub.New()))
	if err != nil {
		b.Fatal(err)
	}
	d = n.handler.config
	old := &config.Snapshot{Version: 1000, Nonce: "n", Text: designSizeTree(), Keys: make(map[mesh.KeyHash]config.Key)}
	for i := range 1000 {
		old.Keys[mesh.HashKey(fmt.Sprint(i))] = config.Key{Organisation: mesh.OrganisationName(fmt.Sprintf("organisation-%03d", i/2))}
	}
	next := *old
	next.Version = 1001
	edit(&next)
	if next.Tree, err = parse.Tree(next.Text); err != nil {
		b.Fatal(err)
	}
	d.storeUpdate(fetched{loaded: config.Loaded{Snapshot: &next}, changes: []*wire.Change{wire.FromChange(config.Diff(old, &next))}})
	d.view.Store(&config.View{Version: next.Version, Confirmed: time.Now(), Index: next.Tree.Index("zone-00")})
	bytes = new(atomic.Int64)
	server := httptest.NewServer(signer.Verify(wire.NewConfigServer(d)))
	b.Cleanup(server.Close)
	transport := newTransport(0, link.WithConn(func(c net.Conn) (measured net.Conn) { return measuredConn{c, bytes} }))
	return d, wire.NewConfigProtobufClient(server.URL, &http.Client{Transport: &wire.Transport{Signer: signer, Base: transport}}), bytes
}

// measuredConn counts the bytes sent and received.
type measuredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c measuredConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c measuredConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func designSizeTree() (text []byte) {
	var b strings.Builder
	b.WriteString("settings: {timeout: 2s}\nzones:\n")
	for z := range 11 {
		fmt.Fprintf(&b, "  zone-%02d: {region: region-%d}\n", z, z/4)
	}
	b.WriteString("services:\n")
	for s := range 190 {
		fmt.Fprintf(&b, "  service-%03d:\n    settings: {cold-limit: 4}\n    routes:\n", s)
		for r := range 5 {
			fmt.Fprintf(&b, "      route-%d:\n        path: /path-%d\n        methods: [GET, POST]\n        settings: {class: high, timeout: 1s, idempotent: true}\n", r, r)
		}
	}
	b.WriteString("organisations:\n")
	for o := range 500 {
		fmt.Fprintf(&b, "  organisation-%03d: {rate: %d, burst: %d, weight: 2, timeout: 900ms}\n", o, 100+o, 200+o)
	}
	return []byte(b.String())
}

func sampleAcks(d *configDuty, count int) (acks []config.Ack) {
	for range count {
		acks = append(acks, config.Ack{Host: d.self, Incarnation: d.incarnationOf(d.self), Version: 123_456})
	}
	return acks
}

// BenchmarkControlBytes reports the bytes of each control message about settings and
// keys at the design size, including HTTP headers and the answer.
func BenchmarkControlBytes(b *testing.B) {
	withdrawal := func(s *config.Snapshot) {
		s.Keys = map[mesh.KeyHash]config.Key{}
		for i := range 1000 {
			s.Keys[mesh.HashKey(fmt.Sprint(i))] = config.Key{Organisation: mesh.OrganisationName(fmt.Sprintf("organisation-%03d", i/2)), Withdrawn: i == 7}
		}
	}
	oneEdit := func(s *config.Snapshot) {
		s.Text = []byte(strings.Replace(string(s.Text), "organisation-250: {rate: 350,", "organisation-250: {rate: 400,", 1))
	}
	for _, c := range []struct {
		name string
		edit func(*config.Snapshot)
		send func(ctx context.Context, d *configDuty, peer wire.Config) (err error)
	}{
		{"compare", oneEdit, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Compare(ctx, d.versionReport())
			return err
		}},
		{"acknowledge", oneEdit, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Acknowledge(ctx, &wire.Acknowledgement{Sender: d.sender(), Acks: wire.FromAcks(sampleAcks(d, 1))})
			return err
		}},
		{"acknowledge-26", oneEdit, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Acknowledge(ctx, &wire.Acknowledgement{Sender: d.sender(), Acks: wire.FromAcks(sampleAcks(d, 26)), Collected: true})
			return err
		}},
		{"fetch-withdrawal", withdrawal, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Fetch(ctx, &wire.FetchRequest{Sender: d.sender(), Have: 1000})
			return err
		}},
		{"fetch-edit", oneEdit, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Fetch(ctx, &wire.FetchRequest{Sender: d.sender(), Have: 1000})
			return err
		}},
		{"fetch-snapshot", oneEdit, func(ctx context.Context, d *configDuty, peer wire.Config) (err error) {
			_, err = peer.Fetch(ctx, &wire.FetchRequest{Sender: d.sender()})
			return err
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			d, peer, bytes := newBenchmarkDuty(b, c.edit)
			count := 0
			for b.Loop() {
				if len(d.events.Events()) > 0 {
					<-d.events.Events()
				}
				if err := c.send(b.Context(), d, peer); err != nil {
					b.Fatal(err)
				}
				count++
			}
			b.ReportMetric(float64(bytes.Load())/float64(count), "B/message")
		})
	}
}
