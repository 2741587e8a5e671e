package node

import (
	"context"
	"expvar"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const (
	// senderCount is the number of senders to peers that answer. A peer that hangs
	// blocks the peers that share its sender for one timeout, until it is marked as
	// failing.
	senderCount = 8

	// slowSenderCount is the number of senders to peers whose last message failed.
	// They are separate, so that these peers do not block the others.
	slowSenderCount = 4

	// senderRing is the queue capacity of one sender, in control messages.
	senderRing = 256

	// sendTimeout limits one control message to a peer whose last message succeeded,
	// and slowTimeout one to a peer whose last message failed.
	sendTimeout = 300 * time.Millisecond
	slowTimeout = time.Second
)

// senderDuty sends control messages to a subset of the peers. A new message replaces a
// queued one of the same type and key to the same peer. When the queue is full, the
// oldest message is evicted.
type senderDuty struct {
	name     string
	messages *ring.Latest

	// slow is true for the senders to peers whose last message failed.
	slow    bool
	failing *failingPeers
	all     senders
	log     logs.Log
}

// failingPeers is the set of peers whose last message failed.
type failingPeers struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]bool
}

func (p *failingPeers) contains(addr netip.AddrPort) (found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[addr]
}

func (p *failingPeers) set(addr netip.AddrPort, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failing {
		p.peers[addr] = true
		return
	}
	delete(p.peers, addr)
}

// senders is a fixed set of sender duties, the slow ones last.
type senders []*senderDuty

// newSenders returns a set of senders whose queue metrics are published under name.
func newSenders(vars *expvar.Map, name string, log logs.Log) (s senders) {
	failing := &failingPeers{peers: make(map[netip.AddrPort]bool)}
	for i := range senderCount + slowSenderCount {
		s = append(s, &senderDuty{
			name:     fmt.Sprintf("%s-%d", name, i),
			messages: ring.NewLatest(vars, fmt.Sprintf("%s-%d", name, i), senderRing),
			slow:     i >= senderCount,
			failing:  failing,
			log:      log,
		})
	}
	for _, d := range s {
		d.all = s
	}
	return s
}

// Post queues a message at the sender for its receiver.
func (s senders) Post(m mesh.Message) { s.PostKeyed("", m) }

// PostKeyed is Post for a message that replaces only a queued one with the same key.
func (s senders) PostKeyed(key string, m mesh.Message) {
	to := m.To().String()
	s.sender(m.To(), xxhash.Sum64String(to)).messages.Put(to+" "+m.EventName()+" "+key, m)
}

func (s senders) sender(to netip.AddrPort, hash uint64) (d *senderDuty) {
	if s[0].failing.contains(to) {
		return s[senderCount+hash%slowSenderCount]
	}
	return s[hash%senderCount]
}

// Name implements mesh.Duty.
func (d *senderDuty) Name() string { return d.name }

// Run implements mesh.Duty.
func (d *senderDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.messages.Ready():
			d.sendQueued(ctx)
		}
	}
}

func (d *senderDuty) sendQueued(ctx context.Context) {
	for ctx.Err() == nil {
		e, found := d.messages.Take()
		if !found {
			return
		}
		m := e.(mesh.Message)
		if !d.slow && d.failing.contains(m.To()) {
			// The message was queued before the peer was marked as failing. A slow
			// sender sends only the newest message of each type to a peer.
			d.all.Post(m)
			continue
		}
		d.send(ctx, m)
	}
}

func (d *senderDuty) send(ctx context.Context, m mesh.Message) {
	timeout := sendTimeout
	if d.slow {
		timeout = slowTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := m.Send(ctx)
	d.failing.set(m.To(), err != nil)
	if err != nil {
		d.log.Infof("sending %s to %s failed: %v.", m.EventName(), m.To(), err)
	}
}

// peerURL returns the base URL of a peer's control services.
func peerURL(addr netip.AddrPort) (url string) { return "http://" + addr.String() }
