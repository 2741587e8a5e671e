package main

import "time"

var tenantBackPlaces = []place{{"a", "area", "ledger"}, {"a", "area", "ledger"}, {"b", "area", "ledger"}, {"b", "area", "ledger"}}

const (
	// awayFor is for how long the tenant is not in the manifest.
	awayFor = 10 * time.Second

	// afterBack is the time from its return to the surge: configApplyS and a window.
	afterBack = 7 * time.Second
)

// tenantBack plays an operator who takes a tenant out of the manifest and puts it back unchanged. The
// tenant sends more than its limit before and afterwards.
func tenantBack(d *deployment) (err error) {
	other := tenant{Name: "hulo212", APIKeys: []string{"2p5bvk9m68k7b2ex5wa1"}, RatePerS: quotaRate, Burst: quotaBurst}
	put := func(tenants ...tenant) (err error) {
		return d.putManifest(2, []route{{"r-pay", "/pay/", "non_idempotent", "ledger"}}, append(tenants, other))
	}
	if err := put(newTenant()); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	stop := make(chan struct{})
	usual := d.sendUsual(stop)
	d.surge()
	time.Sleep(2 * time.Second)
	if d.trouble {
		if err := put(); err != nil {
			return err
		}
	}
	time.Sleep(awayFor)
	if d.trouble {
		if err := put(newTenant()); err != nil {
			return err
		}
	}
	time.Sleep(afterBack)
	d.surge()
	close(stop)
	usual.Wait()
	d.checkQuota()
	return nil
}
