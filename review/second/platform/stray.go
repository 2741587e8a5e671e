package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// strayBytes lets a faulty instance send additional bytes after complete answers.
func strayBytes(f *fleet) {
	// stray is an answer to nothing, in the form in which instances reject: it names no request.
	const (
		stray   = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		work    = 50 * time.Millisecond
		clients = 10

		// The dose of the site file: of the answers in a spell, which comes more than once.
		dose   = 0.03
		spell  = 5 * time.Second
		pause  = 2 * time.Second
		spells = 3
	)
	var mu sync.Mutex
	var begin time.Time
	strays := 0
	// faulty reports whether the instance is in a spell.
	faulty := func() bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(begin)
		return !begin.IsZero() && since < spells*(spell+pause) && since%(spell+pause) < spell
	}
	runs := make(map[string][]string)
	serve := func(i *instance, c net.Conn, r *bufio.Reader) {
		for spoilt := false; ; spoilt = i.id == "i-faulty" && faulty() && rand.Float64() < dose {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if i.health(c, q) {
				continue
			}
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("X-Request-Id")
			mu.Lock()
			runs[id] = append(runs[id], i.id)
			mu.Unlock()
			f.add("instance %s runs %s", i.id, id)
			if trouble() && spoilt {
				mu.Lock()
				strays++
				mu.Unlock()
				f.add("instance %s sends %d additional bytes behind its last answer", i.id, len(stray))
				_, _ = io.WriteString(c, stray)
			}
			time.Sleep(work)
			if _, err := io.WriteString(c, ok(id, 200)); err != nil {
				return
			}
		}
	}
	entry := f.addMachine("shop", "zone-a")
	broken, sound := f.addMachine("pay", "zone-a"), f.addMachine("pay", "zone-a")
	f.publish([]route{
		{Name: "pay", Prefix: "/pay/", Kind: "non_idempotent", Timeout: 5, Target: 1.2, Service: "pay", Attempts: 2, Public: true},
		{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: 5, Target: 1.2, Service: "shop", Attempts: 2, Public: true},
	}, []service{{"shop", "/health", 364, 3, 8.4}, {"pay", "/health", 364, 3, 8.4}})
	for m, id := range map[*machine]string{entry: "i-shop", broken: "i-faulty", sound: "i-sound"} {
		i := m.newInstance(id, 44, serve)
		f.startWith(m, i)
	}
	f.awaitReady()
	refused, requests := 0, 0
	mu.Lock()
	begin = time.Now()
	mu.Unlock()
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Since(begin) < spells*(spell+pause) {
				c := call{method: http.MethodPost, path: "/pay/x", id: newID(), body: []byte("amount=1"), limit: 5 * time.Second}
				status, h, err := entry.send(c)
				f.add("client: %s ended with %d, %v", c.id, status, err)
				promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
				if promised {
					time.Sleep(2 * work) // The instance has finished what it runs.
				}
				mu.Lock()
				requests++
				if promised && len(runs[c.id]) > 0 {
					refused++
					f.add("%s was refused (%s) and has run", c.id, h.Get("Retry-After"))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, by := range runs {
		if len(by) > 1 {
			twice++
			f.add("%s ran %d times: %v", id, len(by), by)
		}
	}
	f.finish(twice+refused > 0, "%d of %d requests ran more than once, %d were refused and have run; %d answers had additional bytes", twice, requests, refused, strays)
}
