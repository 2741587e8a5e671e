package node

import (
	"context"
	"expvar"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const (
	// senderCount bounds how many peers that do not answer can hold up
	// control messages to others.
	senderCount = 4

	// senderRing is how many control messages wait at one sender.
	senderRing = 256

	// sendTimeout bounds one control message.
	sendTimeout = time.Second
)

// senderDuty sends control messages to a part of the peers. Full ring: the
// message that waits longest gives way; a newer message to the same peer of
// the same kind replaces the older one.
type senderDuty struct {
	number   int
	messages *ring.Latest
	log      logs.Log
}

// senders is the fixed set of sender duties.
type senders []*senderDuty

func newSenders(vars *expvar.Map, log logs.Log) (s senders) {
	for i := range senderCount {
		s = append(s, &senderDuty{
			number:   i,
			messages: ring.NewLatest(vars, fmt.Sprintf("sender-%d", i), senderRing),
			log:      log,
		})
	}
	return s
}

// Post hands a message to the sender of its receiver.
func (s senders) Post(m mesh.Message) { s.PostKeyed("", m) }

// PostKeyed is Post for messages that replace only those with the same key.
func (s senders) PostKeyed(key string, m mesh.Message) {
	to := m.To().String()
	s[xxhash.Sum64String(to)%senderCount].messages.Put(to+" "+m.EventName()+" "+key, m)
}

// Name implements mesh.Duty.
func (d *senderDuty) Name() string { return fmt.Sprintf("sender-%d", d.number) }

// Run implements mesh.Duty.
func (d *senderDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.messages.Ready():
			d.drain(ctx)
		}
	}
}

func (d *senderDuty) drain(ctx context.Context) {
	for ctx.Err() == nil {
		e, found := d.messages.Take()
		if !found {
			return
		}
		d.send(ctx, e.(mesh.Message))
	}
}

func (d *senderDuty) send(ctx context.Context, m mesh.Message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := m.Send(ctx); err != nil {
		d.log.Infof("%s to %s failed: %v.", m.EventName(), m.To(), err)
	}
}

// peerURL returns the base address of a peer's control services.
func peerURL(addr netip.AddrPort) (url string) { return "http://" + addr.String() }
