package node

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// byteCountingConn counts the bytes sent and received.
type byteCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c byteCountingConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c byteCountingConn) Write(data []byte) (n int, err error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// BenchmarkRosterMessages reports the bytes of one message and its answer, including
// HTTP headers, between nodes whose tables are equal.
func BenchmarkRosterMessages(b *testing.B) {
	signer, err := wire.NewSigner("0123456789abcdef0123456789abcdef")
	if err != nil {
		b.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	duty := func() (d *rosterDuty) {
		s := Settings{Zone: "ee-north-1", PeerListen: netip.MustParseAddrPort("127.0.1.71:8080")}
		return newRosterDuty(new(expvar.Map), s, logs.WithPrefix(logger, "roster"))
	}
	d, peer := duty(), duty()
	peer.view.Store(d.View())
	server := httptest.NewServer(signer.Verify(wire.NewRosterServer(peer)))
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return byteCountingConn{Conn: conn, bytes: &bytes}, err
	}}
	d.client = &http.Client{Transport: &wire.Transport{Signer: signer, Base: transport}}
	to := netip.MustParseAddrPort(server.Listener.Addr().String())
	for _, m := range []mesh.Message{heartbeat{duty: d, to: to}, compareHosts{duty: d, to: to}, pushHosts{duty: d, to: to}} {
		b.Run(m.EventName(), func(b *testing.B) {
			bytes.Store(0)
			for range b.N {
				if err := m.Send(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
