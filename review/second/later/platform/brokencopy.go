package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var brokenCopyPlaces = []place{{"a", "area", "settle"}, {"a", "area", "settle"}, {"b", "area", "entry"}}

const (
	// garblePeriods times the instance is faulty for garbleTime, with garblePause between. Meanwhile it
	// sends a second copy of a share of its answers.
	garblePeriods = 9
	garbleTime    = 5 * time.Second
	garblePause   = 3 * time.Second
	garbleShare   = 0.03

	// conflictShare of the requests are answered 409, as when a payout was settled before, and fullShare
	// are rejected since the instance is full.
	conflictShare = 0.3
	fullShare     = 0.05

	copyClients = 48
)

// copier answers the requests of an instance. While faulty, it sends second copies of some answers late,
// where the answer to the next request is due, and each copy breaks off after some bytes.
type copier struct {
	i      *instance
	faulty func() (now bool)

	mu    sync.Mutex
	given map[string]int
}

func (cp *copier) serve(c net.Conn, br *bufio.Reader) {
	again := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if again != "" {
			part := again[:1+rand.IntN(len(again)-1)]
			cp.i.rec.note("copy  before its answer to %s, %s sends the first %d bytes of a second copy of the answer before: %q", id, cp.i.id, len(part), part)
			if !send(c, part) {
				return
			}
		}
		again = ""
		text := cp.answer(r, id)
		if !send(c, text) {
			return
		}
		if cp.faulty() && rand.Float64() < garbleShare {
			again = text
		}
	}
}

// answer runs a request, unless it is rejected, and returns the text of its answer.
func (cp *copier) answer(r *http.Request, id string) (text string) {
	switch {
	case r.URL.Path == "/health":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", cp.i.id)
	case rand.Float64() < fullShare:
		cp.i.rec.note("full  %s rejects %s", cp.i.id, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	u := &run{id: id, instance: cp.i.id, at: time.Now()}
	cp.i.rec.begin(u, r.Method+" "+r.RequestURI)
	time.Sleep(10 * time.Millisecond)
	status := http.StatusOK
	if rand.Float64() < conflictShare {
		status = http.StatusConflict
	}
	cp.i.rec.finish(u, fmt.Sprintf("answered %d", status))
	cp.mu.Lock()
	cp.given[id] = status
	cp.mu.Unlock()
	body := bodyOf(id, answerSize)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, signatureOf(id), len(body), body)
}

// brokenCopy plays an instance that now and then sends a second copy of an answer, late and broken off.
func brokenCopy(d *deployment) (err error) {
	// begun is nil until clients send requests.
	var begun atomic.Pointer[time.Time]
	faulty := func() (now bool) {
		at := begun.Load()
		return d.trouble && at != nil && time.Since(*at)%(garbleTime+garblePause) < garbleTime
	}
	copiers := []*copier{
		{i: d.instances[0], faulty: faulty, given: make(map[string]int)},
		{i: d.instances[1], faulty: func() bool { return false }, given: make(map[string]int)},
	}
	for _, cp := range copiers {
		cp.i.answers = cp.serve
	}
	unlimited := newTenant()
	unlimited.RatePerS, unlimited.Burst = 0, 0
	if err := d.putManifest(5, []route{{"r-pay", "/pay/", "non_idempotent", "settle"}}, []tenant{unlimited}); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	now := time.Now()
	begun.Store(&now)
	end := now.Add(garblePeriods*(garbleTime+garblePause) - garblePause)
	var group sync.WaitGroup
	for range copyClients {
		group.Go(func() {
			c := &client{rec: d.rec, addr: d.nodes[2].outbound()}
			defer c.close()
			for time.Now().Before(end) {
				c.do(newPayment())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	d.checkAnswers(copiers)
	return nil
}

// checkAnswers compares what clients got with what the instances answered.
func (d *deployment) checkAnswers(copiers []*copier) {
	given := make(map[string]int)
	for _, cp := range copiers {
		cp.mu.Lock()
		for id, status := range cp.given {
			given[id] = status
		}
		cp.mu.Unlock()
	}
	runs := d.rec.runsByID()
	for _, q := range d.rec.requests {
		switch status := given[q.id]; {
		case len(runs[q.id]) > 1:
			d.rec.broken("TWICE: request %s is not idempotent and ran %d times", q.id, len(runs[q.id]))
		case len(runs[q.id]) > 0 && (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests):
			d.rec.broken("REFUSED: request %s was answered %d, although it ran and its instance answered %d", q.id, q.status, status)
		case q.status/100 == 2 && status/100 != 2:
			d.rec.broken("MIXED: request %s got the success %d where its instance had answered %d", q.id, q.status, status)
		case q.signed && q.status != status:
			d.rec.broken("MIXED: request %s got the failure %d with the signature of its instance, which had answered %d", q.id, q.status, status)
		}
	}
}
