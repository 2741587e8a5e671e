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

// lateReport restarts the node beside an instance that leaves, whose last report arrives late.
func lateReport(f *fleet) {
	const (
		perSecond = 40
		drainTime = 2 * time.Second
		inTouch   = 3 * time.Second
		stay      = 12 * time.Second
		late      = 7 * time.Second
		slots     = 13
	)
	var mu sync.Mutex
	var left, restarted time.Time
	gone := false
	tooLate, lost := 0, 0
	serve := func(i *instance, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			leaving := i.id == "i-leaving" && !left.IsZero()
			mu.Unlock()
			if i.health(c, q) {
				continue
			}
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("X-Request-Id")
			if leaving {
				mu.Lock()
				now := time.Now()
				f.add("instance %s runs %s, %v after its leaving was acknowledged", i.id, id, now.Sub(left).Round(time.Millisecond))
				if now.Sub(left) > drainTime && now.Sub(restarted) > inTouch {
					tooLate++
				}
				mu.Unlock()
			}
			time.Sleep(100 * time.Millisecond)
			if _, err := io.WriteString(c, ok(id, 200)); err != nil {
				return
			}
		}
	}
	entry := f.addMachine("shop", "zone-a")
	leavingMachine, other := f.addMachine("pay", "zone-a"), f.addMachine("pay", "zone-a")
	f.publish([]route{
		{Name: "pay", Prefix: "/pay/", Kind: "non_idempotent", Timeout: 5, Target: 1.2, Service: "pay", Attempts: 2, Public: true},
		{Name: "shop", Prefix: "/shop/", Kind: "idempotent", Timeout: 5, Target: 1.2, Service: "shop", Attempts: 2, Public: true},
	}, []service{{"shop", "/health", 364, 3, 8.4}, {"pay", "/health", 364, 3, 8.4}})
	var leaving *instance
	for _, m := range []*machine{entry, leavingMachine, other} {
		id := "i-" + m.name
		if m == leavingMachine {
			id = "i-leaving"
		}
		i := m.newInstance(id, slots, serve)
		i.listen()
		m.start()
		if m == leavingMachine {
			leaving = i
			_ = i.say(i.next())
		} else {
			go i.beat()
		}
	}
	for range 2 {
		time.Sleep(beatTime)
		_ = leaving.say(leaving.next())
	}
	f.awaitReady()
	_ = leaving.say(leaving.next())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			wg.Go(func() {
				c := call{method: http.MethodPost, path: "/pay/x", id: newID(), body: []byte("amount=1"), limit: 5 * time.Second}
				status, _, err := entry.send(c)
				if status != http.StatusOK {
					f.add("client: %s ended with %d, %v", c.id, status, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if gone && (status == http.StatusBadGateway || err != nil) {
					lost++
				}
			})
		}
	})
	time.Sleep(time.Second)
	delayed := leaving.next() // It is on its way when the instance leaves.
	f.add("instance %s sends a report, ready, that is held up", leaving.id)
	sentAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	leaving.mu.Lock()
	leaving.state = "leaving" // Its status check fails from now on.
	leaving.mu.Unlock()
	acked := leaving.say(nil)
	mu.Lock()
	left = time.Now()
	mu.Unlock()
	f.add("instance %s says that it is gone: acknowledged %v", leaving.id, acked)
	time.Sleep(200 * time.Millisecond)
	leavingMachine.signal(syscall.SIGKILL)
	leavingMachine.kill()
	time.Sleep(300 * time.Millisecond)
	leavingMachine.start()
	mu.Lock()
	restarted = time.Now()
	mu.Unlock()
	if trouble() {
		time.Sleep(time.Until(sentAt.Add(late)))
		f.add("the report of %s arrives %v late: acknowledged %v", leaving.id, time.Since(sentAt).Round(time.Millisecond), leaving.say(delayed))
	}
	time.Sleep(time.Until(left.Add(stay)))
	mu.Lock()
	gone = true
	mu.Unlock()
	f.add("instance %s exits", leaving.id)
	leaving.crash()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	f.finish(tooLate > 0, "%d requests reached the instance later than %v after its leaving was acknowledged; %d accepted requests were lost as it exited", tooLate, drainTime, lost)
}
