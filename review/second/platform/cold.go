package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a cold instance got.
type arrival struct{ sent, at time.Time }

// coldAgain lets an instance become cold while it serves.
func coldAgain(f *fleet) {
	const (
		coldPerS  = 8.4
		coldTime  = 3 * time.Second
		perSecond = 80
		crashPerS = 40 // "Well above": more than four times the rate that a cold instance tolerates.
		bound     = coldPerS*1.5 + 5
	)
	var mu sync.Mutex
	var arrivals []arrival
	sent := make(map[string]time.Time)
	var coldFrom time.Time
	worst, lost := 0, 0
	crashed := false
	serve := func(i *instance, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			i.mu.Lock()
			left := time.Until(i.coldUntil)
			i.mu.Unlock()
			if i.health(c, q) {
				continue
			}
			id := q.Header.Get("X-Request-Id")
			work := 100 * time.Millisecond
			if i.m.service == "calendar" && left > 0 {
				work *= 2
				now := time.Now()
				mu.Lock()
				arrivals = append(arrivals, arrival{sent: sent[id], at: now})
				n := 0
				for _, a := range arrivals {
					if now.Sub(a.sent) <= time.Second && !a.sent.Before(coldFrom) {
						n++
					}
				}
				worst = max(worst, n)
				crash := n > crashPerS && !crashed
				crashed = crashed || crash
				mu.Unlock()
				f.add("instance %s, cold for %v, runs %s; %d within a second", i.id, now.Sub(coldFrom).Round(time.Millisecond), id, n)
				if crash {
					f.add("instance %s crashes", i.id)
					i.crash()
					return
				}
			}
			time.Sleep(work)
			if _, err := io.WriteString(c, ok(id, 200)); err != nil {
				return
			}
		}
	}
	entry, calendar := f.addMachine("shop", "zone-a"), f.addMachine("calendar", "zone-a")
	f.publish([]route{
		{Name: "calendar", Prefix: "/calendar/", Kind: "idempotent", Timeout: 5, Target: 1, Service: "calendar", Attempts: 2, Public: true},
		{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: 5, Target: 1, Service: "shop", Attempts: 2, Public: true},
	}, []service{{"shop", "/health", 364, coldTime.Seconds(), coldPerS}, {"calendar", "/health", 364, coldTime.Seconds(), coldPerS}})
	for _, m := range []*machine{entry, calendar} {
		i := m.newInstance("i-"+m.service, 44, serve)
		i.listen()
		m.start()
		if m == calendar {
			go func() {
				for n := 0; ; n++ {
					_ = i.say(i.next())
					f.add("instance %s reported", i.id)
					if n == 4 && trouble() {
						time.Sleep(100 * time.Millisecond)
						i.mu.Lock()
						i.coldUntil = time.Now().Add(coldTime)
						i.mu.Unlock()
						mu.Lock()
						coldFrom = time.Now()
						mu.Unlock()
						f.add("instance %s becomes cold", i.id)
						time.Sleep(beatTime - 100*time.Millisecond)
						continue
					}
					time.Sleep(beatTime)
				}
			}()
		} else {
			go i.beat()
		}
	}
	f.awaitReady()
	var wg sync.WaitGroup
	for range 8 * perSecond {
		wg.Go(func() {
			c := call{method: http.MethodGet, path: "/calendar/x", id: newID(), limit: 3 * time.Second}
			mu.Lock()
			sent[c.id] = time.Now()
			mu.Unlock()
			status, _, err := entry.send(c)
			if status != http.StatusOK {
				f.add("client: %s ended with %d, %v", c.id, status, err)
			}
			if status == http.StatusBadGateway || status == http.StatusGatewayTimeout || err != nil {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	f.finish(float64(worst) > bound, "the cold instance got %d requests within a second, %.1f are allowed; %d accepted requests were lost", worst, bound, lost)
}
