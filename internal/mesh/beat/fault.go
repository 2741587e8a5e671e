package beat

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// maxFaultReasonBytes is the size at which the reason of a fault is cut, so that the datagram stays
// within MaxAskBytes.
const maxFaultReasonBytes = 300

// Fault says that the host From has found the new version of a service bad and sends it no more
// requests.
type Fault struct {
	From        netip.AddrPort
	Incarnation mesh.Incarnation
	Service     mesh.ServiceName

	// Revision is that of the order for the roll-out.
	Revision mesh.StoreVersion

	// Reason says in a sentence what was found; not empty.
	Reason string
}

type fault struct {
	_ struct{} `cbor:",toarray"`

	From        string
	Incarnation uint64
	Service     string
	Era         uint64
	Revision    uint64
	Reason      string
}

// EncodeFault returns the datagram for a fault.
func EncodeFault(f *Fault) (data []byte, err error) {
	reason := f.Reason[:min(maxFaultReasonBytes, len(f.Reason))]
	data, err = cbor.Marshal(fault{
		From: f.From.String(), Incarnation: uint64(f.Incarnation), Service: string(f.Service), Era: f.Revision.Era, Revision: f.Revision.Number,
		// A reason that was cut may end within a character, which the receiver would not decode.
		Reason: strings.ToValidUTF8(reason, ""),
	})
	return append([]byte{flagFault}, data...), err
}

// IsFault reports whether a datagram holds a fault.
func IsFault(data []byte) bool { return len(data) > 0 && data[0] == flagFault }

// DecodeFault returns the fault in a datagram.
func DecodeFault(data []byte) (f *Fault, err error) {
	defer func() {
		if err != nil {
			f, err = nil, fmt.Errorf("fault of %d bytes: %w", len(data), err)
		}
	}()
	var m fault
	if err := decodeSmall(data, flagFault, &m); err != nil {
		return nil, err
	}
	if !validNames(m.Service) || m.Reason == "" || len(m.Reason) > maxFaultReasonBytes {
		return nil, fmt.Errorf("service %.40q, reason of %d bytes", m.Service, len(m.Reason))
	}
	from, err := netip.ParseAddrPort(m.From)
	if err != nil {
		return nil, err
	}
	return &Fault{
		From: from, Incarnation: mesh.Incarnation(m.Incarnation), Service: mesh.ServiceName(m.Service),
		Revision: mesh.StoreVersion{Era: m.Era, Number: m.Revision}, Reason: m.Reason,
	}, nil
}
