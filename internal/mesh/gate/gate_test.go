package gate

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	testCold        = 2
	testSlots       = 12
	testServiceTime = 10 * time.Millisecond
)

var testStart = time.Unix(1_000_000, 0)

// TestMain fixes the seed, and sets enough steps for a limit to grow before a
// restart.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testCall(class mesh.Class, organisation string, deadline time.Time) (call *mesh.Call) {
	return &mesh.Call{
		Class: class, Route: &mesh.Route{Service: "ledger", Name: "book", Class: class},
		Organisation: mesh.OrganisationName(organisation),
		Weight:       1,
		Deadline:     deadline,
	}
}

// model tracks the requests of a gate and checks its actions.
type model struct {
	*rapid.T
	now     time.Time
	gate    *Gate
	next    Ticket
	waiting map[Ticket]*mesh.Call
	running map[Ticket]bool

	// completed counts the requests that started and ran since the last restart.
	completed int
	started   map[Ticket]bool
	lastEnd   time.Time
}

func (m *model) step(e mesh.Event) {
	for _, a := range m.gate.Step(m.now, e) {
		switch a := a.(type) {
		case Start:
			m.start(a.Ticket)
		case Refuse:
			m.refuse(a)
		}
	}
	if m.completed < minWindowSamples && m.gate.Limit() > testCold {
		m.Fatalf("limit %d after %d requests of a cold target, want at most %d", m.gate.Limit(), m.completed, testCold)
	}
	if n := m.gate.Queued(); n != len(m.waiting) {
		m.Fatalf("got %d queued, want %d: a ticket got no answer", n, len(m.waiting))
	}
}

func (m *model) answer(t Ticket) (call *mesh.Call) {
	call, found := m.waiting[t]
	if !found {
		m.Fatalf("ticket %d got a second answer", t)
	}
	delete(m.waiting, t)
	return call
}

func (m *model) start(t Ticket) {
	call := m.answer(t)
	m.running[t], m.started[t] = true, true
	if len(m.running) > m.gate.Limit() {
		m.Fatalf("%d run after a start, want at most %d", len(m.running), m.gate.Limit())
	}
	if left := call.Remaining(m.now); left <= 0 || left < testServiceTime && m.now.Sub(m.lastEnd) < estimateHalfLife {
		m.Fatalf("a request started with %v left", left)
	}
	for _, c := range m.waiting {
		if c.Route.Class < call.Class && c.Remaining(m.now) >= testServiceTime {
			m.Fatalf("class %v started while class %v waits", call.Class, c.Route.Class)
		}
	}
}

func (m *model) refuse(a Refuse) {
	m.answer(a.Ticket)
	r := a.Refusal
	if r.Outcome != header.NotRun || r.Code == header.Overloaded && (r.RetryAfter <= 0 || r.Level > mesh.ClassLow) {
		m.Fatalf("got refusal %+v, want not-run, with a level and a retry time", r)
	}
}

func (m *model) arrive() {
	left := time.Duration(rapid.IntRange(0, 60).Draw(m.T, "left")) * time.Millisecond
	m.submit(testCall(mesh.Class(rapid.IntRange(0, 3).Draw(m.T, "class")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "org"), m.now.Add(left)))
}

func (m *model) submit(call *mesh.Call) {
	m.next++
	m.waiting[m.next] = call
	m.step(Arrival{Ticket: m.next, Call: call})
}

// fillLimit runs as many requests as the limit allows, so that the limit grows.
func (m *model) fillLimit() {
	for range m.gate.Limit() {
		m.submit(testCall(mesh.ClassCritical, "a", m.now.Add(time.Second)))
	}
	m.now = m.now.Add(2 * testServiceTime)
	for _, t := range m.tickets() {
		m.end(Finished{Ticket: t, Latency: testServiceTime})
	}
}

// finish ends one running request. All requests have the same latency, so the
// model knows the estimated service time.
func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	f := Finished{Ticket: rapid.SampledFrom(m.tickets()).Draw(m.T, "finished"), Latency: testServiceTime}
	f.Overloaded = rapid.IntRange(0, 9).Draw(m.T, "refused") == 0
	f.NotRun = f.Overloaded || rapid.IntRange(0, 9).Draw(m.T, "not-run") == 0
	m.end(f)
}

// tickets returns the tickets of running requests in a deterministic order.
func (m *model) tickets() (tickets []Ticket) {
	for t := range m.running {
		tickets = append(tickets, t)
	}
	slices.Sort(tickets)
	return tickets
}

func (m *model) end(f Finished) {
	delete(m.running, f.Ticket)
	if m.started[f.Ticket] && !f.NotRun {
		m.completed++
		m.lastEnd = m.now
	}
	m.step(f)
}

func (m *model) restart() {
	m.completed = 0
	clear(m.started)
	m.step(Restarted{})
}

func (m *model) cancel() {
	if m.next == 0 {
		return
	}
	t := Ticket(rapid.Uint64Range(1, uint64(m.next)).Draw(m.T, "gone"))
	delete(m.waiting, t)
	delete(m.running, t)
	m.step(Cancelled{Ticket: t})
}

// TestGateInvariants guards against a gate that exceeds its limit, starts a less
// important request first, starts a request that cannot meet its deadline, ramps
// up a cold target too early, or answers a ticket twice or never.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{
			T: r, now: testStart, waiting: make(map[Ticket]*mesh.Call),
			running: make(map[Ticket]bool), started: make(map[Ticket]bool),
			gate: New(NewAdaptive(testCold, testSlots), WithQueue(NewFair(8, 20*time.Millisecond))),
		}
		// A restart is only visible if the limit has grown before.
		for m.gate.Limit() < testSlots {
			m.fillLimit()
		}
		r.Repeat(map[string]func(*rapid.T){
			"arrive":  func(*rapid.T) { m.arrive() },
			"arrive2": func(*rapid.T) { m.arrive() },
			"finish":  func(*rapid.T) { m.finish() },
			"finish2": func(*rapid.T) { m.finish() },
			"busy":    func(*rapid.T) { m.fillLimit() },
			"gone":    func(*rapid.T) { m.cancel() },
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 9).Draw(r, "really") == 0 {
					m.restart()
				}
			},
			"resize": func(*rapid.T) {
				m.step(Resized{Cold: testCold, Slots: rapid.IntRange(1, testSlots).Draw(r, "slots"), QueueLength: rapid.IntRange(0, 8).Draw(r, "length")})
			},
			"wait": func(*rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(r, "ms")) * time.Millisecond)
				m.step(TimerExpired{})
			},
		})
		m.step(Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
		if len(m.waiting) != 0 {
			r.Fatalf("%d tickets got no answer", len(m.waiting))
		}
	})
}

// TestNoOrganisationStarves guards against an organisation that is served less
// than its weighted share, minus one turn, while it always has queued requests.
func TestNoOrganisationStarves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 6).Draw(r, "weights")
		greed := rapid.SliceOfN(rapid.IntRange(1, 9), len(weights), len(weights)).Draw(r, "greed")
		q := NewFair(40, 20*time.Millisecond)
		served := make([]int, len(weights))
		ticket, sum := Ticket(0), 0
		for _, w := range weights {
			sum += w
		}
		const rounds = 20
		for pop := range rounds * sum {
			now := testStart.Add(time.Duration(pop) * time.Millisecond)
			for i, w := range weights {
				for range greed[i] * w {
					ticket++
					call := testCall(mesh.ClassNormal, fmt.Sprint(i), now.Add(time.Second))
					call.Weight = w
					q.Push(mesh.Waiter{Ticket: ticket, Call: call, Since: now})
				}
			}
			next, _ := q.Pop(now)
			served[slices.Index([]mesh.OrganisationName{"0", "1", "2", "3", "4", "5"}, next.Call.Organisation)]++
		}
		for i, w := range weights {
			if got, want := served[i], (rounds-2)*w; got < want {
				r.Fatalf("organisation %d of weights %v got %d, want at least %d", i, weights, got, want)
			}
		}
	})
}

// run passes events to a gate and returns its actions as text.
func run(g *Gate, now time.Time, events ...mesh.Event) (text string) {
	for _, e := range events {
		for _, a := range g.Step(now, e) {
			switch a := a.(type) {
			case Start:
				text += fmt.Sprintf("+%d ", a.Ticket)
			case Refuse:
				text += fmt.Sprintf("-%d:%s ", a.Ticket, a.Refusal.Code)
			}
		}
	}
	return text
}

// TestGateOrder guards against a wrong order or refusal code. The gate has a limit
// of one request and a queue of two.
func TestGateOrder(t *testing.T) {
	late, soon := testStart.Add(time.Minute), testStart.Add(50*time.Millisecond)
	arrive := func(t Ticket, class mesh.Class, org string, deadline time.Time) Arrival {
		return Arrival{Ticket: t, Call: testCall(class, org, deadline)}
	}
	done := func(t Ticket) Finished { return Finished{Ticket: t, Latency: testServiceTime} }
	draining := Closed{Refusal: mesh.NotRun(header.TargetDraining, "")}
	first, second, third := arrive(1, 2, "a", late), arrive(2, 2, "a", late), arrive(3, 2, "a", late)
	for _, c := range []struct {
		name   string
		events []mesh.Event
		later  time.Duration
		then   []mesh.Event
		want   string
	}{
		{"oldest first", []mesh.Event{first, second, third}, 0, []mesh.Event{done(1)}, "+1 +2 "},
		{"newest first once late", []mesh.Event{first, second, third}, time.Second, []mesh.Event{done(1)}, "+1 +3 "},
		{"important first", []mesh.Event{first, second, arrive(3, 0, "a", late)}, 0, []mesh.Event{done(1)}, "+1 +3 "},
		{"important displaces", []mesh.Event{first, second, third, arrive(4, 0, "a", late)}, 0, nil, "+1 -2:overloaded "},
		{"least important is refused", []mesh.Event{first, second, third, arrive(4, 3, "a", late)}, 0, nil, "+1 -4:overloaded "},
		{"other organisation displaces", []mesh.Event{first, second, third, arrive(4, 2, "b", late)}, 0, nil, "+1 -2:overloaded "},
		{"late is dropped", []mesh.Event{first, arrive(2, 2, "a", soon)}, time.Second, []mesh.Event{TimerExpired{}}, "+1 -2:deadline-exceeded "},
		{"too late is refused at once", []mesh.Event{first, done(1), arrive(2, 2, "a", testStart.Add(testServiceTime/2))}, 0, nil, "+1 -2:deadline-exceeded "},
		{"draining refuses the queue", []mesh.Event{first, second}, 0, []mesh.Event{draining, third, done(1)}, "+1 -2:target-draining -3:target-draining "},
		{"unseen start frees its place", []mesh.Event{first, second}, 0, []mesh.Event{Cancelled{Ticket: 1}}, "+1 +2 "},
		{"shrunk queue", []mesh.Event{first, second, third}, 0, []mesh.Event{Resized{Cold: 1, Slots: 1, QueueLength: 1}}, "+1 -2:overloaded "},
	} {
		g := New(NewFixed(1), WithQueue(NewFair(2, 20*time.Millisecond)))
		got := run(g, testStart, c.events...) + run(g, testStart.Add(c.later), c.then...)
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestLostAnswers guards against a gate that replaces the requests lost when the
// target stopped with as many new ones, which then hit the restarted, cold target
// at full load.
func TestLostAnswers(t *testing.T) {
	late := testStart.Add(time.Minute)
	lost := func(t Ticket) mesh.Event { return Finished{Ticket: t, AnswerLost: true} }
	done := func(t Ticket) mesh.Event { return Finished{Ticket: t, Latency: testServiceTime} }
	for _, c := range []struct {
		name string
		then []mesh.Event
		want string
	}{
		{"one is lost", []mesh.Event{lost(1)}, ""},
		{"the next one ends well", []mesh.Event{lost(1), done(2)}, "+5 +6 "},
		{"all are lost", []mesh.Event{lost(1), lost(2), lost(3), lost(4)}, "+5 +6 "},
	} {
		g := New(&coldAfterRestart{Fixed: NewFixed(4)}, WithQueue(NewFair(8, 20*time.Millisecond)))
		for i := range 8 {
			run(g, testStart, Arrival{Ticket: Ticket(i + 1), Call: testCall(2, "a", late)})
		}
		if got := run(g, testStart, c.then...); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestClosedConnections guards against a gate that starts a request for each answer of a target that
// has stopped right behind it, and against one that takes a target which closes its connections as a
// rule for one that stops.
func TestClosedConnections(t *testing.T) {
	late := testStart.Add(time.Minute)
	done := func(closed bool) func(Ticket) mesh.Event {
		return func(t Ticket) mesh.Event {
			return Finished{Ticket: t, Latency: testServiceTime, ConnectionClosed: closed}
		}
	}
	open, closed := done(false), done(true)
	for _, c := range []struct {
		name string

		// earlier is how each of the first requests ends, and then how the last ones do, one after the
		// other, while four run.
		earlier func(Ticket) mesh.Event
		then    []func(Ticket) mesh.Event
		want    string
	}{
		{"one is closed", open, []func(Ticket) mesh.Event{closed}, ""},
		{"the next one stays open", open, []func(Ticket) mesh.Event{closed, open}, "+23 +24 "},
		{"all are closed", open, []func(Ticket) mesh.Event{closed, closed, closed, closed}, "+23 +24 "},
		{"closed as a rule", closed, []func(Ticket) mesh.Event{closed, closed, closed, closed}, "+23 +24 +25 +26 "},
	} {
		g := New(&coldAfterRestart{Fixed: NewFixed(4)}, WithQueue(NewFair(64, 20*time.Millisecond)))
		const first = 18
		for i := range first + 12 {
			run(g, testStart, Arrival{Ticket: Ticket(i + 1), Call: testCall(2, "a", late)})
		}
		for i := range first {
			run(g, testStart, c.earlier(Ticket(i+1)))
		}
		got := ""
		for i, end := range c.then {
			got += run(g, testStart, end(Ticket(first+i+1)))
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// coldAfterRestart is a limiter with a limit of two after a restart.
type coldAfterRestart struct {
	*Fixed
	cold bool
}

func (c *coldAfterRestart) Limit() int {
	if c.cold {
		return 2
	}
	return c.Fixed.Limit()
}

func (c *coldAfterRestart) Restart(time.Time) { c.cold = true }

// TestServiceTimeEstimateDecays guards against a slow period after which every
// request is refused permanently, because none runs that could correct the estimate.
func TestServiceTimeEstimateDecays(t *testing.T) {
	g := New(NewFixed(1))
	run(g, testStart, Arrival{Ticket: 1, Call: testCall(2, "a", testStart.Add(time.Minute))}, Finished{Ticket: 1, Latency: time.Second})
	for _, c := range []struct {
		later time.Duration
		want  string
	}{{0, "-2:deadline-exceeded "}, {5 * time.Second, "+2 "}} {
		now := testStart.Add(c.later)
		if got := run(g, now, Arrival{Ticket: 2, Call: testCall(2, "a", now.Add(50*time.Millisecond))}); got != c.want {
			t.Errorf("after %v: got %q, want %q", c.later, got, c.want)
		}
	}
}

// TestLevel guards against an admission level that refuses a class of which some
// requests still run, that accepts a class whose requests all expire in the queue,
// or that persists after the overload.
func TestLevel(t *testing.T) {
	late, soon := testStart.Add(time.Minute), testStart.Add(testServiceTime)
	for _, c := range []struct {
		name string

		// first runs, second is queued, third finds the queue full.
		first, second, third mesh.Class
		deadline             time.Time
		later                time.Duration
		want                 mesh.Class
	}{
		{"one class refused", 1, 1, 2, late, 0, mesh.ClassHigh},
		{"some of the class run", 3, 3, 3, late, 0, mesh.ClassLow},
		{"overload ends", 1, 1, 2, late, levelWindowDelays*defaultTargetDelay + 1, mesh.ClassLow},
		{"expires in the queue", 0, 2, 2, soon, testServiceTime, mesh.ClassHigh},
	} {
		g := New(NewFixed(1), WithQueue(NewFair(1, 20*time.Millisecond)))
		run(g, testStart, Arrival{Ticket: 1, Call: testCall(c.first, "a", late)}, Arrival{Ticket: 2, Call: testCall(c.second, "a", c.deadline)})
		if c.deadline == late {
			run(g, testStart, Arrival{Ticket: 3, Call: testCall(c.third, "a", late)})
		}
		now := testStart.Add(c.later)
		run(g, now, TimerExpired{})
		if got := g.Level(now); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStandingQueue guards against requests that stay queued under sustained
// overload until no time is left to retry on another target, and against shedding
// a burst that the target drains in time.
func TestStandingQueue(t *testing.T) {
	for _, c := range []struct {
		name string

		// all is the number of arrivals per service time, and first that in the first
		// one.
		first, all int

		// least and most bound the number of refusals. Of the 600 arrivals in excess
		// of those that run, the ones of the last ten service times are still queued.
		least, most int
	}{
		{"burst", 205, 0, 0, 0},
		{"lasting overload", 3, 3, 570, 580},
	} {
		g := New(NewFixed(1))
		ticket, running, shed := Ticket(0), Ticket(0), 0
		for i := range 300 {
			now := testStart.Add(time.Duration(i) * testServiceTime)
			events := []mesh.Event{Finished{Ticket: running, Latency: testServiceTime}, TimerExpired{}}
			arrivals := c.all
			if i == 0 {
				arrivals = c.first
			}
			for range arrivals {
				ticket++
				events = append(events, Arrival{Ticket: ticket, Call: testCall(2, "a", now.Add(time.Minute))})
			}
			for _, e := range events {
				for _, a := range g.Step(now, e) {
					switch a := a.(type) {
					case Start:
						running = a.Ticket
					case Refuse:
						shed++
						if a.Refusal.Code != header.Overloaded {
							t.Errorf("%s: got %v, want code %q", c.name, a.Refusal, header.Overloaded)
						}
					}
				}
			}
		}
		if shed < c.least || shed > c.most {
			t.Errorf("%s: got %d shed, want from %d to %d", c.name, shed, c.least, c.most)
		}
	}
}
