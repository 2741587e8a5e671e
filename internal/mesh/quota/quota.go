// Package quota keeps every organisation within its contract over all hosts.
// Each node admits requests from a bucket of its own; how large the bucket is
// follows from how the demand of the organisation is spread over the hosts.
package quota

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// slot is the length of one step of the sliding counts, and slots how many
	// of them a window has: contracts are measured over 5 s.
	slot   = 250 * time.Millisecond
	slots  = 20
	window = slots * slot

	// recent is how many slots the present demand is taken over. Shorter ones
	// follow a moving demand sooner, longer ones vary less.
	recent = 8

	// widePart is the part of a window's allowance up to which the nodes'
	// buckets are wide.
	widePart = 0.9

	// surgeSlots is how many slots a surge is measured over: about two reports.
	surgeSlots = 3

	// silence is after which time a host that has not reported may be behind a
	// cut, and silentPart how much more it is taken to admit then: both sides
	// of a cut overshoot the allowance by what they admit between two reports.
	silence    = 4 * slot
	silentPart = 0.12

	// wide is the factor on a node's part of the rate while little of the
	// allowance is used. Its bucket holds its part of what is left, and an equal
	// part at least. That lets demand move between hosts faster than they hear
	// of it: until they do, all hosts admit about what was left and the wide
	// rate for half a second.
	wide = 1.5

	// freeSlack is how many tokens more than what is left all buckets hold
	// together, for organisations whose allowance is a few requests.
	freeSlack = 28

	// leastAge is the shortest time over which the demand is taken after a
	// start. A few requests in a shorter one say nothing.
	leastAge = 500 * time.Millisecond

	// startPart of the allowance and startSlack more are what all buckets hold
	// together in the first window after their start, if the organisation asks
	// for less than its rate.
	startPart  = 0.4
	startSlack = 28

	// unknownPart is the part of the rate that is used for leastAge after a start,
	// and surgePart afterwards while the demand is not known or above the rate:
	// the allowance may have been used shortly before the start, and then none
	// of it leaves the window for seconds.
	unknownPart = 0.4
	surgePart   = 0.1

	// tightBurst is the part of a node's burst that its bucket holds while most
	// of the allowance is used.
	tightBurst = 0.1

	// leastDemand is the demand, in requests a second, that each host is
	// taken to have at least, so that an idle host can serve a first request.
	// All hosts together have at most idlePart of the rate for that: a small
	// organisation has callers at few hosts of a large fleet.
	leastDemand = 0.5
	idlePart    = 0.1

	// settle is for how long a part must have been larger before it is used.
	// The other hosts hear of the demand, and lower theirs, within that time.
	settle = 500 * time.Millisecond

	// lately is for how long after its last request an organisation is part
	// of each report, so that a lost one does no harm.
	lately     = 1500 * time.Millisecond
	wholeEvery = 10

	// unknownWait is how long a node that starts needs until it knows the hosts
	// that share the contracts.
	unknownWait = 200 * time.Millisecond

	// reserve is for how long the demand of a silent host counts. It may live
	// behind a cut and use its part.
	reserve = time.Minute
)

// Usage is what one organisation has sent to one host since the node started.
type Usage struct {
	// Offered counts all requests and Admitted those that were let in. Both
	// only rise, and Admitted is at most Offered.
	Offered, Admitted uint64
}

// Report is the usage of a host as it tells the others.
type Report struct {
	From        netip.AddrPort
	Incarnation mesh.Incarnation
	Usage       map[mesh.OrganisationName]Usage
}

// RateLimiter holds the buckets of one node. Only one duty may use it.
type RateLimiter struct {
	accounts map[mesh.OrganisationName]*account
	hosts    map[netip.AddrPort]*remote

	// known is the number of hosts, this one included; zero until it is known.
	known   int
	reports int
	moved   time.Time
}

// account is one organisation at this node.
type account struct {
	contract mesh.Contract
	used     Usage
	offered  counts
	admitted counts

	// tokens is at most capacity; it was last filled at filled.
	tokens, capacity float64
	rate             float64
	filled           time.Time

	// asked is when the last request came.
	asked time.Time

	// since is when this node first heard of the contract.
	since time.Time

	// fractions holds the node's part of the demand in the last slots; the
	// least of them is used.
	fractions [settle / slot]float64

	// others is what all other hosts admitted in the last window, with what
	// they are taken to have admitted since their reports.
	others float64
}

// remote is another host.
type remote struct {
	incarnation mesh.Incarnation
	heard       time.Time

	// reports is how many reports of this incarnation arrived. The first one
	// does not show when its requests came.
	reports int
	usage   map[mesh.OrganisationName]*remoteUsage
}

type remoteUsage struct {
	last              Usage
	offered, admitted estimate
}

// estimate counts the requests of another host. It is exact up to the last
// report, and since then the host is taken to go on as it did.
type estimate struct {
	// counts holds the reported requests and the assumed ones.
	counts

	// assumed is the part of counts that no report has confirmed, and newer the
	// number of slots that began since the last report.
	assumed counts
	newer   int

	// rate is what the host is taken to go on with, in requests a second, and
	// latest what it sent in the surgeSlots before its last report.
	rate, latest float64
}

// next begins a new slot.
func (e *estimate) next() {
	assumed := e.rate * slot.Seconds()
	e.counts.shift(assumed)
	e.assumed.shift(assumed)
	e.newer = min(e.newer+1, slots-1)
}

// rise returns what a host is likely to have sent since its report, the given
// time ago, beyond what was assumed: in a surge it sends more than on average.
func (e *estimate) rise(age time.Duration) (requests float64) {
	return max(0, e.latest-e.rate) * age.Seconds()
}

// report puts the requests that were reported in place of the assumed ones,
// spread over the slots since the last report. A correction in the newest slot
// alone would outlive the assumptions that it makes good.
func (e *estimate) report(requests float64) {
	for i := range e.counts {
		e.counts[i] -= e.assumed[i]
	}
	e.assumed = counts{}
	for i := range e.newer + 1 {
		e.counts[i] += requests / float64(e.newer+1)
	}
	e.newer = 0
}

// counts are the requests of the last slots.
type counts [slots]float64

func (c *counts) total(n int) (sum float64) {
	for _, v := range c[:n] {
		sum += v
	}
	return sum
}

// shift makes the first slot a new one.
func (c *counts) shift(first float64) {
	copy(c[1:], c[:slots-1])
	c[0] = first
}

// perSecond returns the rate over the recent slots.
func (c *counts) perSecond() (rate float64) { return c.total(recent) / (recent * slot.Seconds()) }

// demand returns what is asked for now. A host that got a few requests in the
// window may get none for a while, and still has that demand.
func (c *counts) demand() (rate float64) {
	return max(c.perSecond(), c.total(slots)/window.Seconds())
}

// New returns a book without contracts. It admits nothing under a contract until
// it knows how many hosts share it.
func New() (b *RateLimiter) {
	return &RateLimiter{accounts: make(map[mesh.OrganisationName]*account), hosts: make(map[netip.AddrPort]*remote)}
}

// Configure puts contracts in force. A contract of rate zero has no limit.
func (b *RateLimiter) Configure(now time.Time, contracts []mesh.Contract) {
	named := make(map[mesh.OrganisationName]bool, len(contracts))
	for _, c := range contracts {
		named[c.Organisation] = true
		a, found := b.accounts[c.Organisation]
		if !found {
			a = &account{filled: now, since: now}
			a.share(b.known)
			b.accounts[c.Organisation] = a
		}
		changed := a.contract != c
		a.contract = c
		if changed {
			b.resize(now, a)
		}
	}
	maps.DeleteFunc(b.accounts, func(name mesh.OrganisationName, _ *account) bool { return !named[name] })
}

// SetFleetSize sets how many hosts there are, this one included.
func (b *RateLimiter) SetFleetSize(now time.Time, hosts int) {
	first := b.known == 0
	b.known = max(1, hosts)
	if !first {
		return
	}
	for _, a := range b.accounts {
		a.share(b.known)
		b.resize(now, a)
	}
}

// share gives a node that knows nothing of the demand an equal part of it.
func (a *account) share(hosts int) {
	for i := range a.fractions {
		a.fractions[i] = 1 / float64(max(1, hosts))
	}
}

// ApplyReport takes in the usage of another host.
func (b *RateLimiter) ApplyReport(now time.Time, r Report) {
	h, found := b.hosts[r.From]
	if !found || h.incarnation != r.Incarnation {
		fresh := &remote{incarnation: r.Incarnation, usage: make(map[mesh.OrganisationName]*remoteUsage)}
		if found {
			// What the host admitted before its restart still counts.
			fresh.usage = h.usage
			for _, u := range fresh.usage {
				u.last = Usage{}
			}
		}
		h = fresh
		b.hosts[r.From] = h
	}
	h.heard = now
	h.reports++
	for name, used := range r.Usage {
		if h.usage[name] == nil {
			// The first report says nothing about when the requests came.
			h.usage[name] = &remoteUsage{last: used}
		}
	}
	for name, u := range h.usage {
		used, reported := r.Usage[name]
		if !reported {
			// An organisation that is left out has sent nothing more.
			used = u.last
		}
		if used.Offered < u.last.Offered || used.Admitted < u.last.Admitted {
			// A datagram that was overtaken by a later one.
			continue
		}
		u.offered.report(float64(used.Offered - u.last.Offered))
		u.admitted.report(float64(used.Admitted - u.last.Admitted))
		u.last = used
		// Admissions stop and go near the limit, so only their mean over the
		// window tells what the host goes on with.
		u.offered.rate, u.admitted.rate = u.offered.perSecond(), u.admitted.total(slots)/window.Seconds()
		u.admitted.latest = u.admitted.total(surgeSlots) / (surgeSlots * slot.Seconds())
	}
}

// LocalUsage returns the usage of this node, for the report to the others. Most
// reports leave out the organisations that have sent nothing lately; each
// wholeEvery-th holds all of them, for hosts that have just started.
func (b *RateLimiter) LocalUsage(now time.Time) (used map[mesh.OrganisationName]Usage) {
	used = make(map[mesh.OrganisationName]Usage, len(b.accounts))
	b.reports++
	for name, a := range b.accounts {
		if a.used.Offered > 0 && (b.reports%wholeEvery == 0 || now.Sub(a.asked) <= lately) {
			used[name] = a.used
		}
	}
	return used
}

// Tick moves the windows on and sizes the buckets. Its owner calls it once a
// slot.
func (b *RateLimiter) Tick(now time.Time) {
	steps := int(now.Sub(b.moved) / slot)
	if b.moved.IsZero() || steps > slots {
		steps, b.moved = 1, now
	} else {
		b.moved = b.moved.Add(time.Duration(steps) * slot)
	}
	for range steps {
		b.shift(now)
	}
	for _, a := range b.accounts {
		b.resize(now, a)
	}
}

// Interval returns how often Tick is called.
func (b *RateLimiter) Interval() (d time.Duration) { return slot }

func (b *RateLimiter) shift(now time.Time) {
	for _, a := range b.accounts {
		a.offered.shift(0)
		a.admitted.shift(0)
	}
	for addr, h := range b.hosts {
		if now.Sub(h.heard) > reserve {
			delete(b.hosts, addr)
			continue
		}
		// A host that has not reported is taken to go on as it did, so that
		// one behind a cut keeps its part.
		for _, u := range h.usage {
			u.offered.next()
			u.admitted.next()
		}
	}
	for name, a := range b.accounts {
		copy(a.fractions[1:], a.fractions[:])
		a.fractions[0] = b.fraction(name, a)
	}
}

// offered returns what all hosts together have asked for since this node
// started, in requests a second. It is known once most hosts have reported; the
// others are taken to be like them.
func (b *RateLimiter) offered(now time.Time, a *account) (rate float64, known bool) {
	requests := a.offered.total(slots)
	heard := 1
	for _, h := range b.hosts {
		if h.reports < 2 {
			continue
		}
		heard++
		if u := h.usage[a.contract.Organisation]; u != nil {
			requests += u.offered.total(slots)
		}
	}
	requests *= max(1, float64(b.known)/float64(heard))
	return requests / max(leastAge, now.Sub(a.since)).Seconds(), 2*heard > b.known
}

// fraction returns the part of an organisation's demand that this node has.
func (b *RateLimiter) fraction(name mesh.OrganisationName, a *account) (part float64) {
	least := min(leastDemand, idlePart*a.contract.Rate/float64(max(1, b.known)))
	own := a.offered.demand() + least
	total := own
	for _, h := range b.hosts {
		total += least
		if u := h.usage[name]; u != nil {
			total += u.offered.demand()
		}
	}
	// Hosts that have not reported yet are taken to have the mean demand.
	if missing := b.known - 1 - len(b.hosts); missing > 0 {
		total += float64(missing) * total / float64(len(b.hosts)+1)
	}
	return own / total
}

// resize gives a bucket its rate and capacity.
func (b *RateLimiter) resize(now time.Time, a *account) {
	a.fill(now)
	a.others = 0
	for _, h := range b.hosts {
		u := h.usage[a.contract.Organisation]
		if u == nil {
			continue
		}
		admitted := u.admitted.total(slots)
		if age := now.Sub(h.heard); age > silence {
			admitted += silentPart * admitted
		} else {
			admitted += u.admitted.rise(age)
		}
		a.others += admitted
	}
	if b.known == 0 {
		return
	}
	part := slices.Min(a.fractions[:])
	share := max(part, 1/float64(b.known))
	room := widePart*a.allowance() - a.admitted.total(slots) - a.others
	switch {
	case now.Sub(a.since) < window:
		// What was admitted before the start of this node is not known. An
		// organisation that asks for less than its rate cannot use too much.
		a.capacity = 1
		switch offered, known := b.offered(now, a); {
		case !known && now.Sub(a.since) < leastAge:
			a.rate = unknownPart * part * a.contract.Rate
		case !known || offered > a.contract.Rate:
			a.rate = surgePart * part * a.contract.Rate
		default:
			a.rate, a.capacity = share*a.allowance()/window.Seconds(), share*(startPart*a.allowance()+startSlack)
		}
	case room > 0:
		a.rate, a.capacity = part*wide*a.allowance()/window.Seconds(), share*(room+freeSlack)
	default:
		a.rate, a.capacity = part*a.allowance()/window.Seconds(), part*a.contract.Burst*tightBurst
	}
	a.capacity = max(1, a.capacity)
	a.tokens = min(a.tokens, a.capacity)
}

func (a *account) fill(now time.Time) {
	if elapsed := now.Sub(a.filled); elapsed > 0 {
		a.tokens = min(a.capacity, a.tokens+a.rate*elapsed.Seconds())
	}
	a.filled = now
}

// allowance returns how many requests all hosts may admit in a window.
func (a *account) allowance() (n float64) {
	return a.contract.Rate*window.Seconds() + a.contract.Burst
}

// Admit takes a token for one request of the organisation, or says why not.
func (b *RateLimiter) Admit(now time.Time, name mesh.OrganisationName) (refusal *mesh.Refusal) {
	a, found := b.accounts[name]
	if !found || a.contract.Rate == 0 {
		return nil
	}
	if b.known == 0 {
		refusal = mesh.NotRun(header.NoSettings, "the node does not know yet how many hosts share the rate of organisation %q", name)
		refusal.RetryAfter = unknownWait
		return refusal
	}
	a.asked = now
	a.used.Offered++
	a.offered[0]++
	a.fill(now)
	if a.tokens < 1 || a.admitted.total(slots)+a.others >= a.allowance() {
		refusal = mesh.NotRun(header.RateExceeded, "organisation %q has used its rate of %g requests a second", name, a.contract.Rate)
		refusal.RetryAfter = a.wait()
		return refusal
	}
	a.tokens--
	a.used.Admitted++
	a.admitted[0]++
	return nil
}

// wait returns when a request that comes back is likely to find a token. While
// more is offered than the rate allows, that is not before the window ends.
func (a *account) wait() (after time.Duration) {
	if a.offered.perSecond() > a.rate {
		return window
	}
	return max(slot, time.Duration(float64(time.Second)/max(a.rate, 1)))
}
