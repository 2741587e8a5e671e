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
	// senderCount is the number of senders to peers that answer. A peer that
	// hangs holds up those with the same sender once, until it is known.
	senderCount = 8

	// slowSenderCount is the number of senders to peers whose last message
	// failed, so that these do not hold up the others.
	slowSenderCount = 4

	// senderRing is how many control messages wait at one sender.
	senderRing = 256

	// sendTimeout bounds one control message to a peer that has answered so
	// far, and slowTimeout one to a peer that has not.
	sendTimeout = 300 * time.Millisecond
	slowTimeout = time.Second
)

// senderDuty sends control messages to a part of the peers. Full ring: the
// message that waits longest gives way; a newer message to the same peer of
// the same kind replaces the older one.
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

// senders is the fixed set of sender duties, those to slow peers last.
type senders []*senderDuty

// newSenders returns a set of senders whose rings are published under name.
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

// Post hands a message to the sender of its receiver.
func (s senders) Post(m mesh.Message) { s.PostKeyed("", m) }

// PostKeyed is Post for messages that replace only those with the same key.
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
			// It was posted before the peer was known to hang. Of each kind of
			// message such a peer only gets the newest.
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
		d.log.Infof("%s to %s failed: %v.", m.EventName(), m.To(), err)
	}
}

// peerURL returns the base address of a peer's control services.
func peerURL(addr netip.AddrPort) (url string) { return "http://" + addr.String() }
