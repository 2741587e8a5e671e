package mesh

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// Class is the priority class of a request. Under overload, class 0 is shed last.
type Class uint8

// Priority classes, most important first.
const (
	ClassCritical Class = iota
	ClassHigh
	ClassNormal
	ClassLow

	// ClassCount is the number of classes.
	ClassCount = 4
)

var classNames = [ClassCount]string{"critical", "high", "normal", "low"}

// String returns the name of the class in settings and metrics.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "invalid"
	}
	return classNames[c]
}

// Rank is the priority of a request within its class; 0 is the most important.
type Rank uint8

// RankCount is the number of ranks.
const RankCount = 4

// ParseClass returns the class with the given name.
func ParseClass(name string) (class Class, found bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// ClaimStore selects where the claims that keep non-idempotent requests at most once are stored.
type ClaimStore string

// ClaimStorePlatform stores claims with conditional writes to the platform's table service.
const ClaimStorePlatform ClaimStore = "platform"

// Route is a set of requests to one service that share a policy: class, timeout, retries
// and limits.
type Route struct {
	Service ServiceName

	// Name is the route's name in the settings tree.
	Name string

	// Path is the path prefix, below the service, that the route matches.
	Path string

	// Methods lists the HTTP methods of the route; empty means all.
	Methods []string

	Class Class

	// Idempotent is true when a request may be executed more than once.
	Idempotent bool

	// Open is true when requests need no API key.
	Open bool

	ClaimStore ClaimStore

	// Timeout is the default timeout of a request, and the upper bound on
	// the timeout that a caller may set. It is above zero.
	Timeout time.Duration

	// Retries is the end-to-end retry budget, at least 0.
	Retries int

	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64

	// Host is the host name that requests must carry to match the route; empty
	// when the route is matched by service name.
	Host string

	// LatencyObjective is the latency up to which an answer has its full value to
	// the caller; zero when none is set.
	LatencyObjective time.Duration

	// Split distributes the requests of the route over several services by
	// weight. It is empty when all requests go to Service.
	Split []WeightedService
}

// WeightedService is one of the services of a split route with its traffic weight.
type WeightedService struct {
	Service ServiceName

	// Weight is the service's share relative to the other services, at least 0.
	Weight float64
}

// RequestID is a UUIDv7 that identifies a request; retries keep it.
type RequestID uuid.UUID

// NewRequestID returns a new id that carries the current time.
func NewRequestID() (id RequestID, err error) {
	u, err := uuid.NewV7()
	return RequestID(u), err
}

// ParseRequestID parses the text form of an id, which must be a UUIDv7.
func ParseRequestID(text string) (id RequestID, valid bool) {
	u, err := uuid.Parse(text)
	if err != nil || u.Version() != 7 {
		return RequestID{}, false
	}
	return RequestID(u), true
}

// String returns the canonical text form of the UUID.
func (r RequestID) String() string { return uuid.UUID(r).String() }

// Time returns the creation time that the id carries, on the clock of its creator.
func (r RequestID) Time() (made time.Time) {
	var milliseconds [8]byte
	copy(milliseconds[2:], r[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(milliseconds[:])))
}

// Derive returns the id of the nested call with the given ordinal to a route.
// The derivation is deterministic: a parent that is executed again derives the
// same ids, so its non-idempotent nested calls still run at most once.
func (r RequestID) Derive(service ServiceName, route string, ordinal int) (id RequestID) {
	h := sha256.New()
	h.Write(r[:])
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(route))
	h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(ordinal)))
	sum := h.Sum(nil)
	copy(id[:6], r[:6])
	copy(id[6:], sum)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}

// KeyHash is the SHA-256 hash of an API key. Keys are never stored in plain text.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) (hash KeyHash) { return sha256.Sum256([]byte(key)) }

// Call is a request that is being forwarded to a target.
type Call struct {
	ID    RequestID
	Route *Route

	// CallerRequestID is the caller's own request id where those ids are not UUIDs.
	CallerRequestID string

	// Service is the service chosen for a call to a split route; empty when the
	// route has a single service.
	Service ServiceName

	// Choice says which versions of the service's targets may run the call.
	Choice VersionChoice

	// Caller is the service on the host where the call originated.
	Caller ServiceName

	// Class is the priority class of the request, set by its route at the entry
	// node. Nested calls inherit it, regardless of their own routes.
	Class Class

	// Rank orders requests within a class, such as the routes of one
	// organisation; 0 is the most important.
	Rank Rank

	// Organisation is empty on open routes.
	Organisation OrganisationName

	// Nested is true for a call that a target makes while it runs another request.
	Nested bool

	// ParentUnknown is true for a nested call whose parent request is not known.
	ParentUnknown bool

	// ParentOrganisation is the organisation whose request caused a nested call;
	// empty when not known. It is never sent to a target.
	ParentOrganisation OrganisationName

	// Retry is true when this call, or its parent request, has already been sent
	// to a target.
	Retry bool

	// Key is the hash of the API key of the request. It travels with the call so
	// that every node on the path can reject a withdrawn key.
	Key KeyHash

	// Weight is the organisation's fair-share weight under overload, at least 1.
	Weight int

	// Deadline is on this host's clock. Between hosts, calls carry the remaining time.
	Deadline time.Time

	// AnswerBy is the time by which the node of the caller needs the answer because it shuts down;
	// zero while it does not.
	AnswerBy time.Time

	// Queued is how long the request waited on its connection before it was handled, behind
	// other requests or for processor time.
	Queued time.Duration

	// AttemptsLeft is the remaining retry budget, which travels with the call. The
	// node that handles the call may spend it; the rest returns with the answer.
	AttemptsLeft int
}

// TargetService returns the service that executes the call.
func (c *Call) TargetService() (service ServiceName) {
	if c.Service != "" {
		return c.Service
	}
	return c.Route.Service
}

// Owner returns the organisation that the call is accounted to: for a nested call that of
// its parent request, if known. It is empty when no organisation is known.
func (c *Call) Owner() (o OrganisationName) {
	if c.Nested && c.ParentOrganisation != "" {
		return c.ParentOrganisation
	}
	return c.Organisation
}

// End returns the time by which the answer must come: the deadline or AnswerBy, whichever is earlier.
func (c *Call) End() (end time.Time) {
	if !c.AnswerBy.IsZero() && c.AnswerBy.Before(c.Deadline) {
		return c.AnswerBy
	}
	return c.Deadline
}

// Remaining returns the time until the end of the call.
func (c *Call) Remaining(now time.Time) (left time.Duration) { return c.End().Sub(now) }
