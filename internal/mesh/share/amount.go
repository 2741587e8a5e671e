// Package share implements distributed token buckets: nodes obtain, lend and return shares of
// the organisations' contracts. The sum over all nodes and all messages in flight never
// exceeds a contract, even when messages are lost, duplicated or delayed.
//
// The platform stores the grants of each contract. A few nodes per zone, the holders, own the
// grants, renew their leases, and lend parts of them to the other nodes.
package share

import (
	"math"
	"math/bits"
)

// Amount is a number of requests, in millionths. Integers keep sums over many transfers exact;
// floating point would not.
type Amount int64

// One is the amount of one request.
const One Amount = 1_000_000

// FromRequests converts a number of requests to an amount, rounding down.
func FromRequests(n float64) (a Amount) { return Amount(math.Floor(n * float64(One))) }

// Requests returns the amount as a number of requests.
func (a Amount) Requests() (n float64) { return float64(a) / float64(One) }

// scale returns a × part / whole, for 0 <= part and 0 < whole. It saturates on overflow.
func (a Amount) scale(numerator, denominator Amount) (scaled Amount) {
	high, low := bits.Mul64(uint64(a), uint64(numerator))
	if high >= uint64(denominator) {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, uint64(denominator))
	return Amount(min(quotient, math.MaxInt64))
}

// Allowance is a part of a contract, or a whole one: a token bucket.
type Allowance struct {
	// Rate is per second and at least 0.
	Rate Amount

	// Capacity is the size of the bucket, a part of the contract's burst, and at least 0.
	Capacity Amount

	// Tokens is at least 0 and at most Capacity.
	Tokens Amount
}

func (p Allowance) plus(q Allowance) (sum Allowance) {
	return Allowance{Rate: p.Rate + q.Rate, Capacity: p.Capacity + q.Capacity, Tokens: p.Tokens + q.Tokens}
}

func (p Allowance) minus(q Allowance) (rest Allowance) {
	return Allowance{Rate: p.Rate - q.Rate, Capacity: p.Capacity - q.Capacity, Tokens: p.Tokens - q.Tokens}
}

func (p Allowance) empty() bool { return p.Rate == 0 && p.Capacity == 0 }

// Valid reports whether the allowance satisfies its invariants.
func (p Allowance) Valid() bool {
	return p.Rate >= 0 && p.Tokens >= 0 && p.Tokens <= p.Capacity
}
