package mesh

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryDropped means that the store has discarded part of the changes since the
// reader's version, so that the reader needs a full read.
var ErrHistoryDropped = errors.New("change history since the last read is no longer available")

// Rules are one version of the fleet-wide settings of the operators. They are
// immutable.
type Rules struct {
	// Version increases with each change by an operator.
	Version uint64

	Routes        []Route
	Services      []ServiceRules
	Organisations []Organisation
	Limits        CallerLimits
}

// ServiceRules are the settings for the targets of one service.
type ServiceRules struct {
	Name ServiceName

	// Connections is the maximum number of connections per target, at least 1.
	Connections int

	// StatusPath is the path of the target's health check; empty when it has none.
	StatusPath string

	// ColdTime is the duration of a target's cold start.
	ColdTime time.Duration

	// ColdRate limits a cold target to this many requests per second; zero means no limit.
	ColdRate float64
}

// Organisation is a customer of the fleet with its API keys and its contract.
type Organisation struct {
	Name OrganisationName
	Keys []KeyHash

	// Priority takes precedence over the priority of the route; 0 is the most
	// important. With nil, the route alone decides.
	Priority *int

	// Contract has a rate of zero when the organisation has no rate limit.
	Contract Contract
}

// CallerLimits are the limits on a single request of a caller.
type CallerLimits struct {
	// MaxBodyBytes is the maximum size of a request body; above zero.
	MaxBodyBytes int64

	// MaxHeaderBytes is the maximum size of the head of a request; zero when it is not limited.
	MaxHeaderBytes int

	// HeaderTimeout is the time in which a caller sends a head; zero when it is not limited.
	HeaderTimeout time.Duration
}

// FleetConfig is the configuration that operators have in force for the whole fleet.
type FleetConfig struct {
	// AsOf is the state of the store at which the configuration was read.
	AsOf StoreVersion

	// Rules is nil until operators have written the first version.
	Rules *Rules

	// RulesText is the source text of Rules. Nodes exchange it while the store is
	// unreachable.
	RulesText []byte

	// ZonesOut lists the zones that are out of service, sorted by name.
	ZonesOut []ZoneName

	// Orders lists the operators' orders for roll-outs, sorted by service.
	Orders []RolloutOrder

	// Carried is the part of ZonesOut and Orders that the store lacks since it came back from a
	// copy.
	Carried Carried
}

// Carried holds acknowledged settings of an earlier era that are missing in the store. They stay in
// force while operators write them again.
type Carried struct {
	// Until is the time at which the settings end unless they were written again. It is zero at a
	// host that knows of no era before that of its configuration.
	Until time.Time

	// ZonesOut and Orders are sorted like those of the configuration, which include them.
	ZonesOut []ZoneName
	Orders   []RolloutOrder
}

// Pending reports whether there are settings that operators have not written again.
func (c *Carried) Pending() bool { return len(c.ZonesOut)+len(c.Orders) > 0 }

// ConfigSource is the store from which a node reads and watches the configuration.
type ConfigSource interface {
	// Read returns the current configuration.
	Read(ctx context.Context) (config FleetConfig, err error)

	// Next blocks until the configuration may differ from last, or for the time wait, and
	// returns it. It fails with ErrHistoryDropped when the changes since last are not known. After another failure, the next call uses a new connection: the open ones
	// may be silent for good.
	Next(ctx context.Context, last FleetConfig, wait time.Duration) (config FleetConfig, err error)

	// Parse parses the source text of rules.
	Parse(text []byte) (rules *Rules, err error)
}

// ContractUsage is the most that an organisation uses of its contract at present, in numbers of admitted
// requests over all hosts.
type ContractUsage struct {
	// Window is the most in a window of contracts, and Second the most in a second of it.
	Window, Second uint64
}

// UsageStore stores how much of their contracts organisations use, for nodes that start when none lived
// on that knows.
type UsageStore interface {
	// Usage returns the stored usage, the highest of all zones. It fails when a part of it may be lost.
	Usage(ctx context.Context) (usage map[OrganisationName]ContractUsage, err error)

	// StoreUsage replaces the stored usage of a zone, which is that of the whole fleet as the zone
	// knows it.
	StoreUsage(ctx context.Context, zone ZoneName, usage map[OrganisationName]ContractUsage) (err error)
}

// HostRegistry is the stored list of all hosts that have ever run a node. It holds no
// liveness information.
type HostRegistry interface {
	// Register adds a host unless it is already registered. It returns the state of the store that
	// has the host; a store that comes back from an older copy may have lost it.
	Register(ctx context.Context, host Host) (asOf StoreVersion, err error)

	// Hosts returns all registered hosts.
	Hosts(ctx context.Context) (hosts []Host, err error)
}
