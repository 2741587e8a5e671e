package tree

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Level is a bit set of levels of the tree.
type Level uint8

// Levels of the tree, from the top level down.
const (
	LevelFleet Level = 1 << iota
	LevelZone
	LevelService
	LevelRoute
	LevelOrganisation

	requestLevels  = LevelFleet | LevelZone | LevelService | LevelRoute | LevelOrganisation
	routeLevels    = LevelFleet | LevelZone | LevelService | LevelRoute
	targetLevels   = LevelFleet | LevelZone | LevelService
	contractLevels = LevelFleet | LevelOrganisation
)

var levelNames = []string{"fleet", "zone", "service", "route", "organisation"}

// String lists the levels by name.
func (l Level) String() string {
	var names []string
	for i, n := range levelNames {
		if l&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	return strings.Join(names, ", ")
}

// SettingsOn returns the names of the settings that are allowed on a level.
func SettingsOn(level Level) (names []string) {
	for _, r := range rules {
		if r.levels&level != 0 {
			names = append(names, r.name)
		}
	}
	return names
}

// Bounds of the values of single settings.
const (
	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxRetries     = 16
	maxBody        = 64 << 20
	maxRequests    = 100_000
	maxTargetDelay = time.Minute
	maxRate        = 1e9
	maxWeight      = 1000
	minPeriod      = time.Second
	maxKeyGrace    = 24 * time.Hour
	maxShareLease  = 7 * 24 * time.Hour
	maxClaimKeep   = 30 * 24 * time.Hour
)

// rule defines the levels on which a setting is allowed and its valid values.
type rule struct {
	name   string
	levels Level

	// set reports whether the setting is set in s.
	set func(s *Settings) bool

	// check validates a value that is set. The message is empty when it is valid.
	check func(s *Settings) (message string)
}

// rules holds the rule for each field of Settings, in the order of the fields.
var rules = []rule{
	durationRule("timeout", requestLevels, minTimeout, maxTimeout, func(s *Settings) *time.Duration { return s.Timeout }),
	intRule("retries", requestLevels, 0, maxRetries, func(s *Settings) *int { return s.Retries }),
	{"class", requestLevels, func(s *Settings) bool { return s.Class != nil }, checkClass},
	{"max-body", requestLevels, func(s *Settings) bool { return s.MaxBody != nil }, checkMaxBody},
	boolRule("idempotent", func(s *Settings) *bool { return s.Idempotent }),
	boolRule("open", func(s *Settings) *bool { return s.Open }),
	{"once", routeLevels, func(s *Settings) bool { return s.ClaimStore != nil }, checkClaimStore},
	intRule("cold-limit", targetLevels, 1, maxRequests, func(s *Settings) *int { return s.ColdLimit }),
	durationRule("target-delay", targetLevels, time.Nanosecond, maxTargetDelay, func(s *Settings) *time.Duration { return s.TargetDelay }),
	intRule("queue-length", targetLevels, 1, maxRequests, func(s *Settings) *int { return s.QueueLength }),
	floatRule("rate", contractLevels, math.SmallestNonzeroFloat64, maxRate, func(s *Settings) *float64 { return s.Rate }),
	floatRule("burst", contractLevels, 1, maxRate, func(s *Settings) *float64 { return s.Burst }),
	intRule("weight", contractLevels, 1, maxWeight, func(s *Settings) *int { return s.Weight }),
	floatRule("retry-ratio", LevelFleet, 0, 1, func(s *Settings) *float64 { return s.RetryRatio }),
	durationRule("key-grace", LevelFleet, minPeriod, maxKeyGrace, func(s *Settings) *time.Duration { return s.KeyGrace }),
	durationRule("share-lease", LevelFleet, minPeriod, maxShareLease, func(s *Settings) *time.Duration { return s.ShareLease }),
	durationRule("claim-keep", LevelFleet, minPeriod, maxClaimKeep, func(s *Settings) *time.Duration { return s.ClaimKeep }),
}

func durationRule(name string, levels Level, low, high time.Duration, get func(*Settings) *time.Duration) (r rule) {
	return rule{name, levels, func(s *Settings) bool { return get(s) != nil }, func(s *Settings) (message string) {
		if v := *get(s); v < low || v > high {
			return fmt.Sprintf("is %v; allowed is a duration from %v to %v", v, low, high)
		}
		return ""
	}}
}

func intRule(name string, levels Level, low, high int, get func(*Settings) *int) (r rule) {
	return rule{name, levels, func(s *Settings) bool { return get(s) != nil }, func(s *Settings) (message string) {
		if v := *get(s); v < low || v > high {
			return fmt.Sprintf("is %d; allowed is a whole number from %d to %d", v, low, high)
		}
		return ""
	}}
}

func floatRule(name string, levels Level, low, high float64, get func(*Settings) *float64) (r rule) {
	from := fmt.Sprintf("from %v", low)
	if low == math.SmallestNonzeroFloat64 {
		from = "above 0"
	}
	return rule{name, levels, func(s *Settings) bool { return get(s) != nil }, func(s *Settings) (message string) {
		// The negated condition also rejects NaN.
		if v := *get(s); !(v >= low && v <= high) {
			return fmt.Sprintf("is %v; allowed is a number %s to %v", v, from, high)
		}
		return ""
	}}
}

func boolRule(name string, get func(*Settings) *bool) (r rule) {
	return rule{name, routeLevels, func(s *Settings) bool { return get(s) != nil }, func(*Settings) string { return "" }}
}

func checkClass(s *Settings) (message string) {
	if *s.Class >= mesh.ClassCount {
		return fmt.Sprintf("is class %d; allowed are critical, high, normal and low", *s.Class)
	}
	return ""
}

func checkMaxBody(s *Settings) (message string) {
	if *s.MaxBody < 0 || *s.MaxBody > maxBody {
		return fmt.Sprintf("is %d; allowed is a whole number of bytes from 0 to %d", *s.MaxBody, maxBody)
	}
	return ""
}

func checkClaimStore(s *Settings) (message string) {
	if *s.ClaimStore != mesh.ClaimStorePlatform {
		return fmt.Sprintf("is %q; allowed is %s", *s.ClaimStore, mesh.ClaimStorePlatform)
	}
	return ""
}
