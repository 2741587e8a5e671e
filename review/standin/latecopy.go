package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	copyClients  = 16
	copyWork     = 10 * time.Millisecond
	copySlots    = 8
	copyQueue    = 2
	copyLimit    = 600 * time.Millisecond
	copyAim      = 0.1
	copyGiveUp   = 9 * time.Millisecond
	giveUpShare  = 0.3
	copyShare    = 0.03
	copySpell    = 5 * time.Second
	copyPause    = time.Second
	copyDuration = 70 * time.Second
)

func init() { cases["late-copy"] = lateCopy }

// lateCopy lets an instance send a second copy of some of its answers, late, at the point where
// the next answer on that connection is expected. No request may be refused as not run, or run
// twice, because of it.
func lateCopy(f *fleet, trouble bool) (err error) {
	services := []string{"payout", "refund"}
	m := newManifest(services...)
	var garbling atomic.Bool
	for n, service := range services {
		added, err := f.add(fmt.Sprintf("n%d", n+1), "north-a", service, copySlots)
		if err != nil {
			return err
		}
		added.inst.plainRejections = os.Getenv("PLAIN_REJECTIONS") == "1"
		added.inst.keepsWorking, added.inst.queueLength = true, copyQueue
		added.inst.lateCopy = func(int) bool { return garbling.Load() && rand.Float64() < copyShare }
		m.route(service, "non_idempotent", service, copyLimit.Seconds(), copyAim, 3, 0)
	}
	m.tenant("shop", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ended := &outcomes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, entry := range f.machines {
		for _, service := range services {
			for range copyClients {
				group.Go(func() { payAndLeave(entry, service, ended, stop) })
			}
		}
	}
	for end := time.Now().Add(copyDuration); time.Now().Before(end); {
		garbling.Store(trouble)
		time.Sleep(copySpell)
		garbling.Store(false)
		time.Sleep(copyPause)
	}
	close(stop)
	group.Wait()
	time.Sleep(time.Second)
	checkPromises(f, ended)
	for _, m := range f.machines {
		f.record.note("instance %s rejected %d requests as full and sent %d late copies", m.inst.id, m.inst.shed, m.inst.copies)
	}
	f.record.note("%d requests", len(ended.done))
	return nil
}

// payAndLeave sends payouts; some of the clients leave before the answer.
func payAndLeave(entry *machine, service string, ended *outcomes, stop chan struct{}) {
	c := &client{entry: entry}
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(25*time.Millisecond))):
		}
		q := newRequest(http.MethodPost, service, "shop", copyWork, copyLimit)
		if rand.Float64() < giveUpShare {
			q.giveUp = time.Duration((0.2 + 0.8*rand.Float64()) * float64(copyGiveUp))
		}
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
