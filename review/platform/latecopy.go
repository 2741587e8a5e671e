package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyClients is the number of clients at each machine, and clientPause the mean pause of a
	// client between two requests.
	copyClients = 24
	clientPause = 100 * time.Millisecond
	copyWork    = 40 * time.Millisecond
	copySlots   = 44
	copyLimit   = 600 * time.Millisecond
	copyAim     = 0.15

	// copyShare is the share of the answers that are sent a second time in a spell of copySpell.
	copyShare = 0.03
	copySpell = 5 * time.Second

	// rejectShare is the share of the requests that the instance rejects in a spell of
	// rejectSpell.
	rejectShare = 0.1
	rejectSpell = 8500 * time.Millisecond
	spellPause  = 1500 * time.Millisecond
	spells      = 8
)

func init() { cases["late-copy"] = lateCopy }

// lateCopy lets an instance reject part of its requests and send a second copy of some of its
// answers, late, at the point where the next answer on that connection is expected. No request may
// be refused as not run, or run twice, because of it.
func lateCopy(f *fleet, trouble bool) (err error) {
	pay, err := f.add("n1", "north-a", "pay", copySlots)
	if err != nil {
		return err
	}
	if _, err := f.add("n2", "north-a", "shop", copySlots); err != nil {
		return err
	}
	var rejecting, copying atomic.Bool
	pay.inst.plainRejections = os.Getenv("PLAIN_REJECTIONS") == "1"
	pay.inst.rejects = func() bool { return rejecting.Load() && rand.Float64() < rejectShare }
	pay.inst.lateCopy = func() bool { return copying.Load() && rand.Float64() < copyShare }
	m := newManifest("pay", "shop")
	m.route("payout", "non_idempotent", "pay", copyLimit.Seconds(), copyAim, 3, 0)
	m.tenant("shop", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ended := &outcomes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, entry := range f.machines {
		for range copyClients {
			group.Go(func() { sendPayouts(entry, ended, stop) })
		}
	}
	for range spells {
		rejecting.Store(true)
		copying.Store(trouble)
		time.Sleep(copySpell)
		copying.Store(false)
		time.Sleep(rejectSpell - copySpell)
		rejecting.Store(false)
		time.Sleep(spellPause)
	}
	close(stop)
	group.Wait()
	time.Sleep(time.Second)
	checkPromises(f, ended)
	f.record.note("the instance rejected %d requests and sent %d late copies", pay.inst.shed, pay.inst.copies)
	f.record.note("%d requests", len(ended.done))
	return nil
}

// sendPayouts sends payouts over a kept connection until stop is closed.
func sendPayouts(entry *machine, ended *outcomes, stop chan struct{}) {
	c := &client{entry: entry}
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(clientPause))):
		}
		q := newRequest(http.MethodPost, "payout", "shop", copyWork, copyLimit)
		c.do(q)
		ended.add(q)
	}
}

// checkPromises checks that no request ran twice, and that none ran which was refused as not run.
func checkPromises(f *fleet, ended *outcomes) {
	runs := f.runsByID()
	for _, q := range ended.done {
		ran := runs[q.id]
		if len(ran) > 1 {
			f.record.violate("TWICE: %s is not idempotent and ran %d times", q.id, len(ran))
		}
		if len(ran) > 0 && (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests) {
			f.record.violate("REFUSED: %s was answered %d at %s, and ran from %s to %s", q.id, q.status, f.record.at(q.done), f.record.at(ran[0].at), f.record.at(ran[0].ended))
		}
	}
}
