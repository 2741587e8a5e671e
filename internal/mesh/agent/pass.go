package agent

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// pass is the metadata of a call that is sent to the node of its target. It is encoded as an
// array without field names, to save bytes on each request.
type pass struct {
	_ struct{} `cbor:",toarray"`

	Route              string
	Service            string
	Caller             string
	RequestID          string
	Organisation       string
	Class              uint8
	Rank               uint8
	Idempotent         bool
	Nested             bool
	ParentOrganisation string
	Retry              bool

	// Objective is the latency objective in microseconds.
	Objective int64

	// Target is the name of the target that the sender chose.
	Target string

	// Remaining is the time until the deadline in microseconds. The clocks of hosts differ, so
	// the deadline itself is not sent.
	Remaining int64
}

// maxPassTime bounds the times in a pass. Requests end within seconds.
const maxPassTime = 24 * time.Hour

// encodePass returns the header value with the metadata of a call.
func encodePass(now time.Time, call *mesh.Call, to mesh.Endpoint) (value string, err error) {
	data, err := cbor.Marshal(pass{
		Route: call.Route.Name, Service: string(call.TargetService()), Caller: string(call.Caller), RequestID: call.CallerRequestID,
		Organisation: string(call.Organisation), Class: uint8(call.Class), Rank: uint8(call.Rank),
		Idempotent: call.Route.Idempotent, Nested: call.Nested, ParentOrganisation: string(call.ParentOrganisation), Retry: call.Retry,
		Objective: call.Route.LatencyObjective.Microseconds(), Target: to.Target.Name, Remaining: nextHopTime(call.Remaining(now)).Microseconds(),
	})
	return base64.RawStdEncoding.EncodeToString(data), err
}

// decodePass returns the call that a header value describes, and the name of its target. The
// node of the target does not look up the route, since the sender's rules may be newer.
func decodePass(now time.Time, value string) (call *mesh.Call, target string, err error) {
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
	if p.Service == "" || p.RequestID == "" || p.Class >= mesh.ClassCount || p.Rank >= mesh.RankCount {
		return nil, "", fmt.Errorf("invalid call: service %q, request %q, class %d, rank %d", p.Service, p.RequestID, p.Class, p.Rank)
	}
	if limit := maxPassTime.Microseconds(); p.Remaining > limit || p.Remaining < -limit || p.Objective > limit || p.Objective < 0 {
		return nil, "", fmt.Errorf("invalid call: %d µs left, objective %d µs", p.Remaining, p.Objective)
	}
	return &mesh.Call{
		Route: &mesh.Route{
			Name: p.Route, Service: mesh.ServiceName(p.Service), Idempotent: p.Idempotent,
			LatencyObjective: time.Duration(p.Objective) * time.Microsecond,
		},
		CallerRequestID:    p.RequestID,
		Caller:             mesh.ServiceName(p.Caller),
		Class:              mesh.Class(p.Class),
		Rank:               mesh.Rank(p.Rank),
		Nested:             p.Nested,
		ParentOrganisation: mesh.OrganisationName(p.ParentOrganisation),
		Retry:              p.Retry,
		Organisation:       mesh.OrganisationName(p.Organisation),
		Weight:             1,
		Deadline:           now.Add(time.Duration(p.Remaining) * time.Microsecond),
	}, p.Target, nil
}

// maxReturnMargin is the maximum time that a hop reserves for the return of the answer.
const maxReturnMargin = 10 * time.Millisecond

// nextHopTime returns how much of the remaining time the next hop may use. The rest is
// reserved so that what the next hop sends at its deadline still arrives: the answer of a target, or
// a refusal with the outcome not-run.
func nextHopTime(remaining time.Duration) (passed time.Duration) {
	return remaining - min(maxReturnMargin, remaining/10)
}
