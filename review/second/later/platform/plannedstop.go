package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var plannedStopPlaces = []place{{"a", "area", "tasumine"}, {"b", "area", "galerii"}, {"b", "area", "entry"}}

const (
	// stopLimit is the time limit of the requests. callAfter is the work of a request before its call, and
	// callWork that of the call, both well within the limit.
	stopLimit    = 6 * time.Second
	callAfter    = 3350 * time.Millisecond
	callWork     = 2450 * time.Millisecond
	stopRequests = 6

	// stopDelay is the time from the first request to SIGTERM, and lateAfter the one after SIGTERM from
	// which on a request that is at work at the end of the grace time is no excuse.
	stopDelay = 150 * time.Millisecond
	lateAfter = 3 * time.Second
)

// plannedStop plays a node that is stopped and started again while the instance beside it runs requests
// that make a call late.
func plannedStop(d *deployment) (err error) {
	var mu sync.Mutex
	calls := make(map[string]*request)
	d.instances[0].during = func(r *http.Request) {
		begun := time.Now()
		limit, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
		if err != nil {
			return
		}
		time.Sleep(callAfter)
		call := &request{
			id: r.Header.Get("X-Request-Id") + ".1", method: http.MethodPost, size: 300, path: fmt.Sprintf("/call/x?work=%d", callWork.Milliseconds()),
			limit: time.Until(begun.Add(time.Duration(limit) * time.Millisecond)),
		}
		c := &client{rec: d.rec, addr: d.nodes[0].outbound()}
		c.do(call)
		c.close()
		mu.Lock()
		calls[call.id] = call
		mu.Unlock()
	}
	routes := []route{{"r-pay", "/pay/", "non_idempotent", "tasumine"}, {callRoute, "/call/", "non_idempotent", "galerii"}}
	if err := d.putManifest(stopLimit.Seconds(), routes, []tenant{newTenant()}); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	var group sync.WaitGroup
	for range stopRequests {
		group.Go(func() {
			c := &client{rec: d.rec, addr: d.nodes[2].outbound()}
			defer c.close()
			q := newPayment()
			q.limit = stopLimit
			c.do(q)
		})
	}
	time.Sleep(stopDelay)
	stopped := time.Now()
	if d.trouble {
		d.rec.note("SIGTERM to %s, whose instance goes on", d.nodes[0].name)
		d.nodes[0].stop(syscall.SIGTERM)
		d.rec.note("%s has ended and is started again", d.nodes[0].name)
		if err := d.nodes[0].start(); err != nil {
			return err
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	ran := 0
	for id, runs := range d.rec.runsByID() {
		call, found := calls[id]
		if !found {
			continue
		}
		ran++
		left := call.limit - call.done.Sub(call.sent)
		if call.status == http.StatusOK && call.signed || left <= 0 || call.sent.Sub(stopped) <= lateAfter {
			continue
		}
		d.rec.broken("LOST: call %s was sent %.2f s after SIGTERM and ran at %s; %.2f s before its time limit the node answered %d in its place, while the instance was at work (its run: %s)",
			id, call.sent.Sub(stopped).Seconds(), runs[0].instance, left.Seconds(), call.status, runs[0].outcome)
	}
	if ran == 0 && !d.trouble {
		return errors.New("no call ran")
	}
	return nil
}
