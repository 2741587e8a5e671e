package canary

import (
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Counts are what the hosts have seen of one version on one route.
type Counts struct {
	Sent, Answers, Failures uint64
	Latencies               [len(mesh.LatencyBuckets{})]uint64
}

// advance adds what a host has counted between two of its reports, of which last is the earlier.
func (c *Counts) advance(last, now *mesh.VersionTally) {
	c.Sent += now.Sent - last.Sent
	c.Answers += now.Answers - last.Answers
	c.Failures += saturatingSub(now.Failures, last.Failures)
	for i, n := range now.Latencies {
		c.Latencies[i] += saturatingSub(uint64(n), uint64(last.Latencies[i]))
	}
}

func (c *Counts) merge(o *Counts) {
	c.Sent += o.Sent
	c.Answers += o.Answers
	c.Failures += o.Failures
	for i, n := range o.Latencies {
		c.Latencies[i] += n
	}
}

// since returns the counts that were added since before.
func (c *Counts) since(before *Counts) (d Counts) {
	d.Sent = saturatingSub(c.Sent, before.Sent)
	d.Answers = saturatingSub(c.Answers, before.Answers)
	d.Failures = saturatingSub(c.Failures, before.Failures)
	for i := range c.Latencies {
		d.Latencies[i] = saturatingSub(c.Latencies[i], before.Latencies[i])
	}
	return d
}

func saturatingSub(a, b uint64) (d uint64) {
	if a < b {
		return 0
	}
	return a - b
}

// timed returns the number of answers with a latency; those of cold targets have none.
func (c *Counts) timed() (n uint64) {
	for _, k := range c.Latencies {
		n += k
	}
	return n
}

// from returns the number of answers whose latency is in the bucket or a later one.
func (c *Counts) from(bucket int) (n uint64) {
	for i := bucket; i < len(c.Latencies); i++ {
		n += c.Latencies[i]
	}
	return n
}

// medianBucket returns the bucket of the median latency.
func (c *Counts) medianBucket() (bucket int) {
	var seen uint64
	half := (c.timed() + 1) / 2
	for i, n := range c.Latencies {
		if seen += n; seen >= half {
			return i
		}
	}
	return len(c.Latencies) - 1
}

// Pair holds the counts of the new version and of all others.
type Pair struct{ New, Old Counts }

// Totals are the counts of one service over all hosts, by route.
type Totals map[string]Pair

// sent returns the number of requests sent to the new version and to all.
func (t Totals) sent() (toNew, all uint64) {
	for _, p := range t {
		toNew += p.New.Sent
		all += p.New.Sent + p.Old.Sent
	}
	return toNew, all
}

// Ledger adds up the tallies of all hosts. It is not safe for concurrent use.
type Ledger struct {
	hosts map[netip.AddrPort]*hostTallies

	// totals holds the sums over all hosts and their earlier incarnations.
	totals map[tallyKey]*Counts
}

type tallyKey struct {
	service mesh.ServiceName
	version mesh.VersionName
	route   string
}

// hostTallies are the last tallies of a host.
type hostTallies struct {
	incarnation mesh.Incarnation
	last        map[tallyKey]mesh.VersionTally
}

// NewLedger returns an empty ledger.
func NewLedger() (l *Ledger) {
	return &Ledger{hosts: make(map[netip.AddrPort]*hostTallies), totals: make(map[tallyKey]*Counts)}
}

// Apply records the tallies that a host reports. Reports may arrive twice or out of order. What a
// host counted before it restarted stays in the totals, since those requests were sent.
func (l *Ledger) Apply(from netip.AddrPort, incarnation mesh.Incarnation, tallies []mesh.VersionTally) {
	h := l.hosts[from]
	if h == nil || incarnation > h.incarnation {
		h = &hostTallies{incarnation: incarnation, last: make(map[tallyKey]mesh.VersionTally)}
		l.hosts[from] = h
	}
	if incarnation < h.incarnation {
		return
	}
	for _, t := range tallies {
		key := tallyKey{service: t.Service, version: t.Version, route: t.Route}
		last := h.last[key]
		if t.Sent < last.Sent || t.Answers < last.Answers {
			continue
		}
		if l.totals[key] == nil {
			l.totals[key] = new(Counts)
		}
		l.totals[key].advance(&last, &t)
		h.last[key] = t
	}
}

// Totals returns the counts of a service over all hosts. Requests whose version is not known
// count as those of another version than the new one.
func (l *Ledger) Totals(service mesh.ServiceName, to mesh.VersionName) (t Totals) {
	t = make(Totals)
	for key, counts := range l.totals {
		if key.service != service {
			continue
		}
		p := t[key.route]
		if key.version == to {
			p.New.merge(counts)
		} else {
			p.Old.merge(counts)
		}
		t[key.route] = p
	}
	return t
}

// SentBy returns the number of requests that a host has sent to a service since it started.
func (l *Ledger) SentBy(from netip.AddrPort, service mesh.ServiceName) (sent uint64) {
	h := l.hosts[from]
	if h == nil {
		return 0
	}
	for key, t := range h.last {
		if key.service == service {
			sent += t.Sent
		}
	}
	return sent
}
