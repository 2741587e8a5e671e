package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// slowInstance stops a machine as planned while an instance reads long requests slowly.
func slowInstance(f *fleet) {
	const (
		bodyBytes = 1 << 20
		readFirst = 64 << 10
		requests  = 8
		pause     = 1800 * time.Millisecond
		lastSixth = graceTime - graceTime/6
	)
	var mu sync.Mutex
	begun := make(map[string]bool)
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
			mu.Lock()
			begun[id] = true
			mu.Unlock()
			f.add("instance %s begins to work on %s, which has %d bytes", i.id, id, q.ContentLength)
			n, err := io.CopyN(io.Discard, q.Body, readFirst)
			if err == nil && trouble() {
				f.add("instance %s is at work on the first %d bytes of %s and reads on in %v", i.id, n, id, pause)
				time.Sleep(pause)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, q.Body)
			}
			if err != nil {
				f.add("instance %s: the connection of %s broke while it was at work: %v", i.id, id, err)
				return
			}
			time.Sleep(100 * time.Millisecond)
			f.add("instance %s answers %s", i.id, id)
			if _, err := io.WriteString(c, ok(id, 200)); err != nil {
				return
			}
		}
	}
	entry := f.addMachine("shop", "zone-a")
	f.addMachine("import", "zone-b")
	f.publish([]route{
		{Name: "import", Prefix: "/import/", Kind: "non_idempotent", Timeout: 6, Target: 2, Service: "import", Attempts: 2, Public: true},
		{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: 6, Target: 2, Service: "shop", Attempts: 2, Public: true},
	}, []service{{"shop", "/health", 364, 3, 0}, {"import", "/health", 364, 3, 0}})
	for _, m := range f.machines {
		f.startWith(m, m.newInstance("i-"+m.service, 44, serve))
	}
	f.awaitReady()
	entry.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	broken := 0
	for range requests {
		wg.Go(func() {
			c := call{method: http.MethodPost, path: "/import/x", id: newID(), body: make([]byte, bodyBytes), limit: 5 * time.Second}
			f.add("client sends %s, %d bytes", c.id, len(c.body))
			status, _, err := entry.send(c)
			ended := time.Since(stopped)
			f.add("client: %s ended with %d, %v, %v after SIGTERM", c.id, status, err, ended.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if begun[c.id] && ended < lastSixth && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout || err != nil) {
				broken++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second) // The instance goes on.
	f.finish(broken > 0, "%d of %d requests were broken off while their instance was at work, after SIGTERM and earlier than the last sixth of the time to stop", broken, requests)
}
