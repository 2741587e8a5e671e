package main

import (
	"fmt"
	"time"
)

var lostRegionsPlaces = []place{{"a", "one", "ledger"}, {"b", "two", "ledger"}}

// firstSurge and secondSurge are the times after the beginning of the cut at which the tenant sends more
// than its limit, and cutTime is the length of the cut.
const (
	firstSurge  = 42 * time.Second
	secondSurge = 62 * time.Second
	cutTime     = 70 * time.Second
)

// lostRegions plays two regions that lose each other, while clients and the store reach both. A tenant sends
// more than its limit twice meanwhile.
func lostRegions(d *deployment) (err error) {
	var proxies []*proxy
	for k, n := range d.nodes {
		n.reached = fmt.Sprintf("127.%d.2.%d", d.network, k+1)
		p, err := startProxy(fmt.Sprintf("%s:%d", n.reached, d.base+internalPort), n.port(internalPort))
		if err != nil {
			return err
		}
		proxies = append(proxies, p)
	}
	if err := d.putManifest(2, []route{{"r-pay", "/pay/", "non_idempotent", "ledger"}}, []tenant{newTenant()}); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	cut := func(on bool) {
		for _, p := range proxies {
			p.cut.Store(on)
		}
		d.rec.note("the regions have lost each other: %t", on)
	}
	stop := make(chan struct{})
	usual := d.sendUsual(stop)
	time.Sleep(2 * time.Second)
	begun := time.Now()
	cut(d.trouble)
	time.Sleep(firstSurge)
	d.surge()
	time.Sleep(time.Until(begun.Add(secondSurge)))
	d.surge()
	time.Sleep(time.Until(begun.Add(cutTime)))
	cut(false)
	close(stop)
	usual.Wait()
	d.checkQuota()
	return nil
}
