package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// earlyAnswer lets an instance answer before it has read a long body, keep the connection and read on
// later.
func earlyAnswer(f *fleet) {
	const (
		bodyBytes = 16 << 20
		readFirst = 64 << 10
		requests  = 5
		later     = 500 * time.Millisecond
	)
	type result struct {
		id    string
		bytes int64
		err   error
	}
	results := make(chan result, requests)
	serve := func(i *instance, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if i.health(c, q) {
				continue
			}
			id := q.Header.Get("X-Request-Id")
			f.add("instance %s runs %s, which has %d bytes", i.id, id, q.ContentLength)
			n, err := io.CopyN(io.Discard, q.Body, readFirst)
			if err == nil && trouble() {
				f.add("instance %s answers %s after %d bytes of its body, and reads on later", i.id, id, n)
				_, err = io.WriteString(c, ok(id, 200))
				time.Sleep(later)
			}
			if err == nil {
				var rest int64
				rest, err = io.Copy(io.Discard, q.Body)
				n += rest
			}
			f.add("instance %s got %d of the %d bytes of %s: %v", i.id, n, q.ContentLength, id, err)
			if err == nil && !trouble() {
				f.add("instance %s answers %s", i.id, id)
				_, err = io.WriteString(c, ok(id, 200))
			}
			results <- result{id, n, err}
			if err != nil {
				return
			}
		}
	}
	entry, archive := f.addMachine("shop", "zone-a"), f.addMachine("archive", "zone-a")
	f.publish([]route{
		{Name: "archive", Prefix: "/archive/", Kind: "non_idempotent", Timeout: 6, Target: 2, Service: "archive", Attempts: 2, Public: true},
		{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: 6, Target: 2, Service: "shop", Attempts: 2, Public: true},
	}, []service{{"shop", "/health", 364, 3, 0}, {"archive", "/health", 364, 3, 0}})
	for _, m := range []*machine{entry, archive} {
		i := m.newInstance("i-"+m.service, 44, serve)
		f.startWith(m, i)
	}
	f.awaitReady()
	cut := 0
	for range requests {
		c := call{method: http.MethodPut, path: "/archive/x", id: newID(), body: make([]byte, bodyBytes), limit: 6 * time.Second}
		f.add("client sends %s, %d bytes", c.id, len(c.body))
		status, _, err := entry.send(c)
		f.add("client: %s ended with %d, %v", c.id, status, err)
		select {
		case r := <-results:
			if r.id == c.id && status == http.StatusOK && r.bytes < bodyBytes {
				cut++
			}
		case <-time.After(8 * time.Second):
			f.fail("the instance has not finished %s", c.id)
		}
	}
	f.finish(cut > 0, "%d of %d requests were answered 200, while the instance got only a part of the body that the client sent", cut, requests)
}
