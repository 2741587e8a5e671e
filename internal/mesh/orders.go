package mesh

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryDropped means that the store no longer holds the changes since the
// state that a reader has, so that it has to read everything again.
var ErrHistoryDropped = errors.New("history of changes dropped")

// Rules are one version of what operators have set for the whole fleet. They
// are never changed after they were made.
type Rules struct {
	// Version rises with each change that operators make.
	Version uint64

	Routes        []Route
	Services      []ServiceRules
	Organisations []Organisation
	Limits        CallerLimits
}

// ServiceRules are what operators have set for the targets of one service.
type ServiceRules struct {
	Name ServiceName

	// Connections is how many connections one target accepts, at least 1.
	Connections int

	// StatusPath is where a target answers status checks; empty where it does
	// not.
	StatusPath string

	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration

	// ColdRate is how many requests a second a cold target bears; zero means
	// that it bears any number.
	ColdRate float64
}

// Organisation is a customer of the fleet with its keys and its contract.
type Organisation struct {
	Name OrganisationName
	Keys []KeyHash

	// Priority goes before the importance of the route; 0 is the most
	// important, and nil leaves the order to the routes.
	Priority *int

	// Contract has a rate of zero when the organisation is not limited.
	Contract Contract
}

// CallerLimits bound what one caller may send.
type CallerLimits struct {
	// MaxBodyBytes is above zero.
	MaxBodyBytes int64
}

// FleetConfig are everything that operators have in force at one moment.
type FleetConfig struct {
	// AsOf is the state of the store that the orders were read from. A later
	// state has a higher value.
	AsOf uint64

	// Rules is nil until operators have set any.
	Rules *Rules

	// RulesText is how the operators wrote Rules. Nodes pass it to each other when
	// the store is out of reach.
	RulesText []byte

	// ZonesOut lists the zones that are taken out, in the order of their names.
	ZonesOut []ZoneName
}

// ConfigSource is where a node follows the orders of operators.
type ConfigSource interface {
	// Read returns the orders as they stand.
	Read(ctx context.Context) (orders FleetConfig, err error)

	// Next waits until the orders may differ from last and returns them. It
	// ends with ErrHistoryDropped when the changes since last are lost.
	Next(ctx context.Context, last FleetConfig) (orders FleetConfig, err error)

	// Parse returns the rules that operators wrote as text.
	Parse(text []byte) (rules *Rules, err error)
}

// HostRegistry is the list of hosts that have ever run a node. It says nothing
// about whether they live.
type HostRegistry interface {
	// Register adds a host, unless it is listed already.
	Register(ctx context.Context, host Host) (err error)

	// Hosts returns all hosts that are listed.
	Hosts(ctx context.Context) (hosts []Host, err error)
}
