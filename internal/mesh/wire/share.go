package wire

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
)

// FromBatch encodes a batch that the node at self sends.
func FromBatch(self netip.AddrPort, b share.Batch) (m *ShareBatch) {
	m = &ShareBatch{
		Sender: fromHolder(share.Holder{Addr: self, Life: b.Life}),
		Sent:   b.Sent.UnixNano(),
		Acks:   b.Acks,
		Denied: b.Denied,
	}
	for _, k := range b.Asks {
		m.Asks = append(m.Asks, fromAsk(k))
	}
	for _, t := range b.Transfers {
		m.Transfers = append(m.Transfers, fromTransfer(t))
	}
	for _, name := range b.None {
		m.None = append(m.None, string(name))
	}
	return m
}

// ToBatch decodes a batch and returns it with the address of its sender.
func ToBatch(m *ShareBatch) (from netip.AddrPort, b share.Batch, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("share batch: %w", err)
		}
	}()
	sender, err := toHolder(m.GetSender())
	if err != nil {
		return from, b, err
	}
	b = share.Batch{Life: sender.Life, Sent: time.Unix(0, m.GetSent()), Acks: m.GetAcks(), Denied: m.GetDenied()}
	for _, k := range m.GetAsks() {
		b.Asks = append(b.Asks, toAsk(k))
	}
	for _, t := range m.GetTransfers() {
		transfer, err := toTransfer(t)
		if err != nil {
			return from, b, err
		}
		b.Transfers = append(b.Transfers, transfer)
	}
	for _, name := range m.GetNone() {
		b.None = append(b.None, mesh.OrganisationName(name))
	}
	return sender.Addr, b, nil
}

func fromHolder(h share.Holder) (m *Sender) {
	return &Sender{Host: h.Addr.String(), Incarnation: uint64(h.Life)}
}

func toHolder(m *Sender) (h share.Holder, err error) {
	addr, err := netip.ParseAddrPort(m.GetHost())
	return share.Holder{Addr: addr, Life: mesh.Incarnation(m.GetIncarnation())}, err
}

func fromParcel(p share.Parcel) (m *ShareParcel) {
	if p == (share.Parcel{}) {
		return nil
	}
	return &ShareParcel{Rate: int64(p.Rate), Capacity: int64(p.Capacity), Tokens: int64(p.Tokens)}
}

func toParcel(m *ShareParcel) (p share.Parcel) {
	return share.Parcel{
		Rate: share.Amount(m.GetRate()), Capacity: share.Amount(m.GetCapacity()), Tokens: share.Amount(m.GetTokens()),
	}
}

func fromAsk(k share.Ask) (m *ShareAsk) {
	return &ShareAsk{
		Organisation: string(k.Organisation),
		Need:         int64(k.Need),
		Demand:       int64(k.Demand),
		Rate:         int64(k.Rate),
		Depth:        uint32(max(0, k.Depth)),
		Recall:       k.Recall,
		Leaf:         k.Leaf,
		Wait:         int64(k.Wait),
	}
}

func toAsk(m *ShareAsk) (k share.Ask) {
	return share.Ask{
		Organisation: mesh.OrganisationName(m.GetOrganisation()),
		Need:         share.Amount(m.GetNeed()),
		Demand:       share.Amount(m.GetDemand()),
		Rate:         share.Amount(m.GetRate()),
		Depth:        int(m.GetDepth()),
		Recall:       m.GetRecall(),
		Leaf:         m.GetLeaf(),
		Wait:         time.Duration(m.GetWait()),
	}
}

func fromTransfer(t share.Transfer) (m *ShareTransfer) {
	m = &ShareTransfer{
		Id:           t.ID,
		Floor:        t.Floor,
		Life:         uint64(t.Life),
		Organisation: string(t.Organisation),
		Kind:         uint32(t.Kind),
		Root:         fromHolder(t.Root),
		Parcel:       fromParcel(t.Parcel),
		Lease:        int64(t.Lease),
		Leaf:         t.Leaf,
		Issued:       fromParcel(t.Issued),
		Burnt:        fromParcel(t.Burnt),
	}
	for _, r := range t.Loans {
		m.Loans = append(m.Loans, &ShareLoan{
			Borrower: fromHolder(r.Borrower), Parcel: fromParcel(r.Parcel), Left: int64(r.Left),
		})
	}
	return m
}

func toTransfer(m *ShareTransfer) (t share.Transfer, err error) {
	t = share.Transfer{
		ID:           m.GetId(),
		Floor:        m.GetFloor(),
		Life:         mesh.Incarnation(m.GetLife()),
		Organisation: mesh.OrganisationName(m.GetOrganisation()),
		Kind:         share.Kind(m.GetKind()),
		Parcel:       toParcel(m.GetParcel()),
		Lease:        time.Duration(m.GetLease()),
		Leaf:         m.GetLeaf(),
		Issued:       toParcel(m.GetIssued()),
		Burnt:        toParcel(m.GetBurnt()),
	}
	if t.Root, err = toHolder(m.GetRoot()); err != nil {
		return t, err
	}
	for _, r := range m.GetLoans() {
		borrower, err := toHolder(r.GetBorrower())
		if err != nil {
			return t, err
		}
		t.Loans = append(t.Loans, share.LoanRow{
			Borrower: borrower, Parcel: toParcel(r.GetParcel()), Left: time.Duration(r.GetLeft()),
		})
	}
	return t, nil
}
