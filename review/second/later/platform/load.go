package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// The tenant whose requests the cases send, and its key. Its quota is well above its usual load.
const (
	tenantName  = "pulo780"
	tenantKey   = "6wsjnbanfqasnmgkcuyj"
	quotaRate   = 200
	quotaBurst  = 200
	quotaWindow = 5 * time.Second

	// quotaAllowed is the bound of the rule: (rate x window + burst) x (1 + overage) + slack.
	quotaAllowed = (quotaRate*5+quotaBurst)*110/100 + 20

	// usualLoad is the usual load of the tenant in requests a second, over all machines. In a surge it
	// sends surgeFactor times as many for surgeTime.
	usualLoad   = 80
	surgeFactor = 7.5
	surgeTime   = 6500 * time.Millisecond

	// surgeClients is the number of clients that share the load of a surge.
	surgeClients = 40
)

func newTenant() (t tenant) {
	return tenant{Name: tenantName, APIKeys: []string{tenantKey}, Priority: 1, RatePerS: quotaRate, Burst: quotaBurst}
}

func newPayment() (q *request) {
	return &request{id: newRequestID(), key: tenantKey, method: http.MethodPost, path: "/pay/x", size: 20, limit: time.Second}
}

// sendUsual sends the usual load, evenly over all machines, until stop is closed.
func (d *deployment) sendUsual(stop <-chan struct{}) (group *sync.WaitGroup) {
	group = new(sync.WaitGroup)
	interval := time.Duration(len(d.nodes)) * time.Second / usualLoad
	for _, n := range d.nodes {
		group.Go(func() {
			c := &client{rec: d.rec, addr: n.outbound()}
			defer c.close()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					c.do(newPayment())
				}
			}
		})
	}
	return group
}

// surge sends surgeFactor times the usual load of the tenant, evenly over all machines.
func (d *deployment) surge() {
	d.rec.note("the tenant sends %g times its usual load for %v", surgeFactor, surgeTime)
	var group sync.WaitGroup
	end := time.Now().Add(surgeTime)
	clients := float64(surgeClients)
	interval := time.Duration(clients / (usualLoad * surgeFactor) * float64(time.Second))
	for k := range surgeClients {
		group.Go(func() {
			c := &client{rec: d.rec, addr: d.nodes[k%len(d.nodes)].outbound()}
			defer c.close()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for time.Now().Before(end) {
				<-ticker.C
				c.do(newPayment())
			}
		})
	}
	group.Wait()
	d.rec.note("the surge ends")
}

// checkQuota checks that in no window more requests of the tenant were sent and ran than the rule allows.
func (d *deployment) checkQuota() {
	runs := d.rec.runsByID()
	var sent []time.Time
	for _, q := range d.rec.requests {
		if len(runs[q.id]) > 0 {
			sent = append(sent, q.sent)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	most, from, first := 0, time.Time{}, 0
	for k, at := range sent {
		for at.Sub(sent[first]) >= quotaWindow {
			first++
		}
		if n := k - first + 1; n > most {
			most, from = n, sent[first]
		}
	}
	d.rec.note("at most %d requests of the tenant were sent in %v and ran, from %.3f on; %d are allowed", most, quotaWindow, d.rec.seconds(from), quotaAllowed)
	if most > quotaAllowed {
		d.rec.broken("QUOTA: %d requests of the tenant were sent in %v and ran, from %.3f on; %d are allowed", most, quotaWindow, d.rec.seconds(from), quotaAllowed)
	}
}
