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
		Sender: fromProcess(share.Process{Addr: self, Incarnation: b.Incarnation}),
		Sent:   b.Sent.UnixNano(),
		Acks:   b.Acks,
		Denied: b.Denied,
	}
	for _, k := range b.Requests {
		m.Asks = append(m.Asks, fromRequest(k))
	}
	for _, t := range b.Transfers {
		m.Transfers = append(m.Transfers, fromTransfer(t))
	}
	for _, name := range b.Declined {
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
	sender, err := toProcess(m.GetSender())
	if err != nil {
		return from, b, err
	}
	b = share.Batch{Incarnation: sender.Incarnation, Sent: time.Unix(0, m.GetSent()), Acks: m.GetAcks(), Denied: m.GetDenied()}
	for _, k := range m.GetAsks() {
		b.Requests = append(b.Requests, toRequest(k))
	}
	for _, t := range m.GetTransfers() {
		transfer, err := toTransfer(t)
		if err != nil {
			return from, b, err
		}
		b.Transfers = append(b.Transfers, transfer)
	}
	for _, name := range m.GetNone() {
		b.Declined = append(b.Declined, mesh.OrganisationName(name))
	}
	return sender.Addr, b, nil
}

func fromProcess(h share.Process) (m *Sender) {
	return &Sender{Host: h.Addr.String(), Incarnation: uint64(h.Incarnation)}
}

func toProcess(m *Sender) (h share.Process, err error) {
	addr, err := netip.ParseAddrPort(m.GetHost())
	return share.Process{Addr: addr, Incarnation: mesh.Incarnation(m.GetIncarnation())}, err
}

func fromAllowance(p share.Allowance) (m *ShareParcel) {
	if p == (share.Allowance{}) {
		return nil
	}
	return &ShareParcel{Rate: int64(p.Rate), Capacity: int64(p.Capacity), Tokens: int64(p.Tokens)}
}

func toAllowance(m *ShareParcel) (p share.Allowance) {
	return share.Allowance{
		Rate: share.Amount(m.GetRate()), Capacity: share.Amount(m.GetCapacity()), Tokens: share.Amount(m.GetTokens()),
	}
}

func fromRequest(k share.AllowanceRequest) (m *ShareAsk) {
	return &ShareAsk{
		Organisation: string(k.Organisation),
		Need:         int64(k.Need),
		Demand:       int64(k.Demand),
		Rate:         int64(k.Rate),
		Depth:        uint32(max(0, k.HopLimit)),
		Recall:       k.Recall,
		Leaf:         k.Leaf,
		Wait:         int64(k.Timeout),
	}
}

func toRequest(m *ShareAsk) (k share.AllowanceRequest) {
	return share.AllowanceRequest{
		Organisation: mesh.OrganisationName(m.GetOrganisation()),
		Need:         share.Amount(m.GetNeed()),
		Demand:       share.Amount(m.GetDemand()),
		Rate:         share.Amount(m.GetRate()),
		HopLimit:     int(m.GetDepth()),
		Recall:       m.GetRecall(),
		Leaf:         m.GetLeaf(),
		Timeout:      time.Duration(m.GetWait()),
	}
}

func fromTransfer(t share.Transfer) (m *ShareTransfer) {
	m = &ShareTransfer{
		Id:           t.ID,
		Floor:        t.Floor,
		Life:         uint64(t.ReceiverIncarnation),
		Organisation: string(t.Organisation),
		Kind:         uint32(t.Kind),
		Root:         fromProcess(t.Root),
		Parcel:       fromAllowance(t.Allowance),
		Lease:        int64(t.Lease),
		Leaf:         t.Leaf,
		Issued:       fromAllowance(t.Issued),
		Burnt:        fromAllowance(t.Relinquished),
	}
	for _, r := range t.Loans {
		m.Loans = append(m.Loans, &ShareLoan{
			Borrower: fromProcess(r.Borrower), Parcel: fromAllowance(r.Allowance), Left: int64(r.Remaining),
		})
	}
	return m
}

func toTransfer(m *ShareTransfer) (t share.Transfer, err error) {
	t = share.Transfer{
		ID:                  m.GetId(),
		Floor:               m.GetFloor(),
		ReceiverIncarnation: mesh.Incarnation(m.GetLife()),
		Organisation:        mesh.OrganisationName(m.GetOrganisation()),
		Kind:                share.Kind(m.GetKind()),
		Allowance:           toAllowance(m.GetParcel()),
		Lease:               time.Duration(m.GetLease()),
		Leaf:                m.GetLeaf(),
		Issued:              toAllowance(m.GetIssued()),
		Relinquished:        toAllowance(m.GetBurnt()),
	}
	if t.Root, err = toProcess(m.GetRoot()); err != nil {
		return t, err
	}
	for _, r := range m.GetLoans() {
		borrower, err := toProcess(r.GetBorrower())
		if err != nil {
			return t, err
		}
		t.Loans = append(t.Loans, share.OpenLoan{
			Borrower: borrower, Allowance: toAllowance(r.GetParcel()), Remaining: time.Duration(r.GetLeft()),
		})
	}
	return t, nil
}
