package agent

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rank"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// quotaHost is a quota duty with its socket.
type quotaHost struct {
	*quotaDuty
	cancel context.CancelFunc
}

// newQuotaZone returns the quota duties of the hosts of one zone, which know each other and a
// contract, and one host more that does not hold it. The hosts are in the order in which that one
// asks them.
func newQuotaZone(t *testing.T, hosts int) (zone []quotaHost, entry quotaHost) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logs.WithPrefix(logger, "test")
	contract := mesh.Contract{Organisation: "a", Rate: 40, Burst: 40}
	var addrs []netip.AddrPort
	byAddr := make(map[netip.AddrPort]quotaHost)
	for range hosts + 1 {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		self := socket.LocalAddr().(*net.UDPAddr).AddrPort()
		ctx, cancel := context.WithCancel(t.Context())
		d := newQuotaDuty(new(expvar.Map), socket, self, log)
		receiver := &receiverDuty{socket: socket, quota: d, log: log}
		go func() { _ = d.Run(ctx) }()
		go func() { _ = receiver.Run(ctx) }()
		addrs = append(addrs, self)
		byAddr[self] = quotaHost{quotaDuty: d, cancel: cancel}
	}
	r := &mesh.Rules{Version: 1, Organisations: []mesh.Organisation{{Name: "a", Contract: contract}}}
	config := configChanged{activeConfig: &activeConfig{FleetConfig: mesh.FleetConfig{Rules: r}, index: rules.NewIndex(r)}}
	for self, h := range byAddr {
		fleet := quota.Fleet{Self: self, Candidates: addrs, ZoneSize: len(addrs), ZoneSizes: []int{len(addrs)}}
		_ = h.events.Send(t.Context(), config)
		_ = h.events.Send(t.Context(), fleetChanged{fleet: fleet})
	}
	// The host that comes last in the ranking does not hold the contract.
	order := rank.Hosts("a", addrs)
	entryAddr := order[hosts]
	for _, addr := range askOrder(contract, entryAddr, addrs) {
		zone = append(zone, byAddr[addr])
	}
	return zone, byAddr[entryAddr]
}

// askOrder returns the hosts in the order in which a host asks them.
func askOrder(contract mesh.Contract, self netip.AddrPort, hosts []netip.AddrPort) (order []netip.AddrPort) {
	now, limiter := time.Now(), quota.New()
	limiter.Configure(now, []mesh.Contract{contract})
	limiter.SetFleet(now, quota.Fleet{Self: self, Candidates: hosts, ZoneSize: len(hosts), ZoneSizes: []int{len(hosts)}})
	for {
		addr, other := limiter.Holder(now, contract.Organisation)
		if !other {
			return order
		}
		limiter.HolderFailed(now, addr)
		order = append(order, addr)
	}
}

// admitted returns how many requests of the organisation are admitted, one after the other, within
// the time.
func (h quotaHost) admitted(ctx context.Context, within time.Duration) (requests int) {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if h.Admit(ctx, "a") == nil {
			requests++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return requests
}

// TestAskHolder guards against a host that admits requests under a contract that another host
// holds, and against requests refused because the holder is gone while others could stand in.
func TestAskHolder(t *testing.T) {
	zone, entry := newQuotaZone(t, 6)
	if got := entry.admitted(t.Context(), time.Second); got == 0 || got > 80 {
		t.Errorf("got %d requests admitted in a second, want 1 to 80", got)
	}
	used := zone[0].Report(t.Context(), mesh.Host{}).Usage["a"]
	if used.Admitted == 0 || len(entry.Report(t.Context(), mesh.Host{}).Usage) != 0 {
		t.Errorf("got usage %v at the holder and %v at the entry, want it at the holder alone", used, entry.Report(t.Context(), mesh.Host{}).Usage)
	}
	zone[0].cancel()
	started := time.Now()
	refusal := entry.Admit(t.Context(), "a")
	if after := time.Since(started); after < askTimeout || after > 4*askTimeout {
		t.Errorf("with the holder gone: got a verdict after %v, want one after %v", after, askTimeout)
	}
	if refusal != nil && refusal.Code != header.RateExceeded {
		t.Errorf("with the holder gone: got %v, want the verdict of the next host", refusal)
	}
	if got := zone[1].Report(t.Context(), mesh.Host{}).Usage["a"].Offered; got == 0 {
		t.Error("got no request at the next host, want one")
	}
}

// TestNoHolderAnswers guards against a request that waits without end, or is admitted by a host that
// does not hold the contract, when no holder answers.
func TestNoHolderAnswers(t *testing.T) {
	zone, entry := newQuotaZone(t, 6)
	for _, h := range zone {
		h.cancel()
	}
	started := time.Now()
	refusal := entry.Admit(t.Context(), "a")
	if refusal == nil || refusal.Outcome != header.NotRun || refusal.RetryAfter != holderRetryAfter {
		t.Errorf("got %v, want a refusal, not run, with a retry after %v", refusal, holderRetryAfter)
	}
	if after := time.Since(started); after > (maxAsks+2)*askTimeout {
		t.Errorf("got the refusal after %v, want it after %v", after, maxAsks*askTimeout)
	}
}
