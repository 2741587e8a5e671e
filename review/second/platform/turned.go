package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// turnedAway lets the store turn the followers of a zone away while a key is taken away.
func turnedAway(f *fleet) {
	const (
		perSecond = 40
		apply     = 2 * time.Second
		stretch   = 5 * time.Second
		away      = 9 * time.Second
	)
	var mu sync.Mutex
	runs := make(map[string]time.Time)
	serve := func(i *instance, c net.Conn, r *bufio.Reader) {
		for {
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
			runs[id] = time.Now()
			mu.Unlock()
			f.add("instance %s runs %s for %s", i.id, id, q.Header.Get("X-Tenant"))
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(c, ok(id, 200)); err != nil {
				return
			}
		}
	}
	store := f.storeAddr
	proxies := make(map[*machine]*proxy)
	for n := range 9 {
		p := f.newProxy(store)
		f.storeAddr = p.addr
		proxies[f.addMachine([]string{"shop", "pay"}[n%2], "zone-a")] = p
	}
	timeout := 5.0
	publish := func(keys ...string) {
		f.tenants = []tenant{{Name: "calm", Keys: []string{"key-of-calm"}}, {Name: "leaver", Keys: keys}}
		f.publish([]route{
			{Name: "pay", Prefix: "/pay/", Kind: "non_idempotent", Timeout: timeout, Target: 1.2, Service: "pay", Attempts: 2},
			{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: timeout, Target: 1.2, Service: "shop", Attempts: 2},
		}, []service{{"shop", "/health", 364, 3, 8.4}, {"pay", "/health", 364, 3, 8.4}})
	}
	publish("key-1", "key-2")
	for _, m := range f.machines {
		i := m.newInstance("i-"+m.name, 44, serve)
		f.startWith(m, i)
	}
	f.awaitReady()
	time.Sleep(13 * time.Second) // The calls of the start lie back; a follower asks at least every 10 s.
	var followers []*machine
	for _, m := range f.machines {
		if proxies[m].follows(11 * time.Second) {
			followers = append(followers, m)
		}
	}
	if len(followers) != 3 {
		f.fail("%d of 9 nodes follow the store, not 3", len(followers))
	}
	turned := make(map[*machine]bool)
	if trouble() {
		for _, m := range followers {
			turned[m] = true
			proxies[m].turnAway(true)
			f.add("the store turns %s away", m.name)
		}
		time.AfterFunc(away, func() {
			for _, m := range followers {
				proxies[m].turnAway(false)
				f.add("the store serves %s again", m.name)
			}
		})
	}
	silentAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	publish("key-1")
	acked := time.Now()
	f.add("key-2 is taken away")
	from := acked.Add(apply + stretch + 50*time.Millisecond)
	var wg sync.WaitGroup
	broken := 0
	for n := 0; time.Since(silentAt) < 12*time.Second; n++ {
		wg.Go(func() {
			m := f.machines[n%len(f.machines)]
			c := call{method: http.MethodPost, path: "/pay/x", id: newID(), key: "key-2", body: []byte("amount=1"), limit: 4 * time.Second}
			sent := time.Now()
			status, _, err := m.send(c)
			mu.Lock()
			defer mu.Unlock()
			_, ran := runs[c.id]
			f.add("client of %s: %s with key-2, sent %v after it was taken away, ended with %d, %v; ran: %v", m.name, c.id, sent.Sub(acked).Round(time.Millisecond), status, err, ran)
			if ran && sent.After(from) && !turned[m] {
				broken++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	f.finish(broken > 0, "%d requests with the key ran that were sent later than %v after the ack, through machines that the store serves", broken, from.Sub(acked).Round(time.Millisecond))
}
