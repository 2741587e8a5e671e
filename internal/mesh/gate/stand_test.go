package gate

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// standIn is a target in virtual time. Its health report lags: it announces
// all its slots while it is cold.
type standIn struct {
	slots int
	work  time.Duration

	// varies is true when one request in ten takes eleven times as long as
	// the others.
	varies bool

	// coldTime is how long after warmFrom the target bears less than its slots.
	coldTime time.Duration
	warmFrom time.Time

	// downUntil is when the target accepts connections.
	downUntil time.Time
}

// coldPart is the part of its slots that a target bears just after its start.
const coldPart = 0.1

func (s *standIn) bears(now time.Time) (n float64) {
	age := now.Sub(s.warmFrom)
	if age >= s.coldTime {
		return float64(s.slots)
	}
	return float64(s.slots) * (coldPart + (1-coldPart)*float64(age)/float64(s.coldTime))
}

// takes returns the service time of a request that starts while running
// others run. It grows with the square beyond what the target bears.
func (s *standIn) takes(now time.Time, running int, random *rand.Rand) (d time.Duration) {
	beyond := max(1, float64(running+1)/s.bears(now))
	part := 0.5 + random.ExpFloat64()/2
	if s.varies {
		part = 0.5 * random.ExpFloat64()
		if random.IntN(10) == 0 {
			part *= 11
		}
	}
	return time.Duration(float64(s.work) * part * beyond * beyond)
}

// load is what clients send.
type load struct {
	rate func(at time.Duration) (perSecond float64)

	// organisations holds the part of each organisation in the load.
	organisations []float64

	// classes holds the part of each class.
	classes  [mesh.ClassCount]float64
	deadline time.Duration

	// resends is how often a client sends a request again that was refused
	// or timed out, after resendWait.
	resends    int
	resendWait time.Duration
}

// mixedClasses and oneClass are parts of the classes in a load, and classWorth
// the worth of one answer in time.
var (
	mixedClasses = [mesh.ClassCount]float64{0.1, 0.2, 0.4, 0.3}
	oneClass     = [mesh.ClassCount]float64{0, 0, 1, 0}
	classWorth   = [mesh.ClassCount]float64{8, 4, 2, 1}
)

// request is one request of a client, over all its resends.
type request struct {
	ticket       Ticket
	class        mesh.Class
	organisation int
	arrived      time.Time
	deadline     time.Time
	resends      int
	started      time.Time
	timedOut     bool
	unreachable  bool
}

// moment is something that happens in virtual time.
type moment struct {
	at   time.Time
	kind int
	r    *request
	seq  int
}

const (
	arrives = iota
	ends
	elapses
)

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() (x any) {
	last := len(*m) - 1
	x = (*m)[last]
	*m = (*m)[:last]
	return x
}

// play runs a load against one gate and one stand-in.
type play struct {
	gate   *Gate
	target *standIn
	load   load
	random *rand.Rand
	now    time.Time
	agenda moments
	seq    int
	ticket Ticket
	byID   map[Ticket]*request

	running int

	// beyond is the most that ran, as a multiple of what the target bore.
	beyond float64
	good   []*request
	when   []time.Duration
	sent   []*request
	wasted int
	elapse time.Time
}

func newPlay(g *Gate, s *standIn, l load) (p *play) {
	p = &play{gate: g, target: s, load: l, random: rand.New(rand.NewPCG(1, 2)), now: testStart, byID: make(map[Ticket]*request)}
	p.target.warmFrom = testStart.Add(-time.Hour)
	return p
}

func (p *play) at(t time.Time, kind int, r *request) {
	p.seq++
	heap.Push(&p.agenda, moment{at: t, kind: kind, r: r, seq: p.seq})
}

func part(parts []float64, x float64) (i int) {
	for i = range parts {
		if x -= parts[i]; x < 0 {
			return i
		}
	}
	return i
}

// run plays until no request is left that arrived before end.
func (p *play) run(end time.Duration) {
	p.arrival(end)
	for len(p.agenda) > 0 {
		m := heap.Pop(&p.agenda).(moment)
		p.now = m.at
		switch m.kind {
		case arrives:
			if m.r.ticket == 0 {
				p.arrival(end)
			}
			p.send(m.r)
		case ends:
			p.end(m.r)
		case elapses:
			p.elapse = time.Time{}
			p.step(TimerExpired{})
		}
	}
}

// arrival plans the next new request.
func (p *play) arrival(end time.Duration) {
	gap := p.random.ExpFloat64() / p.load.rate(p.now.Sub(testStart))
	at := p.now.Add(time.Duration(gap * float64(time.Second)))
	if at.Sub(testStart) > end {
		return
	}
	r := &request{
		class:        mesh.Class(part(p.load.classes[:], p.random.Float64())),
		organisation: part(p.load.organisations, p.random.Float64()),
		resends:      p.load.resends,
		arrived:      at,
	}
	p.sent = append(p.sent, r)
	p.at(at, arrives, r)
}

func (p *play) send(r *request) {
	p.ticket++
	r.ticket, r.deadline = p.ticket, p.now.Add(p.load.deadline)
	p.byID[r.ticket] = r
	call := testCall(r.class, string(rune('a'+r.organisation)), r.deadline)
	p.step(Arrival{Ticket: r.ticket, Call: call})
}

func (p *play) step(e mesh.Event) {
	// The actions are only valid until the next step.
	for _, a := range append([]Action(nil), p.gate.Step(p.now, e)...) {
		switch a := a.(type) {
		case Start:
			p.begin(p.byID[a.Ticket])
		case Refuse:
			p.resend(p.byID[a.Ticket])
		}
	}
	if at := p.gate.Next(); !at.IsZero() && (p.elapse.IsZero() || at.Before(p.elapse)) {
		p.elapse = at
		p.at(later(at, p.now), elapses, nil)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (p *play) begin(r *request) {
	p.running++
	r.started = p.now
	r.unreachable = p.now.Before(p.target.downUntil)
	if r.unreachable {
		r.timedOut = false
		p.at(p.now, ends, r)
		return
	}
	takes := p.target.takes(p.now, p.running-1, p.random)
	p.beyond = max(p.beyond, float64(p.running)/max(1, p.target.bears(p.now)))
	end := p.now.Add(takes)
	r.timedOut = end.After(r.deadline)
	if r.timedOut {
		end = r.deadline
	}
	p.at(end, ends, r)
}

func (p *play) end(r *request) {
	p.running--
	delete(p.byID, r.ticket)
	switch {
	case r.unreachable:
		p.resend(r)
	case r.timedOut:
		p.wasted++
		p.resend(r)
	default:
		p.good = append(p.good, r)
		p.when = append(p.when, p.now.Sub(testStart))
	}
	p.step(Finished{Ticket: r.ticket, Latency: p.now.Sub(r.started), TimedOut: r.timedOut, NotRun: r.unreachable, Unreachable: r.unreachable})
}

func (p *play) resend(r *request) {
	if r.resends == 0 {
		return
	}
	r.resends--
	p.at(p.now.Add(p.load.resendWait), arrives, r)
}
