package mesh

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// Class is the importance of a request. Class 0 is shed last.
type Class uint8

// Classes in the order of importance.
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

// Rank is the importance of a request among those of its class.
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

// ClaimStore says where claims of non-idempotent requests are kept.
type ClaimStore string

// ClaimStorePlatform keeps claims as conditional writes at the platform.
const ClaimStorePlatform ClaimStore = "platform"

// Route is a set of requests of one service that share their treatment.
type Route struct {
	Service ServiceName

	// Name is the route's name in the settings tree.
	Name string

	// Path is the prefix below the service that the route covers.
	Path string

	// Methods lists the HTTP methods of the route; empty means all.
	Methods []string

	Class Class

	// Idempotent routes may run more than once for one request.
	Idempotent bool

	// Open routes need no key.
	Open bool

	ClaimStore ClaimStore

	// Timeout is the deadline of a request that brings none, and the
	// longest that one may bring. It is above zero.
	Timeout time.Duration

	// Retries is the budget of extra attempts from end to end, at least 0.
	Retries int

	// MaxBody is the largest request body in bytes.
	MaxBody int64

	// Host is the host name that requests of the route are sent to; empty
	// where a route is found by its service.
	Host string

	// LatencyObjective is the latency within which an answer has its full value;
	// zero when none is stated.
	LatencyObjective time.Duration

	// Split divides the requests of the route between services. It is empty
	// when all go to Service.
	Split []WeightedService
}

// WeightedService is one service's part of a split route.
type WeightedService struct {
	Service ServiceName

	// Weight is the part relative to the other portions, at least 0.
	Weight float64
}

// RequestID is a UUIDv7 that names a request across resends.
type RequestID uuid.UUID

// NewRequestID returns a new id for a request that starts now.
func NewRequestID() (id RequestID, err error) {
	u, err := uuid.NewV7()
	return RequestID(u), err
}

// ParseRequestID returns the id written in text, which must be a UUIDv7.
func ParseRequestID(text string) (id RequestID, valid bool) {
	u, err := uuid.Parse(text)
	if err != nil || u.Version() != 7 {
		return RequestID{}, false
	}
	return RequestID(u), true
}

// String returns the id in the usual form of a UUID.
func (r RequestID) String() string { return uuid.UUID(r).String() }

// Time returns when the id was made, by the clock of its maker.
func (r RequestID) Time() (made time.Time) {
	var milliseconds [8]byte
	copy(milliseconds[2:], r[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(milliseconds[:])))
}

// Derive returns the id of the deeper call with the given ordinal to a route.
// A parent that runs again derives the same ids, so its non-idempotent deeper
// calls still run at most once.
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

// KeyHash is the SHA-256 hash of a key. Keys are never kept in clear.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) (hash KeyHash) { return sha256.Sum256([]byte(key)) }

// Call is one request on its way to a target.
type Call struct {
	ID    RequestID
	Route *Route

	// CallerRequestID is the id that the caller gave where ids are no UUIDs.
	CallerRequestID string

	// Service is the one of a split route's services that runs the call; empty
	// where the route has only one.
	Service ServiceName

	// Caller is the service on the host where the call began.
	Caller ServiceName

	// Class is the importance of the request, set by its route at entry. Its
	// deeper calls keep it, whatever their own routes say.
	Class Class

	// Rank orders the requests of one class, such as the routes of one
	// organisation; 0 is the most important.
	Rank Rank

	// Organisation is empty on open routes.
	Organisation OrganisationName

	// Nested is true for a call that a target makes for a request that it runs.
	Nested bool

	// ParentUnknown is true for a deeper call whose request is not known.
	ParentUnknown bool

	// ParentOrganisation is the organisation whose request a deeper call belongs to. It is
	// empty where that is not known, and no target is told of it.
	ParentOrganisation OrganisationName

	// Retry is true when this call, or the request that it belongs to, has been
	// sent to a target before.
	Retry bool

	// Key is the hash of the key that the request came with. It lets every
	// node on the way see a withdrawal.
	Key KeyHash

	// Weight is the organisation's part under overload, at least 1.
	Weight int

	// Deadline is on this host's clock. Hosts pass on the remaining time.
	Deadline time.Time

	// AttemptsLeft is the retry budget that travels with the call. Whoever holds
	// it may spend it; what is left returns with the answer.
	AttemptsLeft int
}

// TargetService returns the service that runs the call.
func (c *Call) TargetService() (service ServiceName) {
	if c.Service != "" {
		return c.Service
	}
	return c.Route.Service
}

// Owner returns the organisation that the call is done for; empty where that is
// not known.
func (c *Call) Owner() (o OrganisationName) {
	if c.Nested && c.ParentOrganisation != "" {
		return c.ParentOrganisation
	}
	return c.Organisation
}

// Remaining returns the time left until the deadline.
func (c *Call) Remaining(now time.Time) (left time.Duration) { return c.Deadline.Sub(now) }
