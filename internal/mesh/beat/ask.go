package beat

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// MaxAskBytes is the maximum size of a datagram with an ask or a verdict.
const MaxAskBytes = 1 << 10

// Ask is a host's question to a holder of a contract: may a request of the organisation be
// admitted? The verdict goes to the host From.
type Ask struct {
	ID           uint64
	From         netip.AddrPort
	Organisation mesh.OrganisationName
}

// Verdict is the answer to an ask.
type Verdict struct {
	// ID is that of the ask.
	ID uint64

	// Known is false when the asked host does not know the contract or the fleet yet, and
	// another one has to be asked.
	Known bool

	// Admitted is true when the request may go on; otherwise the organisation exceeds its rate
	// limit, and RetryAfter is the delay before a retry can succeed.
	Admitted   bool
	RetryAfter time.Duration
}

type ask struct {
	_ struct{} `cbor:",toarray"`

	ID           uint64
	From         string
	Organisation string
}

type verdict struct {
	_ struct{} `cbor:",toarray"`

	ID         uint64
	Known      bool
	Admitted   bool
	RetryAfter int64
}

// EncodeAsk returns the datagram for an ask.
func EncodeAsk(a *Ask) (data []byte, err error) {
	data, err = cbor.Marshal(ask{ID: a.ID, From: a.From.String(), Organisation: string(a.Organisation)})
	return append([]byte{flagAsk}, data...), err
}

// EncodeVerdict returns the datagram for a verdict.
func EncodeVerdict(v *Verdict) (data []byte, err error) {
	data, err = cbor.Marshal(verdict{ID: v.ID, Known: v.Known, Admitted: v.Admitted, RetryAfter: v.RetryAfter.Milliseconds()})
	return append([]byte{flagVerdict}, data...), err
}

// IsAsk reports whether a datagram holds an ask.
func IsAsk(data []byte) bool { return len(data) > 0 && data[0] == flagAsk }

// IsVerdict reports whether a datagram holds a verdict.
func IsVerdict(data []byte) bool { return len(data) > 0 && data[0] == flagVerdict }

// DecodeAsk returns the ask in a datagram.
func DecodeAsk(data []byte) (a *Ask, err error) {
	var m ask
	if err := decodeSmall(data, flagAsk, &m); err != nil {
		return nil, fmt.Errorf("ask of %d bytes: %w", len(data), err)
	}
	from, err := netip.ParseAddrPort(m.From)
	if err != nil {
		return nil, fmt.Errorf("ask of %d bytes: %w", len(data), err)
	}
	return &Ask{ID: m.ID, From: from, Organisation: mesh.OrganisationName(m.Organisation)}, nil
}

// DecodeVerdict returns the verdict in a datagram.
func DecodeVerdict(data []byte) (v *Verdict, err error) {
	var m verdict
	if err := decodeSmall(data, flagVerdict, &m); err != nil {
		return nil, fmt.Errorf("verdict of %d bytes: %w", len(data), err)
	}
	if m.RetryAfter < 0 || m.RetryAfter > time.Hour.Milliseconds() {
		return nil, fmt.Errorf("verdict with a retry after %d ms", m.RetryAfter)
	}
	return &Verdict{ID: m.ID, Known: m.Known, Admitted: m.Admitted, RetryAfter: time.Duration(m.RetryAfter) * time.Millisecond}, nil
}

func decodeSmall(data []byte, flag byte, message any) (err error) {
	if len(data) > MaxAskBytes || len(data) == 0 || data[0] != flag {
		return errors.New("invalid size or first byte")
	}
	return cbor.Unmarshal(data[1:], message)
}
