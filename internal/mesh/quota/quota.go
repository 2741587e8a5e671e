// Package quota enforces the rate limit of each organisation over all hosts. A contract is held
// by some hosts of each zone, the more the larger it is; the others ask one of them. Each holder
// admits requests from a local token bucket. The refill rate and capacity of the bucket follow
// from its share of the organisation's demand, which the holders report to each other.
package quota

import (
	"maps"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// slotLength is the length of a slot of the sliding-window counts, and windowSlots the
	// number of slots in a window: contracts are measured over 5 s.
	slotLength  = 250 * time.Millisecond
	windowSlots = 20
	window      = windowSlots * slotLength

	// demandSlots is the number of slots over which the current demand is averaged. Fewer
	// follow a change of the demand sooner; more give less variance.
	demandSlots = 8

	// historySlots is the number of slots for which requests are counted: a window before the
	// newest slots that reports of other holders do not cover.
	historySlots = 32

	// boostThreshold is the fraction of a window's allowance below which the refill rate is
	// boosted.
	boostThreshold = 0.9

	// equalFraction is the fraction of each contract that is divided equally among its holders,
	// so that each of them can admit a surge at once. The rest follows the demand.
	equalFraction = 0.5

	// marginFraction of the allowance plus marginTokens is what all holders together may admit
	// beyond the allowance in the slots that reports do not cover; marginTokens count in every
	// limit. They are well below what operators tolerate, which is a tenth and 20 requests, and keep
	// small contracts from being refused when a few requests coincide.
	marginFraction = 0.02
	marginTokens   = 8

	// reportSlack is the number of slots that a report may be older than the interval between
	// reports: it is on its way, and both ends count whole slots.
	reportSlack = 2

	// surgeSlots is the number of slots over which a surge is measured: about two reports.
	surgeSlots = 3

	// silentMargin is the fraction by which the requests at a silent host are estimated higher.
	// It may be on the other side of a network partition, where the demand grows.
	silentMargin = 0.12

	// boostFactor multiplies a node's share of the rate while little of the allowance is
	// used. The capacity of its bucket is then its share of the remaining allowance, and at
	// least an equal share. That lets demand move between hosts faster than reports arrive:
	// until they do, all hosts together admit about the remaining allowance and the boosted
	// rate for half a second.
	boostFactor = 1.5

	// isolatedFraction is the fraction of its zone below which a host that reaches no more of it
	// counts as cut off. The requests of its callers now come to itself instead of a holder, so
	// its share of the demand does not grow; all such hosts together would exceed the contract.
	isolatedFraction = 0.5

	// slackTokens is the number of tokens by which the capacities of all buckets together
	// exceed the remaining allowance, for organisations whose allowance is a few requests.
	slackTokens = 16

	// limitedBurstFraction is the fraction of a node's share of the burst that its bucket
	// holds while most of the allowance is used.
	limitedBurstFraction = 0.1

	// minHolderDemand is the minimum demand assumed for each holder, in requests per second, so
	// that an idle one can admit a first request. For all holders together it is at most
	// maxIdleFraction of the rate: a small organisation may have callers in few zones.
	minHolderDemand = 0.5
	maxIdleFraction = 0.1

	// activeTime is how long after its last request an organisation is in every report, so
	// that the loss of one report does no harm. Every fullReportEvery-th report holds all
	// organisations.
	activeTime      = 1500 * time.Millisecond
	fullReportEvery = 10

	// startRetryAfter is the time that a node needs after a start until it knows the number
	// of hosts that share the contracts.
	startRetryAfter = 200 * time.Millisecond

	// hostRetention is how long the demand of a silent host counts. The host may be running
	// on the other side of a network partition and use its share.
	hostRetention = time.Minute
)

// Usage counts the requests of one organisation at one host since the start of its node.
type Usage struct {
	// Offered counts all requests and Admitted the admitted ones. Both only increase, and
	// Admitted is at most Offered.
	Offered, Admitted uint64

	// Recent holds the requests of the newest slots, newest first, which Offered and Admitted
	// include. It has no slots from before the start of the node.
	Recent []Slot
}

// Slot counts the requests of one slot.
type Slot struct {
	Offered, Admitted uint64
}

// Report is the usage at a host, as sent to the other hosts.
type Report struct {
	From        netip.AddrPort
	Incarnation mesh.Incarnation
	Usage       map[mesh.OrganisationName]Usage

	// Window holds the requests that all hosts admitted in the last window, by slot, newest first, as
	// far as the sender knows. It is nil unless the sender informs hosts that have just started;
	// organisations without requests are left out then.
	Window map[mesh.OrganisationName][]uint64
}

// RateLimiter holds the token buckets of one node. It is not safe for concurrent use; one
// duty owns it.
type RateLimiter struct {
	accounts map[mesh.OrganisationName]*account
	hosts    map[netip.AddrPort]*remoteHost

	// removed holds the accounts of organisations without a contract that had one; none of them is in
	// accounts.
	removed map[mesh.OrganisationName]removedAccount

	// fleet is empty while this host does not know which hosts share the contracts.
	fleet       Fleet
	reportsSent int
	lastTick    time.Time

	// slots is the number of slots since the start of this node.
	slots int

	// earlier is what this node knows of the requests before its start.
	earlier earlier

	// recorder decides when the usage is recorded.
	recorder recorder

	// unresponsive holds the hosts that did not answer lately, with the time until which they
	// are avoided.
	unresponsive map[netip.AddrPort]time.Time
}

// account is the token bucket of one organisation at this node, with the counts that
// determine its size.
type account struct {
	contract mesh.Contract
	usage    Usage
	offered  counts
	admitted counts

	// tokens is at most capacity; it was last updated at refilled.
	tokens, capacity float64
	rate             float64
	refilled         time.Time

	// lastRequest is the arrival time of the last request.
	lastRequest time.Time

	// budget is the number of requests that this holder may admit in the time that reports of
	// the other holders do not cover yet.
	budget float64

	// asked holds the hosts that this node asks for admissions, in this order; nil until it is
	// needed.
	asked []netip.AddrPort

	// demandShare is this node's share of the demand, from 0 to 1.
	demandShare float64

	// remote holds the usage of this organisation at the other hosts; nil until it is needed.
	remote []usageAt

	// remoteAdmitted is the number of requests that all other hosts admitted in the last
	// window, including the estimate for the time since their last reports.
	remoteAdmitted float64
}

// removedAccount is the account of an organisation whose contract was removed.
type removedAccount struct {
	*account

	// slots is the value of RateLimiter.slots at the removal.
	slots int
}

// remoteHost is the state of another host.
type remoteHost struct {
	incarnation mesh.Incarnation
	lastReport  time.Time

	// started is when this node first heard of the incarnation.
	started time.Time

	// reportCount is the number of reports received from this incarnation. The first one
	// does not show when its requests arrived.
	reportCount int
	usage       map[mesh.OrganisationName]*remoteUsage
}

type remoteUsage struct {
	last              Usage
	offered, admitted estimate

	// share is the host's share of the demand when it last reported.
	share float64
}

// usageAt is the usage of one organisation at another host.
type usageAt struct {
	host *remoteHost
	*remoteUsage
}

// estimate counts the requests at another host. It is exact up to the host's last report;
// after that, the host is assumed to continue at the same rate.
type estimate struct {
	// counts holds the reported and the assumed requests.
	counts

	// assumed holds the requests in counts that no report has confirmed yet, and
	// slotsSinceReport the number of slots that began since the last report.
	assumed          counts
	slotsSinceReport int

	// rate is the assumed rate in requests per second, and surgeRate the rate over the
	// surgeSlots slots before the last report.
	rate, surgeRate float64
}

// nextSlot begins a new slot.
func (e *estimate) nextSlot() {
	assumed := e.rate * slotLength.Seconds()
	e.counts.shift(assumed)
	e.assumed.shift(assumed)
	e.slotsSinceReport = min(e.slotsSinceReport+1, windowSlots-1)
}

// surgeExcess returns how many requests beyond the assumed ones a host is likely to have
// admitted in the time age since its last report: in a surge its rate is above the average.
func (e *estimate) surgeExcess(age time.Duration) (requests float64) {
	return max(0, e.surgeRate-e.rate) * age.Seconds()
}

// applyReport replaces the assumed requests by the reported ones, which are more by the given
// number than those of the last report. recent holds those of the newest slots. Older ones are
// spread over the slots since the last report: in the newest slot alone they would stay in the
// window longer than the assumed requests that they replace.
func (e *estimate) applyReport(requests float64, recent []float64) {
	for i := range e.counts {
		e.counts[i] -= e.assumed[i]
	}
	e.assumed = counts{}
	// Slots begin at different times at different hosts, so the slots of two reports may differ by
	// one. The total stays exact.
	older := requests
	recent = recent[:min(len(recent), historySlots)]
	for i, n := range recent {
		older += e.counts[i] - n
		e.counts[i] = n
	}
	first := min(len(recent), historySlots-1)
	last := max(first, e.slotsSinceReport)
	for i := first; i <= last; i++ {
		e.counts[i] += older / float64(last-first+1)
	}
	e.slotsSinceReport = 0
}

// counts holds the number of requests per slot, newest first.
type counts [historySlots]float64

func (c *counts) total(n int) (sum float64) {
	for _, v := range c[:n] {
		sum += v
	}
	return sum
}

// shift begins a new slot with the count first.
func (c *counts) shift(first float64) {
	copy(c[1:], c[:historySlots-1])
	c[0] = first
}

// rateBefore returns the average rate over demandSlots slots without the newest ones, in requests
// per second.
func (c *counts) rateBefore(newest int) (rate float64) {
	return (c.total(newest+demandSlots) - c.total(newest)) / (demandSlots * slotLength.Seconds())
}

// demandBefore returns the demand as of some slots ago, in requests per second. It is at least the
// average over a window: a host with a few requests in the window may receive none for a while and
// still has that demand.
func (c *counts) demandBefore(newest int) (rate float64) {
	newest = min(newest, historySlots-windowSlots)
	return max(c.rateBefore(newest), (c.total(newest+windowSlots)-c.total(newest))/window.Seconds())
}

// New returns a rate limiter without contracts. It rejects all requests under a contract
// until it knows how many hosts share it.
func New() (b *RateLimiter) {
	return &RateLimiter{
		accounts: make(map[mesh.OrganisationName]*account), hosts: make(map[netip.AddrPort]*remoteHost),
		removed: make(map[mesh.OrganisationName]removedAccount), unresponsive: make(map[netip.AddrPort]time.Time),
		recorder: recorder{recorded: make(map[mesh.OrganisationName]mesh.ContractUsage), lastUsed: make(map[mesh.OrganisationName]float64), lowSince: make(map[mesh.OrganisationName]time.Time)},
	}
}

// Configure replaces the contracts. A contract with a rate of zero has no limit. The account of an
// organisation is kept without its contract, since the counts of an incarnation only increase: other
// hosts take lower ones for those of an old report.
func (b *RateLimiter) Configure(now time.Time, contracts []mesh.Contract) {
	named := make(map[mesh.OrganisationName]bool, len(contracts))
	for _, c := range contracts {
		named[c.Organisation] = true
		a, found := b.accounts[c.Organisation]
		if !found {
			a = b.restoreAccount(c.Organisation)
			if a == nil {
				a = &account{contract: c, refilled: now}
				a.assumeEqualShare(&b.fleet)
			}
			b.accounts[c.Organisation] = a
		}
		if changed := !found || a.contract != c; changed {
			a.contract, a.asked = c, nil
			b.resize(now, a)
		}
	}
	maps.DeleteFunc(b.accounts, func(name mesh.OrganisationName, a *account) bool {
		if !named[name] {
			b.removed[name] = removedAccount{account: a, slots: b.slots}
		}
		return !named[name]
	})
}

// restoreAccount returns the account of an organisation that had a contract before, with the windows
// of the present, or nil when there is none.
func (b *RateLimiter) restoreAccount(name mesh.OrganisationName) (a *account) {
	r, found := b.removed[name]
	if !found {
		return nil
	}
	delete(b.removed, name)
	for range min(b.slots-r.slots, historySlots) {
		r.offered.shift(0)
		r.admitted.shift(0)
	}
	// Hosts may have come and gone.
	r.remote, r.asked = nil, nil
	return r.account
}

// assumeEqualShare sets the share of a node that has no information on the demand to an
// equal share.
func (a *account) assumeEqualShare(f *Fleet) {
	a.demandShare = 1 / float64(f.holders(a))
}

// ApplyReport records the usage reported by another host.
func (b *RateLimiter) ApplyReport(now time.Time, r Report) {
	h, found := b.hosts[r.From]
	switch {
	case !found:
		h = &remoteHost{incarnation: r.Incarnation, usage: make(map[mesh.OrganisationName]*remoteUsage)}
		h.started = now
		b.hosts[r.From] = h
	case h.incarnation != r.Incarnation:
		// What the host admitted before its restart still counts, and it may have used its budget since
		// its last report. No report will tell.
		h.incarnation, h.reportCount, h.started = r.Incarnation, 0, now
		for name, u := range h.usage {
			u.last, u.admitted.assumed = Usage{}, counts{}
			if a := b.accounts[name]; a != nil {
				budget := b.holderFraction(a, u.share) * (b.limit(a) - b.sumAdmitted(now, a))
				u.admitted.counts[0] += max(0, budget-u.admitted.total(b.uncoveredSlots()))
			}
		}
	}
	h.lastReport = now
	h.reportCount++
	for name, used := range r.Usage {
		if h.usage[name] == nil {
			// Requests older than those of the recent slots may have left the window.
			last := Usage{Offered: used.Offered, Admitted: used.Admitted}
			for _, s := range used.Recent {
				last.Offered -= s.Offered
				last.Admitted -= s.Admitted
			}
			h.usage[name] = &remoteUsage{last: last}
			if a := b.accounts[name]; a != nil {
				a.remote = nil
			}
		}
	}
	for name, u := range h.usage {
		used, reported := r.Usage[name]
		if !reported {
			// An organisation that is not in the report had no new requests.
			used = Usage{Offered: u.last.Offered, Admitted: u.last.Admitted}
		}
		if used.Offered < u.last.Offered || used.Admitted < u.last.Admitted {
			// The datagram arrived out of order.
			continue
		}
		offered, admitted := make([]float64, len(used.Recent)), make([]float64, len(used.Recent))
		for i, s := range used.Recent {
			offered[i], admitted[i] = float64(s.Offered), float64(s.Admitted)
		}
		u.offered.applyReport(float64(used.Offered-u.last.Offered), offered)
		u.admitted.applyReport(float64(used.Admitted-u.last.Admitted), admitted)
		u.last = used
		// Near the limit, admissions alternate between bursts and pauses, so only the average
		// over the window predicts them.
		u.offered.rate, u.admitted.rate = u.offered.rateBefore(0), u.admitted.total(windowSlots)/window.Seconds()
		u.admitted.surgeRate = u.admitted.total(surgeSlots) / (surgeSlots * slotLength.Seconds())
	}
	b.learn(r.Window)
}

// remoteUsages returns the usage of an organisation at the other hosts. Each contract is held by a
// few hosts, so that a list of them saves a look-up at every host.
func (b *RateLimiter) remoteUsages(a *account) (usages []usageAt) {
	if a.remote == nil {
		a.remote = make([]usageAt, 0, b.fleet.holders(a))
		for _, h := range b.hosts {
			if u := h.usage[a.contract.Organisation]; u != nil {
				a.remote = append(a.remote, usageAt{host: h, remoteUsage: u})
			}
		}
	}
	return a.remote
}

// LocalUsage returns the usage of this node for the report to the other hosts. Most reports
// omit the organisations without recent requests; every fullReportEvery-th one holds all of
// them, for hosts that have just started.
func (b *RateLimiter) LocalUsage(now time.Time) (used map[mesh.OrganisationName]Usage) {
	used = make(map[mesh.OrganisationName]Usage, len(b.accounts))
	b.reportsSent++
	for name, a := range b.accounts {
		if a.usage.Offered > 0 && (b.reportsSent%fullReportEvery == 0 || now.Sub(a.lastRequest) <= activeTime) {
			used[name] = b.withRecent(a)
		}
	}
	return used
}

// withRecent returns the usage of an account with the slots that a report has to cover.
func (b *RateLimiter) withRecent(a *account) (used Usage) {
	used = a.usage
	used.Recent = make([]Slot, min(b.uncoveredSlots(), b.slots+1))
	for i := range used.Recent {
		used.Recent[i] = Slot{Offered: uint64(a.offered[i]), Admitted: uint64(a.admitted[i])}
	}
	return used
}

// Tick advances the windows and resizes the buckets. It must be called once per slot.
func (b *RateLimiter) Tick(now time.Time) {
	steps := int(now.Sub(b.lastTick) / slotLength)
	if b.lastTick.IsZero() || steps > windowSlots {
		steps, b.lastTick = 1, now
	} else {
		b.lastTick = b.lastTick.Add(time.Duration(steps) * slotLength)
	}
	for range steps {
		b.nextSlot(now)
	}
	for _, a := range b.accounts {
		b.resize(now, a)
	}
}

// Interval returns the interval between calls of Tick.
func (b *RateLimiter) Interval() (d time.Duration) { return slotLength }

func (b *RateLimiter) nextSlot(now time.Time) {
	b.slots++
	b.earlier.nextSlot()
	for _, a := range b.accounts {
		a.offered.shift(0)
		a.admitted.shift(0)
	}
	for addr, h := range b.hosts {
		if now.Sub(h.lastReport) > hostRetention {
			delete(b.hosts, addr)
			for name := range h.usage {
				if a := b.accounts[name]; a != nil {
					a.remote = nil
				}
			}
			continue
		}
		// A host that has not reported is assumed to continue at the same rate, so that a
		// host behind a network partition keeps its share.
		for _, u := range h.usage {
			u.offered.nextSlot()
			u.admitted.nextSlot()
		}
	}
	for _, a := range b.accounts {
		if share := b.demandShare(now, a); share < a.demandShare || !b.isolated() {
			a.demandShare = share
		}
	}
}

// isolated reports whether this host is cut off from most of its zone.
func (b *RateLimiter) isolated() bool { return b.fleet.reachable() < isolatedFraction }

// demandShare returns this node's share of an organisation's demand, from 0 to 1. It counts the
// requests that the reports of all holders cover, its own too: with its newest requests, which the
// others do not know yet, the shares of all holders would exceed 1 together while the demand grows.
//
// A silent host keeps the share that it had, whatever the demand at the others: it may be on the
// other side of a network partition, where the demand grows as well.
func (b *RateLimiter) demandShare(now time.Time, a *account) (share float64) {
	holders := float64(b.fleet.holders(a))
	minDemand := min(minHolderDemand, maxIdleFraction*a.contract.Rate/holders)
	uncovered := b.uncoveredSlots()
	own := a.offered.demandBefore(uncovered) + minDemand
	total := own + (holders-1)*minDemand
	reserved := 0.0
	usages := b.remoteUsages(a)
	for _, u := range usages {
		if b.silent(now, u.host) {
			reserved += u.share
		} else {
			total += u.offered.demandBefore(uncovered)
		}
	}
	reserved = min(1, reserved)
	// Hosts that have not reported yet are assumed to have the mean demand.
	if missing := b.fleet.Size() - 1 - len(b.hosts); missing > 0 {
		total += float64(missing) * total / float64(len(b.hosts)+1)
	}
	for _, u := range usages {
		if !b.silent(now, u.host) {
			u.share = (1 - reserved) * u.offered.demandBefore(uncovered) / total
		}
	}
	return (1 - reserved) * own / total
}

// silent reports whether a host's reports are overdue.
func (b *RateLimiter) silent(now time.Time, h *remoteHost) bool {
	return now.Sub(h.lastReport) > time.Duration(b.uncoveredSlots())*slotLength
}

// uncoveredSlots returns the number of newest slots that the reports of other holders do not
// cover yet.
func (b *RateLimiter) uncoveredSlots() (slots int) {
	slots = int((b.fleet.ReportInterval+slotLength-1)/slotLength) + reportSlack
	return min(slots, windowSlots)
}

// resize sets the refill rate and the capacity of a bucket, and its budget.
//
// The holders know what was admitted in a window but for its newest slots, which their reports do
// not cover. In these, each holder admits at most its share of what the earlier slots have left of
// the allowance, however fast the demand grows.
func (b *RateLimiter) resize(now time.Time, a *account) {
	a.refill(now)
	covered := b.sumAdmitted(now, a)
	if b.fleet.Size() == 0 {
		return
	}
	share := a.demandShare
	equalShare := b.fleet.reachable() / float64(b.fleet.holders(a))
	limit := b.limit(a)
	a.budget = (equalFraction*equalShare + (1-equalFraction)*share) * (limit - covered)
	capacityShare := max(share, equalShare)
	threshold := boostThreshold*a.allowance() + marginTokens
	if b.starting() {
		threshold = limit
	}
	if remaining := threshold - a.admitted.total(windowSlots) - a.remoteAdmitted; remaining > 0 {
		a.rate, a.capacity = share*boostFactor*a.allowance()/window.Seconds(), capacityShare*(remaining+slackTokens)
	} else {
		a.rate, a.capacity = share*a.allowance()/window.Seconds(), share*a.contract.Burst*limitedBurstFraction
	}
	if !b.isolated() {
		a.capacity = max(1, a.capacity)
	}
	a.tokens = min(a.tokens, a.capacity)
}

// sumAdmitted updates remoteAdmitted and returns how many requests all hosts admitted in the slots
// of the window that reports cover. What was admitted before the start of this node counts as
// admitted by the others.
func (b *RateLimiter) sumAdmitted(now time.Time, a *account) (covered float64) {
	uncovered := b.uncoveredSlots()
	a.remoteAdmitted = b.admittedEarlier(a)
	covered = a.admitted.total(windowSlots) - a.admitted.total(uncovered) + a.remoteAdmitted
	for _, u := range b.remoteUsages(a) {
		admitted := u.admitted.total(windowSlots)
		if b.silent(now, u.host) {
			// On the other side of a network partition it may use as much as its budget allows.
			budget := b.holderFraction(a, u.share) * a.allowance()
			admitted = max((1+silentMargin)*admitted, budget)
		} else {
			admitted += u.admitted.surgeExcess(now.Sub(u.host.lastReport))
		}
		a.remoteAdmitted += admitted
		covered += admitted - u.admitted.total(uncovered)
	}
	return covered
}

// holderFraction returns the fraction of what is left of a window that a holder with a share of the
// demand may admit in the time that reports do not cover.
func (b *RateLimiter) holderFraction(a *account, share float64) (fraction float64) {
	return equalFraction/float64(b.fleet.holders(a)) + (1-equalFraction)*share
}

func (a *account) refill(now time.Time) {
	if elapsed := now.Sub(a.refilled); elapsed > 0 {
		a.tokens = min(a.capacity, a.tokens+a.rate*elapsed.Seconds())
	}
	a.refilled = now
}

// allowance returns the maximum number of requests that all hosts together may admit in a
// window.
func (a *account) allowance() (n float64) {
	return a.contract.Rate*window.Seconds() + a.contract.Burst
}

// Admit takes a token for one request of the organisation, or returns a refusal with the
// reason.
func (b *RateLimiter) Admit(now time.Time, name mesh.OrganisationName) (refusal *mesh.Refusal) {
	a, found := b.accounts[name]
	if !found || a.contract.Rate == 0 {
		return nil
	}
	if b.fleet.Size() == 0 {
		refusal = mesh.NotRun(header.NoSettings, "the node has just started and does not know yet how many hosts share the rate limit of organisation %q", name)
		refusal.RetryAfter = startRetryAfter
		return refusal
	}
	a.lastRequest = now
	a.usage.Offered++
	a.offered[0]++
	a.refill(now)
	if !b.mayAdmit(a) {
		refusal = mesh.NotRun(header.RateExceeded, "organisation %q exceeds its rate limit of %g requests per second", name, a.contract.Rate)
		refusal.RetryAfter = b.retryAfter(a)
		return refusal
	}
	a.tokens--
	a.usage.Admitted++
	a.admitted[0]++
	return nil
}

// mayAdmit reports whether one more request of an organisation may be admitted.
func (b *RateLimiter) mayAdmit(a *account) bool {
	limit := a.allowance() + marginTokens
	if b.starting() {
		limit = b.limit(a)
	}
	if a.tokens < 1 || a.admitted.total(windowSlots)+a.remoteAdmitted >= limit {
		return false
	}
	return a.admitted.total(b.uncoveredSlots())+1 <= a.budget
}

// retryAfter returns the delay after which a retry is likely to get a token. While the
// demand exceeds the rate, that is the whole window.
func (b *RateLimiter) retryAfter(a *account) (after time.Duration) {
	if b.starting() && a.budget < 1 {
		return time.Duration(windowSlots-b.slots) * slotLength
	}
	if a.offered.rateBefore(0) > a.rate {
		return window
	}
	return max(slotLength, time.Duration(float64(time.Second)/max(a.rate, 1)))
}
