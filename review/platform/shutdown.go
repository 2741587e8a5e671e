package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	grace         = 6 * time.Second
	lossSlack     = 200 * time.Millisecond
	rollGap       = time.Second
	statementWork = 5700 * time.Millisecond
	longestLimit  = 6 * time.Second
	rolls         = 3
	payWork       = 200 * time.Millisecond
)

func init() { cases["shutdown"] = shutdown }

// shutdown stops and starts the nodes of a zone in turn, one a second, while some requests are
// long. No request that a node has taken may be cut off.
func shutdown(f *fleet, trouble bool) (err error) {
	for n := range 4 {
		if _, err := f.add(fmt.Sprintf("n%d", n+1), "north-a", "pay", 44); err != nil {
			return err
		}
	}
	m := newManifest("pay")
	m.route("payout", "non_idempotent", "pay", 2, 0.5, 2, 0)
	m.route("statement", "idempotent", "pay", longestLimit.Seconds(), longestLimit.Seconds(), 2, 1)
	m.tenant("shop", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ended := &outcomes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, entry := range f.machines {
		for range 24 {
			group.Go(func() {
				sendWhileIn(entry, ended, stop, http.MethodGet, "statement", statementWork, longestLimit, 1500*time.Millisecond)
			})
		}
		for range 10 {
			group.Go(func() {
				sendWhileIn(entry, ended, stop, http.MethodPost, "payout", payWork, 2*time.Second, 100*time.Millisecond)
			})
		}
	}
	var terms []term
	for range rolls {
		time.Sleep(8 * time.Second)
		if !trouble {
			continue
		}
		var restarts sync.WaitGroup
		for _, m := range f.machines {
			terms = append(terms, term{m, time.Now()})
			restarts.Go(func() { restart(m) })
			time.Sleep(rollGap)
		}
		restarts.Wait()
	}
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	for _, t := range terms {
		checkShutdown(f, t.machine, t.at, ended)
	}
	return nil
}

// term is a SIGTERM of the platform.
type term struct {
	machine *machine
	at      time.Time
}

// restart stops a node with SIGTERM, after the grace time with SIGKILL, and starts it again.
func restart(m *machine) {
	ended := m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		<-m.signal(syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	if err := m.start(); err != nil {
		m.fleet.record.note("starting node %s failed: %v", m.name, err)
	}
}

// sendWhileIn sends requests over a kept connection, with a mean pause between two of them, as long
// as clients may send to the machine.
func sendWhileIn(entry *machine, ended *outcomes, stop chan struct{}, method, route string, work, limit, pause time.Duration) {
	c := &client{entry: entry}
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(2 * rand.Float64() * float64(pause))):
		}
		if !entry.mayReceive() {
			continue
		}
		q := newRequest(method, route, "shop", work, limit)
		c.do(q)
		ended.add(q)
	}
}

// checkShutdown checks the requests that ended without an answer around the SIGTERM of their
// entry.
func checkShutdown(f *fleet, m *machine, term time.Time, ended *outcomes) {
	runs := f.runsByID()
	excused, refused := 0, 0
	for _, q := range ended.done {
		if q.entry != m || q.status != 0 || term.IsZero() || q.last.IsZero() || q.done.Before(term) || q.done.After(term.Add(grace+time.Second)) {
			continue
		}
		passedOn := len(runs[q.id]) > 0
		late := q.done.Sub(q.last) > lossSlack
		if !passedOn && !late {
			refused++
			continue
		}
		if q.done.Sub(q.sent) >= q.limit {
			continue
		}
		atWork := false
		for _, r := range runs[q.id] {
			atWork = atWork || r.ended.After(term.Add(grace*5/6))
		}
		if atWork && !q.sent.After(term.Add(3*time.Second)) {
			excused++
			continue
		}
		f.record.violate("LOST: %s /%s/ was sent to %s %v after its SIGTERM, passed on to an instance: %t, and its connection ended without an answer %v after the SIGTERM: %v",
			q.id, q.route, m.name, q.sent.Sub(term).Round(time.Millisecond), passedOn, q.done.Sub(term).Round(time.Millisecond), q.err)
	}
	f.record.note("node %s: %d cut requests are excused, %d were not read", m.name, excused, refused)
}
