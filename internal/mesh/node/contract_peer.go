package node

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// shareTimeout limits one message about shares. It is shorter than the time for which
// requests queue for tokens, since a peer that does not answer blocks its sender once.
const shareTimeout = 150 * time.Millisecond

// deliverRequest carries a message of a peer, which waits for the answer.
type deliverRequest struct {
	delivered share.Delivered
	reply     ring.Reply
}

// EventName implements mesh.Event.
func (deliverRequest) EventName() string { return "deliver-request" }

// deliverAnswer carries the answer to the peer.
type deliverAnswer struct{ batch share.Batch }

// EventName implements mesh.Event.
func (deliverAnswer) EventName() string { return "deliver-answer" }

// Deliver implements wire.Shares.
func (d *contractDuty) Deliver(ctx context.Context, m *wire.ShareBatch) (answer *wire.ShareBatch, err error) {
	from, batch, err := wire.ToBatch(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("batch", err.Error())
	}
	reply := ring.NewReply()
	e := deliverRequest{delivered: share.Delivered{From: from, Batch: batch}, reply: reply}
	if !d.events.Offer(e) {
		return nil, twirp.NewError(twirp.ResourceExhausted, errQueueFull.Error())
	}
	select {
	case e := <-reply.Events():
		return wire.FromBatch(d.ledger.Self().Addr, e.(deliverAnswer).batch), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// deliver passes a message to the ledger. The batch that the ledger returns for the
// sender becomes the answer; batches for other peers are sent as messages.
func (d *contractDuty) deliver(now time.Time, e deliverRequest) {
	d.updateLedger(now)
	self := d.ledger.Self()
	answer := deliverAnswer{batch: share.Batch{Incarnation: self.Incarnation, Sent: now}}
	var rest []share.Action
	for _, a := range d.ledger.Step(now, e.delivered) {
		if s, isSend := a.(share.Send); isSend && s.To == e.delivered.From {
			answer.batch = s.Batch
			continue
		}
		rest = append(rest, a)
	}
	e.reply.Answer(answer)
	d.perform(rest)
}

func (d *contractDuty) post(s share.Send) {
	d.messageCount++
	d.sent.Add(1)
	d.senders.PostKeyed(strconv.FormatUint(d.messageCount, 10), deliverShares{duty: d, to: s.To, batch: s.Batch})
}

// deliverShares is a message that carries a batch to a peer.
type deliverShares struct {
	duty  *contractDuty
	to    netip.AddrPort
	batch share.Batch
}

// EventName implements mesh.Event.
func (deliverShares) EventName() string { return "deliver-shares" }

// To implements mesh.Message.
func (m deliverShares) To() (addr netip.AddrPort) { return m.to }

// Send implements mesh.Message.
func (m deliverShares) Send(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			m.duty.events.Offer(share.Unreachable{To: m.to})
			err = fmt.Errorf("deliver shares: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	peer := wire.NewSharesProtobufClient(peerURL(m.to), m.duty.client)
	answer, err := peer.Deliver(ctx, wire.FromBatch(m.duty.ledger.Self().Addr, m.batch))
	if err != nil {
		return err
	}
	from, batch, err := wire.ToBatch(answer)
	if err != nil {
		return err
	}
	if from != m.to {
		return fmt.Errorf("the answer is from another host, %s", from)
	}
	m.duty.events.Offer(share.Delivered{From: from, Batch: batch, Reply: true})
	return nil
}

// leaveRequest asks the duty to hand over all shares.
type leaveRequest struct{ reply ring.Reply }

// EventName implements mesh.Event.
func (leaveRequest) EventName() string { return "leave-request" }

// leaveAnswer reports that all shares have been handed over.
type leaveAnswer struct{}

// EventName implements mesh.Event.
func (leaveAnswer) EventName() string { return "leave-answer" }

// HandOver transfers all shares of this node to other nodes and waits until they have
// received them. Shares that are not transferred before ctx ends are recovered when
// their lease expires.
func (d *contractDuty) HandOver(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("wait for the transfers: %w", err)
		}
	}()
	reply := ring.NewReply()
	if err := d.events.Send(ctx, leaveRequest{reply: reply}); err != nil {
		return err
	}
	select {
	case <-reply.Events():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (d *contractDuty) leave(now time.Time, e leaveRequest) {
	d.leaving, d.leaveReply = true, e.reply
	d.perform(d.ledger.Step(now, share.Leave{}))
}

// answerLeave answers the leave request once no transfer is pending.
func (d *contractDuty) answerLeave() {
	if d.leaving && d.ledger.Drained() {
		d.leaveReply.Answer(leaveAnswer{})
	}
}

var _ mesh.Message = deliverShares{}
