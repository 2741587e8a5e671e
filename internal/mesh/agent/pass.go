package agent

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// pass describes a call to the node of its target, without names to save bytes
// on each request.
type pass struct {
	_ struct{} `cbor:",toarray"`

	Route        string
	Service      string
	Caller       string
	Label        string
	Organisation string
	Class        uint8
	Rank         uint8
	Idempotent   bool
	Deeper       bool
	Origin       string
	Repeat       bool

	// Objective is in microseconds.
	Objective int64

	// Target is the target that the sender chose.
	Target string

	// Left is the remaining time in microseconds. The clocks of hosts differ.
	Left int64
}

// sealPass returns the header value that describes a call.
func sealPass(now time.Time, call *mesh.Call, to mesh.Endpoint) (value string, err error) {
	data, err := cbor.Marshal(pass{
		Route: call.Route.Name, Service: string(call.TargetService()), Caller: string(call.Caller), Label: call.CallerRequestID,
		Organisation: string(call.Organisation), Class: uint8(call.Class), Rank: uint8(call.Rank),
		Idempotent: call.Route.Idempotent, Deeper: call.Nested, Origin: string(call.ParentOrganisation), Repeat: call.Retry,
		Objective: call.Route.LatencyObjective.Microseconds(), Target: to.Target.Name, Left: passedTime(call.Remaining(now)).Microseconds(),
	})
	return base64.RawStdEncoding.EncodeToString(data), err
}

// openPass returns the call that a header value describes, and the name of its
// target. The node of the target does not look its route up: the sender's rules
// may be newer.
func openPass(now time.Time, value string) (call *mesh.Call, target string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("pass of %d bytes: %w", len(value), err)
		}
	}()
	data, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return nil, "", err
	}
	var p pass
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, "", err
	}
	if p.Service == "" || p.Label == "" || p.Class >= mesh.ClassCount || p.Rank >= mesh.RankCount {
		return nil, "", fmt.Errorf("service %q, request %q, class %d and rank %d describe no call", p.Service, p.Label, p.Class, p.Rank)
	}
	return &mesh.Call{
		Route: &mesh.Route{
			Name: p.Route, Service: mesh.ServiceName(p.Service), Idempotent: p.Idempotent,
			LatencyObjective: time.Duration(p.Objective) * time.Microsecond,
		},
		CallerRequestID:    p.Label,
		Caller:             mesh.ServiceName(p.Caller),
		Class:              mesh.Class(p.Class),
		Rank:               mesh.Rank(p.Rank),
		Nested:             p.Deeper,
		ParentOrganisation: mesh.OrganisationName(p.Origin),
		Retry:              p.Repeat,
		Organisation:       mesh.OrganisationName(p.Organisation),
		Weight:             1,
		Deadline:           now.Add(time.Duration(p.Left) * time.Microsecond),
	}, p.Target, nil
}

// maxReturnMargin bounds the time that a hop keeps for the way back.
const maxReturnMargin = 10 * time.Millisecond

// passedTime returns the part of the remaining time that the next hop may use.
// The rest lets a refusal that it makes at its deadline arrive as not run.
func passedTime(remaining time.Duration) (passed time.Duration) {
	return remaining - min(maxReturnMargin, remaining/10)
}
