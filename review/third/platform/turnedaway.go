package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

var turnedAwayPlaces = slices.Repeat([]place{{"a", "area", "tellimus"}, {"a", "area", "entry"}}, 5)

const (
	// awayTime is for how long the store turns machines away, and awayShare the largest share of them.
	awayTime  = 9 * time.Second
	awayShare = 0.33

	// firstPolls is the time after which the calls for changes have ended that machines made at their
	// start and do not repeat.
	firstPolls = 5 * time.Second

	// applyBound is the bound on a change of the manifest, and stretchBound the longest one that an
	// unstable core may give.
	applyBound   = 2 * time.Second
	stretchBound = applyBound + 5*time.Second

	withdrawnKey = "8pjbvk9m68k7b2ex5wa5"
)

// turnedAway plays a store that turns some machines away and serves the others, while the operator
// withdraws a key.
func turnedAway(d *deployment) (err error) {
	put := func(keys ...string) (err error) {
		t := newTenant()
		t.APIKeys = keys
		return d.putManifest(2, []route{{"r-pay", "/pay/", "non_idempotent", "tellimus"}}, []tenant{t})
	}
	if err := put(tenantKey, withdrawnKey); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(firstPolls)
	followers := d.store.followers()
	d.rec.note("machines that read changes from the store: %v", followers)
	if n := float64(len(followers)); n == 0 || n > awayShare*float64(len(d.nodes)) {
		return fmt.Errorf("%d of %d machines read changes from the store; a share of %g may be turned away", len(followers), len(d.nodes), awayShare)
	}
	begun := time.Now()
	if d.trouble {
		d.store.turnAway(followers)
		d.rec.note("the store answers 503 to %v and serves the others", followers)
	}
	time.Sleep(500 * time.Millisecond)
	if err := put(tenantKey); err != nil {
		return err
	}
	acked := time.Now()
	var group sync.WaitGroup
	for _, n := range d.nodes {
		if slices.Contains(followers, n.name) {
			continue // These machines have no path to the store and are not judged.
		}
		group.Go(func() {
			for time.Since(begun) < awayTime+2*time.Second {
				c := &client{rec: d.rec, addr: n.outbound()}
				q := newPayment()
				q.key = withdrawnKey
				c.do(q)
				c.close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(begun.Add(awayTime)))
	d.store.turnAway(nil)
	d.rec.note("the store serves all machines")
	group.Wait()
	d.checkKey(acked)
	return nil
}

// checkKey checks that the withdrawn key is not used later than the bounds allow.
func (d *deployment) checkKey(acked time.Time) {
	runs := d.rec.runsByID()
	late, beyond, last := 0, 0, time.Duration(0)
	for _, q := range d.rec.requests {
		after := q.sent.Sub(acked)
		if len(runs[q.id]) == 0 || after <= applyBound {
			continue
		}
		late, last = late+1, max(last, after)
		if after > stretchBound {
			beyond++
		}
	}
	d.rec.note("%d requests with the withdrawn key, sent later than %v after the ack, ran; %d were sent later than %v", late, applyBound, beyond, stretchBound)
	if beyond > 0 {
		d.rec.broken("CONFIG: %d requests with the withdrawn key ran that were sent later than %v after the ack, %d of them later than %v, at machines that the store served; the last one %.2f s after it",
			late, applyBound, beyond, stretchBound, last.Seconds())
	}
}
